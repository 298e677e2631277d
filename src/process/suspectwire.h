#pragma once

#include <carobjunction/process/suspecttable.h>

#include <nlohmann/json_fwd.hpp>
#include <peer.pb.h>

#include <vector>

namespace carobjunction
{

/** @return the entries of the table as protocol messages */
std::vector<v1::SuspectEntry> suspectsToWire(const SuspectTable<SteadyClock> &table);

/**
 * Validates an entry received from another daemon and merges it into the table.
 * @return whether the entry was valid and changed the table
 */
bool mergeSuspectFromWire(SuspectTable<SteadyClock> &table, const v1::SuspectEntry &entry);

/** @return the suspected and condemned entries as JSON for the operator port */
nlohmann::json suspectsToJson(const SuspectTable<SteadyClock> &table);

} // namespace carobjunction
