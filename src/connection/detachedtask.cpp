#include "connection/detachedtask.h"

#include "process/eventlog.h"

#include <exception>
#include <utility>

namespace carobjunction
{

namespace
{

void logFailure(const std::string &name, const std::exception_ptr &failure)
{
    std::string reason = "unknown";
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        reason = error.what();
    } catch (...) {
        reason = "no standard exception";
    }
    EventLog::write(LogLevel::Error, Event::TaskFailed, { { "task", name }, { "reason", reason } });
}

Task<void> repeat(asio::io_context &loop, std::string name, std::function<Task<void>()> start, Duration pause)
{
    while (true) {
        std::exception_ptr failure;
        try {
            co_await start();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        logFailure(name, failure);
        asio::steady_timer timer(loop, pause);
        ErrorCode ignored; // the timer is not cancelled
        co_await timer.async_wait(into(ignored));
    }
}

} // namespace

void spawnDetached(asio::io_context &loop, std::string name, Task<void> task, std::function<void()> onEnd)
{
    asio::co_spawn(loop, std::move(task), [name = std::move(name), onEnd = std::move(onEnd)](const std::exception_ptr &failure) {
        if (failure) {
            logFailure(name, failure);
        }
        if (onEnd) {
            onEnd();
        }
    });
}

void spawnEndless(asio::io_context &loop, std::string name, std::function<Task<void>()> start, Duration pause)
{
    std::string task = name;
    spawnDetached(loop, std::move(name), repeat(loop, std::move(task), std::move(start), pause));
}

void callGuarded(const char *name, const std::function<void()> &handler)
{
    try {
        handler();
    } catch (...) {
        logFailure(name, std::current_exception());
    }
}

} // namespace carobjunction
