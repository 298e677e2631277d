#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/vmdirectory.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Contents of one gossip datagram, which a daemon sends to the other daemons. */
struct GossipMessage {
    std::string daemon;
    uint64_t incarnation = 0;
    uint64_t revision = 0; /**< Revision of the sender's VM record. */
    std::string peerAddress;
    uint64_t configVersion = 0; /**< Version of the routes in force at the sender; 0 if it has none. */
    /** Age of the last confirmation that these routes are the newest; empty if there is none, or if an older daemon sent the message. */
    std::optional<Duration> confirmationAge;
    /** Epoch of the store that the sender has seen last; empty if the store states none, or if an older daemon sent the message. */
    std::optional<uint64_t> storeEpoch;
    TargetReport report;
    std::vector<CrashReport> crashes; /**< Recent crashes. Each is included in several messages, because datagrams may be lost. */
    std::vector<uint64_t> clearedFingerprints; /**< Requests that were answered although crashes had been reported for them. */
    std::optional<VmRecord> record; /**< VM record of the sender, if it has just changed. */

    /** @return the message as CBOR */
    std::string encode() const;

    /** @return the decoded message, or empty if @p datagram is not a valid message */
    static std::optional<GossipMessage> decode(std::string_view datagram);
};

} // namespace carobjunction
