#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace carobjunction
{

/**
 * Tracks how many slots and queue entries of a target each caller holds, and limits a caller to its fair share while other callers
 * hold some as well. Not thread-safe.
 */
class CallerShares
{
public:
    /** Adds one slot or queue entry to those held by @p caller. */
    void acquire(const std::string &caller)
    {
        ++m_heldByCaller[caller];
    }

    /** Removes one slot or queue entry from those held by @p caller. */
    void release(const std::string &caller)
    {
        const auto found = m_heldByCaller.find(caller);
        if (found != m_heldByCaller.end() && --found->second == 0) {
            m_heldByCaller.erase(found);
        }
    }

    /** @return number of slots and queue entries held by @p caller */
    uint32_t heldBy(const std::string &caller) const
    {
        const auto found = m_heldByCaller.find(caller);
        return found == m_heldByCaller.end() ? 0 : found->second;
    }

    /**
     * @param capacity  total number of slots and queue entries of the target
     * @return @p capacity divided equally among the callers that hold a part of it, @p caller included; at least 1
     */
    uint32_t fairShare(const std::string &caller, uint32_t capacity) const
    {
        return std::max<uint32_t>(1, capacity / static_cast<uint32_t>(callerCountIncluding(caller)));
    }

    /**
     * @param capacity  total number of slots and queue entries of the target
     * @return whether @p caller has used up its fair share; always false for the only caller, which may use the whole capacity
     */
    bool hasUsedFairShare(const std::string &caller, uint32_t capacity) const
    {
        return callerCountIncluding(caller) > 1 && heldBy(caller) >= fairShare(caller, capacity);
    }

private:
    size_t callerCountIncluding(const std::string &caller) const
    {
        return m_heldByCaller.size() + (m_heldByCaller.contains(caller) ? 0 : 1);
    }

    std::map<std::string, uint32_t> m_heldByCaller;
};

} // namespace carobjunction
