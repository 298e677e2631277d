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

// Longer than a daemon waits, because an operator would rather wait than resolve a lost answer.
constexpr Duration StoreTimeout = std::chrono::seconds(5);
constexpr Duration ConfirmInterval = std::chrono::milliseconds(500);

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

/** Members that have not confirmed a version. */
struct Confirmation {
    bool confirmed = false;
    ExitCode exitCode = ExitCode::Negative;
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
    for (const ConfigFault &fault : result.faults) {
        report["faults"].push_back({ { "line", fault.line }, { "column", fault.column }, { "field", fault.field }, { "reason", fault.reason } });
    }
    report["difference"] = result.difference;
    report["may_have_been_in_force"] = result.mayHaveBeenInForce;
    return report;
}

void printConflict(const PublishResult &result)
{
    if (!result.inForce) {
        printLine("conflict: another change of " + result.service + " was published first; nothing of this file is in force");
        return;
    }
    printLine("conflict: " + result.inForce->publisher + " published version " + std::to_string(result.inForce->version) + " of " + result.service + " at "
              + formatTime(result.inForce->publishedAtMs) + "; it is in force, this file is not");
    if (result.mayHaveBeenInForce) {
        printLine("this file may have been in force for a while before");
    }
    printLine(result.difference.empty() ? "the content in force cannot be shown" : "difference (- in force, + this file):");
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
        for (const ConfigFault &fault : result.faults) {
            printLine(fault.toString());
        }
        break;
    case PublishOutcome::Conflict:
        printConflict(result);
        break;
    case PublishOutcome::StoreUnavailable:
        printError("the store is unreachable, and nothing has changed: " + LastReason<StoreError>::get().detail);
        break;
    case PublishOutcome::Unresolved:
        printError("the store did not answer, and the change may still come into force; resume with --publish-id " + result.publishId);
        break;
    }
}

ExitCode exitCodeOf(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Published:
    case PublishOutcome::Unchanged:
        return ExitCode::Ok;
    case PublishOutcome::Invalid:
    case PublishOutcome::Conflict:
        return ExitCode::Negative;
    case PublishOutcome::StoreUnavailable:
    case PublishOutcome::Unresolved:
        break;
    }
    return ExitCode::Unreachable;
}

bool hasVersion(const Json &answer, const std::string &service, uint64_t version)
{
    const auto configs = answer.find("configs");
    if (configs == answer.end() || !configs->is_array()) {
        return false;
    }
    return std::any_of(configs->begin(), configs->end(), [&](const Json &config) {
        return config.is_object() && config.value("service", Json()) == Json(service) && config.value("version", Json()).is_number_unsigned()
            && config["version"].get<uint64_t>() >= version;
    });
}

/** Asks a daemon once for its own version, and, if that is high enough, for the members that have a lower one. */
Confirmation askOnce(OperatorClient &client, const std::string &service, uint64_t version)
{
    Confirmation confirmation;
    OperatorClient::Parameters parameters { { "service", service } };
    auto answer = client.get("/v1/in-force", parameters);
    if (answer && hasVersion(*answer, service, version)) {
        // Members are compared with the daemon's own version, so it must have the new one first.
        parameters.emplace("members", "1");
        answer = client.get("/v1/in-force", parameters);
        const Json unconfirmed = answer ? answer->value("unconfirmed", Json()) : Json();
        confirmation.confirmed = unconfirmed.is_array() && unconfirmed.empty();
        confirmation.unconfirmed = unconfirmed.is_array() ? unconfirmed : Json::array();
    }
    confirmation.exitCode = answer ? ExitCode::Negative : client.failure();
    return confirmation;
}

/** Asks a daemon until it and all members that it knows have the version in force, or the time is over. */
Confirmation confirm(const PublishOptions &options, const std::string &service, uint64_t version, Duration timeout)
{
    OperatorClient client(options.operatorAddress);
    const TimePoint end = SteadyClock().now() + timeout;
    while (true) {
        Confirmation confirmation = askOnce(client, service, version);
        if (confirmation.confirmed || SteadyClock().now() + ConfirmInterval >= end) {
            return confirmation;
        }
        std::this_thread::sleep_for(ConfirmInterval);
    }
}

void printConfirmation(const Confirmation &confirmation, const PublishOptions &options)
{
    if (confirmation.confirmed) {
        printLine("confirmed by all members");
        return;
    }
    printError("not confirmed by all members within " + options.timeout);
    if (!confirmation.unconfirmed.empty()) {
        printTable(confirmation.unconfirmed);
    }
}

ExitCode publish(const PublishOptions &options)
{
    const auto text = readTextFile(options.file);
    if (!text) {
        return ExitCode::Usage;
    }
    StoreClientOptions storeOptions;
    storeOptions.address = options.store;
    storeOptions.timeout = StoreTimeout;
    const auto store = StoreClient::create(storeOptions);
    if (!store) {
        printError("not an address: " + options.store);
        return ExitCode::Usage;
    }
    PublishRequest request;
    request.text = *text;
    request.file = options.file;
    request.publisher = options.publisher;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    request.publishedAtMs = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    request.token = PublishId::randomToken();
    request.resumeId = PublishId::fromString(options.publishId);
    // Printed before the first write, so that the operator has it even if this process is killed.
    request.onPublishId = [](const std::string &id) {
        printError("publish id: " + id);
    };
    const PublishResult result = Publisher(*store).publish(request);

    ExitCode exitCode = exitCodeOf(result.outcome);
    Json report = toJson(result);
    if (options.output == OutputFormat::Text) {
        printResult(result);
    }
    if (options.wait && exitCode == ExitCode::Ok) {
        const Duration timeout = ValueText::parseDuration(options.timeout).value_or(Duration::zero());
        const Confirmation confirmation = confirm(options, result.service, result.inForce->version, timeout);
        exitCode = confirmation.confirmed ? ExitCode::Ok : confirmation.exitCode;
        report["confirmed"] = confirmation.confirmed;
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

std::string checkPublisher(const std::string &name)
{
    const bool isPrintable = std::all_of(name.begin(), name.end(), [](char character) { return character >= 0x20 && character < 0x7f; });
    return !name.empty() && name.size() <= 64 && isPrintable ? "" : "the name must have 1 to 64 printable ASCII characters";
}

std::string checkTimeout(const std::string &text)
{
    const auto timeout = ValueText::parseDuration(text);
    return timeout && *timeout <= std::chrono::hours(1) ? "" : "'" + text + "' is not a time of at most 1h, such as 30s";
}

std::string checkPublishId(const std::string &text)
{
    return PublishId::fromString(text) ? "" : "'" + text + "' is not a publish id";
}

} // namespace

void addPublishCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<PublishOptions>();
    CLI::App *command = app.add_subcommand("publish", "Check a service configuration and put it in force");
    command->add_option("FILE", options->file, "service configuration")->required()->check(CLI::ExistingFile);
    addAddressOption(*command, "--store", options->store, "address of the store")->required();
    command->add_option("--publisher", options->publisher, "your name, shown to others")->required()->check(CLI::Validator(checkPublisher, "NAME"));
    command->add_option("--publish-id", options->publishId, "resume an earlier attempt with the same file")->check(CLI::Validator(checkPublishId, "ID"));
    CLI::Option *operatorOption = addAddressOption(*command, "--operator", options->operatorAddress, "operator port of a daemon, for --wait");
    command->add_flag("--wait", options->wait, "wait until all members have the version in force")->needs(operatorOption);
    command->add_option("--timeout", options->timeout, "longest wait for --wait (default 30s)")->check(CLI::Validator(checkTimeout, "TIME"));
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = publish(*options); });
}

} // namespace carobjunction
