#pragma once

#include "connection/httplistener.h"
#include "connection/messagefields.h"
#include "connection/sleepfor.h"
#include "process/eventlog.h"
#include "process/ownrecord.h"
#include "process/targetservice.h"
#include "process/vmsettings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace carobjunction
{

/**
 * Answers the calls by which the backend server of this VM announces itself and leaves. Believes only a call that is whole and agrees with the settings on
 * the address and the service: another writer may send the others, which are refused without any effect. Used on one event loop.
 */
template<typename Platform>
class BackendControl
{
public:
    /** Maximum time that the response to a leave waits until the leave outlives a restart of this daemon. Callers wait for a second. */
    static constexpr Duration LeaveKeepTimeout = std::chrono::milliseconds(850);
    /** Interval at which a leave is checked that arrives before the record from before a restart is recovered. */
    static constexpr Duration LeavePollInterval = std::chrono::milliseconds(10);

    /** All references must outlive this object. */
    BackendControl(asio::io_context &loop, const VmSettings &settings, TargetService &target, OwnRecord<typename Platform::Dialect> &ownRecord)
        : m_loop(loop), m_settings(settings), m_target(target), m_ownRecord(ownRecord)
    {
    }

    /** @return the response to a call of the backend server, or 404 if @p message is no such call */
    Task<HttpResponse> handle(HttpRequest message)
    {
        const auto call = Platform::decodeControlCall(message);
        if (!call) {
            co_return textResponse(http::status::not_found, "unknown call");
        }
        HttpResponse response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.body() = "{}";
        std::visit([&](const auto &decodedCall) { onCall(decodedCall, response); }, *call);
        const std::string leavingId = std::visit([](const auto &decodedCall) { return leavingBackend(decodedCall); }, *call);
        if (response.result() == http::status::ok && !leavingId.empty() && !co_await waitUntilLeaveKept(leavingId)) {
            EventLog::write(LogLevel::Warning, Event::LeaveNotKept, { { "backend", leavingId } });
            response.result(http::status::service_unavailable);
        }
        response.prepare_payload();
        co_return response;
    }

private:
    /** @return id of the backend server that announces in @p call that it is leaving, empty for another call */
    template<typename Call>
    static std::string leavingBackend(const Call &call)
    {
        if constexpr (requires { call.draining; }) {
            return call.draining ? call.id : "";
        } else if constexpr (requires { call.reason; }) {
            return "";
        } else {
            return call.id;
        }
    }

    /**
     * Waits until the leave of a backend server outlives a restart of this daemon. Its acknowledgement is a promise that binds also the next process.
     * @return whether it does; true if another backend server has taken its place
     */
    Task<bool> waitUntilLeaveKept(std::string id)
    {
        const TimePoint end = SteadyClock().now() + LeaveKeepTimeout;
        while (m_target.record().id.empty() && SteadyClock().now() < end) {
            co_await sleepFor(m_loop, LeavePollInterval);
        }
        const BackendRecord &record = m_target.record();
        if (record.id != id || !record.isLeaving) {
            co_return !record.id.empty();
        }
        co_return co_await m_ownRecord.waitUntilKept(end - SteadyClock().now());
    }

    void onCall(const Heartbeat &heartbeat, HttpResponse &response)
    {
        if (heartbeat.address != m_settings.backendAddress) {
            reject("heartbeat of a backend server at an unexpected address: " + heartbeat.address, response);
            return;
        }
        const HeartbeatResult result = m_target.onHeartbeat(heartbeat);
        if (result == HeartbeatResult::Foreign) {
            reject("heartbeat of a backend server of an unexpected service: " + heartbeat.service, response);
        } else if (result == HeartbeatResult::Stale) {
            EventLog::write(LogLevel::Info,
                            Event::TargetAnnounced,
                            { { "backend", heartbeat.id }, { "ignored", "the heartbeat is stale, or its process has already left" } });
        }
    }

    template<typename Call>
    void onCall(const Call &call, HttpResponse &response)
    {
        if constexpr (requires { call.reason; }) {
            reject(call.reason, response);
        } else {
            m_target.onLeave(call.id);
        }
    }

    static void reject(const std::string &reason, HttpResponse &response)
    {
        EventLog::write(LogLevel::Warning, Event::RequestRejected, { { "port", "operator" }, { "reason", reason } });
        response.result(http::status::bad_request);
        response.body() = nlohmann::json { { "error", reason } }.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }

    asio::io_context &m_loop;
    const VmSettings &m_settings;
    TargetService &m_target;
    OwnRecord<typename Platform::Dialect> &m_ownRecord;
};

} // namespace carobjunction
