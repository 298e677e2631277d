#include "freeports.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>

using namespace carobjunction::bench;

TEST_CASE("FreePorts.processesThatStartTogether.shareNoPort")
{
    // Guards against two clusters that find the same port free and both give it to a program that listens on it later.
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
