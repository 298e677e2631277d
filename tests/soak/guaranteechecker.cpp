#include "guaranteechecker.h"

#include <carobjunction/process/durations.h>

#include "connection/messagefields.h"

namespace carobjunction::soak
{

namespace
{

bool guaranteesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/** @return the service that the published routes assign to @p path; empty if no configuration has a route for it */
std::string serviceForPath(std::string_view path)
{
    if (path.starts_with("/look/") || path.starts_with("/order/")) {
        return "ordering";
    }
    return path.starts_with("/ship/") || path.starts_with("/v") ? "dispatch" : "";
}

} // namespace

void GuaranteeChecker::fail(const std::string &guarantee, const std::string &detail)
{
    m_failures.push_back(guarantee + ": " + detail);
}

void GuaranteeChecker::onFaultInjected(const std::string &vm, TimePoint until)
{
    TimePoint &latest = m_faultyUntil[vm];
    latest = std::max(latest, until);
}

void GuaranteeChecker::onProcessEnd(const std::string &vm, TimePoint now)
{
    m_processEndedAt[vm] = now;
}

void GuaranteeChecker::onStoreFault(TimePoint until)
{
    m_storeFaultyUntil = std::max(m_storeFaultyUntil, until);
}

void GuaranteeChecker::onVersionAcknowledged(int version, TimePoint now)
{
    m_versionAcknowledgedAt.try_emplace(version, now);
}

bool GuaranteeChecker::hasRecovered(const std::string &vm, TimePoint now) const
{
    const auto found = m_faultyUntil.find(vm);
    return found == m_faultyUntil.end() || now > found->second + m_bounds.recoveryTime;
}

void GuaranteeChecker::onLeaveAcknowledged(const std::string &backend, TimePoint now)
{
    m_leaveAcknowledgedAt.try_emplace(backend, now);
}

void GuaranteeChecker::onRequestSent(const std::string &request, bool isIdempotent)
{
    m_isIdempotentByRequest.emplace(request, isIdempotent);
}

void GuaranteeChecker::onRequestRun(const HttpRequest &message, const std::string &vm, const std::string &backend, const std::string &service, TimePoint now)
{
    const std::string request = fieldValue(message, "X-Attempt-Id");
    const std::string path(message.target().data(), message.target().size());
    const auto sent = m_isIdempotentByRequest.find(request);
    if (sent == m_isIdempotentByRequest.end() || message.body() != "body of " + request) {
        fail("every request that runs was sent by a caller and is unaltered", path + " id " + request + " at " + backend);
        return;
    }
    if (serviceForPath(path) != service) {
        fail("a request runs only at a service of its route", path + " at " + service);
    }
    if (++m_runCounts[request] > 1 && !sent->second) {
        fail("a non-idempotent request runs at most once", request + " ran again at " + backend);
    }
    if (m_refusedRequests.count(request) > 0) {
        fail("a refused request has not run and never runs", request + " runs at " + backend);
    }
    if (const auto closed = m_closedBeforeRun.find(request); closed != m_closedBeforeRun.end()) {
        fail(closed->second, request + " runs at " + backend + " after its connection was closed");
    }
    m_sealsByRequest[request].insert("seal-of-" + backend);
    const auto acknowledgement = m_leaveAcknowledgedAt.find(backend);
    if (acknowledgement != m_leaveAcknowledgedAt.end() && now > acknowledgement->second + m_bounds.drainTime && hasRecovered(vm, now)) {
        fail("a leaving backend server receives no requests",
             request + " at " + backend + " " + std::to_string(toMs(now - acknowledgement->second)) + " ms after the acknowledgement of its leave");
    }
}

void GuaranteeChecker::checkSuccess(const CallerExchange &exchange)
{
    const HttpResponse &response = exchange.result.response;
    const std::string seal = fieldValue(response, "X-Response-Seal");
    const bool isOwn = fieldValue(response, "X-Attempt-Id") == exchange.request && m_sealsByRequest[exchange.request].count(seal) > 0;
    if (!isOwn || response.body() != "answer of " + seal.substr(std::string("seal-of-").size())) {
        fail("a caller receives the complete response to its own request", exchange.request + " at " + exchange.vm);
    }
}

void GuaranteeChecker::checkLostResponse(const CallerExchange &exchange)
{
    if (exchange.result.end == ExchangeEnd::NotSent || !hasRecovered(exchange.vm, exchange.endedAt)) {
        return;
    }
    if (exchange.result.end == ExchangeEnd::TimedOut || exchange.endedAt > exchange.deadline + m_bounds.deadlineMargin) {
        fail("a caller receives a final response by its deadline", exchange.request + " at " + exchange.vm);
        return;
    }
    constexpr const char *Guarantee = "a graceful stop interrupts no request";
    if (exchange.endedAt - exchange.sentAt > m_bounds.closeRaceTime) {
        fail(Guarantee, exchange.request + " at " + exchange.vm + ": " + exchange.result.detail);
        return;
    }
    failIfForwarded(exchange, Guarantee);
}

/**
 * Records a violation if the daemon forwarded the request, which is known if a backend server started to run it. A forwarded request may
 * also start to run after its connection was closed, so a request that has not started yet is added to m_closedBeforeRun, and
 * onRequestRun() records the violation if it starts later.
 */
void GuaranteeChecker::failIfForwarded(const CallerExchange &exchange, const std::string &guarantee)
{
    if (m_runCounts.count(exchange.request) > 0) {
        fail(guarantee, exchange.request + " at " + exchange.vm + ": " + exchange.result.detail);
    } else {
        m_closedBeforeRun.emplace(exchange.request, guarantee);
    }
}

/**
 * Checks that a forwarded request on a reused connection receives a response unless the process of the daemon ends. A pause of the VM or
 * a change of the limits is no exception.
 */
void GuaranteeChecker::checkReusedConnection(const CallerExchange &exchange)
{
    const auto ended = m_processEndedAt.find(exchange.vm);
    const bool hasProcessEnded = ended != m_processEndedAt.end() && ended->second >= exchange.sentAt;
    const bool isClosed = exchange.result.end == ExchangeEnd::ResponseLost;
    if (exchange.isOnReusedConnection && isClosed && !hasProcessEnded) {
        failIfForwarded(exchange, "a forwarded request on a reused connection receives a response");
    }
}

void GuaranteeChecker::onExchangeEnd(const CallerExchange &exchange)
{
    if (exchange.result.end != ExchangeEnd::Answered) {
        checkReusedConnection(exchange);
        checkLostResponse(exchange);
        return;
    }
    ++m_answered;
    const unsigned status = exchange.result.response.result_int();
    if (status >= 200 && status < 300) {
        checkSuccess(exchange);
    } else if (guaranteesNotRun(status)) {
        m_refusedRequests.insert(exchange.request);
        if (m_runCounts.count(exchange.request) > 0) {
            fail("a refused request has not run and never runs", exchange.request + " has run, refusal from " + exchange.vm);
        }
    } else if (status >= 400 && status < 500 && !exchange.message.target().starts_with("/v")) {
        fail("a valid request is not rejected with status 4xx", exchange.request + " status " + std::to_string(status) + " at " + exchange.vm);
    }
}

/** Checks a request on the route of @p version that was answered 404: the configuration may not be in force yet, or the VM or the store has failed. */
void GuaranteeChecker::checkVersionInTime(const std::string &vm, int version, TimePoint sentAt)
{
    const auto acknowledged = m_versionAcknowledgedAt.find(version);
    const auto ended = m_processEndedAt.find(vm);
    const bool isStarting = ended != m_processEndedAt.end() && sentAt <= ended->second + m_bounds.recoveryTime;
    const bool isStoreStable = sentAt > m_storeFaultyUntil + m_bounds.recoveryTime;
    const bool isDue = acknowledged != m_versionAcknowledgedAt.end() && sentAt > acknowledged->second + m_bounds.applyTime;
    if (isDue && isStoreStable && !isStarting && hasRecovered(vm, sentAt)) {
        fail("an acknowledged configuration comes into force in time",
             "version " + std::to_string(version) + " at " + vm + " " + std::to_string(toMs(sentAt - acknowledged->second)) + " ms after its acknowledgement");
    }
}

void GuaranteeChecker::onVersionObserved(const std::string &vm, int daemonStart, int version, bool isServed, TimePoint sentAt)
{
    int &newest = m_newestVersions[{ vm, daemonStart }];
    if (!isServed) {
        checkVersionInTime(vm, version, sentAt);
    }
    if (isServed) {
        newest = std::max(newest, version);
    } else if (version <= newest) {
        fail("a configuration in force never reverts to an older version",
             "version " + std::to_string(version) + " at " + vm + " after " + std::to_string(newest));
    }
}

} // namespace carobjunction::soak
