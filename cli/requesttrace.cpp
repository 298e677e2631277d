#include "requesttrace.h"

#include <carobjunction/request/reason.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <set>

namespace carobjunction
{

namespace
{

using std::chrono::milliseconds;

constexpr auto ContextMargin = std::chrono::seconds(5); // before the first and after the last log line of the request
// First event number of each group of events, see docs/events.md.
constexpr int FirstRequestEvent = 2000;
constexpr int FirstTargetEvent = 3000;
constexpr int FirstMembershipEvent = 4000;
constexpr int FirstConfigurationEvent = 5000;

std::optional<milliseconds> parseTimestamp(std::string_view text)
{
    std::tm time {};
    int fraction = 0;
    const std::string copy(text);
    const int read = std::sscanf(
        copy.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &time.tm_year, &time.tm_mon, &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec, &fraction);
    if (read != 7) {
        return std::nullopt;
    }
    time.tm_year -= 1900;
    time.tm_mon -= 1;
    return std::chrono::seconds(timegm(&time)) + milliseconds(fraction);
}

/** Removes and returns one character of a quoted value, decoding an escape sequence: a backslash and the character, or `\\xNN`. */
char consumeCharacter(std::string_view &text)
{
    constexpr size_t HexLength = 4;
    constexpr int Hex = 16;
    if (text.starts_with("\\x") && text.size() >= HexLength) {
        const std::string digits(text.substr(2, 2));
        text.remove_prefix(HexLength);
        return static_cast<char>(std::strtol(digits.c_str(), nullptr, Hex));
    }
    text.remove_prefix(text.front() == '\\' && text.size() > 1 ? 1 : 0);
    const char character = text.front();
    text.remove_prefix(1);
    return character;
}

/** Removes and returns a quoted value and its closing quote. The opening quote must have been removed already. */
std::string consumeQuotedValue(std::string_view &text)
{
    std::string value;
    while (!text.empty() && text.front() != '"') {
        value += consumeCharacter(text);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return value;
}

/** Removes and returns the text before the next @p end, or all text if there is none, and removes that character. */
std::string consumeUntil(std::string_view &text, char end)
{
    const size_t length = std::min(text.find(end), text.size());
    std::string word(text.substr(0, length));
    text.remove_prefix(std::min(length + 1, text.size()));
    return word;
}

void skipSpaces(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
}

/**
 * Returns whether a line gives context to a request: a target event of one of its backend servers, or an event of one of its daemons
 * that concerns neither requests, targets nor membership.
 */
bool isContextEvent(const LogLine &line, const std::string &daemon, const std::set<std::string> &backends, const std::set<std::string> &daemons)
{
    const bool isBackendEvent = line.event >= FirstTargetEvent && line.event < FirstMembershipEvent && backends.count(line.field("backend")) > 0;
    const bool isDaemonEvent = daemons.count(daemon) > 0 && (line.event < FirstRequestEvent || line.event >= FirstConfigurationEvent);
    return isBackendEvent || isDaemonEvent;
}

/**
 * Finds the last line that a daemon logged about each target of a service up to @p lastRequestTime. These states explain why a
 * request had no target.
 */
std::set<const LogLine *> findLastTargetEvents(const DaemonLog &log, const std::string &service, milliseconds lastRequestTime)
{
    std::map<std::string, const LogLine *> last;
    for (const LogLine &line : log.lines) {
        const bool isTargetEvent = line.event >= FirstTargetEvent && line.event < FirstMembershipEvent;
        if (isTargetEvent && line.field("service") == service && line.time <= lastRequestTime) {
            last[line.field("backend")] = &line;
        }
    }
    std::set<const LogLine *> targetStates;
    for (const auto &[backend, line] : last) {
        targetStates.insert(line);
    }
    return targetStates;
}

/**
 * Detects daemons whose clocks are ahead of the entry daemon's. The daemon of the target logs its admission decision before
 * the entry daemon logs the result of the same attempt, so a decision with a later time stamp shows a clock offset.
 */
void detectClockOffsets(const std::vector<TraceStep> &steps, RequestTrace &trace)
{
    for (const TraceStep &entryStep : steps) {
        const std::string targetDaemon = entryStep.line.field("daemon");
        if (targetDaemon.empty() || targetDaemon == entryStep.daemon) {
            continue;
        }
        for (const TraceStep &decisionStep : steps) {
            const bool isSameAttempt = decisionStep.daemon == targetDaemon && decisionStep.line.name == "admission-decided"
                && entryStep.line.name == "retry-decided" && decisionStep.line.field("backend") == entryStep.line.field("backend");
            if (isSameAttempt && decisionStep.line.time > entryStep.line.time) {
                milliseconds &offset = trace.clockOffsets[targetDaemon];
                offset = std::max(offset, decisionStep.line.time - entryStep.line.time);
            }
        }
    }
}

} // namespace

std::string LogLine::field(std::string_view fieldName) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [fieldName](const auto &nameAndValue) { return nameAndValue.first == fieldName; });
    return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine line;
    const auto time = parseTimestamp(consumeUntil(text, ' '));
    if (!time) {
        return std::nullopt;
    }
    line.time = *time;
    consumeUntil(text, ' '); // skips the log level
    skipSpaces(text);
    while (!text.empty()) {
        const std::string name = consumeUntil(text, '=');
        const bool isQuoted = !text.empty() && text.front() == '"';
        text.remove_prefix(isQuoted ? 1 : 0);
        std::string value = isQuoted ? consumeQuotedValue(text) : consumeUntil(text, ' ');
        skipSpaces(text);
        if (name == "event") {
            line.event = std::atoi(value.c_str());
        } else if (name == "name") {
            line.name = std::move(value);
        } else {
            line.fields.emplace_back(name, std::move(value));
        }
    }
    return line.event > 0 ? std::optional(std::move(line)) : std::nullopt;
}

std::optional<DaemonLog> readDaemonLog(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        printError(path + ": cannot be read");
        return std::nullopt;
    }
    DaemonLog log;
    log.daemon = std::filesystem::path(path).stem().string();
    std::string text;
    while (std::getline(file, text)) {
        auto line = parseLogLine(text);
        if (!line) {
            continue; // not an event, such as output of another program in the same file
        }
        if (line->name == "daemon-started" && !line->field("daemon").empty()) {
            log.daemon = line->field("daemon");
        }
        log.lines.push_back(std::move(*line));
    }
    return log;
}

RequestTrace buildRequestTrace(const std::vector<DaemonLog> &logs, const std::string &requestId)
{
    RequestTrace trace;
    std::set<std::string> backends;
    std::set<std::string> daemons;
    std::string unservedService; // set if the request found no target
    for (const DaemonLog &log : logs) {
        for (const LogLine &line : log.lines) {
            if (line.field("request") == requestId) {
                trace.steps.push_back({ log.daemon, line, false });
                backends.insert(line.field("backend"));
                if (line.field("reason") == nameOf(Reason::NoTarget) && !line.field("service").empty()) {
                    unservedService = line.field("service");
                }
                daemons.insert(log.daemon);
            }
        }
    }
    backends.erase("");
    if (trace.steps.empty()) {
        return trace;
    }
    detectClockOffsets(trace.steps, trace);
    const auto byTime = [](const TraceStep &a, const TraceStep &b) {
        return a.line.time < b.line.time;
    };
    const auto [first, last] = std::minmax_element(trace.steps.begin(), trace.steps.end(), byTime);
    const milliseconds contextStart = first->line.time - ContextMargin;
    const milliseconds lastRequestTime = last->line.time;
    const milliseconds contextEnd = last->line.time + ContextMargin;
    for (const DaemonLog &log : logs) {
        const std::set<const LogLine *> targetStates
            = unservedService.empty() ? std::set<const LogLine *> {} : findLastTargetEvents(log, unservedService, lastRequestTime);
        for (const LogLine &line : log.lines) {
            const bool isWithinContext = line.time >= contextStart && line.time <= contextEnd;
            if ((isWithinContext && isContextEvent(line, log.daemon, backends, daemons)) || targetStates.count(&line) > 0) {
                trace.steps.push_back({ log.daemon, line, true });
            }
        }
    }
    for (TraceStep &step : trace.steps) {
        const auto offset = trace.clockOffsets.find(step.daemon);
        step.line.time -= offset == trace.clockOffsets.end() ? milliseconds(0) : offset->second;
    }
    std::stable_sort(trace.steps.begin(), trace.steps.end(), byTime);
    return trace;
}

} // namespace carobjunction
