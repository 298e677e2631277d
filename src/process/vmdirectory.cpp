#include <carobjunction/process/vmdirectory.h>

#include <carobjunction/process/durations.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

constexpr double FailureWeight = 0.1; // weight of one call in the smoothed share of failures
constexpr double CrowdedFactor = 1.7; // work beyond the limit slows all work of the backend server
constexpr double JitterShare = 0.15;
constexpr double UseWeight = 0.3; // of the slots in use, so that equal targets are filled evenly
constexpr double FailurePenalty = 4; // a target that fails every call counts as if its work took five times as long
constexpr uint32_t LargestDoubling = 5;

bool accepts(const VmView &vm, const TargetQuery &query)
{
    const VmRecord &record = vm.record;
    return record.backend.state == BackendState::Ready && !record.stopping && record.backend.service == query.service
        && query.excluded.count(record.daemon) == 0;
}

bool hasRoom(const VmView &vm, TimePoint now)
{
    const bool isSlow = vm.report.slowSpell && now - vm.reportedAt < VmDirectory::SlownessAge;
    return !isSlow && (vm.report.limit == 0 || vm.report.running + vm.report.waiting + vm.sentSince < vm.report.limit);
}

} // namespace

bool VmDirectory::merge(const VmRecord &record)
{
    const auto [found, isNew] = m_vms.try_emplace(record.daemon);
    VmView &vm = found->second;
    if (!isNew && !record.isNewerThan(vm.record)) {
        return false;
    }
    const bool restarted = isNew || record.incarnation != vm.record.incarnation || record.backend.id != vm.record.backend.id;
    vm.record = record;
    if (restarted) {
        vm.report = {};
        vm.avoidedUntil = {};
        vm.failures = 0;
        vm.failureShare = 0;
        vm.sentSince = 0;
    }
    return true;
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

std::vector<VmRecord> VmDirectory::othersAt(const std::string &address, const std::string &daemon) const
{
    std::vector<VmRecord> others;
    for (const auto &[other, vm] : m_vms) {
        if (other != daemon && vm.record.address == address) {
            others.push_back(vm.record);
        }
    }
    return others;
}

void VmDirectory::onReport(const std::string &daemon, const TargetReport &report, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found == m_vms.end()) {
        return;
    }
    const SlotEvidence learned = report.slots.upper.ratio.answers + report.slots.lower.ratio.answers > 0 ? report.slots : found->second.report.slots;
    found->second.report = report;
    found->second.report.slots = learned;
    found->second.reportedAt = now;
    found->second.sentSince = 0;
}

SlotEvidence VmDirectory::slotEvidence(const std::string &service) const
{
    SlotEvidence evidence;
    for (const auto &[daemon, vm] : m_vms) {
        if (!isSelf(daemon) && vm.record.backend.service == service) {
            evidence.add(vm.report.slots);
        }
    }
    return evidence;
}

void VmDirectory::onSent(const std::string &daemon)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end()) {
        ++found->second.sentSince;
        ++found->second.inFlight;
    }
}

void VmDirectory::onEnded(const std::string &daemon, bool failed, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found == m_vms.end()) {
        return;
    }
    VmView &vm = found->second;
    vm.inFlight -= vm.inFlight > 0 ? 1 : 0;
    vm.failureShare += ((failed ? 1.0 : 0.0) - vm.failureShare) * FailureWeight;
    if (!failed) {
        vm.failures = 0;
        return;
    }
    ++vm.failures;
    if (vm.failures >= FailuresToAvoid) {
        const uint32_t doublings = std::min(vm.failures - FailuresToAvoid, LargestDoubling);
        vm.avoidedUntil = now + std::min<Duration>(AvoidAfterFailure * (1U << doublings), LongestAvoidance);
    }
}

void VmDirectory::onUnreachable(const std::string &daemon, TimePoint now)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end()) {
        found->second.failures = std::max(found->second.failures, FailuresToAvoid - 1);
    }
    onEnded(daemon, true, now);
}

void VmDirectory::onAlive(const std::string &daemon)
{
    const auto found = m_vms.find(daemon);
    if (found != m_vms.end() && found->second.failureShare < FailureWeight) {
        found->second.avoidedUntil = {};
    }
}

bool VmDirectory::isEligible(const VmView &vm, const TargetQuery &query, TimePoint now) const
{
    if (!accepts(vm, query) || (now < vm.avoidedUntil && !query.withAvoided)) {
        return false;
    }
    switch (query.scope) {
    case TargetScope::RegionWithRoom:
        return isSameRegion(vm.record) && hasRoom(vm, now);
    case TargetScope::Region:
        return isSameRegion(vm.record);
    case TargetScope::OtherRegionWithRoom:
        return !isSameRegion(vm.record) && hasRoom(vm, now);
    case TargetScope::Anywhere:
        break;
    }
    return true;
}

Duration VmDirectory::predicted(const VmView &vm, const TargetQuery &query, TimePoint now) const
{
    const VmRecord &record = vm.record;
    const Duration hop = isSelf(record.daemon) ? Duration::zero() : isSameDataCentre(record) ? SameDataCentre : isSameRegion(record) ? SameRegion : OtherRegion;
    const uint32_t limit = std::max<uint32_t>(vm.report.limit, 1);
    const uint32_t busy = vm.report.running + vm.report.waiting + vm.sentSince;
    const double usual = vm.report.cold ? HostSlowness::ColdFactor : 1;
    const double slowness = now - vm.reportedAt < SlownessAge ? std::max(vm.report.slowness, usual) : usual;
    const double factor = slowness * (busy >= limit ? CrowdedFactor : 1);
    const double excess = busy < limit ? 0 : static_cast<double>(busy - limit + 1) / limit;
    const double use = UseWeight * static_cast<double>(std::min(busy, limit)) / limit;
    const Duration work = scaled(query.work, factor);
    return hop + scaled(work, 1 + use + excess + FailurePenalty * vm.failureShare);
}

std::optional<std::string> VmDirectory::choose(const TargetQuery &query, TimePoint now, const std::function<double()> &jitter) const
{
    const VmView *best = nullptr;
    Duration bestTime = Duration::max();
    for (const auto &[daemon, vm] : m_vms) {
        if (!isEligible(vm, query, now)) {
            continue;
        }
        const Duration time = scaled(predicted(vm, query, now), 1 + JitterShare * jitter());
        if (time < bestTime) {
            best = &vm;
            bestTime = time;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->record.daemon;
}

const VmView *VmDirectory::find(const std::string &daemon) const
{
    const auto found = m_vms.find(daemon);
    return found == m_vms.end() ? nullptr : &found->second;
}

} // namespace carobjunction
