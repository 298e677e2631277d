#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Why the answer to a request that was handed to a handler did not reach the caller whole. */
enum class UndeliveredCause {
    CallerLeft, /**< The caller closed or reset the connection. */
    IdleTimer, /**< Closed by this process: no request within the idle time. */
    HeaderTimer, /**< Closed by this process: the header took too long. */
    BodyTimer, /**< Closed by this process: the body took too long. */
    WriteTimer, /**< Closed by this process: the caller took the answer too slowly. */
    LingerTimer, /**< Closed by this process: the caller did not close after its last answer. */
    ListenerClosed, /**< Closed by this process: taken for idle when the port was closed. */
    ConnectionsDropped, /**< Closed by this process: all connections were dropped at its end. */
    WriteFailed, /**< The answer could not be written, for another reason than the caller's close. */
    NoAnswer, /**< The handler gave no answer. */
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
