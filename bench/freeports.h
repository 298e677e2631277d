#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace carobjunction::bench
{

/**
 * Finds ports for programs that need to know each other's addresses before they start. The ports lie below the kernel's range for outgoing
 * connections, so that a program that is restarted finds its port free. Processes that search at the same time get different ports: each
 * takes whole blocks, and keeps a block by a socket that is bound to its first port.
 */
class FreePorts
{
public:
    FreePorts() = default;
    FreePorts(const FreePorts &) = delete;
    FreePorts &operator=(const FreePorts &) = delete;
    ~FreePorts();

    /** @return a port on 127.0.0.1 that nothing listens on and that wasn't returned before; 0 if none is left */
    uint16_t next();

private:
    static constexpr uint16_t LowestPort = 12000;
    static constexpr uint16_t BlockSize = 100;
    static constexpr uint16_t BlockCount = 200;

    bool reserveBlock();

    uint16_t m_firstBlock = static_cast<uint16_t>(std::random_device()() % BlockCount);
    uint16_t m_blocksTried = 0;
    uint16_t m_nextPort = 0;
    uint16_t m_blockEnd = 0;
    std::vector<int> m_reservationSockets; /**< Sockets bound to the first ports of the blocks taken. */
};

} // namespace carobjunction::bench
