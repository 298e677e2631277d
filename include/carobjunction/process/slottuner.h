#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace carobjunction
{

/** Mean of a number of answers. */
struct AnswerMean {
    double value = 1;
    uint32_t answers = 0;
};

/** Time of work relative to what is usual for its kind, under the two limits that a SlotTuner compares. */
struct SlotEvidence {
    AnswerMean upper;
    AnswerMean lower;

    /** Adds the answers of another backend server of the service. */
    void add(const SlotEvidence &other);
};

/**
 * Finds how many requests a backend server should run at once. Some servers slow down when they are nearly full, so that fewer
 * requests at once give more answers a second; others don't, and their last slots are worth using.
 *
 * Under load, two limits are used by turns, and the time that the same kinds of work take under each is compared. The alternation
 * cancels what changes beside the limit, such as the load of services that are called. Not thread-safe.
 */
class SlotTuner
{
public:
    /** The lower limit, as a part of the slots. */
    static constexpr double LowerShare = 0.8;
    /** Requests started under load before the limit may change. */
    static constexpr uint32_t EpochStarts = 24;
    /** Answers under each limit before they are compared. */
    static constexpr uint32_t LeastAnswers = 40;
    /** Every how many epochs the limit that did worse is tried again. */
    static constexpr uint32_t TrialInterval = 8;

    /** Under which limit a request started, for onAnswer(). */
    enum class Mark {
        Unloaded, /**< The limit made no difference. */
        Upper,
        Lower,
    };

    /** @param slots  requests that the backend server runs at once */
    void setSlots(uint32_t slots);

    /** @return requests that may run at once now */
    uint32_t limit() const
    {
        return m_isLower ? m_lower : m_upper;
    }

    /** @param running  requests that run, this one included */
    Mark onStart(uint32_t running);

    /**
     * Takes an answer into account.
     * @param kind  requests of one kind take similar time
     * @param seconds  time at the backend server
     */
    void onAnswer(Mark mark, const std::string &kind, double seconds);

    /** @return what the answers of this backend server show */
    const SlotEvidence &evidence() const
    {
        return m_own;
    }

    /** @param others  what the answers of the other backend servers of the service show; they are alike */
    void setOthers(const SlotEvidence &others)
    {
        m_others = others;
    }

private:
    void endEpoch();
    bool isLowerBetter(const SlotEvidence &evidence) const;

    uint32_t m_upper = 1;
    uint32_t m_lower = 1;
    bool m_isLower = false;
    uint32_t m_starts = 0;
    uint32_t m_epochs = 0;
    SlotEvidence m_own;
    SlotEvidence m_others;
    std::unordered_map<std::string, AnswerMean> m_usual; /**< Seconds of each kind. */
};

} // namespace carobjunction
