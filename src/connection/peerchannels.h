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

/** A request on its way to another daemon. Keeps itself alive until its completion was called. */
class PeerCall
{
public:
    virtual ~PeerCall() = default;

    /** Asks the other daemon to withdraw the request. */
    virtual void cancel() = 0;
};

/**
 * gRPC connections to other daemons, opened when first used. Thread-safe. Meets the concept PeerTransport of the gossip.
 */
class PeerChannels
{
public:
    using Completion = std::function<void(CallResult)>;

    /**
     * @param credentials  must outlive the channels
     * @param maxBodyBytes  largest request or answer body
     */
    PeerChannels(const TlsCredentials &credentials, Metrics &metrics, uint64_t maxBodyBytes);
    ~PeerChannels();

    /**
     * Sends a request once. The completion is called exactly once, on any thread, possibly before this returns.
     * NotRun with Reason::PeerUnreachable means that no connection existed, so nothing was sent.
     * @param deadline  time by which the answer must be here; the peer is told the remaining time less @p networkTime
     */
    std::shared_ptr<PeerCall> dispatch(const std::string &address, v1::DispatchRequest request, Deadline deadline, Duration networkTime, Completion completion);

    /** @return load of the peer's target, empty if it did not answer in time */
    std::optional<LoadReport> probe(const std::string &address, const std::string &service, Duration timeout);

    /** @return answer of the peer, empty if it did not answer in time */
    std::optional<v1::ExchangeResponse> exchange(const std::string &address, const v1::ExchangeRequest &request, Duration timeout);

    /** @return whether the peer reached the daemon named in the request; empty if the peer did not answer */
    std::optional<bool> indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration timeout);

    /** @return configurations in force at the peer, empty if it did not answer in time */
    std::optional<v1::InForceResponse> inForce(const std::string &address, const v1::InForceRequest &request, Duration timeout);

    /**
     * Waits until no dispatched request is in progress, so that none refers to parts of the daemon that are about to end.
     * @return false if @p limit passed first
     */
    bool waitUntilIdle(Duration limit);

    /** Closes channels that were not used for a while. To be called every few seconds. */
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
