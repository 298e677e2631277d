#include "process/claimledger.h"
#include "process/storeclient.h"

#include <httplib.h>

#include <CLI/CLI.hpp>

#include <iomanip>
#include <iostream>

using namespace carobjunction;

namespace
{

struct MeasurementOptions {
    std::string store;
    int ledgers = 1;
    int claimers = 1;
    int seconds = 5;
    int batchDelayUs = 2000;
    int pauseMs = 0;
    bool record = true;
};

/** Results of all claimers. */
struct ClaimTotals {
    std::mutex mutex;
    std::vector<double> latenciesMs;
    uint64_t failedClaims = 0; /**< Claims that were not won. */
};

/** Reads the operation counts of the stand-in store. */
nlohmann::json readStoreStats(const std::string &address)
{
    httplib::Client client("http://" + address);
    const auto response = client.Get("/control/stats");
    return response ? nlohmann::json::parse(response->body) : nlohmann::json();
}

using Ledger = ClaimLedger<StoreClient, SteadyClock>;

/** Claims new keys one after the other until @p end and adds the latencies to @p totals. */
void claimKeysUntil(Ledger &ledger, const MeasurementOptions &options, const std::string &keyPrefix, TimePoint end, ClaimTotals &totals)
{
    const SteadyClock clock;
    std::vector<double> latencies;
    uint64_t failedClaims = 0;
    CallResult result;
    result.status = 200;
    result.body = std::string(200, 'x');
    for (uint64_t i = 0; clock.now() < end; ++i) {
        const std::string key = keyPrefix + std::to_string(i);
        const TimePoint start = clock.now();
        const ClaimOutcome outcome = ledger.claim("ordering", key, 1, std::chrono::hours(24), Deadline::after(start, std::chrono::seconds(5)));
        if (outcome.state != ClaimState::Won) {
            ++failedClaims;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        latencies.push_back(std::chrono::duration<double, std::milli>(clock.now() - start).count());
        if (options.record) {
            ledger.recordResult("ordering", key, outcome.claimId, 1, result);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(options.pauseMs));
    }
    const std::scoped_lock lock(totals.mutex);
    totals.latenciesMs.insert(totals.latenciesMs.end(), latencies.begin(), latencies.end());
    totals.failedClaims += failedClaims;
}

void printResults(const MeasurementOptions &options, ClaimTotals &totals, const nlohmann::json &statsBefore, const nlohmann::json &statsAfter, double seconds)
{
    std::sort(totals.latenciesMs.begin(), totals.latenciesMs.end());
    const auto quantile = [&](double q) {
        return totals.latenciesMs[static_cast<size_t>(q * static_cast<double>(totals.latenciesMs.size() - 1))];
    };
    const auto count = [&](const char *name) {
        return statsAfter[name].get<double>() - statsBefore[name].get<double>();
    };
    const auto won = static_cast<double>(totals.latenciesMs.size());
    std::cout << std::fixed << std::setprecision(2) << "ledgers=" << options.ledgers << " claimers=" << options.claimers << " won=" << totals.latenciesMs.size()
              << " unavailable=" << totals.failedClaims << " won/s=" << won / seconds << " p50_ms=" << quantile(0.5) << " p99_ms=" << quantile(0.99)
              << " transactions/s=" << count("writes") / seconds << " transactions/call=" << count("writes") / won
              << " ops/transaction=" << count("rows") / count("writes") << " rows/call=" << count("rows") / won << " reads/s=" << count("reads") / seconds
              << " refused=" << count("refused") << '\n';
}

int measure(const MeasurementOptions &options)
{
    const SteadyClock clock;
    const SystemWallClock wallClock;
    std::vector<std::unique_ptr<StoreClient>> clients;
    std::vector<std::unique_ptr<Ledger>> ledgers;
    for (int i = 0; i < options.ledgers; ++i) {
        StoreClientOptions clientOptions;
        clientOptions.address = options.store;
        clients.push_back(StoreClient::create(clientOptions));
        if (!clients.back()) {
            std::cerr << "invalid store address, expected IP:PORT: " << options.store << '\n';
            return 1;
        }
        ClaimOptions claimOptions;
        claimOptions.daemon = "d" + std::to_string(i);
        claimOptions.batchDelay = std::chrono::microseconds(options.batchDelayUs);
        ledgers.push_back(std::make_unique<Ledger>(*clients.back(), clock, wallClock, claimOptions));
    }
    ClaimTotals totals;
    const nlohmann::json statsBefore = readStoreStats(options.store);
    const TimePoint start = clock.now();
    const std::string runPrefix = std::to_string(wallClock.nowMs()) + '-';
    std::vector<std::thread> threads;
    for (int i = 0; i < options.claimers; ++i) {
        Ledger &ledger = *ledgers[static_cast<size_t>(i % options.ledgers)];
        threads.emplace_back(
            [&, i] { claimKeysUntil(ledger, options, runPrefix + std::to_string(i) + '-', start + std::chrono::seconds(options.seconds), totals); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    bool hasFlushed = true;
    for (const auto &ledger : ledgers) {
        hasFlushed = ledger->flush(std::chrono::seconds(30)) && hasFlushed;
    }
    const double seconds = std::chrono::duration<double>(clock.now() - start).count();
    if (totals.latenciesMs.empty()) {
        std::cerr << "no claim was won during the measurement\n";
        return 1;
    }
    printResults(options, totals, statsBefore, readStoreStats(options.store), seconds);
    return hasFlushed ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Measures the latency and the store operations of claims against a stand-in store" };
    MeasurementOptions options;
    app.add_option("--store", options.store, "ip:port of the stand-in store")->required();
    app.add_option("--ledgers", options.ledgers, "number of claim ledgers, each with its own store connections and batches, like a daemon")
        ->check(CLI::Range(1, 64));
    app.add_option("--claimers", options.claimers, "number of threads that claim concurrently, spread over the ledgers")->check(CLI::Range(1, 512));
    app.add_option("--seconds", options.seconds)->check(CLI::Range(1, 600));
    app.add_option("--batch-delay-us", options.batchDelayUs)->check(CLI::Range(0, 1'000'000));
    app.add_option("--pause-ms", options.pauseMs, "pause of each claimer between two claims, in milliseconds")->check(CLI::Range(0, 10'000));
    app.add_option("--record", options.record, "whether to record the result of each claim");
    CLI11_PARSE(app, argc, argv);
    EventLog::initialise(LogLevel::Error);
    return measure(options);
}
