#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace carobjunction::scenarios
{

/** Log entry of a backend server about a request that it started to run. */
struct RunRecord {
    std::size_t target = 0;
    std::string requestId;
    std::string key;
    std::string path;
    std::string method;
    int64_t startedAtMs = 0; /**< Start time in milliseconds since the Unix epoch. */
};

/** Reads the run logs of the backend servers. The logs are files, so they survive crashes of the servers. */
class RunLogReader
{
public:
    /**
     * @param directory  directory of the files of the cluster
     * @param targets  number of backend servers
     */
    RunLogReader(std::string directory, std::size_t targets);

    std::vector<RunRecord> read() const;

private:
    const std::string m_directory;
    const std::size_t m_targets;
};

} // namespace carobjunction::scenarios
