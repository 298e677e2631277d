#include "process/reportsender.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

VmRecord makeRecord(const std::string &daemon, const std::string &region, const std::string &address)
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

/** Daemon that receives messages and sends none. */
struct ReceivingDaemon {
    explicit ReceivingDaemon(asio::io_context &loop)
    {
        // Determines a free port first, because DatagramPort does not provide the port that the system assigned.
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

    size_t recordCount() const
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
        directory.merge(ownRecord);
        directory.merge(makeRecord("near", "north", sameDataCentre.address));
        VmRecord otherDataCentreRecord = makeRecord("beside", "north", otherDataCentre.address);
        otherDataCentreRecord.dataCentre = "north-b";
        directory.merge(otherDataCentreRecord);
        directory.merge(makeRecord("far", "south", otherRegion.address));
        reports.start(self.port,
                      { [this] { return load; },
                        [this](const TargetReport &report) {
                            GossipMessage message;
                            message.daemon = ownRecord.daemon;
                            message.report = report;
                            return message;
                        },
                        [this]() -> const VmRecord & {
                            return ownRecord;
                        } });
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    ReceivingDaemon self { loop }; /**< Daemon of the sender itself. */
    ReceivingDaemon sameDataCentre { loop }; /**< Daemon in the same data centre as the sender. */
    ReceivingDaemon otherDataCentre { loop }; /**< Daemon in another data centre of the same region. */
    ReceivingDaemon otherRegion { loop }; /**< Daemon in another region. */
    VmRecord ownRecord = makeRecord("self", "north", self.address);
    VmDirectory directory { "self", { "north-a", "north" } };
    TargetReport load;
    ReportSender reports { loop, directory, metrics };
};

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.changedRecord.isSentTwiceToAll")
{
    // Guards against a daemon that continues to use a leaving target because a single datagram was lost.
    runFor(50ms);
    ownRecord.revision = 2;
    reports.announceRecord();
    runFor(ReportSender::RecordSendInterval + 3 * ReportSender::DataCentreReportInterval);
    CHECK(sameDataCentre.recordCount() == ReportSender::RecordSendCount);
    CHECK(otherRegion.recordCount() == ReportSender::RecordSendCount);
    CHECK(sameDataCentre.received.back().record->revision == 2);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.changedLoad.isSentToTheDataCentreAtOnce")
{
    // Guards against load reports that saturate the links between data centres and between regions.
    runFor(ReportSender::RecordSendInterval * 4);
    const size_t sameDataCentreBefore = sameDataCentre.received.size();
    const size_t otherRegionBefore = otherRegion.received.size();
    load.running = 5;
    runFor(2 * ReportSender::DataCentreReportInterval);
    CHECK(sameDataCentre.received.size() == sameDataCentreBefore + 1);
    CHECK(sameDataCentre.received.back().report.running == 5);
    CHECK(otherRegion.received.size() == otherRegionBefore);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.loadThatChangesAllTheTime.reachesTheRegionLessOften")
{
    runFor(ReportSender::RecordSendInterval * 2);
    const size_t sameDataCentreBefore = sameDataCentre.received.size();
    const size_t otherDataCentreBefore = otherDataCentre.received.size();
    for (int i = 0; i < 20; ++i) {
        load.running = i % 2 == 0 ? 5 : 0;
        runFor(ReportSender::DataCentreReportInterval);
    }
    const size_t sentToSameDataCentre = sameDataCentre.received.size() - sameDataCentreBefore;
    const size_t sentToOtherDataCentre = otherDataCentre.received.size() - otherDataCentreBefore;
    CHECK(sentToSameDataCentre >= 10);
    CHECK(sentToOtherDataCentre >= 1);
    CHECK(sentToOtherDataCentre <= 4);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.sameLoad.isNotRepeated")
{
    // Guards against datagrams without new information.
    runFor(ReportSender::RecordSendInterval * 4);
    const size_t countBefore = sameDataCentre.received.size();
    load.running = 1;
    runFor(2 * ReportSender::DataCentreReportInterval);
    CHECK(sameDataCentre.received.size() == countBefore);
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.ownAddress.getsNothing")
{
    runFor(ReportSender::RecordSendInterval * 2);
    CHECK(self.received.empty());
}

TEST_CASE_METHOD(ReportSenderFixture, "ReportSender.manyDaemonsInAnotherRegion.fewGetTheLoad")
{
    // Guards against load reports that saturate the link between regions at 300 VMs, although each daemon receives reports of a target in
    // another region too seldom to use them.
    constexpr size_t OtherRegionDaemonCount = 10;
    constexpr size_t ReportCount = 5;
    std::vector<std::unique_ptr<ReceivingDaemon>> otherRegionDaemons;
    for (size_t i = 0; i < OtherRegionDaemonCount; ++i) {
        otherRegionDaemons.push_back(std::make_unique<ReceivingDaemon>(loop));
        directory.merge(makeRecord("south-" + std::to_string(i), "south", otherRegionDaemons.back()->address));
    }
    const auto receivedInOtherRegion = [&] {
        size_t count = otherRegion.received.size();
        for (const auto &otherRegionDaemon : otherRegionDaemons) {
            count += otherRegionDaemon->received.size();
        }
        return count;
    };
    runFor(ReportSender::RecordSendInterval * 3);
    const size_t otherRegionBefore = receivedInOtherRegion();
    const size_t sameDataCentreBefore = sameDataCentre.received.size();
    for (size_t i = 0; i < ReportCount; ++i) {
        reports.reportNow();
        runFor(10ms);
    }
    CHECK(receivedInOtherRegion() - otherRegionBefore == ReportCount * 2);
    CHECK(sameDataCentre.received.size() - sameDataCentreBefore == ReportCount);
}
