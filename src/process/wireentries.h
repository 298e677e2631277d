#pragma once

#include <carobjunction/process/member.h>
#include <carobjunction/version/configtable.h>

#include "peer.pb.h"

#include <optional>

namespace carobjunction
{

/** @return the member as a protocol message */
v1::MemberEntry toWire(const Member &member);

/** @return the member, or empty if a field of the message is missing, too long or out of range */
std::optional<Member> fromWire(const v1::MemberEntry &entry);

/** @return the configuration entry as a protocol message, including its content */
v1::ConfigEntry toWire(const ConfigEntry &entry);

/** @return a message with only the service, the version and the first digits of the hash of the entry */
v1::ConfigEntry toWireWithoutContent(const ConfigEntry &entry);

/** @return the configuration entry of the message; not validated, which ConfigTable::offer() does */
ConfigEntry fromWire(const v1::ConfigEntry &entry);

/** Logs a change in the membership view: a new or removed member, or a change of a member's state or incarnation. */
void logMemberChange(const MemberChange &change);

} // namespace carobjunction
