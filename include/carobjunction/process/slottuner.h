#pragma once

#include <carobjunction/process/clock.h>

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

/** What requests under one limit experienced. */
struct LimitMeans {
    AnswerMean ratio; /**< Time of the work relative to what is usual for its kind. */
    AnswerMean running; /**< Requests that ran beside it, itself included. */

    /** @return answers a second, relative to those of one request alone */
    double rate() const
    {
        return running.value / ratio.value;
    }
};

/** What was seen under the two limits that a SlotTuner compares. */
struct SlotEvidence {
    LimitMeans upper;
    LimitMeans lower;

    /** Adds the answers of another backend server of the service. */
    void add(const SlotEvidence &other);
};

/**
 * Finds how many requests a backend server should run at once. Some servers slow down when they are nearly full, so that fewer
 * requests at once give more answers a second; others don't, and their last slots are worth using.
 *
 * Under load, the limit that did worse is tried from time to time, and the time that the same kinds of work take under each is
 * compared. Short trials beside the other limit cancel most of what changes meanwhile, such as the load of services that are called.
 * Not thread-safe.
 */
class SlotTuner
{
public:
    /** The lower limit, as a part of the slots. */
    static constexpr double LowerShare = 0.8;
    /** Time for which the limit that did worse is tried. */
    static constexpr Duration TrialTime = std::chrono::milliseconds(1500);
    /** Time from one trial to the next. */
    static constexpr Duration TrialInterval = std::chrono::seconds(10);
    /** The same, while there are too few answers to compare. */
    static constexpr Duration FirstTrialInterval = std::chrono::seconds(4);
    /** Answers under each limit before they are compared. */
    static constexpr uint32_t LeastAnswers = 40;
    /** Advantage in answers a second from which on the upper limit is used. */
    static constexpr double UpperAdvantage = 1.03;
    /** Under which limit a request started, for onAnswer(). */
    enum class Mark {
        Unloaded, /**< The limit made no difference. */
        Upper,
        Lower,
    };

    /**
     * Starts at the lower limit, since too many requests at once cost more than too few.
     * @param slots  requests that the backend server runs at once; what was learned is kept while they stay the same
     */
    void setSlots(uint32_t slots);

    /** @return requests that may run at once now */
    uint32_t limit() const
    {
        return m_isUpperBetter != m_isTrial ? m_upper : m_lower;
    }

    /** @param running  requests that run, this one included */
    Mark onStart(uint32_t running, TimePoint now);

    /**
     * Takes an answer into account.
     * @param running  requests that ran until now, this one included
     * @param kind  requests of one kind take similar time
     * @param seconds  time at the backend server
     */
    void onAnswer(Mark mark, uint32_t running, const std::string &kind, double seconds);

    /** @return what the answers of this backend server show */
    const SlotEvidence &evidence() const
    {
        return m_own;
    }

    /**
     * Compares the limits. To be called about twice a second.
     * @param others  what the answers of the other backend servers of the service show; they are alike
     */
    void learn(const SlotEvidence &others);

private:
    uint32_t m_upper = 1;
    uint32_t m_lower = 1;
    bool m_isUpperBetter = false;
    bool m_isTrial = false;
    bool m_hasLearned = false;
    TimePoint m_trialEndsAt;
    TimePoint m_nextTrialAt;
    SlotEvidence m_own;
    std::unordered_map<std::string, AnswerMean> m_usual; /**< Seconds of each kind, at most at the lower limit. */
};

} // namespace carobjunction
