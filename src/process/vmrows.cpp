#include "process/vmrows.h"

#include "process/vmrecordcodec.h"

#include <map>

namespace carobjunction
{

std::set<std::string> supersededRows(const TableRows &rows)
{
    std::map<std::string, const TableRow *> latest; // by address
    std::set<std::string> superseded;
    for (const TableRow &row : rows.rows) {
        const auto record = VmRecordCodec::decode(row.value);
        if (!record) {
            continue;
        }
        const auto [found, isNew] = latest.try_emplace(record->address, &row);
        if (isNew) {
            continue;
        }
        const bool isLater = row.version > found->second->version;
        superseded.insert(isLater ? found->second->key : row.key);
        found->second = isLater ? &row : found->second;
    }
    return superseded;
}

} // namespace carobjunction
