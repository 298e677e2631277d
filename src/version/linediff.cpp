#include "version/linediff.h"

#include <algorithm>
#include <cstdint>

namespace carobjunction
{

namespace
{

using Lines = std::vector<std::string_view>;

// Limits the memory of the LCS table to 8 MB. If the differing parts are larger, all their lines are shown as replaced.
constexpr size_t MaxLcsTableCells = 2U << 20U;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return lines;
}

/** Lengths of the longest common subsequences (LCS) of all pairs of suffixes. */
class LcsTable
{
public:
    LcsTable(const Lines &before, const Lines &after) : m_columns(after.size() + 1), m_lengths((before.size() + 1) * m_columns)
    {
        for (size_t i = before.size(); i-- > 0;) {
            for (size_t j = after.size(); j-- > 0;) {
                m_lengths[i * m_columns + j] = before[i] == after[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    uint32_t at(size_t beforeIndex, size_t afterIndex) const
    {
        return m_lengths[beforeIndex * m_columns + afterIndex];
    }

private:
    size_t m_columns;
    std::vector<uint32_t> m_lengths;
};

void removeCommonPrefixAndSuffix(Lines &before, Lines &after)
{
    const auto [beforeStart, afterStart] = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    before.erase(before.begin(), beforeStart);
    after.erase(after.begin(), afterStart);
    while (!before.empty() && !after.empty() && before.back() == after.back()) {
        before.pop_back();
        after.pop_back();
    }
}

std::string prefixed(char prefix, std::string_view line)
{
    return prefix + std::string(line);
}

} // namespace

std::vector<std::string> diffLines(std::string_view before, std::string_view after)
{
    Lines oldLines = splitLines(before);
    Lines newLines = splitLines(after);
    removeCommonPrefixAndSuffix(oldLines, newLines);
    std::vector<std::string> result;
    size_t i = 0;
    size_t j = 0;
    if ((oldLines.size() + 1) * (newLines.size() + 1) <= MaxLcsTableCells) {
        const LcsTable table(oldLines, newLines);
        while (i < oldLines.size() && j < newLines.size()) {
            if (oldLines[i] == newLines[j]) {
                ++i;
                ++j;
            } else if (table.at(i + 1, j) >= table.at(i, j + 1)) {
                result.push_back(prefixed('-', oldLines[i++]));
            } else {
                result.push_back(prefixed('+', newLines[j++]));
            }
        }
    }
    for (; i < oldLines.size(); ++i) {
        result.push_back(prefixed('-', oldLines[i]));
    }
    for (; j < newLines.size(); ++j) {
        result.push_back(prefixed('+', newLines[j]));
    }
    return result;
}

} // namespace carobjunction
