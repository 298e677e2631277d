#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <functional>
#include <string>

namespace carobjunction
{

/** Delay before a failed task is restarted. */
constexpr Duration DefaultRestartDelay = std::chrono::seconds(1);

/**
 * Starts a task. An exception ends only this task, and is logged.
 * @param name  name of the task in the log
 * @param onEnd  called when the task has returned or thrown, but not if the event loop stops first; may be empty
 */
void spawnDetached(asio::io_context &loop, std::string name, Task<void> task, std::function<void()> onEnd = {});

/**
 * Starts a task that is expected to run until the process exits. If it throws, the exception is logged and the task is restarted.
 * @param name  name of the task in the log
 * @param makeTask  creates the task; called again for each restart
 * @param restartDelay  delay between a failure and the restart
 */
void spawnSupervised(asio::io_context &loop, std::string name, std::function<Task<void>()> makeTask, Duration restartDelay = DefaultRestartDelay);

/**
 * Calls a handler of the event loop and logs its exceptions. An exception that escaped the event loop would terminate the process.
 * @param name  name of the handler in the log
 */
void callAndLogExceptions(const char *name, const std::function<void()> &handler);

} // namespace carobjunction
