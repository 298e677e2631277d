#pragma once

#include <carobjunction/process/clock.h>

#include "process/claimsweeper.h"
#include "process/lease.h"
#include "process/seedregistrar.h"
#include "process/storeclient.h"

#include <functional>
#include <string>
#include <vector>

namespace carobjunction
{

/** What StoreTasks asks of the rest of the daemon. */
struct StoreTaskSources {
    std::function<std::vector<std::string>()> peers; /**< Peer addresses of daemons of the region that are up. */
    std::function<std::vector<std::string>()> services; /**< Names of all services. */
};

/** Upkeep of the store under leases: the seeds of the region, and the removal of expired claims. Not thread-safe. */
class StoreTasks
{
public:
    /**
     * @param store  must outlive the tasks, as must @p clock and @p wallClock
     * @param holder  unique to this process
     */
    StoreTasks(StoreClient &store,
               const SteadyClock &clock,
               const SystemWallClock &wallClock,
               const std::string &region,
               const std::string &holder,
               StoreTaskSources sources);

    /** Does what is due. Blocks on the store; call it about once a second, on representatives of a region only. */
    void tick();

private:
    Lease<StoreClient, SteadyClock> m_registrarLease;
    Lease<StoreClient, SteadyClock> m_sweeperLease;
    SeedRegistrar<StoreClient, SteadyClock> m_registrar;
    ClaimSweeper<StoreClient, SteadyClock> m_sweeper;
};

} // namespace carobjunction
