#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace carobjunction::bench
{

/**
 * Allocates ports for programs whose addresses must be known before they start. The ports are below the kernel's ephemeral port range, so that an
 * outgoing connection can't occupy the port of a program that is being restarted. Concurrent processes get different ports: each process reserves
 * whole blocks of ports, and holds a block with a socket that is bound to the first port of the block.
 */
class FreePorts
{
public:
    FreePorts() = default;
    FreePorts(const FreePorts &) = delete;
    FreePorts &operator=(const FreePorts &) = delete;
    ~FreePorts();

    /** @return a port on 127.0.0.1 that is not in use and was not returned before, or 0 if no port is left */
    uint16_t allocatePort();

private:
    static constexpr uint16_t LowestPort = 12000;
    static constexpr uint16_t BlockSize = 100;
    static constexpr uint16_t BlockCount = 200;

    /** Reserves the next free block. @return whether a block was available */
    bool reserveBlock();

    uint16_t m_firstBlock = static_cast<uint16_t>(std::random_device()() % BlockCount);
    uint16_t m_blocksTried = 0;
    uint16_t m_nextPort = 0;
    uint16_t m_blockEnd = 0;
    std::vector<int> m_reservationSockets; /**< Sockets bound to the first port of each reserved block. */
};

} // namespace carobjunction::bench
