#include "process/storeprotocol.h"

namespace carobjunction::storeprotocol
{

namespace
{

using nlohmann::json;

/** Runs a conversion whose JSON library calls throw on malformed input. */
template<typename Function>
auto guarded(Function function) -> std::optional<decltype(function())>
{
    try {
        return function();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

json toJson(const std::optional<json> &value)
{
    return value ? *value : json(nullptr);
}

std::optional<json> fromJson(const json &value)
{
    return value.is_null() ? std::nullopt : std::optional<json>(value);
}

} // namespace

std::optional<std::string> writeTransactRequest(const std::vector<StoreOp> &ops, bool atomic)
{
    return guarded([&] {
        json list = json::array();
        for (const StoreOp &op : ops) {
            const json condition = op.ifVersion ? json(*op.ifVersion) : json(nullptr);
            list.push_back({ { "key", op.key }, { "if_version", condition }, { "value", toJson(op.value) } });
        }
        return json { { "atomic", atomic }, { "ops", std::move(list) } }.dump();
    });
}

std::optional<std::vector<StoreOp>> parseTransactRequest(std::string_view body, bool &atomic)
{
    return guarded([&] {
        const json request = json::parse(body);
        atomic = request.at("atomic").get<bool>();
        std::vector<StoreOp> ops;
        for (const json &op : request.at("ops")) {
            const json &condition = op.at("if_version");
            const std::optional<uint64_t> ifVersion = condition.is_null() ? std::nullopt : std::optional(condition.get<uint64_t>());
            ops.push_back({ op.at("key").get<std::string>(), ifVersion, fromJson(op.at("value")) });
        }
        return ops;
    });
}

std::string writeTransactAnswer(const TransactResult &result)
{
    json list = json::array();
    for (const StoreOpResult &entry : result.results) {
        list.push_back({ { "applied", entry.applied }, { "version", entry.version }, { "value", toJson(entry.value) } });
    }
    return json { { "committed", result.committed }, { "results", std::move(list) } }.dump();
}

std::optional<TransactResult> parseTransactAnswer(std::string_view body, size_t ops)
{
    std::optional<TransactResult> result = guarded([&] {
        const json answer = json::parse(body);
        TransactResult parsed;
        parsed.committed = answer.at("committed").get<bool>();
        for (const json &entry : answer.at("results")) {
            parsed.results.push_back({ entry.at("applied").get<bool>(), entry.at("version").get<uint64_t>(), fromJson(entry.at("value")) });
        }
        return parsed;
    });
    if (result && result->results.size() != ops) {
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> writeReadRequest(const std::vector<std::string> &keys)
{
    return guarded([&] { return json { { "keys", keys } }.dump(); });
}

std::optional<std::string> writePrefixRequest(const std::string &prefix)
{
    return guarded([&] { return json { { "prefix", prefix } }.dump(); });
}

std::string writeReadAnswer(const std::vector<StoreRow> &rows)
{
    json list = json::array();
    for (const StoreRow &row : rows) {
        list.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value } });
    }
    return json { { "rows", std::move(list) } }.dump();
}

std::optional<std::vector<StoreRow>> parseReadAnswer(std::string_view body)
{
    return guarded([&] {
        const json answer = json::parse(body);
        std::vector<StoreRow> rows;
        for (const json &row : answer.at("rows")) {
            rows.push_back({ row.at("key").get<std::string>(), row.at("version").get<uint64_t>(), row.at("value") });
        }
        return rows;
    });
}

} // namespace carobjunction::storeprotocol
