#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::standin
{

/** One request that was started. Times are milliseconds since the Unix epoch. */
struct RunRecord {
    std::string requestId;
    std::string key;
    std::string path;
    std::string method;
    int64_t startedMs = 0;
    int64_t finishedMs = 0; /**< 0 while the request runs. */
    bool cancelled = false;
};

/** Independent record of what ran. Thread-safe. */
class RunLog
{
public:
    RunLog() = default;
    ~RunLog();
    RunLog(const RunLog &) = delete;
    RunLog &operator=(const RunLog &) = delete;

    /**
     * Appends a line at each start to a file, unbuffered, so that the record survives a crash of this process.
     * @param target  number of an open file descriptor, or a path
     * @return whether the file can be written
     */
    bool open(const std::string &target);

    /** @return index of the record, for finish() */
    std::size_t start(RunRecord record);

    void finish(std::size_t index, bool cancelled);

    /** @return all records as a JSON array */
    nlohmann::json toJson() const;

private:
    mutable std::mutex m_mutex;
    std::vector<RunRecord> m_records;
    int m_fd = -1;
    bool m_ownsFd = false;
};

} // namespace carobjunction::standin
