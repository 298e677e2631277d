#pragma once

#include "connection/asio.h"

#include <catch2/catch.hpp>

#include <optional>

namespace carobjunction
{

/** Runs an event loop until a task has ended. @return the result of the task */
template<typename Result>
Result awaitTask(asio::io_context &loop, Task<Result> task)
{
    std::optional<Result> result;
    asio::co_spawn(loop, std::move(task), [&](std::exception_ptr, Result value) { result = std::move(value); });
    loop.restart();
    while (!result && loop.run_one() > 0) { }
    REQUIRE(result.has_value());
    return std::move(*result);
}

} // namespace carobjunction
