/* How a starting relay obtains the objects in force: from a peer that holds them, or from the
 * platform's store if none does.
 *
 * Callers wait meanwhile.  Each read of the store is paid for and counts towards a rate limit
 * that grows more slowly than the fleet.  Decisions only, without I/O: which peer is asked, and
 * from when on the store may be read. */
#pragma once

#include "clock.h"
#include "roster.h"

typedef struct
{
  MrTime started;
  gboolean no_other_seeds; /* there is no seed other than this daemon */
  MrTime first_peer_at;    /* when another member was first known; 0: not yet */
  gboolean first_start;
  guint members_max;     /* highest number of members known so far */
  MrTime last_growth_at; /* when that number last rose */
  MrTime watcher_wait;   /* before a watcher reads the store */
  MrTime no_peer_wait;   /* the same, while it knows no other member */
  MrTime sync_wait;      /* time a daemon that is not a watcher waits for objects from peers */
  MrTime ask_at;         /* when to ask the next peer */
  MrTime ask_interval;
  guint ask_count;
  double start_position; /* 0 to 1: position in the member list of the first peer to ask */
} MrBootstrap;

typedef struct
{
  gboolean read_store;      /* the store may be read */
  const MrMember *ask_peer; /* peer to ask for its list of objects; NULL: none now */
  MrTime next;              /* time of the next call; MR_NEVER once the store may be read */
} MrBootstrapStep;

typedef struct
{
  gboolean first_start;    /* the whole fleet starts for the first time; no callers are waiting */
  gboolean no_other_seeds; /* there is no seed other than this daemon */
  double random;           /* 0 to 1, different for each process */
  guint32 capacity;        /* CPU available to this daemon, in thousandths of a core */
} MrBootstrapOptions;

void mr_bootstrap_init (MrBootstrap *bootstrap, MrTime now, const MrBootstrapOptions *options);

/* Current state of the starting daemon. */
typedef struct
{
  const char *self;
  gboolean watcher;  /* in its view it is one of those that read the store for the others */
  gboolean fetching; /* objects from a peer are arriving */
  gboolean synced;   /* its objects match those of a peer */
} MrBootstrapState;

MrBootstrapStep mr_bootstrap_step (MrBootstrap *bootstrap,
                                   MrTime now,
                                   const MrRoster *roster,
                                   const MrBootstrapState *state);
