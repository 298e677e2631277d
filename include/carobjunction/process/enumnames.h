#pragma once

#include <optional>
#include <string_view>
#include <utility>

namespace carobjunction
{

/**
 * Maps the values of an enumeration to their names. Specialisations define
 * `static constexpr std::pair<Enum, std::string_view> Table[]` with one entry per enumerator.
 */
template<typename Enum>
struct EnumNames;

/**
 * @param value  value of an enumeration for which EnumNames is specialised
 * @return name of the value, or an empty view if the table does not contain the value
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
 * @param name  name of an enumerator
 * @return value with this name, or std::nullopt if the table does not contain the name
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
