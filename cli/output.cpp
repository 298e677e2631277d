#include "output.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace carobjunction
{

namespace
{

/** Replaces each control character by `\\xNN`. */
std::string escapeControlCharacters(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7f) {
            std::array<char, 5> escapeSequence {};
            std::snprintf(escapeSequence.data(), escapeSequence.size(), "\\x%02x", byte);
            result += escapeSequence.data();
        } else {
            result += character;
        }
    }
    return result;
}

std::string serialiseJson(const Json &value, int indent = -1)
{
    // With its default error handler, Json::dump() throws on invalid UTF-8.
    return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

/** Formats one value as text. Members named `..._at_ms` or `..._since_ms` hold points in time and are formatted in ISO 8601. */
std::string formatCell(const std::string &name, const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get_ref<const std::string &>().empty() ? "-" : escapeControlCharacters(value.get_ref<const std::string &>());
    }
    const bool isTime = name.ends_with("_at_ms") || name.ends_with("_since_ms");
    return isTime && value.is_number_unsigned() ? formatTime(value.get<uint64_t>()) : escapeControlCharacters(serialiseJson(value));
}

/** Returns the member names of all rows, in the order of their first appearance. */
std::vector<std::string> collectColumns(const Json &rows)
{
    std::vector<std::string> columns;
    for (const Json &row : rows) {
        if (!row.is_object()) {
            continue;
        }
        for (const auto &member : row.items()) {
            if (std::find(columns.begin(), columns.end(), member.key()) == columns.end()) {
                columns.push_back(member.key());
            }
        }
    }
    return columns;
}

/** Prints the members of an object or array, one per line, and indents nested ones by two more spaces. */
void printIndented(const Json &value, const std::string &indent)
{
    for (const auto &member : value.items()) {
        const std::string label = indent + (value.is_object() ? escapeControlCharacters(member.key()) + ":" : "-");
        if (member.value().is_structured() && !member.value().empty()) {
            std::cout << label << '\n';
            printIndented(member.value(), indent + "  ");
        } else {
            std::cout << label << ' ' << formatCell(member.key(), member.value()) << '\n';
        }
    }
}

} // namespace

void printJson(const Json &value)
{
    std::cout << serialiseJson(value, 2) << '\n';
}

void printTable(const Json &rows, std::vector<std::string> columns)
{
    if (columns.empty()) {
        columns = collectColumns(rows);
    }
    std::vector<std::vector<std::string>> lines { {} };
    for (const std::string &column : columns) {
        lines.front().push_back(escapeControlCharacters(column));
    }
    for (const Json &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns) {
            line.push_back(row.is_object() && row.contains(column) ? formatCell(column, row[column]) : "-");
        }
        lines.push_back(std::move(line));
    }
    std::vector<size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto &line : lines) {
        std::string text;
        for (size_t i = 0; i < line.size(); ++i) {
            text += line[i] + (i + 1 < line.size() ? std::string(widths[i] - line[i].size() + 2, ' ') : "");
        }
        std::cout << text << '\n';
    }
}

void printObject(const Json &object)
{
    printIndented(object, "");
}

void printLine(std::string_view text)
{
    std::cout << escapeControlCharacters(text) << '\n';
}

void printError(std::string_view text)
{
    std::cerr << escapeControlCharacters(text) << '\n';
}

std::string formatTime(uint64_t millisecondsSinceEpoch)
{
    const auto seconds = static_cast<std::time_t>(millisecondsSinceEpoch / 1000);
    std::tm parts {};
    std::array<char, 32> text {};
    if (gmtime_r(&seconds, &parts) == nullptr || std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts) == 0) {
        return std::to_string(millisecondsSinceEpoch);
    }
    return text.data();
}

} // namespace carobjunction
