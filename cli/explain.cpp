#include "command.h"
#include "operatorclient.h"

namespace carobjunction
{

namespace
{

struct ExplainOptions {
    std::string requestId;
    std::string operatorAddress;
    OutputFormat output = OutputFormat::Text;
};

ExitCode explain(const ExplainOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto record = client.get("/v1/explain", { { "request", options.requestId } });
    if (!record) {
        return client.failure();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*record);
    } else {
        printMembers(*record);
    }
    return ExitCode::Ok;
}

} // namespace

void addExplainCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<ExplainOptions>();
    CLI::App *command = app.add_subcommand("explain", "Show how a daemon decided on a request that it received recently");
    command->add_option("REQUEST-ID", options->requestId, "value of the header Carob-Request-Id of the response")->required();
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the daemon that the caller sent the request to")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = explain(*options); });
}

} // namespace carobjunction
