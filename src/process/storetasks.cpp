#include "process/storetasks.h"

namespace carobjunction
{

namespace
{

LeaseOptions makeLeaseOptions(const std::string &name, const std::string &holder)
{
    LeaseOptions options;
    options.name = name;
    options.holder = holder;
    return options;
}

} // namespace

StoreTasks::StoreTasks(StoreClient &store,
                       const SteadyClock &clock,
                       const SystemWallClock &wallClock,
                       const std::string &region,
                       const std::string &holder,
                       StoreTaskCallbacks callbacks)
    : m_registrarLease(store, clock, wallClock, makeLeaseOptions("registrar-" + region, holder))
    , m_sweeperLease(store, clock, wallClock, makeLeaseOptions("claim-sweeper", holder))
    , m_registrar(m_registrarLease, clock, region, std::move(callbacks.peers))
    , m_sweeper(store, m_sweeperLease, clock, wallClock, std::move(callbacks.services), ClaimSweeperOptions {})
{
}

void StoreTasks::tick()
{
    m_registrar.tick();
    m_sweeper.tick();
}

} // namespace carobjunction
