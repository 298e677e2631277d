#pragma once

#include "process/tablestore.h"

#include <set>
#include <string>

namespace carobjunction
{

/**
 * Rows of lost VMs stay in the store, and their addresses are used again. Of the rows with one address, the one written last is of the VM that
 * has the address now. This goes by the store's versions, since the clocks of VMs differ.
 * @return keys of the other rows. Rows that can't be read are not among them.
 */
std::set<std::string> supersededRows(const TableRows &rows);

} // namespace carobjunction
