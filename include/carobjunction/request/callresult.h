#pragma once

#include <carobjunction/request/callrequest.h>
#include <carobjunction/request/loadreport.h>
#include <carobjunction/request/outcome.h>
#include <carobjunction/request/reason.h>

#include <optional>

namespace carobjunction
{

/** Result of a request, or of one attempt at it. */
struct CallResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    int status = 0; /**< HTTP status of the backend server's answer; 0 if it gave none. */
    HeaderList headers;
    std::string body;
    std::string target; /**< Daemon id of the target, empty if none was chosen. */
    uint64_t configVersion = 0; /**< Version of the configuration that the request was handled under; 0 if none. */
    std::optional<LoadReport> load; /**< Load that came back with the answer. */
    std::chrono::microseconds serviceTime { 0 }; /**< Time that the backend server took. */
};

} // namespace carobjunction
