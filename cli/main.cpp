#include "command.h"

#include "process/eventlog.h"
#include "version/valuetext.h"

using namespace carobjunction;

namespace carobjunction
{

void addOutputOption(CLI::App &command, OutputFormat &format)
{
    command
        .add_option_function<std::string>(
            "--output", [&format](const std::string &name) { format = fromName<OutputFormat>(name).value_or(OutputFormat::Text); }, "text (default) or json")
        ->check(CLI::IsMember({ "text", "json" }));
}

CLI::Option *addAddressOption(CLI::App &command, const std::string &name, std::string &address, const std::string &description)
{
    const auto isAddress = [](const std::string &text) {
        return ValueText::isAddress(text) && ValueText::portOf(text) != 0
            ? std::string()
            : "'" + text + "' is not an IP address with a port from 1 to 65535, such as 10.0.0.5:8081";
    };
    return command.add_option(name, address, description)->check(CLI::Validator(isAddress, "IP:PORT"));
}

} // namespace carobjunction

int main(int argc, char **argv)
{
    EventLog::initialise(LogLevel::Error);
    CLI::App app { "Checks, publishes and inspects the configuration of carobjunction.\n"
                   "Exit codes: 0 success; 1 errors found, conflict, not confirmed or not found; 2 usage error; 3 store or daemon unreachable." };
    app.require_subcommand(1);
    ExitCode exitCode = ExitCode::Ok;
    addCheckCommand(app, exitCode);
    addPublishCommand(app, exitCode);
    addInForceCommand(app, exitCode);
    addTargetsCommand(app, exitCode);
    addExplainCommand(app, exitCode);
    addSuspectsCommand(app, exitCode);
    addDrainCommand(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::UsageError);
    }
    return static_cast<int>(exitCode);
}
