#pragma once

#include "output.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** One event in the log of a daemon. */
struct LogLine {
    std::chrono::milliseconds time { 0 }; /**< Time since the Unix epoch by the daemon's clock. */
    int event = 0; /**< Number of the event. */
    std::string name; /**< Name of the event. */
    std::vector<std::pair<std::string, std::string>> fields; /**< Names and values in the order of the line. */

    /** Returns the value of a field, or an empty string if the line lacks it. */
    std::string field(std::string_view name) const;
};

/** Parses a log line. @return the event, or empty if the line is not an event of a daemon */
std::optional<LogLine> parseLogLine(std::string_view text);

/** Events that one daemon logged. */
struct DaemonLog {
    std::string daemon; /**< ID of the daemon. */
    std::vector<LogLine> lines;
};

/**
 * Reads the log file of one daemon. The ID of the daemon is that of its last `daemon-started` event, or the file name
 * without extension if the log has no such event.
 * @return the log; empty after printing an error
 */
std::optional<DaemonLog> readDaemonLog(const std::string &path);

/** One event of a request trace. */
struct TraceStep {
    std::string daemon;
    LogLine line;
    bool isContext = false; /**< The event is not about the request itself, but about a backend server or daemon that affected it. */
};

/** Events that several daemons logged about one request, with clock offsets between the daemons corrected. */
struct RequestTrace {
    std::vector<TraceStep> steps; /**< In order of corrected time. */
    /** Minimum offset of each clock found to be ahead, by daemon ID. The times of the steps are already corrected by it. */
    std::map<std::string, std::chrono::milliseconds> clockOffsets;
};

/**
 * Merges the log lines of one request, and those that explain its decisions, by time. Corrects clocks that are ahead: a
 * daemon logs an admission decision before the entry daemon logs the result of that attempt.
 * @return the trace; it has no steps if no log has a line of the request
 */
RequestTrace buildRequestTrace(const std::vector<DaemonLog> &logs, const std::string &requestId);

} // namespace carobjunction
