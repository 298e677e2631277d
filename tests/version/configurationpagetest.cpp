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

/** @return the table row of the key as on the page, without the column of its meaning */
std::string toRow(const KeyDescription &key)
{
    return "| `" + key.path + "` | " + key.type + " | " + key.unit + " | " + key.defaultValue + " | " + key.range + " |";
}

/**
 * Reads the table rows in the section @p title of docs/configuration.md, without the column of the meaning.
 * Fails the test if a row has no meaning.
 */
std::vector<std::string> documentedRows(const std::string &title)
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

std::vector<std::string> toRows(const std::vector<KeyDescription> &keys)
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
    // Guards against keys, defaults and ranges that are undocumented or documented wrongly.
    CHECK(documentedRows("Service configuration") == toRows(ServiceConfigParser::keys()));
    CHECK(documentedRows("Settings") == toRows(SettingsParser::keys()));
    CHECK(documentedRows("VM settings") == toRows(VmSettingsParser::keys()));
}

TEST_CASE("OperatorsPage.reasons.areAllExplained")
{
    // Guards against a reason in responses that the operators page does not explain.
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
    std::vector<std::string> definedReasons;
    for (const auto &[reason, name] : EnumNames<Reason>::Table) {
        definedReasons.emplace_back(name);
    }
    CHECK(documented == definedReasons);
}
