/* Simulation of a whole fleet of daemons on a virtual clock: the real membership, replication
 * and bootstrap modules over simulated links that can be cut.
 *
 * A message takes DELAY_NEAR inside a failure domain and DELAY_FAR between domains.  A read of
 * the whole store takes READ_TIME, and a daemon that watches learns of a change at its next
 * step.  Bytes are counted by kind, inside and between failure domains, compressed as on the
 * wire. */
#pragma once

#include "bootstrap.h"
#include "membership.h"
#include "replication.h"
#include "traffic.h"

typedef struct _Fleet Fleet;

typedef struct
{
  MrMembershipHost membership_host;
  MrReplicationHost replication_host;
  Fleet *fleet;
  guint index;
  MrMember self;
  MrMembership *membership; /* NULL: not running */
  MrRegistry *registry;
  MrReplication *replication;
  MrRoster *roster;
  gboolean watcher; /* according to its current view of the members */
  MrBootstrap bootstrap;
  MrTime start_at; /* MR_NEVER: no start is scheduled */
  MrTime due;
  MrTime store_read_ends_at; /* 0: not started */
  MrTime ready_at;           /* 0: not yet */
  gboolean frozen;
  MrTime bodies_arrive_at;    /* when the last message with object bodies has arrived */
  MrTime watch_at;            /* not before this the store answers its next watch */
  guint64 store_version_seen; /* newest version that it has read from the store */
} FleetNode;

typedef struct
{
  guint count;
  guint domains;
  guint regions; /* domains are assigned to them in turn */
  guint seeds;
  gboolean last_vm_alone;    /* the last VM is the only one of the last domain */
  MrTime body_transfer_time; /* transfer time of a message with object bodies */
  MrTime watch_pause;        /* of a daemon that watches, between two answers; 0: none */
  /* VMs with half a core; the others have an eighth.  0: all have a quarter. */
  guint large_vms_per_domain;
} FleetLayout;

struct _Fleet
{
  FleetLayout layout;
  FleetNode *nodes;
  MrTime now;
  GQueue in_transit[2]; /* messages in order of arrival: inside a domain, between domains */
  MrRegistry *store;
  guint64 store_version;
  guint64 store_reads; /* full listings of the store */
  guint64 last_incarnation;
  gboolean *domain_cut; /* domain x domain: nothing from the first reaches the second */
  gboolean *store_cut;  /* by domain: the store is unreachable */
  guint64 bytes[MR_TRAFFIC_KINDS][2]; /* second index: 1 inside a domain, 0 between domains */
  guint64 messages[MR_TRAFFIC_KINDS][2];
};

Fleet *fleet_new (const FleetLayout *layout);
void fleet_free (Fleet *fleet);

guint fleet_domain (const Fleet *fleet, guint index);

/* Ends a daemon immediately; messages in transit to it are lost. */
void fleet_kill (Fleet *fleet, guint index);
/* Ends all daemons and starts them again a second later, as in fleet_start_all (). */
void fleet_restart_all (Fleet *fleet, MrTime spread, gboolean seeds_last);
/* Schedules the start of @index at @at, as a new process with the same name. */
void fleet_start_at (Fleet *fleet, guint index, MrTime at);
/* Schedules the start of all daemons within @spread from now; with @seeds_last in reverse
 * order, so that the seeds start last. */
void fleet_start_all (Fleet *fleet, MrTime spread, gboolean seeds_last);

/* Cuts or restores the link from domain @from to domain @to. */
void fleet_cut_one_way (Fleet *fleet, guint from, guint to, gboolean cut);
/* Cuts or restores the links between domains @a and @b in both directions. */
void fleet_cut (Fleet *fleet, guint a, guint b, gboolean cut);
/* Cuts or restores all links between domains of different regions. */
void fleet_cut_regions (Fleet *fleet, gboolean cut);
/* Cuts or restores the links of @domain to all others and, with @store, to the store. */
void fleet_cut_domain (Fleet *fleet, guint domain, gboolean store, gboolean cut);

/* Writes a new version of a target to the store. */
void fleet_write_target (Fleet *fleet, guint target);

void fleet_run (Fleet *fleet, MrTime span);

/* Returns TRUE if no start is pending and each running daemon sees exactly the running ones as
 * alive, and the others as dead or not at all. */
gboolean fleet_members_agree (const Fleet *fleet);
/* Returns TRUE if each running daemon holds the same objects as the store. */
gboolean fleet_objects_agree (const Fleet *fleet);
gboolean fleet_converged (const Fleet *fleet);
/* Returns TRUE if no start is pending and all running daemons are ready to serve. */
gboolean fleet_all_ready (const Fleet *fleet);

/* Runs until @done returns TRUE, for at most @limit.  Returns the time it took, MR_NEVER if
 * @limit was reached. */
MrTime fleet_run_until (Fleet *fleet, gboolean (*done) (const Fleet *fleet), MrTime limit);

void fleet_clear_counts (Fleet *fleet);
guint64 fleet_bytes (const Fleet *fleet, gboolean same_domain);
