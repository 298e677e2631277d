#pragma once

#include "connection/httpport.h"

#include <carobjunction/process/clock.h>
#include <carobjunction/process/suspecttable.h>

#include "process/announcedbackend.h"

#include <functional>
#include <optional>
#include <string>

namespace httplib
{
struct Request;
struct Response;
}

namespace carobjunction
{

class ConfigTable;
class DecisionLog;
class Metrics;

/** Operations of the daemon that are available on the operator port. */
struct OperatorActions {
    std::function<bool()> isReady;
    std::function<AnnouncementVerdict(const TargetAnnouncement &)> announce;
    /** Null for the operator's command; otherwise what the backend server says of itself. */
    std::function<AnnouncementVerdict(const TargetAnnouncement *)> leave;
    std::function<std::string(const std::string &service, bool withMembers)> inForce; /**< Returns the configuration versions in force, as JSON. */
    std::function<std::string(const std::string &service)> targets; /**< Returns the known targets, as JSON. */
    std::function<std::string()> suspects; /**< Returns the suspected and condemned requests, as JSON. */
    std::function<bool(uint64_t fingerprint)> clearSuspect;
};

/** HTTP server on the operator port, for operators and for the backend server on this VM. */
class OperatorServer
{
public:
    OperatorServer(OperatorActions actions, const Metrics &metrics, const DecisionLog &decisions);

    /** Opens the port and serves it on another thread. @return the port, or 0 if it could not be opened */
    int start(const std::string &address);

    /** Closes the port, and returns when the requests in progress have been answered. */
    void stop();

private:
    void addTargetHandlers();
    void addQueryHandlers();
    void addSuspectHandlers();

    OperatorActions m_actions;
    const Metrics &m_metrics;
    const DecisionLog &m_decisions;
    HttpPort m_port;
};

} // namespace carobjunction
