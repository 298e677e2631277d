#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace carobjunction::scenarios
{

/** A request that a backend server started, by the backend server's own record. */
struct Run {
    std::size_t target = 0;
    std::string requestId;
    std::string key;
    std::string path;
    std::string method;
    int64_t startedMs = 0; /**< Milliseconds since the Unix epoch. */
};

/** Reads the log files of the backend servers, which survive their crashes. */
class RunLogs
{
public:
    /**
     * @param directory  files of the cluster
     * @param targets  number of backend servers
     */
    RunLogs(std::string directory, std::size_t targets);

    std::vector<Run> read() const;

private:
    const std::string m_directory;
    const std::size_t m_targets;
};

} // namespace carobjunction::scenarios
