#pragma once

#include <carobjunction/request/deadline.h>
#include <carobjunction/request/priority.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** Header fields (name and value) in the order received. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** Request of a caller, as parsed by the entry daemon. */
struct CallRequest {
    std::string requestId; /**< Unique across all daemons. */
    std::string service;
    std::string method;
    std::string path; /**< Request path, including the query string. */
    HeaderList headers;
    std::string body;
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
    bool idempotent = false;
    Priority priority = Priority::Normal;
    std::string caller; /**< Identity of the caller, used to divide capacity fairly among callers. */
    std::string key; /**< Idempotency key; empty if the caller sent none. */
    std::string claimId; /**< Id of the claim that this daemon holds for the idempotency key; empty if it holds none. */
    uint64_t fingerprint = 0; /**< Hash that is equal for identical requests; see computeFingerprint(). */
    bool suspect = false; /**< Whether the request was in flight when a backend server crashed, so that it must run alone. */
    uint32_t hops = 0; /**< Number of upstream services in the chain of calls. */
    uint32_t retriesLeft = 0; /**< Remaining retries for this call and its downstream calls. */
    uint64_t configVersion = 0; /**< Version of the service's configuration that was in force when the request started. */
};

} // namespace carobjunction
