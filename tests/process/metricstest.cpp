#include "process/metrics.h"

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE("Metrics.latencies.fallIntoCumulativeBuckets")
{
    // Guards against buckets that are not cumulative, so that a monitoring system can't aggregate them over several daemons.
    Metrics metrics;
    metrics.observe(Histogram::CallLatency, 4ms);
    metrics.observe(Histogram::CallLatency, 80ms);
    metrics.observe(Histogram::CallLatency, 20s);
    const std::string text = metrics.toPrometheus();
    CHECK(text.find("# TYPE carobjunction_call_latency_seconds histogram") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_bucket{le=\"0.0025\"} 0\n") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_bucket{le=\"0.005\"} 1\n") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_bucket{le=\"0.1\"} 2\n") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_bucket{le=\"10\"} 2\n") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("carobjunction_call_latency_seconds_count 3\n") != std::string::npos);
}

TEST_CASE("Metrics.refusals.areCountedByReason")
{
    // Guards against an increase of refusals whose cause can't be determined from the metrics.
    Metrics metrics;
    metrics.addRefusal(Reason::Full);
    metrics.addRefusal(Reason::Full);
    metrics.addRefusal(Reason::HostSlow);
    const std::string text = metrics.toPrometheus();
    CHECK(text.find("carobjunction_refusals_total 3\n") != std::string::npos);
    CHECK(text.find("carobjunction_refusals_by_reason_total{reason=\"full\"} 2\n") != std::string::npos);
    CHECK(text.find("carobjunction_refusals_by_reason_total{reason=\"host-slow\"} 1\n") != std::string::npos);
}

TEST_CASE("Metrics.gauge.showsTheLastValue")
{
    Metrics metrics;
    metrics.set(Gauge::ConfigVersion, 7);
    metrics.set(Gauge::ConfigVersion, 9);
    CHECK(metrics.toPrometheus().find("carobjunction_config_version 9\n") != std::string::npos);
}
