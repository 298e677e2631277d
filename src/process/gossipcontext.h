#pragma once

#include <carobjunction/process/membershipview.h>
#include <carobjunction/version/configtable.h>

#include "process/overlay.h"
#include "process/wireentries.h"

#include <concepts>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace carobjunction
{

/**
 * Sends requests to other daemons by address, and waits for the responses. Must be thread-safe.
 * The result is empty if no response arrives within the timeout.
 */
template<typename T>
concept PeerTransport
    = requires(T &transport, const std::string &address, const v1::ExchangeRequest &exchange, const v1::IndirectProbeRequest &probe, Duration timeout)
{
    {
        transport.exchange(address, exchange, timeout)
        } -> std::same_as<std::optional<v1::ExchangeResponse>>;
    {
        transport.indirectProbe(address, probe, timeout)
        } -> std::same_as<std::optional<bool>>;
};

/** Parameters of Gossip. */
struct GossipOptions {
    Duration interval = std::chrono::seconds(1); /**< Time between two calls of tick(). */
    Duration exchangeTimeout = std::chrono::milliseconds(500);
    Duration probeTimeout = std::chrono::milliseconds(500); /**< Time that a helper waits for the response of a daemon that it probes. */
    std::vector<std::string> seeds; /**< Peer addresses of the daemons that are contacted to join. */
    OverlayOptions overlay;
    std::size_t maxMemberEntries = 200; /**< Limit of member entries in one message, so that a healed partition causes no burst. */
    std::size_t maxSummaries = 400; /**< Limit of member summaries in one message. */
    std::size_t maxConfigBytes = 512U << 10U; /**< Limit of configuration contents in one message, in bytes. gRPC rejects messages over 4 MiB. */
    uint64_t randomSeed = std::random_device {}();
};

/** Callbacks of Gossip to other components of the daemon. Each may be empty. */
struct GossipCallbacks {
    std::function<std::vector<std::string>()>
        lookupSeeds; /**< Returns peer addresses from the store; called if no configured seed answers, and from time to time to reconnect. */
    std::function<std::vector<v1::SuspectEntry>()> collectSuspects; /**< Returns all suspects that have not expired. */
    std::function<bool(const v1::SuspectEntry &)> mergeSuspect; /**< Merges an entry. Returns whether it changed the table of suspects. */
    /** Called if updates are pending: requests that the gossip thread of the daemon calls pushUpdates() soon. Must not block. */
    std::function<void()> wake;
    /** Runs a task that blocks on the network on another thread. If empty, tasks run on the calling thread. Must not drop a task. */
    std::function<void(std::function<void()>)> execute;
};

/** Dependencies and options shared by the components of Gossip. All references must outlive it. */
template<PeerTransport T, MonotonicClock C>
struct GossipContext {
    T &transport;
    const C &clock;
    MembershipView<C> &view;
    ConfigTable &configs;
    const GossipOptions options;
    const GossipCallbacks callbacks;

    void wake() const
    {
        if (callbacks.wake) {
            callbacks.wake();
        }
    }
};

} // namespace carobjunction
