#pragma once

#include <carobjunction/request/callresult.h>

#include "connection/httplistener.h"
#include "process/workerpool.h"

#include <atomic>
#include <optional>
#include <string>
#include <thread>

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
std::optional<CallerFields> parseCallerFields(const HttpRequest &request);

/**
 * HTTP server on the caller port. One event loop holds the connections, so that idle callers cost no thread; calls block a thread of a
 * pool until they have their result.
 */
class CallerServer
{
public:
    /**
     * @param entry  must outlive the server
     * @param requestIdPrefix  unique to this process, of characters allowed in a URL path
     */
    CallerServer(EntryService &entryService, std::string requestIdPrefix, uint32_t threads, uint64_t maxBodyBytes);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** @return the port, or 0 if it could not be opened */
    int start(const std::string &address);

    /** Ends each connection with its next answer, so that callers move to another daemon. */
    void beginDrain();

    /** Closes the port after the requests in progress were answered. */
    void stop();

private:
    Task<MaybeResponse> handle(HttpRequest message, Tcp::endpoint client);
    Task<void> stopAfterPendingRequests();
    HttpResponse processRequest(HttpRequest message, const std::string &clientAddress);

    EntryService &m_entryService;
    const std::string m_requestIdPrefix;
    const uint64_t m_maxBodyBytes;
    std::atomic<uint64_t> m_lastRequestNumber { 0 };
    asio::io_context m_loop { 1 };
    std::shared_ptr<HttpListener> m_listener;
    WorkerPool m_workers;
    std::thread m_thread;
};

} // namespace carobjunction
