/* How a relay that starts comes to know what is in force: from its peers if one
 * holds it, from the platform's store if none does.
 *
 * Callers wait meanwhile, and each read of the store is paid for and counts
 * towards a rate that grows more slowly than the fleet.  Pure decisions: who is
 * asked, and from when on the store may be read. */
#pragma once

#include "clock.h"
#include "roster.h"

typedef struct
{
  MrTime started;
  gboolean no_other_seeds; /* it knows of no seed but itself */
  MrTime first_peer_at;    /* when it heard of another; 0: not yet */
  gboolean first_start;
  guint members_max;     /* known, at most so far */
  MrTime last_growth_at; /* when there was one more */
  MrTime watcher_wait;   /* before it takes itself for one that is to read the store */
  MrTime no_peer_wait;   /* the same while it has heard of no other */
  MrTime sync_wait;      /* for peers' objects, of one that is not to read the store */
  MrTime ask_at;         /* when to ask a peer again */
  MrTime ask_interval;
  guint ask_count;
  double start_position; /* 0 to 1: where among the members it begins to ask */
} MrBootstrap;

typedef struct
{
  gboolean read_store;      /* the store may be read */
  const MrMember *ask_peer; /* a peer to ask for its list; NULL: none now */
  MrTime next;              /* when to come back; MR_NEVER once the store may be read */
} MrBootstrapStep;

typedef struct
{
  gboolean first_start;    /* of the whole fleet; no caller waits */
  gboolean no_other_seeds; /* it knows of no seed but itself */
  double random;           /* 0 to 1, of this process */
  guint32 capacity;        /* processor that it may use, in thousandths of a core */
} MrBootstrapOptions;

void mr_bootstrap_init (MrBootstrap *joining, MrTime now, const MrBootstrapOptions *info);

/* What a daemon that starts knows of itself. */
typedef struct
{
  const char *self;
  gboolean watcher;  /* by what it knows it is one of those that read the store for the others */
  gboolean fetching; /* what a peer holds is coming in */
  gboolean synced;   /* it holds what a peer holds */
} MrBootstrapState;

MrBootstrapStep mr_bootstrap_step (MrBootstrap *joining,
                                   MrTime now,
                                   const MrRoster *roster,
                                   const MrBootstrapState *state);
