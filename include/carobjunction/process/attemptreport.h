#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>
#include <carobjunction/request/outcome.h>
#include <carobjunction/request/reason.h>

#include <optional>

namespace carobjunction
{

/** What the entry daemon learnt from one attempt. */
struct AttemptReport {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    int status = 0; /**< HTTP status of the backend server; 0 if it gave none. */
    Duration latency = Duration::zero(); /**< Time from the choice of the target to the end of the attempt. */
    std::optional<LoadReport> load;
    bool cancelled = false; /**< The entry daemon gave the attempt up, for example the slower half of a hedge. */
};

} // namespace carobjunction
