#include "process/daemon.h"

#include "process/eventlog.h"
#include "process/suspectwire.h"

#include <nlohmann/json.hpp>
#include <tbb/parallel_for_each.h>
#include <tbb/task_arena.h>

namespace carobjunction
{

namespace
{

constexpr std::chrono::milliseconds InForceTimeout(500);
constexpr uint32_t MaxParallelInForceRequests = 16;

std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

/** Adds the routing state of this daemon for a target, and the last load report of the target. */
void addRoutingState(nlohmann::json &target, const TargetSnapshot &snapshot)
{
    target["phase"] = nameOf(snapshot.phase);
    target["local_in_flight"] = snapshot.localInFlight;
    target["weight"] = snapshot.weight;
    target["failure_share"] = snapshot.failureShare;
    if (snapshot.latency) {
        target["latency_us"] = microseconds(*snapshot.latency);
    }
    if (snapshot.load) {
        target["in_flight"] = snapshot.load->inFlight;
        target["queued"] = snapshot.load->queued;
        target["limit"] = snapshot.load->limit;
        target["report_age_us"] = microseconds(snapshot.reportAge.value_or(Duration::zero()));
    }
}

/** @return the version of a service's configuration in the response, or 0 if it has none */
uint64_t versionOf(const v1::InForceResponse &response, const std::string &service)
{
    for (const v1::ConfigEntry &entry : response.configs()) {
        if (entry.service() == service) {
            return entry.version();
        }
    }
    return 0;
}

} // namespace

OperatorActions Daemon::operatorActions()
{
    OperatorActions actions;
    actions.isReady = [this] {
        return m_gossip->isReady();
    };
    actions.announce = [this](const TargetAnnouncement &announcement) {
        return announce(announcement);
    };
    actions.leave = [this](const TargetAnnouncement *announcement) {
        const AnnouncementVerdict verdict = announcement == nullptr ? AnnouncementVerdict::Accepted : m_announcedBackend.checkLeave(*announcement);
        if (verdict == AnnouncementVerdict::Accepted) {
            leave();
        }
        return verdict;
    };
    actions.inForce = [this](const std::string &service, bool withMembers) {
        return inForceJson(service, withMembers);
    };
    actions.targets = [this](const std::string &service) {
        return targetsJson(service);
    };
    actions.suspects = [this] {
        return suspectsJson();
    };
    actions.clearSuspect = [this](uint64_t fingerprint) {
        if (m_suspects.state(fingerprint) == SuspectState::Clear) {
            return false;
        }
        m_suspects.clear(fingerprint);
        EventLog::write(LogLevel::Info, Event::SuspectCleared, { { "fingerprint", std::to_string(fingerprint) }, { "cause", "operator" } });
        m_gossipTask->wake();
        return true;
    };
    return actions;
}

std::string Daemon::inForceJson(const std::string &service, bool withMembers)
{
    nlohmann::json configs = nlohmann::json::array();
    nlohmann::json unconfirmed = nlohmann::json::array();
    const auto wallClockNow = std::chrono::system_clock::now();
    for (const auto &entry : m_configs.entries()) {
        if (!service.empty() && entry->service != service) {
            continue;
        }
        Duration inForceDuration = Duration::zero();
        {
            const std::scoped_lock lock(m_inForceMutex);
            inForceDuration = m_clock.now() - m_inForceSince[entry->service];
        }
        const auto inForceSinceMs = std::chrono::duration_cast<std::chrono::milliseconds>((wallClockNow - inForceDuration).time_since_epoch()).count();
        configs.push_back({ { "service", entry->service },
                            { "version", entry->version },
                            { "hash", entry->hash },
                            { "publisher", entry->publisher },
                            { "published_at_ms", entry->publishedAtMs },
                            { "in_force_since_ms", inForceSinceMs } });
    }
    if (withMembers) {
        unconfirmed = unconfirmedMembers(service, configs);
    }
    return dump({ { "daemon", m_settings.daemon }, { "configs", std::move(configs) }, { "unconfirmed", std::move(unconfirmed) } });
}

nlohmann::json Daemon::unconfirmedMembers(const std::string &service, const nlohmann::json &configs)
{
    v1::InForceRequest request;
    request.set_service(service);
    const MemberList members = m_membership.members();
    std::mutex mutex;
    nlohmann::json unconfirmed = nlohmann::json::array();
    // Each response takes up to InForceTimeout, so the members are queried in parallel.
    tbb::task_arena arena(static_cast<int>(MaxParallelInForceRequests), 0);
    arena.execute([&] {
        tbb::parallel_for_each(members->begin(), members->end(), [&](const MemberPointer &member) {
            if (!member->isLive() || member->daemon == m_settings.daemon) {
                return;
            }
            const auto response = m_peerChannels.inForce(member->peerAddress, request, InForceTimeout);
            const std::scoped_lock lock(mutex);
            for (const nlohmann::json &config : configs) {
                const uint64_t version = response ? versionOf(*response, config["service"]) : 0;
                if (version < config["version"].get<uint64_t>()) {
                    unconfirmed.push_back({ { "daemon", member->daemon }, { "service", config["service"] }, { "version", version } });
                }
            }
        });
    });
    return unconfirmed;
}

std::string Daemon::targetsJson(const std::string &service)
{
    nlohmann::json targets = nlohmann::json::array();
    for (const MemberList members = m_membership.members(); const MemberPointer &member : *members) {
        if (!service.empty() && member->service != service) {
            continue;
        }
        nlohmann::json target = { { "service", member->service },
                                  { "daemon", member->daemon },
                                  { "region", member->region },
                                  { "data_centre", member->dataCentre },
                                  { "address", member->targetAddress },
                                  { "caller_address", member->callerAddress },
                                  { "state", nameOf(member->state) },
                                  { "incarnation", member->incarnation },
                                  { "target_incarnation", member->targetIncarnation },
                                  { "slots", member->slots } };
        for (const TargetSnapshot &snapshot : m_targets.snapshot(member->service)) {
            if (snapshot.target.daemon == member->daemon) {
                addRoutingState(target, snapshot);
            }
        }
        targets.push_back(std::move(target));
    }
    return dump({ { "targets", std::move(targets) } });
}

std::string Daemon::suspectsJson()
{
    return dump({ { "suspects", suspectsToJson(m_suspects) } });
}

} // namespace carobjunction
