#include "command.h"
#include "operatorclient.h"

namespace carobjunction
{

namespace
{

struct DrainOptions {
    std::string operatorAddress;
    OutputFormat output = OutputFormat::Text;
};

ExitCode drain(const DrainOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto answer = client.post("/v1/target/leave");
    if (!answer) {
        return client.failure();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*answer);
    } else {
        printLine("the target is leaving and gets no new work");
        printMembers(*answer);
    }
    return ExitCode::Ok;
}

} // namespace

void addDrainCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<DrainOptions>();
    CLI::App *command = app.add_subcommand("drain", "Take the target beside a daemon out of service; requests in progress go on");
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the daemon beside the target")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = drain(*options); });
}

} // namespace carobjunction
