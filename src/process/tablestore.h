#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/lastreason.h>

#include "connection/httpclientpool.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** One row of a table in the platform's store. */
struct TableRow {
    std::string table;
    std::string key;
    std::string value;
    uint64_t version = 0; /**< Version of the store at which the row was written; as a condition, 0 means that there is no such row. */
    bool isDeleted = false;
    bool isUnreadable = false; /**< Another writer left something else than text under the key; only the key, and the version if known, is set. */
};

/** Rows of one table, or the changes of one. */
struct TableRows {
    std::vector<TableRow> rows;
    uint64_t version = 0; /**< Version of the store that the rows reflect. */
    bool hasMore = false;
};

/** Changes that are made together, if all conditions hold. */
struct TableChange {
    std::vector<TableRow> conditions;
    std::vector<TableRow> puts;
    std::vector<TableRow> removals;
};

/** What came of a change. */
struct ChangeResult {
    bool isApplied = false;
    std::vector<TableRow> current; /**< Rows of the conditions, if one of them did not hold. */
    uint64_t version = 0;
};

/** Why a call to the store failed. */
enum class TableStoreError {
    Unreachable, /**< No connection; nothing was done. */
    AnswerLost, /**< A change may have been made, or may be made later. */
    Refused, /**< The store is not available to this VM, or the rate of calls is exceeded; nothing was done. */
    HistoryLost, /**< Changes since the version asked for are no longer known. */
    Malformed, /**< The answer can't be read. */
};

template<>
struct EnumNames<TableStoreError> {
    static constexpr std::pair<TableStoreError, std::string_view> Table[] = {
        { TableStoreError::Unreachable, "unreachable" },  { TableStoreError::AnswerLost, "answer-lost" }, { TableStoreError::Refused, "refused" },
        { TableStoreError::HistoryLost, "history-lost" }, { TableStoreError::Malformed, "malformed" },
    };
};

/** Messages of one kind of store: builds its calls and reads its answers. Holds no state. */
template<typename T>
concept TableDialect = requires(const std::string &text, uint64_t version, Duration wait, const TableChange &change, const HttpResponse &response)
{
    {
        T::scan(text, text)
        } -> std::same_as<HttpRequest>;
    {
        T::watch(text, version, wait)
        } -> std::same_as<HttpRequest>;
    {
        T::commit(change)
        } -> std::same_as<HttpRequest>;
    {
        T::readRows(response)
        } -> std::same_as<std::optional<TableRows>>;
    {
        T::readChange(response)
        } -> std::same_as<std::optional<ChangeResult>>;
    {
        T::errorOf(response)
        } -> std::same_as<std::optional<TableStoreError>>;
};

/** Client of the platform's table store. Functions return empty and set LastReason<TableStoreError> on failure. */
template<TableDialect Dialect>
class TableStore
{
public:
    /** Longest wait for the answer to a call that does not wait for changes. */
    static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(700);

    TableStore(asio::io_context &loop, const Tcp::endpoint &address)
        : m_pool(std::make_shared<HttpClientPool>(loop, address, PoolLimits { 4, std::chrono::seconds(10) }))
    {
    }

    /** Reads all rows of a table, in several calls if need be. */
    Task<std::optional<TableRows>> scan(std::string table)
    {
        TableRows all;
        std::string start;
        while (true) {
            const auto page = readRows(co_await call(Dialect::scan(table, start), CallTimeout));
            if (!page) {
                co_return std::nullopt;
            }
            all.rows.insert(all.rows.end(), page->rows.begin(), page->rows.end());
            // The version of the first page is the one from which changes must be read, since later pages may be newer.
            all.version = all.version == 0 ? page->version : all.version;
            if (!page->hasMore || page->rows.empty()) {
                co_return all;
            }
            const std::string next = lastKey(*page) + '\0';
            if (next <= start) {
                co_return LastReason<TableStoreError>::fail(TableStoreError::Malformed); // the same page would come again and again
            }
            start = next;
        }
    }

    /** Waits for changes of a table after a version. @return the changes, possibly none */
    Task<std::optional<TableRows>> watch(std::string table, uint64_t after, Duration wait)
    {
        co_return readRows(co_await call(Dialect::watch(table, after, wait), wait + CallTimeout));
    }

    Task<std::optional<ChangeResult>> commit(TableChange change)
    {
        const auto response = co_await call(Dialect::commit(change), CallTimeout);
        if (!response) {
            co_return std::nullopt;
        }
        if (auto result = Dialect::readChange(*response)) {
            co_return result;
        }
        co_return LastReason<TableStoreError>::fail(TableStoreError::Malformed);
    }

private:
    /** @return key of the last row that has one; odd rows may have none */
    static std::string lastKey(const TableRows &page)
    {
        const auto last = std::find_if(page.rows.rbegin(), page.rows.rend(), [](const TableRow &row) { return !row.key.empty(); });
        return last == page.rows.rend() ? "" : last->key;
    }

    static std::optional<TableRows> readRows(const std::optional<HttpResponse> &response)
    {
        if (!response) {
            return std::nullopt;
        }
        if (auto rows = Dialect::readRows(*response)) {
            return rows;
        }
        return LastReason<TableStoreError>::fail(TableStoreError::Malformed);
    }

    Task<std::optional<HttpResponse>> call(HttpRequest request, Duration timeout)
    {
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + timeout;
        options.connectTimeout = ConnectTimeout;
        ExchangeResult result = co_await m_pool->exchange(std::move(request), std::move(options), std::make_shared<Cancellation>());
        if (result.end == ExchangeEnd::NotSent) {
            co_return LastReason<TableStoreError>::fail(TableStoreError::Unreachable);
        }
        if (result.end != ExchangeEnd::Answered) {
            co_return LastReason<TableStoreError>::fail(TableStoreError::AnswerLost);
        }
        if (const auto error = Dialect::errorOf(result.response)) {
            co_return LastReason<TableStoreError>::fail(*error);
        }
        co_return std::move(result.response);
    }

    std::shared_ptr<HttpClientPool> m_pool;
};

} // namespace carobjunction
