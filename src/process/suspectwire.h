#pragma once

#include <carobjunction/process/suspecttable.h>

#include <nlohmann/json_fwd.hpp>
#include <peer.pb.h>

#include <vector>

namespace carobjunction
{

/** @return the entries of the table as messages */
std::vector<v1::SuspectEntry> suspectsToWire(const SuspectTable<SteadyClock> &table);

/** Takes an entry of another daemon. @return whether it was valid and news */
bool mergeSuspectFromWire(SuspectTable<SteadyClock> &table, const v1::SuspectEntry &entry);

/** @return the suspected and condemned entries in the form of the operator port */
nlohmann::json suspectsToJson(const SuspectTable<SteadyClock> &table);

} // namespace carobjunction
