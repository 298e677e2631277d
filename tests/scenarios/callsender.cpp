#include "callsender.h"

#include <utility>

namespace carobjunction::scenarios
{

namespace
{

// Longer than any deadline in the scenarios, so that a missing response always means a lost connection.
constexpr auto ResponseTimeout = std::chrono::milliseconds(20000);

httplib::Headers makeHeaders(const CallSpec &spec)
{
    httplib::Headers headers;
    for (const auto &[name, value] : spec.headers) {
        headers.emplace(name, value);
    }
    if (!spec.service.empty()) {
        headers.emplace("Carob-Service", spec.service);
    }
    if (!spec.key.empty()) {
        headers.emplace("Idempotency-Key", spec.key);
    }
    if (spec.deadlineMs != 0) {
        headers.emplace("Carob-Deadline-Ms", std::to_string(spec.deadlineMs));
    }
    return headers;
}

} // namespace

CallSender::CallSender(const std::vector<std::string> &daemons)
{
    for (const std::string &address : daemons) {
        m_pools.push_back(std::make_unique<bench::ConnectionPool>(address, ResponseTimeout));
    }
}

CallRecord CallSender::send(const CallSpec &spec)
{
    CallRecord record;
    record.spec = spec;
    record.outcome = "no-answer";
    httplib::Request request;
    request.method = spec.method;
    request.path = spec.path;
    if (spec.answerBytes != 0) {
        request.path += (request.path.find('?') == std::string::npos ? "?bytes=" : "&bytes=") + std::to_string(spec.answerBytes);
    }
    request.headers = makeHeaders(spec);
    request.body = spec.body;
    auto client = m_pools[spec.entryDaemon]->acquire();
    const auto result = client->send(request);
    if (!result) {
        client.discard();
    } else {
        record.outcome = result->has_header("Carob-Outcome") ? result->get_header_value("Carob-Outcome") : "unmarked";
        record.reason = result->get_header_value("Carob-Reason");
        record.status = result->status;
        record.requestId = result->get_header_value("Carob-Request-Id");
        record.target = result->get_header_value("Carob-Target");
        record.body = result->body;
    }
    const std::lock_guard lock(m_mutex);
    m_records.push_back(record);
    return record;
}

std::vector<CallRecord> CallSender::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

std::vector<CallRecord> CallSender::recordsForGroup(const std::string &group) const
{
    std::vector<CallRecord> found;
    const std::lock_guard lock(m_mutex);
    for (const CallRecord &record : m_records) {
        if (record.spec.group == group) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace carobjunction::scenarios
