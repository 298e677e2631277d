#include "version/publishid.h"

#include "version/valuetext.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace carobjunction
{

std::string PublishId::toString() const
{
    return std::to_string(baseVersion) + "-" + token;
}

std::optional<PublishId> PublishId::fromString(std::string_view text)
{
    constexpr size_t MaxTokenLength = 64;
    const size_t hyphen = text.find('-');
    if (hyphen == std::string_view::npos) {
        return std::nullopt;
    }
    const auto base = ValueText::parseInteger(text.substr(0, hyphen));
    const std::string_view token = text.substr(hyphen + 1);
    const bool isHex = std::all_of(
        token.begin(), token.end(), [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); });
    if (!base || token.empty() || token.size() > MaxTokenLength || !isHex) {
        return std::nullopt;
    }
    return PublishId { *base, std::string(token) };
}

std::string PublishId::randomToken()
{
    std::random_device randomDevice;
    std::string token;
    for (int i = 0; i < 4; ++i) {
        std::array<char, 9> digits {};
        std::snprintf(digits.data(), digits.size(), "%08x", randomDevice());
        token += digits.data();
    }
    return token;
}

} // namespace carobjunction
