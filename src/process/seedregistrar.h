#pragma once

#include "process/lease.h"

#include <functional>
#include <map>

namespace carobjunction
{

/** Largest number of addresses in a row `seeds/{region}`. */
constexpr size_t MaxSeeds = 8;

/** Shortest time between two writes of a row `seeds/{region}`. */
constexpr Duration SeedWriteInterval = std::chrono::seconds(10);

/**
 * Reads the seeds of all regions, for a daemon that joins.
 * @return peer addresses by region, empty with LastReason<StoreError> if the store did not answer. Malformed rows are left out.
 */
template<Store S>
std::optional<std::map<std::string, std::vector<std::string>>> readSeeds(S &store)
{
    static constexpr std::string_view Prefix = "seeds/";
    const auto rows = store.readPrefix(std::string(Prefix));
    if (!rows) {
        return std::nullopt;
    }
    std::map<std::string, std::vector<std::string>> seeds;
    for (const StoreRow &row : *rows) {
        try {
            seeds[row.key.substr(Prefix.size())] = row.value.at("addresses").template get<std::vector<std::string>>();
        } catch (const nlohmann::json::exception &) {
            seeds.erase(row.key.substr(Prefix.size()));
        }
    }
    return seeds;
}

/**
 * Keeps the row `seeds/{region}` up to date while it holds the region's lease. Each write of the seeds also extends the lease, and a
 * new holder waits until the former lease is over, so the row is written at most once in SeedWriteInterval by all daemons together.
 * Not thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class SeedRegistrar
{
public:
    /** Gives the peer addresses of daemons in the region that are up. */
    using PeerSource = std::function<std::vector<std::string>()>;

    /** @param lease  the lease `registrar-{region}`; its duration must exceed twice SeedWriteInterval */
    SeedRegistrar(Lease<S, C, W> &lease, const C &clock, const std::string &region, PeerSource peers)
        : m_lease(lease), m_clock(clock), m_rowKey("seeds/" + region), m_peers(std::move(peers))
    {
    }

    /** Acquires or renews the lease and writes the seeds if they are due. To be called about once a second. */
    void tick()
    {
        if (!m_lease.keep() || (m_hasWritten && m_clock.now() < m_lastWriteAt + SeedWriteInterval)) {
            return;
        }
        std::vector<std::string> addresses = m_peers();
        if (addresses.empty()) {
            return; // An empty row would only take away what joining daemons can use.
        }
        addresses.resize(std::min(addresses.size(), MaxSeeds));
        m_hasWritten = true;
        m_lastWriteAt = m_clock.now();
        m_lease.transactFenced({ { m_rowKey, std::nullopt, nlohmann::json { { "addresses", addresses } } } });
    }

private:
    Lease<S, C, W> &m_lease;
    const C &m_clock;
    const std::string m_rowKey;
    const PeerSource m_peers;
    bool m_hasWritten = false;
    TimePoint m_lastWriteAt {};
};

} // namespace carobjunction
