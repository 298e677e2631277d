#pragma once

#include <carobjunction/process/clock.h>

#include "process/claimledger.h"
#include "process/storeclient.h"

namespace carobjunction
{

/** ClaimLedger with the store client and clocks of the daemon. */
using Claims = ClaimLedger<StoreClient, SteadyClock, SystemWallClock>;

} // namespace carobjunction
