#include "logstory.h"

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

constexpr auto ContextTime = std::chrono::seconds(5); // before and after the request
// First numbers of groups of events, see docs/events.md.
constexpr int RequestEvents = 2000;
constexpr int TargetEvents = 3000;
constexpr int MembershipEvents = 4000;
constexpr int ConfigurationEvents = 5000;

std::optional<milliseconds> parseTime(std::string_view text)
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

/** Takes one character of a quoted value, or the escape sequence of one: a backslash and the character, or `\\xNN`. */
char takeCharacter(std::string_view &text)
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

/** Takes a quoted value, its opening quote already removed. */
std::string takeQuoted(std::string_view &text)
{
    std::string value;
    while (!text.empty() && text.front() != '"') {
        value += takeCharacter(text);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return value;
}

std::string takeWord(std::string_view &text, char end)
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

bool isContextOf(const LogLine &line, const std::string &daemon, const std::set<std::string> &backends, const std::set<std::string> &daemons)
{
    const bool isOfBackend = line.event >= TargetEvents && line.event < MembershipEvents && backends.count(line.field("backend")) > 0;
    const bool isOfDaemon = daemons.count(daemon) > 0 && (line.event < RequestEvents || line.event >= ConfigurationEvents);
    return isOfBackend || isOfDaemon;
}

/** @return the last line on each target of the service that the daemon logged up to @p until: why a request found no target */
std::set<const LogLine *> lastStates(const DaemonLog &log, const std::string &service, milliseconds until)
{
    std::map<std::string, const LogLine *> last;
    for (const LogLine &line : log.lines) {
        const bool isOfTarget = line.event >= TargetEvents && line.event < MembershipEvents;
        if (isOfTarget && line.field("service") == service && line.time <= until) {
            last[line.field("backend")] = &line;
        }
    }
    std::set<const LogLine *> states;
    for (const auto &[backend, line] : last) {
        states.insert(line);
    }
    return states;
}

/** Finds clocks that are ahead: an entry's line about an attempt can't be older than the target's daemon's line about it. */
void findClocks(const std::vector<StoryStep> &steps, RequestStory &story)
{
    for (const StoryStep &entry : steps) {
        const std::string other = entry.line.field("daemon");
        if (other.empty() || other == entry.daemon) {
            continue;
        }
        for (const StoryStep &decision : steps) {
            const bool isSameAttempt = decision.daemon == other && decision.line.name == "admission-decided" && entry.line.name == "retry-decided"
                && decision.line.field("backend") == entry.line.field("backend");
            if (isSameAttempt && decision.line.time > entry.line.time) {
                milliseconds &back = story.setBack[other];
                back = std::max(back, decision.line.time - entry.line.time);
            }
        }
    }
}

} // namespace

std::string LogLine::field(std::string_view wanted) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [wanted](const auto &entry) { return entry.first == wanted; });
    return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine line;
    const auto time = parseTime(takeWord(text, ' '));
    if (!time) {
        return std::nullopt;
    }
    line.time = *time;
    takeWord(text, ' '); // the level
    skipSpaces(text);
    while (!text.empty()) {
        const std::string name = takeWord(text, '=');
        const bool isQuoted = !text.empty() && text.front() == '"';
        text.remove_prefix(isQuoted ? 1 : 0);
        std::string value = isQuoted ? takeQuoted(text) : takeWord(text, ' ');
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
            continue; // output of another program in the same file
        }
        if (line->name == "daemon-started" && !line->field("daemon").empty()) {
            log.daemon = line->field("daemon");
        }
        log.lines.push_back(std::move(*line));
    }
    return log;
}

RequestStory tellStory(const std::vector<DaemonLog> &logs, const std::string &requestId)
{
    RequestStory story;
    std::set<std::string> backends;
    std::set<std::string> daemons;
    std::string unservedService; // of a request that found no target
    for (const DaemonLog &log : logs) {
        for (const LogLine &line : log.lines) {
            if (line.field("request") == requestId) {
                story.steps.push_back({ log.daemon, line, false });
                backends.insert(line.field("backend"));
                if (line.field("reason") == nameOf(Reason::NoTarget) && !line.field("service").empty()) {
                    unservedService = line.field("service");
                }
                daemons.insert(log.daemon);
            }
        }
    }
    backends.erase("");
    if (story.steps.empty()) {
        return story;
    }
    findClocks(story.steps, story);
    const auto byTime = [](const StoryStep &a, const StoryStep &b) {
        return a.line.time < b.line.time;
    };
    const auto [first, last] = std::minmax_element(story.steps.begin(), story.steps.end(), byTime);
    const milliseconds from = first->line.time - ContextTime;
    const milliseconds until = last->line.time;
    const milliseconds to = last->line.time + ContextTime;
    for (const DaemonLog &log : logs) {
        const std::set<const LogLine *> states = unservedService.empty() ? std::set<const LogLine *> {} : lastStates(log, unservedService, until);
        for (const LogLine &line : log.lines) {
            const bool isNear = line.time >= from && line.time <= to;
            if ((isNear && isContextOf(line, log.daemon, backends, daemons)) || states.count(&line) > 0) {
                story.steps.push_back({ log.daemon, line, true });
            }
        }
    }
    for (StoryStep &step : story.steps) {
        const auto back = story.setBack.find(step.daemon);
        step.line.time -= back == story.setBack.end() ? milliseconds(0) : back->second;
    }
    std::stable_sort(story.steps.begin(), story.steps.end(), byTime);
    return story;
}

} // namespace carobjunction
