#include "process/suspectwire.h"

#include <nlohmann/json.hpp>

namespace carobjunction
{

namespace
{

constexpr size_t MaxServiceLength = 128;

uint64_t toMilliseconds(Duration duration)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string toHex(uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016lx", static_cast<unsigned long>(value));
    return text;
}

} // namespace

std::vector<v1::SuspectEntry> suspectsToWire(const SuspectTable<SteadyClock> &table)
{
    std::vector<v1::SuspectEntry> messages;
    for (const SuspectEntry &entry : table.entries()) {
        v1::SuspectEntry message;
        message.set_fingerprint(entry.fingerprint);
        message.set_service(entry.service);
        message.set_state(static_cast<uint32_t>(entry.state));
        message.set_crashes(entry.crashes);
        message.set_revision(entry.revision);
        message.set_expires_in_ms(toMilliseconds(entry.expiresIn));
        messages.push_back(std::move(message));
    }
    return messages;
}

bool mergeSuspectFromWire(SuspectTable<SteadyClock> &table, const v1::SuspectEntry &message)
{
    const auto expiry = static_cast<uint64_t>(toMilliseconds(SuspectTable<SteadyClock>::Expiry));
    if (message.fingerprint() == 0 || message.state() > static_cast<uint32_t>(SuspectState::Condemned) || message.service().size() > MaxServiceLength) {
        return false;
    }
    SuspectEntry entry;
    entry.fingerprint = message.fingerprint();
    entry.service = message.service();
    entry.state = static_cast<SuspectState>(message.state());
    entry.crashes = message.crashes();
    entry.revision = message.revision();
    entry.expiresIn = std::chrono::milliseconds(std::min(message.expires_in_ms(), expiry));
    return table.merge(entry);
}

nlohmann::json suspectsToJson(const SuspectTable<SteadyClock> &table)
{
    nlohmann::json suspects = nlohmann::json::array();
    for (const SuspectEntry &entry : table.entries()) {
        if (entry.state != SuspectState::Clear) {
            suspects.push_back({ { "fingerprint", toHex(entry.fingerprint) },
                                 { "service", entry.service },
                                 { "state", nameOf(entry.state) },
                                 { "crashes", entry.crashes },
                                 { "expires_in_ms", toMilliseconds(entry.expiresIn) } });
        }
    }
    return suspects;
}

} // namespace carobjunction
