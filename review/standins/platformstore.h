#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace carobjunction::review
{

/** Stand-in for the metadata store of the platform: rows, conditional transactions and the change feed of PROTOCOL.md. */
class PlatformStore
{
public:
    PlatformStore(Record &record, uint16_t port);
    ~PlatformStore();

    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    /** Writes a row, as the operator does. */
    void put(const std::string &table, const std::string &key, const std::string &text);

    /** The next write to a row with this key gets no answer. It is performed after @p delay if its condition still holds. */
    void loseNextWriteOf(const std::string &key, Milliseconds delay);

    /** From now on, calls get no answer until @p duration has passed, and answers that fall due meanwhile are lost. The connections stay open. */
    void goSilent(Milliseconds duration);

    /** @return number of write calls received, and of those that got no answer */
    std::pair<int, int> writeCounts();

private:
    struct Row {
        std::string value; /**< In base64, as on the wire. */
        uint64_t version = 0;
    };
    using Json = nlohmann::json;
    using RowKey = std::pair<std::string, std::string>;

    std::optional<Response> handle(const Request &request);
    Response get(const std::string &target);
    std::optional<Response> feed(const std::string &target);
    bool isSilent() const;
    std::optional<Response> transact(const Json &change);
    Response apply(const Json &change);
    Json rowsOf(const std::string &table, uint64_t after, const std::string &startKey) const;

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowKey, Row> m_rows;
    uint64_t m_version = 1;
    std::string m_keyOfLostWrite;
    Milliseconds m_lostWriteDelay { 0 };
    Clock::time_point m_silentUntil;
    int m_writes = 0;
    int m_lostWrites = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_lateWrites;
    HttpServer m_server;
};

} // namespace carobjunction::review
