#include "process/eventlog.h"
#include "process/standardoutputappender.h"

#include <catch2/catch.hpp>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <fstream>
#include <regex>
#include <sstream>
#include <unistd.h>

using namespace carobjunction;

TEST_CASE("EventLog.valueWithControlCharacters.isEscapedOnOneLine")
{
    // Guards against forged log lines: callers control the paths and header values that are logged.
    const std::string line = EventLog::format(Event::RequestRejected, { { "path", "/a\nevent=1001" }, { "service", "ordering" } });
    CHECK(line == "event=2006 name=request-rejected path=\"/a\\x0aevent=1001\" service=ordering");
}

TEST_CASE("EventCatalogue.comparedWithCode.listsTheSameEvents")
{
    // Guards against an event without an entry in the catalogue, and an entry without an event.
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

TEST_CASE("StandardOutputAppender.readerThatHasStopped.dropsAndCountsWithoutBlocking")
{
    // Guards against requests that block because the process that reads the log from the pipe has stopped reading.
    std::array<int, 2> pipe {};
    REQUIRE(::pipe(pipe.data()) == 0);
    log4cplus::SharedAppenderPtr appender(new StandardOutputAppender(pipe[1]));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger logger = log4cplus::Logger::getInstance("flood");
    logger.setAdditivity(false);
    logger.addAppender(appender);
    const auto start = std::chrono::steady_clock::now();
    constexpr int Lines = 20'000;
    for (int i = 0; i < Lines; ++i) {
        LOG4CPLUS_ERROR(logger, "log line beyond the pipe's capacity");
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
    const uint64_t dropped = static_cast<StandardOutputAppender &>(*appender).droppedLines();
    CHECK(dropped > 0);
    CHECK(dropped < Lines);
    std::string read(1U << 20U, '\0');
    REQUIRE(::read(pipe[0], read.data(), read.size()) > 0);
    LOG4CPLUS_ERROR(logger, "space available");
    std::string rest(4096, '\0');
    rest.resize(static_cast<size_t>(::read(pipe[0], rest.data(), rest.size())));
    CHECK(rest.find("name=lines-dropped lines=" + std::to_string(dropped)) != std::string::npos);
    CHECK(rest.find("space available") != std::string::npos);
    logger.removeAllAppenders();
    ::close(pipe[0]);
    ::close(pipe[1]);
}
