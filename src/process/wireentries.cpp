#include "process/wireentries.h"

#include <carobjunction/process/membershipview.h>

#include "process/eventlog.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

constexpr std::size_t MaxTextLength = 128;
/** Number of hash digits sent without the content, enough to distinguish versions. The full hash is sent together with the content. */
constexpr std::size_t ShortHashLength = 16;

bool isPrintableText(const std::string &text)
{
    return text.size() <= MaxTextLength && std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character < 0x7f; });
}

} // namespace

v1::MemberEntry toWire(const Member &member)
{
    v1::MemberEntry entry;
    entry.set_daemon(member.daemon);
    entry.set_incarnation(member.incarnation);
    entry.set_revision(member.revision);
    entry.set_region(member.region);
    entry.set_data_centre(member.dataCentre);
    entry.set_peer_address(member.peerAddress);
    entry.set_operator_address(member.operatorAddress);
    entry.set_caller_address(member.callerAddress);
    entry.set_service(member.service);
    entry.set_target_address(member.targetAddress);
    entry.set_target_incarnation(member.targetIncarnation);
    entry.set_slots(member.slots);
    entry.set_state(static_cast<uint32_t>(member.state));
    entry.set_was_leaving(member.wasLeaving);
    return entry;
}

std::optional<Member> fromWire(const v1::MemberEntry &entry)
{
    Member member;
    member.daemon = entry.daemon();
    member.incarnation = entry.incarnation();
    member.revision = entry.revision();
    member.region = entry.region();
    member.dataCentre = entry.data_centre();
    member.peerAddress = entry.peer_address();
    member.operatorAddress = entry.operator_address();
    member.callerAddress = entry.caller_address();
    member.service = entry.service();
    member.targetAddress = entry.target_address();
    member.targetIncarnation = entry.target_incarnation();
    member.slots = entry.slots();
    member.wasLeaving = entry.was_leaving();
    if (entry.state() > static_cast<uint32_t>(MemberState::Left)) {
        return std::nullopt;
    }
    member.state = static_cast<MemberState>(entry.state());
    const bool hasValidTexts = isPrintableText(member.daemon) && isPrintableText(member.region) && isPrintableText(member.dataCentre)
        && isPrintableText(member.peerAddress) && isPrintableText(member.operatorAddress) && isPrintableText(member.callerAddress)
        && isPrintableText(member.service) && isPrintableText(member.targetAddress);
    return hasValidTexts && MembershipView<>::isValid(member) ? std::optional(std::move(member)) : std::nullopt;
}

v1::ConfigEntry toWire(const ConfigEntry &entry)
{
    v1::ConfigEntry wire;
    wire.set_service(entry.service);
    wire.set_version(entry.version);
    wire.set_hash(entry.hash);
    wire.set_publisher(entry.publisher);
    wire.set_publish_id(entry.publishId);
    wire.set_published_at_ms(entry.publishedAtMs);
    wire.set_content(entry.content);
    return wire;
}

v1::ConfigEntry toWireWithoutContent(const ConfigEntry &entry)
{
    v1::ConfigEntry wire;
    wire.set_service(entry.service);
    wire.set_version(entry.version);
    wire.set_hash(entry.hash.substr(0, ShortHashLength));
    return wire;
}

ConfigEntry fromWire(const v1::ConfigEntry &entry)
{
    return { entry.service(), entry.version(), entry.hash(), entry.publisher(), entry.publish_id(), entry.published_at_ms(), entry.content() };
}

void logMemberChange(const MemberChange &change)
{
    if (!change.after) {
        EventLog::write(LogLevel::Info, Event::MemberRemoved, { { "daemon", change.before->daemon } });
        return;
    }
    const Member &member = *change.after;
    if (change.before && change.before->state == member.state && change.before->incarnation == member.incarnation) {
        return;
    }
    Event event = change.before ? Event::MemberChanged : Event::MemberJoined;
    LogLevel level = LogLevel::Info;
    if (member.state == MemberState::Suspected || member.state == MemberState::Failed) {
        event = member.state == MemberState::Failed ? Event::MemberFailed : Event::MemberSuspected;
        level = LogLevel::Warning;
    }
    EventLog::write(level,
                    event,
                    { { "daemon", member.daemon },
                      { "incarnation", std::to_string(member.incarnation) },
                      { "revision", std::to_string(member.revision) },
                      { "state", std::string(nameOf(member.state)) },
                      { "former", change.before ? std::string(nameOf(change.before->state)) : "none" },
                      { "region", member.region } });
}

} // namespace carobjunction
