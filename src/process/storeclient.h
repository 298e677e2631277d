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

/** Settings of a StoreClient. */
struct StoreClientOptions {
    std::string address; /**< `ip:port` */
    Duration timeout = std::chrono::milliseconds(500); /**< Longest wait for a connection, and again for an answer. */
    size_t connections = 4; /**< Largest number of connections, and so of calls in progress. */
    CircuitBreakerOptions breaker;
};

/**
 * Client of the table service and the object store over HTTP. Satisfies the concept Store. Thread-safe.
 *
 * After failures it stops calling for a while (see CircuitBreaker) and fails calls at once with `unavailable`.
 */
class StoreClient
{
public:
    /** @return a client, or null if the address is not `ip:port` */
    static std::unique_ptr<StoreClient> create(const StoreClientOptions &options);

    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /**
     * Writes rows in one transaction.
     * @param atomic  whether all ops apply or none
     * @return what became of each op; a failure whose reason says mayHaveTakenEffect may come into force later
     */
    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic);

    /** @return the rows that exist among @p keys */
    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys);

    /** @return all rows whose key starts with @p prefix */
    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix);

    /** @return whether the object is stored; on failure it may be stored all the same */
    bool putObject(const std::string &name, const std::string &bytes);

    /** @return the object's bytes; the reason is `not-found` if it does not exist */
    std::optional<std::string> getObject(const std::string &name);

private:
    using Call = std::function<httplib::Result(httplib::Client &)>;

    StoreClient(const StoreClientOptions &options, std::string host, int port);

    /** Makes one call with a pooled connection. @return the body of an answer with status 200 */
    std::optional<std::string> call(const Call &function, bool isWrite);
    std::optional<std::string> interpret(const httplib::Result &result, bool isWrite) const;
    std::optional<std::vector<StoreRow>> readRows(const std::optional<std::string> &request);
    void reportResult(CircuitBreaker<SteadyClock>::Permit permit, bool succeeded, const std::string &detail);
    std::unique_ptr<httplib::Client> takeConnection();
    void returnConnection(std::unique_ptr<httplib::Client> connection);
    std::unique_ptr<httplib::Client> connect() const;

    const StoreClientOptions m_options;
    const std::string m_host;
    const int m_port;
    SteadyClock m_clock;
    CircuitBreaker<SteadyClock> m_breaker;
    std::mutex m_mutex;
    std::condition_variable m_returned;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
    size_t m_inUse = 0;
};

} // namespace carobjunction
