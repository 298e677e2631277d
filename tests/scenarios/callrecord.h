#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace carobjunction::scenarios
{

/** Parameters of a call. */
struct CallSpec {
    std::string group; /**< Name of the call step or load that the call belongs to. */
    std::size_t entryDaemon = 0; /**< Index of the daemon that the call is sent to. */
    std::string service;
    std::string method = "GET";
    std::string path = "/stock";
    std::string key; /**< Idempotency key; empty: none. */
    std::string body;
    std::map<std::string, std::string> headers;
    uint64_t deadlineMs = 0; /**< Deadline in milliseconds; 0: no deadline header is sent. */
    uint64_t answerBytes = 64; /**< Size of the response body that the stand-in backend server derives from the request id; 0: its default response. */

    /** @return whether the call may run more than once, which is true of GET only */
    bool isIdempotent() const
    {
        return method == "GET";
    }
};

/** Response that the caller received. */
struct CallRecord {
    CallSpec spec;
    std::string outcome; /**< Value of the outcome header; `no-answer` if the connection closed without a response, `unmarked` if the header is missing. */
    std::string reason;
    int status = 0;
    std::string requestId;
    std::string target;
    std::string body;
};

} // namespace carobjunction::scenarios
