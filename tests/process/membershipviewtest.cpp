#include "process/memorycluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace carobjunction::testing;

namespace
{

using View = MembershipView<FakeClock>;

Member makeEntry(std::size_t number, uint64_t incarnation, uint64_t revision, MemberState state)
{
    Member member = MemoryCluster::makeMember(number, 1, incarnation);
    member.revision = revision;
    member.state = state;
    return member;
}

rc::Gen<std::vector<Member>> arbitraryEntries()
{
    const auto entry = rc::gen::apply(
        [](int number, int incarnation, int revision, int state) {
            return makeEntry(
                static_cast<std::size_t>(number), static_cast<uint64_t>(incarnation), static_cast<uint64_t>(revision), static_cast<MemberState>(state));
        },
        rc::gen::inRange(1, 6),
        rc::gen::inRange(1, 4),
        rc::gen::inRange(0, 4),
        rc::gen::inRange(0, 5));
    return rc::gen::container<std::vector<Member>>(entry);
}

} // namespace

TEST_CASE("MembershipView.sameEntriesInAnyOrderAndNumber.viewsAreEqual", "[membership]")
{
    // Guards against views that differ permanently because they merged the same entries in different orders, and against entries that are
    // replaced by older ones.
    CHECK(rc::check([] {
        const FakeClock clock;
        const std::vector<Member> entries = *arbitraryEntries();
        std::vector<Member> others = entries;
        others.insert(others.end(), entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(entries.size() / 2));
        std::shuffle(others.begin(), others.end(), std::mt19937_64(*rc::gen::arbitrary<uint64_t>()));
        View first(clock, makeEntry(0, 1, 0, MemberState::Up));
        View second(clock, makeEntry(0, 1, 0, MemberState::Up));
        first.merge(entries, "x");
        for (const Member &entry : others) {
            const MemberPointer before = second.find(entry.daemon);
            second.merge({ entry }, "y");
            RC_ASSERT(second.find(entry.daemon)->entryVersion() >= entry.entryVersion());
            RC_ASSERT((!before || second.find(entry.daemon)->entryVersion() >= before->entryVersion()));
        }
        RC_ASSERT(first.digest() == second.digest());
        RC_ASSERT(first.members()->size() == second.members()->size());
        for (const MemberList list = first.members(); const MemberPointer &member : *list) {
            RC_ASSERT(*member == *second.find(member->daemon));
        }
    }));
}

TEST_CASE("MembershipView.lateEntryOfRemovedMember.doesNotReviveIt", "[membership]")
{
    // Guards against a delayed message that adds a terminated process to the view again.
    CHECK(rc::check([] {
        FakeClock clock;
        View view(clock, makeEntry(0, 1, 0, MemberState::Up));
        const auto incarnation = *rc::gen::inRange<uint64_t>(1, 5);
        const auto revision = *rc::gen::inRange<uint64_t>(0, 5);
        view.merge({ makeEntry(1, incarnation, revision, *rc::gen::element(MemberState::Failed, MemberState::Left)) }, "x");
        clock.advance(std::chrono::minutes(10));
        view.expire(true);
        RC_ASSERT(!view.find("daemon-1"));
        const auto lateIncarnation = *rc::gen::inRange<uint64_t>(1, incarnation + 1);
        const uint64_t lateRevision = lateIncarnation == incarnation ? *rc::gen::inRange<uint64_t>(0, revision + 1) : 9;
        const MergeResult result = view.merge({ makeEntry(1, lateIncarnation, lateRevision, MemberState::Up) }, "x");
        RC_ASSERT(!view.find("daemon-1"));
        RC_ASSERT(result.newerEntries.size() == 1U);
        // A new process of the same daemon is let in.
        view.merge({ makeEntry(1, incarnation + 1, 0, MemberState::Up) }, "x");
        RC_ASSERT(view.find("daemon-1")->isLive());
    }));
}

TEST_CASE("MembershipView.wrongEntryAboutItself.isRefuted", "[membership]")
{
    // Guards against a healthy daemon that stays evicted after other daemons have suspected it.
    CHECK(rc::check([] {
        const FakeClock clock;
        View view(clock, makeEntry(0, 2, 3, MemberState::Up));
        const Member wrong
            = makeEntry(0, *rc::gen::inRange<uint64_t>(1, 4), *rc::gen::inRange<uint64_t>(0, 6), *rc::gen::element(MemberState::Failed, MemberState::Left));
        const MemberEntryVersion before = view.own().entryVersion();
        view.merge({ wrong }, "x");
        RC_ASSERT(view.own().state == MemberState::Up);
        RC_ASSERT(view.own().entryVersion() >= before);
        RC_ASSERT(view.own().entryVersion() > wrong.entryVersion());
    }));
}

TEST_CASE("MembershipView.suspectedWhileLeaving.acceptsNoWork", "[membership]")
{
    // Guards against requests to a leaving target whose daemon is suspected, if the suspected state replaces the leaving state.
    const FakeClock clock;
    View view(clock, makeEntry(0, 1, 0, MemberState::Up));
    view.merge({ makeEntry(60, 1, 0, MemberState::Leaving), makeEntry(120, 1, 0, MemberState::Up) }, "x");
    CHECK(view.suspect("daemon-60", view.find("daemon-60")->entryVersion()));
    CHECK(view.suspect("daemon-120", view.find("daemon-120")->entryVersion()));
    REQUIRE(view.targets("service-0")->size() == 2);
    CHECK(view.targets("service-0")->back()->daemon == "daemon-120");
}

TEST_CASE("MembershipView.handlerThatReadsTheView.doesNotDeadlock", "[membership]")
{
    // Guards against change handlers that are called while the view holds its lock: a handler that reads the view would deadlock.
    const FakeClock clock;
    View view(clock, makeEntry(0, 1, 0, MemberState::Up));
    std::vector<std::string> seen;
    view.setChangeHandler([&](const MemberChange &change) { seen.push_back(view.find(change.after->daemon)->daemon); });
    view.merge({ makeEntry(1, 1, 0, MemberState::Up) }, "x");
    CHECK(seen == std::vector<std::string> { "daemon-1" });
}

namespace
{

using Links = std::set<std::pair<std::string, std::string>>;

Links computeLinks(const std::vector<MemberPointer> &members)
{
    Links links;
    for (const MemberPointer &member : members) {
        const Neighbours neighbours = computeNeighbours(members, member->daemon);
        for (const auto &part : { neighbours.local, neighbours.remote }) {
            for (const std::string &to : part) {
                links.emplace(member->daemon, to);
            }
        }
    }
    return links;
}

std::vector<MemberPointer> makeMembers(std::size_t first, std::size_t count)
{
    std::vector<MemberPointer> members;
    for (std::size_t number = 0; number < count; ++number) {
        members.push_back(std::make_shared<const Member>(MemoryCluster::makeMember(first + number, 2)));
    }
    return members;
}

} // namespace

TEST_CASE("Overlay.anyMembers.connectsAll", "[membership]")
{
    // Guards against daemons that pushed updates do not reach because the overlay network is not connected.
    CHECK(rc::check([] {
        const auto members = makeMembers(*rc::gen::inRange<std::size_t>(0, 100000), *rc::gen::inRange<std::size_t>(2, 120));
        const Links links = computeLinks(members);
        std::set<std::string> reached { members.front()->daemon };
        for (std::size_t before = 0; before != reached.size();) {
            before = reached.size();
            for (const auto &[from, to] : links) {
                if (reached.count(from) > 0) {
                    reached.insert(to);
                }
            }
        }
        RC_ASSERT(reached.size() == members.size());
    }));
}

TEST_CASE("Overlay.oneJoinOrLeave.changesFewLinks", "[membership]")
{
    // Guards against a restart of one daemon that makes all daemons reconnect.
    const std::size_t count = GENERATE(20U, 100U);
    const auto members = makeMembers(0, count);
    const Links linksBeforeLeave = computeLinks(members);
    std::size_t changed = 0;
    for (const MemberPointer &leavingMember : members) {
        std::vector<MemberPointer> others = members;
        std::erase(others, leavingMember);
        const Links linksAfterLeave = computeLinks(others);
        for (const auto &link : linksBeforeLeave) {
            changed += link.first != leavingMember->daemon && link.second != leavingMember->daemon && linksAfterLeave.count(link) == 0 ? 1 : 0;
        }
        changed += static_cast<std::size_t>(
            std::count_if(linksAfterLeave.begin(), linksAfterLeave.end(), [&](const auto &link) { return linksBeforeLeave.count(link) == 0; }));
    }
    // On average, a leave may change at most as many links as start and end at one daemon.
    const OverlayOptions options;
    CHECK(changed <= 2 * (options.successors + options.longRangeLinks) * count);
}
