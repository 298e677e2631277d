#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace carobjunction::scenarios
{

/** One call to send. */
struct CallSpec {
    std::string group; /**< Name of the call or load that it belongs to. */
    std::size_t via = 0; /**< Daemon that gets the call. */
    std::string service;
    std::string method = "GET";
    std::string path = "/stock";
    std::string key; /**< Idempotency key; empty: none. */
    std::string body;
    std::map<std::string, std::string> headers;
    uint64_t deadlineMs = 0; /**< 0: not sent. */
    uint64_t answerBytes = 64; /**< Size of the answer that the stand-in derives from the request id; 0: its default answer. */

    /** A repeated run of a GET does no harm; every other call must run at most once. */
    bool isIdempotent() const
    {
        return method == "GET";
    }
};

/** What the caller was told. */
struct CallRecord {
    CallSpec spec;
    std::string outcome; /**< `no-answer` if the connection ended without an answer. */
    std::string reason;
    int status = 0;
    std::string requestId;
    std::string target;
    std::string body;
};

} // namespace carobjunction::scenarios
