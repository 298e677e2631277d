#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace carobjunction
{

/** Source of Unix time, in milliseconds. Used only for times that are stored and that other machines compare. */
template<typename T>
concept WallClock = requires(const T &clock)
{
    {
        clock.nowMs()
        } -> std::same_as<int64_t>;
};

/** Wall clock of the operating system. */
class SystemWallClock
{
public:
    /** @return Unix time in milliseconds */
    int64_t nowMs() const
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }
};

} // namespace carobjunction
