#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace carobjunction::scenarios
{

/** Inclusive bounds of a count, written as `5`, `3..8`, `3..` or `..8`. */
struct Range {
    uint64_t minimum = 0;
    uint64_t maximum = UINT64_MAX;

    /** @return the parsed bounds; empty if @p text is malformed */
    static std::optional<Range> parse(const std::string &text);

    bool contains(uint64_t value) const
    {
        return value >= minimum && value <= maximum;
    }
};

} // namespace carobjunction::scenarios
