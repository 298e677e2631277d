#pragma once

#include <carobjunction/process/vmdirectory.h>

#include "connection/datagramport.h"
#include "process/gossipmessage.h"
#include "process/metrics.h"

#include <functional>
#include <memory>
#include <random>

namespace carobjunction
{

/** What the process around a ReportSender tells it. */
struct ReportSources {
    std::function<TargetReport()> load; /**< Load of this VM's target. */
    std::function<GossipMessage(const TargetReport &)> message; /**< A message without the record. */
    std::function<const VmRecord &()> record; /**< Record of this VM. */
};

/**
 * Sends load reports and changed records to the other daemons by datagrams. Used on one event loop; not thread-safe.
 */
class ReportSender
{
public:
    /** Datagrams with a changed record to each daemon, as one may be lost, and the time between them. */
    static constexpr int RecordSends = 2;
    static constexpr Duration RecordSendInterval = std::chrono::milliseconds(400);
    /** Receivers of a changed record. Others learn of it from the version numbers of later reports. */
    static constexpr size_t RecordFanout = 64;
    /** Shortest time between two load reports to the daemons of the data centre. */
    static constexpr Duration NearReportInterval = std::chrono::milliseconds(100);
    /** The same to the daemons of the region: traffic between data centres is billed by volume, and few requests leave their own. */
    static constexpr Duration RegionReportInterval = std::chrono::seconds(1);
    /** Time between reports to all daemons. */
    static constexpr Duration FarReportInterval = std::chrono::seconds(2);
    /** Receivers of one report, chosen at random when there are more daemons. */
    static constexpr size_t ReportFanout = 16;
    /**
     * Most receivers in other regions of a report without news of crashes: work goes there only when the own region has no room, and
     * traffic between regions is billed by volume.
     */
    static constexpr size_t OtherRegionFanout = 2;

    /** @param directory  outlives this object. @param metrics  outlives this object */
    ReportSender(asio::io_context &loop, const VmDirectory &directory, Metrics &metrics);

    /** @param port  null if datagrams can't be sent */
    void start(std::shared_ptr<DatagramPort> port, ReportSources sources);

    /** Sends a report to all daemons at once. */
    void reportNow();

    /** Sends the record to all daemons at once, and again a moment later. */
    void announceRecord();

private:
    Task<void> sendReports();
    void sendIfDue();
    /** Which daemons a report goes to. */
    enum class Scope { DataCentre, Region, All };

    bool isWithin(Scope scope, const VmRecord &record) const;
    std::vector<Udp::endpoint> chooseReceivers(const GossipMessage &message, Scope scope);
    void send(const GossipMessage &message, Scope scope);

    asio::io_context &m_loop;
    const VmDirectory &m_directory;
    Metrics &m_metrics;
    std::shared_ptr<DatagramPort> m_port;
    ReportSources m_sources;
    asio::steady_timer m_timer;
    int m_recordSendsLeft = RecordSends;
    bool m_isDue = false;
    TimePoint m_lastFar;
    TimePoint m_lastInRegion; /**< Last report to the region or to all. */
    TargetReport m_lastSent;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
