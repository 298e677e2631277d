#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/hostslowdowndetector.h>
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

/** Load of a target, as reported by its daemon. */
struct TargetReport {
    uint32_t running = 0; /**< Number of running requests. */
    uint32_t waiting = 0; /**< Number of requests waiting for a slot. */
    uint32_t limit = 0; /**< Maximum number of concurrent requests. */
    double slowdownFactor = 1; /**< Current service time relative to a VM that is not slowed down. */
    bool cold = false; /**< The backend server is in its cold start, during which requests take longer. */
    bool isTemporarilySlow = false; /**< The VM is temporarily slowed down. */
    SlotLimitStatistics slots; /**< Throughput of the target under its concurrency limits. Sent only with gossip messages. */
};

/** State of a VM as known to this daemon: its record, its last load report and the results of calls to it. */
struct VmState {
    VmRecord record;
    std::optional<RecordVersion> reportedVersion; /**< Version of the record that the VM's own daemon has reported last; empty before its first report. */
    BackendRecord leftBackend; /**< Last backend server of this VM that has announced that it is leaving; without an id if there is none. */
    TargetReport report;
    TimePoint reportedAt; /**< Time at which the last load report was received. */
    uint32_t sentSinceReport = 0; /**< Number of requests sent since the last load report. */
    uint32_t inFlight = 0; /**< Number of requests in flight from this daemon to the target. */
    TimePoint backoffUntil; /**< End of the back-off period, during which requests are sent to the target only if no other target is available. */
    uint32_t consecutiveFailures = 0; /**< Number of consecutive failed calls. */
    double failureShare = 0; /**< Smoothed share of failed calls, from 0 to 1. */

    /** @return the record, with the leave of the last backend server unless another one has taken its place */
    VmRecord recordWithLeave() const;
};

/** Data centre and region in which a daemon runs. Targets in the same locality are preferred. */
struct Locality {
    std::string dataCentre;
    std::string region;
};

/** Targets that are considered in a selection. */
enum class TargetScope {
    RegionWithFreeSlot, /**< Targets in this region with a free slot, according to their last load reports. */
    Region, /**< Targets in this region. */
    OtherRegionWithFreeSlot, /**< Targets in other regions with a free slot, according to their last load reports. Traffic between regions is billed by volume.
                              */
    Anywhere, /**< All targets. */
};

/** Criteria for the selection of a target. */
struct TargetQuery {
    std::string service; /**< Service that the target must run. */
    Duration serviceTime = Duration::zero(); /**< Expected service time of the request. */
    std::set<std::string> excluded; /**< Ids of daemons that must not be selected. */
    TargetScope scope = TargetScope::Anywhere; /**< Targets to consider. */
    bool includesBackedOff = false; /**< Whether targets in their back-off period after failed calls are considered. */
    std::optional<Duration> maxWait; /**< Targets are skipped if their last load report suggests a longer wait for a slot; empty for no limit. */
};

/** Directory of the VMs known to this daemon. Records are merged by incarnation and revision and may arrive in any order. Not thread-safe. */
class VmDirectory
{
public:
    /** Age after which the slowdown in a load report is ignored, because it changes many times a second. */
    static constexpr Duration SlowdownExpiry = HostSlowdownDetector::ReadingExpiry;
    /** Age after which a load report is no evidence of a long wait. */
    static constexpr Duration LoadReportExpiry = std::chrono::seconds(1);
    /** Initial back-off period after failed calls; doubles with each further failure. */
    static constexpr Duration InitialBackoff = std::chrono::milliseconds(250);
    /** Maximum back-off period. */
    static constexpr Duration MaxBackoff = std::chrono::seconds(4);
    /** Number of consecutive failed calls that starts a back-off period. */
    static constexpr uint32_t BackoffFailureThreshold = 2;
    /** Cost of a round trip, as the waiting time that is accepted to avoid it: traffic between data centres is billed by volume. */
    static constexpr Duration SameDataCentreCost = std::chrono::milliseconds(1);
    static constexpr Duration SameRegionCost = std::chrono::milliseconds(40);
    static constexpr Duration OtherRegionCost = std::chrono::milliseconds(90);

    /** @param self  id of this daemon */
    VmDirectory(std::string self, Locality locality) : m_self(std::move(self)), m_locality(std::move(locality))
    {
    }

    /**
     * Stores a record of any daemon if it is newer than the current one. A backend server that has announced its leave stays leaving: its daemon may
     * have been restarted and have lost the leave. @return whether the record was stored
     */
    bool merge(const VmRecord &record);

    /** Stores the version of its record that the daemon of a VM has reported. */
    void onReportedVersion(const std::string &daemon, const RecordVersion &version);

    /** @return whether the daemon of the VM has last reported an older version than that of the record held: another writer may have sent the record */
    bool isContradicted(const std::string &daemon) const;

    /** Replaces the record of a known VM by the one that its own daemon has returned, also if that is older: then another writer stored the newer one. */
    void replace(const VmRecord &record);

    /** Removes a VM, unless its record has a later incarnation. @return whether the VM was removed */
    bool remove(const std::string &daemon, uint64_t incarnation);

    /** @return records of VMs other than @p daemon with this address; there are some if the address of a removed VM has been reused */
    std::vector<VmRecord> findOthersByAddress(const std::string &address, const std::string &daemon) const;

    /** Stores a load report of a VM. */
    void onLoadReport(const std::string &daemon, const TargetReport &report, TimePoint now);

    /** Records that a request was sent to the target. */
    void onRequestSent(const std::string &daemon);

    /** Records the end of a call. @param failed  whether the call failed because of the target or its daemon */
    void onRequestEnded(const std::string &daemon, bool failed, TimePoint now);

    /** Records that the daemon could not be reached. This starts a back-off period at once. */
    void onUnreachable(const std::string &daemon, TimePoint now);

    /** @return combined concurrency statistics of the other targets of a service */
    SlotLimitStatistics slotLimitStatistics(const std::string &service) const;

    /** Records that a message from the daemon was received. This ends its back-off period unless too many recent calls to it have failed. */
    void onMessageReceived(const std::string &daemon);

    /**
     * Selects a target.
     * @param jitter  returns a random number from 0 to 1, by which the selection among equivalent targets varies
     * @return id of the daemon of the target with the lowest predicted latency, or std::nullopt if no target is eligible
     */
    std::optional<std::string> selectTarget(const TargetQuery &query, TimePoint now, const std::function<double()> &jitter) const;

    /** @return state of the VM, or null if it is unknown */
    const VmState *find(const std::string &daemon) const;

    /** @return all VMs, by the id of their daemon */
    const std::map<std::string, VmState> &all() const
    {
        return m_vms;
    }

    /** @return whether @p daemon is the id of this daemon */
    bool isSelf(const std::string &daemon) const
    {
        return daemon == m_self;
    }

    /** @return whether the VM is in the data centre of this daemon */
    bool isSameDataCentre(const VmRecord &record) const
    {
        return record.dataCentre == m_locality.dataCentre;
    }

    /** @return whether the VM is in the region of this daemon */
    bool isSameRegion(const VmRecord &record) const
    {
        return record.region == m_locality.region;
    }

private:
    static void assign(VmState &vm, const VmRecord &record);
    bool isEligible(const VmState &vm, const TargetQuery &query, TimePoint now) const;
    static Duration expectedWait(const VmState &vm, const TargetQuery &query, TimePoint now);
    Duration predictedLatency(const VmState &vm, const TargetQuery &query, TimePoint now) const;

    std::string m_self;
    Locality m_locality;
    std::map<std::string, VmState> m_vms;
};

} // namespace carobjunction
