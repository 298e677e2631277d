#pragma once

#include <catch2/catch.hpp>

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <string>

namespace carobjunction
{

struct RunResult {
    int exitCode = -1;
    std::string output; /**< Standard output and standard error. */
};

/** Runs the built tool. @param arguments  words for the shell */
inline RunResult run(const std::string &arguments)
{
    RunResult result;
    FILE *pipe = popen((std::string(CAROBJUNCTION_BINARY_DIR) + "/cli/carobjunction " + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buffer {};
    while (const size_t count = std::fread(buffer.data(), 1, buffer.size(), pipe)) {
        result.output.append(buffer.data(), count);
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace carobjunction
