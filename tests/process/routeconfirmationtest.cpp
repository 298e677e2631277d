#include "fakeclock.h"

#include <carobjunction/process/routeconfirmation.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

struct RouteConfirmationFixture {
    FakeClock clock;
    RouteConfirmation confirmation;
};

/** Daemon in a simulated fleet: its routes, and what it knows about their age. */
struct Member {
    uint64_t version = 0;
    double checkFraction = 0;
    RouteConfirmation confirmation;
};

/** Fleet whose watches are all dead, so that its members learn of new versions only by checks and reports. */
struct FleetFixture {
    static constexpr size_t MemberCount = 12;
    static constexpr Duration Step = 10ms;
    static constexpr Duration Run = 60s;

    explicit FleetFixture(uint32_t seed) : random(seed), members(MemberCount)
    {
    }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    bool occurs(double probability)
    {
        return std::bernoulli_distribution(probability)(random);
    }

    /** A member reports to another one, which fetches newer routes in half of the cases; the others, and a fifth of the reports, are lost. */
    void report(const Member &sender, Member &receiver)
    {
        const auto age = sender.confirmation.age(clock.now());
        if (!age || occurs(0.2)) {
            return;
        }
        if (sender.version > receiver.version && occurs(0.5)) {
            receiver.version = sender.version;
        }
        receiver.confirmation.confirmByPeer(sender.version, receiver.version, *age, clock.now());
    }

    /** A member reads the newest version from the store and reports to all. */
    void check(Member &member)
    {
        ++checks;
        member.checkFraction = fraction();
        member.confirmation.onCheckStarted(clock.now());
        member.version = publishedAt.size();
        member.confirmation.confirm(clock.now());
        for (Member &receiver : members) {
            report(member, receiver);
        }
    }

    /** @return time for which the member has been without the version that follows its own */
    Duration delayOf(const Member &member) const
    {
        return member.version == publishedAt.size() ? Duration::zero() : clock.now() - publishedAt[member.version];
    }

    /** Runs the fleet. @return longest time for which a member was without a version that had been published */
    Duration longestDelay()
    {
        Duration longest = 0s;
        const TimePoint end = clock.now() + Run;
        while (clock.now() < end) {
            clock.advance(Step);
            if (occurs(0.005)) {
                publishedAt.push_back(clock.now());
            }
            for (Member &member : members) {
                if (member.confirmation.untilCheck(member.checkFraction, clock.now()) == 0s) {
                    check(member);
                }
                if (occurs(0.01)) {
                    report(member, members[random() % MemberCount]);
                }
                longest = std::max(longest, delayOf(member));
            }
        }
        return longest;
    }

    FakeClock clock;
    std::mt19937 random;
    std::vector<Member> members;
    std::vector<TimePoint> publishedAt; /**< Time of publication of each version; versions count from 1. */
    int checks = 0;
};

} // namespace

TEST_CASE_METHOD(RouteConfirmationFixture, "RouteConfirmation.nothingConfirmed.checkIsDue")
{
    CHECK(confirmation.untilCheck(1, clock.now()) == 0s);
    CHECK_FALSE(confirmation.age(clock.now()));
}

TEST_CASE_METHOD(RouteConfirmationFixture, "RouteConfirmation.confirmed.checkIsDueWithinMaxAge")
{
    confirmation.confirm(clock.now());
    CHECK(confirmation.untilCheck(0, clock.now()) == RouteConfirmation::MinCheckAge);
    CHECK(confirmation.untilCheck(1, clock.now()) == RouteConfirmation::MaxAge);
    clock.advance(RouteConfirmation::MaxAge);
    CHECK(confirmation.untilCheck(1, clock.now()) == 0s);
}

TEST_CASE_METHOD(RouteConfirmationFixture, "RouteConfirmation.olderConfirmation.doesNotReplaceALaterOne")
{
    confirmation.confirm(clock.now());
    confirmation.confirmByPeer(1, 1, 800ms, clock.now());
    CHECK(confirmation.age(clock.now()) == 0s);
}

TEST_CASE_METHOD(RouteConfirmationFixture, "RouteConfirmation.peerWithNewerRoutes.confirmsNothing")
{
    // Guards against a daemon that takes its old routes for the newest, because a peer has confirmed newer ones.
    confirmation.confirmByPeer(8, 7, 0ms, clock.now());
    CHECK_FALSE(confirmation.age(clock.now()));
    confirmation.confirmByPeer(6, 7, 100ms, clock.now());
    CHECK(confirmation.age(clock.now()) == 100ms);
}

TEST_CASE_METHOD(RouteConfirmationFixture, "RouteConfirmation.failedCheck.isNotRepeatedAtOnce")
{
    confirmation.onCheckStarted(clock.now());
    CHECK(confirmation.untilCheck(0, clock.now()) == RouteConfirmation::MinCheckInterval);
}

TEST_CASE("RouteConfirmation.fleetWithoutWatches.learnsNewVersionsWithinMaxAge")
{
    // Guards against a fleet whose members confirm outdated routes to each other, in any order of versions, checks and lost reports.
    const uint32_t seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    FleetFixture fleet(seed);
    CHECK(fleet.longestDelay() <= RouteConfirmation::MaxAge + FleetFixture::Step);
    // Each member on its own would ask at least once in MaxAge.
    constexpr auto CheckCountAlone = FleetFixture::MemberCount * (FleetFixture::Run / RouteConfirmation::MaxAge);
    CHECK(fleet.checks < static_cast<int>(CheckCountAlone / 3));
}
