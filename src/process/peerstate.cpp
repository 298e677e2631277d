#include "process/peerstate.h"

#include "connection/boundedjson.h"
#include "process/vmrecordcodec.h"

namespace carobjunction
{

namespace
{

using boundedjson::Json;

/** Limits on the size and depth of a state. They allow far more VMs than the largest supported system has. */
constexpr JsonLimits StateLimits { size_t { 64 } << 20U, 4 };

PeerState parseState(const Json &json)
{
    PeerState state;
    state.routes = json.at("routes").get<std::string>();
    for (const Json &item : json.at("vms")) {
        // Unreadable records are skipped. They are logged when their rows are read from the store.
        auto record = item.is_string() ? VmRecordCodec::decode(item.get_ref<const std::string &>()) : std::nullopt;
        if (record) {
            state.records.push_back(std::move(*record));
        }
    }
    return state;
}

} // namespace

std::string PeerState::encode() const
{
    Json json { { "routes", routes }, { "vms", Json::array() } };
    for (const VmRecord &record : records) {
        json["vms"].push_back(VmRecordCodec::encode(record));
    }
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

std::optional<PeerState> PeerState::decode(const std::string &text, std::string *errorMessage)
{
    return boundedjson::decode([&text] { return parseState(boundedjson::parse(text, StateLimits)); }, errorMessage);
}

} // namespace carobjunction
