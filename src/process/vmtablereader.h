#pragma once

#include <carobjunction/process/durations.h>
#include <carobjunction/process/vmdirectory.h>

#include "connection/detachedtask.h"
#include "connection/sleepfor.h"
#include "process/backoff.h"
#include "process/eventlog.h"
#include "process/ownrecord.h"
#include "process/peerrecords.h"
#include "process/storereachability.h"
#include "process/tablestore.h"
#include "process/vmrows.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/**
 * Reads the table of VM records: at the start, after the record of this VM is stored, and then periodically. Its rows go to the OwnRecord of this VM and the
 * PeerRecords of the others. Used on one event loop.
 */
template<typename Dialect>
class VmTableReader
{
public:
    /**
     * Mean interval between two reads of the VM table. Each interval is varied by 25 % so that daemons don't read at the same time. The
     * interval is long because changes arrive from datagrams and peers, and each call to the store is billed.
     */
    static constexpr Duration RefreshInterval = std::chrono::seconds(60);
    /**
     * Delay between the first and the second read of the VM table. Daemons that start together have written their records by then. The
     * delay is repeated until the record of this VM is stored.
     */
    static constexpr Duration SecondReadDelay = std::chrono::seconds(2);
    /** Time without a report after which a VM that has no row in the VM table is removed from the directory. */
    static constexpr Duration MissingRowTimeout = std::chrono::seconds(10);

    /** All references must outlive this object. */
    VmTableReader(asio::io_context &loop,
                  VmDirectory &directory,
                  TableStore<Dialect> &store,
                  StoreReachability &reachability,
                  OwnRecord<Dialect> &ownRecord,
                  PeerRecords &peerRecords)
        : m_loop(loop), m_directory(directory), m_store(store), m_reachability(reachability), m_ownRecord(ownRecord), m_peerRecords(peerRecords)
    {
    }

    /** Starts to read the table. @param onFirstRead  called after the first read, when the other VMs are known */
    void start(std::function<void()> onFirstRead)
    {
        m_onFirstRead = std::move(onFirstRead);
        spawnSupervised(m_loop, "refresh-vms", [this] { return readRepeatedly(); });
    }

private:
    /**
     * Reads the VM table at the start, after the record of this VM is stored, and then periodically. If two daemons start at the same
     * time, the second read of the daemon that stores its record last finds the record of the first daemon, so that it can send its reports to
     * the first daemon.
     */
    Task<void> readRepeatedly()
    {
        Backoff backoff;
        int reads = 0;
        while (true) {
            const auto rows = co_await m_store.scan(OwnRecord<Dialect>::TableName);
            if (!rows) {
                m_reachability.onFailure(OwnRecord<Dialect>::TableName);
                co_await sleepFor(m_loop, backoff.next());
                continue;
            }
            m_reachability.onResponse();
            backoff.reset();
            applyRows(*rows);
            if (++reads > 1) {
                co_await sleepFor(m_loop, withJitter(RefreshInterval));
                continue;
            }
            m_onFirstRead();
            do {
                co_await sleepFor(m_loop, SecondReadDelay);
            } while (!m_ownRecord.isStored());
        }
    }

    /** @return @p time varied randomly by up to 25 % */
    Duration withJitter(Duration time)
    {
        return scaled(time, std::uniform_real_distribution<double>(0.75, 1.25)(m_random));
    }

    /** Applies the rows of the VM table, and removes VMs that have neither a row nor a recent report. */
    void applyRows(const TableRows &rows)
    {
        const VmRows read = readVmRows(rows);
        std::set<std::string> daemonsWithRow(read.unreadable.begin(), read.unreadable.end());
        logUnreadableRows(read);
        if (daemonsWithRow.count(m_ownRecord.record().daemon) != 0) {
            replaceUnreadableOwnRow(rows);
        }
        for (const VmRow &row : read.rows) {
            if (!row.isSuperseded || m_directory.isSelf(row.record.daemon)) {
                daemonsWithRow.insert(row.record.daemon);
                applyRow(row);
            }
        }
        if (daemonsWithRow.count(m_ownRecord.record().daemon) == 0) {
            m_ownRecord.onRowMissing();
        }
        const TimePoint now = SteadyClock().now();
        std::vector<VmRecord> expired;
        for (const auto &[daemon, vm] : m_directory.all()) {
            if (daemonsWithRow.count(daemon) == 0 && !m_directory.isSelf(daemon) && now - vm.reportedAt > MissingRowTimeout) {
                expired.push_back(vm.record);
            }
        }
        for (const VmRecord &record : expired) {
            m_peerRecords.remove(record.daemon, record.incarnation, "no row in the VM table and no recent report of its daemon");
        }
        m_ownRecord.recover();
    }

    /** Logs an unreadable row only when it first appears, because it stays in the table until its writer replaces it. */
    void logUnreadableRows(const VmRows &read)
    {
        for (size_t i = 0; i < read.unreadable.size(); ++i) {
            if (m_unreadableKeys.count(read.unreadable[i]) == 0) {
                EventLog::write(
                    LogLevel::Warning,
                    Event::ConfigRejected,
                    { { "table", OwnRecord<Dialect>::TableName }, { "key", read.unreadable[i] }, { "reason", "unreadable row: " + read.errors[i] } });
            }
        }
        m_unreadableKeys = { read.unreadable.begin(), read.unreadable.end() };
    }

    /** Overwrites an unreadable row under the key of this daemon, which another writer stored, like a record of a previous run. */
    void replaceUnreadableOwnRow(const TableRows &rows)
    {
        for (const TableRow &row : rows.rows) {
            if (row.key == m_ownRecord.record().daemon) {
                m_ownRecord.onRowRead(std::nullopt, row.version);
            }
        }
    }

    void applyRow(const VmRow &row)
    {
        if (m_directory.isSelf(row.record.daemon)) {
            m_ownRecord.onRowRead(row.record, row.version);
            return;
        }
        m_peerRecords.apply(row.record, RecordSource::Store);
    }

    asio::io_context &m_loop;
    VmDirectory &m_directory;
    TableStore<Dialect> &m_store;
    StoreReachability &m_reachability;
    OwnRecord<Dialect> &m_ownRecord;
    PeerRecords &m_peerRecords;
    std::function<void()> m_onFirstRead;
    std::set<std::string> m_unreadableKeys; /**< Keys of the rows that were unreadable at the last read. */
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
