#include "process/vmrecordcodec.h"
#include "process/vmrows.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace carobjunction;
using Json = nlohmann::json;

namespace
{

constexpr uint64_t LargestNumber = std::numeric_limits<uint64_t>::max();
constexpr size_t DeepLevels = 100'000;

VmRecord sampleRecord()
{
    VmRecord record;
    record.daemon = "vm-1";
    record.incarnation = 1'700'000'000'000;
    record.revision = 3;
    record.address = "10.0.0.1:8000";
    record.dataCentre = "a";
    record.region = "r";
    record.backend = { "i-1", 1'700'000'000'000, "ordering", 9, BackendState::Ready, false };
    return record;
}

Json sample()
{
    return Json::parse(VmRecordCodec::encode(sampleRecord()));
}

bool isRead(const Json &json)
{
    return VmRecordCodec::decode(json.dump()).has_value();
}

bool isReadWith(const char *pointer, const Json &value)
{
    Json json = sample();
    json[Json::json_pointer(pointer)] = value;
    return isRead(json);
}

std::string nested(const std::string &open, const std::string &close)
{
    std::string text;
    for (size_t i = 0; i < DeepLevels; ++i) {
        text += open;
    }
    text += "1";
    for (size_t i = 0; i < DeepLevels; ++i) {
        text += close;
    }
    return text;
}

} // namespace

TEST_CASE("OddRecord.soundRecord.isReadAsWritten")
{
    // Guards against bounds that leave out what daemons write.
    REQUIRE(isRead(sample()));
    CHECK(isReadWith("/backend/slots", 0));
    CHECK(isReadWith("/address", "[::1]:65535"));
    VmRecord fresh = sampleRecord();
    fresh.backend = {};
    CHECK(VmRecordCodec::decode(VmRecordCodec::encode(fresh)).has_value());
}

TEST_CASE("OddRecord.numberOutOfRange.isUnreadable")
{
    // Guards against numbers that the JSON library turns into others, and versions that their daemon can't supersede.
    for (const char *field : { "/incarnation", "/revision", "/backend/slots", "/backend/bornMs" }) {
        INFO(field);
        for (const Json &value : { Json(-1), Json(1.5), Json(1e300), Json(LargestNumber), Json("1"), Json(true), Json(nullptr) }) {
            INFO(value.dump());
            CHECK_FALSE(isReadWith(field, value));
        }
    }
    CHECK_FALSE(isReadWith("/backend/slots", uint64_t { 1 } << 32U));
}

TEST_CASE("OddRecord.addressOfNoTarget.isUnreadable")
{
    // Guards against a target with a port out of range that each request tries first.
    for (const char *address : { "10.0.0.1:0",
                                 "10.0.0.1:65536",
                                 "10.0.0.1:99999999999",
                                 "10.0.0.1:-1",
                                 "10.0.0.1:80x",
                                 "10.0.0.1",
                                 "host:80",
                                 "",
                                 ":",
                                 "[:80",
                                 "[]:80",
                                 "0.0.0.0:80",
                                 "[::]:80",
                                 "224.0.0.1:80",
                                 "255.255.255.255:80" }) {
        INFO(address);
        CHECK_FALSE(isReadWith("/address", address));
    }
}

TEST_CASE("OddRecord.textOutOfBounds.isUnreadable")
{
    // Guards against records without an identity, and ones that don't fit into a datagram.
    CHECK_FALSE(isReadWith("/daemon", ""));
    for (const char *field : { "/daemon", "/dataCentre", "/region", "/backend/id", "/backend/service" }) {
        INFO(field);
        CHECK_FALSE(isReadWith(field, std::string(100'000, 'x')));
        CHECK_FALSE(isReadWith(field, 7));
    }
    CHECK_FALSE(isReadWith("/backend/id", "")); // a ready backend server without an id
    CHECK_FALSE(isReadWith("/backend/leaving", "yes"));
    CHECK_FALSE(isReadWith("/backend", Json::array()));
}

TEST_CASE("OddRecord.deepNesting.isUnreadable")
{
    // Guards against the end of the process by nesting, be it in the reader, an error or a destructor.
    CHECK_FALSE(VmRecordCodec::decode(nested("[", "]")).has_value());
    CHECK_FALSE(VmRecordCodec::decode(nested("{\"a\":", "}")).has_value());
    CHECK_FALSE(VmRecordCodec::decode(std::string(DeepLevels, '[')).has_value());
    std::string text = VmRecordCodec::encode(sampleRecord());
    text.insert(1, "\"more\":" + std::string(64, '[') + std::string(64, ']') + ",");
    CHECK_FALSE(VmRecordCodec::decode(text).has_value());
}

TEST_CASE("OddRecord.anyChangeOfARecord.endsInARecordWithinBounds")
{
    CHECK(rc::check("a record with a part replaced is unreadable, or has an incarnation that can be superseded", [] {
        Json json = sample();
        const auto number = *rc::gen::arbitrary<int64_t>();
        const Json value = *rc::gen::element<Json>(Json(number),
                                                   Json(static_cast<uint64_t>(number)),
                                                   Json(1e308),
                                                   Json(-0.5),
                                                   Json("10.0.0.1:" + std::to_string(number)),
                                                   Json::array(),
                                                   Json::object());
        const auto field
            = *rc::gen::element<std::string>("/daemon", "/incarnation", "/revision", "/address", "/region", "/stopping", "/backend", "/backend/slots");
        json[Json::json_pointer(field)] = value;
        const auto record = VmRecordCodec::decode(json.dump());
        if (!record) {
            return;
        }
        RC_ASSERT(!record->daemon.empty());
        RC_ASSERT(record->incarnation < LargestNumber / 2);
        RC_ASSERT(record->revision < LargestNumber / 2);
        // What is read is what was written.
        RC_ASSERT(Json::parse(VmRecordCodec::encode(*record)) == json);
    }));
    CHECK(rc::check("any bytes are read or refused", [](const std::string &text) { VmRecordCodec::decode(text); }));
}

TEST_CASE("OddRecord.oddRowAmongOthers.othersHold")
{
    // Guards against one odd row that takes sound ones out.
    TableRows table;
    for (int i = 1; i <= 3; ++i) {
        VmRecord record = sampleRecord();
        record.daemon = "vm-" + std::to_string(i);
        record.address = "10.0.0." + std::to_string(i) + ":8000";
        table.rows.push_back({ "vms", record.daemon, VmRecordCodec::encode(record), 5, false });
    }
    Json odd = sample();
    odd["daemon"] = "odd";
    odd["incarnation"] = LargestNumber;
    table.rows.insert(table.rows.begin() + 1, { "vms", "odd", odd.dump(), 9, false });
    const VmRows read = readVmRows(table);
    CHECK(read.rows.size() == 3);
    CHECK(read.unreadable.size() == 1);
    for (const VmRow &row : read.rows) {
        CHECK_FALSE(row.isSuperseded);
    }
}
