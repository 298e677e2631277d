#pragma once

#include <carobjunction/process/enumnames.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Format of the results, selected by `--output`. */
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

/** JSON value whose objects keep their members in the order of insertion, which is that of the response. */
using Json = nlohmann::ordered_json;

/** Prints a JSON value, indented by two spaces per level. */
void printJson(const Json &value);

/**
 * Prints an array of objects as a table with one row per object.
 * @param columns  names of the members to print, in this order; if empty, all members are printed
 */
void printTable(const Json &rows, std::vector<std::string> columns = {});

/** Prints the members of an object, one per line. Nested objects and arrays are indented. */
void printObject(const Json &object);

/**
 * Prints one line to standard output. Escapes control characters, because the text can contain paths and names
 * chosen by callers, which could otherwise send control sequences to the terminal.
 */
void printLine(std::string_view text);

/** Prints one line to standard error and escapes control characters as printLine() does. */
void printError(std::string_view text);

/** Formats a point in time in ISO 8601, in UTC with a resolution of one second. */
std::string formatTime(uint64_t millisecondsSinceEpoch);

} // namespace carobjunction
