#pragma once

#include "output.h"

#include <CLI/CLI.hpp>

#include <string>

namespace carobjunction
{

/** Exit codes of the command-line tool, as documented in docs/operators.md. */
enum class ExitCode {
    Ok = 0,
    NegativeResult = 1, /**< The command completed, but found errors, a conflict or unconfirmed members, or did not find the requested item. */
    UsageError = 2, /**< Invalid arguments or an unreadable file. */
    Unreachable = 3, /**< The store or the daemon returned no usable response. */
};

/**
 * Each of these functions adds one subcommand to the tool.
 * @param app  the parser of the tool's command line
 * @param exitCode  set when the subcommand has run; must outlive @p app
 */
void addCheckCommand(CLI::App &app, ExitCode &exitCode);
void addPublishCommand(CLI::App &app, ExitCode &exitCode);
void addInForceCommand(CLI::App &app, ExitCode &exitCode);
void addTargetsCommand(CLI::App &app, ExitCode &exitCode);
void addExplainCommand(CLI::App &app, ExitCode &exitCode);
void addSuspectsCommand(CLI::App &app, ExitCode &exitCode);
void addDrainCommand(CLI::App &app, ExitCode &exitCode);

/**
 * Adds the option `--output text|json` to a subcommand.
 * @param format  set when the command line is parsed
 */
void addOutputOption(CLI::App &command, OutputFormat &format);

/**
 * Adds an option that takes an IP address and a port other than 0.
 * @param name  the option with its dashes
 * @param address  set to the `ip:port` text when the command line is parsed
 * @param description  text for the help
 * @return the option
 */
CLI::Option *addAddressOption(CLI::App &command, const std::string &name, std::string &address, const std::string &description);

} // namespace carobjunction
