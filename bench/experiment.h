#pragma once

#include "fault.h"

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** Way of a call to a backend server. */
enum class CallPath {
    Routed, /**< To a daemon drawn at random among all, which routes it. */
    Direct, /**< Straight to the backend server. */
    Bare, /**< Through the bare path: HTTP server, one gRPC call, HTTP client, no decisions. */
    OneHop, /**< To the daemon beside the backend server: one hop. */
    TwoHops, /**< To the daemon beside another service's backend server: two hops. */
};

/** Limit on a figure, taken from the requirements. */
enum class CheckRelation {
    Value, /**< The figure itself. */
    Difference, /**< The figure minus the baseline's. */
    Ratio, /**< The figure over the baseline's. */
};

/** One sort of call in the load. */
struct CallKind {
    double share = 1; /**< Relative frequency. */
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    bool keyed = false; /**< Each call carries a fresh idempotency key. */
    bool idempotent = true; /**< Whether two runs of one call are allowed. */
    std::size_t answerBytes = 256;
};

/** A service and its targets. */
struct ServiceSpec {
    std::string name;
    std::size_t targets = 1;
    uint32_t slots = 9;
    double serviceTimeMs = 20;
    std::string distribution = "lognormal";
    std::vector<std::string> dataCentres; /**< Targets are placed on these in turn. */
    std::string config; /**< Service configuration as YAML. */
};

/** Processes of an experiment. */
struct ClusterSpec {
    bool store = true;
    std::vector<std::pair<std::string, std::string>> dataCentres; /**< Data centre and its region. */
    std::vector<ServiceSpec> services;
    std::string daemonSettings; /**< Further settings of each daemon as YAML. */
    uint32_t backendWorkers = 320;
};

/** What is compared. */
struct Variant {
    std::string name;
    std::string policy; /**< Policy of all services; `oracle` for choices made by the bench; empty: as configured. */
    CallPath path = CallPath::Routed;
    std::string config; /**< Changes to each service's configuration as YAML. */
    std::size_t targets = 0; /**< If not 0, replaces each service's number of targets. */
};

/** Circumstances under which the variants are compared. */
struct Scenario {
    std::string name = "calm";
    bool idle = false; /**< No calls at all. */
    std::vector<FaultSpec> faults;
};

/** Amount of load. */
struct LoadLevel {
    std::string name;
    double callsPerSecond = 0; /**< Over the whole system. */
    double perTarget = 0; /**< Calls per second and target, if not 0. */
    double capacityShare = 0; /**< Share of slots over service time of all targets, if not 0. */
};

/** A stated target, judged after the run for each load and scenario that it names. */
struct Check {
    std::string name;
    std::string measure;
    CheckRelation relation = CheckRelation::Value;
    std::string variant;
    std::string baseline;
    std::vector<std::string> scenarios; /**< Empty: all. */
    std::vector<std::string> loads; /**< Empty: all. */
    double atMost = 0;
};

/** An experiment as its file states it. */
struct Experiment {
    std::string name;
    std::string description;
    uint64_t seed = 1;
    std::size_t rounds = 2;
    Duration warmUp = std::chrono::seconds(2);
    Duration length = std::chrono::seconds(8); /**< After the warm-up. */
    std::size_t senders = 256; /**< Most calls in progress at once. */
    Duration deadline = std::chrono::seconds(5); /**< Sent with each call. */
    uint32_t resends = 0; /**< How often a caller sends a keyed call again when no answer came. */
    ClusterSpec cluster;
    std::vector<CallKind> calls;
    std::vector<Variant> variants;
    std::vector<Scenario> scenarios;
    std::vector<LoadLevel> loads;
    std::vector<Check> checks;
};

} // namespace carobjunction::bench

namespace carobjunction
{

template<>
struct EnumNames<bench::CallPath> {
    static constexpr std::pair<bench::CallPath, std::string_view> Table[] = {
        { bench::CallPath::Routed, "routed" }, { bench::CallPath::Direct, "direct" }, { bench::CallPath::Bare, "bare" },
        { bench::CallPath::OneHop, "own" },    { bench::CallPath::TwoHops, "other" },
    };
};

template<>
struct EnumNames<bench::CheckRelation> {
    static constexpr std::pair<bench::CheckRelation, std::string_view> Table[] = {
        { bench::CheckRelation::Value, "value" },
        { bench::CheckRelation::Difference, "difference" },
        { bench::CheckRelation::Ratio, "ratio" },
    };
};

} // namespace carobjunction
