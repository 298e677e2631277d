#pragma once

#include <carobjunction/process/member.h>
#include <carobjunction/version/configtable.h>

#include "peer.pb.h"

#include <optional>

namespace carobjunction
{

/** @return the entry as it travels between daemons */
v1::MemberEntry toWire(const Member &member);

/** @return the entry, or empty if a field is missing, too long or out of range */
std::optional<Member> fromWire(const v1::MemberEntry &entry);

/** @return the entry with its content */
v1::ConfigEntry toWire(const ConfigEntry &entry);

/** @return an entry that names the version and the first digits of the hash only */
v1::ConfigEntry versionOnly(const ConfigEntry &entry);

/** @return the entry; ConfigTable::offer() checks it */
ConfigEntry fromWire(const v1::ConfigEntry &entry);

/** Writes the log line of a change in the membership view, if it deserves one. */
void logMemberChange(const MemberChange &change);

} // namespace carobjunction
