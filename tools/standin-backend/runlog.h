#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::standin
{

/** Record of one request that was started. Times are in milliseconds since the Unix epoch. */
struct RunRecord {
    std::string requestId;
    std::string key; /**< Value of Idempotency-Key, empty if the request has none. */
    std::string path; /**< Request target, including the query. */
    std::string method;
    int64_t startedMs = 0;
    int64_t finishedMs = 0; /**< 0 while the request is running. */
    bool cancelled = false;
};

/** Log of the requests that ran on this backend server. Independent of the daemons, so that tests can check the outcomes that daemons report. Thread-safe. */
class RequestRunLog
{
public:
    RequestRunLog() = default;
    ~RequestRunLog();
    RequestRunLog(const RequestRunLog &) = delete;
    RequestRunLog &operator=(const RequestRunLog &) = delete;

    /**
     * Opens a file to which each start is appended as a line, unbuffered, so that the log survives a crash of this process.
     * @param pathOrDescriptor  number of an open file descriptor, or a path
     * @return whether the file is open for writing
     */
    bool open(const std::string &pathOrDescriptor);

    /** Adds a record, with the current time as its start. @return the index of the record, for recordFinish() */
    std::size_t recordStart(RunRecord record);

    /** Sets the end of a record to the current time. */
    void recordFinish(std::size_t index, bool cancelled);

    /** Returns all records as a JSON array. */
    nlohmann::json toJson() const;

private:
    mutable std::mutex m_mutex;
    std::vector<RunRecord> m_records;
    int m_fd = -1;
    bool m_ownsFd = false;
};

} // namespace carobjunction::standin
