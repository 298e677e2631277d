#include "process/twodaemonsfixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

struct ForeignMessage {
    std::string defect;
    std::string body;
    unsigned status;
};

/** @return messages of other writers, which outrank those of the backend server but have one defect each */
std::vector<ForeignMessage> foreignMessages(const Json &announcement)
{
    Json later = announcement;
    later["incarnation"] = 1'000'000;
    std::vector<ForeignMessage> list;
    for (const auto &[name, value] : later.items()) {
        const std::string field = "\"" + name + "\":";
        Json without = later;
        without.erase(name);
        list.push_back({ name + " is missing", without.dump(), 400 });
        Json otherType = later;
        otherType[name] = value.is_string() ? Json(7) : Json("7");
        list.push_back({ name + " has another type", otherType.dump(), 400 });
        std::string twice = later.dump();
        twice.insert(twice.find(field), field + "0,");
        list.push_back({ name + " occurs twice", twice, 400 });
    }
    for (const auto &[name, value, status] :
         std::vector<std::tuple<std::string, Json, unsigned>> { { "service", "unnamed", 409 },
                                                                { "address", "nowhere", 400 },
                                                                { "incarnation", std::numeric_limits<uint64_t>::max(), 400 },
                                                                { "incarnation", 4, 409 } }) {
        Json changed = later;
        changed[name] = value;
        list.push_back({ name + " is " + value.dump(), changed.dump(), status });
    }
    Json otherAddress = announcement;
    otherAddress["address"] = "127.0.0.1:1";
    list.push_back({ "another address of the same process", otherAddress.dump(), 409 });
    list.push_back({ "bytes that are no text", "\xff\xfe", 400 });
    list.push_back({ "cut off", later.dump().substr(0, 20), 400 });
    return list;
}

} // namespace

TEST_CASE_METHOD(TwoDaemonsFixture, "ForeignAnnouncement.anyDefect.changesNothing")
{
    // Guards against a sound server that gets no more requests after an announcement or a leave of another writer, or of an earlier process.
    for (const std::string path : { "/v1/target/announce", "/v1/target/leave" }) {
        for (const ForeignMessage &message : foreignMessages(announcement())) {
            CAPTURE(path, message.defect);
            announce();
            CHECK(post(path, message.body) == message.status);
            CHECK(call(1, http::verb::get).result_int() == 200);
        }
    }
}

TEST_CASE_METHOD(TwoDaemonsFixture, "ForeignAnnouncement.earlierProcess.doesNotKeepASilentServerInUse")
{
    // Guards against requests to a server that is down, because late announcements of its earlier process still arrive.
    Json earlier = announcement();
    earlier["incarnation"] = Incarnation - 1;
    const TimePoint end = SteadyClock().now() + 10s;
    unsigned status = 200;
    while (status == 200 && SteadyClock().now() < end) {
        post("/v1/target/announce", earlier.dump());
        std::this_thread::sleep_for(100ms);
        status = call(1, http::verb::get).result_int();
    }
    CHECK(status == 503);
}

TEST_CASE_METHOD(TwoDaemonsFixture, "ForeignAnnouncement.leaveOfTheServer.endsItsUse")
{
    CHECK(post("/v1/target/leave", announcement().dump()) == 200);
    CHECK(call(0, http::verb::get).result_int() == 503);
}
