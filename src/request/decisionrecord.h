#pragma once

#include <carobjunction/process/routechoice.h>
#include <carobjunction/request/attemptplanner.h>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace carobjunction
{

/** One attempt of a request, with the routing decision behind it. */
struct AttemptRecord {
    uint32_t number = 0;
    AttemptKind kind = AttemptKind::First;
    bool mayQueue = false;
    RouteChoice choice;
    bool isFinished = false;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Duration startedAfter = Duration::zero(); /**< Time from the start of the request to the start of the attempt. */
    Duration duration = Duration::zero();
};

/** Routing decisions and outcome of one request, shown to operators. */
struct DecisionRecord {
    std::string requestId;
    std::string service;
    std::string method;
    std::string path;
    std::string caller;
    uint64_t configVersion = 0;
    bool idempotent = false;
    std::vector<AttemptRecord> attempts;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    int status = 0;
    Duration duration = Duration::zero();
};

/** @return the record as JSON, as served on the operator port */
nlohmann::json toJson(const DecisionRecord &record);

} // namespace carobjunction
