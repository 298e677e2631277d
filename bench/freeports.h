#pragma once

#include <cstdint>
#include <random>

namespace carobjunction::bench
{

/**
 * Finds ports for programs that need to know each other's addresses before they start. The ports lie below the kernel's range for outgoing
 * connections, so that a program that is restarted finds its port free.
 */
class FreePorts
{
public:
    /** @return a port on 127.0.0.1 that nothing listens on and that wasn't returned before; 0 if none is left */
    uint16_t next();

private:
    uint16_t m_start = static_cast<uint16_t>(12000 + std::random_device()() % 10000);
    uint16_t m_offset = 0;
};

} // namespace carobjunction::bench
