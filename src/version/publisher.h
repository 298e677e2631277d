#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/version/serviceconfigparser.h>

#include "process/storetypes.h"
#include "version/configrow.h"
#include "version/linediff.h"
#include "version/publishid.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** Result of publishing. */
enum class PublishOutcome {
    Published, /**< This publishing is in force. */
    Unchanged, /**< The same content was in force already. */
    Invalid, /**< The file has faults. Nothing was written. */
    Conflict, /**< Another publishing came first. This one is not in force. */
    StoreUnavailable, /**< The store gave no answer, and the configuration in force was not changed. */
    Unresolved, /**< The store gave no answer to the write, which may still take effect. Resume with the publish id. */
};

template<>
struct EnumNames<PublishOutcome> {
    static constexpr std::pair<PublishOutcome, std::string_view> Table[] = {
        { PublishOutcome::Published, "published" },
        { PublishOutcome::Unchanged, "unchanged" },
        { PublishOutcome::Invalid, "invalid" },
        { PublishOutcome::Conflict, "conflict" },
        { PublishOutcome::StoreUnavailable, "store-unavailable" },
        { PublishOutcome::Unresolved, "unresolved" },
    };
};

/** What to publish, and by whom. */
struct PublishRequest {
    std::string text; /**< Content of the service configuration file. */
    std::string file; /**< Name used in faults. */
    std::string publisher;
    uint64_t publishedAtMs = 0; /**< Milliseconds since 1970-01-01 UTC. */
    std::string token; /**< Random part of a new publish id. */
    std::optional<PublishId> resumeId; /**< Publish id of an earlier attempt with the same text. */
    std::function<void(const std::string &)> onPublishId; /**< Called with the publish id before the first write; may be empty. */
};

struct PublishResult {
    PublishOutcome outcome = PublishOutcome::StoreUnavailable;
    std::vector<ConfigFault> faults;
    std::string service;
    std::string hash;
    std::string publishId;
    std::optional<ConfigEntry> inForce; /**< Configuration in force without its content, as far as it is known. */
    std::vector<std::string> difference; /**< On a conflict: `-` lines of the winner, `+` lines of this file. */
    bool mayHaveBeenInForce = false; /**< On a conflict: this publishing may have been in force before the winner's. */
};

/**
 * Publishes service configurations: the content first, under its hash, and then the row that names the hash, on the
 * condition that the row has not changed. So a row never names content that is not there, and of two concurrent
 * publishings one wins completely.
 */
template<Store S>
class Publisher
{
public:
    explicit Publisher(S &store) : m_store(store)
    {
    }

    PublishResult publish(const PublishRequest &request)
    {
        PublishResult result;
        ServiceConfigResult parsed = ServiceConfigParser::parse(request.text, request.file);
        if (!parsed.config) {
            result.outcome = PublishOutcome::Invalid;
            result.faults = std::move(parsed.faults);
            return result;
        }
        result.service = parsed.config->service;
        result.hash = parsed.config->hash;
        const auto current = readRow(result.service);
        if (!current) {
            return result;
        }
        const PublishId id = request.resumeId.value_or(PublishId { current->version, request.token });
        result.publishId = id.toString();
        if (current->version != id.baseVersion || current->config.hash == result.hash) {
            resolveOutcome(result, request, id, current->config, request.resumeId.has_value());
            return result;
        }
        if (request.onPublishId) {
            request.onPublishId(result.publishId);
        }
        if (!writeObject(ConfigRow::objectName(result.hash), request.text)) {
            return result;
        }
        writeRow(result, request, id);
        return result;
    }

    /**
     * @param service  name of a service, or empty for all
     * @return the configurations in force, or empty if the store gives no answer
     */
    std::optional<std::vector<ConfigEntry>> inForce(const std::string &service)
    {
        const auto rows
            = service.empty() ? m_store.readPrefix(std::string(ConfigRow::KeyPrefix)) : m_store.read(std::vector<std::string> { ConfigRow::rowKey(service) });
        if (!rows) {
            return std::nullopt;
        }
        std::vector<ConfigEntry> configs;
        for (const StoreRow &row : *rows) {
            if (auto config = ConfigRow::parse(row)) {
                configs.push_back(std::move(*config));
            }
        }
        return configs;
    }

    /** @return the content with the SHA-256 @p hash, or empty if the store does not give it */
    std::optional<std::string> content(const std::string &hash)
    {
        std::optional<std::string> text = m_store.getObject(ConfigRow::objectName(hash));
        if (!text || ConfigTable::sha256(*text) != hash) {
            return std::nullopt;
        }
        return text;
    }

private:
    // A lost answer is followed by a read and, if the row is unchanged, by the same conditional write.
    static constexpr int MaxWriteAttempts = 3;

    struct CurrentRow {
        uint64_t version = 0; /**< 0 if the row is absent. */
        ConfigEntry config; /**< Default values if the row is absent or malformed. */
    };

    std::optional<CurrentRow> readRow(const std::string &service)
    {
        const std::string key = ConfigRow::rowKey(service);
        const auto rows = m_store.read(std::vector<std::string> { key });
        if (!rows) {
            return std::nullopt;
        }
        CurrentRow current;
        for (const StoreRow &row : *rows) {
            if (row.key == key && row.version != 0) {
                current.version = row.version;
                current.config = ConfigRow::parse(row).value_or(ConfigEntry());
                current.config.version = row.version;
            }
        }
        return current;
    }

    /** Objects are named by their content, so writing one again is harmless. */
    bool writeObject(const std::string &name, const std::string &text)
    {
        for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
            if (m_store.putObject(name, text)) {
                return true;
            }
            const std::optional<std::string> stored = m_store.getObject(name);
            if (stored && *stored == text) {
                return true;
            }
        }
        return false;
    }

    void writeRow(PublishResult &result, const PublishRequest &request, const PublishId &id)
    {
        const ConfigEntry config { result.service, id.baseVersion + 1, result.hash, request.publisher, result.publishId, request.publishedAtMs, "" };
        const std::vector<StoreOp> ops { { ConfigRow::rowKey(result.service), id.baseVersion, ConfigRow::toRowValue(config) } };
        bool mayHaveBeenWritten = request.resumeId.has_value();
        bool isWriteRefused = false;
        for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
            const auto written = m_store.transact(ops, true);
            if (written && written->committed) {
                result.outcome = PublishOutcome::Published;
                result.inForce = config;
                return;
            }
            mayHaveBeenWritten = mayHaveBeenWritten || (!written && LastReason<StoreError>::get().mayHaveTakenEffect);
            isWriteRefused = isWriteRefused || written;
            const auto current = readRow(result.service);
            if (current && current->version != id.baseVersion) {
                resolveOutcome(result, request, id, current->config, mayHaveBeenWritten);
                return;
            }
        }
        // A refused write means that the row had changed already.
        result.outcome = mayHaveBeenWritten ? PublishOutcome::Unresolved : isWriteRefused ? PublishOutcome::Conflict : PublishOutcome::StoreUnavailable;
    }

    /**
     * Decides the outcome when the row is not the one that the publishing builds on, or has the same content.
     * @param mayHaveBeenWritten  whether a write with this publish id may have taken effect
     */
    void resolveOutcome(PublishResult &result, const PublishRequest &request, const PublishId &id, const ConfigEntry &current, bool mayHaveBeenWritten)
    {
        result.inForce = current;
        if (current.publishId == result.publishId && current.hash == result.hash) {
            result.outcome = PublishOutcome::Published;
            return;
        }
        if (current.hash == result.hash) {
            result.outcome = PublishOutcome::Unchanged;
            return;
        }
        result.outcome = PublishOutcome::Conflict;
        // Version base + 1 has one writer. If the row is at base + 1, that writer was not this publishing.
        result.mayHaveBeenInForce = mayHaveBeenWritten && current.version > id.baseVersion + 1;
        if (const auto winner = content(current.hash)) {
            result.difference = lineDiff(*winner, request.text);
        }
    }

    S &m_store;
};

} // namespace carobjunction
