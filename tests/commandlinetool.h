#pragma once

#include <catch2/catch.hpp>

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <string>

namespace carobjunction
{

struct CommandResult {
    int exitCode = -1;
    std::string output; /**< Combined standard output and standard error. */
};

/**
 * Runs the command-line tool of the build tree through the shell.
 * @param arguments  command line after the program name, quoted for the shell
 * @return exit code, or -1 if a signal ended the tool, and output
 */
inline CommandResult runCommandLineTool(const std::string &arguments)
{
    CommandResult result;
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
