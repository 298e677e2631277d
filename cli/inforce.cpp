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
    printError("the store is unreachable: " + LastReason<StoreError>::get().detail);
    return ExitCode::Unreachable;
}

ExitCode reportNone(const std::string &service)
{
    printError(service.empty() ? "no configuration is in force" : "no configuration of " + service + " is in force");
    return ExitCode::Negative;
}

ExitCode showFromStore(const InForceOptions &options)
{
    StoreClientOptions storeOptions;
    storeOptions.address = options.store;
    storeOptions.timeout = StoreTimeout;
    const auto store = StoreClient::create(storeOptions);
    if (!store) {
        printError("not an address: " + options.store);
        return ExitCode::Usage;
    }
    Publisher publisher(*store);
    const auto configs = publisher.inForce(options.service);
    if (!configs) {
        return reportStoreFailure();
    }
    if (configs->empty()) {
        return reportNone(options.service);
    }
    if (options.content) {
        const auto text = publisher.content(configs->front().hash);
        if (!text) {
            return reportStoreFailure();
        }
        // The content is printed as published, so that it can be compared with the file.
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

ExitCode showFromDaemon(const InForceOptions &options)
{
    OperatorClient::Parameters parameters;
    if (!options.service.empty()) {
        parameters.emplace("service", options.service);
    }
    if (options.members) {
        parameters.emplace("members", "1");
    }
    OperatorClient client(options.operatorAddress);
    const auto answer = client.get("/v1/in-force", parameters);
    if (!answer) {
        return client.failure();
    }
    const Json configs = answer->value("configs", Json::array());
    const Json unconfirmed = answer->value("unconfirmed", Json::array());
    if (options.output == OutputFormat::Json) {
        printJson(*answer);
    } else if (!configs.empty()) {
        printTable(configs, { "service", "version", "publisher", "published_at_ms", "in_force_since_ms", "hash" });
    }
    if (configs.empty()) {
        return reportNone(options.service);
    }
    if (options.members && !unconfirmed.empty()) {
        printError("not in force at these members:");
        if (options.output == OutputFormat::Text) {
            printTable(unconfirmed);
        }
        return ExitCode::Negative;
    }
    return ExitCode::Ok;
}

} // namespace

void addInForceCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<InForceOptions>();
    CLI::App *command = app.add_subcommand("in-force", "Show the configurations in force, as the store or one daemon knows them");
    CLI::Option *service = command->add_option("SERVICE", options->service, "only this service");
    CLI::Option_group *source = command->add_option_group("source", "where to read");
    CLI::Option *store = addAddressOption(*source, "--store", options->store, "address of the store");
    CLI::Option *daemon = addAddressOption(*source, "--operator", options->operatorAddress, "operator port of a daemon");
    source->require_option(1);
    command->add_flag("--content", options->content, "print the file as published")->needs(service)->needs(store);
    command->add_flag("--members", options->members, "also ask all other members for their versions")->needs(daemon);
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = options->store.empty() ? showFromDaemon(*options) : showFromStore(*options); });
}

} // namespace carobjunction
