#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace carobjunction::review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Log of a case: what was sent, answered and run. Each line begins with the milliseconds since the start. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc)
    {
    }

    void write(const std::string &line);

    /** @return milliseconds since the start of the case */
    int64_t elapsedMs() const;

private:
    const Clock::time_point m_startedAt = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace carobjunction::review
