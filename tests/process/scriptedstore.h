#pragma once

#include "../../tools/standin-store/memorystore.h"
#include "process/wallclock.h"

#include <carobjunction/process/clock.h>

#include <deque>
#include <functional>

namespace carobjunction
{

/** Monotonic clock that a test sets. */
struct ManualClock {
    TimePoint time {};

    TimePoint now() const
    {
        return time;
    }
};

/** Wall clock that a test sets. */
struct ManualWallClock {
    int64_t ms = 1'800'000'000'000;

    int64_t nowMs() const
    {
        return ms;
    }
};

/** Fault that a ScriptedStore injects into one call. */
enum class InjectedFault {
    None,
    Refused, /**< The call is not applied, and the caller receives a definite error. */
    LostRequest, /**< The call is not applied, and the caller receives a time-out with an unknown result. */
    LostAnswer, /**< The call is applied, and the caller receives a time-out with an unknown result. */
    Delayed, /**< The call is applied by applyDelayedWrites(); the caller receives a time-out with an unknown result. */
};

/** MemoryStore into whose calls the faults of a script are injected, one per call. Calls after the end of the script succeed. */
class ScriptedStore
{
public:
    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic)
    {
        ++transactionCount;
        const InjectedFault fault = takeFault(writeFaults);
        if (fault == InjectedFault::Refused) {
            return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "script" });
        }
        if (fault == InjectedFault::Delayed) {
            m_delayedWrites.push_back({ ops, atomic });
        }
        if (fault == InjectedFault::None || fault == InjectedFault::LostAnswer) {
            auto result = memory.transact(ops, atomic);
            if (fault == InjectedFault::None) {
                return result;
            }
        }
        return LastError<StoreError>::fail({ StoreErrorCode::Timeout, true, "script" });
    }

    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys)
    {
        if (onBeforeRead) {
            onBeforeRead();
        }
        if (takeFault(readFaults) != InjectedFault::None) {
            return LastError<StoreError>::fail({ StoreErrorCode::Timeout, false, "script" });
        }
        return memory.read(keys);
    }

    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix)
    {
        return memory.readPrefix(prefix);
    }

    bool putObject(const std::string &name, const std::string &bytes)
    {
        return memory.putObject(name, bytes);
    }

    std::optional<std::string> getObject(const std::string &name)
    {
        return memory.getObject(name);
    }

    /** Applies the delayed writes. @param includesAtomic  whether delayed atomic transactions are applied as well */
    void applyDelayedWrites(bool includesAtomic)
    {
        std::vector<DelayedWrite> remainingWrites;
        for (const DelayedWrite &write : m_delayedWrites) {
            if (write.atomic && !includesAtomic) {
                remainingWrites.push_back(write);
            } else {
                memory.transact(write.ops, write.atomic);
            }
        }
        m_delayedWrites = std::move(remainingWrites);
    }

    MemoryStore memory;
    std::deque<InjectedFault> writeFaults; /**< Faults of the next calls of transact(). */
    std::deque<InjectedFault> readFaults; /**< Faults of the next calls of read(). */
    std::function<void()> onBeforeRead; /**< Called at the start of each read(), if set. */
    int transactionCount = 0; /**< Number of calls of transact(). */

private:
    struct DelayedWrite {
        std::vector<StoreOp> ops;
        bool atomic = false;
    };

    static InjectedFault takeFault(std::deque<InjectedFault> &script)
    {
        if (script.empty()) {
            return InjectedFault::None;
        }
        const InjectedFault fault = script.front();
        script.pop_front();
        return fault;
    }

    std::vector<DelayedWrite> m_delayedWrites;
};

static_assert(Store<ScriptedStore>);

} // namespace carobjunction
