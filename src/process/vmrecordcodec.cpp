#include "process/vmrecordcodec.h"

#include <nlohmann/json.hpp>

namespace carobjunction
{

using Json = nlohmann::json;

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

std::optional<VmRecord> VmRecordCodec::decode(std::string_view text)
{
    VmRecord record;
    try {
        const Json json = Json::parse(text);
        record.daemon = json.at("daemon").get<std::string>();
        record.incarnation = json.at("incarnation").get<uint64_t>();
        record.revision = json.at("revision").get<uint64_t>();
        record.address = json.at("address").get<std::string>();
        record.dataCentre = json.at("dataCentre").get<std::string>();
        record.region = json.at("region").get<std::string>();
        record.stopping = json.at("stopping").get<bool>();
        const Json &backend = json.at("backend");
        record.backend.id = backend.at("id").get<std::string>();
        record.backend.bornMs = backend.at("bornMs").get<uint64_t>();
        record.backend.service = backend.at("service").get<std::string>();
        record.backend.slots = backend.at("slots").get<uint32_t>();
        const auto state = fromName<BackendState>(backend.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        record.backend.state = *state;
        record.backend.isLeaving = backend.value("leaving", false);
    } catch (const Json::exception &) {
        return std::nullopt; // the reader of the row logs it
    }
    return record;
}

} // namespace carobjunction
