#include "stand_in.h"

#include "watch.h"

/* Calls a second of the whole fleet. */
static const guint TRIES_PER_SECOND = 50;
/* A daemon calls again after this time on average, or later in a large fleet. */
static const MrTime RETRY_DELAY = 2 * MR_SECOND;
static const MrTime READ_INTERVAL = 10 * MR_SECOND;

/* Time in which each member of the fleet calls once. */
static MrTime
S_spread (const MrStandIn *stand_in)
{
  return stand_in->members * MR_SECOND / TRIES_PER_SECOND;
}

void
mr_stand_in_update (
    MrStandIn *stand_in, MrTime now, const MrRoster *roster, gboolean chosen, double random)
{
  gboolean needed = !chosen && !mr_watch_has_reachable_first_member (roster);
  stand_in->members = mr_roster_count (roster);
  if (needed && !stand_in->needed)
    {
      stand_in->reaches = FALSE;
      stand_in->try_at = now + (MrTime) (random * (double) S_spread (stand_in));
    }
  stand_in->needed = needed;
  stand_in->watches = needed && stand_in->reaches && !mr_watch_has_reachable_watcher (roster);
}

gboolean
mr_stand_in_is_due (const MrStandIn *stand_in, MrTime now)
{
  return stand_in->needed && !stand_in->watches && now >= stand_in->try_at;
}

void
mr_stand_in_called (MrStandIn *stand_in, MrTime now, gboolean success, double random)
{
  if (!stand_in->needed)
    return;
  stand_in->reaches = success;
  MrTime delay = MAX (success ? READ_INTERVAL : RETRY_DELAY, S_spread (stand_in));
  stand_in->try_at = now + delay / 2 + (MrTime) (random * (double) delay);
}
