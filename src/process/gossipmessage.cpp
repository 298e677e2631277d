#include "process/gossipmessage.h"

#include "process/vmrecordcodec.h"

#include <carobjunction/process/durations.h>

#include "connection/boundedjson.h"
#include "connection/endpoints.h"

#include <algorithm>
#include <limits>

namespace carobjunction
{

namespace
{

using boundedjson::Json;

constexpr double Percent = 100;
constexpr uint64_t AnyHash = std::numeric_limits<uint64_t>::max();
constexpr uint64_t AnyEpoch = std::numeric_limits<uint64_t>::max();
constexpr size_t ConfirmationAgeIndex = 9; // in milliseconds, or null; older daemons send no such element
constexpr size_t ClearedIndex = 10; // list; absent if it is empty and no element follows
constexpr size_t StoreEpochIndex = 11; // absent if it is unknown
constexpr JsonLimits DatagramLimits { 65'536, 4 }; // a valid message has three levels of nested arrays, one fewer than the limit

uint32_t toPercent(double value)
{
    return static_cast<uint32_t>(value * Percent);
}

Json toJson(const LimitStatistics &means)
{
    return { toPercent(means.serviceTimeRatio.value), toPercent(means.running.value), means.serviceTimeRatio.sampleCount };
}

LimitStatistics parseLimitMeans(const Json &json)
{
    const auto sampleCount = boundedjson::unsignedInteger32(json.at(2));
    // Rates are divided by the ratio, so it must not be 0.
    const uint32_t serviceTimeRatio = std::max(boundedjson::unsignedInteger32(json.at(0)), 1U);
    return { { serviceTimeRatio / Percent, sampleCount }, { boundedjson::unsignedInteger32(json.at(1)) / Percent, sampleCount } };
}

TargetReport parseReport(const Json &json, const Json &slots)
{
    TargetReport report;
    report.running = boundedjson::unsignedInteger32(json.at(0));
    report.waiting = boundedjson::unsignedInteger32(json.at(1));
    report.limit = boundedjson::unsignedInteger32(json.at(2));
    report.slowdownFactor = boundedjson::unsignedInteger32(json.at(3)) / Percent;
    report.cold = json.at(4).get<bool>();
    report.isTemporarilySlow = json.at(5).get<bool>();
    report.slots = { parseLimitMeans(slots.at(0)), parseLimitMeans(slots.at(1)) };
    return report;
}

GossipMessage parseMessage(const Json &json)
{
    GossipMessage message;
    message.daemon = boundedjson::name(json.at(0));
    message.incarnation = boundedjson::unsignedInteger(json.at(1), VmRecordCodec::maxAcceptedIncarnation());
    message.revision = boundedjson::unsignedInteger(json.at(2), boundedjson::MaxExactInteger);
    message.peerAddress = boundedjson::name(json.at(3));
    message.configVersion = boundedjson::unsignedInteger(json.at(4), boundedjson::MaxExactInteger);
    message.report = parseReport(json.at(5), json.at(7));
    for (const Json &crash : json.at(6)) {
        message.crashes.push_back({ boundedjson::unsignedInteger(crash.at(0), AnyHash), boundedjson::name(crash.at(1)) });
    }
    if (const auto &text = json.at(8).get_ref<const std::string &>(); !text.empty()) {
        message.record = VmRecordCodec::decode(text);
    }
    if (json.size() > ClearedIndex) {
        for (const Json &fingerprint : json.at(ClearedIndex)) {
            message.clearedFingerprints.push_back(boundedjson::unsignedInteger(fingerprint, AnyHash));
        }
    }
    if (json.size() > ConfirmationAgeIndex && !json.at(ConfirmationAgeIndex).is_null()) {
        message.confirmationAge = std::chrono::milliseconds(boundedjson::unsignedInteger32(json.at(ConfirmationAgeIndex)));
    }
    if (json.size() > StoreEpochIndex) {
        message.storeEpoch = boundedjson::unsignedInteger(json.at(StoreEpochIndex), AnyEpoch);
    }
    // The address is optional. A message without one reports only load, since there is no address to fetch the state from.
    if (message.daemon.empty() || !(message.peerAddress.empty() || isConnectableAddress(message.peerAddress))) {
        throw MessageParseError("gossip message names no daemon, or its peer address is not an ip:port that can be connected to");
    }
    return message;
}

} // namespace

// Encodes the fields by position without names, because traffic between regions is billed by volume.
std::string GossipMessage::encode() const
{
    Json crashList = Json::array();
    for (const CrashReport &crash : crashes) {
        crashList.push_back({ crash.fingerprint, crash.backend });
    }
    Json message { daemon,
                   incarnation,
                   revision,
                   peerAddress,
                   configVersion,
                   { report.running, report.waiting, report.limit, toPercent(report.slowdownFactor), report.cold, report.isTemporarilySlow },
                   std::move(crashList),
                   { toJson(report.slots.upper), toJson(report.slots.lower) },
                   record ? VmRecordCodec::encode(*record) : "" };
    const bool hasCleared = !clearedFingerprints.empty() || storeEpoch;
    if (confirmationAge || hasCleared) {
        message.push_back(confirmationAge ? Json(toMs(*confirmationAge)) : Json());
    }
    if (hasCleared) {
        message.push_back(clearedFingerprints);
    }
    if (storeEpoch) {
        message.push_back(*storeEpoch);
    }
    const std::vector<uint8_t> bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

std::optional<GossipMessage> GossipMessage::decode(std::string_view datagram)
{
    // An unreadable datagram is treated like a lost one: the next datagram contains the current state again.
    return boundedjson::decode([datagram] { return parseMessage(boundedjson::parseCbor(datagram, DatagramLimits)); });
}

} // namespace carobjunction
