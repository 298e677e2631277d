#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>

namespace carobjunction
{

/** @return @p duration multiplied by @p factor */
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/** @return @p duration in milliseconds, truncated */
inline int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace carobjunction
