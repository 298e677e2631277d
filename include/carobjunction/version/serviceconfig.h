#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>
#include <carobjunction/request/priority.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Load-balancing policy by which an entry daemon chooses a target. */
enum class PolicyKind {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    LatencyWeighted,
    ProbePool,
    Predicted,
    LocalOnly, /**< Chooses only the target of the entry daemon itself; for experiments. */
};

template<>
struct EnumNames<PolicyKind> {
    static constexpr std::pair<PolicyKind, std::string_view> Table[] = {
        { PolicyKind::Random, "random" },
        { PolicyKind::RoundRobin, "round-robin" },
        { PolicyKind::LeastReported, "least-reported" },
        { PolicyKind::TwoChoices, "two-choices" },
        { PolicyKind::LatencyWeighted, "latency-weighted" },
        { PolicyKind::ProbePool, "probe-pool" },
        { PolicyKind::Predicted, "predicted" },
        { PolicyKind::LocalOnly, "local-only" },
    };
};

/** Rule for the requests of a service that match a method and a path prefix. The first matching rule in file order applies. */
struct RouteRule {
    std::string method; /**< HTTP method, or "*" for all methods. */
    std::string pathPrefix; /**< Matches whole path segments: "/stock" matches "/stock" and "/stock/7" but not "/stocks". */
    bool idempotent = false;
    Duration deadline = std::chrono::seconds(5); /**< Time to answer if the caller sends no deadline; also the upper limit for the caller's deadline. */
    Priority priority = Priority::Normal;
    uint32_t maxRetries = 0; /**< Maximum number of retries after attempts that may have run; only for idempotent routes. */
    bool hedge = false; /**< Whether slow requests are hedged; only for idempotent routes. */
    bool keyRequired = false; /**< Whether non-idempotent requests without an idempotency key are refused. */
};

/** Budget of one entry daemon for probing the load of a service's targets that regular traffic does not reach. */
struct ProbeBudgetRules {
    double probesPerSecond = 2;
    double crossRegionBytesPerSecond = 200;
};

/** Rules for the choice of targets. */
struct RoutingRules {
    PolicyKind policy = PolicyKind::Predicted;
    uint32_t choices = 3; /**< Number of candidates sampled per routing decision. */
    Duration staleAfter = std::chrono::milliseconds(200); /**< Age from which a load report is no longer used. */
    Duration regionCost = std::chrono::milliseconds(60); /**< Assumed round-trip time to another region, added to the latency of targets there. */
    double maxEjectedShare = 0.3; /**< Maximum share of the targets that are ejected at the same time, from 0 to 1. */
    uint32_t maxReroutes = 3; /**< Maximum number of further targets tried after refusals. */
};

/** Limits on retries and hedges. */
struct RetryRules {
    double budgetShare = 0.1; /**< Maximum number of retries and hedges, as a share of the number of first attempts, from 0 to 1. */
    double hedgeQuantile = 0.95; /**< Latency quantile that is used as the hedge delay. */
};

/** Limits of each target of the service. */
struct TargetRules {
    uint32_t slots = 9; /**< Maximum number of concurrent requests on a backend server. */
    uint32_t queue = 18; /**< Maximum number of requests queued at the target. */
    Duration coldRamp = std::chrono::seconds(5); /**< Time in which the share of a newly started backend server rises to its full value. */
    Duration drainLimit = std::chrono::seconds(30); /**< Maximum wait for requests in progress while a target drains. */
};

/** One version of a service's configuration. Immutable after parsing, so that requests can share it. */
struct ServiceConfig {
    std::string service;
    uint64_t version = 0; /**< Version assigned on publication; not part of the file. */
    std::string hash; /**< SHA-256 of the file in lower-case hexadecimal digits. */
    TargetRules targets;
    RoutingRules routing;
    RetryRules retries;
    ProbeBudgetRules measuring;
    Duration keyWindow = std::chrono::hours(24); /**< Time for which an idempotency key remains claimed. */
    uint64_t maxBodyBytes = 16U << 20U; /**< Maximum size of a request body. Answers are limited by the setting `max-body`. */
    std::vector<RouteRule> routes;

    /**
     * Returns the rule that applies to a request.
     * @param method  HTTP method
     * @param path  request path, with or without a query string
     * @return the first matching rule, or null if none matches
     */
    const RouteRule *match(std::string_view method, std::string_view path) const;
};

} // namespace carobjunction
