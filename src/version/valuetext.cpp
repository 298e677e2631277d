#include "version/valuetext.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <system_error>

namespace carobjunction
{

namespace
{

struct DurationUnit {
    std::string_view name;
    Duration length;
};

// Sorted from the largest unit to the smallest, because format() uses the first unit that divides the value.
constexpr std::array<DurationUnit, 5> DurationUnits { {
    { "h", std::chrono::hours(1) },
    { "min", std::chrono::minutes(1) },
    { "s", std::chrono::seconds(1) },
    { "ms", std::chrono::milliseconds(1) },
    { "us", std::chrono::microseconds(1) },
} };

struct SizeUnit {
    std::string_view name;
    uint64_t bytes;
};

constexpr std::array<SizeUnit, 3> SizeUnits { { { "MiB", 1U << 20U }, { "KiB", 1U << 10U }, { "", 1 } } };

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || isDigit(character);
}

/** Splits a value into its leading digits, with a decimal fraction if there is one, and its unit. */
std::pair<std::string_view, std::string_view> splitDecimalUnit(std::string_view text)
{
    const auto isPartOfNumber = [](char character) {
        return isDigit(character) || character == '.';
    };
    const size_t length = static_cast<size_t>(std::find_if_not(text.begin(), text.end(), isPartOfNumber) - text.begin());
    return { text.substr(0, length), text.substr(length) };
}

/** Splits a value into its leading digits and its unit. */
std::pair<std::string_view, std::string_view> splitUnit(std::string_view text)
{
    const size_t digits = static_cast<size_t>(std::find_if_not(text.begin(), text.end(), isDigit) - text.begin());
    return { text.substr(0, digits), text.substr(digits) };
}

/** @return the number, written as digits, a point and digits, without further leading zeros, or empty */
std::optional<double> parseDecimal(std::string_view text)
{
    const size_t point = text.find('.');
    if (point == std::string_view::npos || !ValueText::parseInteger(text.substr(0, point))) {
        return std::nullopt;
    }
    const std::string_view fraction = text.substr(point + 1);
    const bool isValid = !fraction.empty() && std::all_of(fraction.begin(), fraction.end(), isDigit);
    return isValid ? ValueText::parseReal(text) : std::nullopt;
}

struct AddressParts {
    std::string host;
    std::string_view port;
    bool isV6 = false;
};

std::optional<AddressParts> splitAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool isV6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isV6) {
        host = host.substr(1, host.size() - 2);
    }
    return AddressParts { std::string(host), text.substr(colon + 1), isV6 };
}

} // namespace

std::optional<uint64_t> ValueText::parseInteger(std::string_view text)
{
    if (text.empty() || !std::all_of(text.begin(), text.end(), isDigit) || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() ? value : std::numeric_limits<uint64_t>::max();
}

std::optional<double> ValueText::parseReal(std::string_view text)
{
    if (text.empty() || !isDigit(text.front())) {
        return std::nullopt;
    }
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<Duration> ValueText::parseDuration(std::string_view text)
{
    const auto [number, unitName] = splitDecimalUnit(text);
    const auto unit
        = std::find_if(DurationUnits.begin(), DurationUnits.end(), [name = unitName](const DurationUnit &candidate) { return candidate.name == name; });
    if (unit == DurationUnits.end()) {
        return std::nullopt;
    }
    if (const auto count = parseInteger(number)) {
        const bool isInRange = *count <= static_cast<uint64_t>(Duration::max() / unit->length);
        return isInRange ? unit->length * static_cast<Duration::rep>(*count) : Duration::max();
    }
    const auto value = parseDecimal(number);
    if (!value) {
        return std::nullopt;
    }
    const double length = std::round(*value * static_cast<double>(unit->length.count()));
    return length < static_cast<double>(Duration::max().count()) ? Duration(static_cast<Duration::rep>(length)) : Duration::max();
}

std::optional<uint64_t> ValueText::parseSize(std::string_view text)
{
    const auto [digits, unitName] = splitUnit(text);
    const auto count = parseInteger(digits);
    const auto unit = std::find_if(SizeUnits.begin(), SizeUnits.end(), [name = unitName](const SizeUnit &candidate) { return candidate.name == name; });
    if (!count || unit == SizeUnits.end()) {
        return std::nullopt;
    }
    constexpr uint64_t Largest = std::numeric_limits<uint64_t>::max();
    return *count > Largest / unit->bytes ? Largest : *count * unit->bytes;
}

std::optional<bool> ValueText::parseBoolean(std::string_view text)
{
    if (text == "yes" || text == "true") {
        return true;
    }
    if (text == "no" || text == "false") {
        return false;
    }
    return std::nullopt;
}

bool ValueText::isAddress(std::string_view text)
{
    const auto parts = splitAddress(text);
    if (!parts) {
        return false;
    }
    const auto port = parseInteger(parts->port);
    in6_addr address {};
    return port && *port <= std::numeric_limits<uint16_t>::max() && inet_pton(parts->isV6 ? AF_INET6 : AF_INET, parts->host.c_str(), &address) == 1;
}

bool ValueText::isServiceName(std::string_view text)
{
    constexpr size_t MaxLength = 63;
    return !text.empty() && text.size() <= MaxLength && isLowerOrDigit(text.front()) && isLowerOrDigit(text.back())
        && std::all_of(text.begin(), text.end(), [](char character) { return isLowerOrDigit(character) || character == '-'; });
}

uint16_t ValueText::portOf(std::string_view address)
{
    return static_cast<uint16_t>(parseInteger(address.substr(address.rfind(':') + 1)).value_or(0));
}

bool ValueText::isUnspecified(std::string_view address)
{
    const auto parts = splitAddress(address);
    in6_addr bytes {};
    if (!parts || inet_pton(parts->isV6 ? AF_INET6 : AF_INET, parts->host.c_str(), &bytes) != 1) {
        return false;
    }
    // An IPv4 address occupies only the first four bytes; the others remain 0.
    return std::all_of(std::begin(bytes.s6_addr), std::end(bytes.s6_addr), [](uint8_t byte) { return byte == 0; });
}

std::string ValueText::format(double value)
{
    std::array<char, 32> buffer {};
    char *const last = buffer.data() + buffer.size();
    std::to_chars_result result = std::to_chars(buffer.data(), last, value, std::chars_format::fixed);
    if (result.ec != std::errc()) {
        result = std::to_chars(buffer.data(), last, value); // very large or small numbers need an exponent
    }
    return result.ec == std::errc() ? std::string(buffer.data(), result.ptr) : std::string();
}

std::string ValueText::format(Duration value)
{
    if (value == Duration::zero()) {
        return "0s";
    }
    for (const DurationUnit &unit : DurationUnits) {
        if (value % unit.length == Duration::zero()) {
            return std::to_string(value / unit.length) + std::string(unit.name);
        }
    }
    return std::to_string(value / DurationUnits.back().length) + std::string(DurationUnits.back().name);
}

std::string ValueText::formatSize(uint64_t bytes)
{
    const auto unit = std::find_if(SizeUnits.begin(), SizeUnits.end(), [bytes](const SizeUnit &candidate) { return bytes % candidate.bytes == 0; });
    return std::to_string(bytes / unit->bytes) + std::string(unit->name);
}

std::string ValueText::toPrintable(std::string_view text)
{
    constexpr size_t MaxLength = 64;
    std::string result(text.substr(0, MaxLength));
    std::replace_if(
        result.begin(), result.end(), [](char character) { return character < 0x20 || character > 0x7e; }, '?');
    return result;
}

} // namespace carobjunction
