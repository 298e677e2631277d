#include "connection/peercodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace carobjunction;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr uint64_t LargestNumber = std::numeric_limits<uint64_t>::max();

std::optional<ForwardRequest> readRequest(const std::string &field)
{
    HttpRequest message(http::verb::get, "/a/1", 11);
    message.set(PeerCodec::RequestField, field);
    return PeerCodec::decode(std::move(message), TimePoint() + 1h);
}

std::optional<ForwardResult> readResult(const std::string &field)
{
    HttpResponse message(http::status::ok, 11);
    message.set(PeerCodec::ResultField, field);
    return PeerCodec::decode(std::move(message));
}

Json sampleRequest()
{
    ForwardRequest request;
    request.requestId = "r-1";
    request.fingerprint = LargestNumber;
    request.softDeadlineAt = TimePoint() + 59min; // may have passed
    request.deadlineAt = TimePoint() + 61min;
    const HttpRequest message = PeerCodec::encode(request, TimePoint() + 1h);
    const auto field = message[PeerCodec::RequestField];
    return Json::parse(std::string(field.data(), field.size()));
}

Json sampleResult()
{
    ForwardResult result;
    result.report = TargetReport {};
    const HttpResponse message = PeerCodec::encode(std::move(result));
    const auto field = message[PeerCodec::ResultField];
    return Json::parse(std::string(field.data(), field.size()));
}

Json with(Json json, const char *pointer, const Json &value)
{
    json[Json::json_pointer(pointer)] = value;
    return json;
}

const std::vector<Json> OddNumbers { 1.5,  1e300,   LargestNumber, std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::min(), "1",
                                     true, nullptr, Json::array() };

} // namespace

TEST_CASE("PeerCodec.soundMessages.areRead")
{
    const auto request = readRequest(sampleRequest().dump());
    REQUIRE(request.has_value());
    CHECK(request->fingerprint == LargestNumber); // a hash
    CHECK(request->softDeadlineAt == TimePoint() + 59min);
    CHECK(readResult(sampleResult().dump()).has_value());
}

TEST_CASE("PeerCodec.numberOutOfRange.isUnreadable")
{
    // Guards against times that overflow when they are converted, such as a deadline in the past by a too large number.
    for (const Json &value : OddNumbers) {
        INFO(value.dump());
        for (const char *field : { "/aim", "/left", "/work", "/priority" }) {
            INFO(field);
            CHECK_FALSE(readRequest(with(sampleRequest(), field, value).dump()).has_value());
        }
        for (const char *field : { "/us", "/retry", "/load/0", "/load/1", "/load/2", "/load/3" }) {
            INFO(field);
            CHECK_FALSE(readResult(with(sampleResult(), field, value).dump()).has_value());
        }
    }
    CHECK_FALSE(readRequest(with(sampleRequest(), "/print", -1).dump()).has_value());
    CHECK_FALSE(readRequest(with(sampleRequest(), "/config", -1).dump()).has_value());
    CHECK_FALSE(readRequest(with(sampleRequest(), "/work", -1).dump()).has_value());
    CHECK_FALSE(readResult(with(sampleResult(), "/load/0", -1).dump()).has_value());
}

TEST_CASE("PeerCodec.deepNesting.isUnreadable")
{
    // Guards against the end of the process by a field of a peer, which has up to 64 KB.
    const std::string deep = std::string(30'000, '[') + std::string(30'000, ']');
    CHECK_FALSE(readRequest(deep).has_value());
    CHECK_FALSE(readResult(deep).has_value());
    std::string request = sampleRequest().dump();
    request.insert(1, "\"more\":" + deep + ",");
    CHECK_FALSE(readRequest(request).has_value());
    std::string result = sampleResult().dump();
    result.insert(1, "\"more\":" + deep + ",");
    CHECK_FALSE(readResult(result).has_value());
}

TEST_CASE("PeerCodec.anyText.isReadOrRefused")
{
    CHECK(rc::check([](const std::string &text) {
        readRequest(text);
        readResult(text);
    }));
}
