#pragma once

#include "connection/blockinghttpclient.h"
#include "process/circuitbreaker.h"
#include "process/storetypes.h"

#include <condition_variable>
#include <memory>

namespace carobjunction
{

/** Options of a StoreClient. */
struct StoreClientOptions {
    std::string address; /**< `ip:port` */
    Duration timeout = std::chrono::milliseconds(500); /**< Time limit for a free connection, for opening one, and again for the response. */
    size_t maxConnections = 4; /**< Maximum number of connections, and thus of calls in progress. */
    CircuitBreakerOptions breaker;
};

/**
 * HTTP client of the table service and the object store. Satisfies the concept Store. Thread-safe.
 *
 * After repeated failures a CircuitBreaker opens, and calls fail immediately with `unavailable` until a trial call succeeds.
 */
class StoreClient
{
public:
    /** @return a client, or null if the address does not have the form `ip:port` */
    static std::unique_ptr<StoreClient> create(const StoreClientOptions &options);

    /**
     * Writes rows in one transaction.
     * @param atomic  whether all operations are applied or none
     * @return the result of each operation; after a failure with StoreError::mayHaveTakenEffect, the writes may still be committed
     */
    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic);

    /** @return the rows of those @p keys that exist */
    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys);

    /** @return all rows whose key starts with @p prefix */
    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix);

    /** @return whether the object was stored; after a failure with StoreError::mayHaveTakenEffect, it may still be stored */
    bool putObject(const std::string &name, const std::string &bytes);

    /** @return the content of the object; empty with StoreErrorCode::NotFound if it does not exist */
    std::optional<std::string> getObject(const std::string &name);

private:
    StoreClient(const StoreClientOptions &options, std::unique_ptr<BlockingHttpClient> client);

    /** Sends one request over a pooled connection. @return the body of the response if its status is 200 */
    std::optional<std::string> sendRequest(HttpRequest request, bool isWrite);
    std::optional<std::string> postJson(const char *path, const std::string &body, bool isWrite);
    std::optional<std::vector<StoreRow>> readRows(const std::optional<std::string> &request);
    /** Records the result in the circuit breaker and logs its state transitions. */
    void updateBreaker(CircuitBreaker<SteadyClock>::Permit permit, bool succeeded, const std::string &detail);
    /** @return whether a connection became free within the timeout */
    bool acquireConnection();
    void releaseConnection();

    const StoreClientOptions m_options;
    std::unique_ptr<BlockingHttpClient> m_client;
    SteadyClock m_clock;
    CircuitBreaker<SteadyClock> m_breaker;
    std::mutex m_mutex;
    std::condition_variable m_connectionReleased;
    size_t m_connectionsInUse = 0;
};

} // namespace carobjunction
