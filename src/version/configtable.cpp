#include <carobjunction/version/configtable.h>

#include <carobjunction/process/stablehash.h>

#include "process/eventlog.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace carobjunction
{

ConfigTable::ConfigTable(Parser parser) : m_parser(std::move(parser))
{
}

void ConfigTable::setChangeHandler(ChangeHandler handler)
{
    m_changeHandler = std::move(handler);
}

std::string ConfigTable::sha256(std::string_view content)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(content.data()), content.size(), digest.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 15U];
    }
    return text;
}

std::optional<ConfigOfferResult> ConfigTable::compareWithInForce(const ConfigEntry &entry) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(entry.service);
    if (found == m_records.end()) {
        return m_records.size() < MaxServices ? std::nullopt : std::optional(ConfigOfferResult::TooLarge);
    }
    const ConfigEntry &inForce = *found->second.entry;
    if (entry.version < inForce.version) {
        return ConfigOfferResult::Older;
    }
    if (entry.version == inForce.version) {
        return entry.hash == inForce.hash ? ConfigOfferResult::Known : ConfigOfferResult::Conflict;
    }
    return std::nullopt;
}

ConfigOfferResult ConfigTable::reject(const ConfigEntry &entry, ConfigOfferResult reason)
{
    {
        const std::lock_guard lock(m_mutex);
        Rejection *rejection = nullptr;
        if (const auto found = m_rejections.find(entry.service); found != m_rejections.end()) {
            rejection = &found->second;
        } else if (m_rejections.size() < MaxServices) {
            rejection = &m_rejections[entry.service];
        }
        if (rejection == nullptr || (rejection->version == entry.version && rejection->hash == entry.hash && rejection->reason == reason)) {
            return reason;
        }
        *rejection = { entry.version, entry.hash, reason };
    }
    EventLog::write(LogLevel::Warning,
                    reason == ConfigOfferResult::Conflict ? Event::ConfigConflict : Event::ConfigRejected,
                    { { "service", entry.service },
                      { "version", std::to_string(entry.version) },
                      { "hash", entry.hash },
                      { "publisher", entry.publisher },
                      { "reason", std::string(nameOf(reason)) } });
    return reason;
}

ConfigOfferResult ConfigTable::offer(const ConfigEntry &entry)
{
    if (entry.service.empty() || entry.version == 0 || entry.content.empty()) {
        return ConfigOfferResult::Malformed;
    }
    if (entry.content.size() > MaxContentBytes) {
        return reject(entry, ConfigOfferResult::TooLarge);
    }
    if (const std::optional<ConfigOfferResult> comparison = compareWithInForce(entry)) {
        return *comparison == ConfigOfferResult::Conflict ? reject(entry, *comparison) : *comparison;
    }
    if (sha256(entry.content) != entry.hash) {
        return reject(entry, ConfigOfferResult::WrongHash);
    }
    const Config config = m_parser(entry.service, entry.version, entry.content);
    if (!config) {
        return reject(entry, ConfigOfferResult::InvalidContent);
    }
    {
        const std::lock_guard lock(m_mutex);
        Record &record = m_records[entry.service];
        // Another thread may have put a newer version into force while this one was being parsed.
        if (record.entry && record.entry->version >= entry.version) {
            return record.entry->version > entry.version ? ConfigOfferResult::Older
                : record.entry->hash == entry.hash       ? ConfigOfferResult::Known
                                                         : ConfigOfferResult::Conflict;
        }
        record = { config, std::make_shared<const ConfigEntry>(entry), ++m_sequence };
    }
    EventLog::write(LogLevel::Info,
                    Event::ConfigInForce,
                    { { "service", entry.service }, { "version", std::to_string(entry.version) }, { "hash", entry.hash }, { "publisher", entry.publisher } });
    if (m_changeHandler) {
        m_changeHandler(config);
    }
    return ConfigOfferResult::Accepted;
}

bool ConfigTable::needsContent(const std::string &service, uint64_t version, std::string_view hash) const
{
    const std::lock_guard lock(m_mutex);
    // Only errors in verified content rule out a fetch. If the hash or the size was wrong, another peer may have the correct content.
    if (const auto rejected = m_rejections.find(service); rejected != m_rejections.end() && rejected->second.reason == ConfigOfferResult::InvalidContent
        && rejected->second.version == version && rejected->second.hash.starts_with(hash)) {
        return false;
    }
    const auto found = m_records.find(service);
    return found == m_records.end() || found->second.entry->version < version;
}

ConfigTable::Config ConfigTable::find(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : found->second.config;
}

std::shared_ptr<const ConfigEntry> ConfigTable::entry(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : found->second.entry;
}

std::vector<std::shared_ptr<const ConfigEntry>> ConfigTable::entries() const
{
    return changedSince(0).entries;
}

std::vector<std::string> ConfigTable::services() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    names.reserve(m_records.size());
    for (const auto &[service, record] : m_records) {
        names.push_back(service);
    }
    return names;
}

std::vector<ConfigTable::Config> ConfigTable::configs() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Config> configs;
    configs.reserve(m_records.size());
    for (const auto &[service, record] : m_records) {
        configs.push_back(record.config);
    }
    return configs;
}

ConfigTable::Changes ConfigTable::changedSince(uint64_t cursor) const
{
    const std::lock_guard lock(m_mutex);
    Changes changes;
    changes.next = m_sequence;
    for (const auto &[service, record] : m_records) {
        if (record.sequence > cursor) {
            changes.entries.push_back(record.entry);
        }
    }
    return changes;
}

uint64_t ConfigTable::sequence() const
{
    const std::lock_guard lock(m_mutex);
    return m_sequence;
}

uint64_t ConfigTable::hash() const
{
    const std::lock_guard lock(m_mutex);
    uint64_t result = 0;
    for (const auto &[service, record] : m_records) {
        result = mixBits(result ^ stableHash(service, record.entry->version) ^ stableHash(record.entry->hash));
    }
    return std::max<uint64_t>(result, 1);
}

} // namespace carobjunction
