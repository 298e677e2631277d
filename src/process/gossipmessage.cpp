#include "process/gossipmessage.h"

#include "process/vmrecordcodec.h"

#include <nlohmann/json.hpp>

namespace carobjunction
{

namespace
{

using Json = nlohmann::json;

constexpr double Percent = 100;

uint32_t toPercent(double value)
{
    return static_cast<uint32_t>(value * Percent);
}

Json toJson(const LimitMeans &means)
{
    return { toPercent(means.ratio.value), toPercent(means.running.value), means.ratio.answers };
}

LimitMeans readMeans(const Json &json)
{
    const auto answers = json.at(2).get<uint32_t>();
    return { { json.at(0).get<uint32_t>() / Percent, answers }, { json.at(1).get<uint32_t>() / Percent, answers } };
}

} // namespace

// Fields are sent by position, since datagrams between regions are billed by volume.
std::string GossipMessage::encode() const
{
    Json crashList = Json::array();
    for (const CrashReport &crash : crashes) {
        crashList.push_back({ crash.fingerprint, crash.backend });
    }
    const Json message { daemon,
                         incarnation,
                         revision,
                         peerAddress,
                         configVersion,
                         { report.running, report.waiting, report.limit, toPercent(report.slowness), report.cold, report.slowSpell },
                         std::move(crashList),
                         { toJson(report.slots.upper), toJson(report.slots.lower) },
                         record ? VmRecordCodec::encode(*record) : "" };
    const std::vector<uint8_t> bytes = Json::to_cbor(message);
    return { bytes.begin(), bytes.end() };
}

std::optional<GossipMessage> GossipMessage::decode(std::string_view datagram)
{
    GossipMessage message;
    try {
        const Json json = Json::from_cbor(datagram.begin(), datagram.end());
        message.daemon = json.at(0).get<std::string>();
        message.incarnation = json.at(1).get<uint64_t>();
        message.revision = json.at(2).get<uint64_t>();
        message.peerAddress = json.at(3).get<std::string>();
        message.configVersion = json.at(4).get<uint64_t>();
        const Json &report = json.at(5);
        message.report.running = report.at(0).get<uint32_t>();
        message.report.waiting = report.at(1).get<uint32_t>();
        message.report.limit = report.at(2).get<uint32_t>();
        message.report.slowness = report.at(3).get<uint32_t>() / Percent;
        message.report.cold = report.at(4).get<bool>();
        message.report.slowSpell = report.at(5).get<bool>();
        message.report.slots = { readMeans(json.at(7).at(0)), readMeans(json.at(7).at(1)) };
        if (const auto text = json.at(8).get<std::string>(); !text.empty()) {
            message.record = VmRecordCodec::decode(text);
        }
        for (const Json &crash : json.at(6)) {
            message.crashes.push_back({ crash.at(0).get<uint64_t>(), crash.at(1).get<std::string>() });
        }
    } catch (const Json::exception &) {
        return std::nullopt; // the receiver counts it
    }
    return message;
}

} // namespace carobjunction
