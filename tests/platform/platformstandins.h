#pragma once

#include "connection/httplistener.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobjunction::platform
{

/** Stand-in for the table store of the platform, with fault injection. */
class StandInTableStore
{
public:
    explicit StandInTableStore(asio::io_context &loop);

    std::string address() const;

    /** Writes a row, like a change by the operator. @param value  plain text; this function encodes it as on the wire */
    void put(const std::string &table, const std::string &key, const std::string &value);

    /** @return the value of a row as plain text, or empty if there is none */
    std::optional<std::string> value(const std::string &table, const std::string &key) const;

    /** Discards the history of all changes so far, so that watches from an earlier version fail. */
    void discardHistory()
    {
        m_oldestRetainedVersion = m_version;
    }

    /** Keeps a copy of all rows for restoreCopy(). */
    void takeCopy();

    /** Returns to the copy: later rows are lost, their versions are assigned again, and watches in progress end without a response. */
    void restoreCopy();

    bool statesEpoch = true; /**< Whether responses state the number of restores so far. */
    bool isDown = false; /**< Responds to all requests with 503. */
    Duration delay = Duration::zero(); /**< Delay before each request is processed. */
    std::vector<nlohmann::json> malformedRows; /**< Rows of another writer, appended unchanged to each table that is read. */
    bool isSilent = false; /**< Calls that arrive or are in progress get no response, also after this ends; their connections stay open. */
    int writesToLose = 0; /**< Number of the next writes that get no response and are performed late or never. */
    std::optional<Duration> lostWriteDelay; /**< Time after which a lost write is performed if its condition still holds; empty for never. */
    bool dropsWriteResponses = false; /**< Applies writes, but closes the connection without a response. */

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    using Key = std::pair<std::string, std::string>;

    Task<MaybeResponse> handle(HttpRequest request);
    Task<MaybeResponse> answer(HttpRequest request);
    Task<void> waitForever();
    Task<void> performLate(HttpRequest request);
    Task<MaybeResponse> feed(std::string target);
    HttpResponse get(const std::string &target) const;
    MaybeResponse transact(const HttpRequest &request);
    nlohmann::json rowsOf(const std::string &table, uint64_t after) const;

    asio::io_context &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    std::map<Key, Row> m_rows;
    std::map<Key, Row> m_copiedRows;
    uint64_t m_copiedVersion = 0;
    uint64_t m_epoch = 1;
    uint64_t m_version = 1;
    uint64_t m_oldestRetainedVersion = 0;
};

/** @return the body of a heartbeat from a backend server with nine slots to its daemon */
std::string heartbeatBody(const std::string &address, int64_t startedAtMs, const std::string &service, const std::string &state, uint64_t sequence);

/** Stand-in for a backend server of the platform. */
class StandInBackend
{
public:
    /** @param id  instance id that it reports and requires in requests */
    StandInBackend(asio::io_context &loop, std::string id);

    std::string address() const;

    /** Simulates a crash: closes the port and all connections. */
    void crash();

    /** Simulates the start of a new process at the same address. @return whether the port could be opened */
    bool restart(std::string newId);

    std::string id;
    /** Called for each request that starts to run; may be empty. */
    std::function<void(const HttpRequest &)> onRun;
    double slowdownFactor = 1; /**< Factor for the duration of requests that start from now on; reported in the load field of responses. */
    Duration serviceTime = std::chrono::milliseconds(5); /**< Time to run a request, before the slowdown factor is applied. */
    bool neverResponds = false; /**< Requests that start from now on never complete. */
    bool shedsRequests = false; /**< Rejects all requests and reports that they did not run. */
    std::string crashingPath; /**< Path of requests that crash the backend server; empty for none. */
    std::vector<HttpRequest> startedRequests; /**< Requests that started to run. */
    int cancelledRequests = 0; /**< Number of requests whose connection was closed while they ran. */

private:
    Task<MaybeResponse> handle(HttpRequest request, CancellationPtr cancellation);
    std::string loadField() const;

    asio::io_context &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    Tcp::endpoint m_address;
    int m_running = 0;
};

} // namespace carobjunction::platform
