#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstddef>
#include <optional>

namespace carobjunction::bench
{

/** Types of fault that the bench can inject. */
enum class FaultKind {
    Straggler, /**< Random targets repeatedly become slow for random periods. */
    Slow, /**< A target is slow for a given period, as if it had a noisy neighbour. */
    FailFast, /**< A target immediately answers every request with an error. */
    ColdStart, /**< The backend server of a target is started only at the given time, and is slow at first. */
    KillBackend, /**< A backend server is killed, and restarted after the given period if one is set. */
    KillNode, /**< A backend server and its daemon are killed, as if their VM were lost, and restarted as with KillBackend. */
    Leave, /**< A backend server announces that it is leaving. */
    StoreOutage, /**< The store answers every request with an error. */
    RollingRestart, /**< All pairs of daemon and backend server are replaced one after another. */
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
        { bench::FaultKind::KillNode, "kill-daemon" },
        { bench::FaultKind::Leave, "leave" },
        { bench::FaultKind::StoreOutage, "store-outage" },
        { bench::FaultKind::RollingRestart, "rolling-restart" },
    };
};

} // namespace carobjunction

namespace carobjunction::bench
{

/** A fault as defined in an experiment file. Fields that a FaultKind does not use are ignored. */
struct FaultSpec {
    FaultKind kind = FaultKind::Straggler;
    std::optional<std::size_t> target; /**< Index over the targets of all services; if empty, targets are chosen at random. */
    double share = 0; /**< Share of the targets that are affected if `target` is empty; 0 affects one target. */
    Duration at = Duration::zero(); /**< Start of the fault after the warm-up. */
    Duration length = Duration::zero(); /**< Duration of the fault; zero for the rest of the run. */
    Duration shortest = std::chrono::milliseconds(50); /**< Shortest slow period of a straggler. */
    Duration longest = std::chrono::seconds(2); /**< Longest slow period of a straggler. */
    Duration meanGap = std::chrono::seconds(1); /**< Mean interval between the starts of stragglers. */
    double factor = 10; /**< Factor by which service times are multiplied. */
    int status = 503; /**< HTTP status of FailFast responses. */
};

/** A fault of one target at a planned time. */
struct FaultAction {
    FaultKind kind = FaultKind::Straggler;
    Duration at = Duration::zero(); /**< Planned time, relative to the start of the schedule. */
    Duration length = Duration::zero(); /**< Zero for the rest of the run. */
    std::size_t target = 0;
    double factor = 1;
    int status = 0;

    bool operator==(const FaultAction &) const = default;
};

} // namespace carobjunction::bench
