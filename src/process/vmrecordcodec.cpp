#include "process/vmrecordcodec.h"

#include "connection/boundedjson.h"
#include "connection/endpoints.h"

#include <algorithm>
#include <chrono>

namespace carobjunction
{

using boundedjson::Json;

namespace
{

constexpr JsonLimits RecordLimits { VmRecordCodec::MaxRecordBytes, 4, true }; // a record has two levels
constexpr uint32_t MaxSlots = 65'535; // each running request needs a connection, and this is the number of ports of an address
constexpr auto EarliestValidClock = std::chrono::milliseconds(1'767'225'600'000); // Unix time of 2026-01-01; a clock with an earlier time is wrong
constexpr auto MaxClockLead = std::chrono::hours(50 * 365 * 24); // 50 years, far beyond any clock error

BackendRecord backendFromJson(const Json &json)
{
    BackendRecord backend;
    backend.id = boundedjson::name(json.at("id"));
    backend.startedAtMs = boundedjson::unsignedInteger(json.at("bornMs"), VmRecordCodec::maxAcceptedIncarnation());
    backend.service = boundedjson::name(json.at("service"));
    // 0 if the backend server reported no slots; it then runs one request at a time.
    backend.slots = static_cast<uint32_t>(boundedjson::unsignedInteger(json.at("slots"), MaxSlots));
    const auto state = fromName<BackendState>(boundedjson::name(json.at("state")));
    if (!state) {
        throw MessageParseError("backend server has an unknown state");
    }
    backend.state = *state;
    backend.isLeaving = json.value("leaving", false);
    backend.isVerified = json.value("verified", false); // earlier programs do not write it
    if (backend.state == BackendState::Ready && backend.id.empty()) {
        throw MessageParseError("backend server is ready but has no id");
    }
    return backend;
}

VmRecord recordFromJson(const Json &json)
{
    VmRecord record;
    record.daemon = boundedjson::name(json.at("daemon"));
    record.incarnation = boundedjson::unsignedInteger(json.at("incarnation"), VmRecordCodec::maxAcceptedIncarnation());
    record.revision = boundedjson::unsignedInteger(json.at("revision"), boundedjson::MaxExactInteger);
    record.address = boundedjson::name(json.at("address"));
    record.dataCentre = boundedjson::name(json.at("dataCentre"));
    record.region = boundedjson::name(json.at("region"));
    record.stopping = json.at("stopping").get<bool>();
    record.backend = backendFromJson(json.at("backend"));
    if (record.daemon.empty()) {
        throw MessageParseError("daemon id is empty");
    }
    if (!isConnectableAddress(record.address)) {
        throw MessageParseError("address " + record.address + " is not a valid peer address");
    }
    return record;
}

} // namespace

std::string VmRecordCodec::encode(const VmRecord &record)
{
    const BackendRecord &backend = record.backend;
    const Json json { { "daemon", record.daemon },
                      { "incarnation", record.incarnation },
                      { "revision", record.revision },
                      { "address", record.address },
                      { "dataCentre", record.dataCentre },
                      { "region", record.region },
                      { "stopping", record.stopping },
                      { "backend",
                        { { "id", backend.id },
                          { "bornMs", backend.startedAtMs },
                          { "service", backend.service },
                          { "slots", backend.slots },
                          { "state", nameOf(backend.state) },
                          { "leaving", backend.isLeaving },
                          { "verified", backend.isVerified } } } };
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

uint64_t VmRecordCodec::maxAcceptedIncarnation()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto clock = duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return static_cast<uint64_t>(std::max<milliseconds>(clock, EarliestValidClock).count() + duration_cast<milliseconds>(MaxClockLead).count());
}

std::optional<VmRecord> VmRecordCodec::decode(std::string_view text, std::string *errorMessage)
{
    return boundedjson::decode([text] { return recordFromJson(boundedjson::parse(text, RecordLimits)); }, errorMessage);
}

} // namespace carobjunction
