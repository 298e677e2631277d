#pragma once

#include "cluster.h"
#include "connection/blockinghttpclient.h"
#include "connection/brokenanswers.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <set>

namespace carobjunction
{

/** Two processes of carobjunctiond. The backend server beside the first one answers with chosen bytes, the second one has none. */
class TwoDaemonsFixture
{
public:
    static constexpr uint64_t Incarnation = 5;

    TwoDaemonsFixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "carobjunction-broken-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_directory = pattern;
        bench::ClusterSpec spec;
        spec.dataCentres = { { "a", "r" } };
        spec.services.resize(1);
        spec.services[0].name = "ordering";
        spec.services[0].targets = 2;
        spec.services[0].dataCentres = { "a" };
        spec.services[0].config = "routes: [{ method: GET, path: /, idempotent: yes }, { method: POST, path: /, idempotent: no }]";
        bench::ClusterOptions options;
        options.buildDirectory = CAROBJUNCTION_BINARY_DIR;
        options.directory = m_directory.string();
        options.absentTargets = { 0, 1 };
        m_cluster = bench::Cluster::start(spec, options);
        REQUIRE(m_cluster != nullptr);
        announce();
        setAnswer([](const std::string &id) { return RawAnswer { "HTTP/1.1 200 OK\r\n" + idField(id) + "Content-Length: 5\r\n\r\nwhole" }; });
        for (const size_t daemon : { size_t { 0 }, size_t { 1 } }) {
            const TimePoint end = SteadyClock().now() + std::chrono::seconds(10);
            while (call(daemon, http::verb::get).result_int() != 200 && SteadyClock().now() < end) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                announce();
            }
            REQUIRE(call(daemon, http::verb::get).result_int() == 200);
        }
    }

    ~TwoDaemonsFixture()
    {
        m_cluster.reset();
        std::error_code ignored; // files that remain do no harm
        std::filesystem::remove_all(m_directory, ignored);
    }

    static std::string idField(const std::string &id)
    {
        return "Carob-Request-Id: " + id + "\r\n";
    }

    void setAnswer(std::function<RawAnswer(const std::string &id)> answer)
    {
        const std::scoped_lock lock(m_mutex);
        m_answer = std::move(answer);
    }

    HttpResponse call(size_t daemon, http::verb method, const std::string &body = "") const
    {
        const auto client = BlockingHttpClient::create(m_cluster->endpoints().daemons[daemon], {});
        HttpRequest request = client->makeRequest(method, "/x");
        request.set("Carob-Service", "ordering");
        request.set("Carob-Deadline-Ms", "3000");
        request.body() = body;
        const ExchangeResult result = client->exchange(std::move(request), optionsFor(std::chrono::seconds(5)));
        REQUIRE(result.end == ExchangeEnd::Answered);
        return result.response;
    }

    /** Sends a message of the backend server, or of another writer, to the operator port of the first daemon. @return the status of the response */
    unsigned post(const std::string &path, const std::string &body) const
    {
        const auto client = BlockingHttpClient::create(m_cluster->operatorAddress(0), {});
        HttpRequest request = client->makeRequest(http::verb::post, path);
        request.body() = body;
        const ExchangeResult result = client->exchange(std::move(request), optionsFor(std::chrono::seconds(3)));
        REQUIRE(result.end == ExchangeEnd::Answered);
        return result.response.result_int();
    }

    /** @return the announcement of the backend server */
    nlohmann::json announcement() const
    {
        return { { "service", "ordering" }, { "address", m_server.address() }, { "slots", 9 }, { "incarnation", Incarnation } };
    }

    /** The backend server must announce itself repeatedly. */
    void announce() const
    {
        REQUIRE(post("/v1/target/announce", announcement().dump()) == 200);
    }

protected:
    static ExchangeOptions optionsFor(Duration time)
    {
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + time;
        return options;
    }

    RawAnswer answerTo(const HttpRequest &head)
    {
        const std::scoped_lock lock(m_mutex);
        if (head.target() != "/x") {
            return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
        }
        const std::string id = fieldValue(head, "Carob-Request-Id");
        m_startedIds.insert(id);
        return m_answer(id);
    }

    size_t startedCount(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_startedIds.count(id);
    }

    std::string ownerLog() const
    {
        std::ifstream file(m_directory / (m_cluster->daemonId(0) + ".log"));
        return { std::istreambuf_iterator<char>(file), {} };
    }

    std::filesystem::path m_directory;
    std::unique_ptr<bench::Cluster> m_cluster;
    std::mutex m_mutex;
    std::function<RawAnswer(const std::string &id)> m_answer;
    std::multiset<std::string> m_startedIds; /**< Ids of the requests that reached the backend server. */
    RunningBrokenAnswerServer m_server { [this](const HttpRequest &head, BrokenAnswerServer::RequestPosition) {
        return answerTo(head);
    } };
};

} // namespace carobjunction
