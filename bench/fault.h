#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstddef>
#include <optional>

namespace carobjunction::bench
{

/** Disturbances that the bench can cause. */
enum class FaultKind {
    Straggler, /**< Random targets become slow for random times, over and over. */
    Slow, /**< One target is slow for a given time, as beside a noisy neighbour. */
    FailFast, /**< One target answers everything with an error at once. */
    ColdStart, /**< One target doesn't exist until the given time, and is slow at first. */
    KillBackend, /**< The backend server's process is killed, and started again if a time is given. */
    KillDaemon, /**< The backend server's and the daemon's processes are killed, as when a VM is lost. */
    Leave, /**< The backend server announces that it is leaving. */
    StoreOutage, /**< The store answers with errors. */
    RollingRestart, /**< Every daemon and backend server is replaced, one after the other. */
};

} // namespace carobjunction::bench

namespace carobjunction
{

template<>
struct EnumNames<bench::FaultKind> {
    static constexpr std::pair<bench::FaultKind, std::string_view> Table[] = {
        { bench::FaultKind::Straggler, "straggler" },
        { bench::FaultKind::Slow, "slow" },
        { bench::FaultKind::FailFast, "fail-fast" },
        { bench::FaultKind::ColdStart, "cold-start" },
        { bench::FaultKind::KillBackend, "kill" },
        { bench::FaultKind::KillDaemon, "kill-daemon" },
        { bench::FaultKind::Leave, "leave" },
        { bench::FaultKind::StoreOutage, "store-outage" },
        { bench::FaultKind::RollingRestart, "rolling-restart" },
    };
};

} // namespace carobjunction

namespace carobjunction::bench
{

/** A disturbance as an experiment states it. */
struct FaultSpec {
    FaultKind kind = FaultKind::Straggler;
    std::optional<std::size_t> target; /**< Index over all services; empty for random or all. */
    double share = 0; /**< Share of the targets, for faults that hit many at once; 0: one target. */
    Duration at = Duration::zero();
    Duration length = Duration::zero(); /**< Zero: until the end. */
    Duration shortest = std::chrono::milliseconds(50); /**< Of a random straggler. */
    Duration longest = std::chrono::seconds(2);
    Duration meanGap = std::chrono::seconds(1); /**< Between the starts of random stragglers. */
    double factor = 10;
    int status = 503;
};

/** One action at one point in time. */
struct FaultAction {
    FaultKind kind = FaultKind::Straggler;
    Duration at = Duration::zero();
    Duration length = Duration::zero();
    std::size_t target = 0;
    double factor = 1;
    int status = 0;

    bool operator==(const FaultAction &) const = default;
};

} // namespace carobjunction::bench
