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

/** Stand-in for the table store of the users' platform, with its faults. */
class StandInTableStore
{
public:
    explicit StandInTableStore(asio::io_context &loop);

    std::string address() const;

    /** Writes a row as the operator does. @param value  plain text, encoded here as on the wire */
    void put(const std::string &table, const std::string &key, const std::string &value);

    /** @return a row as plain text, or empty if there is none */
    std::optional<std::string> value(const std::string &table, const std::string &key) const;

    /** Forgets all changes up to now, so that watches from before fail. */
    void forgetHistory()
    {
        m_oldestWatch = m_version;
    }

    bool isDown = false; /**< All calls are answered 503. */
    Duration delay = Duration::zero(); /**< Time that each call takes. */
    std::vector<nlohmann::json> oddRows; /**< Rows of another writer, told as they stand with each table that is read. */
    bool losesWrites = false; /**< Writes are made, and the connection ends without an answer. */

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    using Key = std::pair<std::string, std::string>;

    Task<MaybeResponse> handle(HttpRequest request);
    Task<HttpResponse> feed(std::string target);
    HttpResponse get(const std::string &target) const;
    MaybeResponse transact(const HttpRequest &request);
    nlohmann::json rowsOf(const std::string &table, uint64_t after) const;

    asio::io_context &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    std::map<Key, Row> m_rows;
    uint64_t m_version = 1;
    uint64_t m_oldestWatch = 0;
};

/** @return what a backend server with nine slots tells its daemon of itself */
std::string heartbeatBody(const std::string &address, int64_t startedAtMs, const std::string &service, const std::string &state, uint64_t sequence);

/** Stand-in for a backend server of the users' platform. */
class StandInBackend
{
public:
    /** @param id  identity that it tells and expects */
    StandInBackend(asio::io_context &loop, std::string id);

    std::string address() const;

    /** Ends as a crash does: the port and all connections close. */
    void crash();

    /** Starts a new process at the same address. @return whether the port could be opened */
    bool restart(std::string newId);

    std::string id;
    /** Told of each request that begins to run. */
    std::function<void(const HttpRequest &)> onRun;
    double slowness = 1; /**< Factor of the work that starts now; told by the health path. */
    Duration work = std::chrono::milliseconds(5);
    bool hangs = false; /**< Never answers. */
    bool sheds = false; /**< Rejects all requests and says so. */
    std::string crashingPath; /**< Requests for it end the backend server. */
    std::vector<HttpRequest> ran; /**< Requests that it began to run. */
    int cancelled = 0; /**< Requests whose connection closed while they ran. */

private:
    Task<MaybeResponse> handle(HttpRequest request, CancellationPtr cancellation);
    std::string loadField() const;

    asio::io_context &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    Tcp::endpoint m_address;
    int m_running = 0;
};

} // namespace carobjunction::platform
