#pragma once

#include "process/event.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace carobjunction
{

/** Severity of a log line. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

template<>
struct EnumNames<LogLevel> {
    static constexpr std::pair<LogLevel, std::string_view> Table[] = {
        { LogLevel::Debug, "debug" },
        { LogLevel::Info, "info" },
        { LogLevel::Warning, "warning" },
        { LogLevel::Error, "error" },
    };
};

/** One `name=value` pair of a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};

/** Writes one line an event. Thread-safe. */
class EventLog
{
public:
    /**
     * Sends all lines to standard error.
     * @param level  lowest level written
     */
    static void initialise(LogLevel level);

    /**
     * Sends all lines to standard output, and drops lines rather than wait for a reader that is slow. Dropped lines are counted and
     * reported as soon as there is room.
     * @param level  lowest level written
     */
    static void initialiseStandardOutput(LogLevel level);

    /** @return whether lines of @p level are written, so that callers can skip building fields */
    static bool isEnabled(LogLevel level);

    /**
     * Writes `event=<number> name=<name> <field>=<value> ...`. Values with spaces, quotes, backslashes or
     * control characters are quoted and escaped.
     */
    static void write(LogLevel level, Event event, std::initializer_list<LogField> fields);

    /** @return the text of a line, without time and level */
    static std::string format(Event event, std::initializer_list<LogField> fields);
};

} // namespace carobjunction
