#pragma once

#include <string>

namespace carobjunction::bench
{

/**
 * The least that any two-hop path costs with the libraries in use: an HTTP server, one gRPC call, and a pooled HTTP client, in two processes,
 * without any decision. Baseline for the daemons' added latency.
 */
class BarePath
{
public:
    /**
     * Runs the first process: HTTP in, gRPC out. Prints `listening ADDRESS`; serves until the process ends.
     * @param ownerAddress  address printed by runOwner()
     * @return exit status
     */
    static int runEntry(const std::string &ownerAddress);

    /**
     * Runs the second process: gRPC in, HTTP out. Prints `listening ADDRESS`; serves until the process ends.
     * @param backendAddress  address of the backend server
     * @return exit status
     */
    static int runOwner(const std::string &backendAddress);
};

} // namespace carobjunction::bench
