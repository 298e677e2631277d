#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <functional>
#include <string>

namespace carobjunction
{

/** Time after which an endless task that failed is started again. */
constexpr Duration DefaultRestartDelay = std::chrono::seconds(1);

/**
 * Starts a task. What it throws ends the task only, and is logged.
 * @param name  of the task in the log
 * @param onEnd  called when the task has ended, also by an exception; not if the event loop ends before. May be empty
 */
void spawnDetached(asio::io_context &loop, std::string name, Task<void> task, std::function<void()> onEnd = {});

/**
 * Starts a task that runs as long as the process. If it throws, this is logged and the task is started again.
 * @param start  makes the task; called again after a failure
 * @param pause  time between a failure and the next start
 */
void spawnEndless(asio::io_context &loop, std::string name, std::function<Task<void>()> makeTask, Duration restartDelay = DefaultRestartDelay);

/**
 * Calls a handler of the event loop. What it throws is logged, since an exception that leaves the event loop ends the process.
 * @param name  of the handler in the log
 */
void callGuarded(const char *name, const std::function<void()> &handler);

} // namespace carobjunction
