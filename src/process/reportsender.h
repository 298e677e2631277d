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

/** Callbacks that provide the contents of the reports. */
struct ReportSources {
    std::function<TargetReport()> load; /**< Returns the load of this VM's target. */
    std::function<GossipMessage(const TargetReport &)> message; /**< Creates a message with the load, without the record. */
    std::function<const VmRecord &()> record; /**< Returns the record of this VM. */
};

/**
 * Sends load reports and changed records to the other daemons as UDP datagrams. Must be used on a single event loop; not thread-safe.
 */
class ReportSender
{
public:
    /** Number of times that a changed record is sent, because datagrams may be lost. */
    static constexpr int RecordSendCount = 2;
    /** Interval between the sends of a changed record. */
    static constexpr Duration RecordSendInterval = std::chrono::milliseconds(400);
    /** Maximum number of receivers of a changed record. Other daemons detect the change by the version numbers in later reports. */
    static constexpr size_t RecordFanout = 64;
    /** Minimum interval between load reports to daemons in the same data centre. */
    static constexpr Duration DataCentreReportInterval = std::chrono::milliseconds(100);
    /**
     * Minimum interval between load reports to daemons in the same region. Longer than within the data centre, because traffic between data
     * centres is billed by volume and few requests are sent to another data centre.
     */
    static constexpr Duration RegionReportInterval = std::chrono::seconds(1);
    /** Interval between load reports to the daemons of all regions. */
    static constexpr Duration AllRegionsReportInterval = std::chrono::seconds(2);
    /** Maximum number of receivers of a load report, chosen at random if there are more daemons. */
    static constexpr size_t ReportFanout = 16;
    /**
     * Maximum number of receivers in other regions, for reports without crashes or a changed record. Requests are sent there only if this
     * region has no capacity, and traffic between regions is billed by volume.
     */
    static constexpr size_t OtherRegionFanout = 2;

    /**
     * @param directory  must outlive this object
     * @param metrics  must outlive this object
     */
    ReportSender(asio::io_context &loop, const VmDirectory &directory, Metrics &metrics);

    /**
     * Starts the periodic reports.
     * @param port  null if datagrams can't be sent; no reports are sent then
     */
    void start(std::shared_ptr<DatagramPort> port, ReportSources sources);

    /** Sends a report to daemons of all regions immediately, without waiting for the interval. */
    void reportNow();

    /** Sends the record to daemons of all regions immediately, and repeats it after RecordSendInterval. */
    void announceRecord();

private:
    Task<void> sendReports();
    void sendIfDue();
    /** Daemons to which a report is sent, relative to this one. */
    enum class Scope { DataCentre, Region, All };

    bool isInScope(Scope scope, const VmRecord &record) const;
    std::vector<Udp::endpoint> chooseReceivers(const GossipMessage &message, Scope scope);
    void send(const GossipMessage &message, Scope scope);

    asio::io_context &m_loop;
    const VmDirectory &m_directory;
    Metrics &m_metrics;
    std::shared_ptr<DatagramPort> m_port;
    ReportSources m_sources;
    asio::steady_timer m_timer;
    int m_recordSendsLeft = RecordSendCount;
    bool m_isDue = false;
    TimePoint m_lastSentToAll;
    TimePoint m_lastSentToRegion; /**< Last report to the region or to all regions. */
    TargetReport m_lastReport;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
