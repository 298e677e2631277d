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

std::optional<ForwardRequest> decodeRequest(const std::string &field)
{
    HttpRequest message(http::verb::get, "/a/1", 11);
    message.set(PeerCodec::RequestField, field);
    return PeerCodec::decode(std::move(message), TimePoint() + 1h);
}

std::optional<ForwardResult> decodeResult(const std::string &field)
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
    request.softDeadlineAt = TimePoint() + 59min; // the soft deadline of a request may already have passed
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

Json withField(Json json, const char *pointer, const Json &value)
{
    json[Json::json_pointer(pointer)] = value;
    return json;
}

const std::vector<Json> OutOfRangeValues { 1.5,  1e300,   LargestNumber, std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::min(), "1",
                                           true, nullptr, Json::array() };

} // namespace

TEST_CASE("PeerCodec.validMessages.areDecoded")
{
    const auto request = decodeRequest(sampleRequest().dump());
    REQUIRE(request.has_value());
    CHECK(request->fingerprint == LargestNumber); // a hash may use all 64 bits
    CHECK(request->softDeadlineAt == TimePoint() + 59min);
    CHECK(decodeResult(sampleResult().dump()).has_value());
}

TEST_CASE("PeerCodec.numberOutOfRange.isUnreadable")
{
    // Guards against durations that overflow on conversion, such as a number so large that the deadline lies in the past.
    for (const Json &value : OutOfRangeValues) {
        INFO(value.dump());
        for (const char *field : { "/aim", "/left", "/work", "/priority" }) {
            INFO(field);
            CHECK_FALSE(decodeRequest(withField(sampleRequest(), field, value).dump()).has_value());
        }
        for (const char *field : { "/us", "/retry", "/load/0", "/load/1", "/load/2", "/load/3" }) {
            INFO(field);
            CHECK_FALSE(decodeResult(withField(sampleResult(), field, value).dump()).has_value());
        }
    }
    CHECK_FALSE(decodeRequest(withField(sampleRequest(), "/print", -1).dump()).has_value());
    CHECK_FALSE(decodeRequest(withField(sampleRequest(), "/config", -1).dump()).has_value());
    CHECK_FALSE(decodeRequest(withField(sampleRequest(), "/work", -1).dump()).has_value());
    CHECK_FALSE(decodeResult(withField(sampleResult(), "/load/0", -1).dump()).has_value());
}

TEST_CASE("PeerCodec.deepNesting.isUnreadable")
{
    // Guards against a stack overflow that terminates the process on a header field of a peer, which may have up to 64 KB.
    const std::string deeplyNested = std::string(30'000, '[') + std::string(30'000, ']');
    CHECK_FALSE(decodeRequest(deeplyNested).has_value());
    CHECK_FALSE(decodeResult(deeplyNested).has_value());
    std::string request = sampleRequest().dump();
    request.insert(1, "\"more\":" + deeplyNested + ",");
    CHECK_FALSE(decodeRequest(request).has_value());
    std::string result = sampleResult().dump();
    result.insert(1, "\"more\":" + deeplyNested + ",");
    CHECK_FALSE(decodeResult(result).has_value());
}

TEST_CASE("PeerCodec.anyText.isDecodedOrRejected")
{
    CHECK(rc::check([](const std::string &text) {
        decodeRequest(text);
        decodeResult(text);
    }));
}
