#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>
#include <carobjunction/request/reason.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>

namespace carobjunction
{

/** Monotonic counters of a daemon. */
enum class Counter {
    CallsRan,
    CallsNotRun,
    CallsUnknown,
    Attempts,
    Reroutes,
    Retries,
    Hedges,
    RetriesDenied,
    Refusals,
    Crashes,
    Probes,
    ProbeBytes,
    ProbeBytesCrossRegion,
    ProbesSkipped,
    GossipBytesSent,
    GossipBytesReceived,
    DispatchBytesCrossRegion,
    AnswersDiscarded,
    AnswersUndelivered,
    StoreFailures,
    BodiesWithoutRoom,
    RouteChecks, /**< Checks whether the store has newer routes, because nothing confirmed those in force. */
    WatchesAbandoned,
    StoreRestores, /**< Restores of the store from an older copy. */
    Count, /**< Number of counters. */
};

template<>
struct EnumNames<Counter> {
    static constexpr std::pair<Counter, std::string_view> Table[] = {
        { Counter::CallsRan, "carobjunction_calls_ran_total" },
        { Counter::CallsNotRun, "carobjunction_calls_not_run_total" },
        { Counter::CallsUnknown, "carobjunction_calls_unknown_total" },
        { Counter::Attempts, "carobjunction_attempts_total" },
        { Counter::Reroutes, "carobjunction_reroutes_total" },
        { Counter::Retries, "carobjunction_retries_total" },
        { Counter::Hedges, "carobjunction_hedges_total" },
        { Counter::RetriesDenied, "carobjunction_retries_denied_total" },
        { Counter::Refusals, "carobjunction_refusals_total" },
        { Counter::Crashes, "carobjunction_backend_crashes_total" },
        { Counter::Probes, "carobjunction_probes_total" },
        { Counter::ProbeBytes, "carobjunction_probe_bytes_total" },
        { Counter::ProbeBytesCrossRegion, "carobjunction_probe_bytes_cross_region_total" },
        { Counter::ProbesSkipped, "carobjunction_probes_skipped_total" },
        { Counter::GossipBytesSent, "carobjunction_gossip_bytes_sent_total" },
        { Counter::GossipBytesReceived, "carobjunction_gossip_bytes_received_total" },
        { Counter::DispatchBytesCrossRegion, "carobjunction_dispatch_bytes_cross_region_total" },
        { Counter::AnswersDiscarded, "carobjunction_answers_discarded_total" },
        { Counter::AnswersUndelivered, "carobjunction_answers_undelivered_total" },
        { Counter::StoreFailures, "carobjunction_store_failures_total" },
        { Counter::BodiesWithoutRoom, "carobjunction_bodies_without_room_total" },
        { Counter::RouteChecks, "carobjunction_route_checks_total" },
        { Counter::WatchesAbandoned, "carobjunction_watches_abandoned_total" },
        { Counter::StoreRestores, "carobjunction_store_restores_total" },
    };
};

/** Durations whose distribution a daemon exports as histogram and quantiles, in seconds. */
enum class Histogram {
    CallLatency,
    ServiceTime,
    AddedLatency, /**< Part of the call latency that was spent outside the backend server. */
    Count, /**< Number of distributions. */
};

template<>
struct EnumNames<Histogram> {
    static constexpr std::pair<Histogram, std::string_view> Table[] = {
        { Histogram::CallLatency, "carobjunction_call_latency_seconds" },
        { Histogram::ServiceTime, "carobjunction_service_time_seconds" },
        { Histogram::AddedLatency, "carobjunction_added_latency_seconds" },
    };
};

/** Gauges of a daemon. */
enum class Gauge {
    ConfigVersion,
    KnownVms,
    StoreReachable, /**< 1 if the store is reachable, otherwise 0. */
    SlotLimit,
    BodyBytesHeld,
    RouteConfirmationAgeMs, /**< Time since the routes in force were known to be the newest; 0 before the first routes. */
    Count, /**< Number of gauges. */
};

template<>
struct EnumNames<Gauge> {
    static constexpr std::pair<Gauge, std::string_view> Table[] = {
        { Gauge::ConfigVersion, "carobjunction_config_version" },   { Gauge::KnownVms, "carobjunction_known_vms" },
        { Gauge::StoreReachable, "carobjunction_store_reachable" }, { Gauge::SlotLimit, "carobjunction_slot_limit" },
        { Gauge::BodyBytesHeld, "carobjunction_body_bytes_held" },  { Gauge::RouteConfirmationAgeMs, "carobjunction_route_confirmation_age_ms" },
    };
};

/** Holds the counters, gauges and latency histograms of a daemon. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void add(Counter counter, uint64_t amount = 1);
    uint64_t value(Counter counter) const;
    void observe(Histogram histogram, Duration duration);
    void set(Gauge gauge, uint64_t value);

    /** Counts a refused request, in total and by reason. */
    void addRefusal(Reason reason);

    /** @return all metrics in the Prometheus text exposition format */
    std::string toPrometheus() const;

private:
    struct Distribution;

    static void writeDistribution(std::ostream &text, const std::string &name, const Distribution &distribution);

    std::array<std::atomic<uint64_t>, static_cast<size_t>(Counter::Count)> m_counters {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Gauge::Count)> m_gauges {};
    std::array<std::atomic<uint64_t>, std::size(EnumNames<Reason>::Table)> m_refusalsByReason {}; /**< Indexed by Reason. */
    std::array<std::unique_ptr<Distribution>, static_cast<size_t>(Histogram::Count)> m_distributions;
};

} // namespace carobjunction
