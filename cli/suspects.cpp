#include "command.h"
#include "operatorclient.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

struct SuspectsOptions {
    std::string fingerprint;
    std::string operatorAddress;
    OutputFormat output = OutputFormat::Text;
};

ExitCode clearSuspect(const SuspectsOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto response = client.remove("/v1/suspects/" + options.fingerprint);
    if (!response) {
        return client.failureExitCode();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*response);
    } else {
        printLine("cleared " + options.fingerprint);
    }
    return ExitCode::Ok;
}

ExitCode showSuspects(const SuspectsOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto response = client.get("/v1/suspects");
    if (!response) {
        return client.failureExitCode();
    }
    const Json suspects = response->value("suspects", Json::array());
    if (options.output == OutputFormat::Json) {
        printJson(*response);
    } else if (suspects.empty()) {
        printLine("no suspects");
    } else {
        printTable(suspects);
    }
    return ExitCode::Ok;
}

std::string validateFingerprint(const std::string &text)
{
    const bool isHex = std::all_of(
        text.begin(), text.end(), [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); });
    return !text.empty() && text.size() <= 64 && isHex ? "" : "'" + text + "' is not a fingerprint of 1 to 64 lower-case hexadecimal digits";
}

} // namespace

void addSuspectsCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<SuspectsOptions>();
    CLI::App *command = app.add_subcommand("suspects", "Show suspected and condemned requests, or clear one of them");
    command->add_option("--clear", options->fingerprint, "fingerprint of the request to clear on all daemons")
        ->check(CLI::Validator(validateFingerprint, "FINGERPRINT"));
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of a daemon")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = options->fingerprint.empty() ? showSuspects(*options) : clearSuspect(*options); });
}

} // namespace carobjunction
