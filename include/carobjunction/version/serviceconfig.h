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

/** How an entry daemon chooses a target. */
enum class PolicyKind {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    LatencyWeighted,
    ProbePool,
    Predicted,
    LocalOnly, /**< Only the entry daemon's own target; for experiments. */
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

/** Rule for the requests of a service that match a method and a path prefix. The first match in file order wins. */
struct RouteRule {
    std::string method; /**< HTTP method, or "*" for all. */
    std::string pathPrefix; /**< Matches whole path segments: "/stock" matches "/stock" and "/stock/7", not "/stocks". */
    bool idempotent = false;
    Duration deadline = std::chrono::seconds(5); /**< Used when the caller sends none; also the upper limit of what it may send. */
    Priority priority = Priority::Normal;
    uint32_t maxRetries = 0; /**< Further attempts after one that may have run; only for idempotent routes. */
    bool hedge = false; /**< Only for idempotent routes. */
    bool keyRequired = false; /**< Refuse non-idempotent requests without an idempotency key. */
};

/** What may be spent on learning the load of targets that traffic does not cover. Per entry daemon and service. */
struct MeasuringBudget {
    double probesPerSecond = 2;
    double crossRegionBytesPerSecond = 200;
};

/** Choice of targets. */
struct RoutingRules {
    PolicyKind policy = PolicyKind::Predicted;
    uint32_t choices = 3; /**< Candidates sampled for each decision. */
    Duration staleAfter = std::chrono::milliseconds(200); /**< Age at which a load report is no longer used. */
    Duration regionCost = std::chrono::milliseconds(60); /**< Cost of a round trip to another region. */
    double maxEjectedShare = 0.3; /**< Share of the targets that may be ejected at once. */
    uint32_t maxReroutes = 3; /**< Further targets tried after refusals. */
};

/** Allowances for further attempts at a request. */
struct RetryRules {
    double budgetShare = 0.1; /**< Retries and hedges as a share of fresh requests. */
    double hedgeQuantile = 0.95; /**< Latency quantile after which a hedge is sent. */
};

/** Limits of each target of the service. */
struct TargetRules {
    uint32_t slots = 9; /**< Requests that a backend server runs at once. */
    uint32_t queue = 18; /**< Requests that may wait at the target. */
    Duration coldRamp = std::chrono::seconds(5); /**< Time over which a new backend server gets its full share. */
    Duration drainLimit = std::chrono::seconds(30); /**< Longest wait for requests in progress when a target leaves. */
};

/** One version of a service's configuration. Immutable once parsed; requests share it. */
struct ServiceConfig {
    std::string service;
    uint64_t version = 0; /**< Assigned at publishing; not part of the file. */
    std::string hash; /**< SHA-256 of the file in hexadecimal. */
    TargetRules targets;
    RoutingRules routing;
    RetryRules retries;
    MeasuringBudget measuring;
    Duration keyWindow = std::chrono::hours(24); /**< Time in which an idempotency key stays claimed. */
    uint64_t maxBodyBytes = 16U << 20U; /**< Largest request body. Answers are bounded by `max-body` of the settings. */
    std::vector<RouteRule> routes;

    /**
     * @param method  HTTP method
     * @param path  path with or without a query string
     * @return the first matching rule, or null if none matches
     */
    const RouteRule *match(std::string_view method, std::string_view path) const;
};

} // namespace carobjunction
