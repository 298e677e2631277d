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

std::string escape(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7f) {
            std::array<char, 5> code {};
            std::snprintf(code.data(), code.size(), "\\x%02x", byte);
            result += code.data();
        } else {
            result += character;
        }
    }
    return result;
}

std::string dump(const Json &value, int indent = -1)
{
    // Invalid UTF-8 is replaced, because dump() otherwise throws.
    return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

/** Text of one value. Members named `..._ms` that are points in time are shown as such. */
std::string cell(const std::string &name, const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get_ref<const std::string &>().empty() ? "-" : escape(value.get_ref<const std::string &>());
    }
    const bool isTime = name.ends_with("_at_ms") || name.ends_with("_since_ms");
    return isTime && value.is_number_unsigned() ? formatTime(value.get<uint64_t>()) : escape(dump(value));
}

/** @return the names of all members of the rows, in the order of their first appearance */
std::vector<std::string> columnsOf(const Json &rows)
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

void printNested(const Json &value, const std::string &indent)
{
    for (const auto &member : value.items()) {
        const std::string label = indent + (value.is_object() ? escape(member.key()) + ":" : "-");
        if (member.value().is_structured() && !member.value().empty()) {
            std::cout << label << '\n';
            printNested(member.value(), indent + "  ");
        } else {
            std::cout << label << ' ' << cell(member.key(), member.value()) << '\n';
        }
    }
}

} // namespace

void printJson(const Json &value)
{
    std::cout << dump(value, 2) << '\n';
}

void printTable(const Json &rows, std::vector<std::string> columns)
{
    if (columns.empty()) {
        columns = columnsOf(rows);
    }
    std::vector<std::vector<std::string>> lines { {} };
    for (const std::string &column : columns) {
        lines.front().push_back(escape(column));
    }
    for (const Json &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns) {
            line.push_back(row.is_object() && row.contains(column) ? cell(column, row[column]) : "-");
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

void printMembers(const Json &object)
{
    printNested(object, "");
}

void printLine(std::string_view text)
{
    std::cout << escape(text) << '\n';
}

void printError(std::string_view text)
{
    std::cerr << escape(text) << '\n';
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
