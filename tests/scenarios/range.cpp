#include "range.h"

#include <charconv>

namespace carobjunction::scenarios
{

namespace
{

bool readNumber(const std::string &text, uint64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} && end == text.data() + text.size();
}

} // namespace

std::optional<Range> Range::parse(const std::string &text)
{
    Range range;
    const std::size_t dots = text.find("..");
    if (dots == std::string::npos) {
        if (!readNumber(text, range.least)) {
            return std::nullopt;
        }
        range.most = range.least;
        return range;
    }
    const std::string least = text.substr(0, dots);
    const std::string most = text.substr(dots + 2);
    if ((!least.empty() && !readNumber(least, range.least)) || (!most.empty() && !readNumber(most, range.most)) || (least.empty() && most.empty())) {
        return std::nullopt;
    }
    return range;
}

} // namespace carobjunction::scenarios
