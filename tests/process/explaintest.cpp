#include "commandlinetool.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace carobjunction;
using Json = nlohmann::json;

struct ExplainFixture {
    ExplainFixture() : directory(std::string(CAROBJUNCTION_BINARY_DIR) + "/explain-test-" + std::to_string(::getpid()))
    {
        std::filesystem::create_directories(directory);
    }

    ~ExplainFixture()
    {
        std::filesystem::remove_all(directory);
    }

    void writeLog(const std::string &name, const std::string &lines)
    {
        std::ofstream(directory + "/" + name) << lines;
        logArguments += " " + directory + "/" + name;
    }

    /** Runs `explain ID --logs FILES` and stores its output in #output. @return exit code of the command */
    int explain(const std::string &id, const std::string &options = "")
    {
        CommandResult result = runCommandLineTool("explain " + id + " --logs" + logArguments + options);
        output = std::move(result.output);
        return result.exitCode;
    }

    std::string directory;
    std::string logArguments;
    std::string output;
};

namespace
{

constexpr const char *EntryLog = "2026-12-04T10:00:00.100Z INFO  event=1001 name=daemon-started daemon=entry\n"
                                 "2026-12-04T10:00:01.050Z INFO  event=2004 name=retry-decided request=r1 daemon=owner backend=i-1 outcome=unknown "
                                 "reason=answer-lost detail=\"End \\\"of\\\" file\\x09\"\n"
                                 "2026-12-04T10:00:01.051Z INFO  event=2003 name=call-answered request=r1 status=502 reason=answer-lost ms=60\n"
                                 "2026-12-04T10:00:01.052Z INFO  event=2003 name=call-answered request=r2 status=200 reason=none ms=9\n";

std::vector<std::string> stepNames(const Json &explanation)
{
    std::vector<std::string> names;
    for (const Json &step : explanation["steps"]) {
        names.push_back(step["name"]);
    }
    return names;
}

} // namespace

TEST_CASE_METHOD(ExplainFixture, "Explain.logsOfTwoDaemons.areJoinedByTime")
{
    // Guards against an explanation without the cause, which may be logged by a daemon other than the entry daemon, which responded to the caller.
    writeLog("a.log", EntryLog);
    writeLog("b.log",
             "2026-12-04T10:00:00.200Z INFO  event=1001 name=daemon-started daemon=owner\n"
             "not an event\n"
             "2026-12-04T10:00:01.049Z WARN  event=3009 name=suspect-recorded fingerprint=7 backend=i-1\n"
             "2026-12-04T10:00:01.048Z INFO  event=3007 name=target-down backend=i-1 state=gone\n");
    REQUIRE(explain("r1", " --output json") == 0);
    const Json explanation = Json::parse(output);
    CHECK(stepNames(explanation) == std::vector<std::string> { "daemon-started", "target-down", "suspect-recorded", "retry-decided", "call-answered" });
    CHECK(explanation["steps"][1]["ms"] == -2);
    CHECK(explanation["steps"][1]["daemon"] == "owner");
    CHECK(explanation["steps"][1]["context"] == true);
    CHECK(explanation["steps"][3]["fields"]["detail"] == "End \"of\" file\t");
}

TEST_CASE_METHOD(ExplainFixture, "Explain.requestWithoutATarget.showsTheStateOfEachTargetOnce")
{
    // Guards against a log line that is listed twice because its target was used by an attempt of the request and is also one of the
    // targets that were unavailable when the request was refused.
    writeLog("a.log",
             "2026-12-04T10:00:01.050Z INFO  event=2004 name=retry-decided request=r1 daemon=b backend=i-1 outcome=not-run reason=leaving\n"
             "2026-12-04T10:00:01.060Z INFO  event=2003 name=call-answered request=r1 service=ordering status=503 reason=no-target\n");
    writeLog("b.log",
             "2026-12-04T09:00:00.000Z INFO  event=3007 name=target-down backend=i-0 service=ordering state=gone\n"
             "2026-12-04T10:00:01.000Z INFO  event=3002 name=target-leaving backend=i-1 service=ordering state=draining\n");
    REQUIRE(explain("r1", " --output json") == 0);
    const Json explanation = Json::parse(output);
    CHECK(stepNames(explanation) == std::vector<std::string> { "target-down", "target-leaving", "retry-decided", "call-answered" });
}

TEST_CASE_METHOD(ExplainFixture, "Explain.clockThatIsAhead.isCorrected")
{
    // Guards against an explanation that lists a refusal after the response that it caused, because the clock of one daemon is ahead.
    writeLog("a.log",
             "2026-12-04T10:00:01.050Z INFO  event=2004 name=retry-decided request=r1 daemon=b backend=i-1 outcome=not-run reason=full\n"
             "2026-12-04T10:00:01.060Z INFO  event=2003 name=call-answered request=r1 status=503 reason=full\n");
    writeLog("b.log", "2026-12-04T10:00:03.050Z INFO  event=2002 name=admission-decided request=r1 backend=i-1 outcome=not-run reason=full\n");
    REQUIRE(explain("r1") == 0);
    CHECK(output.find("clock of b is ahead by 2000 ms") != std::string::npos);
    CHECK(output.find("admission-decided") < output.find("call-answered"));
}

TEST_CASE_METHOD(ExplainFixture, "Explain.unknownRequestOrFile.hasItsOwnExitCode")
{
    writeLog("a.log", EntryLog);
    CHECK(explain("r9") == 1);
    CHECK(output.find("no log has a line of request r9") != std::string::npos);
    logArguments += " " + directory + "/missing.log";
    CHECK(explain("r1") == 2);
    CHECK(output.find("cannot be read") != std::string::npos);
}
