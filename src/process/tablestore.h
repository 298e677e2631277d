#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/lasterror.h>

#include "connection/httpclientpool.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** One row of a table in the table store of the platform. */
struct TableRow {
    std::string table;
    std::string key;
    std::string value;
    uint64_t version = 0; /**< Store version at which the row was last written. In a condition, 0 means that the row must be absent. */
    bool isDeleted = false; /**< Whether this entry of a change feed reports the deletion of the row. */
    /** Whether the stored value is not text, because another writer stored it. Then only the key is set, and the version if known. */
    bool isUnreadable = false;
};

/** Rows of one table, or changes to them. */
struct TableRows {
    std::vector<TableRow> rows;
    uint64_t version = 0; /**< Store version that the rows reflect. */
    bool isSnapshot = false; /**< Whether these are all rows of the table, not changes to them. */
    bool hasMore = false; /**< Whether further rows follow in another page. */
};

/** Atomic change: writes and removals that are applied together if all conditions hold. */
struct TableChange {
    std::vector<TableRow> conditions; /**< Rows whose stored version must match. */
    std::vector<TableRow> puts; /**< Rows to insert or replace. */
    std::vector<TableRow> removals; /**< Rows to delete. */
};

/** Result of a TableChange. */
struct TableChangeResult {
    bool isApplied = false;
    std::vector<TableRow> current; /**< Stored rows of the conditions, set if a condition did not hold. */
    uint64_t version = 0;
};

/** Reason why a call to the table store failed. */
enum class TableStoreError {
    Unreachable, /**< No connection could be opened; the request was not sent. */
    AnswerLost, /**< No response arrived; a change may have been applied, or may be applied later. */
    Refused, /**< The store is unavailable to this VM, or its rate limit is exceeded; nothing was changed. */
    HistoryLost, /**< The store does not retain the changes since the requested version, or was restored from an older copy during the call. */
    Malformed, /**< The response could not be parsed. */
};

template<>
struct EnumNames<TableStoreError> {
    static constexpr std::pair<TableStoreError, std::string_view> Table[] = {
        { TableStoreError::Unreachable, "unreachable" },  { TableStoreError::AnswerLost, "answer-lost" }, { TableStoreError::Refused, "refused" },
        { TableStoreError::HistoryLost, "history-lost" }, { TableStoreError::Malformed, "malformed" },
    };
};

/** Wire protocol of one kind of table store: builds its requests and parses its responses. Has no state. */
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
        T::parseRowsResponse(response)
        } -> std::same_as<std::optional<TableRows>>;
    {
        T::parseChangeResult(response)
        } -> std::same_as<std::optional<TableChangeResult>>;
    {
        T::errorFromStatus(response)
        } -> std::same_as<std::optional<TableStoreError>>;
    {
        T::epoch(response)
        } -> std::same_as<std::optional<uint64_t>>;
};

/**
 * Client of the table store of the platform. On failure, functions return empty and set LastError<TableStoreError>.
 *
 * The responses state the store's epoch, which changes when the store is restored from an older copy. What was written since the copy is lost then, and the
 * store assigns its versions again.
 */
template<TableDialect Dialect>
class TableStore
{
public:
    /** Time limit of a call, in addition to the time for which watch() waits for changes. */
    static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(700);
    /** Time after which an idle connection is not used again. Without traffic, a connection that delivers nothing any more is not noticed. */
    static constexpr Duration IdleTimeout = std::chrono::seconds(3);
    static constexpr size_t MaxIdleConnections = 4;

    /** Called when a response states another epoch than the one before. */
    using EpochHandler = std::function<void(uint64_t previousEpoch, uint64_t epoch)>;

    TableStore(asio::io_context &loop, const Tcp::endpoint &address)
        : m_connectionPool(std::make_shared<HttpClientPool>(loop, address, PoolLimits { MaxIdleConnections, IdleTimeout }))
    {
    }

    void setEpochHandler(EpochHandler handler)
    {
        m_onEpochChanged = std::move(handler);
    }

    /** @return epoch that the last response stated; empty before the first such response */
    std::optional<uint64_t> epoch() const
    {
        return m_epoch;
    }

    /** Reads all rows of a table, page by page. */
    Task<std::optional<TableRows>> scan(std::string table)
    {
        TableRows allRows;
        allRows.isSnapshot = true;
        std::string startKey;
        std::optional<uint64_t> firstPageEpoch;
        while (true) {
            const auto page = parseRowsResponse(co_await sendRequest(Dialect::scan(table, startKey), CallTimeout));
            if (!page) {
                co_return std::nullopt;
            }
            if (startKey.empty()) {
                firstPageEpoch = m_epoch;
            } else if (m_epoch != firstPageEpoch) {
                co_return LastError<TableStoreError>::fail(TableStoreError::HistoryLost);
            }
            allRows.rows.insert(allRows.rows.end(), page->rows.begin(), page->rows.end());
            // Changes must be read from the version of the first page, because rows of earlier pages may change while later ones are read.
            allRows.version = allRows.version == 0 ? page->version : allRows.version;
            if (!page->hasMore || page->rows.empty()) {
                co_return allRows;
            }
            const std::string nextKey = lastKey(*page) + '\0';
            if (nextKey <= startKey) {
                co_return LastError<TableStoreError>::fail(TableStoreError::Malformed); // Prevents an endless loop over the same page.
            }
            startKey = nextKey;
        }
    }

    /**
     * Waits for changes of a table that are newer than a version. Fails with HistoryLost if the store was restored since that version was read,
     * because it assigns versions again then, so that a change may have a version which is not newer.
     * @param afterVersion  version whose later changes are returned; read in the epoch that the last response stated
     * @param wait  maximum time to wait for a change
     * @param cancellation  ends the call and closes its connection; null if the call is not cancelled
     * @param onProgress  called when a response begins to arrive and for each further part of it; may be empty
     * @return the changes, possibly none
     */
    Task<std::optional<TableRows>>
    watch(std::string table, uint64_t afterVersion, Duration wait, CancellationPtr cancellation = nullptr, std::function<void()> onProgress = {})
    {
        const auto epoch = m_epoch;
        HttpRequest request = Dialect::watch(table, afterVersion, wait);
        auto rows = parseRowsResponse(co_await sendRequest(std::move(request), wait + CallTimeout, std::move(cancellation), std::move(onProgress)));
        if (rows && epoch && m_epoch != epoch) {
            co_return LastError<TableStoreError>::fail(TableStoreError::HistoryLost);
        }
        co_return rows;
    }

    /** Applies a change if all its conditions hold. @param timeout  time to wait for the response */
    Task<std::optional<TableChangeResult>> commit(TableChange change, Duration timeout = CallTimeout)
    {
        const auto response = co_await sendRequest(Dialect::commit(change), timeout);
        if (!response) {
            co_return std::nullopt;
        }
        if (auto result = Dialect::parseChangeResult(*response)) {
            co_return result;
        }
        co_return LastError<TableStoreError>::fail(TableStoreError::Malformed);
    }

private:
    /** @return key of the last row that has one; malformed rows may have none */
    static std::string lastKey(const TableRows &page)
    {
        const auto last = std::find_if(page.rows.rbegin(), page.rows.rend(), [](const TableRow &row) { return !row.key.empty(); });
        return last == page.rows.rend() ? "" : last->key;
    }

    static std::optional<TableRows> parseRowsResponse(const std::optional<HttpResponse> &response)
    {
        if (!response) {
            return std::nullopt;
        }
        if (auto rows = Dialect::parseRowsResponse(*response)) {
            return rows;
        }
        return LastError<TableStoreError>::fail(TableStoreError::Malformed);
    }

    Task<std::optional<HttpResponse>>
    sendRequest(HttpRequest request, Duration timeout, CancellationPtr cancellation = nullptr, std::function<void()> onProgress = {})
    {
        if (!cancellation) {
            cancellation = std::make_shared<Cancellation>();
        }
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + timeout;
        options.connectTimeout = ConnectTimeout;
        options.onProgress = std::move(onProgress);
        ExchangeResult result = co_await m_connectionPool->exchange(std::move(request), std::move(options), std::move(cancellation));
        if (result.end == ExchangeEnd::NotSent) {
            co_return LastError<TableStoreError>::fail(TableStoreError::Unreachable);
        }
        if (result.end == ExchangeEnd::TimedOut) {
            m_connectionPool->closeIdle(); // they may have stopped delivering as well
        }
        if (result.end != ExchangeEnd::Answered) {
            co_return LastError<TableStoreError>::fail(TableStoreError::AnswerLost);
        }
        observeEpoch(Dialect::epoch(result.response));
        if (const auto error = Dialect::errorFromStatus(result.response)) {
            co_return LastError<TableStoreError>::fail(*error);
        }
        co_return std::move(result.response);
    }

    /** @param epoch  epoch that a response states; empty if it states none */
    void observeEpoch(std::optional<uint64_t> epoch)
    {
        if (!epoch || epoch == m_epoch) {
            return;
        }
        const auto previous = std::exchange(m_epoch, epoch);
        if (previous && m_onEpochChanged) {
            m_onEpochChanged(*previous, *epoch);
        }
    }

    std::shared_ptr<HttpClientPool> m_connectionPool;
    EpochHandler m_onEpochChanged;
    std::optional<uint64_t> m_epoch; /**< Epoch that the last response stated; empty before the first such response. */
};

} // namespace carobjunction
