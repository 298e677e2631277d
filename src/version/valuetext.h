#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Parses and formats the values in configuration and settings files. */
class ValueText
{
public:
    /** @return the whole number, written in decimal digits without leading zeros, or empty; numbers above 64 bits yield the maximum */
    static std::optional<uint64_t> parseInteger(std::string_view text);

    /** @return the finite decimal number, written without a sign, or empty */
    static std::optional<double> parseReal(std::string_view text);

    /**
     * @return the duration, written as a decimal number followed by us, ms, s, min or h, or empty; fractions of a nanosecond are rounded, and durations
     *         out of range yield the maximum
     */
    static std::optional<Duration> parseDuration(std::string_view text);

    /** @return the size in bytes, written as a whole number that KiB or MiB may follow, or empty; sizes out of range yield the maximum */
    static std::optional<uint64_t> parseSize(std::string_view text);

    /** @return true for `yes` or `true`, false for `no` or `false`, otherwise empty */
    static std::optional<bool> parseBoolean(std::string_view text);

    /** @return whether the text is an IPv4 address or an IPv6 address in brackets, followed by a colon and a port from 0 to 65535 */
    static bool isAddress(std::string_view text);

    static constexpr std::string_view ServiceNameRange = "1 to 63 lower-case letters, digits and inner hyphens";

    /** @return whether the text has the form of ServiceNameRange, because a service name is also used as a host label and in store keys */
    static bool isServiceName(std::string_view text);

    /** @return the port of @p address, for which isAddress() must be true */
    static uint16_t portOf(std::string_view address);

    /** @return whether the IP address of @p address, for which isAddress() must be true, is 0.0.0.0 or [::] */
    static bool isUnspecified(std::string_view address);

    /** @return the shortest text that parseReal() parses as @p value */
    static std::string format(double value);

    /** @return the text with the largest unit that represents @p value exactly; fractions of a microsecond are truncated */
    static std::string format(Duration value);

    /** @return the text with the largest unit that represents @p bytes exactly */
    static std::string formatSize(uint64_t bytes);

    /** @return the first 64 characters of @p text, with all characters other than printable ASCII replaced by `?` */
    static std::string toPrintable(std::string_view text);
};

} // namespace carobjunction
