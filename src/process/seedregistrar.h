#pragma once

#include "process/lease.h"

#include <functional>
#include <map>

namespace carobjunction
{

/** Maximum number of addresses in a row `seeds/{region}`. */
constexpr size_t MaxSeeds = 8;

/** Minimum interval between two writes of a row `seeds/{region}`. */
constexpr Duration SeedWriteInterval = std::chrono::seconds(10);

/**
 * Reads the seeds of all regions from the store, which a daemon contacts to join.
 * @return peer addresses by region, without malformed rows; empty, with LastError<StoreError> set, if the store did not answer
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
 * Updates the row `seeds/{region}` while this daemon holds the lease of the region. Each write also extends the lease, and a new holder
 * waits until the previous lease has expired. All daemons together therefore write the row at most once per SeedWriteInterval.
 * Not thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class SeedRegistrar
{
public:
    /** Returns the peer addresses of the daemons in the region that are in the state Up. */
    using PeerAddressProvider = std::function<std::vector<std::string>()>;

    /** @param lease  the lease `registrar-{region}`; its duration must exceed twice SeedWriteInterval */
    SeedRegistrar(Lease<S, C, W> &lease, const C &clock, const std::string &region, PeerAddressProvider peers)
        : m_lease(lease), m_clock(clock), m_rowKey("seeds/" + region), m_peers(std::move(peers))
    {
    }

    /** Acquires or renews the lease, and writes the seeds if SeedWriteInterval has passed. Must be called about once per second. */
    void tick()
    {
        if (!m_lease.acquireOrRenew() || (m_hasWritten && m_clock.now() < m_lastWriteAt + SeedWriteInterval)) {
            return;
        }
        std::vector<std::string> addresses = m_peers();
        if (addresses.empty()) {
            return; // An empty row would remove the addresses that joining daemons can still use.
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
    const PeerAddressProvider m_peers;
    bool m_hasWritten = false;
    TimePoint m_lastWriteAt {};
};

} // namespace carobjunction
