#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/version/keydescription.h>

#include "process/eventlog.h"
#include "version/parsedsettings.h"

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Settings of the daemon beside one backend server. Addresses are `ip:port`. */
struct VmSettings {
    std::string daemon; /**< Unique id of this daemon. */
    std::string region;
    std::string dataCentre;
    std::string service; /**< Service of the backend server of this VM, which is the caller of all requests that begin here. */
    std::string backendAddress;
    std::string callerAddress; /**< Port for requests of callers on this VM. */
    std::string peerAddress; /**< Port for other daemons, TCP and UDP. */
    std::string announcedAddress; /**< Where other daemons reach the peer port; empty if at peerAddress itself. */
    std::string readyAddress; /**< Port for readiness checks. */
    std::string operatorAddress; /**< Port for heartbeats of the backend server and for metrics. */
    std::string storeAddress;
    LogLevel logLevel = LogLevel::Info;
    Duration heartbeatInterval = std::chrono::milliseconds(1500); /**< Of the backend server. */
    Duration gracePeriod = std::chrono::seconds(6); /**< Time from a stop signal to the end of the process. */
    double retryRatio = 0.2; /**< Repeated arrivals at a service as a share of its requests, over all daemons. */
    uint32_t retrySlack = 50; /**< Repeated arrivals allowed beyond the ratio, over all daemons. */
    Duration retryWindow = std::chrono::seconds(10);
    uint32_t memoryMb = 256; /**< Memory that the process may use. */
    uint32_t maxDescriptors = 4096; /**< Descriptors that the process may open. */
};

/** Result of VmSettingsParser. */
using VmSettingsResult = ParsedSettings<VmSettings>;

/** Reads the settings of the daemon beside one backend server. */
class VmSettingsParser
{
public:
    /** @param file  name used in faults */
    static VmSettingsResult parse(std::string_view text, const std::string &file);

    /** @return all keys with their types, defaults and ranges, for the documentation */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
