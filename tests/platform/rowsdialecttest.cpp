#include "platform/rowsdialect.h"

#include "process/tablestore.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace carobjunction;
using namespace carobjunction::platform;
using Json = nlohmann::json;

namespace
{

HttpResponse makeResponse(const std::string &body, http::status status = http::status::ok)
{
    HttpResponse response(status, 11);
    response.body() = body;
    return response;
}

Json validRow(const std::string &key)
{
    return { { "table_name", "vms" }, { "key", key }, { "value", "YQ==" }, { "ver", 7 } };
}

/** @return malformed rows that another writer, or another version of the store, could have written */
std::vector<Json> malformedRows()
{
    const auto withField = [](const std::string &field, const Json &value) {
        Json row = validRow("odd");
        row[field] = value;
        return row;
    };
    Json withoutKey = validRow("odd");
    withoutKey.erase("key");
    Json withoutValue = validRow("odd");
    withoutValue.erase("value");
    return { withField("value", 5),
             withField("value", "no base64!"),
             withField("value", "YQ"),
             withField("value", "===="),
             withField("value", Json::object()),
             withField("value", nullptr),
             withField("ver", "7"),
             withField("ver", -1),
             withField("ver", 1.5),
             withField("ver", 1e300),
             withField("table_name", 3),
             withField("deleted", "yes"),
             withField("key", 3),
             withField("key", nullptr),
             withoutKey,
             withoutValue,
             Json(3),
             Json("text"),
             Json(nullptr),
             Json::array(),
             Json::object() };
}

std::vector<std::string> validKeys(const std::vector<TableRow> &rows)
{
    std::vector<std::string> keys;
    for (const TableRow &row : rows) {
        if (row.value == "a") {
            keys.push_back(row.key);
        }
    }
    return keys;
}

std::string nestedArrays(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_CASE("RowsDialect.malformedRowOnAPage.otherRowsAreRead")
{
    // Guards against one malformed row that prevents a reader from reading the whole table.
    for (const Json &malformedRow : malformedRows()) {
        INFO(malformedRow.dump());
        const Json body { { "rows", { validRow("first"), malformedRow, validRow("last") } }, { "ver", 9 }, { "has_more", false } };
        const auto rows = RowsDialect::parseRowsResponse(makeResponse(body.dump()));
        REQUIRE(rows.has_value());
        CHECK(validKeys(rows->rows) == std::vector<std::string> { "first", "last" });
        CHECK(rows->version == 9);
        const auto change = RowsDialect::parseChangeResult(makeResponse(body.dump(), http::status::precondition_failed));
        REQUIRE(change.has_value());
        CHECK_FALSE(change->isApplied);
        CHECK(validKeys(change->current) == std::vector<std::string> { "first", "last" });
    }
}

TEST_CASE("RowsDialect.rowWithAnUnreadableValue.keepsItsKeyAndVersion")
{
    // Guards against a daemon that cannot replace a malformed row under its own key, because the version of the row is missing.
    Json malformedRow = validRow("odd");
    malformedRow["value"] = 5;
    const auto rows = RowsDialect::parseRowsResponse(makeResponse(Json { { "rows", { malformedRow } }, { "ver", 9 } }.dump()));
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 1);
    CHECK(rows->rows[0].key == "odd");
    CHECK(rows->rows[0].version == 7);
    CHECK(rows->rows[0].isUnreadable);
}

TEST_CASE("RowsDialect.pageOfMalformedRows.reportsWhereTheNextPageStarts")
{
    // Guards against a reader that treats a full page of malformed rows as the end of the table.
    Json malformedRow = validRow("odd");
    malformedRow["ver"] = "seven";
    const auto rows = RowsDialect::parseRowsResponse(
        makeResponse(Json { { "rows", { validRow("a"), malformedRow, Json(3) } }, { "ver", 9 }, { "has_more", true } }.dump()));
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 3);
    CHECK(rows->rows[1].key == "odd");
    CHECK(rows->rows[2].key.empty());
    CHECK(rows->hasMore);
}

TEST_CASE("RowsDialect.deepNesting.isMalformed")
{
    // Guards against a stack overflow that terminates the process on a deeply nested row.
    const std::string deeplyNested = R"({"rows":[)" + nestedArrays(100'000) + R"(],"ver":9})";
    CHECK_FALSE(RowsDialect::parseRowsResponse(makeResponse(deeplyNested)).has_value());
    CHECK_FALSE(RowsDialect::parseRowsResponse(makeResponse(std::string(100'000, '['))).has_value());
    CHECK_FALSE(RowsDialect::parseChangeResult(makeResponse(deeplyNested)).has_value());
    const std::string allowedNesting
        = R"({"rows":[{"table_name":"vms","key":"first","value":"YQ==","ver":7},{"key":"odd","value":)" + nestedArrays(40) + R"(}],"ver":9})";
    const auto rows = RowsDialect::parseRowsResponse(makeResponse(allowedNesting));
    REQUIRE(rows.has_value());
    CHECK(validKeys(rows->rows) == std::vector<std::string> { "first" });
}

TEST_CASE("RowsDialect.answerOfAnotherShape.isMalformed")
{
    for (const char *body : { "",
                              "{",
                              "3",
                              "[]",
                              "null",
                              R"({"rows":[]})",
                              R"({"rows":[],"ver":-1})",
                              R"({"rows":[],"ver":1e300})",
                              R"({"rows":{},"ver":1})",
                              R"({"rows":3,"ver":1})" }) {
        INFO(body);
        CHECK_FALSE(RowsDialect::parseRowsResponse(makeResponse(body)).has_value());
        // Only the response to a read requires a table version: the response to a refused change reports the versions of its rows.
        const bool lacksVersion = std::string(body) == R"({"rows":[]})";
        CHECK(RowsDialect::parseChangeResult(makeResponse(body, http::status::precondition_failed)).has_value() == lacksVersion);
    }
}

TEST_CASE("RowsDialect.epochField.isReadIfItIsANumber")
{
    HttpResponse response = makeResponse("{}");
    CHECK_FALSE(RowsDialect::epoch(response).has_value());
    for (const char *text : { "", "-1", "1.5", "seven", "7 8", "7x", "99999999999999999999" }) {
        INFO(text);
        response.set("Store-Era", text);
        CHECK_FALSE(RowsDialect::epoch(response).has_value());
    }
    response.set("Store-Era", "7");
    CHECK(RowsDialect::epoch(response) == 7U);
}

TEST_CASE("RowsDialect.anyBytes.areReadOrRejected")
{
    CHECK(rc::check([](const std::string &bytes) {
        RowsDialect::parseRowsResponse(makeResponse(bytes));
        RowsDialect::parseRowsResponse(makeResponse(R"({"rows":[{"key":")" + bytes + R"(","value":")" + bytes + R"("}],"ver":1})"));
        RowsDialect::parseChangeResult(makeResponse(bytes, http::status::precondition_failed));
    }));
}
