#include "process/reportsender.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

VmRecord recordOf(const std::string &daemon, const std::string &region, const std::string &address)
{
    VmRecord record;
    record.daemon = daemon;
    record.incarnation = 1;
    record.revision = 1;
    record.address = address;
    record.dataCentre = region + "-a";
    record.region = region;
    return record;
}

/** A daemon that only listens. */
struct Listener {
    explicit Listener(asio::io_context &loop)
    {
        // A port that is free a moment ago: the datagram port does not tell the one it was given.
        Udp::socket probe(loop, Udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const Udp::endpoint endpoint = probe.local_endpoint();
        probe.close();
        address = "127.0.0.1:" + std::to_string(endpoint.port());
        ErrorCode error;
        port = DatagramPort::open(
            loop,
            endpoint,
            [this](std::string_view datagram) {
                if (auto message = GossipMessage::decode(datagram)) {
                    received.push_back(std::move(*message));
                }
            },
            error);
        REQUIRE(port != nullptr);
    }

    size_t records() const
    {
        return static_cast<size_t>(std::count_if(received.begin(), received.end(), [](const GossipMessage &message) { return message.record.has_value(); }));
    }

    std::string address;
    std::shared_ptr<DatagramPort> port;
    std::vector<GossipMessage> received;
};

} // namespace

struct ReportSenderFixture {
    ReportSenderFixture()
    {
        directory.merge(own);
        directory.merge(recordOf("near", "north", near.address));
        VmRecord besideRecord = recordOf("beside", "north", beside.address);
        besideRecord.dataCentre = "north-b";
        directory.merge(besideRecord);
        directory.merge(recordOf("far", "south", far.address));
        reports.start(self.port,
                      { [this] { return load; },
                        [this](const TargetReport &report) {
                            GossipMessage message;
                            message.daemon = own.daemon;
                            message.report = report;
                            return message;
                        },
                        [this]() -> const VmRecord & {
                            return own;
                        } });
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    Listener self { loop };
    Listener near { loop };
    Listener beside { loop }; /**< In another data centre of the region. */
    Listener far { loop };
    VmRecord own = recordOf("self", "north", self.address);
    VmDirectory directory { "self", { "north-a", "north" } };
    TargetReport load;
    ReportSender reports { loop, directory, metrics };
};

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.changedRecord.isSentTwiceToAll")
{
    // Guards against a leave that one lost datagram hides from a daemon.
    runFor(50ms);
    own.revision = 2;
    reports.announceRecord();
    runFor(ReportSender::RecordSendInterval + 3 * ReportSender::DataCentreReportInterval);
    CHECK(near.records() == ReportSender::RecordSendCount);
    CHECK(far.records() == ReportSender::RecordSendCount);
    CHECK(near.received.back().record->revision == 2);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.changedLoad.isSentToTheDataCentreAtOnce")
{
    // Guards against load reports that fill the links between data centres and regions.
    runFor(ReportSender::RecordSendInterval * 4);
    const size_t nearBefore = near.received.size();
    const size_t farBefore = far.received.size();
    load.running = 5;
    runFor(2 * ReportSender::DataCentreReportInterval);
    CHECK(near.received.size() == nearBefore + 1);
    CHECK(near.received.back().report.running == 5);
    CHECK(far.received.size() == farBefore);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.loadThatChangesAllTheTime.reachesTheRegionLessOften")
{
    runFor(ReportSender::RecordSendInterval * 2);
    const size_t nearBefore = near.received.size();
    const size_t besideBefore = beside.received.size();
    for (int i = 0; i < 20; ++i) {
        load.running = i % 2 == 0 ? 5 : 0;
        runFor(ReportSender::DataCentreReportInterval);
    }
    const size_t toNear = near.received.size() - nearBefore;
    const size_t toBeside = beside.received.size() - besideBefore;
    CHECK(toNear >= 10);
    CHECK(toBeside >= 1);
    CHECK(toBeside <= 4);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.sameLoad.isNotRepeated")
{
    // Guards against datagrams that tell nothing new.
    runFor(ReportSender::RecordSendInterval * 4);
    const size_t before = near.received.size();
    load.running = 1;
    runFor(2 * ReportSender::DataCentreReportInterval);
    CHECK(near.received.size() == before);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.ownAddress.getsNothing")
{
    runFor(ReportSender::RecordSendInterval * 2);
    CHECK(self.received.empty());
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.manyDaemonsInAnotherRegion.fewGetTheLoad")
{
    // Guards against load reports that use up the link between regions at 300 VMs: each daemon heard of a far one too seldom to use it.
    constexpr size_t FarDaemons = 10;
    constexpr size_t Reports = 5;
    std::vector<std::unique_ptr<Listener>> listeners;
    for (size_t i = 0; i < FarDaemons; ++i) {
        listeners.push_back(std::make_unique<Listener>(loop));
        directory.merge(recordOf("south-" + std::to_string(i), "south", listeners.back()->address));
    }
    const auto received = [&] {
        size_t count = far.received.size();
        for (const auto &listener : listeners) {
            count += listener->received.size();
        }
        return count;
    };
    runFor(ReportSender::RecordSendInterval * 3);
    const size_t farBefore = received();
    const size_t nearBefore = near.received.size();
    for (size_t i = 0; i < Reports; ++i) {
        reports.reportNow();
        runFor(10ms);
    }
    CHECK(received() - farBefore == Reports * 2);
    CHECK(near.received.size() - nearBefore == Reports);
}
