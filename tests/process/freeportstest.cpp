#include "freeports.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>

using namespace carobjunction::bench;

TEST_CASE("FreePorts.processesThatStartTogether.shareNoPort")
{
    // Guards against two clusters that both find a port free and assign it to programs of theirs before either program listens on it.
    constexpr int Processes = 100;
    constexpr int PortsOfEach = 40;
    std::array<FreePorts, Processes> processes;
    std::set<uint16_t> ports;
    for (int i = 0; i < PortsOfEach; ++i) {
        for (FreePorts &process : processes) {
            const uint16_t port = process.allocatePort();
            REQUIRE(port != 0);
            ports.insert(port);
        }
    }
    CHECK(ports.size() == Processes * PortsOfEach);
}
