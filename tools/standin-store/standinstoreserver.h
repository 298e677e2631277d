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

/** Injected faults and rate limits of a StandinStoreServer. */
struct StandinStoreFaults {
    std::string mode = "up"; /**< `up`, `down` (rejects every operation with status 503) or `slow` (delays every response). */
    std::chrono::milliseconds delay { 0 }; /**< Delay of responses in mode `slow`, and of a part of the lost responses. */
    double lostResponseShare = 0; /**< Share of writes, from 0 to 1, that are applied but whose response is lost. */
    double writeLimit = 400; /**< Writes per second; further writes are rejected with status 429. */
    double readLimit = 2000; /**< Reads per second; further reads are rejected with status 429. */
};

/** Serves a MemoryStore over the HTTP protocol of the store and injects the faults set by `POST /control`. */
class StandinStoreServer
{
public:
    /** @param threads  maximum number of concurrent connections, since each persistent connection occupies a thread */
    explicit StandinStoreServer(size_t threads)
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

    /**
     * Binds the listening socket.
     * @param host  IP address
     * @param port  port; 0 selects a free one
     * @return the bound port, or a negative number on failure
     */
    int bind(const std::string &host, int port)
    {
        if (port == 0) {
            return m_server.bind_to_any_port(host);
        }
        return m_server.bind_to_port(host, port) ? port : -1;
    }

    /** Serves requests until stop() is called. */
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

    void setFaults(const StandinStoreFaults &faults)
    {
        const std::scoped_lock lock(m_mutex);
        m_faults = faults;
    }

private:
    using Clock = std::chrono::steady_clock;

    /** Token bucket whose capacity is the number of tokens of one second. */
    struct TokenBucket {
        double tokens = 0;
        Clock::time_point refilledAt {};

        /** Acquires a token if one is available. @param rate  tokens per second @return whether a token was acquired */
        bool tryAcquire(double rate)
        {
            const Clock::time_point now = Clock::now();
            tokens = std::min(rate, tokens + rate * std::chrono::duration<double>(now - refilledAt).count());
            refilledAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        }
    };

    /** Kind of a store operation. Each kind has a separate rate limit. */
    enum class OperationKind {
        Read,
        Write,
    };

    /**
     * Rejects an operation in mode `down` or above its rate limit. Delays the response in mode `slow`.
     * @return whether to perform the operation
     */
    bool admitOperation(OperationKind kind, httplib::Response &response)
    {
        std::chrono::milliseconds delay { 0 };
        {
            const std::scoped_lock lock(m_mutex);
            const bool isWithinLimit
                = kind == OperationKind::Write ? m_writeBucket.tryAcquire(m_faults.writeLimit) : m_readBucket.tryAcquire(m_faults.readLimit);
            response.status = m_faults.mode == "down" ? 503 : isWithinLimit ? 200 : 429;
            m_rejectedCount += response.status == 200 ? 0 : 1;
            delay = m_faults.mode == "slow" ? m_faults.delay : delay;
        }
        std::this_thread::sleep_for(delay);
        return response.status == 200;
    }

    /**
     * Loses the configured share of the responses to writes: half of them are delayed if a delay is set, the connection of the others
     * is closed after the headers.
     */
    void injectResponseLoss(httplib::Response &response)
    {
        std::chrono::milliseconds delay { 0 };
        {
            const std::scoped_lock lock(m_mutex);
            std::uniform_real_distribution<double> uniformShare(0, 1);
            if (uniformShare(m_faultRandom) >= m_faults.lostResponseShare) {
                return;
            }
            delay = uniformShare(m_faultRandom) < 0.5 ? m_faults.delay : delay;
        }
        if (delay.count() > 0) {
            std::this_thread::sleep_for(delay);
            return;
        }
        // The content provider fails, so the server closes the connection after the headers without a body.
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
            if (!admitOperation(OperationKind::Write, response)) {
                return;
            }
            const auto result = m_store.transact(*ops, atomic);
            response.set_content(storeprotocol::serialiseTransactResponse(*result), "application/json");
            injectResponseLoss(response);
        });
        m_server.Post("/v1/table/read", [this](const httplib::Request &request, httplib::Response &response) {
            const auto body = nlohmann::json::parse(request.body, nullptr, false);
            if (!body.is_object() || body.contains("keys") == body.contains("prefix")) {
                response.status = 400;
                return;
            }
            if (!admitOperation(OperationKind::Read, response)) {
                return;
            }
            const auto rows
                = body.contains("keys") ? m_store.read(body["keys"].get<std::vector<std::string>>()) : m_store.readPrefix(body["prefix"].get<std::string>());
            response.set_content(storeprotocol::serialiseReadResponse(*rows), "application/json");
        });
    }

    void addObjectRoutes()
    {
        m_server.Put(R"(/v1/objects/(.+))", [this](const httplib::Request &request, httplib::Response &response) {
            if (admitOperation(OperationKind::Write, response)) {
                m_store.putObject(request.matches[1], request.body);
                injectResponseLoss(response);
            }
        });
        m_server.Get(R"(/v1/objects/(.+))", [this](const httplib::Request &request, httplib::Response &response) {
            if (!admitOperation(OperationKind::Read, response)) {
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
            const StoreOperationCounts counts = m_store.counts();
            const std::scoped_lock lock(m_mutex);
            const nlohmann::json stats = { { "writes", counts.writes }, { "rows", counts.rows }, { "reads", counts.reads }, { "refused", m_rejectedCount } };
            response.set_content(stats.dump(), "application/json");
        });
    }

    /**
     * Sets the faults given by a control request and keeps the others.
     * @return false if a value is invalid; the faults are then unchanged
     */
    bool applyControl(const nlohmann::json &body)
    {
        const std::scoped_lock lock(m_mutex);
        StandinStoreFaults faults = m_faults;
        try {
            faults.mode = body.value("mode", faults.mode);
            faults.delay = std::chrono::milliseconds(body.value("delay_ms", faults.delay.count()));
            faults.lostResponseShare = body.value("lose_answers", faults.lostResponseShare);
            faults.writeLimit = body.value("write_limit", faults.writeLimit);
            faults.readLimit = body.value("read_limit", faults.readLimit);
            if (body.contains("seed")) {
                m_faultRandom.seed(body["seed"].get<uint64_t>());
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
    StandinStoreFaults m_faults;
    std::mt19937_64 m_faultRandom { 1 };
    TokenBucket m_writeBucket;
    TokenBucket m_readBucket;
    uint64_t m_rejectedCount = 0;
};

} // namespace carobjunction
