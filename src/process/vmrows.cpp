#include "process/vmrows.h"

#include "process/vmrecordcodec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carobjunction
{

VmRows readVmRows(const TableRows &table)
{
    VmRows result;
    std::map<std::string, uint64_t> latestVersions; // highest row version by address
    for (const TableRow &row : table.rows) {
        std::string fault = "record belongs to another daemon than the row key";
        auto record = VmRecordCodec::decode(row.value, &fault);
        if (!record || record->daemon != row.key) {
            result.unreadable.push_back(row.key);
            result.faults.push_back(row.isUnreadable ? "row does not have the format of the table" : fault);
            continue;
        }
        uint64_t &version = latestVersions[record->address];
        version = std::max(version, row.version);
        result.rows.push_back({ std::move(*record), row.version });
    }
    for (VmRow &row : result.rows) {
        row.isSuperseded = row.version < latestVersions[row.record.address];
    }
    return result;
}

} // namespace carobjunction
