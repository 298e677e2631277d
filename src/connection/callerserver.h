#pragma once

#include <carobjunction/request/callresult.h>

#include "connection/httpport.h"

#include <atomic>
#include <optional>
#include <string>

namespace httplib
{
struct Request;
struct Response;
}

namespace carobjunction
{

class EntryService;

/** Control fields of a caller's request, checked. */
struct CallerFields {
    std::string service;
    std::optional<Duration> deadline;
    std::string key;
    std::string caller;
    uint32_t hops = 0;
    uint32_t retriesLeft = 0;
};

/** A header field that does not have the documented form. */
struct MalformedField {
    std::string name;
    std::string reason;
};

/**
 * Checks the control fields of a request.
 * @return the fields, or empty with LastReason<MalformedField>
 */
std::optional<CallerFields> parseCallerFields(const httplib::Request &request);

/** HTTP server on the caller port. */
class CallerServer
{
public:
    /**
     * @param entry  must outlive the server
     * @param requestIdPrefix  unique to this process, of characters allowed in a URL path
     */
    CallerServer(EntryService &entry, std::string requestIdPrefix, uint32_t threads, uint64_t maxBodyBytes);

    /** @return the port, or 0 if it could not be opened */
    int start(const std::string &address);

    /** Ends each connection with its next answer, so that callers move to another daemon. */
    void beginDrain();

    /** Closes the port after the requests in progress were answered. */
    void stop();

private:
    void handle(const httplib::Request &request, std::string body, httplib::Response &response);

    EntryService &m_entry;
    const std::string m_requestIdPrefix;
    std::atomic<uint64_t> m_lastRequest { 0 };
    HttpPort m_port;
};

} // namespace carobjunction
