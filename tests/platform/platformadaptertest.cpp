#include "platform/platformadapter.h"

#include "process/vmsettings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <regex>
#include <sstream>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

Json sampleConfig()
{
    return Json::parse(R"({"version":7,"resources":[
        {"type":"routes","metadata":{"name":"order"},"spec":{"host":"h.example","prefix":"/o/","kind":"non_idempotent","timeout_ms":2000,
         "aim_ms":800,"priority":1,"service":"s1","attempts":2}},
        {"type":"routes","metadata":{"name":"split"},"spec":{"host":"h.example","prefix":"/l/","kind":"idempotent","timeout_ms":1500.5,
         "aim_ms":800,"priority":2,"weighted_clusters":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2}},
        {"type":"services","metadata":{"name":"s1"},"spec":{"health_path":"/healthz","max_connections":260,"protocol":"h1","tls":false}},
        {"type":"services","metadata":{"name":"s2"},"spec":{"health_path":"/healthz","max_connections":260,"protocol":"h1","tls":false}},
        {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]})");
}

HttpRequest heartbeat(const Json &body)
{
    HttpRequest message(http::verb::put, "/v1/instances/i-1", 11);
    message.body() = body.dump();
    return message;
}

Json sampleHeartbeat()
{
    return Json::parse(R"({"address":"10.0.0.1:80","born":1700000000000,"info":{"service":"s1","version":"v1","zone":"z","slots":9},
        "status":{"state":"ready","seq":4,"cold_remaining_ms":1500}})");
}

} // namespace

TEST_CASE("PlatformAdapter.configuration.isDecodedIntoRoutes")
{
    const DecodedRoutes decoded = PlatformAdapter::decodeRoutes(sampleConfig().dump());
    REQUIRE(decoded.table != nullptr);
    CHECK(decoded.table->version() == 7);
    const HostRoute *order = decoded.table->match("h.example", "/o/1");
    REQUIRE(order != nullptr);
    CHECK_FALSE(order->idempotent);
    CHECK(order->timeout == 2s);
    CHECK(order->attempts == 2);
    const HostRoute *split = decoded.table->match("h.example", "/l/1");
    REQUIRE(split != nullptr);
    CHECK(split->idempotent);
    CHECK(split->timeout == 1500500us);
    REQUIRE(split->destinations.size() == 2);
    CHECK(split->destinations[1].weight == 10);
    CHECK(decoded.table->limits().idleTimeout == 15s);
    CHECK(decoded.table->service("s2")->healthPath == "/healthz");
}

TEST_CASE("PlatformAdapter.configurationWithAFault.isRefusedWithTheField")
{
    // Guards against an invalid configuration that replaces the active configuration.
    const auto errorMessage = [](const std::function<void(Json &)> &change) {
        Json config = sampleConfig();
        change(config);
        const DecodedRoutes decoded = PlatformAdapter::decodeRoutes(config.dump());
        CHECK(decoded.table == nullptr);
        return decoded.errorMessage;
    };
    CHECK(errorMessage([](Json &c) { c["resources"][0]["spec"].erase("host"); }).find("host") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c["resources"][0]["spec"]["kind"] = "other"; }).find("kind") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c["resources"][0]["spec"]["timeout_ms"] = "2s"; }).find("timeout_ms") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c["resources"][0]["spec"]["service"] = "s9"; }).find("s9") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c["resources"][1]["spec"]["weighted_clusters"] = Json::array(); }).find("weighted_clusters") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c["resources"][0]["spec"]["prefix"] = "/o"; }).find("prefix") != std::string::npos);
    CHECK(errorMessage([](Json &c) { c.erase("version"); }).find("version") != std::string::npos);
    CHECK_FALSE(PlatformAdapter::decodeRoutes("{\"version\":7,\"resou").errorMessage.empty());
}

TEST_CASE("PlatformAdapter.heartbeat.isDecoded")
{
    const auto call = PlatformAdapter::decodeControlCall(heartbeat(sampleHeartbeat()));
    REQUIRE(call.has_value());
    const auto *decodedHeartbeat = std::get_if<Heartbeat>(&*call);
    REQUIRE(decodedHeartbeat != nullptr);
    CHECK(decodedHeartbeat->id == "i-1");
    CHECK(decodedHeartbeat->startedAtMs == 1700000000000);
    CHECK(decodedHeartbeat->slots == 9);
    CHECK(decodedHeartbeat->sequence == 4);
    CHECK(decodedHeartbeat->coldRemaining == 1500ms);
    CHECK_FALSE(decodedHeartbeat->draining);
}

TEST_CASE("PlatformAdapter.heartbeatWithAnInvalidField.isMalformed")
{
    for (const auto &[path, value] : std::vector<std::pair<std::string, Json>> { { "/born", 1.5 },
                                                                                 { "/born", "1700000000000" },
                                                                                 { "/info/slots", "9" },
                                                                                 { "/info/service", 3 },
                                                                                 { "/status/state", "resting" },
                                                                                 { "/status/seq", -4 },
                                                                                 { "/address", nullptr },
                                                                                 { "/status", Json::array() } }) {
        INFO(path << " " << value);
        Json body = sampleHeartbeat();
        body[Json::json_pointer(path)] = value;
        const auto call = PlatformAdapter::decodeControlCall(heartbeat(body));
        REQUIRE(call.has_value());
        CHECK(std::holds_alternative<MalformedControlCall>(*call));
    }
}

TEST_CASE("PlatformAdapter.randomBytes.areRefusedWithoutAnException")
{
    CHECK(rc::check([](const std::string &bytes) {
        HttpRequest message(http::verb::put, "/v1/instances/i-1", 11);
        message.body() = bytes;
        const auto call = PlatformAdapter::decodeControlCall(message);
        RC_ASSERT(call.has_value());
        RC_ASSERT(std::holds_alternative<MalformedControlCall>(*call));
        RC_ASSERT(PlatformAdapter::decodeRoutes(bytes).table == nullptr);
        HttpResponse response(http::status::ok, 11);
        response.body() = bytes;
        RC_ASSERT(!RowsDialect::parseRowsResponse(response).has_value());
    }));
}

TEST_CASE("RowsDialect.rows.surviveTheRoundTrip")
{
    CHECK(rc::check([](const std::string &value) {
        TableChange change;
        change.conditions.push_back({ "t", "k", "", 5 });
        change.puts.push_back({ "t", "k", value });
        const Json body = Json::parse(RowsDialect::commit(change).body());
        RC_ASSERT(body["precondition"][0]["ver"] == 5);
        Json answer { { "rows", Json::array({ { { "table_name", "t" }, { "key", "k" }, { "value", body["puts"][0]["value"] }, { "ver", 9 } } }) },
                      { "ver", 11 } };
        HttpResponse response(http::status::ok, 11);
        response.body() = answer.dump();
        const auto rows = RowsDialect::parseRowsResponse(response);
        RC_ASSERT(rows.has_value());
        RC_ASSERT(rows->version == 11U);
        RC_ASSERT(rows->rows.at(0).value == value);
    }));
}

TEST_CASE("RowsDialect.statusOfTheStore.isMappedToAnError")
{
    const auto error = [](http::status status) {
        return RowsDialect::errorFromStatus(HttpResponse(status, 11));
    };
    CHECK(error(http::status::ok) == std::nullopt);
    CHECK(error(http::status::precondition_failed) == std::nullopt);
    CHECK(error(http::status::gone) == TableStoreError::HistoryLost);
    CHECK(error(http::status::service_unavailable) == TableStoreError::Refused);
    CHECK(error(http::status::too_many_requests) == TableStoreError::Refused);
}

namespace
{

/** Parses the settings template with @p figure in place of each figure of the platform. @return the settings, or empty with the errors as messages */
std::optional<VmSettings> parseTemplate(const std::string &figure)
{
    std::ifstream file(std::string(CAROBJUNCTION_SOURCE_DIR) + "/platform/settings.yaml.template");
    std::ostringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    text = std::regex_replace(text, std::regex(R"(\{\{(app_addr|listen\.[a-z]+|platform\.address)\}\})"), "10.1.0.38:8145");
    text = std::regex_replace(text, std::regex(R"(\{\{ip\}\}:\{\{port_range\.0\}\})"), "10.1.0.38:7380");
    text = std::regex_replace(text, std::regex(R"(\{\{bounds\.retry_budget_ratio\}\})"), "0.2");
    text = std::regex_replace(text, std::regex(R"(\{\{(limits|bounds)\.[a-z_]+\}\}|\{\{heartbeat_ms\}\})"), figure);
    text = std::regex_replace(text, std::regex(R"(\{\{[a-z_]+\}\})"), "some-name");
    UNSCOPED_INFO(text);
    const VmSettingsResult result = VmSettingsParser::parse(text, "settings.yaml");
    for (const ConfigError &errorMessage : result.errors) {
        UNSCOPED_INFO(errorMessage.toString());
    }
    return result.settings;
}

} // namespace

TEST_CASE("SettingsTemplate.substitutedPlaceholders.formValidSettings")
{
    // Guards against a template with keys that the daemon does not accept.
    CHECK(parseTemplate("100").has_value());
}

TEST_CASE("SettingsTemplate.figuresWithAFraction.formValidSettings")
{
    // Guards against daemons that don't start any more after a bound of the platform has become a fraction.
    const std::string figure = GENERATE("100.5", "64.25", "100.0", "99.999999");
    CAPTURE(figure);
    const auto settings = parseTemplate(figure);
    REQUIRE(settings);
    CHECK(settings->gracePeriod == std::chrono::nanoseconds(std::llround(std::stod(figure) * 1e9)));
    CHECK(settings->heartbeatInterval == std::chrono::nanoseconds(std::llround(std::stod(figure) * 1e6)));
    CHECK(settings->retrySlack == std::stod(figure));
    CHECK(settings->memoryMb == std::stod(figure));
}

TEST_CASE("SettingsTemplate.figureThatIsNoNumber.isRefused")
{
    const std::string figure = GENERATE("6.", ".5", "6,5", "1e2", "-1.5", "1.2.3", "01.5", "nan");
    CAPTURE(figure);
    CHECK_FALSE(parseTemplate(figure).has_value());
}
