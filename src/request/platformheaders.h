#pragma once

#include <string>

namespace carobjunction
{

/** Names of the header fields that callers and backend servers of a platform use, as set by the platform adapter. */
struct PlatformHeaders {
    std::string requestId; /**< Id of one request attempt of the caller; the backend server returns it. */
    std::string deadline; /**< Remaining time in milliseconds. */
    std::string seal; /**< Proof that an answer was created by a backend server. */
    std::string expectedBackend; /**< Id of the only backend server that may run the request. */
    std::string notExecuted; /**< Set on the answer if the backend server did not run the request. */
    std::string load; /**< Numbers of running requests, waiting requests and slots, and the service time relative to a VM that is not slowed down, in percent,
                         separated by commas. */
    std::string callerService; /**< Service of the VM on which the caller runs. */
    std::string backend; /**< Id of the backend server that created the answer. */
};

} // namespace carobjunction
