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

/** One line of a daemon's log. */
struct LogLine {
    std::chrono::milliseconds time { 0 }; /**< Since 1970, by the daemon's clock. */
    int event = 0;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields; /**< In the order of the line. */

    /** @return the field, or an empty text */
    std::string field(std::string_view name) const;
};

/** @return the line, or empty if it is not an event of a daemon */
std::optional<LogLine> parseLogLine(std::string_view text);

/** Log of one daemon. */
struct DaemonLog {
    std::string daemon;
    std::vector<LogLine> lines;
};

/** Reads the log of one daemon. The daemon is named by its start event, or else by the file. @return the log, or empty after printing an error */
std::optional<DaemonLog> readDaemonLog(const std::string &path);

/** One step of a story. */
struct StoryStep {
    std::string daemon;
    LogLine line;
    bool isContext = false; /**< Not of the request, but of a backend server or daemon that it met. */
};

/** What several daemons logged of one request, on one time axis. */
struct RequestStory {
    std::vector<StoryStep> steps; /**< By time. */
    std::map<std::string, std::chrono::milliseconds> setBack; /**< Clocks found to be ahead, by daemon; the steps are corrected. */
};

/**
 * Joins the lines of one request. A daemon decides before the entry learns of it, which shows clocks that are ahead.
 * @return the story, without steps if no log has the request
 */
RequestStory tellStory(const std::vector<DaemonLog> &logs, const std::string &requestId);

} // namespace carobjunction
