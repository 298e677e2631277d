#include "platform/platformadapter.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <limits>

using namespace carobjunction;
using namespace carobjunction::platform;
using Json = nlohmann::json;

namespace
{

constexpr uint64_t LargestNumber = std::numeric_limits<uint64_t>::max();

Json sampleHeartbeat()
{
    return Json::parse(heartbeatBody("10.0.0.1:80", 1'700'000'000'000, "ordering", "ready", 4));
}

bool isHeartbeatAccepted(const std::string &body, const std::string &id = "i-1")
{
    HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
    message.body() = body;
    const auto call = PlatformAdapter::decodeControlCall(message);
    return call && std::holds_alternative<Heartbeat>(*call);
}

Json sampleConfig()
{
    Json config = Json::parse(publishedConfig(7, { { "/look/", "idempotent", "ordering" } }));
    config["resources"].push_back(
        { { "type", "limits" },
          { "metadata", Json::object() },
          { "spec", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1 << 20 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } });
    return config;
}

Json withField(Json json, const std::string &pointer, const Json &value)
{
    json[Json::json_pointer(pointer)] = value;
    return json;
}

bool isConfigAccepted(const Json &config)
{
    return PlatformAdapter::decodeRoutes(config.dump()).table != nullptr;
}

} // namespace

TEST_CASE("MalformedHeartbeat.numberOutOfRange.isUnreadable")
{
    // Guards against a slot count of 2^32 that is truncated to 0, and against a start time so late that no later process can supersede it.
    REQUIRE(isHeartbeatAccepted(sampleHeartbeat().dump()));
    for (const char *field : { "/born", "/info/slots", "/status/seq", "/status/cold_remaining_ms" }) {
        INFO(field);
        for (const Json &value : { Json(-1), Json(1e300), Json("1"), Json(true), Json(nullptr), Json::array(), Json(LargestNumber) }) {
            INFO(value.dump());
            CHECK_FALSE(isHeartbeatAccepted(withField(sampleHeartbeat(), field, value).dump()));
        }
    }
    CHECK_FALSE(isHeartbeatAccepted(withField(sampleHeartbeat(), "/info/slots", uint64_t { 1 } << 32U).dump()));
}

TEST_CASE("MalformedHeartbeat.textOutOfBounds.isUnreadable")
{
    // Guards against publishing a record of this VM that other daemons cannot decode.
    CHECK_FALSE(isHeartbeatAccepted(withField(sampleHeartbeat(), "/info/service", std::string(10'000, 's')).dump()));
    CHECK_FALSE(isHeartbeatAccepted(sampleHeartbeat().dump(), std::string(10'000, 'i')));
    CHECK_FALSE(isHeartbeatAccepted("[]"));
    CHECK_FALSE(isHeartbeatAccepted("3"));
    CHECK_FALSE(isHeartbeatAccepted(std::string(100'000, '[')));
    CHECK_FALSE(isHeartbeatAccepted(withField(sampleHeartbeat(), "/more", Json::parse(std::string(100, '[') + std::string(100, ']'))).dump()));
}

TEST_CASE("MalformedConfiguration.numberOutOfRange.isRefusedWithTheField")
{
    // Guards against durations that overflow, and against numbers that are truncated to 32 bits.
    REQUIRE(isConfigAccepted(sampleConfig()));
    const std::string route = "/resources/0/spec";
    for (const std::string &field : { route + "/timeout_ms",
                                      route + "/aim_ms",
                                      route + "/attempts",
                                      route + "/priority",
                                      std::string("/resources/1/spec/max_connections"),
                                      std::string("/resources/3/spec/header_timeout_ms"),
                                      std::string("/resources/3/spec/idle_timeout_ms"),
                                      std::string("/version") }) {
        INFO(field);
        for (const Json &value : { Json(-1), Json(1e300), Json("1"), Json(true), Json(nullptr), Json(LargestNumber) }) {
            INFO(value.dump());
            CHECK_FALSE(isConfigAccepted(withField(sampleConfig(), field, value)));
        }
    }
    for (const std::string &field : { route + "/attempts", route + "/priority", std::string("/resources/1/spec/max_connections") }) {
        INFO(field);
        CHECK_FALSE(isConfigAccepted(withField(sampleConfig(), field, uint64_t { 1 } << 32U)));
    }
    CHECK(PlatformAdapter::decodeRoutes(withField(sampleConfig(), route + "/timeout_ms", 1e300).dump()).errorMessage.find("timeout_ms") != std::string::npos);
    const Json oversizedWeights = Json::array({ { { "service", "ordering" }, { "weight", uint64_t { 1 } << 32U } } });
    CHECK_FALSE(isConfigAccepted(withField(sampleConfig(), route + "/weighted_clusters", oversizedWeights)));
}

TEST_CASE("MalformedConfiguration.deepNesting.isRefused")
{
    // Guards against a stack overflow that terminates the process on a deeply nested configuration.
    const std::string deeplyNested = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string &text : { deeplyNested,
                                     R"({"version":7,"resources":)" + deeplyNested + "}",
                                     R"({"version":7,"resources":[)" + deeplyNested + "]}",
                                     R"({"version":7,"resources":[],"more":)" + deeplyNested + "}" }) {
        const DecodedRoutes decoded = PlatformAdapter::decodeRoutes(text);
        CHECK(decoded.table == nullptr);
        CHECK(decoded.errorMessage.size() <= 300);
    }
}

TEST_CASE("MalformedConfiguration.otherShapes.areRefused")
{
    for (const char *text : { "",
                              "3",
                              "null",
                              "[]",
                              R"({"version":7,"resources":[3]})",
                              R"({"version":7,"resources":[{"type":"routes","spec":3,"metadata":{}}]})",
                              R"({"version":7,"resources":[{"type":"routes","spec":{},"metadata":3}]})" }) {
        INFO(text);
        CHECK(PlatformAdapter::decodeRoutes(text).table == nullptr);
    }
    const DecodedRoutes unterminated = PlatformAdapter::decodeRoutes("\"" + std::string(100'000, 'x'));
    CHECK(unterminated.table == nullptr);
    CHECK(unterminated.errorMessage.size() <= 300); // limits the length of the log line
}
