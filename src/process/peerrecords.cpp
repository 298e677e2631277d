#include "process/peerrecords.h"

#include "connection/detachedtask.h"
#include "connection/sleepfor.h"
#include "process/eventlog.h"

#include <utility>

namespace carobjunction
{

PeerRecords::PeerRecords(asio::io_context &loop, VmDirectory &directory, PeerClients &peers, std::string ownAddress, StateHandler stateHandler)
    : m_loop(loop), m_directory(directory), m_peers(peers), m_ownAddress(std::move(ownAddress)), m_stateHandler(std::move(stateHandler))
{
}

void PeerRecords::apply(const VmRecord &record, RecordSource source)
{
    if (record.address == m_ownAddress) {
        return; // the record of a failed VM whose address now belongs to this VM
    }
    if (m_directory.merge(record)) {
        logChange(record, source);
    }
}

void PeerRecords::onReport(const GossipMessage &message)
{
    if (message.record && message.record->daemon == message.daemon) {
        apply(*message.record, RecordSource::Daemon);
    }
    removeVmsReplacedBy(message.peerAddress, message.daemon);
    m_directory.onReportedVersion(message.daemon, { message.incarnation, message.revision });
    const bool mustFetch = lacksRecord(message) || m_directory.isContradicted(message.daemon);
    if (mustFetch && !std::exchange(m_isFetching, true)) {
        spawnDetached(m_loop, "fetch-record", fetch(message), [this] { m_isFetching = false; });
    }
}

void PeerRecords::remove(const std::string &daemon, uint64_t incarnation, const char *reason)
{
    const VmState *vm = m_directory.find(daemon);
    const std::string address = vm == nullptr ? "" : vm->record.address;
    if (m_directory.remove(daemon, incarnation)) {
        m_peers.closeConnections(address);
        EventLog::write(LogLevel::Info, Event::MemberRemoved, { { "daemon", daemon }, { "address", address }, { "reason", reason } });
    }
}

/** Removes failed VMs whose address is now used by @p currentDaemon. Peers may still report records of the failed VMs. */
void PeerRecords::removeVmsReplacedBy(const std::string &address, const std::string &currentDaemon)
{
    for (const VmRecord &record : m_directory.findOthersByAddress(address, currentDaemon)) {
        remove(record.daemon, record.incarnation, "its address is now used by another daemon");
    }
}

/** @return whether the sender of @p message has a newer record of its VM than this daemon */
bool PeerRecords::lacksRecord(const GossipMessage &message) const
{
    const VmState *vm = m_directory.find(message.daemon);
    return vm == nullptr || vm->record.version() < RecordVersion { message.incarnation, message.revision };
}

/**
 * Fetches the record of a peer's VM from that peer. If the directory holds no other VM, the store has returned no records yet, so
 * all records are fetched. A delayed report of an earlier process does no harm: the present process returns its own record.
 */
Task<void> PeerRecords::fetch(GossipMessage sender)
{
    co_await sleepFor(m_loop, FetchDelay);
    if (!lacksRecord(sender) && !m_directory.isContradicted(sender.daemon)) {
        co_return;
    }
    const StatePart part = m_directory.all().size() < 2 ? StatePart::All : StatePart::OwnRecord;
    const auto state = co_await m_peers.fetchState(sender.peerAddress, part);
    if (!state) {
        co_return;
    }
    replaceContradicted(sender.daemon, *state);
    m_stateHandler(*state);
}

/** Replaces the record of @p daemon by the older one in the state that this daemon has returned. */
void PeerRecords::replaceContradicted(const std::string &daemon, const std::string &text)
{
    std::string ignoredError; // the state handler reports an unreadable state
    const auto state = PeerState::decode(text, &ignoredError);
    const VmState *vm = m_directory.find(daemon);
    if (!state || vm == nullptr) {
        return;
    }
    for (const VmRecord &record : state->records) {
        if (record.daemon != daemon) {
            continue;
        }
        m_directory.onReportedVersion(daemon, record.version());
        if (m_directory.isContradicted(daemon)) {
            m_directory.replace(record);
            logChange(record, RecordSource::Daemon);
        }
    }
}

void PeerRecords::logChange(const VmRecord &record, RecordSource source)
{
    EventLog::write(LogLevel::Info,
                    Event::MemberChanged,
                    { { "daemon", record.daemon },
                      { "incarnation", std::to_string(record.incarnation) },
                      { "revision", std::to_string(record.revision) },
                      { "backend", record.backend.id },
                      { "service", record.backend.service },
                      { "state", std::string(nameOf(record.backend.state)) },
                      { "stopping", record.stopping ? "yes" : "no" },
                      { "source", std::string(nameOf(source)) } });
}

} // namespace carobjunction
