#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>
#include <carobjunction/request/outcome.h>
#include <carobjunction/request/reason.h>

#include <optional>

namespace carobjunction
{

/** Result of one attempt, as observed by the entry daemon. */
struct AttemptReport {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    int status = 0; /**< HTTP status returned by the backend server; 0 if no status was received. */
    Duration latency = Duration::zero(); /**< Time from target selection to the end of the attempt. */
    std::optional<LoadReport> load; /**< Load of the target, if it was reported with the response. */
    bool cancelled = false; /**< The entry daemon cancelled the attempt, for example the slower one of two hedged attempts. */
};

} // namespace carobjunction
