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

/** One published version of a service's configuration as it is stored and spread. */
struct ConfigEntry {
    std::string service;
    uint64_t version = 0;
    std::string hash; /**< SHA-256 of the content in lower-case hexadecimal. */
    std::string publisher;
    std::string publishId;
    uint64_t publishedAtMs = 0;
    std::string content; /**< The configuration file. */
};

/** What ConfigTable::offer() did with an entry. */
enum class ConfigOffer {
    Accepted,
    Known, /**< This version with this hash is in force already. */
    Older, /**< A higher version is in force. */
    Conflict, /**< The version in force has the same number and another hash. */
    WrongHash, /**< The content does not fit the hash. */
    TooLarge,
    Malformed, /**< Service, version or content is missing. */
    Fault, /**< The parser found a fault in the content. */
};

template<>
struct EnumNames<ConfigOffer> {
    static constexpr std::pair<ConfigOffer, std::string_view> Table[] = {
        { ConfigOffer::Accepted, "accepted" },   { ConfigOffer::Known, "known" },          { ConfigOffer::Older, "older" },
        { ConfigOffer::Conflict, "conflict" },   { ConfigOffer::WrongHash, "wrong-hash" }, { ConfigOffer::TooLarge, "too-large" },
        { ConfigOffer::Malformed, "malformed" }, { ConfigOffer::Fault, "fault" },
    };
};

/**
 * The configuration in force of each service. A version never goes back.
 *
 * Thread-safe. The parser and the change handler are called without a lock held.
 */
class ConfigTable
{
public:
    using Config = std::shared_ptr<const ServiceConfig>;
    /** Turns content into a configuration, or null if it has a fault. */
    using Parser = std::function<Config(const std::string &service, uint64_t version, const std::string &content)>;
    using ChangeHandler = std::function<void(const Config &)>;

    /** Largest content in bytes. Contents travel between daemons, so their size is bounded. */
    static constexpr std::size_t MaxContentBytes = 64U << 10U;
    /** Greatest number of services, as protection against faulty peers. */
    static constexpr std::size_t MaxServices = 4096;

    /** Entries that came into force after a cursor. */
    struct Changes {
        std::vector<std::shared_ptr<const ConfigEntry>> entries;
        uint64_t next = 0; /**< Cursor for the following call. */
    };

    explicit ConfigTable(Parser parser);

    /** Sets the function called after a version came into force. Not thread-safe; call it before the table is shared. */
    void setChangeHandler(ChangeHandler handler);

    /**
     * Puts an entry into force if it is newer than the one in force, fits its hash and has no fault.
     * Rejections are logged, each version of a service once.
     */
    ConfigOffer offer(const ConfigEntry &entry);

    /** @return whether offer() would look at this version, so that its content is worth fetching */
    bool isWanted(const std::string &service, uint64_t version, std::string_view hash) const;

    /** @return the configuration in force, or null if the service has none */
    Config find(const std::string &service) const;

    /** @return the entry in force, or null if the service has none */
    std::shared_ptr<const ConfigEntry> entry(const std::string &service) const;

    /** @return the entries in force, in the order of their services */
    std::vector<std::shared_ptr<const ConfigEntry>> entries() const;

    /** @return the names of the services that have a configuration, in order */
    std::vector<std::string> services() const;

    /** @return the configurations in force, in the order of their services */
    std::vector<Config> configs() const;

    /** @param cursor  0, or a value of Changes::next */
    Changes changedSince(uint64_t cursor) const;

    /** @return number of the last change */
    uint64_t sequence() const;

    /** @return hash of all versions in force, never 0 */
    uint64_t hash() const;

    /** @return SHA-256 in lower-case hexadecimal */
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
        ConfigOffer reason = ConfigOffer::Fault;
    };

    std::optional<ConfigOffer> compareWithInForce(const ConfigEntry &entry) const;
    ConfigOffer reject(const ConfigEntry &entry, ConfigOffer reason);

    const Parser m_parser;
    ChangeHandler m_changeHandler;
    mutable std::mutex m_mutex;
    std::map<std::string, Record> m_records;
    std::map<std::string, Rejection> m_rejections;
    uint64_t m_sequence = 0;
};

} // namespace carobjunction
