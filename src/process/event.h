#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Log events with their numbers. They are documented in docs/events.md, which a test compares with this list. */
enum class Event {
    // 1000: process
    DaemonStarted = 1001,
    DaemonReady = 1002,
    DaemonStopping = 1003,
    DaemonStopped = 1004,
    SettingsRejected = 1005,
    PortUnavailable = 1008,
    LinesDropped = 1009,
    SettingsReloaded = 1010,
    TaskFailed = 1011,
    // 2000: requests
    RouteDecided = 2001,
    AdmissionDecided = 2002,
    CallAnswered = 2003,
    RetryDecided = 2004,
    RequestRejected = 2006,
    AnswerDiscarded = 2007,
    CancelSent = 2008,
    AnswerUndelivered = 2009,
    // 3000: targets
    TargetAnnounced = 3001,
    TargetLeaving = 3002,
    TargetDrained = 3003,
    DrainLimitReached = 3004,
    TargetEjected = 3005,
    TargetReturned = 3006,
    TargetDown = 3007,
    LimitChanged = 3008,
    SuspectRecorded = 3009,
    SuspectCleared = 3010,
    SuspectCondemned = 3011,
    // 4000: membership
    MemberJoined = 4001,
    MemberChanged = 4002,
    MemberSuspected = 4003,
    MemberFailed = 4004,
    MemberRemoved = 4005,
    SuspicionRefuted = 4006,
    JoinFailed = 4007,
    JoinSucceeded = 4008,
    // 5000: configuration
    ConfigInForce = 5001,
    ConfigRejected = 5002,
    ConfigConflict = 5003,
    ConfigPollFailed = 5004,
    // 6000: store
    StoreUnavailable = 6001,
    StoreRecovered = 6002,
    ClaimWon = 6003,
    ClaimLost = 6004,
    ClaimReleased = 6005,
    ClaimResultRecorded = 6006,
    LeaseAcquired = 6007,
    LeaseLost = 6008,
    FencedWriteRefused = 6009,
    WatchAbandoned = 6010,
};

template<>
struct EnumNames<Event> {
    static constexpr std::pair<Event, std::string_view> Table[] = {
        { Event::DaemonStarted, "daemon-started" },
        { Event::DaemonReady, "daemon-ready" },
        { Event::DaemonStopping, "daemon-stopping" },
        { Event::DaemonStopped, "daemon-stopped" },
        { Event::SettingsRejected, "settings-rejected" },
        { Event::PortUnavailable, "port-unavailable" },
        { Event::LinesDropped, "lines-dropped" },
        { Event::SettingsReloaded, "settings-reloaded" },
        { Event::TaskFailed, "task-failed" },
        { Event::RouteDecided, "route-decided" },
        { Event::AdmissionDecided, "admission-decided" },
        { Event::CallAnswered, "call-answered" },
        { Event::RetryDecided, "retry-decided" },
        { Event::RequestRejected, "request-rejected" },
        { Event::AnswerDiscarded, "answer-discarded" },
        { Event::CancelSent, "cancel-sent" },
        { Event::AnswerUndelivered, "answer-undelivered" },
        { Event::TargetAnnounced, "target-announced" },
        { Event::TargetLeaving, "target-leaving" },
        { Event::TargetDrained, "target-drained" },
        { Event::DrainLimitReached, "drain-limit-reached" },
        { Event::TargetEjected, "target-ejected" },
        { Event::TargetReturned, "target-returned" },
        { Event::TargetDown, "target-down" },
        { Event::LimitChanged, "limit-changed" },
        { Event::SuspectRecorded, "suspect-recorded" },
        { Event::SuspectCleared, "suspect-cleared" },
        { Event::SuspectCondemned, "suspect-condemned" },
        { Event::MemberJoined, "member-joined" },
        { Event::MemberChanged, "member-changed" },
        { Event::MemberSuspected, "member-suspected" },
        { Event::MemberFailed, "member-failed" },
        { Event::MemberRemoved, "member-removed" },
        { Event::SuspicionRefuted, "suspicion-refuted" },
        { Event::JoinFailed, "join-failed" },
        { Event::JoinSucceeded, "join-succeeded" },
        { Event::ConfigInForce, "config-in-force" },
        { Event::ConfigRejected, "config-rejected" },
        { Event::ConfigConflict, "config-conflict" },
        { Event::ConfigPollFailed, "config-poll-failed" },
        { Event::StoreUnavailable, "store-unavailable" },
        { Event::StoreRecovered, "store-recovered" },
        { Event::ClaimWon, "claim-won" },
        { Event::ClaimLost, "claim-lost" },
        { Event::ClaimReleased, "claim-released" },
        { Event::ClaimResultRecorded, "claim-result-recorded" },
        { Event::LeaseAcquired, "lease-acquired" },
        { Event::LeaseLost, "lease-lost" },
        { Event::FencedWriteRefused, "fenced-write-refused" },
        { Event::WatchAbandoned, "watch-abandoned" },
    };
};

} // namespace carobjunction
