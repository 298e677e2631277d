#pragma once

#include <string>

namespace carobjunction
{

/** Names of the header fields that callers and backend servers of a platform use. The adapter of the platform fills them in. */
struct ServedHeaders {
    std::string requestId; /**< Identifies one try of a caller; echoed by the backend server. */
    std::string deadline; /**< Time left, in milliseconds. */
    std::string seal; /**< Proof that an answer comes from a backend server. */
    std::string expectedBackend; /**< Id of the only backend server that may run the request. */
    std::string notExecuted; /**< Set on answers of a backend server that did not run the request. */
    std::string load; /**< Running, waiting, slots and slowness in percent, separated by commas. */
    std::string callerService; /**< Service of the VM on which the request began. */
    std::string backend; /**< Id of the backend server that answers. */
};

} // namespace carobjunction
