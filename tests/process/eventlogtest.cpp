#include "process/eventlog.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <sstream>

using namespace carobjunction;

TEST_CASE("EventLog.valueWithControlCharacters.isEscapedOnOneLine")
{
    // Guards against forged log lines: a caller chooses paths and header values.
    const std::string line = EventLog::format(Event::RequestRejected, { { "path", "/a\nevent=1001" }, { "service", "ordering" } });
    CHECK(line == "event=2006 name=request-rejected path=\"/a\\x0aevent=1001\" service=ordering");
}

TEST_CASE("EventCatalogue.comparedWithCode.listsTheSameEvents")
{
    // Guards against an event without a catalogue entry, and an entry without an event.
    std::ifstream file(std::string(CAROBJUNCTION_SOURCE_DIR) + "/docs/events.md");
    REQUIRE(file.good());
    std::map<int, std::string> documented;
    const std::regex row(R"(^\| (\d+) \| `([a-z-]+)` \|.*)");
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row)) {
            CHECK(documented.emplace(std::stoi(match[1]), match[2]).second);
        }
    }
    std::map<int, std::string> inCode;
    for (const auto &[event, name] : EnumNames<Event>::Table) {
        CHECK(inCode.emplace(static_cast<int>(event), std::string(name)).second);
    }
    CHECK(documented == inCode);
}
