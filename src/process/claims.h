#pragma once

#include <carobjunction/process/clock.h>

#include "process/claimledger.h"
#include "process/storeclient.h"

namespace carobjunction
{

/** Claims of idempotency keys as the daemon uses them. */
using Claims = ClaimLedger<StoreClient, SteadyClock, SystemWallClock>;

} // namespace carobjunction
