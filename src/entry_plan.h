/* Chooses the entries, which are the daemons whose addresses are given to callers, and each
 * daemon's share of the limits that the fleet has in common.
 *
 * Every daemon can serve requests, but callers only get the addresses of a few: a daemon with two
 * requests per second keeps no connection open and measures too little of its targets.  In a fleet
 * of 71 daemons on a day without faults, naming all of them earned 0.85 of the total value of the
 * requests, naming six earned 0.97.  The other daemons keep their configuration and list of targets
 * up to date, and one of them takes over as soon as an entry is missing.
 *
 * Each daemon computes the plan from its own view of the members.  Views that differ for a while
 * only cost load. */
#pragma once

#include "clock.h"
#include "roster.h"

enum
{
  MR_ENTRIES_MIN = 6, /* unless there are fewer members */
  /* Minimum if the next candidate is a much smaller VM than the largest entry; more are then added
   * only if the load requires it.  A search of 36 shards takes 3 ms of a full core, but 25 ms on a
   * VM with an eighth of a core.  With 3 large and 27 small VMs, six entries earned 0.92 of the
   * total value of the requests on a day without faults and 0.63 to 0.88 on days with many faults;
   * the three large VMs alone earned 0.98 and 0.79 to 0.95. */
  MR_ENTRIES_MIN_REDUCED = 3,
  MR_ENTRIES_MAX = 64, /* addresses in one answer */
};

typedef struct
{
  GPtrArray *entries;      /* MrMember, borrowed from the roster; best first */
  gboolean is_entry;       /* this daemon is one of them */
  double connection_share; /* this daemon's share of a target's connections, 0 to 1 */
  double slot_share;       /* this daemon's share of a target's slots, 0 to 1 */
  double allowance_share;  /* of the fleet's allowance of hedges and retries, 0 to 1 */
} MrEntryPlan;

/* Returns how long callers may cache an answer with addresses, limited to @max_ttl unless that is
 * 0.  Some callers cache it three times as long and go on using a daemon that is leaving; a planned
 * stop has to allow for that time.  The TTL is longer if the configuration allows for the loss of
 * @domain_losses failure domains at once: all daemons near a caller then fail at the same moment,
 * and a caller that has to ask for addresses during that time waits for the timeout of each of them
 * in turn. */
MrTime mr_entry_address_ttl (guint domain_losses, MrTime max_ttl);

/* Computes the plan, which is valid until a member of @roster changes.  @self is this daemon's
 * name. */
MrEntryPlan mr_entry_plan_compute (const MrRoster *roster, const char *self);
/* Returns the daemons to name to callers that need one in @regions, a set of strings: the entries
 * there, with other members added if there are fewer than MR_ENTRIES_MIN_REDUCED, or all entries if
 * no member is in the regions.  The array is new; its MrMember are borrowed. */
GPtrArray *
mr_entry_plan_for_regions (const MrEntryPlan *plan, const MrRoster *roster, GHashTable *regions);

void mr_entry_plan_clear (MrEntryPlan *plan);
