#pragma once

#include <carobjunction/request/callrequest.h>
#include <carobjunction/request/loadreport.h>
#include <carobjunction/request/outcome.h>
#include <carobjunction/request/reason.h>

#include <optional>

namespace carobjunction
{

/** Result of a request or of one of its attempts. */
struct CallResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    int status = 0; /**< HTTP status of the backend server's answer; 0 if there is no answer. */
    HeaderList headers;
    std::string body;
    std::string target; /**< Daemon id of the target; empty if no target was chosen. */
    uint64_t configVersion = 0; /**< Version of the configuration that applied to the request; 0 if none applied. */
    std::optional<LoadReport> load; /**< Load report of the target that was attached to the answer. */
    std::chrono::microseconds serviceTime { 0 }; /**< Time that the backend server took to answer. */
};

} // namespace carobjunction
