#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Why a request was answered as it was. The numeric values travel between daemons and never change. */
enum class Reason {
    None = 0,
    Full = 1, /**< All slots and the queue of the target are taken. */
    Leaving = 2, /**< The target accepts no new work. */
    DeadlineTooShort = 3, /**< The remaining time is less than the predicted time to answer. */
    StaleIncarnation = 4, /**< The entry daemon chose a former process of the target. */
    Condemned = 5, /**< The request crashed backend servers before. */
    SuspectBusy = 6, /**< A suspected request could not run alone on the target. */
    CallerShare = 7, /**< The caller holds its fair share of the target already. */
    TargetDown = 8, /**< No backend server is announced, or it refused the connection. */
    WrongService = 9, /**< The target belongs to another service. */
    Shed = 10, /**< The backend server refused the request and said that it did not run. */
    Cancelled = 11, /**< The request was cancelled before dispatch. */
    Malformed = 12,
    UnknownService = 13,
    UnknownRoute = 14,
    NoConfiguration = 15, /**< Neither the store nor a peer has given this daemon a configuration. */
    NoTarget = 16, /**< No target of the service accepts work. */
    DeadlineExceeded = 17,
    StoreUnavailable = 18,
    AlreadyRan = 19,
    ClaimUnresolved = 20, /**< An earlier request with this key was claimed, and its result is not recorded. */
    BodyTooLarge = 21,
    AnswerTooLarge = 22,
    AnswerLost = 23, /**< The connection ended before the whole answer arrived. */
    TooManyHops = 24,
    PeerUnreachable = 25, /**< The peer's daemon could not be reached, so nothing was sent. */
    KeyMismatch = 26, /**< The idempotency key was used before with another request. */
    AdaptiveLimit = 27, /**< The adaptive concurrency limit of the target is reached. */
    HostSlow = 28, /**< Work is slow on the target's VM at this moment. */
    BodyRoom = 29, /**< The entry daemon had no room for the body. Not sent between daemons. */
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
    };
};

} // namespace carobjunction
