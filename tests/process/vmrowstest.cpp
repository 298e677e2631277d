#include "process/vmrows.h"
#include "process/vmrecordcodec.h"

#include <catch2/catch.hpp>

#include <set>

using namespace carobjunction;

namespace
{

TableRow rowOf(const std::string &daemon, const std::string &address, uint64_t version)
{
    VmRecord record;
    record.daemon = daemon;
    record.address = address;
    return { "vms", daemon, VmRecordCodec::encode(record), version, false };
}

std::set<std::string> supersededRows(const TableRows &table)
{
    std::set<std::string> daemons;
    for (const VmRow &row : readVmRows(table).rows) {
        if (row.isSuperseded) {
            daemons.insert(row.record.daemon);
        }
    }
    return daemons;
}

} // namespace

TEST_CASE("VmRows.addressUsedAgain.laterWrittenRowCounts")
{
    // Guards against a restarted daemon that sends requests for a lost VM to the VM that has its address now (inc-6afb).
    const TableRows rows { { rowOf("lost", "10.0.0.1:1", 7), rowOf("new", "10.0.0.1:1", 9), rowOf("older", "10.0.0.1:1", 3), rowOf("other", "10.0.0.2:1", 1) },
                           9,
                           false };
    CHECK(supersededRows(rows) == std::set<std::string> { "lost", "older" });
}

TEST_CASE("VmRows.unreadableRow.isLeftToTheReader")
{
    TableRow unreadable = rowOf("odd", "10.0.0.1:1", 5);
    unreadable.value = "{";
    const TableRows table { { unreadable, rowOf("new", "10.0.0.1:1", 9) }, 9, false };
    CHECK(supersededRows(table).empty());
    CHECK(readVmRows(table).unreadable == std::vector<std::string> { "odd" });
}

TEST_CASE("VmRows.rowUnderAnotherKey.supersedesNone")
{
    // Guards against a row that names no target, and yet takes a sound one out.
    TableRow foreign = rowOf("new", "10.0.0.1:1", 9);
    foreign.key = "other-writer";
    CHECK(supersededRows({ { rowOf("sound", "10.0.0.1:1", 7), foreign }, 9, false }).empty());
}
