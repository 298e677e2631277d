#include "range.h"

#include <charconv>

namespace carobjunction::scenarios
{

namespace
{

bool parseNumber(const std::string &text, uint64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} && end == text.data() + text.size();
}

} // namespace

std::optional<Range> Range::parse(const std::string &text)
{
    Range range;
    const std::size_t separator = text.find("..");
    if (separator == std::string::npos) {
        if (!parseNumber(text, range.minimum)) {
            return std::nullopt;
        }
        range.maximum = range.minimum;
        return range;
    }
    const std::string minimum = text.substr(0, separator);
    const std::string maximum = text.substr(separator + 2);
    if ((!minimum.empty() && !parseNumber(minimum, range.minimum)) || (!maximum.empty() && !parseNumber(maximum, range.maximum))
        || (minimum.empty() && maximum.empty())) {
        return std::nullopt;
    }
    return range;
}

} // namespace carobjunction::scenarios
