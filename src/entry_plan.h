/* Which daemons take callers' requests, and what of the fleet's shared bounds
 * each may use.
 *
 * Every daemon can serve, but callers are told of few at a time: a daemon that
 * sees two requests a second keeps no connection warm and learns nothing of its
 * targets.  On a calm day of 71 daemons, naming all of them earned 0.85 of the
 * requests' worth, naming six 0.97.  The rest keep configuration and targets
 * current and take over as soon as one of the six is missed.
 *
 * Computed by each daemon from its own view of the members; views that differ
 * for a while cost load only. */
#pragma once

#include "clock.h"
#include "roster.h"

enum
{
  MR_ENTRIES_MIN = 6, /* fewer are named only where there are no more */
  /* Smaller VMs than the best are added to these only for load.  A search of 36
   * shards takes 3 ms of a core, which is 25 ms of a VM with an eighth of one: with
   * 3 large VMs and 27 small ones, six entries earned 0.92 of a calm day's worth
   * and 0.63 to 0.88 of hard ones, the three large alone 0.98 and 0.79 to 0.95. */
  MR_ENTRIES_MIN_REDUCED = 3,
  MR_ENTRIES_MAX = 64, /* in one answer */
};

typedef struct
{
  GPtrArray *entries;      /* MrMember, borrowed from the roster; best first */
  gboolean is_entry;       /* this daemon is one of them */
  double connection_share; /* this daemon's share of a target's connections, 0 to 1 */
  double slot_share;       /* and of its slots, 0 to 1 */
  double allowance_share;  /* and of the fleet's allowance of hedges and retries, 0 to 1 */
} MrEntryPlan;

/* For how long callers may keep an address answer, at most @most (0: not bounded).  Some keep
 * one three times as long, so that a daemon that leaves is asked for that long, which is to fit
 * the time that a planned stop has.  Where @domain_losses failure domains may be lost at once
 * they keep it for longer: all daemons near a caller fall silent at one moment then, and whoever
 * has to ask meanwhile waits for each of them in turn. */
MrTime mr_entry_address_ttl (guint domain_losses, MrTime most);

/* Holds until a member of @roster changes. */
MrEntryPlan mr_entry_plan_compute (const MrRoster *roster, const char *self);
/* Those that callers are told of where only the regions of the set @regions will do: entries
 * of the plan, or others if too few are there, or all entries if nobody is.  New, of borrowed
 * MrMember. */
GPtrArray *
mr_entry_plan_for_regions (const MrEntryPlan *plan, const MrRoster *roster, GHashTable *regions);

void mr_entry_plan_clear (MrEntryPlan *plan);
