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
    std::map<std::string, uint64_t> latest; // version by address
    for (const TableRow &row : table.rows) {
        std::string fault = "the record of another daemon";
        auto record = VmRecordCodec::decode(row.value, &fault);
        if (!record || record->daemon != row.key) {
            result.unreadable.push_back(row.key);
            result.faults.push_back(row.isUnreadable ? "another form than that of the table" : fault);
            continue;
        }
        uint64_t &version = latest[record->address];
        version = std::max(version, row.version);
        result.rows.push_back({ std::move(*record), row.version });
    }
    for (VmRow &row : result.rows) {
        row.isSuperseded = row.version < latest[row.record.address];
    }
    return result;
}

} // namespace carobjunction
