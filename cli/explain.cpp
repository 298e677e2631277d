#include "command.h"
#include "operatorclient.h"
#include "requesttrace.h"

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
        return client.failureExitCode();
    }
    if (options.output == OutputFormat::Json) {
        printJson(*record);
    } else {
        printObject(*record);
    }
    return ExitCode::Ok;
}

/** Returns the time of the first step that is not context. Times in the output are relative to it. */
std::chrono::milliseconds firstOwnStepTime(const RequestTrace &trace)
{
    for (const TraceStep &step : trace.steps) {
        if (!step.isContext) {
            return step.line.time;
        }
    }
    return {};
}

Json toJson(const RequestTrace &trace, const std::string &requestId)
{
    Json steps = Json::array();
    const auto start = firstOwnStepTime(trace);
    for (const TraceStep &step : trace.steps) {
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
    Json clocksAhead = Json::object();
    for (const auto &[daemon, offset] : trace.clockOffsets) {
        clocksAhead[daemon] = offset.count();
    }
    return { { "request", requestId }, { "clocksAheadMs", std::move(clocksAhead) }, { "steps", std::move(steps) } };
}

std::string formatStep(const TraceStep &step, std::chrono::milliseconds start)
{
    std::string text = std::to_string((step.line.time - start).count()) + " ms  " + step.daemon + (step.isContext ? "  (context) " : "  ") + step.line.name;
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
            return ExitCode::UsageError;
        }
        logs.push_back(std::move(*log));
    }
    const RequestTrace trace = buildRequestTrace(logs, options.requestId);
    if (trace.steps.empty()) {
        printError("no log has a line of request " + options.requestId);
        return ExitCode::NegativeResult;
    }
    if (options.output == OutputFormat::Json) {
        printJson(toJson(trace, options.requestId));
        return ExitCode::Ok;
    }
    for (const auto &[daemon, offset] : trace.clockOffsets) {
        printLine("clock of " + daemon + " is ahead by " + std::to_string(offset.count()) + " ms or more; its log lines are shifted back by this offset");
    }
    for (const TraceStep &step : trace.steps) {
        printLine(formatStep(step, firstOwnStepTime(trace)));
    }
    return ExitCode::Ok;
}

} // namespace

void addExplainCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<ExplainOptions>();
    CLI::App *command = app.add_subcommand(
        "explain", "Show the routing decisions and attempts of a request, from one daemon's decision record or from the logs of several daemons");
    command->add_option("REQUEST-ID", options->requestId, "value of the response header Carob-Request-Id, or the request ID assigned by the platform")
        ->required();
    CLI::Option *address
        = addAddressOption(*command, "--operator", options->operatorAddress, "operator port of the daemon that received the request from the caller");
    CLI::Option *logs = command->add_option("--logs", options->logs, "daemon log files, one per daemon");
    address->excludes(logs);
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] {
        if (options->operatorAddress.empty() && options->logs.empty()) {
            printError("explain requires either --operator or --logs");
            exitCode = ExitCode::UsageError;
            return;
        }
        exitCode = options->logs.empty() ? explainFromDaemon(*options) : explainFromLogs(*options);
    });
}

} // namespace carobjunction
