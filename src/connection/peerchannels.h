#pragma once

#include <carobjunction/request/callresult.h>

#include <peer.grpc.pb.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace carobjunction
{

class Metrics;
class TlsCredentials;

/** A request dispatched to another daemon. Keeps itself alive until its completion has been called. */
class PeerCall
{
public:
    virtual ~PeerCall() = default;

    /** Cancels the request at the other daemon. Best effort; the completion is still called. */
    virtual void cancel() = 0;
};

/**
 * gRPC channels to other daemons, opened on first use. Thread-safe. Satisfies the concept PeerTransport of the gossip protocol.
 */
class PeerChannels
{
public:
    using Completion = std::function<void(CallResult)>;

    /**
     * @param credentials  must outlive the channels
     * @param maxBodyBytes  maximum size of a request or response body
     */
    PeerChannels(const TlsCredentials &credentials, Metrics &metrics, uint64_t maxBodyBytes);
    ~PeerChannels();

    /**
     * Sends a request once, without retries. The completion is called exactly once, on any thread, possibly before this function returns.
     * Outcome::NotRun with Reason::PeerUnreachable means that no connection could be opened, so nothing was sent.
     * @param deadline  time by which the response must be received
     * @param networkTime  network time of the response; the deadline sent to the peer is earlier by this time
     * @return the call, or null if no connection could be opened
     */
    std::shared_ptr<PeerCall> dispatch(const std::string &address, v1::DispatchRequest request, Deadline deadline, Duration networkTime, Completion completion);

    /** Queries the load of the target of a peer. @return the load, or empty if the peer did not respond within @p timeout */
    std::optional<LoadReport> probe(const std::string &address, const std::string &service, Duration timeout);

    /** Exchanges gossip state with a peer. @return the response, or empty if the peer did not respond within @p timeout */
    std::optional<v1::ExchangeResponse> exchange(const std::string &address, const v1::ExchangeRequest &request, Duration timeout);

    /** Requests a peer to probe another daemon. @return whether the peer reached that daemon, or empty if the peer did not respond within @p timeout */
    std::optional<bool> indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration timeout);

    /** Queries the configurations in force at a peer. @return them, or empty if the peer did not respond within @p timeout */
    std::optional<v1::InForceResponse> inForce(const std::string &address, const v1::InForceRequest &request, Duration timeout);

    /**
     * Waits until no dispatched request is in progress, so that none refers to parts of the daemon that are about to be destroyed.
     * @return false if requests were still in progress after @p limit
     */
    bool waitUntilIdle(Duration limit);

    /** Closes channels that have not been used for 60 s. Call it every few seconds. */
    void closeIdle();

private:
    struct Channel;

    std::shared_ptr<Channel> channel(const std::string &address);
    bool waitUntilConnected(Channel &channel, Deadline deadline) const;

    const TlsCredentials &m_credentials;
    Metrics &m_metrics;
    const uint64_t m_maxBodyBytes;
    std::atomic<uint32_t> m_activeDispatchCount { 0 }; /**< Dispatched requests in progress. */
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Channel>> m_channels;
};

} // namespace carobjunction
