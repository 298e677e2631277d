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

/** Writes each event as one log line. Thread-safe. */
class EventLog
{
public:
    /**
     * Configures the log to write to standard error.
     * @param level  lowest severity that is written
     */
    static void initialise(LogLevel level);

    /**
     * Configures the log to write to standard output without blocking. If the reader of a pipe is too slow, lines are dropped; their
     * number is logged as soon as the pipe is writable again.
     * @param level  lowest severity that is written
     */
    static void initialiseStandardOutput(LogLevel level);

    /** @return whether lines of @p level are written; if not, callers can skip building the fields */
    static bool isEnabled(LogLevel level);

    /**
     * Writes a line of the form `event=<number> name=<name> <field>=<value> ...`. Values that are empty or contain spaces, quotes,
     * backslashes, equals signs or control characters are quoted and escaped.
     */
    static void write(LogLevel level, Event event, std::initializer_list<LogField> fields);

    /** @return the text of a log line, without its time and level */
    static std::string format(Event event, std::initializer_list<LogField> fields);
};

} // namespace carobjunction
