#pragma once

#include <carobjunction/process/clock.h>

#include <random>
#include <string>

namespace carobjunction
{

/** Which thread carries out the work of a ClaimLedger. */
enum class ClaimThreads {
    Own, /**< Threads of the ledger. */
    Caller, /**< The thread that calls claim() and runBackground(), so that a test controls the order. */
};

/** Settings of a ClaimLedger. */
struct ClaimOptions {
    std::string daemon; /**< Id of this daemon, recorded in claims. */
    Duration batchDelay = std::chrono::milliseconds(2); /**< Longest time that a claim waits for others to share its transaction. */
    Duration recordDelay = std::chrono::milliseconds(10); /**< The same for releases and results. */
    Duration tombstoneWindow = std::chrono::hours(24); /**< Expiry of the row that keeps out a late insert of a released claim. */
    Duration firstPause = std::chrono::milliseconds(50); /**< Pause after a failed background write; doubles with each failure. */
    Duration longestPause = std::chrono::seconds(10);
    size_t maxPending = 20'000; /**< Results held for recording; further ones are dropped. New claims stop at half of it. */
    size_t maxPendingBytes = 16U << 20U; /**< Of results held; beyond it only the status is recorded. */
    ClaimThreads threads = ClaimThreads::Own;
    uint64_t seed = std::random_device {}();
};

/** Largest number of ops in one transaction or read. */
constexpr size_t MaxClaimBatch = 500;

} // namespace carobjunction
