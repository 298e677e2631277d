#include <carobjunction/process/vmdirectory.h>

#include <carobjunction/process/durations.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

constexpr double FailureSmoothing = 0.1; // weight of one call in the smoothed failure share
constexpr double OverLimitFactor = 1.7; // requests in excess of the limit slow down all requests on the backend server
constexpr double JitterShare = 0.15; // maximum random increase of the predicted latency
constexpr double UtilisationWeight = 0.3; // weight of the slot utilisation, so that equivalent targets are loaded evenly
constexpr double FailurePenalty = 4; // a target that fails every call is rated as if its service time were five times as long
constexpr uint32_t MaxBackoffDoublings = 5;

bool acceptsRequests(const VmState &vm, const TargetQuery &query)
{
    const VmRecord &record = vm.record;
    return record.backend.state == BackendState::Ready && !record.stopping && record.backend.service == query.service
        && query.excluded.count(record.daemon) == 0;
}

bool hasFreeSlot(const VmState &vm, TimePoint now)
{
    const bool isSlow = vm.report.isTemporarilySlow && now - vm.reportedAt < VmDirectory::SlowdownExpiry;
    return !isSlow && (vm.report.limit == 0 || vm.report.running + vm.report.waiting + vm.sentSinceReport < vm.report.limit);
}

bool isSameProcess(const BackendRecord &a, const BackendRecord &b)
{
    return a.id == b.id && a.startedAtMs == b.startedAtMs && a.service == b.service;
}

/** Applies the leave of the backend server to the record of its VM, unless only the record is verified: then another writer may have sent the leave. */
void keepLeave(VmState &vm)
{
    if (vm.record.backend.isVerified && !vm.leftBackend.isVerified) {
        vm.leftBackend = {};
    } else {
        vm.record.backend = vm.leftBackend;
    }
}

} // namespace

VmRecord VmState::recordWithLeave() const
{
    VmRecord result = record;
    if (result.backend.id.empty() || isSameProcess(result.backend, leftBackend)) {
        result.backend = leftBackend;
    }
    return result;
}

bool VmDirectory::merge(const VmRecord &record)
{
    const auto [found, isNew] = m_vms.try_emplace(record.daemon);
    if (!isNew && !record.isNewerThan(found->second.record)) {
        return false;
    }
    assign(found->second, record);
    return true;
}

void VmDirectory::onReportedVersion(const std::string &daemon, const RecordVersion &version)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end()) {
        found->second.reportedVersion = version;
    }
}

bool VmDirectory::isContradicted(const std::string &daemon) const
{
    const VmState *vm = find(daemon);
    return vm != nullptr && vm->reportedVersion && *vm->reportedVersion < vm->record.version();
}

void VmDirectory::replace(const VmRecord &record)
{
    const auto found = m_vms.find(record.daemon);
    if (found != m_vms.end()) {
        assign(found->second, record);
    }
}

void VmDirectory::assign(VmState &vm, const VmRecord &record)
{
    const bool hasRestarted = record.incarnation != vm.record.incarnation || record.backend.id != vm.record.backend.id;
    vm.record = record;
    if (record.backend.isLeaving) {
        vm.leftBackend = record.backend;
    } else if (!record.backend.id.empty() && isSameProcess(record.backend, vm.leftBackend)) {
        keepLeave(vm);
    }
    if (hasRestarted) {
        vm.report = {};
        vm.backoffUntil = {};
        vm.consecutiveFailures = 0;
        vm.failureShare = 0;
        vm.sentSinceReport = 0;
    }
}

bool VmDirectory::remove(const std::string &daemon, uint64_t incarnation)
{
    const auto found = m_vms.find(daemon);
    if (found == m_vms.end() || found->second.record.incarnation > incarnation) {
        return false;
    }
    m_vms.erase(found);
    return true;
}

std::vector<VmRecord> VmDirectory::findOthersByAddress(const std::string &address, const std::string &daemon) const
{
    std::vector<VmRecord> others;
    for (const auto &[other, vm] : m_vms) {
        if (other != daemon && vm.record.address == address) {
            others.push_back(vm.record);
        }
    }
    return others;
}

void VmDirectory::onLoadReport(const std::string &daemon, const TargetReport &report, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found == m_vms.end()) {
        return;
    }
    const SlotLimitStatistics slotStatistics
        = report.slots.upper.serviceTimeRatio.sampleCount + report.slots.lower.serviceTimeRatio.sampleCount > 0 ? report.slots : found->second.report.slots;
    found->second.report = report;
    found->second.report.slots = slotStatistics;
    found->second.reportedAt = now;
    found->second.sentSinceReport = 0;
}

SlotLimitStatistics VmDirectory::slotLimitStatistics(const std::string &service) const
{
    SlotLimitStatistics statistics;
    for (const auto &[daemon, vm] : m_vms) {
        if (!isSelf(daemon) && vm.record.backend.service == service) {
            statistics.add(vm.report.slots);
        }
    }
    return statistics;
}

void VmDirectory::onRequestSent(const std::string &daemon)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end()) {
        ++found->second.sentSinceReport;
        ++found->second.inFlight;
    }
}

void VmDirectory::onRequestEnded(const std::string &daemon, bool failed, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found == m_vms.end()) {
        return;
    }
    VmState &vm = found->second;
    vm.inFlight -= vm.inFlight > 0 ? 1 : 0;
    vm.failureShare += ((failed ? 1.0 : 0.0) - vm.failureShare) * FailureSmoothing;
    if (!failed) {
        vm.consecutiveFailures = 0;
        return;
    }
    ++vm.consecutiveFailures;
    if (vm.consecutiveFailures >= BackoffFailureThreshold) {
        const uint32_t doublings = std::min(vm.consecutiveFailures - BackoffFailureThreshold, MaxBackoffDoublings);
        vm.backoffUntil = now + std::min<Duration>(InitialBackoff * (1U << doublings), MaxBackoff);
    }
}

void VmDirectory::onUnreachable(const std::string &daemon, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end()) {
        found->second.consecutiveFailures = std::max(found->second.consecutiveFailures, BackoffFailureThreshold - 1);
    }
    onRequestEnded(daemon, true, now);
}

void VmDirectory::onMessageReceived(const std::string &daemon)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end() && found->second.failureShare < FailureSmoothing) {
        found->second.backoffUntil = {};
    }
}

bool VmDirectory::isEligible(const VmState &vm, const TargetQuery &query, TimePoint now) const
{
    if (!acceptsRequests(vm, query) || (now < vm.backoffUntil && !query.includesBackedOff)) {
        return false;
    }
    if (query.maxWait && expectedWait(vm, query, now) > *query.maxWait) {
        return false;
    }
    switch (query.scope) {
    case TargetScope::RegionWithFreeSlot:
        return isSameRegion(vm.record) && hasFreeSlot(vm, now);
    case TargetScope::Region:
        return isSameRegion(vm.record);
    case TargetScope::OtherRegionWithFreeSlot:
        return !isSameRegion(vm.record) && hasFreeSlot(vm, now);
    case TargetScope::Anywhere:
        break;
    }
    return true;
}

/** @return the wait for a slot that the last load report suggests; zero if the report is outdated */
Duration VmDirectory::expectedWait(const VmState &vm, const TargetQuery &query, TimePoint now)
{
    const uint32_t outstanding = vm.report.running + vm.report.waiting + vm.sentSinceReport;
    if (now - vm.reportedAt > LoadReportExpiry || outstanding < vm.report.limit || vm.report.limit == 0) {
        return Duration::zero();
    }
    return scaled(query.serviceTime, (static_cast<double>(outstanding - vm.report.limit) + 0.5) / vm.report.limit);
}

Duration VmDirectory::predictedLatency(const VmState &vm, const TargetQuery &query, TimePoint now) const
{
    const VmRecord &record = vm.record;
    const Duration roundTripCost = isSelf(record.daemon) ? Duration::zero()
        : isSameDataCentre(record)                       ? SameDataCentreCost
        : isSameRegion(record)                           ? SameRegionCost
                                                         : OtherRegionCost;
    const uint32_t limit = std::max<uint32_t>(vm.report.limit, 1);
    const uint32_t outstanding = vm.report.running + vm.report.waiting + vm.sentSinceReport;
    const double baselineFactor = vm.report.cold ? HostSlowdownDetector::ColdStartFactor : 1;
    const double slowdownFactor = now - vm.reportedAt < SlowdownExpiry ? std::max(vm.report.slowdownFactor, baselineFactor) : baselineFactor;
    const double factor = slowdownFactor * (outstanding >= limit ? OverLimitFactor : 1);
    const double overload = outstanding < limit ? 0 : static_cast<double>(outstanding - limit + 1) / limit;
    const double weightedUtilisation = UtilisationWeight * static_cast<double>(std::min(outstanding, limit)) / limit;
    const Duration serviceTime = scaled(query.serviceTime, factor);
    return roundTripCost + scaled(serviceTime, 1 + weightedUtilisation + overload + FailurePenalty * vm.failureShare);
}

std::optional<std::string> VmDirectory::selectTarget(const TargetQuery &query, TimePoint now, const std::function<double()> &jitter) const
{
    const VmState *best = nullptr;
    Duration bestLatency = Duration::max();
    for (const auto &[daemon, vm] : m_vms) {
        if (!isEligible(vm, query, now)) {
            continue;
        }
        const Duration latency = scaled(predictedLatency(vm, query, now), 1 + JitterShare * jitter());
        if (latency < bestLatency) {
            best = &vm;
            bestLatency = latency;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->record.daemon;
}

const VmState *VmDirectory::find(const std::string &daemon) const
{
    const auto found = m_vms.find(daemon);
    return found == m_vms.end() ? nullptr : &found->second;
}

} // namespace carobjunction
