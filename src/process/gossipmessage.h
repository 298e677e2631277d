#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/vmdirectory.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** What a daemon tells the others in one datagram. */
struct GossipMessage {
    std::string daemon;
    uint64_t incarnation = 0;
    uint64_t revision = 0; /**< Of the daemon's own VM record. */
    std::string peerAddress;
    uint64_t configVersion = 0; /**< Routes in force; 0: none. */
    TargetReport report;
    std::vector<CrashReport> crashes; /**< Recent ones. */
    std::optional<VmRecord> record; /**< The daemon's own VM record, if it changed a moment ago. */

    std::string encode() const;

    /** @return the message, or empty if it can't be read */
    static std::optional<GossipMessage> decode(std::string_view datagram);
};

} // namespace carobjunction
