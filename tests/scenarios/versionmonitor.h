#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace carobjunction::scenarios
{

/** Reads the configuration versions in force at each daemon again and again, and notes each step back. */
class VersionMonitor
{
public:
    /** @param daemons  operator addresses */
    explicit VersionMonitor(std::vector<std::string> daemons);
    ~VersionMonitor();
    VersionMonitor(const VersionMonitor &) = delete;
    VersionMonitor &operator=(const VersionMonitor &) = delete;

    /** Forgets what a former process of a daemon had in force. */
    void forget(std::size_t daemon);

    /** @return versions by service as last read; empty if the daemon doesn't answer */
    static std::map<std::string, uint64_t> read(const std::string &operatorAddress);

    /** Stops reading. @return descriptions of the steps back */
    std::vector<std::string> finish();

private:
    void watch();
    void look(std::size_t daemon);

    const std::vector<std::string> m_daemons;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<uint64_t> m_generations;
    std::vector<std::map<std::string, uint64_t>> m_highest;
    std::vector<std::string> m_faults;
    std::thread m_thread;
};

} // namespace carobjunction::scenarios
