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

/** Outcome of a publication. */
enum class PublishOutcome {
    Published, /**< The publication is in force. */
    Unchanged, /**< The same content is already in force. */
    Invalid, /**< The file has errors. Nothing was written. */
    Conflict, /**< Another publication was committed first, so this one is not in force. */
    StoreUnavailable, /**< The store did not answer, and the configuration in force was not changed. */
    Unresolved, /**< The store did not answer the write, which may still take effect. Can be resumed with the publish id. */
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

/** Parameters of a publication. */
struct PublishRequest {
    std::string text; /**< Content of the service configuration file. */
    std::string file; /**< Name of the file for error messages. */
    std::string publisher; /**< Name of the person or program that publishes. */
    uint64_t publishedAtMs = 0; /**< Milliseconds since 1970-01-01 UTC. */
    std::string token; /**< Random part of a new publish id. */
    std::optional<PublishId> resumeId; /**< Publish id of an earlier attempt with the same text, to be resumed. */
    std::function<void(const std::string &)> onPublishId; /**< Called with the publish id before the first write; may be empty. */
};

/** Result of a publication. */
struct PublishResult {
    PublishOutcome outcome = PublishOutcome::StoreUnavailable;
    std::vector<ConfigError> errors;
    std::string service;
    std::string hash;
    std::string publishId;
    std::optional<ConfigEntry> inForce; /**< Configuration in force without its content; empty if unknown. */
    std::vector<std::string> difference; /**< On a conflict: lines only in the configuration in force, with `-`, and lines only in this file, with `+`. */
    bool mayHaveBeenInForce = false; /**< On a conflict: whether this publication may have been in force before the current one. */
};

/**
 * Publishes service configurations. Writes the content first, as an object named by its hash, and then the row with that hash, on the
 * condition that the row has not changed. Therefore a row never refers to missing content, and of two concurrent publications exactly
 * one takes effect.
 */
template<Store S>
class Publisher
{
public:
    /** @param store  must outlive the publisher */
    explicit Publisher(S &store) : m_store(store)
    {
    }

    /** Publishes a configuration, or resumes an earlier publication. */
    PublishResult publish(const PublishRequest &request)
    {
        PublishResult result;
        ServiceConfigResult parsed = ServiceConfigParser::parse(request.text, request.file);
        if (!parsed.config) {
            result.outcome = PublishOutcome::Invalid;
            result.errors = std::move(parsed.errors);
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
     * Reads the configurations in force from the store.
     * @param service  name of a service; empty for all services
     * @return the configurations without their contents, or empty if the store does not answer
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

    /** @return the content with the SHA-256 @p hash, or empty if the store does not return it intact */
    std::optional<std::string> content(const std::string &hash)
    {
        std::optional<std::string> text = m_store.getObject(ConfigRow::objectName(hash));
        if (!text || ConfigTable::sha256(*text) != hash) {
            return std::nullopt;
        }
        return text;
    }

private:
    // After a write without an answer the row is read, and if it is unchanged, the same conditional write is repeated.
    static constexpr int MaxWriteAttempts = 3;

    /** Configuration row as currently stored. */
    struct CurrentRow {
        uint64_t version = 0; /**< Version of the row; 0 if there is none. */
        ConfigEntry config; /**< Parsed row; default values if the row is absent or malformed. */
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

    /** Writes an object, with retries. The name is derived from the content, so that writing it twice is idempotent. */
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

    /** Writes the row on the condition that its version is the base version of @p id, and sets the outcome. */
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
            mayHaveBeenWritten = mayHaveBeenWritten || (!written && LastError<StoreError>::get().mayHaveTakenEffect);
            isWriteRefused = isWriteRefused || written;
            const auto current = readRow(result.service);
            if (current && current->version != id.baseVersion) {
                resolveOutcome(result, request, id, current->config, mayHaveBeenWritten);
                return;
            }
        }
        // A refused write means that the row had already changed.
        result.outcome = mayHaveBeenWritten ? PublishOutcome::Unresolved : isWriteRefused ? PublishOutcome::Conflict : PublishOutcome::StoreUnavailable;
    }

    /**
     * Sets the outcome if the row is not at the base version of the publication, or already has the same content.
     * @param current  configuration that the row refers to
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
        // Version base + 1 has exactly one writer. If the row is at base + 1, another publication wrote it, so this one was never in force.
        result.mayHaveBeenInForce = mayHaveBeenWritten && current.version > id.baseVersion + 1;
        if (const auto winner = content(current.hash)) {
            result.difference = diffLines(*winner, request.text);
        }
    }

    S &m_store;
};

} // namespace carobjunction
