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
 * Sends messages to other daemons by address, and waits for the answers. Called from several threads at once.
 * An empty result means that no answer came within the timeout.
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

/** Settings of Gossip. */
struct GossipOptions {
    Duration interval = std::chrono::seconds(1); /**< Time between two calls of tick(). */
    Duration exchangeTimeout = std::chrono::milliseconds(500);
    Duration probeTimeout = std::chrono::milliseconds(500); /**< Time that a helper waits for the daemon it probes. */
    std::vector<std::string> seeds; /**< Peer addresses to join by. */
    OverlayOptions overlay;
    std::size_t maxEntries = 200; /**< Member entries in one message, so that a healed partition causes no burst. */
    std::size_t maxSummaries = 400; /**< Summaries in one message. */
    std::size_t maxConfigBytes = 512U << 10U; /**< Configuration contents in one message. gRPC refuses messages over 4 MiB. */
    uint64_t randomSeed = std::random_device {}();
};

/** What Gossip asks of the rest of the daemon. All members may be empty. */
struct GossipHooks {
    std::function<std::vector<std::string>()> lookupSeeds; /**< Peer addresses from the store, asked when no seed answers. */
    std::function<std::vector<v1::SuspectEntry>()> collectSuspects; /**< All suspects that have not expired. */
    std::function<bool(const v1::SuspectEntry &)> mergeSuspect; /**< Returns whether the entry was news. */
    /** Called when there is something to push: the daemon's gossip thread calls pushNow() soon. Must not block. */
    std::function<void()> wake;
    /** Runs a task that waits for the network, on another thread. If empty, tasks run on the calling thread. No task may be dropped. */
    std::function<void(std::function<void()>)> execute;
};

/** What all parts of Gossip work on. All references must outlive it. */
template<PeerTransport T, MonotonicClock C>
struct GossipContext {
    T &transport;
    const C &clock;
    MembershipView<C> &view;
    ConfigTable &configs;
    const GossipOptions options;
    const GossipHooks hooks;

    void wake() const
    {
        if (hooks.wake) {
            hooks.wake();
        }
    }
};

} // namespace carobjunction
