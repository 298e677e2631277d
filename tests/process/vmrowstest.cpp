#include "process/vmrows.h"
#include "process/vmrecordcodec.h"

#include <catch2/catch.hpp>

#include <set>

using namespace carobjunction;

namespace
{

TableRow makeRow(const std::string &daemon, const std::string &address, uint64_t version)
{
    VmRecord record;
    record.daemon = daemon;
    record.address = address;
    return { "vms", daemon, VmRecordCodec::encode(record), version, false };
}

std::set<std::string> supersededDaemons(const TableRows &table)
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
    // Guards against a restarted daemon that sends requests for a lost VM to the VM that has reused its address (incident inc-6afb).
    const TableRows rows {
        { makeRow("lost", "10.0.0.1:1", 7), makeRow("new", "10.0.0.1:1", 9), makeRow("older", "10.0.0.1:1", 3), makeRow("other", "10.0.0.2:1", 1) }, 9, false
    };
    CHECK(supersededDaemons(rows) == std::set<std::string> { "lost", "older" });
}

TEST_CASE("VmRows.unreadableRow.isReportedAsUnreadable")
{
    TableRow unreadable = makeRow("odd", "10.0.0.1:1", 5);
    unreadable.value = "{";
    const TableRows table { { unreadable, makeRow("new", "10.0.0.1:1", 9) }, 9, false };
    CHECK(supersededDaemons(table).empty());
    CHECK(readVmRows(table).unreadable == std::vector<std::string> { "odd" });
}

TEST_CASE("VmRows.rowUnderAnotherKey.supersedesNone")
{
    // Guards against an invalid row, whose key does not match its daemon, that supersedes a valid row with the same address.
    TableRow rowUnderAnotherKey = makeRow("new", "10.0.0.1:1", 9);
    rowUnderAnotherKey.key = "other-writer";
    CHECK(supersededDaemons({ { makeRow("sound", "10.0.0.1:1", 7), rowUnderAnotherKey }, 9, false }).empty());
}
