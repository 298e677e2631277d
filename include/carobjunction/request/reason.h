#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Reason for the outcome of a request. The numeric values are sent between daemons and must never change. */
enum class Reason {
    None = 0,
    Full = 1, /**< All slots and the queue of the target are full. */
    Leaving = 2, /**< The target is draining and accepts no new requests. */
    DeadlineTooShort = 3, /**< The remaining time is shorter than the predicted time to answer. */
    StaleIncarnation = 4, /**< The entry daemon chose an earlier incarnation of the backend server. */
    Condemned = 5, /**< Identical requests crashed backend servers, so the request is blocked. */
    SuspectBusy = 6, /**< A request suspected of crashing backend servers could not run alone on the target. */
    CallerShare = 7, /**< The caller already uses its fair share of the target. */
    TargetDown = 8, /**< No backend server is announced to the target's daemon, or the announced one refuses connections. */
    WrongService = 9, /**< The target belongs to another service. */
    Shed = 10, /**< The backend server refused the request and stated that it did not run it. */
    Cancelled = 11, /**< The request was cancelled before dispatch. */
    Malformed = 12, /**< The request is not valid. */
    UnknownService = 13,
    UnknownRoute = 14, /**< No route matches the request. */
    NoConfiguration = 15, /**< This daemon has not yet received a configuration from the store or a peer. */
    NoTarget = 16, /**< No target of the service accepts requests. */
    DeadlineExceeded = 17,
    StoreUnavailable = 18, /**< The store did not answer, so the idempotency key could not be claimed. */
    AlreadyRan = 19, /**< An earlier request with the same idempotency key ran. */
    ClaimUnresolved = 20, /**< An earlier request claimed the same idempotency key, and its result is not recorded. */
    BodyTooLarge = 21,
    AnswerTooLarge = 22,
    AnswerLost = 23, /**< The connection closed before the complete answer was received. */
    TooManyHops = 24,
    PeerUnreachable = 25, /**< The daemon of the target could not be reached, so the request was not sent. */
    KeyMismatch = 26, /**< The idempotency key was already used for a different request. */
    AdaptiveLimit = 27, /**< The adaptive concurrency limit of the target is reached. */
    HostSlow = 28, /**< Requests currently run slowly on the target's VM. */
    BodyRoom = 29, /**< The entry daemon lacked memory for the request body. Not sent between daemons. */
    AnswerMalformed = 30, /**< The backend server sent bytes that are not a well-formed answer. */
};

template<>
struct EnumNames<Reason> {
    static constexpr std::pair<Reason, std::string_view> Table[] = {
        { Reason::None, "none" },
        { Reason::Full, "full" },
        { Reason::Leaving, "leaving" },
        { Reason::DeadlineTooShort, "deadline-too-short" },
        { Reason::StaleIncarnation, "stale-incarnation" },
        { Reason::Condemned, "condemned" },
        { Reason::SuspectBusy, "suspect-busy" },
        { Reason::CallerShare, "caller-share" },
        { Reason::TargetDown, "target-down" },
        { Reason::WrongService, "wrong-service" },
        { Reason::Shed, "shed" },
        { Reason::Cancelled, "cancelled" },
        { Reason::Malformed, "malformed" },
        { Reason::UnknownService, "unknown-service" },
        { Reason::UnknownRoute, "unknown-route" },
        { Reason::NoConfiguration, "no-configuration" },
        { Reason::NoTarget, "no-target" },
        { Reason::DeadlineExceeded, "deadline-exceeded" },
        { Reason::StoreUnavailable, "store-unavailable" },
        { Reason::AlreadyRan, "already-ran" },
        { Reason::ClaimUnresolved, "claim-unresolved" },
        { Reason::BodyTooLarge, "body-too-large" },
        { Reason::AnswerTooLarge, "answer-too-large" },
        { Reason::AnswerLost, "answer-lost" },
        { Reason::TooManyHops, "too-many-hops" },
        { Reason::PeerUnreachable, "peer-unreachable" },
        { Reason::KeyMismatch, "key-mismatch" },
        { Reason::AdaptiveLimit, "adaptive-limit" },
        { Reason::HostSlow, "host-slow" },
        { Reason::BodyRoom, "body-room" },
        { Reason::AnswerMalformed, "answer-malformed" },
    };
};

/** @return whether a reason for an unknown outcome may be the first sign that the backend server has crashed */
constexpr bool maySignalCrash(Reason reason)
{
    return reason == Reason::AnswerLost || reason == Reason::AnswerMalformed;
}

} // namespace carobjunction
