#pragma once

#include <string>

namespace carobjunction::bench
{

/**
 * Forwards calls through two processes (HTTP server, one gRPC call, pooled HTTP client) without any routing decision. This is the minimum latency of a
 * two-hop path with the libraries in use, and the baseline for the latency that the daemons add.
 */
class BarePath
{
public:
    /**
     * Runs the first process, which receives HTTP requests and forwards them over gRPC. Prints `listening ADDRESS` and serves until the process ends.
     * @param ownerAddress  address printed by runOwner()
     * @return exit status of the process
     */
    static int runEntry(const std::string &ownerAddress);

    /**
     * Runs the second process, which receives gRPC calls and forwards them over HTTP. Prints `listening ADDRESS` and serves until the process ends.
     * @param backendAddress  `ip:port` of the backend server
     * @return exit status of the process
     */
    static int runOwner(const std::string &backendAddress);
};

} // namespace carobjunction::bench
