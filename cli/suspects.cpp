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
    const auto answer = client.remove("/v1/suspects/" + options.fingerprint);
    if (!answer) {
        return client.failure();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*answer);
    } else {
        printLine("cleared " + options.fingerprint);
    }
    return ExitCode::Ok;
}

ExitCode showSuspects(const SuspectsOptions &options)
{
    OperatorClient client(options.operatorAddress);
    const auto answer = client.get("/v1/suspects");
    if (!answer) {
        return client.failure();
    }
    const Json suspects = answer->value("suspects", Json::array());
    if (options.output == OutputFormat::Json) {
        printJson(*answer);
    } else if (suspects.empty()) {
        printLine("no suspects");
    } else {
        printTable(suspects);
    }
    return ExitCode::Ok;
}

std::string checkFingerprint(const std::string &text)
{
    const bool isHex = std::all_of(
        text.begin(), text.end(), [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); });
    return !text.empty() && text.size() <= 64 && isHex ? "" : "'" + text + "' is not a fingerprint in lower-case hexadecimal";
}

} // namespace

void addSuspectsCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<SuspectsOptions>();
    CLI::App *command = app.add_subcommand("suspects", "Show the requests that are suspected or condemned, or clear one");
    command->add_option("--clear", options->fingerprint, "fingerprint to clear everywhere")->check(CLI::Validator(checkFingerprint, "FINGERPRINT"));
    addAddressOption(*command, "--operator", options->operatorAddress, "operator port of a daemon")->required();
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = options->fingerprint.empty() ? showSuspects(*options) : clearSuspect(*options); });
}

} // namespace carobjunction
