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
    const auto response = client.post("/v1/target/leave");
    if (!response) {
        return client.failureExitCode();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*response);
    } else {
        printLine("the target is leaving and receives no new requests");
        printObject(*response);
    }
    return ExitCode::Ok;
}

} // namespace

void addDrainCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<DrainOptions>();
    CLI::App *command = app.add_subcommand("drain", "Drain the target of a daemon: it receives no new requests, requests in progress continue");
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the target's daemon, as IP:PORT")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = drain(*options); });
}

} // namespace carobjunction
