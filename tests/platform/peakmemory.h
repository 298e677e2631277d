#pragma once

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace carobjunction::platform
{

/** @return the peak resident set size of a process, in MB; 0 if the process has exited */
inline uint64_t peakMemoryMb(pid_t pid)
{
    constexpr uint64_t KiloBytes = 1024; // per MB
    const std::string key = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(key)) {
            return std::stoull(line.substr(key.size())) / KiloBytes;
        }
    }
    return 0;
}

} // namespace carobjunction::platform
