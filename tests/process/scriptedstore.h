#pragma once

#include "../../tools/standin-store/memorystore.h"
#include "process/wallclock.h"

#include <carobjunction/process/clock.h>

#include <deque>
#include <functional>

namespace carobjunction
{

struct ManualClock {
    TimePoint time {};

    TimePoint now() const
    {
        return time;
    }
};

struct ManualWallClock {
    int64_t ms = 1'800'000'000'000;

    int64_t nowMs() const
    {
        return ms;
    }
};

/** What happens to one call of a ScriptedStore. */
enum class Fault {
    None,
    Refused, /**< Not applied, and the caller knows. */
    LostRequest, /**< Not applied, and the caller does not know. */
    LostAnswer, /**< Applied, and the caller does not know. */
    Late, /**< Applied when deliverLate() is called; the caller does not know. */
};

/** MemoryStore whose calls fail by a script; without one they succeed. */
class ScriptedStore
{
public:
    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic)
    {
        ++transactions;
        const Fault fault = next(writeFaults);
        if (fault == Fault::Refused) {
            return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "script" });
        }
        if (fault == Fault::Late) {
            m_late.push_back({ ops, atomic });
        }
        if (fault == Fault::None || fault == Fault::LostAnswer) {
            auto result = memory.transact(ops, atomic);
            if (fault == Fault::None) {
                return result;
            }
        }
        return LastError<StoreError>::fail({ StoreErrorCode::Timeout, true, "script" });
    }

    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys)
    {
        if (beforeRead) {
            beforeRead();
        }
        if (next(readFaults) != Fault::None) {
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

    /** Applies the late writes. @param atomicToo  whether atomic transactions are among them */
    void deliverLate(bool atomicToo)
    {
        std::vector<LateWrite> kept;
        for (const LateWrite &write : m_late) {
            if (write.atomic && !atomicToo) {
                kept.push_back(write);
            } else {
                memory.transact(write.ops, write.atomic);
            }
        }
        m_late = std::move(kept);
    }

    MemoryStore memory;
    std::deque<Fault> writeFaults;
    std::deque<Fault> readFaults;
    std::function<void()> beforeRead;
    int transactions = 0;

private:
    struct LateWrite {
        std::vector<StoreOp> ops;
        bool atomic = false;
    };

    static Fault next(std::deque<Fault> &script)
    {
        if (script.empty()) {
            return Fault::None;
        }
        const Fault fault = script.front();
        script.pop_front();
        return fault;
    }

    std::vector<LateWrite> m_late;
};

static_assert(Store<ScriptedStore>);

} // namespace carobjunction
