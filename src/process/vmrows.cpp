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
        std::string errorMessage = "the daemon in the record differs from the key of the row";
        auto record = VmRecordCodec::decode(row.value, &errorMessage);
        if (!record || record->daemon != row.key) {
            result.unreadable.push_back(row.key);
            result.errors.push_back(row.isUnreadable ? "the row does not have the row format of the table service" : errorMessage);
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
