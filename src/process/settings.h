#pragma once

#include <carobjunction/process/clock.h>

#include "process/eventlog.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carobjunction
{

/** Protection of the connections between daemons. */
enum class PeerSecurity {
    MutualTls,
    Plaintext,
};

template<>
struct EnumNames<PeerSecurity> {
    static constexpr std::pair<PeerSecurity, std::string_view> Table[] = {
        { PeerSecurity::MutualTls, "mutual-tls" },
        { PeerSecurity::Plaintext, "plaintext" },
    };
};

/** Names of the TLS files of a daemon, in PEM format. */
struct TlsFiles {
    std::string certificate;
    std::string key; /**< Private key of the certificate. */
    std::string authority; /**< Certificate of the authority that signs the certificates of peers. */
};

/** Settings of a daemon process, read once at start. Addresses have the form `ip:port`. */
struct Settings {
    std::string daemon; /**< Unique id of this daemon. */
    std::string region;
    std::string dataCentre;
    std::string service; /**< Service of the local target. */
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::string storeAddress; /**< Empty if the daemon runs without a store. */
    std::vector<std::string> seeds; /**< Peer addresses of other daemons. */
    PeerSecurity peerSecurity = PeerSecurity::MutualTls;
    TlsFiles tls;
    LogLevel logLevel = LogLevel::Info;
    uint32_t callerThreads = 320; /**< Each keep-alive caller connection occupies one thread. */
    uint32_t workerThreads = 32; /**< Threads for blocking work, such as calls to the backend server. */
    uint64_t maxBodyBytes = 16U << 20U; /**< Maximum request or response body on any port, in bytes. */
    Duration storeTimeout = std::chrono::milliseconds(500); /**< Time limit of one store operation. */
    Duration announceTimeout = std::chrono::seconds(3); /**< Time without an announcement after which the backend server is considered down. */
    Duration gossipInterval = std::chrono::seconds(1);
    Duration suspicionTimeout = std::chrono::seconds(4); /**< Time in which a suspected member can refute the suspicion before it counts as failed. */
    Duration memberForgetTime = std::chrono::minutes(10); /**< Time after which failed and left members are removed. */
    Duration configPollInterval = std::chrono::seconds(1); /**< Time between two polls of the store for new configurations. */
    Duration claimBatchDelay = Duration::zero(); /**< Time for which a claim waits for others to share its transaction. */
    Duration regionDelay = Duration::zero(); /**< Artificial delay of calls to other regions, for experiments on one machine. */
};

} // namespace carobjunction
