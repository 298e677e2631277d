#pragma once

#include "connection/httpclientpool.h"
#include "connection/peercodec.h"
#include "request/forwarding.h"

#include <map>
#include <memory>
#include <string>

namespace carobjunction
{

/** HTTP clients for the other daemons, with one connection pool per daemon. Used on one event loop; not thread-safe. */
class PeerClients
{
public:
    /** @param sharedBodyBudget  budget for response bodies; null for no limit on their total size */
    explicit PeerClients(asio::io_context &loop, std::shared_ptr<BodyBudget> sharedBodyBudget = nullptr)
        : m_loop(loop), m_bodyBudget(std::move(sharedBodyBudget))
    {
    }

    /** Forwards a request to the daemon on the VM of a target and waits for the result. */
    Task<ForwardResult> forward(std::string address, bool isSameRegion, ForwardRequest request, CancellationPtr cancellation);

    /**
     * Queries part of the state of a daemon.
     * @param daemon  daemon whose record is queried, for StatePart::HeldRecord
     * @return the encoded state, or empty if the daemon did not respond in time or responded with an error
     */
    Task<std::optional<std::string>> fetchState(std::string address, StatePart part, std::string daemon = "");

    /** Closes the idle connections to a daemon that has left the cluster, and removes its pool. */
    void closeConnections(const std::string &address);

private:
    std::shared_ptr<HttpClientPool> pool(const std::string &address);

    asio::io_context &m_loop;
    std::shared_ptr<BodyBudget> m_bodyBudget;
    uint64_t m_lastCallNumber = 0;
    std::map<std::string, std::shared_ptr<HttpClientPool>> m_pools;
};

} // namespace carobjunction
