#include "process/eventlog.h"

#include "process/standardoutputappender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>

namespace carobjunction
{

namespace
{

log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger &rootLogger()
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) { return c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f; });
}

void appendEscaped(std::string &line, std::string_view value)
{
    static constexpr char Digits[] = "0123456789abcdef";
    line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < ' ' || byte == 0x7f) {
            line += "\\x";
            line += Digits[byte >> 4U];
            line += Digits[byte & 0xfU];
            continue;
        }
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c;
    }
    line += '"';
}

} // namespace

namespace
{

void setAppender(const log4cplus::SharedAppenderPtr &appender, LogLevel level)
{
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n"));
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(toLog4cplusLevel(level));
}

} // namespace

void EventLog::initialise(LogLevel level)
{
    setAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)), level);
}

void EventLog::initialiseStandardOutput(LogLevel level)
{
    setAppender(log4cplus::SharedAppenderPtr(new StandardOutputAppender), level);
}

bool EventLog::isEnabled(LogLevel level)
{
    return rootLogger().isEnabledFor(toLog4cplusLevel(level));
}

void EventLog::write(LogLevel level, Event event, std::initializer_list<LogField> fields)
{
    if (!isEnabled(level)) {
        return;
    }
    rootLogger().forcedLog(toLog4cplusLevel(level), format(event, fields));
}

std::string EventLog::format(Event event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::to_string(static_cast<int>(event)) + " name=" + std::string(nameOf(event));
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        if (needsQuotes(field.value)) {
            appendEscaped(line, field.value);
        } else {
            line += field.value;
        }
    }
    return line;
}

} // namespace carobjunction
