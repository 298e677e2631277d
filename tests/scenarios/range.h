#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace carobjunction::scenarios
{

/** Bounds of a count, written `5`, `3..8`, `3..` or `..8`. */
struct Range {
    uint64_t least = 0;
    uint64_t most = UINT64_MAX;

    /** @return the bounds; empty if @p text is malformed */
    static std::optional<Range> parse(const std::string &text);

    bool contains(uint64_t value) const
    {
        return value >= least && value <= most;
    }
};

} // namespace carobjunction::scenarios
