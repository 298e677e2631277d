#include "process/claimledger.h"
#include "process/storeclient.h"

#include <httplib.h>

#include <CLI/CLI.hpp>

#include <iomanip>
#include <iostream>

using namespace carobjunction;

namespace
{

struct Options {
    std::string store;
    int ledgers = 1;
    int claimers = 1;
    int seconds = 5;
    int batchDelayUs = 2000;
    bool record = true;
};

struct Totals {
    std::mutex mutex;
    std::vector<double> latenciesMs;
    uint64_t unavailable = 0;
};

nlohmann::json readStats(const std::string &address)
{
    httplib::Client client("http://" + address);
    const auto answer = client.Get("/control/stats");
    return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
}

using Ledger = ClaimLedger<StoreClient, SteadyClock>;

/** Claims one new key after the other until @p end. */
void claimUntil(Ledger &ledger, const Options &options, const std::string &keyPrefix, TimePoint end, Totals &totals)
{
    const SteadyClock clock;
    std::vector<double> latencies;
    uint64_t unavailable = 0;
    CallResult result;
    result.status = 200;
    result.body = std::string(200, 'x');
    for (uint64_t i = 0; clock.now() < end; ++i) {
        const std::string key = keyPrefix + std::to_string(i);
        const TimePoint start = clock.now();
        const ClaimAnswer answer = ledger.claim("ordering", key, 1, std::chrono::hours(24), Deadline::after(start, std::chrono::seconds(5)));
        if (answer.state != ClaimState::Won) {
            ++unavailable;
            continue;
        }
        latencies.push_back(std::chrono::duration<double, std::milli>(clock.now() - start).count());
        if (options.record) {
            ledger.recordDone("ordering", key, answer.claimId, 1, result);
        }
    }
    const std::scoped_lock lock(totals.mutex);
    totals.latenciesMs.insert(totals.latenciesMs.end(), latencies.begin(), latencies.end());
    totals.unavailable += unavailable;
}

void print(const Options &options, Totals &totals, const nlohmann::json &before, const nlohmann::json &after, double seconds)
{
    std::sort(totals.latenciesMs.begin(), totals.latenciesMs.end());
    const auto quantile = [&](double q) {
        return totals.latenciesMs[static_cast<size_t>(q * static_cast<double>(totals.latenciesMs.size() - 1))];
    };
    const auto count = [&](const char *name) {
        return after[name].get<double>() - before[name].get<double>();
    };
    const auto won = static_cast<double>(totals.latenciesMs.size());
    std::cout << std::fixed << std::setprecision(2) << "ledgers=" << options.ledgers << " claimers=" << options.claimers << " won=" << totals.latenciesMs.size()
              << " unavailable=" << totals.unavailable << " won/s=" << won / seconds << " p50_ms=" << quantile(0.5) << " p99_ms=" << quantile(0.99)
              << " transactions/s=" << count("writes") / seconds << " transactions/call=" << count("writes") / won
              << " ops/transaction=" << count("rows") / count("writes") << " rows/call=" << count("rows") / won << " reads/s=" << count("reads") / seconds
              << " refused=" << count("refused") << '\n';
}

int measure(const Options &options)
{
    const SteadyClock clock;
    const SystemWallClock wall;
    std::vector<std::unique_ptr<StoreClient>> clients;
    std::vector<std::unique_ptr<Ledger>> ledgers;
    for (int i = 0; i < options.ledgers; ++i) {
        StoreClientOptions clientOptions;
        clientOptions.address = options.store;
        clients.push_back(StoreClient::create(clientOptions));
        if (!clients.back()) {
            std::cerr << "not an address: " << options.store << '\n';
            return 1;
        }
        ClaimOptions claimOptions;
        claimOptions.daemon = "d" + std::to_string(i);
        claimOptions.batchDelay = std::chrono::microseconds(options.batchDelayUs);
        ledgers.push_back(std::make_unique<Ledger>(*clients.back(), clock, wall, claimOptions));
    }
    Totals totals;
    const nlohmann::json before = readStats(options.store);
    const TimePoint start = clock.now();
    const std::string run = std::to_string(wall.nowMs()) + '-';
    std::vector<std::thread> threads;
    for (int i = 0; i < options.claimers; ++i) {
        Ledger &ledger = *ledgers[static_cast<size_t>(i % options.ledgers)];
        threads.emplace_back([&, i] { claimUntil(ledger, options, run + std::to_string(i) + '-', start + std::chrono::seconds(options.seconds), totals); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    bool flushed = true;
    for (const auto &ledger : ledgers) {
        flushed = ledger->flush(std::chrono::seconds(30)) && flushed;
    }
    const double seconds = std::chrono::duration<double>(clock.now() - start).count();
    if (totals.latenciesMs.empty()) {
        std::cerr << "no claim was won\n";
        return 1;
    }
    print(options, totals, before, readStats(options.store), seconds);
    return flushed ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Measures latency and writes of claims against a store" };
    Options options;
    app.add_option("--store", options.store, "address of a stand-in store")->required();
    app.add_option("--ledgers", options.ledgers, "daemons, each with its own connections and batches")->check(CLI::Range(1, 64));
    app.add_option("--claimers", options.claimers, "concurrent claims, spread over the ledgers")->check(CLI::Range(1, 512));
    app.add_option("--seconds", options.seconds)->check(CLI::Range(1, 600));
    app.add_option("--batch-delay-us", options.batchDelayUs)->check(CLI::Range(0, 1'000'000));
    app.add_option("--record", options.record, "whether results are recorded");
    CLI11_PARSE(app, argc, argv);
    EventLog::initialise(LogLevel::Error);
    return measure(options);
}
