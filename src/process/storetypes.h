#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/lastreason.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobjunction
{

/** Kind of failure of a store operation. */
enum class StoreErrorCode {
    Unavailable, /**< The store refused, could not be reached, or is not asked while it recovers. */
    Timeout, /**< No answer, or only a part of it, arrived in time. */
    Overloaded, /**< The rate limit is exceeded; nothing was done. */
    Protocol, /**< The request or the answer violates the protocol. */
    NotFound, /**< The object does not exist. */
};

template<>
struct EnumNames<StoreErrorCode> {
    static constexpr std::pair<StoreErrorCode, std::string_view> Table[] = {
        { StoreErrorCode::Unavailable, "unavailable" }, { StoreErrorCode::Timeout, "timeout" },    { StoreErrorCode::Overloaded, "overloaded" },
        { StoreErrorCode::Protocol, "protocol" },       { StoreErrorCode::NotFound, "not-found" },
    };
};

/** Failure of a store operation. */
struct StoreError {
    StoreErrorCode code = StoreErrorCode::Unavailable;
    bool mayHaveTakenEffect = false; /**< The write may be in force, or may still come into force. */
    std::string detail;
};

/** One write of a transaction. */
struct StoreOp {
    std::string key;
    std::optional<uint64_t> ifVersion; /**< Version that the row must have; 0 means absent, empty means any. */
    std::optional<nlohmann::json> value; /**< New value; empty deletes the row. */
};

/** What became of one write. */
struct StoreOpResult {
    bool applied = false;
    uint64_t version = 0; /**< Version of the row after the transaction, 0 if absent. */
    std::optional<nlohmann::json> value; /**< Value of the row after the transaction. */
};

/** Answer to a transaction. */
struct TransactResult {
    bool committed = false; /**< Always true for a transaction that is not atomic. */
    std::vector<StoreOpResult> results; /**< One entry an op, in the same order. */
};

/** A row as read. */
struct StoreRow {
    std::string key;
    uint64_t version = 0;
    nlohmann::json value;
};

/**
 * Table service and object store. Failed calls return empty (or false) and set LastReason<StoreError>.
 *
 * A transaction that is not atomic applies each op on its own condition. Absent rows are left out of the answer to a read.
 */
template<typename T>
concept Store = requires(T &store, const std::vector<StoreOp> &ops, const std::vector<std::string> &keys, const std::string &text)
{
    {
        store.transact(ops, true)
        } -> std::same_as<std::optional<TransactResult>>;
    {
        store.read(keys)
        } -> std::same_as<std::optional<std::vector<StoreRow>>>;
    {
        store.readPrefix(text)
        } -> std::same_as<std::optional<std::vector<StoreRow>>>;
    {
        store.putObject(text, text)
        } -> std::same_as<bool>;
    {
        store.getObject(text)
        } -> std::same_as<std::optional<std::string>>;
};

} // namespace carobjunction
