/* Daemons of a whole fleet on a virtual clock: membership, spread and the start from
 * peers or the store, as the product runs them, over links that can be cut.
 *
 * A message takes DELAY_NEAR inside a failure domain and DELAY_FAR across; a read of
 * the whole store takes a time of its own, and a daemon that watches learns of a
 * change when the store's answer is there.  Bytes are counted by kind, inside and
 * across failure domains, compressed as on the wire. */
#pragma once

#include "bootstrap.h"
#include "membership.h"
#include "replication.h"
#include "traffic.h"

typedef struct _Fleet Fleet;

typedef struct
{
  MrMembershipHost membership_host;
  MrReplicationHost spread_host;
  Fleet *fleet;
  guint index;
  MrMember self;
  MrMembership *membership; /* NULL: not running */
  MrRegistry *registry;
  MrReplication *spread;
  MrRoster *roster;
  gboolean watcher; /* by the members as they stand */
  MrBootstrap joining;
  MrTime start_at; /* MR_NEVER: not to be started */
  MrTime due;
  MrTime store_read_ends_at; /* 0: not begun */
  MrTime ready_at;           /* 0: not yet */
  gboolean frozen;
  MrTime bodies_arrive_at;    /* a message of bodies is coming in */
  MrTime watch_at;            /* when it watches again */
  guint64 store_version_seen; /* newest version that the store has told it */
} FleetNode;

typedef struct
{
  guint count;
  guint domains;
  guint regions; /* domains are dealt out to them in turn */
  guint seeds;
  gboolean last_vm_alone;    /* the last VM is alone in the last domain */
  MrTime body_transfer_time; /* that a message of bodies takes to come in */
  MrTime watch_pause;        /* of a daemon that watches, between two answers; 0: none */
  guint
      large_vms_per_domain; /* in each domain half a core, the others an eighth; 0: all a quarter */
} FleetLayout;

struct _Fleet
{
  FleetLayout layout;
  FleetNode *nodes;
  MrTime now;
  GQueue in_transit[2]; /* in the order of arrival: inside a domain, across */
  MrRegistry *store;
  guint64 store_version;
  guint64 store_reads; /* whole listings of the store */
  guint64 last_incarnation;
  gboolean *domain_cut; /* domain x domain: from the first nothing reaches the second */
  gboolean *store_cut;  /* domain: doesn't reach the store */
  guint64 bytes[MR_TRAFFIC_KINDS][2]; /* by 1: the same domain */
  guint64 messages[MR_TRAFFIC_KINDS][2];
};

Fleet *fleet_new (const FleetLayout *layout);
void fleet_free (Fleet *fleet);

guint fleet_domain (const Fleet *fleet, guint index);

/* A daemon ends at once; what is under way to it is lost. */
void fleet_kill (Fleet *fleet, guint index);
/* All end, and start again a second later as fleet_start_all () has it. */
void fleet_restart_all (Fleet *fleet, MrTime spread, gboolean seeds_last);
/* Starts @index at @at, as a new process under its name. */
void fleet_start_at (Fleet *fleet, guint index, MrTime at);
/* Starts all within @spread of now; with @seeds_last the seeds after all others. */
void fleet_start_all (Fleet *fleet, MrTime spread, gboolean seeds_last);

/* Cuts or heals what domain @from sends to @to. */
void fleet_cut_one_way (Fleet *fleet, guint from, guint to, gboolean cut);
/* Cuts or heals all links between domains @a and @b, both ways. */
void fleet_cut (Fleet *fleet, guint a, guint b, gboolean cut);
/* All links between domains of different regions. */
void fleet_cut_regions (Fleet *fleet, gboolean cut);
/* The domain from all others and, with @store, from the store. */
void fleet_cut_domain (Fleet *fleet, guint domain, gboolean store, gboolean cut);

/* The store takes a new version of a target. */
void fleet_write_target (Fleet *fleet, guint target);

void fleet_run (Fleet *fleet, MrTime span);

/* TRUE if all that were to start run, and each of them sees these as alive and all
 * others as dead or not at all. */
gboolean fleet_members_agree (const Fleet *fleet);
/* TRUE if each living daemon holds what the store holds. */
gboolean fleet_objects_agree (const Fleet *fleet);
gboolean fleet_converged (const Fleet *fleet);
/* TRUE if all that are to run have what they need to serve. */
gboolean fleet_all_ready (const Fleet *fleet);

/* Runs until @done, at most @most; returns how long it took, MR_NEVER if it did not. */
MrTime fleet_run_until (Fleet *fleet, gboolean (*done) (const Fleet *fleet), MrTime most);

void fleet_clear_counts (Fleet *fleet);
guint64 fleet_bytes (const Fleet *fleet, gboolean same_domain);
