#pragma once

#include <carobjunction/process/vmrecord.h>

#include "process/tablestore.h"

#include <string>
#include <vector>

namespace carobjunction
{

/** A row of the VM table. */
struct VmRow {
    VmRecord record;
    uint64_t version = 0; /**< Version of the store at which it was written. */
    /**
     * Whether another row with the same address was written later. Rows of lost VMs stay in the store, and their addresses are used
     * again. This goes by the store's versions, since the clocks of VMs differ.
     */
    bool isSuperseded = false;
};

/** The VM table as it was read. */
struct VmRows {
    std::vector<VmRow> rows;
    std::vector<std::string> unreadable; /**< Keys of rows that hold no record of the daemon that the key names. */
    std::vector<std::string> faults; /**< Why they can't be read, in the same order. */
};

VmRows readVmRows(const TableRows &table);

} // namespace carobjunction
