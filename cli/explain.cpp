#include "command.h"
#include "logstory.h"
#include "operatorclient.h"

namespace carobjunction
{

namespace
{

struct ExplainOptions {
    std::string requestId;
    std::string operatorAddress;
    std::vector<std::string> logs;
    OutputFormat output = OutputFormat::Text;
};

ExitCode explainFromDaemon(const ExplainOptions &options)
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

/** @return time of the request's first step, which counts as zero */
std::chrono::milliseconds startOf(const RequestStory &story)
{
    for (const StoryStep &step : story.steps) {
        if (!step.isContext) {
            return step.line.time;
        }
    }
    return {};
}

Json toJson(const RequestStory &story, const std::string &requestId)
{
    Json steps = Json::array();
    const auto start = startOf(story);
    for (const StoryStep &step : story.steps) {
        Json fields = Json::object();
        for (const auto &[name, value] : step.line.fields) {
            fields[name] = value;
        }
        steps.push_back({ { "ms", (step.line.time - start).count() },
                          { "daemon", step.daemon },
                          { "event", step.line.event },
                          { "name", step.line.name },
                          { "context", step.isContext },
                          { "fields", std::move(fields) } });
    }
    Json clocks = Json::object();
    for (const auto &[daemon, ahead] : story.setBack) {
        clocks[daemon] = ahead.count();
    }
    return { { "request", requestId }, { "clocksAheadMs", std::move(clocks) }, { "steps", std::move(steps) } };
}

std::string toText(const StoryStep &step, std::chrono::milliseconds start)
{
    std::string text = std::to_string((step.line.time - start).count()) + " ms  " + step.daemon + (step.isContext ? "  (beside it) " : "  ") + step.line.name;
    for (const auto &[name, value] : step.line.fields) {
        if (name != "request") {
            text += ' ' + name + '=' + (value.empty() ? "\"\"" : value);
        }
    }
    return text;
}

ExitCode explainFromLogs(const ExplainOptions &options)
{
    std::vector<DaemonLog> logs;
    for (const std::string &path : options.logs) {
        auto log = readDaemonLog(path);
        if (!log) {
            return ExitCode::Usage;
        }
        logs.push_back(std::move(*log));
    }
    const RequestStory story = tellStory(logs, options.requestId);
    if (story.steps.empty()) {
        printError("no log has a line of request " + options.requestId);
        return ExitCode::Negative;
    }
    if (options.output == OutputFormat::Json) {
        printJson(toJson(story, options.requestId));
        return ExitCode::Ok;
    }
    for (const auto &[daemon, ahead] : story.setBack) {
        printLine("clock of " + daemon + " is ahead by " + std::to_string(ahead.count()) + " ms at least; its lines are set back");
    }
    for (const StoryStep &step : story.steps) {
        printLine(toText(step, startOf(story)));
    }
    return ExitCode::Ok;
}

} // namespace

void addExplainCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<ExplainOptions>();
    CLI::App *command = app.add_subcommand("explain", "Show how a request was decided, from a daemon's memory or from the logs of several");
    command->add_option("REQUEST-ID", options->requestId, "value of the header Carob-Request-Id of the response, or the id that the platform gave")->required();
    CLI::Option *address
        = addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the daemon that the caller sent the request to");
    CLI::Option *logs = command->add_option("--logs", options->logs, "log files, one a daemon");
    address->excludes(logs);
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] {
        if (options->operatorAddress.empty() && options->logs.empty()) {
            printError("explain needs --operator or --logs");
            exitCode = ExitCode::Usage;
            return;
        }
        exitCode = options->logs.empty() ? explainFromDaemon(*options) : explainFromLogs(*options);
    });
}

} // namespace carobjunction
