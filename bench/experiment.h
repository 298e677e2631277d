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

/** Path that a call takes to a backend server. */
enum class CallPath {
    Routed, /**< To a daemon chosen at random among all daemons, which routes the call. */
    Direct, /**< Directly to the backend server, without any daemon. */
    Bare, /**< Through a BarePath: HTTP server, one gRPC call and HTTP client, without any routing decision. */
    OneHop, /**< To the daemon of one of the targets of the service. */
    TwoHops, /**< To the daemon of a target of another service, which forwards the call to a second daemon. */
};

/** Specifies which value a check compares with its limit. */
enum class CheckRelation {
    Value, /**< The figure of the variant. */
    Difference, /**< The figure of the variant minus that of the baseline. */
    Ratio, /**< The figure of the variant divided by that of the baseline. */
};

/** A type of call in the generated load. */
struct CallKind {
    double share = 1; /**< Relative frequency among all types of call. */
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    bool keyed = false; /**< Whether each call carries a unique idempotency key. */
    bool idempotent = true; /**< Whether backend servers may run the same call more than once. */
    std::size_t answerBytes = 256; /**< Size of the requested response body. */
};

/** A service of the cluster and its targets. */
struct ServiceSpec {
    std::string name;
    std::size_t targets = 1; /**< Number of targets. */
    uint32_t slots = 9; /**< Number of requests that each backend server runs concurrently. */
    double serviceTimeMs = 20;
    std::string distribution = "lognormal"; /**< Distribution of the service times, as named by the stand-in backend server. */
    std::vector<std::string> dataCentres; /**< Targets are assigned to these in round-robin order. */
    std::string config; /**< Service configuration as YAML. */
};

/** Processes that an experiment runs. */
struct ClusterSpec {
    bool store = true; /**< Whether to run a store. */
    std::vector<std::pair<std::string, std::string>> dataCentres; /**< Names of the data centres, each with its region. */
    std::vector<ServiceSpec> services;
    std::string daemonSettings; /**< Additional settings of every daemon as YAML. */
    uint32_t backendWorkers = 320; /**< Number of worker threads of each backend server. */
};

/** One of the alternatives that an experiment compares, such as a routing policy. */
struct Variant {
    std::string name;
    std::string policy; /**< Routing policy of all services. With `oracle` the bench chooses the targets; if empty, each service uses its configured policy. */
    CallPath path = CallPath::Routed;
    std::string config; /**< YAML mapping merged into the configuration of each service. */
    std::size_t targets = 0; /**< If not 0, overrides the number of targets of each service. */
};

/** Faults under which the variants are compared. */
struct Scenario {
    std::string name = "calm";
    bool idle = false; /**< Whether the run sends no calls. */
    std::vector<FaultSpec> faults;
};

/** Rate of the generated load, given in one of three ways. */
struct LoadLevel {
    std::string name;
    double callsPerSecond = 0; /**< Total rate over all services. */
    double perTarget = 0; /**< Calls per second for each target. Takes precedence over the other fields if not 0. */
    double capacityShare = 0; /**< Share of the capacity, which is slots divided by service time. Takes precedence over callsPerSecond if not 0. */
};

/** A performance requirement that is evaluated after the runs for each matching combination of scenario and load. */
struct Check {
    std::string name;
    std::string measure; /**< Name of the figure to check. */
    CheckRelation relation = CheckRelation::Value;
    std::string variant;
    std::string baseline; /**< Variant to compare with; not used by CheckRelation::Value. */
    std::vector<std::string> scenarios; /**< Scenarios to check; all if empty. */
    std::vector<std::string> loads; /**< Loads to check; all if empty. */
    double atMost = 0; /**< Largest value that meets the requirement. */
};

/** An experiment as defined in an experiment file. */
struct Experiment {
    std::string name;
    std::string description;
    uint64_t seed = 1;
    std::size_t rounds = 2;
    Duration warmUp = std::chrono::seconds(2); /**< Period at the start of each run whose calls are left out of the latency figures. */
    Duration length = std::chrono::seconds(8); /**< Duration of the measurement, which follows the warm-up. */
    std::size_t senders = 256; /**< Number of sender threads, which limits the calls in progress. */
    Duration deadline = std::chrono::seconds(5); /**< Relative deadline that each call carries. */
    uint32_t resends = 0; /**< Maximum number of times a caller resends a keyed or idempotent call that received no response. */
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
