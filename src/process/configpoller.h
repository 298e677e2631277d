#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/version/configtable.h>

#include "process/eventlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

namespace carobjunction
{

/** Read operations of the store that a ConfigPoller uses. They return empty if the call failed. */
template<typename S>
concept ConfigSource = requires(S &store, const std::string &text)
{
    {
        (*store.readPrefix(text)).begin()->key
        } -> std::convertible_to<std::string>;
    {
        (*store.readPrefix(text)).begin()->version
        } -> std::convertible_to<uint64_t>;
    {
        (*store.readPrefix(text)).begin()->value
        } -> std::convertible_to<nlohmann::json>;
    {
        store.getObject(text)
        } -> std::same_as<std::optional<std::string>>;
};

/** Options of a ConfigPoller. */
struct ConfigPollerOptions {
    Duration interval = std::chrono::seconds(1); /**< Time between two polls of a representative. */
    /** Limit of the backoff after failed polls. Short enough for a version published right after an outage to be in force within 9 s. */
    Duration maxBackoff = std::chrono::seconds(4);
    uint64_t randomSeed = std::random_device {}();
};

/** Callbacks of a ConfigPoller to the daemon. */
struct ConfigPollerCallbacks {
    std::function<bool()> isRepresentative; /**< Returns whether this daemon polls for its region. */
    std::function<bool()> isReady; /**< Returns whether the configurations have already been received from a peer. */
    std::function<void()> onPollSucceeded; /**< Called after all configurations were read from the store. */
    std::function<void()> onVersionAccepted; /**< Called after a new version has come into force, so that it is pushed to peers immediately. */
};

/**
 * Polls the store for new versions of the service configurations. Each daemon reads them once at start, unless a peer has supplied them
 * while the store was failing; afterwards, only representatives poll.
 *
 * @tparam S  store, whose methods block for up to its timeout
 */
template<ConfigSource S, MonotonicClock C>
class ConfigPoller
{
public:
    /** All references must outlive this object. */
    ConfigPoller(S &store, const C &clock, ConfigTable &configs, ConfigPollerOptions options, ConfigPollerCallbacks callbacks)
        : m_store(store)
        , m_clock(clock)
        , m_configs(configs)
        , m_options(options)
        , m_callbacks(std::move(callbacks))
        , m_random(m_options.randomSeed)
        , m_nextPollAt(clock.now())
    {
    }

    /** @return time until the next poll is due; poll() may be called earlier */
    Duration untilNextPoll() const
    {
        return std::max(m_nextPollAt - m_clock.now(), Duration::zero());
    }

    /** Reads the store if a poll is due. Blocks, so call it from one dedicated thread only. */
    void poll()
    {
        if (m_clock.now() < m_nextPollAt) {
            return;
        }
        const bool isInitialPoll = !m_hasPolled && !(m_consecutiveFailures > 0 && m_callbacks.isReady());
        if (!isInitialPoll && !m_callbacks.isRepresentative()) {
            m_nextPollAt = m_clock.now() + withJitter(m_options.interval);
            return;
        }
        if (readConfigs()) {
            m_consecutiveFailures = 0;
            m_hasPolled = true;
            m_nextPollAt = m_clock.now() + withJitter(m_options.interval);
            m_callbacks.onPollSucceeded();
        } else {
            backOff();
        }
    }

private:
    /** @return a random time from 75 to 100 % of @p delay, so that daemons don't poll in step */
    Duration withJitter(Duration delay)
    {
        return std::chrono::duration_cast<Duration>(delay * std::uniform_real_distribution<double>(0.75, 1.0)(m_random));
    }

    /** Schedules the next poll after a failed one and logs the failure. */
    void backOff()
    {
        constexpr uint32_t MaxDoublings = 8;
        const Duration delay = std::min(m_options.maxBackoff, m_options.interval * (1U << std::min(m_consecutiveFailures, MaxDoublings)));
        m_nextPollAt = m_clock.now() + withJitter(delay);
        ++m_consecutiveFailures;
        // Logs only failures 1, 2, 4, 8 and so on, to limit the log volume of a long outage.
        if ((m_consecutiveFailures & (m_consecutiveFailures - 1)) == 0) {
            EventLog::write(LogLevel::Warning, Event::ConfigPollFailed, { { "failures", std::to_string(m_consecutiveFailures) } });
        }
    }

    /** @return whether all configurations were read */
    bool readConfigs()
    {
        const std::string prefix = "config/";
        const auto rows = m_store.readPrefix(prefix);
        if (!rows) {
            return false;
        }
        bool isComplete = true;
        bool hasAccepted = false;
        for (const auto &row : *rows) {
            if (std::string(row.key).starts_with(prefix)) {
                isComplete &= readConfig(std::string(row.key).substr(prefix.size()), row.version, row.value, hasAccepted);
            }
        }
        if (hasAccepted) {
            m_callbacks.onVersionAccepted();
        }
        return isComplete;
    }

    /**
     * Reads the configuration of one service if its row names a new version.
     * @param hasAccepted  set to true if the version came into force
     * @return false if the row must be read again by the next poll
     */
    bool readConfig(const std::string &service, uint64_t version, const nlohmann::json &value, bool &hasAccepted)
    {
        ConfigEntry entry;
        entry.service = service;
        entry.version = version;
        entry.hash = stringMember(value, "hash");
        entry.publisher = stringMember(value, "publisher");
        entry.publishId = stringMember(value, "publish_id");
        entry.publishedAtMs = unsignedMember(value, "published_at_ms");
        if (const auto processed = m_processed.find(service); processed != m_processed.end() && processed->second == std::pair(version, entry.hash)) {
            return true;
        }
        const auto inForce = m_configs.entry(service);
        if (inForce && inForce->version == version && inForce->hash == entry.hash) {
            return true;
        }
        const bool isOlder = inForce && inForce->version > version;
        if (isOlder || entry.hash.empty() || unsignedMember(value, "version") != version) {
            EventLog::write(LogLevel::Warning,
                            Event::ConfigRejected,
                            { { "service", service }, { "version", std::to_string(version) }, { "reason", isOlder ? "older" : "malformed-row" } });
            m_processed[service] = { version, entry.hash };
            return true;
        }
        std::optional<std::string> content = m_store.getObject("config-" + entry.hash);
        if (!content) {
            return false;
        }
        entry.content = std::move(*content);
        const ConfigOfferResult offer = m_configs.offer(entry);
        hasAccepted |= offer == ConfigOfferResult::Accepted;
        if (offer == ConfigOfferResult::WrongHash) {
            // The object may not yet be fully stored; the next poll reads it again.
            return false;
        }
        m_processed[service] = { version, entry.hash };
        return true;
    }

    /** @return the member @p name of @p value; empty if it is missing or not a string */
    static std::string stringMember(const nlohmann::json &value, const char *name)
    {
        const auto found = value.is_object() ? value.find(name) : value.end();
        return found != value.end() && found->is_string() ? found->template get<std::string>() : std::string();
    }

    /** @return the member @p name of @p value; 0 if it is missing or not an unsigned number */
    static uint64_t unsignedMember(const nlohmann::json &value, const char *name)
    {
        const auto found = value.is_object() ? value.find(name) : value.end();
        return found != value.end() && found->is_number_unsigned() ? found->template get<uint64_t>() : 0;
    }

    S &m_store;
    const C &m_clock;
    ConfigTable &m_configs;
    const ConfigPollerOptions m_options;
    const ConfigPollerCallbacks m_callbacks;
    std::mt19937_64 m_random;
    TimePoint m_nextPollAt;
    uint32_t m_consecutiveFailures = 0;
    bool m_hasPolled = false;
    std::map<std::string, std::pair<uint64_t, std::string>> m_processed; /**< Version and hash last processed, by service; they are not read again. */
};

} // namespace carobjunction
