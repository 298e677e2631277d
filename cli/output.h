#pragma once

#include <carobjunction/process/enumnames.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

enum class OutputFormat {
    Text,
    Json,
};

template<>
struct EnumNames<OutputFormat> {
    static constexpr std::pair<OutputFormat, std::string_view> Table[] = {
        { OutputFormat::Text, "text" },
        { OutputFormat::Json, "json" },
    };
};

/** Object that keeps its members in the order of the answer. */
using Json = nlohmann::ordered_json;

/** Prints an object or array as indented JSON. */
void printJson(const Json &value);

/**
 * Prints an array of objects as a table.
 * @param columns  names of the members to print, in order; empty for all
 */
void printTable(const Json &rows, std::vector<std::string> columns = {});

/** Prints the members of an object, one a line; nested objects and arrays are indented. */
void printMembers(const Json &object);

/** Prints one line to standard output. Control characters are escaped, because callers choose paths and names. */
void printLine(std::string_view text);

/** Prints one line to standard error, in the same way. */
void printError(std::string_view text);

/** @return the time in ISO 8601 format, in UTC to the second */
std::string formatTime(uint64_t millisecondsSinceEpoch);

} // namespace carobjunction
