#pragma once

#include "process/circuitbreaker.h"
#include "process/storetypes.h"

#include <condition_variable>
#include <functional>
#include <memory>

namespace httplib
{
class Client;
class Result;
} // namespace httplib

namespace carobjunction
{

/** Options of a StoreClient. */
struct StoreClientOptions {
    std::string address; /**< `ip:port` */
    Duration timeout = std::chrono::milliseconds(500); /**< Time limit for obtaining a connection, and again for the response. */
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

    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

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
    using SendFunction = std::function<httplib::Result(httplib::Client &)>;

    StoreClient(const StoreClientOptions &options, std::string host, int port);

    /** Sends one request over a pooled connection. @return the body of the response if its status is 200 */
    std::optional<std::string> sendRequest(const SendFunction &send, bool isWrite);
    /** @return the body of a response with status 200; otherwise empty with the matching StoreError */
    std::optional<std::string> bodyOrError(const httplib::Result &result, bool isWrite) const;
    std::optional<std::vector<StoreRow>> readRows(const std::optional<std::string> &request);
    /** Records the result in the circuit breaker and logs its state transitions. */
    void updateBreaker(CircuitBreaker<SteadyClock>::Permit permit, bool succeeded, const std::string &detail);
    /** @return a connection, or null if none became free within the timeout */
    std::unique_ptr<httplib::Client> acquireConnection();
    void releaseConnection(std::unique_ptr<httplib::Client> connection);
    /** @return a client object that connects on its first request */
    std::unique_ptr<httplib::Client> createConnection() const;

    const StoreClientOptions m_options;
    const std::string m_host;
    const int m_port;
    SteadyClock m_clock;
    CircuitBreaker<SteadyClock> m_breaker;
    std::mutex m_mutex;
    std::condition_variable m_connectionReleased;
    std::vector<std::unique_ptr<httplib::Client>> m_idleConnections;
    size_t m_connectionsInUse = 0;
};

} // namespace carobjunction
