#pragma once

#include <carobjunction/process/vmdirectory.h>

#include "connection/peerclients.h"
#include "process/gossipmessage.h"
#include "process/peerstate.h"

#include <functional>
#include <optional>
#include <string>

namespace carobjunction
{

/** Where a record of a VM was received from. Only the VM's own daemon writes its record; the others may pass on that of another writer. */
enum class RecordSource {
    Daemon,
    Store,
    Peer,
};

template<>
struct EnumNames<RecordSource> {
    static constexpr std::pair<RecordSource, std::string_view> Table[] = {
        { RecordSource::Daemon, "daemon" },
        { RecordSource::Store, "store" },
        { RecordSource::Peer, "peer" },
    };
};

/**
 * Keeps the records of the other VMs in the directory. Records arrive from the store, from peers and from the VMs' own daemons in any order; the newest one
 * applies. It may stem from another writer: if the VM's own daemon goes on reporting an older one, the record is fetched from that daemon, and its word
 * applies. Used on one event loop.
 */
class PeerRecords
{
public:
    /** Delay before a record is fetched from a peer, because a later datagram usually delivers it. */
    static constexpr Duration FetchDelay = std::chrono::milliseconds(500);

    /** Called with the text of a state that was fetched because this daemon knows no other VM. */
    using StateHandler = std::function<void(const std::string &text)>;

    /**
     * @param ownAddress  peer address of this daemon
     * All references must outlive this object.
     */
    PeerRecords(asio::io_context &loop, VmDirectory &directory, PeerClients &peers, std::string ownAddress, StateHandler stateHandler);

    /** Merges the record of another VM into the directory, and logs the change if the record is newer. */
    void apply(const VmRecord &record, RecordSource source);

    /** Applies the record that a daemon's report contains, and fetches it if the report shows that this daemon has another one. */
    void onReport(const GossipMessage &message);

    /** Removes a VM, unless its record has a later incarnation. @param reason  reason for the log */
    void remove(const std::string &daemon, uint64_t incarnation, const char *reason);

private:
    void removeVmsReplacedBy(const std::string &address, const std::string &currentDaemon);
    bool lacksRecord(const GossipMessage &message) const;
    Task<void> fetch(GossipMessage sender);
    void replaceContradicted(const std::string &daemon, const std::string &text);
    static void logChange(const VmRecord &record, RecordSource source);

    asio::io_context &m_loop;
    VmDirectory &m_directory;
    PeerClients &m_peers;
    std::string m_ownAddress;
    StateHandler m_stateHandler;
    bool m_isFetching = false;
};

} // namespace carobjunction
