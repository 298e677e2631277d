#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace carobjunction
{

/** Source of the time of day, in milliseconds since 1970. Used only for times that are stored and compared by other machines. */
template<typename T>
concept WallClock = requires(const T &clock)
{
    {
        clock.nowMs()
        } -> std::same_as<int64_t>;
};

/** The machine's time of day. */
class SystemWallClock
{
public:
    int64_t nowMs() const
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }
};

} // namespace carobjunction
