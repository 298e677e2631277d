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

/** Validated control fields of a caller's request. */
struct CallerFields {
    std::string service;
    std::optional<Duration> deadline;
    std::string key;
    std::string caller;
    uint32_t hops = 0;
    uint32_t retriesLeft = 0;
};

/** Header field with an invalid value. */
struct MalformedField {
    std::string name;
    std::string reason;
};

/**
 * Parses and validates the control fields of a request.
 * @return the fields, or empty if one is invalid; LastError<MalformedField> then describes it
 */
std::optional<CallerFields> parseCallerFields(const HttpRequest &request);

/**
 * HTTP server on the caller port. All connections are served by one event loop, so that idle connections use no thread. Each call blocks a
 * thread of a pool until its result is available.
 */
class CallerServer
{
public:
    /**
     * @param entryService  must outlive the server
     * @param requestIdPrefix  prefix of all request ids, unique to this process; only characters that are allowed in a URL path
     * @param threads  number of worker threads; each call in progress blocks one
     */
    CallerServer(EntryService &entryService, std::string requestIdPrefix, uint32_t threads, uint64_t maxBodyBytes);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /**
     * Opens the port and serves it on another thread.
     * @param address  `ip:port`; with port 0, the system chooses a free one
     * @return the port, or 0 if it could not be opened
     */
    int start(const std::string &address);

    /** Closes each connection after its next response, so that callers reconnect to another daemon. */
    void beginDrain();

    /** Closes the port, and returns when the pending requests have been answered. */
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
