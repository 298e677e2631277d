#include "command.h"
#include "operatorclient.h"
#include "textfile.h"

#include "process/storeclient.h"
#include "version/publisher.h"
#include "version/valuetext.h"

#include <algorithm>
#include <thread>

namespace carobjunction
{

namespace
{

// Longer than the store timeout of a daemon: a short wait costs the operator less than resolving an unknown outcome.
constexpr Duration StoreTimeout = std::chrono::seconds(5);
constexpr Duration ConfirmPollInterval = std::chrono::milliseconds(500);

struct PublishOptions {
    std::string file;
    std::string store;
    std::string publisher;
    std::string publishId;
    std::string operatorAddress;
    std::string timeout = "30s";
    bool wait = false;
    OutputFormat output = OutputFormat::Text;
};

/** Result of one query whether all members have a version in force. */
struct ConfirmationStatus {
    bool isConfirmed = false;
    ExitCode exitCode = ExitCode::NegativeResult;
    Json unconfirmed = Json::array();
};

Json toJson(const PublishResult &result)
{
    Json report { { "outcome", nameOf(result.outcome) }, { "service", result.service }, { "hash", result.hash }, { "publish_id", result.publishId } };
    if (result.inForce) {
        report["in_force"] = { { "version", result.inForce->version },
                               { "hash", result.inForce->hash },
                               { "publisher", result.inForce->publisher },
                               { "publish_id", result.inForce->publishId },
                               { "published_at_ms", result.inForce->publishedAtMs } };
    }
    report["faults"] = Json::array();
    for (const ConfigError &configError : result.errors) {
        report["faults"].push_back(
            { { "line", configError.line }, { "column", configError.column }, { "field", configError.field }, { "reason", configError.reason } });
    }
    report["difference"] = result.difference;
    report["may_have_been_in_force"] = result.mayHaveBeenInForce;
    return report;
}

void printConflict(const PublishResult &result)
{
    if (!result.inForce) {
        printLine("conflict: another change to " + result.service + " was published first; the content of this file is not in force");
        return;
    }
    printLine("conflict: " + result.inForce->publisher + " published version " + std::to_string(result.inForce->version) + " of " + result.service + " at "
              + formatTime(result.inForce->publishedAtMs) + "; that version is in force, the content of this file is not");
    if (result.mayHaveBeenInForce) {
        printLine("the content of this file may have been in force temporarily before that version");
    }
    printLine(result.difference.empty() ? "cannot show the difference: the content in force could not be read" : "difference (- in force, + this file):");
    for (const std::string &line : result.difference) {
        printLine(line);
    }
}

void printResult(const PublishResult &result)
{
    const std::string version = result.inForce ? std::to_string(result.inForce->version) : "";
    switch (result.outcome) {
    case PublishOutcome::Published:
        printLine("published version " + version + " of " + result.service);
        break;
    case PublishOutcome::Unchanged:
        printLine("unchanged: version " + version + " of " + result.service + " by " + result.inForce->publisher + " has the same content");
        break;
    case PublishOutcome::Invalid:
        for (const ConfigError &configError : result.errors) {
            printLine(configError.toString());
        }
        break;
    case PublishOutcome::Conflict:
        printConflict(result);
        break;
    case PublishOutcome::StoreUnavailable:
        printError("cannot reach the store, no configuration was changed: " + LastError<StoreError>::get().detail);
        break;
    case PublishOutcome::Unresolved:
        printError("no response from the store, the change may still come into force; resume with --publish-id " + result.publishId);
        break;
    }
}

ExitCode toExitCode(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Published:
    case PublishOutcome::Unchanged:
        return ExitCode::Ok;
    case PublishOutcome::Invalid:
    case PublishOutcome::Conflict:
        return ExitCode::NegativeResult;
    case PublishOutcome::StoreUnavailable:
    case PublishOutcome::Unresolved:
        break;
    }
    return ExitCode::Unreachable;
}

bool isVersionInForce(const Json &response, const std::string &service, uint64_t version)
{
    const auto configs = response.find("configs");
    if (configs == response.end() || !configs->is_array()) {
        return false;
    }
    return std::any_of(configs->begin(), configs->end(), [&](const Json &config) {
        return config.is_object() && config.value("service", Json()) == Json(service) && config.value("version", Json()).is_number_unsigned()
            && config["version"].get<uint64_t>() >= version;
    });
}

/**
 * Queries a daemon once for the version that it has in force. If this is at least @p version, also queries which
 * members have not confirmed it.
 */
ConfirmationStatus queryConfirmation(OperatorClient &client, const std::string &service, uint64_t version)
{
    ConfirmationStatus confirmation;
    OperatorClient::Parameters parameters { { "service", service } };
    auto response = client.get("/v1/in-force", parameters);
    if (response && isVersionInForce(*response, service, version)) {
        // The daemon compares the members with its own version, so it must have the new version in force first.
        parameters.emplace("members", "1");
        response = client.get("/v1/in-force", parameters);
        const Json unconfirmed = response ? response->value("unconfirmed", Json()) : Json();
        confirmation.isConfirmed = unconfirmed.is_array() && unconfirmed.empty();
        confirmation.unconfirmed = unconfirmed.is_array() ? unconfirmed : Json::array();
    }
    confirmation.exitCode = response ? ExitCode::NegativeResult : client.failureExitCode();
    return confirmation;
}

/** Polls a daemon until it and all members in its view have the version in force, or until the timeout expires. */
ConfirmationStatus waitForConfirmation(const PublishOptions &options, const std::string &service, uint64_t version, Duration timeout)
{
    OperatorClient client(options.operatorAddress);
    const TimePoint waitEnd = SteadyClock().now() + timeout;
    while (true) {
        ConfirmationStatus confirmation = queryConfirmation(client, service, version);
        if (confirmation.isConfirmed || SteadyClock().now() + ConfirmPollInterval >= waitEnd) {
            return confirmation;
        }
        std::this_thread::sleep_for(ConfirmPollInterval);
    }
}

void printConfirmation(const ConfirmationStatus &confirmation, const PublishOptions &options)
{
    if (confirmation.isConfirmed) {
        printLine("confirmed by all members");
        return;
    }
    printError("the configuration was not confirmed by all members within " + options.timeout);
    if (!confirmation.unconfirmed.empty()) {
        printTable(confirmation.unconfirmed);
    }
}

ExitCode publish(const PublishOptions &options)
{
    const auto text = readTextFile(options.file);
    if (!text) {
        return ExitCode::UsageError;
    }
    StoreClientOptions storeOptions;
    storeOptions.address = options.store;
    storeOptions.timeout = StoreTimeout;
    const auto store = StoreClient::create(storeOptions);
    if (!store) {
        printError("invalid store address, expected IP:PORT: " + options.store);
        return ExitCode::UsageError;
    }
    PublishRequest request;
    request.text = *text;
    request.file = options.file;
    request.publisher = options.publisher;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    request.publishedAtMs = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    request.token = PublishId::randomToken();
    request.resumeId = PublishId::fromString(options.publishId);
    // Prints the ID before the first write, so that the operator can resume the publication even if this process is killed.
    request.onPublishId = [](const std::string &id) {
        printError("publish id: " + id);
    };
    const PublishResult result = Publisher(*store).publish(request);

    ExitCode exitCode = toExitCode(result.outcome);
    Json report = toJson(result);
    if (options.output == OutputFormat::Text) {
        printResult(result);
    }
    if (options.wait && exitCode == ExitCode::Ok) {
        const Duration timeout = ValueText::parseDuration(options.timeout).value_or(Duration::zero());
        const ConfirmationStatus confirmation = waitForConfirmation(options, result.service, result.inForce->version, timeout);
        exitCode = confirmation.isConfirmed ? ExitCode::Ok : confirmation.exitCode;
        report["confirmed"] = confirmation.isConfirmed;
        report["unconfirmed"] = confirmation.unconfirmed;
        if (options.output == OutputFormat::Text) {
            printConfirmation(confirmation, options);
        }
    }
    if (options.output == OutputFormat::Json) {
        printJson(report);
    }
    return exitCode;
}

std::string validatePublisher(const std::string &name)
{
    const bool isPrintable = std::all_of(name.begin(), name.end(), [](char character) { return character >= 0x20 && character < 0x7f; });
    return !name.empty() && name.size() <= 64 && isPrintable ? "" : "the publisher name must have 1 to 64 printable ASCII characters";
}

std::string validateTimeout(const std::string &text)
{
    const auto timeout = ValueText::parseDuration(text);
    return timeout && *timeout <= std::chrono::hours(1) ? "" : "'" + text + "' is not a duration of at most 1h, such as 30s";
}

std::string validatePublishId(const std::string &text)
{
    return PublishId::fromString(text) ? "" : "'" + text + "' is not a publish id";
}

} // namespace

void addPublishCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<PublishOptions>();
    CLI::App *command = app.add_subcommand("publish", "Check a service configuration and publish it, so that it comes into force on all members");
    command->add_option("FILE", options->file, "service configuration file")->required()->check(CLI::ExistingFile);
    addAddressOption(*command, "--store", options->store, "address of the store")->required();
    command->add_option("--publisher", options->publisher, "name of the person or system that publishes, recorded with the version")
        ->required()
        ->check(CLI::Validator(validatePublisher, "NAME"));
    command->add_option("--publish-id", options->publishId, "resume an earlier publication of the same file")->check(CLI::Validator(validatePublishId, "ID"));
    CLI::Option *operatorOption = addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the daemon that --wait polls");
    command->add_flag("--wait", options->wait, "wait until all members have confirmed the version")->needs(operatorOption);
    command->add_option("--timeout", options->timeout, "maximum time for --wait, at most 1h (default 30s)")->check(CLI::Validator(validateTimeout, "TIME"));
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = publish(*options); });
}

} // namespace carobjunction
