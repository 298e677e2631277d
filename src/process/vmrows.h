#pragma once

#include <carobjunction/process/vmrecord.h>

#include "process/tablestore.h"

#include <string>
#include <vector>

namespace carobjunction
{

/** Row of the VM table in the store. */
struct VmRow {
    VmRecord record;
    uint64_t version = 0; /**< Version of the store at which the row was written. */
    /**
     * Whether another row with the same address was written later. Rows of lost VMs remain in the store while their addresses are reused by
     * new VMs. The order is determined by the versions of the store, because the clocks of VMs differ.
     */
    bool isSuperseded = false;
};

/** Decoded contents of the VM table. */
struct VmRows {
    std::vector<VmRow> rows;
    std::vector<std::string> unreadable; /**< Keys of rows without a valid record of the daemon that the key names. */
    std::vector<std::string> errors; /**< Reasons why the rows of `unreadable` are invalid, in the same order. */
};

/** Decodes the rows of the VM table and sets VmRow::isSuperseded for those that are superseded. */
VmRows readVmRows(const TableRows &table);

} // namespace carobjunction
