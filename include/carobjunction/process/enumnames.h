#pragma once

#include <optional>
#include <string_view>
#include <utility>

namespace carobjunction
{

/**
 * Table of names of an enumeration. Specialisations define
 * `static constexpr std::pair<Enum, std::string_view> Table[]` with one row a value.
 */
template<typename Enum>
struct EnumNames;

/**
 * @param value  value of an enumeration with a name table
 * @return its name, or an empty view for a value outside the table
 */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &[candidate, name] : EnumNames<Enum>::Table) {
        if (candidate == value) {
            return name;
        }
    }
    return {};
}

/**
 * @param name  name in the table
 * @return the value, or empty if no row has this name
 */
template<typename Enum>
constexpr std::optional<Enum> fromName(std::string_view name)
{
    for (const auto &[candidate, candidateName] : EnumNames<Enum>::Table) {
        if (candidateName == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace carobjunction
