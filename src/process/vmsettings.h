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

/** Settings of the daemon of one VM, which serves one backend server. Addresses have the form `ip:port`. */
struct VmSettings {
    std::string daemon; /**< Unique id of this daemon. */
    std::string region;
    std::string dataCentre;
    std::string service; /**< Service of this VM's backend server; also the caller service of all requests received from callers on this VM. */
    std::string backendAddress; /**< Address of the backend server. */
    std::string callerAddress; /**< Listen address for requests of callers on this VM. */
    std::string peerAddress; /**< Listen address for other daemons, TCP and UDP. */
    std::string announcedAddress; /**< Address under which other daemons reach the peer port; empty if it is peerAddress. */
    std::string readyAddress; /**< Listen address for readiness checks. */
    std::string operatorAddress; /**< Listen address for heartbeats from the backend server and for metrics. */
    std::string storeAddress; /**< Address of the store. */
    LogLevel logLevel = LogLevel::Info;
    Duration heartbeatInterval = std::chrono::milliseconds(1500); /**< Interval of the backend server's heartbeats. */
    Duration gracePeriod = std::chrono::seconds(6); /**< Time from a stop signal to the end of the process. */
    double retryRatio = 0.2; /**< Retries allowed per request of a service, over all daemons. */
    double retrySlack = 50; /**< Retries of a service allowed in addition to the ratio within a window, over all daemons. */
    Duration retryWindow = std::chrono::seconds(10); /**< Length of the sliding window over which retries are limited. */
    double memoryMb = 256; /**< Memory limit of the process in MiB; the settings call this unit MB. */
    double maxDescriptors = 4096; /**< Limit for open file descriptors of the process. */
};

/** Result of VmSettingsParser. */
using VmSettingsResult = ParsedSettings<VmSettings>;

/** Parses the settings file of the daemon of one VM. */
class VmSettingsParser
{
public:
    /**
     * Parses a settings file.
     * @param text  contents of the file
     * @param file  file name for error messages
     * @return the settings, or the errors found
     */
    static VmSettingsResult parse(std::string_view text, const std::string &file);

    /** @return all keys with their types, defaults and ranges, for the documentation */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
