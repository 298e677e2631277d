#include "process/storeprotocol.h"

namespace carobjunction::storeprotocol
{

namespace
{

using nlohmann::json;

/** Runs @p function and returns its result, or empty if the JSON library throws an exception. */
template<typename Function>
auto catchJsonErrors(Function function) -> std::optional<decltype(function())>
{
    try {
        return function();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

/** Serialises a response. Replaces text that is not UTF-8, on which dump() would throw. */
std::string serialise(const json &response)
{
    return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

json valueOrNull(const std::optional<json> &value)
{
    return value ? *value : json(nullptr);
}

std::optional<json> valueUnlessNull(const json &value)
{
    return value.is_null() ? std::nullopt : std::optional<json>(value);
}

} // namespace

std::optional<std::string> serialiseTransactRequest(const std::vector<StoreOp> &ops, bool atomic)
{
    return catchJsonErrors([&] {
        json list = json::array();
        for (const StoreOp &op : ops) {
            const json condition = op.ifVersion ? json(*op.ifVersion) : json(nullptr);
            list.push_back({ { "key", op.key }, { "if_version", condition }, { "value", valueOrNull(op.value) } });
        }
        return json { { "atomic", atomic }, { "ops", std::move(list) } }.dump();
    });
}

std::optional<std::vector<StoreOp>> parseTransactRequest(std::string_view body, bool &atomic)
{
    return catchJsonErrors([&] {
        const json request = json::parse(body);
        atomic = request.at("atomic").get<bool>();
        std::vector<StoreOp> ops;
        for (const json &op : request.at("ops")) {
            const json &condition = op.at("if_version");
            const std::optional<uint64_t> ifVersion = condition.is_null() ? std::nullopt : std::optional(condition.get<uint64_t>());
            ops.push_back({ op.at("key").get<std::string>(), ifVersion, valueUnlessNull(op.at("value")) });
        }
        return ops;
    });
}

std::string serialiseTransactResponse(const TransactResult &result)
{
    json list = json::array();
    for (const StoreOpResult &entry : result.results) {
        list.push_back({ { "applied", entry.applied }, { "version", entry.version }, { "value", valueOrNull(entry.value) } });
    }
    return serialise({ { "committed", result.committed }, { "results", std::move(list) } });
}

std::optional<TransactResult> parseTransactResponse(std::string_view body, size_t ops)
{
    std::optional<TransactResult> result = catchJsonErrors([&] {
        const json response = json::parse(body);
        TransactResult parsed;
        parsed.committed = response.at("committed").get<bool>();
        for (const json &entry : response.at("results")) {
            parsed.results.push_back({ entry.at("applied").get<bool>(), entry.at("version").get<uint64_t>(), valueUnlessNull(entry.at("value")) });
        }
        return parsed;
    });
    if (result && result->results.size() != ops) {
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> serialiseReadRequest(const std::vector<std::string> &keys)
{
    return catchJsonErrors([&] { return json { { "keys", keys } }.dump(); });
}

std::optional<std::string> serialisePrefixReadRequest(const std::string &prefix)
{
    return catchJsonErrors([&] { return json { { "prefix", prefix } }.dump(); });
}

std::string serialiseReadResponse(const std::vector<StoreRow> &rows)
{
    json list = json::array();
    for (const StoreRow &row : rows) {
        list.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value } });
    }
    return serialise({ { "rows", std::move(list) } });
}

std::optional<std::vector<StoreRow>> parseReadResponse(std::string_view body)
{
    return catchJsonErrors([&] {
        const json response = json::parse(body);
        std::vector<StoreRow> rows;
        for (const json &row : response.at("rows")) {
            rows.push_back({ row.at("key").get<std::string>(), row.at("version").get<uint64_t>(), row.at("value") });
        }
        return rows;
    });
}

} // namespace carobjunction::storeprotocol
