#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/version/serviceconfig.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** One published version of a service's configuration, as stored in the store and replicated by gossip. */
struct ConfigEntry {
    std::string service;
    uint64_t version = 0;
    std::string hash; /**< SHA-256 of the content in lower-case hexadecimal digits. */
    std::string publisher;
    std::string publishId;
    uint64_t publishedAtMs = 0; /**< Milliseconds since 1970-01-01 UTC. */
    std::string content; /**< Content of the configuration file. */
};

/** Result of ConfigTable::offer(). */
enum class ConfigOfferResult {
    Accepted, /**< The entry came into force. */
    Known, /**< The same version with the same hash is already in force. */
    Older, /**< A higher version is in force. */
    Conflict, /**< The configuration in force has the same version but a different hash. */
    WrongHash, /**< The SHA-256 of the content differs from the hash of the entry. */
    TooLarge, /**< The content or the number of services exceeds its limit. */
    Malformed, /**< The service, version or content is missing. */
    InvalidContent, /**< The content has errors. */
};

template<>
struct EnumNames<ConfigOfferResult> {
    static constexpr std::pair<ConfigOfferResult, std::string_view> Table[] = {
        { ConfigOfferResult::Accepted, "accepted" },   { ConfigOfferResult::Known, "known" },          { ConfigOfferResult::Older, "older" },
        { ConfigOfferResult::Conflict, "conflict" },   { ConfigOfferResult::WrongHash, "wrong-hash" }, { ConfigOfferResult::TooLarge, "too-large" },
        { ConfigOfferResult::Malformed, "malformed" }, { ConfigOfferResult::InvalidContent, "fault" },
    };
};

/**
 * Holds the configuration in force of each service. The version of a service never decreases.
 *
 * Thread-safe. The parser and the change handler are called without the lock held.
 */
class ConfigTable
{
public:
    using Config = std::shared_ptr<const ServiceConfig>;
    /** Parses content into a configuration. Returns null if the content has errors. */
    using Parser = std::function<Config(const std::string &service, uint64_t version, const std::string &content)>;
    using ChangeHandler = std::function<void(const Config &)>;

    /** Maximum size of a content in bytes. Contents are sent between daemons, so their size is bounded. */
    static constexpr std::size_t MaxContentBytes = 64U << 10U;
    /** Maximum number of services. Bounds the memory that a faulty peer can use up. */
    static constexpr std::size_t MaxServices = 4096;

    /** Entries that came into force after a given cursor. */
    struct Changes {
        std::vector<std::shared_ptr<const ConfigEntry>> entries;
        uint64_t next = 0; /**< Cursor for the next call of changedSince(). */
    };

    explicit ConfigTable(Parser parser);

    /** Sets the function that is called after a version comes into force. Not thread-safe; must be called before the table is shared. */
    void setChangeHandler(ChangeHandler handler);

    /**
     * Puts an entry into force if it is newer than the one in force, matches its hash and has no errors.
     * Logs a rejection unless the latest logged rejection of the service has the same version, hash and reason.
     */
    ConfigOfferResult offer(const ConfigEntry &entry);

    /** @return whether the content of this version must be fetched, because it is newer than the one in force and not known to have errors */
    bool needsContent(const std::string &service, uint64_t version, std::string_view hash) const;

    /** @return the configuration in force, or null if the service has none */
    Config find(const std::string &service) const;

    /** @return the entry in force, or null if the service has none */
    std::shared_ptr<const ConfigEntry> entry(const std::string &service) const;

    /** @return the entries in force, sorted by service */
    std::vector<std::shared_ptr<const ConfigEntry>> entries() const;

    /** @return the names of the services that have a configuration, sorted */
    std::vector<std::string> services() const;

    /** @return the configurations in force, sorted by service */
    std::vector<Config> configs() const;

    /**
     * Returns the entries that came into force since an earlier call.
     * @param cursor  0 for all entries, or Changes::next of the earlier call
     */
    Changes changedSince(uint64_t cursor) const;

    /** @return the sequence number of the latest change, 0 if there was none */
    uint64_t sequence() const;

    /** @return a hash over the versions in force of all services; never 0 */
    uint64_t hash() const;

    /** @return the SHA-256 of @p content in lower-case hexadecimal digits */
    static std::string sha256(std::string_view content);

private:
    struct Record {
        Config config;
        std::shared_ptr<const ConfigEntry> entry;
        uint64_t sequence = 0;
    };
    struct Rejection {
        uint64_t version = 0;
        std::string hash;
        ConfigOfferResult reason = ConfigOfferResult::InvalidContent;
    };

    std::optional<ConfigOfferResult> compareWithInForce(const ConfigEntry &entry) const;
    ConfigOfferResult reject(const ConfigEntry &entry, ConfigOfferResult reason);

    const Parser m_parser;
    ChangeHandler m_changeHandler;
    mutable std::mutex m_mutex;
    std::map<std::string, Record> m_records;
    std::map<std::string, Rejection> m_rejections;
    uint64_t m_sequence = 0;
};

} // namespace carobjunction
