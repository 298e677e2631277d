#include "command.h"
#include "textfile.h"

#include <carobjunction/version/serviceconfigparser.h>

#include "process/settingsparser.h"
#include "version/yamlnode.h"

namespace carobjunction
{

namespace
{

struct CheckOptions {
    std::vector<std::string> files;
    OutputFormat output = OutputFormat::Text;
};

/** Returns whether the text is that of a settings file: only these have the top-level key `daemon`. */
bool isSettingsFile(const std::string &text, const std::string &file)
{
    std::vector<ConfigError> errors;
    const auto root = YamlNode::parse(text, file, errors);
    return root && root->find("daemon") != nullptr;
}

Json toJson(const std::vector<ConfigError> &errors)
{
    Json rows = Json::array();
    for (const ConfigError &configError : errors) {
        rows.push_back({ { "line", configError.line }, { "column", configError.column }, { "field", configError.field }, { "reason", configError.reason } });
    }
    return rows;
}

ExitCode checkFiles(const CheckOptions &options)
{
    ExitCode result = ExitCode::Ok;
    Json fileReports = Json::array();
    for (const std::string &file : options.files) {
        const auto text = readTextFile(file);
        if (!text) {
            return ExitCode::UsageError;
        }
        const bool isSettings = isSettingsFile(*text, file);
        const std::vector<ConfigError> errors = isSettings ? SettingsParser::parse(*text, file).errors : ServiceConfigParser::parse(*text, file).errors;
        result = errors.empty() ? result : ExitCode::NegativeResult;
        fileReports.push_back({ { "file", file }, { "kind", isSettings ? "settings" : "service" }, { "faults", toJson(errors) } });
        if (options.output == OutputFormat::Json) {
            continue;
        }
        for (const ConfigError &configError : errors) {
            printLine(configError.toString());
        }
        if (errors.empty()) {
            printLine(file + ": valid " + (isSettings ? "settings" : "service configuration"));
        }
    }
    if (options.output == OutputFormat::Json) {
        printJson({ { "files", fileReports } });
    }
    return result;
}

} // namespace

void addCheckCommand(CLI::App &app, ExitCode &exitCode)
{
    const auto options = std::make_shared<CheckOptions>();
    CLI::App *command = app.add_subcommand("check", "Check service configuration and settings files and print all errors");
    command
        ->add_option(
            "FILE", options->files, "files to check; a file with the top-level key `daemon` is checked as settings, any other as a service configuration")
        ->required()
        ->check(CLI::ExistingFile);
    addOutputOption(*command, options->output);
    command->callback([options, &exitCode] { exitCode = checkFiles(*options); });
}

} // namespace carobjunction
