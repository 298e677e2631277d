#include "promises.h"

#include <carobjunction/process/durations.h>

#include "connection/messagefields.h"

namespace carobjunction::soak
{

namespace
{

bool promisesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/** @return the service that the routes of a soak allow for a path; empty for paths that no configuration has */
std::string serviceOf(std::string_view path)
{
    if (path.starts_with("/look/") || path.starts_with("/order/")) {
        return "ordering";
    }
    return path.starts_with("/ship/") || path.starts_with("/v") ? "dispatch" : "";
}

} // namespace

void Promises::fail(const std::string &promise, const std::string &detail)
{
    m_failures.push_back(promise + ": " + detail);
}

void Promises::onHarm(const std::string &vm, TimePoint until)
{
    TimePoint &known = m_harmedUntil[vm];
    known = std::max(known, until);
}

void Promises::onProcessEnd(const std::string &vm, TimePoint now)
{
    m_processEndedAt[vm] = now;
}

bool Promises::isInTouch(const std::string &vm, TimePoint now) const
{
    const auto found = m_harmedUntil.find(vm);
    return found == m_harmedUntil.end() || now > found->second + m_bounds.contactTime;
}

void Promises::onLeaveAcknowledged(const std::string &backend, TimePoint now)
{
    m_leaving.try_emplace(backend, now);
}

void Promises::onSent(const std::string &request, bool isIdempotent)
{
    m_sent.emplace(request, isIdempotent);
}

void Promises::onRun(const HttpRequest &message, const std::string &vm, const std::string &backend, const std::string &service, TimePoint now)
{
    const std::string request = fieldValue(message, "X-Attempt-Id");
    const std::string path(message.target().data(), message.target().size());
    const auto sent = m_sent.find(request);
    if (sent == m_sent.end() || message.body() != "body of " + request) {
        fail("no request runs that a caller did not send", path + " id " + request + " at " + backend);
        return;
    }
    if (serviceOf(path) != service) {
        fail("a request runs only at services of its route", path + " at " + service);
    }
    if (++m_runs[request] > 1 && !sent->second) {
        fail("an order runs at most once", request + " again at " + backend);
    }
    if (m_refused.count(request) > 0) {
        fail("a refusal that says not run is true", request + " runs at " + backend);
    }
    if (const auto closed = m_closedEarly.find(request); closed != m_closedEarly.end()) {
        fail(closed->second, request + " runs at " + backend + " after its connection was closed");
    }
    m_seals[request].insert("seal-of-" + backend);
    const auto left = m_leaving.find(backend);
    if (left != m_leaving.end() && now > left->second + m_bounds.drainTime && isInTouch(vm, now)) {
        fail("a leaving backend server gets no work",
             request + " at " + backend + " " + std::to_string(toMs(now - left->second)) + " ms after the acknowledgement");
    }
}

void Promises::checkSuccess(const CallerExchange &exchange)
{
    const HttpResponse &response = exchange.result.response;
    const std::string seal = fieldValue(response, "X-Response-Seal");
    const bool isOwn = fieldValue(response, "X-Attempt-Id") == exchange.request && m_seals[exchange.request].count(seal) > 0;
    if (!isOwn || response.body() != "answer of " + seal.substr(std::string("seal-of-").size())) {
        fail("a caller gets the whole answer to its own request", exchange.request + " at " + exchange.vm);
    }
}

void Promises::checkLoss(const CallerExchange &exchange)
{
    if (exchange.result.end == ExchangeEnd::NotSent || !isInTouch(exchange.vm, exchange.endedAt)) {
        return;
    }
    if (exchange.result.end == ExchangeEnd::TimedOut || exchange.endedAt > exchange.deadline + m_bounds.answerMargin) {
        fail("a caller has its final answer at its deadline", exchange.request + " at " + exchange.vm);
        return;
    }
    constexpr const char *Promise = "a graceful stop cuts no request";
    if (exchange.endedAt - exchange.sentAt > m_bounds.crossingTime) {
        fail(Promise, exchange.request + " at " + exchange.vm + ": " + exchange.result.detail);
        return;
    }
    failIfPassedOn(exchange, Promise);
}

/** The run of a request that was passed on may begin after its connection was closed. */
void Promises::failIfPassedOn(const CallerExchange &exchange, const std::string &promise)
{
    if (m_runs.count(exchange.request) > 0) {
        fail(promise, exchange.request + " at " + exchange.vm + ": " + exchange.result.detail);
    } else {
        m_closedEarly.emplace(exchange.request, promise);
    }
}

/** A pause of the VM or a change of the limits is no excuse: what was passed on is answered unless the process ends. */
void Promises::checkKeptConnection(const CallerExchange &exchange)
{
    const auto ended = m_processEndedAt.find(exchange.vm);
    const bool hasProcessEnded = ended != m_processEndedAt.end() && ended->second >= exchange.sentAt;
    const bool isClosed = exchange.result.end == ExchangeEnd::ResponseLost;
    if (exchange.isOnKeptConnection && isClosed && !hasProcessEnded) {
        failIfPassedOn(exchange, "a request on a kept connection that was passed on is answered");
    }
}

void Promises::onEnd(const CallerExchange &exchange)
{
    if (exchange.result.end != ExchangeEnd::Answered) {
        checkKeptConnection(exchange);
        checkLoss(exchange);
        return;
    }
    ++m_answered;
    const unsigned status = exchange.result.response.result_int();
    if (status >= 200 && status < 300) {
        checkSuccess(exchange);
    } else if (promisesNotRun(status)) {
        m_refused.insert(exchange.request);
        if (m_runs.count(exchange.request) > 0) {
            fail("a refusal that says not run is true", exchange.request + " had run, at " + exchange.vm);
        }
    } else if (status >= 400 && status < 500 && !exchange.message.target().starts_with("/v")) {
        fail("a proper request is not denied", exchange.request + " status " + std::to_string(status) + " at " + exchange.vm);
    }
}

void Promises::onVersionSeen(const std::string &vm, int start, int version, bool isKnown)
{
    int &newest = m_newestSeen[{ vm, start }];
    if (isKnown) {
        newest = std::max(newest, version);
    } else if (version <= newest) {
        fail("a configuration never reverts", "version " + std::to_string(version) + " at " + vm + " after " + std::to_string(newest));
    }
}

} // namespace carobjunction::soak
