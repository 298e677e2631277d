#pragma once

#include <carobjunction/process/clock.h>

#include <random>
#include <string>

namespace carobjunction
{

/** Threads that run the store operations of a ClaimLedger. */
enum class ClaimThreads {
    Dedicated, /**< Background threads of the ClaimLedger. */
    Caller, /**< The thread that calls claim() and writePendingBatch(), so that a test controls the order. */
};

/** Options of a ClaimLedger. */
struct ClaimOptions {
    std::string daemon; /**< Id of this daemon, recorded in claims. */
    /** Time for which the first claim of a batch waits for others to share its transaction; longer while the store is overloaded. */
    Duration batchDelay = std::chrono::milliseconds(2);
    /** Time for which releases and results are collected into a batch; longer after failed writes. */
    Duration recorderBatchDelay = std::chrono::milliseconds(10);
    /** Time until the row of a released claim expires; until then it makes a late insert of that claim fail. */
    Duration tombstoneLifetime = std::chrono::hours(24);
    Duration initialBackoff = std::chrono::milliseconds(50); /**< Backoff after the first failed background write; doubles with each further failure. */
    Duration maxBackoff = std::chrono::seconds(10); /**< Limit of that backoff. */
    /** Limit of pending releases and results. At the limit, further results are dropped; at half of it, new claims are refused. */
    size_t maxPendingUpdates = 20'000;
    size_t maxPendingResultBytes = 16U << 20U; /**< Limit of headers and bodies held in pending results, in bytes. Beyond it, only the status is recorded. */
    ClaimThreads threads = ClaimThreads::Dedicated;
    uint64_t seed = std::random_device {}();
};

/** Maximum number of operations in one transaction, and of keys in one read. */
constexpr size_t MaxClaimBatchSize = 500;

} // namespace carobjunction
