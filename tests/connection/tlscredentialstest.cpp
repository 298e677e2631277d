#include "connection/tlscredentials.h"
#include "connection/peerchannels.h"
#include "connection/peerserver.h"
#include "process/admissionservice.h"
#include "process/eventlog.h"
#include "process/metrics.h"
#include "process/workerpool.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

// Creates the certificates of two authorities with the openssl command.
class TlsFixture
{
public:
    TlsFixture()
    {
        std::string name = std::filesystem::temp_directory_path() / "carobjunction-tls-XXXXXX";
        REQUIRE(mkdtemp(name.data()));
        directory = name;
        makeAuthority("a");
        makeAuthority("b");
    }

    ~TlsFixture()
    {
        std::filesystem::remove_all(directory);
    }

    void makeAuthority(const std::string &name) const
    {
        const std::string base = (directory / name).string();
        run("openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=authority-" + name + " -keyout " + base + "-ca.key -out "
            + base + "-ca.pem");
        run("openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=daemon-" + name + " -keyout " + base + ".key -out " + base + ".csr");
        run("openssl x509 -req -days 2 -in " + base + ".csr -CA " + base + "-ca.pem -CAkey " + base + "-ca.key -CAcreateserial -out " + base + ".pem");
    }

    static void run(const std::string &command)
    {
        REQUIRE(std::system((command + " >/dev/null 2>&1").c_str()) == 0);
    }

    TlsFiles files(const std::string &name) const
    {
        const std::string base = (directory / name).string();
        return { base + ".pem", base + ".key", base + "-ca.pem" };
    }

    bool canExchange(const TlsCredentials &client)
    {
        PeerChannels channels(client, metrics, 1U << 20U);
        return channels.exchange("127.0.0.1:" + std::to_string(port), {}, 5s).has_value();
    }

    void startServer(const TlsCredentials &credentials)
    {
        GossipHandlers handlers;
        handlers.exchange = [this](const v1::ExchangeRequest &) {
            ++exchanges;
            return v1::ExchangeResponse();
        };
        server = std::make_unique<PeerServer>(admission, workers, handlers, 1U << 20U);
        port = server->start("127.0.0.1:0", credentials);
        REQUIRE(port > 0);
    }

    std::filesystem::path directory;
    Metrics metrics;
    WorkerPool workers { 2 };
    SteadyClock clock;
    SuspectTable<SteadyClock> suspects { clock };
    AdmissionService admission { workers, suspects, metrics, 1U << 20U };
    std::unique_ptr<PeerServer> server;
    std::atomic<int> exchanges { 0 };
    int port = 0;
};

} // namespace

TEST_CASE_METHOD(TlsFixture, "TlsCredentials.daemonsOfOneAuthority.exchangeMessages")
{
    // Guards against credentials that reject valid peers.
    const TlsCredentials credentials(PeerSecurity::MutualTls, files("a"));
    startServer(credentials);
    CHECK(canExchange(credentials));
    server->stop(0ms);
}

TEST_CASE_METHOD(TlsFixture, "TlsCredentials.otherAuthorityOrPlaintext.isRefused")
{
    // Guards against unauthenticated clients on the peer port, which could send requests or false membership data.
    startServer(TlsCredentials(PeerSecurity::MutualTls, files("a")));
    CHECK_FALSE(canExchange(TlsCredentials(PeerSecurity::MutualTls, files("b"))));
    CHECK_FALSE(canExchange(TlsCredentials(PeerSecurity::Plaintext, {})));
    // A client that trusts the certificate of the server, but whose own certificate is from another authority.
    TlsFiles untrustedFiles = files("b");
    untrustedFiles.authority = files("a").authority;
    CHECK_FALSE(canExchange(TlsCredentials(PeerSecurity::MutualTls, untrustedFiles)));
    CHECK(exchanges == 0);
    server->stop(0ms);
}

TEST_CASE_METHOD(TlsFixture, "TlsCredentials.serverOfOtherAuthority.isRefused")
{
    // Guards against a daemon that forwards requests to an unauthenticated process.
    startServer(TlsCredentials(PeerSecurity::MutualTls, files("b")));
    CHECK_FALSE(canExchange(TlsCredentials(PeerSecurity::MutualTls, files("a"))));
    CHECK(exchanges == 0);
    server->stop(0ms);
}
