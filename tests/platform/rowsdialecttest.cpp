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

HttpResponse answer(const std::string &body, http::status status = http::status::ok)
{
    HttpResponse response(status, 11);
    response.body() = body;
    return response;
}

Json soundRow(const std::string &key)
{
    return { { "table_name", "vms" }, { "key", key }, { "value", "YQ==" }, { "ver", 7 } };
}

/** Rows that another writer, or another version of the store, could leave. */
std::vector<Json> oddRows()
{
    const auto with = [](const std::string &field, const Json &value) {
        Json row = soundRow("odd");
        row[field] = value;
        return row;
    };
    Json withoutKey = soundRow("odd");
    withoutKey.erase("key");
    Json withoutValue = soundRow("odd");
    withoutValue.erase("value");
    return { with("value", 5),
             with("value", "no base64!"),
             with("value", "YQ"),
             with("value", "===="),
             with("value", Json::object()),
             with("value", nullptr),
             with("ver", "7"),
             with("ver", -1),
             with("ver", 1.5),
             with("ver", 1e300),
             with("table_name", 3),
             with("deleted", "yes"),
             with("key", 3),
             with("key", nullptr),
             withoutKey,
             withoutValue,
             Json(3),
             Json("text"),
             Json(nullptr),
             Json::array(),
             Json::object() };
}

std::vector<std::string> soundKeys(const std::vector<TableRow> &rows)
{
    std::vector<std::string> keys;
    for (const TableRow &row : rows) {
        if (row.value == "a") {
            keys.push_back(row.key);
        }
    }
    return keys;
}

std::string nested(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_CASE("RowsDialect.oddRowOnAPage.othersAreRead")
{
    // Guards against one odd row that keeps a reader from the whole table.
    for (const Json &odd : oddRows()) {
        INFO(odd.dump());
        const Json body { { "rows", { soundRow("first"), odd, soundRow("last") } }, { "ver", 9 }, { "has_more", false } };
        const auto rows = RowsDialect::parseRowsResponse(answer(body.dump()));
        REQUIRE(rows.has_value());
        CHECK(soundKeys(rows->rows) == std::vector<std::string> { "first", "last" });
        CHECK(rows->version == 9);
        const auto change = RowsDialect::parseChangeResult(answer(body.dump(), http::status::precondition_failed));
        REQUIRE(change.has_value());
        CHECK_FALSE(change->isApplied);
        CHECK(soundKeys(change->current) == std::vector<std::string> { "first", "last" });
    }
}

TEST_CASE("RowsDialect.rowWithAnUnreadableValue.keepsItsKeyAndVersion")
{
    // Guards against a daemon that can't replace an odd row under its own key, since it doesn't know the version.
    Json odd = soundRow("odd");
    odd["value"] = 5;
    const auto rows = RowsDialect::parseRowsResponse(answer(Json { { "rows", { odd } }, { "ver", 9 } }.dump()));
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 1);
    CHECK(rows->rows[0].key == "odd");
    CHECK(rows->rows[0].version == 7);
    CHECK(rows->rows[0].isUnreadable);
}

TEST_CASE("RowsDialect.pageOfOddRows.tellsWhereTheNextPageStarts")
{
    // Guards against a reader that takes a full page of odd rows for the end of the table.
    Json odd = soundRow("odd");
    odd["ver"] = "seven";
    const auto rows = RowsDialect::parseRowsResponse(answer(Json { { "rows", { soundRow("a"), odd, Json(3) } }, { "ver", 9 }, { "has_more", true } }.dump()));
    REQUIRE(rows.has_value());
    REQUIRE(rows->rows.size() == 3);
    CHECK(rows->rows[1].key == "odd");
    CHECK(rows->rows[2].key.empty());
    CHECK(rows->hasMore);
}

TEST_CASE("RowsDialect.deepNesting.isSurvived")
{
    // Guards against the end of the process by a row that is nested deeply.
    const std::string deep = R"({"rows":[)" + nested(100'000) + R"(],"ver":9})";
    CHECK_FALSE(RowsDialect::parseRowsResponse(answer(deep)).has_value());
    CHECK_FALSE(RowsDialect::parseRowsResponse(answer(std::string(100'000, '['))).has_value());
    CHECK_FALSE(RowsDialect::parseChangeResult(answer(deep)).has_value());
    const std::string within = R"({"rows":[{"table_name":"vms","key":"first","value":"YQ==","ver":7},{"key":"odd","value":)" + nested(40) + R"(}],"ver":9})";
    const auto rows = RowsDialect::parseRowsResponse(answer(within));
    REQUIRE(rows.has_value());
    CHECK(soundKeys(rows->rows) == std::vector<std::string> { "first" });
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
        CHECK_FALSE(RowsDialect::parseRowsResponse(answer(body)).has_value());
        // Only the version of a read has to be there: a refused change tells those of its rows.
        const bool lacksVersion = std::string(body) == R"({"rows":[]})";
        CHECK(RowsDialect::parseChangeResult(answer(body, http::status::precondition_failed)).has_value() == lacksVersion);
    }
}

TEST_CASE("RowsDialect.anyBytes.areReadOrRefused")
{
    CHECK(rc::check([](const std::string &bytes) {
        RowsDialect::parseRowsResponse(answer(bytes));
        RowsDialect::parseRowsResponse(answer(R"({"rows":[{"key":")" + bytes + R"(","value":")" + bytes + R"("}],"ver":1})"));
        RowsDialect::parseChangeResult(answer(bytes, http::status::precondition_failed));
    }));
}
