#pragma once

#include "freeports.h"

#include <string>

namespace carobjunction::platform
{

/** Addresses of the ports of one carobjunction-platformd. */
struct DaemonPorts {
    std::string caller;
    std::string peer;
    std::string ready;
    std::string control; /**< The operator port. */

    void takePorts(bench::FreePorts &ports)
    {
        for (std::string *address : { &caller, &peer, &ready, &control }) {
            *address = "127.0.0.1:" + std::to_string(ports.allocatePort());
        }
    }

    /** @return lines of the settings file that name the ports */
    std::string settings() const
    {
        return "caller-address: " + caller + "\npeer-address: " + peer + "\nready-address: " + ready + "\noperator-address: " + control + "\n";
    }
};

} // namespace carobjunction::platform
