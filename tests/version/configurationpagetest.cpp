#include <carobjunction/request/reason.h>
#include <carobjunction/version/serviceconfigparser.h>

#include "process/settingsparser.h"
#include "process/vmsettings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>

using namespace carobjunction;

namespace
{

/** A row as on the page, without the meaning. */
std::string toRow(const KeyDescription &key)
{
    return "| `" + key.path + "` | " + key.type + " | " + key.unit + " | " + key.defaultValue + " | " + key.range + " |";
}

/** Rows of the tables in the section @p title of docs/configuration.md. Fails if a row has no meaning. */
std::vector<std::string> rowsOnPage(const std::string &title)
{
    std::ifstream file(std::string(CAROBJUNCTION_SOURCE_DIR) + "/docs/configuration.md");
    REQUIRE(file.good());
    const std::regex row(R"((\| `[^|]+` \|[^|]*\|[^|]*\|[^|]*\|[^|]*\|) [^|]+ \|)");
    std::vector<std::string> rows;
    bool isInSection = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("## ")) {
            isInSection = line == "## " + title;
        }
        std::smatch match;
        if (isInSection && line.starts_with("| `")) {
            INFO(line);
            REQUIRE(std::regex_match(line, match, row));
            rows.push_back(match[1]);
        }
    }
    return rows;
}

std::vector<std::string> rowsOf(const std::vector<KeyDescription> &keys)
{
    std::vector<std::string> rows;
    for (const KeyDescription &key : keys) {
        rows.push_back(toRow(key));
    }
    return rows;
}

} // namespace

TEST_CASE("ConfigurationPage.comparedWithParsers.listsTheSameKeys")
{
    // Guards against a key, default or range that is documented wrongly or not at all.
    CHECK(rowsOnPage("Service configuration") == rowsOf(ServiceConfigParser::keys()));
    CHECK(rowsOnPage("Settings") == rowsOf(SettingsParser::keys()));
    CHECK(rowsOnPage("VM settings") == rowsOf(VmSettingsParser::keys()));
}

TEST_CASE("OperatorsPage.reasons.areAllExplained")
{
    // Guards against a reason that an operator finds in an answer and not on the page.
    std::ifstream file(std::string(CAROBJUNCTION_SOURCE_DIR) + "/docs/operators.md");
    REQUIRE(file.good());
    std::vector<std::string> documented;
    const std::regex row(R"(\| `([a-z-]+)` \| [^|]+ \| [^|]+ \| [^|]+ \|)");
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row)) {
            documented.push_back(match[1]);
        }
    }
    std::vector<std::string> inCode;
    for (const auto &[reason, name] : EnumNames<Reason>::Table) {
        inCode.emplace_back(name);
    }
    CHECK(documented == inCode);
}
