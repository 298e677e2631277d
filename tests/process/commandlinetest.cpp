#include "../../tools/standin-store/standinstoreserver.h"
#include "commandlinetool.h"
#include "connection/brokenanswers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace carobjunction;

namespace
{

/** Runs a server on a thread of its own. The destructor stops the server and joins the thread. */
template<typename Server>
class ServerThread
{
public:
    explicit ServerThread(Server &server, std::function<void()> serve) : m_server(server), m_thread(std::move(serve))
    {
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~ServerThread()
    {
        m_server.stop();
        m_thread.join();
    }

    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

private:
    Server &m_server;
    std::thread m_thread;
};

/** StandinStoreServer with the is_running() of httplib::Server, so that ServerThread can run both. */
struct StoreServer : StandinStoreServer {
    using StandinStoreServer::StandinStoreServer;

    bool is_running() const
    {
        return isRunning();
    }
};

std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

const std::string Examples = std::string(CAROBJUNCTION_SOURCE_DIR) + "/examples/";

/** File that the destructor removes. */
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text) : m_path(std::filesystem::temp_directory_path() / ("carobjunction-" + std::to_string(getpid()) + ".yaml"))
    {
        std::ofstream(m_path) << text;
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(m_path);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("CommandLine.check.printsAllFaultsAndExitsWithOne")
{
    // Guards against a continuous integration step that succeeds although a configuration file is invalid.
    const CommandResult valid = runCommandLineTool("check " + Examples + "nullagine/ordering.yaml " + Examples + "settings.yaml");
    CHECK(valid.exitCode == 0);
    const TemporaryFile file("service: S\nroutes: [{method: GET, path: /a}]\n");
    const CommandResult faulty = runCommandLineTool("check " + file.path());
    CHECK(faulty.exitCode == 1);
    CHECK(faulty.output.find(file.path() + ":1:10: service: must be") == 0);
    CHECK(faulty.output.find(file.path() + ":2:10: routes[0].idempotent: missing, but required\n") != std::string::npos);
    CHECK(runCommandLineTool("check " + file.path() + "-missing").exitCode == 2);
    CHECK(runCommandLineTool("").exitCode == 2);
    CHECK(runCommandLineTool("publish --help").exitCode == 0);
}

TEST_CASE("CommandLine.publish.changesAndShowsTheConfigurationInForce")
{
    // Guards against exit codes that contradict the result of the store operation.
    StoreServer store(8);
    const std::string address = addressOf(store.bind("127.0.0.1", 0));
    const std::string file = Examples + "nullagine/ordering.yaml";
    const std::string publish = " --publisher ana --store " + address;
    {
        const ServerThread thread(store, [&store] { store.run(); });
        CHECK(runCommandLineTool("in-force --store " + address).exitCode == 1);
        CHECK(runCommandLineTool("publish " + file + publish).exitCode == 0);
        CHECK(runCommandLineTool("publish " + file + publish).output.find("unchanged: version 1") != std::string::npos);
        std::ifstream stream(file);
        const std::string text(std::istreambuf_iterator<char>(stream), {});
        CHECK(runCommandLineTool("in-force ordering --content --store " + address).output == text);
        const TemporaryFile changed(text + "# changed\n");
        const CommandResult conflict = runCommandLineTool("publish " + changed.path() + " --publish-id 0-ab" + publish);
        CHECK(conflict.exitCode == 1);
        CHECK(conflict.output.find("conflict: ana published version 1") != std::string::npos);
        CHECK(conflict.output.find("+# changed\n") != std::string::npos);
    }
    CHECK(runCommandLineTool("publish " + file + publish).exitCode == 3);
    CHECK(runCommandLineTool("in-force --store " + address).exitCode == 3);
}

TEST_CASE("CommandLine.operatorCommands.callTheDaemon")
{
    // Guards against requests with a wrong path or method, against failures that are not reported by the exit code, and against control
    // characters that are written to the terminal.
    httplib::Server daemon;
    const std::string address = " --operator " + addressOf(daemon.bind_to_any_port("127.0.0.1"));
    const auto respondWith = [](const char *body, int status = 200) {
        return [body, status](const httplib::Request &, httplib::Response &response) {
            response.status = status;
            response.set_content(body, "application/json");
        };
    };
    daemon.Get("/v1/targets", respondWith(R"({"targets":[]})"));
    daemon.Get("/v1/explain", [](const httplib::Request &request, httplib::Response &response) {
        response.status = request.get_param_value("request") == "a&b" ? 200 : 404;
        response.set_content(R"({"reason":"none","candidates":[{"target":"t1"}]})", "application/json");
    });
    daemon.Get("/v1/suspects", respondWith(R"({"suspects":[{"fingerprint":"ab12","service":"a\u001b[31m"},{"fingerprint":"ab13","crashes":3}]})"));
    daemon.Delete("/v1/suspects/ab12", respondWith("{}"));
    daemon.Post("/v1/target/leave", respondWith(R"({"error":"no target"})", 503));
    daemon.Get("/v1/in-force", [](const httplib::Request &request, httplib::Response &response) {
        const bool isLate = request.get_param_value("service") == "late";
        response.set_content(isLate ? R"({"configs":[{"service":"late","version":1}],"unconfirmed":[{"daemon":"d2","version":0}]})"
                                    : R"({"configs":[{"service":"ordering","version":1}],"unconfirmed":[]})",
                             "application/json");
    });
    StoreServer store(8);
    const std::string publish = " --publisher ana --wait --timeout 1ms --store " + addressOf(store.bind("127.0.0.1", 0)) + address;
    {
        const ServerThread daemonThread(daemon, [&daemon] { daemon.listen_after_bind(); });
        const ServerThread storeThread(store, [&store] { store.run(); });
        CHECK(runCommandLineTool("targets" + address).exitCode == 1);
        CHECK(runCommandLineTool("explain 'a&b'" + address).output == "reason: none\ncandidates:\n  -\n    target: t1\n");
        CHECK(runCommandLineTool("explain c" + address).exitCode == 1);
        CHECK(runCommandLineTool("suspects" + address).output == "fingerprint  service    crashes\nab12         a\\x1b[31m  -\nab13         -          3\n");
        CHECK(runCommandLineTool("suspects --clear ab12" + address).exitCode == 0);
        CHECK(runCommandLineTool("suspects --clear ab13" + address).exitCode == 1);
        CHECK(runCommandLineTool("suspects --clear ../x" + address).exitCode == 2);
        CHECK(runCommandLineTool("drain" + address).exitCode == 3);
        CHECK(runCommandLineTool("publish " + Examples + "nullagine/ordering.yaml" + publish).exitCode == 0);
        const TemporaryFile late("service: late\nroutes: [{method: GET, path: /a, idempotent: yes}]\n");
        CHECK(runCommandLineTool("publish " + late.path() + publish).exitCode == 1);
        CHECK(runCommandLineTool("in-force late --members" + address).exitCode == 1);
    }
    CHECK(runCommandLineTool("targets" + address).exitCode == 3);
}

TEST_CASE("CommandLine.brokenAnswer.isReportedAndNotPrinted")
{
    // Guards against the answer of a daemon that is shown although it is malformed or cut short.
    const std::string body = R"({"targets":[{"service":"s","daemon":"d"}]})";
    RawAnswer answer;
    const RunningBrokenAnswerServer daemon([&answer](const HttpRequest &, BrokenAnswerServer::RequestPosition) { return answer; });
    for (const BrokenAnswer &broken : brokenAnswers("", body)) {
        CAPTURE(broken.defect);
        answer = broken.answer;
        const CommandResult result = runCommandLineTool("targets --operator " + daemon.address());
        CHECK(result.exitCode == 3);
        CHECK(result.output.find("daemon at " + daemon.address()) == 0);
        CHECK(std::count(result.output.begin(), result.output.end(), '\n') == 1);
    }
    answer = { "HTTP/1.1 200 OK\r\n\r\n" + body, ConnectionEnd::Close };
    CHECK(runCommandLineTool("targets --operator " + daemon.address()).exitCode == 0);
}
