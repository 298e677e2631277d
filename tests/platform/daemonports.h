#pragma once

#include "freeports.h"

#include <string>

namespace carobjunction::platform
{

/** Addresses on which one carobjunction-platformd process listens. */
struct DaemonPorts {
    std::string caller;
    std::string peer;
    std::string ready;
    std::string control; /**< Operator port. */

    void allocatePorts(bench::FreePorts &ports)
    {
        for (std::string *address : { &caller, &peer, &ready, &control }) {
            *address = "127.0.0.1:" + std::to_string(ports.allocatePort());
        }
    }

    /** @return the lines of the settings file that configure the ports */
    std::string settings() const
    {
        return "caller-address: " + caller + "\npeer-address: " + peer + "\nready-address: " + ready + "\noperator-address: " + control + "\n";
    }
};

} // namespace carobjunction::platform
