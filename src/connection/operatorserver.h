#pragma once

#include "connection/httpport.h"

#include <carobjunction/process/clock.h>
#include <carobjunction/process/suspecttable.h>

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
struct SocketAddress;

/** What a backend server says of itself. */
struct TargetAnnouncement {
    std::string service;
    std::string address;
    uint32_t slots = 0;
    uint64_t incarnation = 0;
};

/** Operations of the daemon that the operator port offers. */
struct OperatorActions {
    std::function<bool()> isReady;
    std::function<bool(const TargetAnnouncement &)> announce; /**< Returns false if the announcement contradicts the settings. */
    std::function<void()> leave;
    std::function<std::string(const std::string &service, bool withMembers)> inForce; /**< JSON of the versions in force. */
    std::function<std::string(const std::string &service)> targets; /**< JSON of the targets known. */
    std::function<std::string()> suspects; /**< JSON of the suspected and condemned requests. */
    std::function<bool(uint64_t fingerprint)> clearSuspect;
};

/** HTTP server on the operator port, for operators and for the backend server beside this daemon. */
class OperatorServer
{
public:
    OperatorServer(OperatorActions actions, const Metrics &metrics, const DecisionLog &decisions);

    /** @return the port, or 0 if it could not be opened */
    int start(const std::string &address);

    /** Closes the port after the requests in progress were answered. */
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
