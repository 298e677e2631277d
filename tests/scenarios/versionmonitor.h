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

/** Polls the configuration versions in force at each daemon and records every reversion to an older version. */
class VersionMonitor
{
public:
    /** @param daemons  operator addresses of the daemons, as HOST:PORT */
    explicit VersionMonitor(std::vector<std::string> daemons);
    ~VersionMonitor();
    VersionMonitor(const VersionMonitor &) = delete;
    VersionMonitor &operator=(const VersionMonitor &) = delete;

    /** Discards the versions seen at a daemon. Called before a new process starts, which may begin with an older version. */
    void resetDaemon(std::size_t daemon);

    /** @return versions in force by service, queried from the operator API; empty if the daemon does not answer */
    static std::map<std::string, uint64_t> readVersions(const std::string &operatorAddress);

    /** Stops polling. @return descriptions of all reversions */
    std::vector<std::string> stop();

private:
    void pollDaemons();
    void checkDaemon(std::size_t daemon);

    const std::vector<std::string> m_operatorAddresses;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<uint64_t> m_processGenerations;
    std::vector<std::map<std::string, uint64_t>> m_highestVersions;
    std::vector<std::string> m_reversions;
    std::thread m_thread;
};

} // namespace carobjunction::scenarios
