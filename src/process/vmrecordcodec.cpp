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

constexpr size_t LargestDepth = 4; // a record has two levels
constexpr uint32_t LargestSlots = 65'535; // each running request takes a connection, and an address has no more ports
constexpr auto EarliestClock = std::chrono::milliseconds(1'767'225'600'000); // 2026-01-01; clocks that show an earlier time are wrong
constexpr auto LargestClockLead = std::chrono::hours(50 * 365 * 24);

BackendRecord readBackend(const Json &json)
{
    BackendRecord backend;
    backend.id = boundedjson::name(json.at("id"));
    backend.bornMs = boundedjson::whole(json.at("bornMs"), VmRecordCodec::largestIncarnation());
    backend.service = boundedjson::name(json.at("service"));
    // A backend server that names no slots is given one request at a time.
    backend.slots = static_cast<uint32_t>(boundedjson::whole(json.at("slots"), LargestSlots));
    const auto state = fromName<BackendState>(boundedjson::name(json.at("state")));
    if (!state) {
        throw UnreadableMessage("unknown state of the backend server");
    }
    backend.state = *state;
    backend.isLeaving = json.value("leaving", false);
    if (backend.state == BackendState::Ready && backend.id.empty()) {
        throw UnreadableMessage("a ready backend server without an id");
    }
    return backend;
}

VmRecord readRecord(const Json &json)
{
    VmRecord record;
    record.daemon = boundedjson::name(json.at("daemon"));
    record.incarnation = boundedjson::whole(json.at("incarnation"), VmRecordCodec::largestIncarnation());
    record.revision = boundedjson::whole(json.at("revision"), boundedjson::LargestExact);
    record.address = boundedjson::name(json.at("address"));
    record.dataCentre = boundedjson::name(json.at("dataCentre"));
    record.region = boundedjson::name(json.at("region"));
    record.stopping = json.at("stopping").get<bool>();
    record.backend = readBackend(json.at("backend"));
    if (record.daemon.empty()) {
        throw UnreadableMessage("a daemon without an id");
    }
    if (!isPeerAddress(record.address)) {
        throw UnreadableMessage("address " + record.address + " can't be connected to");
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
                          { "bornMs", backend.bornMs },
                          { "service", backend.service },
                          { "slots", backend.slots },
                          { "state", nameOf(backend.state) },
                          { "leaving", backend.isLeaving } } } };
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

uint64_t VmRecordCodec::largestIncarnation()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto clock = duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return static_cast<uint64_t>(std::max<milliseconds>(clock, EarliestClock).count() + duration_cast<milliseconds>(LargestClockLead).count());
}

std::optional<VmRecord> VmRecordCodec::decode(std::string_view text, std::string *fault)
{
    return boundedjson::decode([text] { return readRecord(boundedjson::parse(text, { LargestRecord, LargestDepth })); }, fault);
}

} // namespace carobjunction
