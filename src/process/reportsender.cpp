#include "process/reportsender.h"

#include "connection/detachedtask.h"
#include "connection/endpoints.h"

#include <algorithm>
#include <utility>

namespace carobjunction
{

namespace
{

/** @return whether the load differs enough to be reported before the next periodic report */
bool isSignificantChange(const TargetReport &a, const TargetReport &b)
{
    constexpr int MinLoadChange = 2;
    const int change = static_cast<int>(a.running + a.waiting) - static_cast<int>(b.running + b.waiting);
    return std::abs(change) >= MinLoadChange || a.limit != b.limit;
}

} // namespace

ReportSender::ReportSender(asio::io_context &loop, const VmDirectory &directory, Metrics &metrics)
    : m_loop(loop), m_directory(directory), m_metrics(metrics), m_timer(loop)
{
}

void ReportSender::start(std::shared_ptr<DatagramPort> port, ReportSources sources)
{
    m_port = std::move(port);
    m_sources = std::move(sources);
    if (m_port) {
        spawnSupervised(m_loop, "send-reports", [this] { return sendReports(); });
    }
}

void ReportSender::reportNow()
{
    m_isDue = true;
    m_timer.cancel();
}

void ReportSender::announceRecord()
{
    m_recordSendsLeft = RecordSendCount;
    reportNow();
}

Task<void> ReportSender::sendReports()
{
    while (true) {
        m_timer.expires_after(DataCentreReportInterval);
        ErrorCode ignored; // the timer is cancelled if a report is due immediately
        co_await m_timer.async_wait(redirectError(ignored));
        sendIfDue();
    }
}

void ReportSender::sendIfDue()
{
    const TimePoint now = SteadyClock().now();
    const bool isDue = std::exchange(m_isDue, false);
    const bool hasRecord = m_recordSendsLeft > 0 && (isDue || now - m_lastSentToAll >= RecordSendInterval);
    const bool isForAllRegions = isDue || hasRecord || now - m_lastSentToAll >= AllRegionsReportInterval;
    const TargetReport load = m_sources.load();
    if (!isForAllRegions && !isSignificantChange(load, m_lastReport)) {
        return;
    }
    const bool isForRegion = isForAllRegions || now - m_lastSentToRegion >= RegionReportInterval;
    const Scope scope = isForAllRegions ? Scope::All : isForRegion ? Scope::Region : Scope::DataCentre;
    m_lastReport = load;
    m_lastSentToAll = isForAllRegions ? now : m_lastSentToAll;
    m_lastSentToRegion = isForRegion ? now : m_lastSentToRegion;
    GossipMessage message = m_sources.message(load);
    if (hasRecord) {
        --m_recordSendsLeft;
        message.record = m_sources.record();
    }
    send(message, scope);
}

bool ReportSender::isInScope(Scope scope, const VmRecord &record) const
{
    switch (scope) {
    case Scope::All:
        return true;
    case Scope::Region:
        return m_directory.isSameRegion(record);
    case Scope::DataCentre:
        break;
    }
    return m_directory.isSameDataCentre(record);
}

std::vector<Udp::endpoint> ReportSender::chooseReceivers(const GossipMessage &message, Scope scope)
{
    std::vector<Udp::endpoint> receivers;
    std::vector<Udp::endpoint> otherRegionReceivers;
    for (const auto &[daemon, vm] : m_directory.all()) {
        const auto endpoint = parseEndpoint(vm.record.address);
        if (endpoint && !m_directory.isSelf(daemon) && isInScope(scope, vm.record)) {
            (m_directory.isSameRegion(vm.record) ? receivers : otherRegionReceivers).emplace_back(endpoint->address(), endpoint->port());
        }
    }
    if (!message.record && message.crashes.empty()) {
        std::shuffle(otherRegionReceivers.begin(), otherRegionReceivers.end(), m_random);
        otherRegionReceivers.resize(std::min(otherRegionReceivers.size(), OtherRegionFanout));
    }
    receivers.insert(receivers.end(), otherRegionReceivers.begin(), otherRegionReceivers.end());
    std::shuffle(receivers.begin(), receivers.end(), m_random);
    receivers.resize(std::min(receivers.size(), message.record ? RecordFanout : ReportFanout));
    return receivers;
}

void ReportSender::send(const GossipMessage &message, Scope scope)
{
    const std::string datagram = message.encode();
    for (const Udp::endpoint &receiver : chooseReceivers(message, scope)) {
        m_port->send(receiver, datagram);
        m_metrics.add(Counter::GossipBytesSent, datagram.size());
    }
}

} // namespace carobjunction
