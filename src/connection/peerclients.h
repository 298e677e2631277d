#pragma once

#include "connection/httpclientpool.h"
#include "connection/peercodec.h"
#include "request/forwarding.h"

#include <map>
#include <memory>
#include <string>

namespace carobjunction
{

/** Connections to the other daemons. Used on one event loop; not thread-safe. */
class PeerClients
{
public:
    /** @param bodies  room for the bodies of answers; null: without a bound over all of them */
    explicit PeerClients(asio::io_context &loop, std::shared_ptr<BodyBudget> bodies = nullptr) : m_loop(loop), m_bodies(std::move(bodies))
    {
    }

    /** Sends a request to the daemon beside a target and waits for the result. */
    Task<ForwardResult> forward(std::string address, bool isSameRegion, ForwardRequest request, CancellationPtr cancellation);

    /** Asks a daemon for what it knows. @return its state as text, or empty */
    Task<std::optional<std::string>> fetchState(std::string address, StatePart part);

    /** Closes the connections to a daemon that is gone. */
    void forget(const std::string &address);

private:
    std::shared_ptr<HttpClientPool> pool(const std::string &address);

    asio::io_context &m_loop;
    std::shared_ptr<BodyBudget> m_bodies;
    uint64_t m_lastCallNumber = 0;
    std::map<std::string, std::shared_ptr<HttpClientPool>> m_pools;
};

} // namespace carobjunction
