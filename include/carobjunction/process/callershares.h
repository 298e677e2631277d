#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace carobjunction
{

/** Places of a target that each caller holds, and the share that one caller may hold while others hold some as well. Not thread-safe. */
class CallerShares
{
public:
    /** Counts a place taken by @p caller. */
    void take(const std::string &caller)
    {
        ++m_held[caller];
    }

    /** Counts a place given back by @p caller. */
    void release(const std::string &caller)
    {
        const auto found = m_held.find(caller);
        if (found != m_held.end() && --found->second == 0) {
            m_held.erase(found);
        }
    }

    uint32_t held(const std::string &caller) const
    {
        const auto found = m_held.find(caller);
        return found == m_held.end() ? 0 : found->second;
    }

    /** @return equal part of @p places for each caller that holds some, @p caller included; at least 1 */
    uint32_t fairShare(const std::string &caller, uint32_t places) const
    {
        return std::max<uint32_t>(1, places / static_cast<uint32_t>(countWith(caller)));
    }

    /** @return whether @p caller may not take one more of @p places. A caller that is alone may take all. */
    bool isExhausted(const std::string &caller, uint32_t places) const
    {
        return countWith(caller) > 1 && held(caller) >= fairShare(caller, places);
    }

private:
    size_t countWith(const std::string &caller) const
    {
        return m_held.size() + (m_held.contains(caller) ? 0 : 1);
    }

    std::map<std::string, uint32_t> m_held;
};

} // namespace carobjunction
