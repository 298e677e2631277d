#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/hostslowness.h>
#include <carobjunction/process/slottuner.h>
#include <carobjunction/process/vmrecord.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobjunction
{

/** Load of a target as its daemon reported it. */
struct TargetReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t limit = 0; /**< Requests that may run at once. */
    double slowness = 1; /**< How long work takes on the VM at this moment; 1 means as on a calm VM. */
    bool cold = false; /**< The backend server is slow because it started a short time ago. */
    bool slowSpell = false; /**< Work is slow on the VM, and likely to be faster soon. */
    SlotEvidence slots; /**< Whether its last slots pay. Sent by gossip only. */
};

/** A VM as this daemon knows it: its record, its last load report, and what calls to it have shown. */
struct VmView {
    VmRecord record;
    TargetReport report;
    TimePoint reportedAt;
    uint32_t sentSince = 0; /**< Requests sent since the last report. */
    uint32_t inFlight = 0; /**< Requests of this daemon that are at the target. */
    TimePoint avoidedUntil; /**< Nothing is sent before this time, unless nothing else is left. */
    uint32_t failures = 0; /**< Calls that failed in a row. */
    double failureShare = 0; /**< Smoothed share of calls that the target failed. */
};

/** Where a daemon stands. */
struct Place {
    std::string dataCentre;
    std::string region;
};

/** Which targets a choice considers. */
enum class TargetScope {
    RegionWithRoom, /**< In this region, with a free slot by its last report. */
    Region, /**< In this region. */
    OtherRegionWithRoom, /**< In another region, with a free slot by its last report. Traffic between regions is billed by volume. */
    Anywhere,
};

/** What a choice of target depends on, beside the directory. */
struct TargetQuery {
    std::string service;
    Duration work = Duration::zero(); /**< Time that the request is expected to take. */
    std::set<std::string> excluded; /**< Daemons that are not to be chosen. */
    TargetScope scope = TargetScope::Anywhere;
    bool withAvoided = false; /**< Whether targets that failed calls a moment ago are considered. */
};

/** All VMs that this daemon knows. Records are merged by incarnation and revision, in any order. Not thread-safe. */
class VmDirectory
{
public:
    /** Age at which a report no longer tells how slow work is on a VM, which changes many times a second. */
    static constexpr Duration SlownessAge = HostSlowness::Expiry;
    /** First time for which a VM is avoided after a failed call; doubles with each further one. */
    static constexpr Duration AvoidAfterFailure = std::chrono::milliseconds(250);
    static constexpr Duration LongestAvoidance = std::chrono::seconds(4);
    /** Failed calls in a row from which on a VM is avoided. */
    static constexpr uint32_t FailuresToAvoid = 2;
    /** Costs of a round trip, in time that a request may wait instead: traffic between data centres is billed by volume. */
    static constexpr Duration SameDataCentre = std::chrono::milliseconds(1);
    static constexpr Duration SameRegion = std::chrono::milliseconds(40);
    static constexpr Duration OtherRegion = std::chrono::milliseconds(90);

    VmDirectory(std::string self, Place place) : m_self(std::move(self)), m_place(std::move(place))
    {
    }

    /** Takes a record of another daemon, or of this one. @return whether it was news */
    bool merge(const VmRecord &record);

    /** Forgets a VM. @return whether it was known with this incarnation or an earlier one */
    bool remove(const std::string &daemon, uint64_t incarnation);

    /** @return records of VMs other than @p daemon that name this address. An address is used again after its VM is gone. */
    std::vector<VmRecord> othersAt(const std::string &address, const std::string &daemon) const;

    /** Takes a load report of a VM. */
    void onReport(const std::string &daemon, const TargetReport &report, TimePoint now);

    void onSent(const std::string &daemon);

    /** Records the end of a call. @param failed  whether the target or its daemon failed it */
    void onEnded(const std::string &daemon, bool failed, TimePoint now);

    /** The daemon could not be reached. */
    void onUnreachable(const std::string &daemon, TimePoint now);

    /** @return what the other targets of a service have learned about its slots */
    SlotEvidence slotEvidence(const std::string &service) const;

    /** A sign of life of the daemon. */
    void onAlive(const std::string &daemon);

    /**
     * @param jitter  number from 0 to 1 that varies the choice among targets that look alike
     * @return the target with the shortest predicted time to an answer, or empty if none accepts work
     */
    std::optional<std::string> choose(const TargetQuery &query, TimePoint now, const std::function<double()> &jitter) const;

    const VmView *find(const std::string &daemon) const;

    const std::map<std::string, VmView> &all() const
    {
        return m_vms;
    }

    /** @return whether @p daemon is this daemon */
    bool isSelf(const std::string &daemon) const
    {
        return daemon == m_self;
    }

    bool isSameDataCentre(const VmRecord &record) const
    {
        return record.dataCentre == m_place.dataCentre;
    }

    bool isSameRegion(const VmRecord &record) const
    {
        return record.region == m_place.region;
    }

private:
    bool isEligible(const VmView &vm, const TargetQuery &query, TimePoint now) const;
    Duration predicted(const VmView &vm, const TargetQuery &query, TimePoint now) const;

    std::string m_self;
    Place m_place;
    std::map<std::string, VmView> m_vms;
};

} // namespace carobjunction
