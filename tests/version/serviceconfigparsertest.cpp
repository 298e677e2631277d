#include <carobjunction/version/serviceconfigparser.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace carobjunction;

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** @return the location of each fault as `LINE FIELD`, in the given order */
std::vector<std::string> faultLocations(const std::vector<ConfigError> &errors)
{
    std::vector<std::string> result;
    for (const ConfigError &configError : errors) {
        result.push_back(std::to_string(configError.line) + " " + configError.field);
    }
    return result;
}

std::vector<std::string> parseFaultLocations(const std::string &text)
{
    return faultLocations(ServiceConfigParser::parse(text, "f.yaml").errors);
}

using FaultLocations = std::vector<std::string>;

} // namespace

TEST_CASE("ServiceConfigParser.examples.areValid")
{
    // Guards against example files that the parser rejects.
    size_t count = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(std::string(CAROBJUNCTION_SOURCE_DIR) + "/examples")) {
        if (entry.path().extension() != ".yaml" || entry.path().stem() == "settings") {
            continue;
        }
        ++count;
        const auto result = ServiceConfigParser::parse(readFile(entry.path()), entry.path().filename().string(), 7);
        INFO(entry.path() << (result.errors.empty() ? "" : result.errors.front().toString()));
        REQUIRE(result.config != nullptr);
        CHECK(result.config->service == entry.path().stem());
        CHECK(result.config->targets.slots == 9);
        CHECK(result.config->version == 7);
        CHECK(result.config->hash.size() == 64);
    }
    CHECK(count >= 4);
}

TEST_CASE("ServiceConfigParser.fiveFaults.areReportedAsFive")
{
    // Guards against reporting only the first fault or a wrong location.
    const auto result = ServiceConfigParser::parse("service: Ordering\n"
                                                   "targets: { slots: many, colour: red }\n"
                                                   "retries: { budget-share: 2 }\n"
                                                   "routes:\n"
                                                   "  - { method: POST, path: /orders, idempotent: no, hedge: true }\n",
                                                   "f.yaml");
    CHECK(result.config == nullptr);
    CHECK(faultLocations(result.errors)
          == FaultLocations { "1 service", "2 targets.slots", "2 targets.colour", "3 retries.budget-share", "5 routes[0].hedge" });
    REQUIRE(result.errors.size() == 5);
    CHECK(result.errors[1].toString() == "f.yaml:2:19: targets.slots: must be a whole number, not 'many'");
}

TEST_CASE("ServiceConfigParser.contradictions.areFaults")
{
    // Guards against accepting values that are valid individually but unsafe or without effect in combination.
    const std::string head = "service: s\nroutes:\n";
    CHECK(parseFaultLocations(head + "- {method: POST, path: /a, idempotent: no, retries: 1}\n") == FaultLocations { "3 routes[0].retries" });
    CHECK(parseFaultLocations(head + "- {method: GET, path: /a, idempotent: yes, key: required}\n") == FaultLocations { "3 routes[0].key" });
    CHECK(parseFaultLocations(head + "- {method: GET, path: /a, idempotent: yes, deadline: 31s}\n") == FaultLocations { "3 routes[0].deadline" });
    CHECK(parseFaultLocations(head + "- {method: GET, path: /_carob/load, idempotent: yes}\n") == FaultLocations { "3 routes[0].path" });
    CHECK(parseFaultLocations("retries: {budget-share: 0}\n" + head + "- {method: GET, path: /a, idempotent: yes, hedge: yes}\n")
          == FaultLocations { "4 routes[0].hedge" });
    // The first route shadows the second and third; the fourth is not under /a.
    CHECK(parseFaultLocations(head
                              + "- {method: '*', path: /a, idempotent: no}\n- {method: '*', path: /a, idempotent: no}\n"
                                "- {method: GET, path: /a/b, idempotent: yes}\n- {method: GET, path: /ab, idempotent: yes}\n")
          == FaultLocations { "4 routes[1].path", "5 routes[2].path" });
}

TEST_CASE("ServiceConfigParser.missingDuplicateAndMistypedKeys.areFaults")
{
    // Guards against silently applying a default value or the last of two duplicate values.
    const std::string route = "routes: [{method: GET, path: /a, idempotent: yes}]\n";
    CHECK(parseFaultLocations("{}") == FaultLocations { "1 service", "1 routes" });
    CHECK(parseFaultLocations("service: s\nservice: t\n" + route) == FaultLocations { "2 service" });
    CHECK(parseFaultLocations("service: s\nroutes: [{method: GET, path: /a}]\n") == FaultLocations { "2 routes[0].idempotent" });
    CHECK(parseFaultLocations("service: s\nroutes: []\n") == FaultLocations { "2 routes" });
    CHECK(parseFaultLocations("service:\ntargets: 7\n" + route) == FaultLocations { "1 service", "2 targets" });
    CHECK(parseFaultLocations("service: s\nkeys: {window: 24}\n" + route) == FaultLocations { "2 keys.window" });
    CHECK(parseFaultLocations("service: s\ntargets: {slots: '9', queue: -1}\n" + route) == FaultLocations { "2 targets.slots", "2 targets.queue" });
    CHECK(parseFaultLocations("service: s\ntargets: {drain-limit: 99999999999999999999h}\n" + route) == FaultLocations { "2 targets.drain-limit" });
}

TEST_CASE("ServiceConfigParser.hostileDocuments.areRejectedWithinLimits")
{
    // Guards against stack exhaustion by deep nesting, alias expansion and unbounded input.
    CHECK(parseFaultLocations(std::string(60000, '[')) == FaultLocations { "1 " });
    CHECK(parseFaultLocations(std::string(60000, '{')) == FaultLocations { "1 " });
    std::string nested = "a: ";
    for (int i = 0; i < 2000; ++i) {
        nested += "- ";
    }
    CHECK(parseFaultLocations(nested).size() == 1);
    CHECK(parseFaultLocations("service: &a s\nroutes: *a\n") == FaultLocations { "1 " });
    CHECK(parseFaultLocations("service: !!str s\n") == FaultLocations { "1 " });
    CHECK(parseFaultLocations("service: s\n---\nservice: t\n") == FaultLocations { "3 " });
    CHECK(parseFaultLocations(std::string(65537, ' ')) == FaultLocations { "1 " });
    CHECK(parseFaultLocations("") == FaultLocations { "1 " });
    CHECK(parseFaultLocations("service: [s\n").size() == 1);
}

TEST_CASE("ServiceConfigParser.randomBytes.neverThrow")
{
    // Guards against exceptions and crashes inside yaml-cpp that propagate to the daemon.
    CHECK(rc::check([](const std::string &bytes) {
        const auto result = ServiceConfigParser::parse(bytes, "f.yaml");
        RC_ASSERT((result.config == nullptr) != result.errors.empty());
    }));
    CHECK(rc::check([] {
        // Random YAML tokens form nested trees and reach syntax errors deep in yaml-cpp far more often than random bytes.
        const auto piece = rc::gen::element<std::string>("service",
                                                         "routes",
                                                         "key",
                                                         ": ",
                                                         "- ",
                                                         "\n",
                                                         "\n  ",
                                                         "{",
                                                         "}",
                                                         "[",
                                                         "]",
                                                         ",",
                                                         "'",
                                                         "\"",
                                                         "\\x",
                                                         "\\u12",
                                                         "&a ",
                                                         "*a",
                                                         "!t ",
                                                         "!<",
                                                         "%YAML 9",
                                                         "---",
                                                         "...",
                                                         "? ",
                                                         "| ",
                                                         ">-",
                                                         "#",
                                                         "~",
                                                         "\t",
                                                         "\xff",
                                                         "\xef\xbb\xbf");
        std::string text;
        for (const std::string &part : *rc::gen::container<std::vector<std::string>>(piece)) {
            text += part;
        }
        const auto result = ServiceConfigParser::parse(text, "f.yaml");
        RC_ASSERT((result.config == nullptr) != result.errors.empty());
    }));
    const std::string valid = readFile(std::string(CAROBJUNCTION_SOURCE_DIR) + "/examples/epistrofi/ward-desk.yaml");
    CHECK(rc::check([&valid] {
        // A valid file with a random part replaced often has valid syntax, so it reaches the semantic checks.
        const auto begin = *rc::gen::inRange<size_t>(0, valid.size());
        const auto length = *rc::gen::inRange<size_t>(0, 40);
        const auto result = ServiceConfigParser::parse(std::string(valid).replace(begin, length, *rc::gen::arbitrary<std::string>()), "f.yaml");
        RC_ASSERT((result.config == nullptr) != result.errors.empty());
    }));
}

namespace
{

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

/** Serialises the configuration as YAML, including keys at their default value. */
std::string toYaml(const ServiceConfig &config)
{
    std::ostringstream text;
    text << "service: " << config.service << "\ntargets: {slots: " << config.targets.slots << ", queue: " << config.targets.queue
         << ", cold-ramp: " << config.targets.coldRamp / std::chrono::milliseconds(1)
         << "ms, drain-limit: 10min}\nrouting: {policy: " << nameOf(config.routing.policy) << ", choices: " << config.routing.choices
         << ", max-ejected-share: " << config.routing.maxEjectedShare << "}\nlimits: {body: " << config.maxBodyBytes << "}\nroutes:\n";
    for (const RouteRule &route : config.routes) {
        text << "- {method: " << route.method << ", path: " << route.pathPrefix << ", idempotent: " << yesNo(route.idempotent)
             << ", deadline: " << route.deadline / std::chrono::milliseconds(1) << "ms, priority: " << nameOf(route.priority)
             << ", retries: " << route.maxRetries << ", hedge: " << yesNo(route.hedge) << ", key: " << (route.keyRequired ? "required" : "optional") << "}\n";
    }
    return text.str();
}

ServiceConfig randomConfig()
{
    ServiceConfig config;
    config.service = "s" + std::to_string(*rc::gen::inRange(0, 99));
    config.targets.slots = *rc::gen::inRange(1U, 1025U);
    config.targets.queue = *rc::gen::inRange(0U, 4097U);
    config.targets.coldRamp = std::chrono::milliseconds(*rc::gen::inRange(0, 600001));
    config.targets.drainLimit = std::chrono::minutes(10);
    config.routing.policy = *rc::gen::elementOf(std::vector { PolicyKind::Random, PolicyKind::TwoChoices, PolicyKind::Predicted });
    config.routing.choices = *rc::gen::inRange(1U, 17U);
    config.routing.maxEjectedShare = *rc::gen::inRange(0, 9) / 8.0;
    config.maxBodyBytes = *rc::gen::inRange<uint64_t>(1, 1U << 26U);
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
        RouteRule route;
        route.method = *rc::gen::element<std::string>("GET", "POST", "DELETE");
        route.pathPrefix = "/r" + std::to_string(i);
        route.idempotent = *rc::gen::arbitrary<bool>();
        route.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 600001));
        route.priority = *rc::gen::element(Priority::High, Priority::Normal, Priority::Low);
        route.maxRetries = route.idempotent ? *rc::gen::inRange(0U, 9U) : 0;
        route.hedge = route.idempotent && *rc::gen::arbitrary<bool>();
        route.keyRequired = !route.idempotent && *rc::gen::arbitrary<bool>();
        config.routes.push_back(route);
    }
    return config;
}

} // namespace

TEST_CASE("ServiceConfigParser.validConfigurations.areReadAsWritten")
{
    // Guards against values that are lost, rounded or assigned to the wrong key.
    CHECK(rc::check([] {
        const ServiceConfig config = randomConfig();
        const auto result = ServiceConfigParser::parse(toYaml(config), "f.yaml");
        RC_ASSERT(result.config != nullptr);
        RC_ASSERT(toYaml(*result.config) == toYaml(config));
        RC_ASSERT(result.config->targets.drainLimit == config.targets.drainLimit);
    }));
}
