#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Reason why the response to a dispatched request was not delivered completely to the caller. */
enum class UndeliveredCause {
    CallerLeft, /**< The caller closed or reset the connection. */
    IdleTimer, /**< Closed by this process: no request arrived within the idle timeout. */
    HeaderTimer, /**< Closed by this process: the request header did not arrive within its timeout. */
    BodyTimer, /**< Closed by this process: the request body did not arrive within its timeout. */
    WriteTimer, /**< Closed by this process: the response could not be sent within its timeout. */
    LingerTimer, /**< Closed by this process: the caller did not close the connection after its last response. */
    ListenerClosed, /**< Closed by this process: the connection was considered idle when the port was closed. */
    ConnectionsDropped, /**< Closed by this process: all connections were dropped when it stopped. */
    WriteFailed, /**< The response could not be written, for a reason other than a close by the caller. */
    NoAnswer, /**< The handler returned no response. */
};

template<>
struct EnumNames<UndeliveredCause> {
    static constexpr std::pair<UndeliveredCause, std::string_view> Table[] = {
        { UndeliveredCause::CallerLeft, "caller-left" },         { UndeliveredCause::IdleTimer, "idle-timer" },
        { UndeliveredCause::HeaderTimer, "header-timer" },       { UndeliveredCause::BodyTimer, "body-timer" },
        { UndeliveredCause::WriteTimer, "write-timer" },         { UndeliveredCause::LingerTimer, "linger-timer" },
        { UndeliveredCause::ListenerClosed, "listener-closed" }, { UndeliveredCause::ConnectionsDropped, "connections-dropped" },
        { UndeliveredCause::WriteFailed, "write-failed" },       { UndeliveredCause::NoAnswer, "no-answer" },
    };
};

} // namespace carobjunction
