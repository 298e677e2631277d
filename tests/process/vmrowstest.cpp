#include "process/vmrows.h"
#include "process/vmrecordcodec.h"

#include <catch2/catch.hpp>

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

} // namespace

TEST_CASE("SupersededRows.addressUsedAgain.laterWrittenRowCounts")
{
    // Guards against a restarted daemon that sends requests for a lost VM to the VM that has its address now (inc-6afb).
    const TableRows rows { { rowOf("lost", "10.0.0.1:1", 7), rowOf("new", "10.0.0.1:1", 9), rowOf("older", "10.0.0.1:1", 3), rowOf("other", "10.0.0.2:1", 1) },
                           9,
                           false };
    CHECK(supersededRows(rows) == std::set<std::string> { "lost", "older" });
}

TEST_CASE("SupersededRows.unreadableRow.isLeftToTheReader")
{
    TableRow unreadable = rowOf("odd", "10.0.0.1:1", 5);
    unreadable.value = "{";
    CHECK(supersededRows({ { unreadable, rowOf("new", "10.0.0.1:1", 9) }, 9, false }).empty());
}
