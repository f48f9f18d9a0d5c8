/* Index of the members, updated incrementally: by failure domain, and within each domain by
 * suitability for callers and by rendezvous hash.
 *
 * A change of one member costs the logarithm of their number, and a decision costs only the
 * few members that it selects, so neither grows with the fleet. */
#pragma once

#include "member.h"

typedef struct _MrRoster MrRoster;

/* Groups of members that may be named to callers, the most suitable first. */
typedef enum
{
  MR_ROSTER_READY,    /* alive and accepting callers */
  MR_ROSTER_SUSPECT,  /* missing heartbeats */
  MR_ROSTER_STARTING, /* alive but not ready */
  MR_ROSTER_GROUP_COUNT,
} MrRosterGroup;

MrRoster *mr_roster_new (void);
void mr_roster_free (MrRoster *roster);

/* Adds or updates @member; removes it if it has left or is dead. */
void mr_roster_put (MrRoster *roster, const MrMember *member);

/* Returns NULL if there is none; valid until the member changes. */
const MrMember *mr_roster_find (const MrRoster *roster, const char *name);
guint mr_roster_count (const MrRoster *roster);
/* Returns TRUE once a second member has been added, even if it was removed since. */
gboolean mr_roster_has_known_others (const MrRoster *roster);
/* Returns the member at @index, which must be below the count; the order is arbitrary. */
const MrMember *mr_roster_at (const MrRoster *roster, guint index);

/* Number of members that may be given work, and the CPU that their requests use, in
 * thousandths of a core. */
guint mr_roster_usable_count (const MrRoster *roster);
guint64 mr_roster_total_load (const MrRoster *roster);

guint mr_roster_group_size (const MrRoster *roster, MrRosterGroup group);
/* Appends to @members (borrowed MrMember) the member at @position of @group in each
 * failure domain.  Within a domain larger VMs come first, in classes of a factor of two, then the
 * order is by hash. */
void mr_roster_add_nth_per_domain (const MrRoster *roster,
                                   MrRosterGroup group,
                                   guint position,
                                   GPtrArray *members);

/* Failure domains have indices from 0. */
guint mr_roster_domain_count (const MrRoster *roster);
const char *mr_roster_domain_name (const MrRoster *roster, guint domain);
/* Number of alive members in the domain, and of those that also reach the platform. */
guint mr_roster_domain_alive (const MrRoster *roster, guint domain);
guint mr_roster_domain_platform_reachable (const MrRoster *roster, guint domain);
/* Returns the index of the failure domain @name, or the domain count if it has never had
 * members. */
guint mr_roster_domain_index (const MrRoster *roster, const char *name);
/* Returns the usable member at @rank in the domain's order by hash; NULL if there are fewer. */
const MrMember *mr_roster_at_rank (const MrRoster *roster, guint domain, guint rank);
/* Returns the number of usable members of the domain that rank above a member called @name. */
guint mr_roster_rank (const MrRoster *roster, guint domain, const char *name);
/* Returns the rendezvous hash of a member name; higher ranks first. */
guint64 mr_roster_score (const char *name);

/* Number of members examined or moved by all calls so far, as a measure of cost. */
guint64 mr_roster_work_count (const MrRoster *roster);
