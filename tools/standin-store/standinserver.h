#pragma once

#include "memorystore.h"
#include "process/storeprotocol.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace carobjunction
{

/** Faults and limits of a StandinServer. */
struct StandinFaults {
    std::string mode = "up"; /**< up, down (503 to all) or slow (each answer waits for the delay). */
    std::chrono::milliseconds delay { 0 };
    double loseAnswers = 0; /**< Share of writes that are applied and whose answer is lost. */
    double writeLimit = 400; /**< Writes a second; more are answered with 429. */
    double readLimit = 2000;
};

/** Serves a MemoryStore by the store's HTTP protocol, with faults that `POST /control` sets. */
class StandinServer
{
public:
    /** Kept-alive connections hold one thread each. */
    explicit StandinServer(size_t threads)
    {
        m_server.new_task_queue = [threads] {
            return new httplib::ThreadPool(threads);
        };
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(1'000'000);
        m_server.set_keep_alive_timeout(30);
        m_server.set_payload_max_length(64U << 20U);
        addTableRoutes();
        addObjectRoutes();
        addControlRoutes();
    }

    /** @return the port bound, or a negative number. @param port  0 chooses a free port */
    int bind(const std::string &host, int port)
    {
        if (port == 0) {
            return m_server.bind_to_any_port(host);
        }
        return m_server.bind_to_port(host, port) ? port : -1;
    }

    /** Serves until stop(). */
    void run()
    {
        m_server.listen_after_bind();
    }

    bool isRunning() const
    {
        return m_server.is_running();
    }

    void stop()
    {
        m_server.stop();
    }

    MemoryStore &store()
    {
        return m_store;
    }

    void setFaults(const StandinFaults &faults)
    {
        const std::scoped_lock lock(m_mutex);
        m_faults = faults;
    }

private:
    using Clock = std::chrono::steady_clock;

    /** Token bucket that holds at most a second's worth of its rate. */
    struct Bucket {
        double tokens = 0;
        Clock::time_point filled {};

        bool take(double rate)
        {
            const Clock::time_point now = Clock::now();
            tokens = std::min(rate, tokens + rate * std::chrono::duration<double>(now - filled).count());
            filled = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        }
    };

    enum class Kind {
        Read,
        Write,
    };

    /** Answers with an error if a fault or the rate limit says so. @return whether the operation goes on */
    bool admit(Kind kind, httplib::Response &response)
    {
        std::chrono::milliseconds delay { 0 };
        {
            const std::scoped_lock lock(m_mutex);
            const bool isWithinLimit = kind == Kind::Write ? m_writes.take(m_faults.writeLimit) : m_reads.take(m_faults.readLimit);
            response.status = m_faults.mode == "down" ? 503 : isWithinLimit ? 200 : 429;
            m_refused += response.status == 200 ? 0 : 1;
            delay = m_faults.mode == "slow" ? m_faults.delay : delay;
        }
        std::this_thread::sleep_for(delay);
        return response.status == 200;
    }

    /** Loses a share of the answers to writes: half by ending the connection, half by a delay if one is set. */
    void maybeLoseAnswer(httplib::Response &response)
    {
        std::chrono::milliseconds delay { 0 };
        {
            const std::scoped_lock lock(m_mutex);
            std::uniform_real_distribution<double> share(0, 1);
            if (share(m_random) >= m_faults.loseAnswers) {
                return;
            }
            delay = share(m_random) < 0.5 ? m_faults.delay : delay;
        }
        if (delay.count() > 0) {
            std::this_thread::sleep_for(delay);
            return;
        }
        // The body never comes, so the server closes the connection after the headers.
        response.body.clear();
        response.set_content_provider(1, "application/json", [](size_t, size_t, httplib::DataSink &) { return false; });
    }

    void addTableRoutes()
    {
        m_server.Post("/v1/table/transact", [this](const httplib::Request &request, httplib::Response &response) {
            bool atomic = false;
            const auto ops = storeprotocol::parseTransactRequest(request.body, atomic);
            if (!ops) {
                response.status = 400;
                return;
            }
            if (!admit(Kind::Write, response)) {
                return;
            }
            const auto result = m_store.transact(*ops, atomic);
            response.set_content(storeprotocol::writeTransactAnswer(*result), "application/json");
            maybeLoseAnswer(response);
        });
        m_server.Post("/v1/table/read", [this](const httplib::Request &request, httplib::Response &response) {
            const auto body = nlohmann::json::parse(request.body, nullptr, false);
            if (!body.is_object() || body.contains("keys") == body.contains("prefix")) {
                response.status = 400;
                return;
            }
            if (!admit(Kind::Read, response)) {
                return;
            }
            const auto rows
                = body.contains("keys") ? m_store.read(body["keys"].get<std::vector<std::string>>()) : m_store.readPrefix(body["prefix"].get<std::string>());
            response.set_content(storeprotocol::writeReadAnswer(*rows), "application/json");
        });
    }

    void addObjectRoutes()
    {
        m_server.Put(R"(/v1/objects/(.+))", [this](const httplib::Request &request, httplib::Response &response) {
            if (admit(Kind::Write, response)) {
                m_store.putObject(request.matches[1], request.body);
                maybeLoseAnswer(response);
            }
        });
        m_server.Get(R"(/v1/objects/(.+))", [this](const httplib::Request &request, httplib::Response &response) {
            if (!admit(Kind::Read, response)) {
                return;
            }
            const auto bytes = m_store.getObject(request.matches[1]);
            if (bytes) {
                response.set_content(*bytes, "application/octet-stream");
            } else {
                response.status = 404;
            }
        });
    }

    void addControlRoutes()
    {
        m_server.Post("/control", [this](const httplib::Request &request, httplib::Response &response) {
            const auto body = nlohmann::json::parse(request.body, nullptr, false);
            response.status = body.is_object() && applyControl(body) ? 200 : 400;
        });
        m_server.Get("/control/stats", [this](const httplib::Request &, httplib::Response &response) {
            const StoreCounts counts = m_store.counts();
            const std::scoped_lock lock(m_mutex);
            const nlohmann::json stats = { { "writes", counts.writes }, { "rows", counts.rows }, { "reads", counts.reads }, { "refused", m_refused } };
            response.set_content(stats.dump(), "application/json");
        });
    }

    /** Changes the fields given and keeps the others. */
    bool applyControl(const nlohmann::json &body)
    {
        const std::scoped_lock lock(m_mutex);
        StandinFaults faults = m_faults;
        try {
            faults.mode = body.value("mode", faults.mode);
            faults.delay = std::chrono::milliseconds(body.value("delay_ms", faults.delay.count()));
            faults.loseAnswers = body.value("lose_answers", faults.loseAnswers);
            faults.writeLimit = body.value("write_limit", faults.writeLimit);
            faults.readLimit = body.value("read_limit", faults.readLimit);
            if (body.contains("seed")) {
                m_random.seed(body["seed"].get<uint64_t>());
            }
        } catch (const nlohmann::json::exception &) {
            return false;
        }
        if (faults.mode != "up" && faults.mode != "down" && faults.mode != "slow") {
            return false;
        }
        m_faults = faults;
        return true;
    }

    MemoryStore m_store;
    httplib::Server m_server;
    std::mutex m_mutex;
    StandinFaults m_faults;
    std::mt19937_64 m_random { 1 };
    Bucket m_writes;
    Bucket m_reads;
    uint64_t m_refused = 0;
};

} // namespace carobjunction
