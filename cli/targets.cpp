#include "command.h"
#include "operatorclient.h"

namespace carobjunction
{

namespace
{

struct TargetsOptions {
    std::string service;
    std::string operatorAddress;
    OutputFormat output = OutputFormat::Text;
};

ExitCode showTargets(const TargetsOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto response
        = client.get("/v1/targets", options.service.empty() ? OperatorClient::Parameters {} : OperatorClient::Parameters { { "service", options.service } });
    if (!response) {
        return client.failureExitCode();
    }
    const Json targets = response->value("targets", Json::array());
    if (options.output == OutputFormat::Json) {
        printJson(*response);
    } else if (!targets.empty()) {
        printTable(targets, { "service", "daemon", "data_centre", "state", "phase", "slots", "in_flight", "queued", "latency_us", "report_age_us" });
    }
    if (targets.empty()) {
        printError("the daemon has no targets" + (options.service.empty() ? "" : " of " + options.service));
        return ExitCode::NegativeResult;
    }
    return ExitCode::Ok;
}

} // namespace

void addTargetsCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<TargetsOptions>();
    CLI::App *command = app.add_subcommand("targets", "Show the targets known to one daemon; JSON output has more fields");
    command->add_option("SERVICE", options->service, "show only this service");
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of a daemon")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = showTargets(*options); });
}

} // namespace carobjunction
