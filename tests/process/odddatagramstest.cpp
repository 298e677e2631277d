#include "process/gossipmessage.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

using namespace carobjunction;
using Json = nlohmann::json;

namespace
{

constexpr uint64_t MaxUint64 = std::numeric_limits<uint64_t>::max();

std::string toCbor(const Json &json)
{
    const std::vector<uint8_t> bytes = Json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

GossipMessage sampleMessage()
{
    GossipMessage message;
    message.daemon = "vm-1";
    message.incarnation = 1'700'000'000'000;
    message.revision = 2;
    message.peerAddress = "10.0.0.1:8000";
    message.configVersion = 3;
    message.storeEpoch = 4;
    message.report.limit = 9;
    message.crashes.push_back({ MaxUint64, "i-1" });
    return message;
}

Json sampleJson()
{
    const std::string bytes = sampleMessage().encode();
    return Json::from_cbor(bytes.begin(), bytes.end());
}

bool isDecodableWith(const char *pointer, const Json &value)
{
    Json json = sampleJson();
    json[Json::json_pointer(pointer)] = value;
    return GossipMessage::decode(toCbor(json)).has_value();
}

} // namespace

TEST_CASE("OddDatagram.soundMessage.isReadAsWritten")
{
    const auto message = GossipMessage::decode(sampleMessage().encode());
    REQUIRE(message.has_value());
    REQUIRE(message->crashes.size() == 1);
    CHECK(message->crashes[0].fingerprint == MaxUint64); // a hash, so the full 64-bit range is valid
    CHECK(message->storeEpoch == 4U);
    CHECK_FALSE(message->confirmationAge.has_value());
}

TEST_CASE("OddDatagram.messageOfAnEarlierDaemon.statesNoEpoch")
{
    Json json = sampleJson();
    json.erase(11);
    const auto message = GossipMessage::decode(toCbor(json));
    REQUIRE(message.has_value());
    CHECK_FALSE(message->storeEpoch.has_value());
}

TEST_CASE("OddDatagram.numberOutOfRange.isRefused")
{
    // Guards against numeric conversions with undefined results, and against version numbers so high that no later version can supersede them.
    for (const char *field : { "/1", "/2", "/4", "/5/0", "/5/1", "/5/2", "/5/3", "/7/0/0", "/7/1/2", "/6/0/0", "/11" }) {
        INFO(field);
        for (const Json &value :
             { Json(-1), Json(1.5), Json(1e300), Json(std::nan("")), Json(INFINITY), Json("1"), Json(true), Json(nullptr), Json::array() }) {
            CHECK_FALSE(isDecodableWith(field, value));
        }
    }
    for (const char *field : { "/1", "/2", "/4", "/5/0", "/5/1", "/5/2", "/5/3", "/7/0/0", "/7/1/2" }) {
        INFO(field);
        CHECK_FALSE(isDecodableWith(field, MaxUint64));
    }
}

TEST_CASE("OddDatagram.addressOfNoDaemon.isRefused")
{
    // Guards against a daemon that requests the state of a peer from an invalid address, and against daemon ids that are empty or too long.
    for (const char *address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "host:1" }) {
        INFO(address);
        CHECK_FALSE(isDecodableWith("/3", address));
    }
    CHECK_FALSE(isDecodableWith("/0", ""));
    CHECK_FALSE(isDecodableWith("/0", std::string(4000, 'x')));
}

TEST_CASE("OddDatagram.deepNesting.isRefused")
{
    // Guards against a stack overflow: the CBOR reader of the JSON library recurses once per nesting level.
    for (const size_t levels : { size_t { 8192 }, size_t { 65'507 }, size_t { 1'000'000 } }) {
        CHECK_FALSE(GossipMessage::decode(std::string(levels, '\x81')).has_value());
        CHECK_FALSE(GossipMessage::decode(std::string(levels, '\x81') + '\x01').has_value());
        CHECK_FALSE(GossipMessage::decode(std::string(levels, '\x9f')).has_value());
        std::string objects;
        for (size_t i = 0; i < levels / 3; ++i) {
            objects += "\xa1\x61\x61";
        }
        CHECK_FALSE(GossipMessage::decode(objects).has_value());
    }
}

TEST_CASE("OddDatagram.announcedLength.isNotReserved")
{
    // Guards against a datagram of a few bytes that makes the decoder reserve memory for an array, object, text or byte string of 2^60 or more elements.
    for (const char type : { '\x9b', '\xbb', '\x7b', '\x5b' }) {
        CHECK_FALSE(GossipMessage::decode(type + std::string("\x10\x00\x00\x00\x00\x00\x00\x00", 8) + "\x01").has_value());
        CHECK_FALSE(GossipMessage::decode(type + std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8) + "\x01").has_value());
    }
}

TEST_CASE("OddDatagram.anyBytes.areReadOrRefused")
{
    CHECK(rc::check("arbitrary bytes", [](const std::string &bytes) { GossipMessage::decode(bytes); }));
    CHECK(rc::check("a valid datagram with one byte changed", [] {
        std::string bytes = sampleMessage().encode();
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        GossipMessage::decode(bytes);
    }));
}
