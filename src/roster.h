/* Members in the orders in which decisions look at them, kept as they change: by
 * failure domain, and in each by fitness for callers and by rank for watches.
 *
 * A change of one member costs the logarithm of their number, and a decision the few
 * members that it names, so that neither grows with the fleet. */
#pragma once

#include "member.h"

typedef struct _MrRoster MrRoster;

/* Members that may be named to callers, the fitter groups first. */
typedef enum
{
  MR_ROSTER_READY,    /* alive, and take callers */
  MR_ROSTER_SUSPECT,  /* miss heartbeats */
  MR_ROSTER_STARTING, /* alive, not ready */
  MR_ROSTER_GROUP_COUNT,
} MrRosterGroup;

MrRoster *mr_roster_new (void);
void mr_roster_free (MrRoster *roster);

/* Takes @member in as it is now, or out if it has left or is dead. */
void mr_roster_put (MrRoster *roster, const MrMember *member);

/* Borrowed until the member changes; NULL: not held. */
const MrMember *mr_roster_find (const MrRoster *roster, const char *name);
guint mr_roster_count (const MrRoster *roster);
/* TRUE once a second member was put in, whatever has become of it. */
gboolean mr_roster_has_known_others (const MrRoster *roster);
/* In no order that means anything; @index under the count. */
const MrMember *mr_roster_at (const MrRoster *roster, guint index);

/* Members that may be handed work, and what requests take of their processors, in
 * thousandths of a core. */
guint mr_roster_usable_count (const MrRoster *roster);
guint64 mr_roster_total_load (const MrRoster *roster);

guint mr_roster_group_size (const MrRoster *roster, MrRosterGroup group);
/* Adds to @row (borrowed MrMember) the member of @group in place @turn of each failure
 * domain: the larger VMs first, in classes of a factor of two, then by hash. */
void mr_roster_add_nth_per_domain (const MrRoster *roster,
                                   MrRosterGroup group,
                                   guint turn,
                                   GPtrArray *row);

/* Failure domains are numbered from 0. */
guint mr_roster_domain_count (const MrRoster *roster);
const char *mr_roster_domain_name (const MrRoster *roster, guint domain);
/* Members there that are alive, and of them those that reach the platform. */
guint mr_roster_domain_alive (const MrRoster *roster, guint domain);
guint mr_roster_domain_platform_reachable (const MrRoster *roster, guint domain);
/* Number of the failure domain @name, or the count of domains if nobody was there yet. */
guint mr_roster_domain_index (const MrRoster *roster, const char *name);
/* The usable member in @place of that domain's ranking by hash; NULL: so many are not there. */
const MrMember *mr_roster_at_rank (const MrRoster *roster, guint domain, guint place);
/* Usable members of that domain whose rank is above that of a member called @name. */
guint mr_roster_rank (const MrRoster *roster, guint domain, const char *name);
/* What members are ranked by, from their names. */
guint64 mr_roster_score (const char *name);

/* Members looked at or moved by all calls since the start. */
guint64 mr_roster_work_count (const MrRoster *roster);
