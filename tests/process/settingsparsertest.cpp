#include "process/settingsparser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

using namespace carobjunction;

namespace
{

const std::string ValidSettings = "daemon: d1\nregion: pilbara\ndata-centre: pil-a\nservice: ordering\n"
                                  "caller-address: 127.0.0.1:0\npeer-address: 127.0.0.1:0\noperator-address: '[::1]:0'\n";

std::vector<std::string> faultLocations(const std::string &text)
{
    std::vector<std::string> result;
    for (const ConfigError &configError : SettingsParser::parse(text, "settings.yaml").errors) {
        result.push_back(std::to_string(configError.line) + " " + configError.field);
    }
    return result;
}

using FaultLocations = std::vector<std::string>;

} // namespace

TEST_CASE("SettingsParser.example.isValid")
{
    // Guards against example settings that the parser rejects, and against values that the parser ignores.
    std::ifstream file(std::string(CAROBJUNCTION_SOURCE_DIR) + "/examples/settings.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    const auto result = SettingsParser::parse(text.str(), "settings.yaml");
    REQUIRE(result.settings);
    CHECK(result.settings->dataCentre == "pil-a");
    CHECK(result.settings->seeds.size() == 2);
    CHECK(result.settings->tls.authority == "/etc/carobjunction/authority.pem");
    CHECK(result.settings->peerSecurity == PeerSecurity::MutualTls);
}

TEST_CASE("SettingsParser.peerSecurity.isPlaintextOnlyInWords")
{
    // Guards against a daemon that communicates with its peers in plaintext although the settings do not request it explicitly.
    CHECK(faultLocations(ValidSettings) == FaultLocations { "1 tls" });
    CHECK(faultLocations(ValidSettings + "peer-security: none\n") == FaultLocations { "1 tls", "8 peer-security" });
    CHECK(faultLocations(ValidSettings + "tls: {certificate: c, key: k}\n") == FaultLocations { "8 tls.authority" });
    CHECK(faultLocations(ValidSettings + "peer-security: plaintext\ntls: {certificate: c, key: k, authority: a}\n") == FaultLocations { "9 tls" });
    const auto result = SettingsParser::parse(ValidSettings + "peer-security: plaintext\nstore-timeout: 250ms\nmax-body: 1MiB\n", "f");
    REQUIRE(result.settings);
    CHECK(result.settings->peerSecurity == PeerSecurity::Plaintext);
    CHECK(result.settings->storeTimeout == std::chrono::milliseconds(250));
    CHECK(result.settings->maxBodyBytes == 1048576);
}

TEST_CASE("SettingsParser.badAddressesAndTimes.areAllReported")
{
    // Guards against a daemon that starts with an unreachable address or with contradictory times, and against a report of only the first fault.
    CHECK(faultLocations("daemon: D 1\nregion: pilbara\ndata-centre: pil-a\nservice: order_ing\n"
                         "caller-address: localhost:80\npeer-address: 0.0.0.0:7946\noperator-address: 127.0.0.1:65536\n"
                         "store-address: 10.0.0.1:0\nseeds: [10.0.0.2:7946, 10.0.0.2:7946, x]\npeer-security: plaintext\n"
                         "gossip-interval: 5s\nsuspicion-timeout: 5s\nshards: 3\n")
          == FaultLocations { "1 daemon",
                              "4 service",
                              "5 caller-address",
                              "6 peer-address",
                              "7 operator-address",
                              "8 store-address",
                              "9 seeds[1]",
                              "9 seeds[2]",
                              "12 suspicion-timeout",
                              "13 shards" });
    CHECK(faultLocations("daemon: d\nregion: r\ndata-centre: c\nservice: s\npeer-security: plaintext\n"
                         "caller-address: 127.0.0.1:80\npeer-address: 127.0.0.1:80\noperator-address: 127.0.0.1:81\n")
          == FaultLocations { "7 peer-address" });
}

TEST_CASE("SettingsParser.randomBytes.neverThrow")
{
    // Guards against exceptions and crashes of the daemon at start, caused by malformed settings.
    CHECK(rc::check([](const std::string &bytes) {
        const auto result = SettingsParser::parse(bytes, "f");
        RC_ASSERT(result.settings.has_value() == result.errors.empty());
    }));
}
