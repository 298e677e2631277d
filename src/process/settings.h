#pragma once

#include <carobjunction/process/clock.h>

#include "process/eventlog.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carobjunction
{

/** How the connections between daemons are protected. */
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

/** Certificate files of a daemon, in PEM format. */
struct TlsFiles {
    std::string certificate;
    std::string key;
    std::string authority;
};

/** Settings of one daemon process, read once at start. Addresses are `ip:port`. */
struct Settings {
    std::string daemon; /**< Unique id of this daemon. */
    std::string region;
    std::string dataCentre;
    std::string service; /**< Service of the target beside this daemon. */
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::string storeAddress; /**< Empty: run without a store. */
    std::vector<std::string> seeds; /**< Peer addresses of other daemons. */
    PeerSecurity peerSecurity = PeerSecurity::MutualTls;
    TlsFiles tls;
    LogLevel logLevel = LogLevel::Info;
    uint32_t callerThreads = 320; /**< One kept-alive caller connection holds one thread. */
    uint32_t workerThreads = 32; /**< Threads that talk to the backend server. */
    uint64_t maxBodyBytes = 16U << 20U; /**< Largest request or answer body on any port. */
    Duration storeTimeout = std::chrono::milliseconds(500); /**< Longest wait for one store operation. */
    Duration announceTimeout = std::chrono::seconds(3); /**< A backend server that is silent for longer is down. */
    Duration gossipInterval = std::chrono::seconds(1);
    Duration suspicionTimeout = std::chrono::seconds(4);
    Duration memberForgetTime = std::chrono::minutes(10); /**< Failed and left members are forgotten after this time. */
    Duration configPollInterval = std::chrono::seconds(1);
    Duration claimBatchDelay = Duration::zero(); /**< Longest time that a claim waits for others to share its transaction. */
    Duration regionDelay = Duration::zero(); /**< Delay added to calls to other regions; for experiments on one machine. */
};

} // namespace carobjunction
