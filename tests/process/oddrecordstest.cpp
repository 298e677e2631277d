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

constexpr uint64_t MaxUint64 = std::numeric_limits<uint64_t>::max();
constexpr size_t NestingDepth = 100'000;

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

Json sampleJson()
{
    return Json::parse(VmRecordCodec::encode(sampleRecord()));
}

bool isDecodable(const Json &json)
{
    return VmRecordCodec::decode(json.dump()).has_value();
}

bool isDecodableWith(const char *pointer, const Json &value)
{
    Json json = sampleJson();
    json[Json::json_pointer(pointer)] = value;
    return isDecodable(json);
}

std::string nestedText(const std::string &open, const std::string &close)
{
    std::string text;
    for (size_t i = 0; i < NestingDepth; ++i) {
        text += open;
    }
    text += "1";
    for (size_t i = 0; i < NestingDepth; ++i) {
        text += close;
    }
    return text;
}

} // namespace

TEST_CASE("OddRecord.soundRecord.isReadAsWritten")
{
    // Guards against validity checks that reject records which daemons write.
    REQUIRE(isDecodable(sampleJson()));
    CHECK(isDecodableWith("/backend/slots", 0));
    CHECK(isDecodableWith("/address", "[::1]:65535"));
    VmRecord recordWithoutBackend = sampleRecord();
    recordWithoutBackend.backend = {};
    CHECK(VmRecordCodec::decode(VmRecordCodec::encode(recordWithoutBackend)).has_value());
}

TEST_CASE("OddRecord.numberOutOfRange.isUnreadable")
{
    // Guards against numbers that the JSON library converts to other values, and against versions so high that the daemon can't supersede them.
    for (const char *field : { "/incarnation", "/revision", "/backend/slots", "/backend/bornMs" }) {
        INFO(field);
        for (const Json &value : { Json(-1), Json(1.5), Json(1e300), Json(MaxUint64), Json("1"), Json(true), Json(nullptr) }) {
            INFO(value.dump());
            CHECK_FALSE(isDecodableWith(field, value));
        }
    }
    CHECK_FALSE(isDecodableWith("/backend/slots", uint64_t { 1 } << 32U));
}

TEST_CASE("OddRecord.addressOfNoTarget.isUnreadable")
{
    // Guards against a target with an invalid address, such as a port out of range, to which every request would be sent first.
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
        CHECK_FALSE(isDecodableWith("/address", address));
    }
}

TEST_CASE("OddRecord.textOutOfBounds.isUnreadable")
{
    // Guards against records without a daemon id or backend server id, and against records that are too large for a datagram.
    CHECK_FALSE(isDecodableWith("/daemon", ""));
    for (const char *field : { "/daemon", "/dataCentre", "/region", "/backend/id", "/backend/service" }) {
        INFO(field);
        CHECK_FALSE(isDecodableWith(field, std::string(100'000, 'x')));
        CHECK_FALSE(isDecodableWith(field, 7));
    }
    CHECK_FALSE(isDecodableWith("/backend/id", "")); // a ready backend server without an id
    CHECK_FALSE(isDecodableWith("/backend/leaving", "yes"));
    CHECK_FALSE(isDecodableWith("/backend", Json::array()));
}

TEST_CASE("OddRecord.fieldThatOccursTwice.isUnreadable")
{
    // Guards against readers that take different values from the record of another writer.
    const std::string text = VmRecordCodec::encode(sampleRecord());
    for (const std::string field : { "\"daemon\":", "\"incarnation\":", "\"bornMs\":", "\"leaving\":" }) {
        INFO(field);
        std::string twice = text;
        twice.insert(twice.find(field), field + "0,");
        CHECK_FALSE(VmRecordCodec::decode(twice).has_value());
    }
}

TEST_CASE("OddRecord.recordOfAnEarlierProgram.isNotVerified")
{
    CHECK(VmRecordCodec::decode(sampleJson().dump())->backend.isVerified);
    Json json = sampleJson();
    json["backend"].erase("verified");
    REQUIRE(isDecodable(json));
    CHECK_FALSE(VmRecordCodec::decode(json.dump())->backend.isVerified);
    CHECK_FALSE(isDecodableWith("/backend/verified", 1));
}

TEST_CASE("OddRecord.deepNesting.isUnreadable")
{
    // Guards against a stack overflow caused by deep nesting, in the parser, in the construction of an error or in a destructor.
    CHECK_FALSE(VmRecordCodec::decode(nestedText("[", "]")).has_value());
    CHECK_FALSE(VmRecordCodec::decode(nestedText("{\"a\":", "}")).has_value());
    CHECK_FALSE(VmRecordCodec::decode(std::string(NestingDepth, '[')).has_value());
    std::string text = VmRecordCodec::encode(sampleRecord());
    text.insert(1, "\"more\":" + std::string(64, '[') + std::string(64, ']') + ",");
    CHECK_FALSE(VmRecordCodec::decode(text).has_value());
}

TEST_CASE("OddRecord.anyChangeOfARecord.endsInARecordWithinBounds")
{
    CHECK(rc::check("a record with one field replaced is unreadable, or has an incarnation and revision that can be superseded", [] {
        Json json = sampleJson();
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
        RC_ASSERT(record->incarnation < MaxUint64 / 2);
        RC_ASSERT(record->revision < MaxUint64 / 2);
        // Encoding the decoded record gives the input again.
        RC_ASSERT(Json::parse(VmRecordCodec::encode(*record)) == json);
    }));
    CHECK(rc::check("arbitrary bytes are decoded or rejected", [](const std::string &text) { VmRecordCodec::decode(text); }));
}

TEST_CASE("OddRecord.oddRowAmongOthers.othersRemainValid")
{
    // Guards against an invalid row that makes valid rows unreadable or superseded.
    TableRows table;
    for (int i = 1; i <= 3; ++i) {
        VmRecord record = sampleRecord();
        record.daemon = "vm-" + std::to_string(i);
        record.address = "10.0.0." + std::to_string(i) + ":8000";
        table.rows.push_back({ "vms", record.daemon, VmRecordCodec::encode(record), 5, false });
    }
    Json invalid = sampleJson();
    invalid["daemon"] = "odd";
    invalid["incarnation"] = MaxUint64;
    table.rows.insert(table.rows.begin() + 1, { "vms", "odd", invalid.dump(), 9, false });
    const VmRows decodedRows = readVmRows(table);
    CHECK(decodedRows.rows.size() == 3);
    CHECK(decodedRows.unreadable.size() == 1);
    for (const VmRow &row : decodedRows.rows) {
        CHECK_FALSE(row.isSuperseded);
    }
}
