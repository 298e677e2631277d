#pragma once

#include <set>
#include <string>
#include <vector>

namespace carobjunction
{

/**
 * Splits the rows below some prefixes into reads of limited size, because the table service reads a prefix only as a whole. A prefix
 * reported as too large is replaced by its extensions by one printable ASCII character and by the row of exactly that key.
 */
class PrefixWalker
{
public:
    /** One read. */
    struct Step {
        std::string text;
        bool exact = false; /**< Read the row with this key rather than all rows with this prefix. */
    };

    /** Starts a pass over all rows below @p roots. */
    void start(const std::vector<std::string> &roots)
    {
        m_stack.clear();
        for (const std::string &root : roots) {
            m_stack.push_back({ root, false });
        }
    }

    /** @return whether the pass is over */
    bool atEnd() const
    {
        return m_stack.empty();
    }

    /** @return the next read of the pass, which must not be over */
    Step next()
    {
        Step step = pop();
        while (!step.exact && m_tooLarge.contains(step.text)) {
            for (char c = FirstPrintable; c <= LastPrintable; ++c) {
                m_stack.push_back({ step.text + c, false });
            }
            m_stack.push_back({ step.text, true });
            step = pop();
        }
        return step;
    }

    /** Splits a prefix from the next pass on. */
    void markTooLarge(const std::string &prefix)
    {
        if (m_tooLarge.size() >= MaxRemembered) {
            m_tooLarge.clear();
        }
        m_tooLarge.insert(prefix);
    }

private:
    static constexpr char FirstPrintable = ' ';
    static constexpr char LastPrintable = '~';
    static constexpr size_t MaxRemembered = 10'000;

    Step pop()
    {
        Step step = std::move(m_stack.back());
        m_stack.pop_back();
        return step;
    }

    std::vector<Step> m_stack;
    std::set<std::string> m_tooLarge;
};

} // namespace carobjunction
