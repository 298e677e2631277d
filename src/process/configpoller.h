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

/** The part of the store that a ConfigPoller reads. An empty result means that the store gave no answer in time. */
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

/** Settings of a ConfigPoller. */
struct ConfigPollerOptions {
    Duration interval = std::chrono::seconds(1);
    /** Longest wait after failures. Short enough for a version that is published right after an outage to be in force in 9 s. */
    Duration maxBackoff = std::chrono::seconds(4);
    uint64_t randomSeed = std::random_device {}();
};

/** What a ConfigPoller asks of the rest of the daemon. */
struct ConfigPollerHooks {
    std::function<bool()> isRepresentative; /**< Whether this daemon polls for its region. */
    std::function<bool()> isReady; /**< Whether a peer has told the configurations already. */
    std::function<void()> polled; /**< Called after the store has told all configurations. */
    std::function<void()> accepted; /**< Called after a new version came into force, to push it at once. */
};

/**
 * Reads new configurations from the store: once at start on each daemon, and then on the representatives only.
 *
 * @tparam S  the store; its methods block until its timeout
 */
template<ConfigSource S, MonotonicClock C>
class ConfigPoller
{
public:
    /** All references must outlive this object. */
    ConfigPoller(S &store, const C &clock, ConfigTable &configs, ConfigPollerOptions options, ConfigPollerHooks hooks)
        : m_store(store)
        , m_clock(clock)
        , m_configs(configs)
        , m_options(options)
        , m_hooks(std::move(hooks))
        , m_random(m_options.randomSeed)
        , m_nextAt(clock.now())
    {
    }

    /** @return time until poll() has something to do; it may be called earlier */
    Duration untilNext() const
    {
        return std::max(m_nextAt - m_clock.now(), Duration::zero());
    }

    /** Reads the store if it is time. Blocks; call it from one thread only, which has nothing else to do. */
    void poll()
    {
        if (m_clock.now() < m_nextAt) {
            return;
        }
        const bool isStart = !m_hasStarted && !(m_failures > 0 && m_hooks.isReady());
        if (!isStart && !m_hooks.isRepresentative()) {
            m_nextAt = m_clock.now() + jittered(m_options.interval);
            return;
        }
        if (readAll()) {
            m_failures = 0;
            m_hasStarted = true;
            m_nextAt = m_clock.now() + jittered(m_options.interval);
            m_hooks.polled();
        } else {
            noteFailure();
        }
    }

private:
    /** @return between three quarters of @p wait and all of it, so that daemons don't read at the same time for long */
    Duration jittered(Duration wait)
    {
        return std::chrono::duration_cast<Duration>(wait * std::uniform_real_distribution<double>(0.75, 1.0)(m_random));
    }

    void noteFailure()
    {
        constexpr uint32_t MaxDoublings = 8;
        const Duration wait = std::min(m_options.maxBackoff, m_options.interval * (1U << std::min(m_failures, MaxDoublings)));
        m_nextAt = m_clock.now() + jittered(wait);
        ++m_failures;
        // A long outage gets few lines: at failures 1, 2, 4, 8 and so on.
        if ((m_failures & (m_failures - 1)) == 0) {
            EventLog::write(LogLevel::Warning, Event::ConfigPollFailed, { { "failures", std::to_string(m_failures) } });
        }
    }

    /** @return whether the store told all configurations */
    bool readAll()
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
                isComplete &= readRow(std::string(row.key).substr(prefix.size()), row.version, row.value, hasAccepted);
            }
        }
        if (hasAccepted) {
            m_hooks.accepted();
        }
        return isComplete;
    }

    bool readRow(const std::string &service, uint64_t version, const nlohmann::json &value, bool &hasAccepted)
    {
        ConfigEntry entry;
        entry.service = service;
        entry.version = version;
        entry.hash = textIn(value, "hash");
        entry.publisher = textIn(value, "publisher");
        entry.publishId = textIn(value, "publish_id");
        entry.publishedAtMs = numberIn(value, "published_at_ms");
        if (const auto handled = m_handled.find(service); handled != m_handled.end() && handled->second == std::pair(version, entry.hash)) {
            return true;
        }
        const auto inForce = m_configs.entry(service);
        if (inForce && inForce->version == version && inForce->hash == entry.hash) {
            return true;
        }
        const bool isOlder = inForce && inForce->version > version;
        if (isOlder || entry.hash.empty() || numberIn(value, "version") != version) {
            EventLog::write(LogLevel::Warning,
                            Event::ConfigRejected,
                            { { "service", service }, { "version", std::to_string(version) }, { "reason", isOlder ? "older" : "malformed-row" } });
            m_handled[service] = { version, entry.hash };
            return true;
        }
        std::optional<std::string> content = m_store.getObject("config-" + entry.hash);
        if (!content) {
            return false;
        }
        entry.content = std::move(*content);
        const ConfigOffer offer = m_configs.offer(entry);
        hasAccepted |= offer == ConfigOffer::Accepted;
        if (offer == ConfigOffer::WrongHash) {
            // The object may still be in transfer; the next poll reads it again.
            return false;
        }
        m_handled[service] = { version, entry.hash };
        return true;
    }

    static std::string textIn(const nlohmann::json &value, const char *name)
    {
        const auto found = value.is_object() ? value.find(name) : value.end();
        return found != value.end() && found->is_string() ? found->template get<std::string>() : std::string();
    }

    static uint64_t numberIn(const nlohmann::json &value, const char *name)
    {
        const auto found = value.is_object() ? value.find(name) : value.end();
        return found != value.end() && found->is_number_unsigned() ? found->template get<uint64_t>() : 0;
    }

    S &m_store;
    const C &m_clock;
    ConfigTable &m_configs;
    const ConfigPollerOptions m_options;
    const ConfigPollerHooks m_hooks;
    std::mt19937_64 m_random;
    TimePoint m_nextAt;
    uint32_t m_failures = 0;
    bool m_hasStarted = false;
    std::map<std::string, std::pair<uint64_t, std::string>> m_handled; /**< Last version looked at, by service. */
};

} // namespace carobjunction
