#pragma once

#include "output.h"

#include <CLI/CLI.hpp>

#include <string>

namespace carobjunction
{

/** Exit codes of the tool, documented in docs/operators.md. */
enum class ExitCode {
    Ok = 0,
    Negative = 1, /**< The answer is no: faults found, conflict, not confirmed, not found. */
    Usage = 2,
    Unreachable = 3, /**< The store or the daemon gave no usable answer. */
};

/**
 * Each function adds one command. Its callback sets @p exitCode.
 */
void addCheckCommand(CLI::App &app, ExitCode &exitCode);
void addPublishCommand(CLI::App &app, ExitCode &exitCode);
void addInForceCommand(CLI::App &app, ExitCode &exitCode);
void addTargetsCommand(CLI::App &app, ExitCode &exitCode);
void addExplainCommand(CLI::App &app, ExitCode &exitCode);
void addSuspectsCommand(CLI::App &app, ExitCode &exitCode);
void addDrainCommand(CLI::App &app, ExitCode &exitCode);

/** Adds `--output text|json`. */
void addOutputOption(CLI::App &command, OutputFormat &format);

/** Adds an option with an `ip:port` address. @return the option */
CLI::Option *addAddressOption(CLI::App &command, const std::string &name, std::string &address, const std::string &description);

} // namespace carobjunction
