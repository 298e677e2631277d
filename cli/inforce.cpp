#include "command.h"
#include "operatorclient.h"

#include "process/storeclient.h"
#include "version/publisher.h"

#include <iostream>

namespace carobjunction
{

namespace
{

constexpr Duration StoreTimeout = std::chrono::seconds(5);

struct InForceOptions {
    std::string service;
    std::string store;
    std::string operatorAddress;
    bool content = false;
    bool members = false;
    OutputFormat output = OutputFormat::Text;
};

ExitCode reportStoreFailure()
{
    printError("cannot read configurations from the store: " + LastError<StoreError>::get().detail);
    return ExitCode::Unreachable;
}

ExitCode reportNoConfiguration(const std::string &service)
{
    printError(service.empty() ? "no configuration is in force" : "no configuration of " + service + " is in force");
    return ExitCode::NegativeResult;
}

ExitCode showStoreConfigs(const InForceOptions &options)
{
    StoreClientOptions storeOptions;
    storeOptions.address = options.store;
    storeOptions.timeout = StoreTimeout;
    const auto store = StoreClient::create(storeOptions);
    if (!store) {
        printError("invalid store address, expected IP:PORT: " + options.store);
        return ExitCode::UsageError;
    }
    Publisher publisher(*store);
    const auto configs = publisher.inForce(options.service);
    if (!configs) {
        return reportStoreFailure();
    }
    if (configs->empty()) {
        return reportNoConfiguration(options.service);
    }
    if (options.content) {
        const auto text = publisher.content(configs->front().hash);
        if (!text) {
            return reportStoreFailure();
        }
        // Prints the content byte for byte, so that it can be compared with the published file.
        std::cout << *text;
        return ExitCode::Ok;
    }
    Json rows = Json::array();
    for (const ConfigEntry &config : *configs) {
        rows.push_back({ { "service", config.service },
                         { "version", config.version },
                         { "hash", config.hash },
                         { "publisher", config.publisher },
                         { "publish_id", config.publishId },
                         { "published_at_ms", config.publishedAtMs } });
    }
    if (options.output == OutputFormat::Json) {
        printJson({ { "configs", rows } });
    } else {
        printTable(rows);
    }
    return ExitCode::Ok;
}

ExitCode showDaemonConfigs(const InForceOptions &options)
{
    OperatorClient::Parameters parameters;
    if (!options.service.empty()) {
        parameters.emplace("service", options.service);
    }
    if (options.members) {
        parameters.emplace("members", "1");
    }
    OperatorClient client(options.operatorAddress);
    const auto response = client.get("/v1/in-force", parameters);
    if (!response) {
        return client.failureExitCode();
    }
    const Json configs = response->value("configs", Json::array());
    const Json unconfirmed = response->value("unconfirmed", Json::array());
    if (options.output == OutputFormat::Json) {
        printJson(*response);
    } else if (!configs.empty()) {
        printTable(configs, { "service", "version", "publisher", "published_at_ms", "in_force_since_ms", "hash" });
    }
    if (configs.empty()) {
        return reportNoConfiguration(options.service);
    }
    if (options.members && !unconfirmed.empty()) {
        printError("these members have not confirmed the daemon's versions:");
        if (options.output == OutputFormat::Text) {
            printTable(unconfirmed);
        }
        return ExitCode::NegativeResult;
    }
    return ExitCode::Ok;
}

} // namespace

void addInForceCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<InForceOptions>();
    CLI::App *command = app.add_subcommand("in-force", "Show the configurations in force, as recorded in the store or reported by one daemon");
    CLI::Option *service = command->add_option("SERVICE", options->service, "show only this service");
    CLI::Option_group *source = command->add_option_group("source", "source of the configurations");
    CLI::Option *store = addAddressOption(*source, "--store", options->store, "address of the store");
    CLI::Option *daemon = addAddressOption(*source, "--operator", options->operatorAddress, "operator port of a daemon");
    source->require_option(1);
    command->add_flag("--content", options->content, "print the published configuration file unchanged")->needs(service)->needs(store);
    command->add_flag("--members", options->members, "also query all other members for their versions and list those that have not confirmed")->needs(daemon);
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = options->store.empty() ? showDaemonConfigs(*options) : showStoreConfigs(*options); });
}

} // namespace carobjunction
