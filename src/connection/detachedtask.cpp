#include "connection/detachedtask.h"

#include "connection/sleepfor.h"
#include "process/eventlog.h"

#include <exception>
#include <utility>

namespace carobjunction
{

namespace
{

void logTaskFailure(const std::string &name, const std::exception_ptr &taskException)
{
    std::string reason = "unknown";
    try {
        std::rethrow_exception(taskException);
    } catch (const std::exception &error) {
        reason = error.what();
    } catch (...) {
        reason = "exception not derived from std::exception";
    }
    EventLog::write(LogLevel::Error, Event::TaskFailed, { { "task", name }, { "reason", reason } });
}

Task<void> runWithRestarts(asio::io_context &loop, std::string name, std::function<Task<void>()> makeTask, Duration restartDelay)
{
    while (true) {
        std::exception_ptr taskException;
        try {
            co_await makeTask();
        } catch (...) {
            taskException = std::current_exception();
        }
        if (!taskException) {
            co_return;
        }
        logTaskFailure(name, taskException);
        co_await sleepFor(loop, restartDelay);
    }
}

} // namespace

void spawnDetached(asio::io_context &loop, std::string name, Task<void> task, std::function<void()> onEnd)
{
    asio::co_spawn(loop, std::move(task), [name = std::move(name), onEnd = std::move(onEnd)](const std::exception_ptr &taskException) {
        if (taskException) {
            logTaskFailure(name, taskException);
        }
        if (onEnd) {
            onEnd();
        }
    });
}

void spawnSupervised(asio::io_context &loop, std::string name, std::function<Task<void>()> makeTask, Duration restartDelay)
{
    std::string task = name;
    spawnDetached(loop, std::move(name), runWithRestarts(loop, std::move(task), std::move(makeTask), restartDelay));
}

void callAndLogExceptions(const char *name, const std::function<void()> &handler)
{
    try {
        handler();
    } catch (...) {
        logTaskFailure(name, std::current_exception());
    }
}

} // namespace carobjunction
