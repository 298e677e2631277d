#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Text forms of the values in configuration and settings files. */
class ValueText
{
public:
    /** @return a whole number of decimal digits without leading zeros, or empty; numbers above 64 bits become the largest */
    static std::optional<uint64_t> parseInteger(std::string_view text);

    /** @return a finite decimal number without a sign, or empty */
    static std::optional<double> parseReal(std::string_view text);

    /** @return a whole number followed by us, ms, s, min or h, or empty; too long times become the longest */
    static std::optional<Duration> parseDuration(std::string_view text);

    /** @return a whole number of bytes, or one followed by KiB or MiB, or empty; too large sizes become the largest */
    static std::optional<uint64_t> parseSize(std::string_view text);

    /** @return true for `yes` and `true`, false for `no` and `false`, or empty */
    static std::optional<bool> parseBoolean(std::string_view text);

    /** @return whether the text is an IPv4 address or an IPv6 address in brackets, followed by a colon and a port from 0 to 65535 */
    static bool isAddress(std::string_view text);

    static constexpr std::string_view ServiceNameRange = "1 to 63 lower-case letters, digits and inner hyphens";

    /** @return whether the text is in the ServiceNameRange; a service name is also a host label and part of a store key */
    static bool isServiceName(std::string_view text);

    /** @return the port of an address for which isAddress() holds */
    static uint16_t portOf(std::string_view address);

    /** @return whether the IP address of an address for which isAddress() holds is 0.0.0.0 or [::] */
    static bool isUnspecified(std::string_view address);

    /** @return the shortest form that parseReal() reads back as @p value */
    static std::string format(double value);

    /** @return the form with the largest unit that loses nothing; parts of a microsecond are dropped */
    static std::string format(Duration value);

    /** @return the form with the largest unit that loses nothing */
    static std::string formatSize(uint64_t bytes);

    /** @return at most 64 characters of @p text, with everything but printable ASCII replaced by `?` */
    static std::string printable(std::string_view text);
};

} // namespace carobjunction
