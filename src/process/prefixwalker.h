#pragma once

#include <set>
#include <string>
#include <vector>

namespace carobjunction
{

/**
 * Splits the rows under a set of key prefixes into reads of limited size, because the table service returns all rows of a prefix at once.
 * Instead of a prefix that was passed to markTooLarge(), the walker reads the row whose key equals the prefix, and each prefix that extends
 * it by one printable ASCII character.
 */
class PrefixWalker
{
public:
    /** Read operation on the store that returns one part of the rows of a pass. */
    struct PrefixRead {
        std::string keyOrPrefix; /**< Key or prefix to read. */
        bool isExactKey = false; /**< Whether to read the row with this key rather than all rows with this prefix. */
    };

    /** Starts a pass, which reads all rows whose keys start with one of @p roots. */
    void start(const std::vector<std::string> &roots)
    {
        m_remainingReads.clear();
        for (const std::string &root : roots) {
            m_remainingReads.push_back({ root, false });
        }
    }

    /** @return whether the pass is over */
    bool atEnd() const
    {
        return m_remainingReads.empty();
    }

    /** @return the next read of the pass; call it only if atEnd() is false */
    PrefixRead next()
    {
        PrefixRead prefixRead = pop();
        while (!prefixRead.isExactKey && m_prefixesToSplit.contains(prefixRead.keyOrPrefix)) {
            for (char c = FirstPrintable; c <= LastPrintable; ++c) {
                m_remainingReads.push_back({ prefixRead.keyOrPrefix + c, false });
            }
            m_remainingReads.push_back({ prefixRead.keyOrPrefix, true });
            prefixRead = pop();
        }
        return prefixRead;
    }

    /** Marks a prefix as too large, so that later passes split it. */
    void markTooLarge(const std::string &prefix)
    {
        if (m_prefixesToSplit.size() >= MaxPrefixesToSplit) {
            m_prefixesToSplit.clear();
        }
        m_prefixesToSplit.insert(prefix);
    }

private:
    static constexpr char FirstPrintable = ' ';
    static constexpr char LastPrintable = '~';
    static constexpr size_t MaxPrefixesToSplit = 10'000; /**< If this number is reached, all prefixes are removed, to limit the memory. */

    PrefixRead pop()
    {
        PrefixRead prefixRead = std::move(m_remainingReads.back());
        m_remainingReads.pop_back();
        return prefixRead;
    }

    std::vector<PrefixRead> m_remainingReads;
    std::set<std::string> m_prefixesToSplit;
};

} // namespace carobjunction
