#pragma once

#include <carobjunction/request/deadline.h>
#include <carobjunction/request/priority.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** Header fields in the order received. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** One request of a caller, as the entry daemon understood it. */
struct CallRequest {
    std::string requestId; /**< Unique over all daemons. */
    std::string service;
    std::string method;
    std::string path; /**< Path with query string. */
    HeaderList headers;
    std::string body;
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
    bool idempotent = false;
    Priority priority = Priority::Normal;
    std::string caller; /**< Identity for fairness among callers. */
    std::string key; /**< Idempotency key, empty if none was sent. */
    std::string claimId; /**< Claim that this daemon holds for the key, empty if none. */
    uint64_t fingerprint = 0; /**< Identifies equal requests, see fingerprintOf(). */
    bool suspect = false; /**< The request was in flight when a backend server crashed, and must run alone. */
    uint32_t hops = 0; /**< Services above this one in the chain of calls. */
    uint32_t retriesLeft = 0; /**< Retries that this call and the calls below it may still make. */
    uint64_t configVersion = 0; /**< Version of the service's configuration under which the request started. */
};

} // namespace carobjunction
