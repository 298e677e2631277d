#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/lasterror.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobjunction
{

/** Reason why a store operation failed. */
enum class StoreErrorCode {
    Unavailable, /**< The store could not be reached, reported a server error, or was not called (circuit breaker open, no free connection). */
    Timeout, /**< The connection was opened, but no complete response arrived. */
    Overloaded, /**< The rate limit of the store is exceeded; nothing was written. */
    Protocol, /**< The request or the response violates the protocol. */
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
    bool mayHaveTakenEffect = false; /**< Whether the write may have been committed, or may still be. */
    std::string detail; /**< Description of the failure for logs. */
};

/** One conditional write of a transaction. */
struct StoreOp {
    std::string key;
    std::optional<uint64_t> ifVersion; /**< Version that the row must have; 0 if it must be absent, empty for no condition. */
    std::optional<nlohmann::json> value; /**< New value; empty to delete the row. */
};

/** Result of one write of a transaction. */
struct StoreOpResult {
    bool applied = false; /**< Whether the write took effect. */
    uint64_t version = 0; /**< Version of the row after the transaction; 0 if the row is absent. */
    std::optional<nlohmann::json> value; /**< Value of the row after the transaction; empty if the row is absent. */
};

/** Result of a transaction. */
struct TransactResult {
    bool committed = false; /**< Always true for a transaction that is not atomic. */
    std::vector<StoreOpResult> results; /**< One result per operation, in the same order. */
};

/** A row read from the table service. */
struct StoreRow {
    std::string key;
    uint64_t version = 0;
    nlohmann::json value;
};

/**
 * Client of the table service and the object store. Failed calls return empty or false and set LastError<StoreError>.
 *
 * A transaction that is not atomic applies each operation whose own condition holds. Reads omit absent rows from their result.
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
