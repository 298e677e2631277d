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

/** Callbacks by which StoreTasks queries the daemon. */
struct StoreTaskCallbacks {
    std::function<std::vector<std::string>()> peers; /**< Returns the peer addresses of the running daemons of the region. */
    std::function<std::vector<std::string>()> services; /**< Returns the names of all services. */
};

/** Maintains the store under leases: registers the seeds of the region and deletes expired claims. Not thread-safe. */
class StoreTasks
{
public:
    /**
     * Creates the tasks without contacting the store. @p store, @p clock and @p wallClock must outlive the tasks.
     * @param holder  lease holder id, unique to this process
     */
    StoreTasks(StoreClient &store,
               const SteadyClock &clock,
               const SystemWallClock &wallClock,
               const std::string &region,
               const std::string &holder,
               StoreTaskCallbacks callbacks);

    /** Runs the tasks that are due. Blocks while waiting for the store. Call it about once per second, on representatives of a region only. */
    void tick();

private:
    Lease<StoreClient, SteadyClock> m_registrarLease;
    Lease<StoreClient, SteadyClock> m_sweeperLease;
    SeedRegistrar<StoreClient, SteadyClock> m_registrar;
    ClaimSweeper<StoreClient, SteadyClock> m_sweeper;
};

} // namespace carobjunction
