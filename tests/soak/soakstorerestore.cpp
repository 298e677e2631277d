// Restores of the store of SoakCluster from older copies.

#include "soakcluster.h"

namespace carobjunction::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto CopyInterval = 2s;
constexpr int MaxOtherRows = 20; // rows of other writers that are written again after a restore

} // namespace

Task<void> SoakCluster::keepCopiesOfStore()
{
    while (!m_isFinished) {
        m_store.takeCopy();
        co_await pause(CopyInterval);
    }
}

/**
 * Lets the store be away for a moment and return from a copy, beside all other faults. Often a configuration is published just before. The operator then writes
 * its configuration again, or a newer one, and other writers write their rows again, so that the versions pass those that the daemons have read. The restores
 * use random numbers of their own, so that a seed keeps its faults.
 */
Task<void> SoakCluster::restoreStoreRepeatedly()
{
    std::mt19937_64 random(m_options.seed);
    const auto choose = [&random](int64_t minimum, int64_t maximum) {
        return std::uniform_int_distribution<int64_t>(minimum, maximum)(random);
    };
    const TimePoint end = m_startedAt + 3s + m_options.faultInjectionTime;
    while (true) {
        co_await pause(std::chrono::milliseconds(choose(4'000, 8'000)));
        if (SteadyClock().now() > end) {
            co_return;
        }
        if (choose(0, 1) == 0) {
            publishVersion();
            co_await pause(std::chrono::milliseconds(choose(20, 300)));
        }
        const bool isSilent = choose(0, 1) == 0;
        const auto time = std::chrono::milliseconds(choose(20, 1'500));
        logEvent(std::string("store restored from a copy after it was ") + (isSilent ? "silent" : "down"));
        m_guarantees.onStoreFault(SteadyClock().now() + time);
        (isSilent ? m_store.isSilent : m_store.isDown) = true;
        co_await pause(time);
        m_store.restoreCopy();
        if (choose(0, 1) == 0) {
            m_store.put("op", "config", m_configuration);
        } else {
            publishVersion();
        }
        for (int64_t row = choose(0, MaxOtherRows); row > 0; --row) {
            m_store.put("servers", "row-" + std::to_string(row), "{}");
        }
        (isSilent ? m_store.isSilent : m_store.isDown) = false;
    }
}

} // namespace carobjunction::soak
