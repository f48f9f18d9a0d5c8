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
  gboolean alone; /* it knows of no seed but itself */
  MrTime met_at;  /* when it heard of another; 0: not yet */
  gboolean first_start;
  guint members;     /* known, at most so far */
  MrTime grew_at;    /* when there was one more */
  MrTime watch_wait; /* before it takes itself for one that is to read the store */
  MrTime lone_wait;  /* the same while it has heard of no other */
  MrTime sync_wait;  /* for peers' objects, of one that is not to read the store */
  MrTime ask_at;     /* when to ask a peer again */
  MrTime ask_gap;
  guint asked;
  double place; /* 0 to 1: where among the members it begins to ask */
} MrJoining;

typedef struct
{
  gboolean read;       /* the store may be read */
  const MrMember *ask; /* a peer to ask for its list; NULL: none now */
  MrTime next;         /* when to come back; MR_NEVER once the store may be read */
} MrJoiningStep;

typedef struct
{
  gboolean first_start; /* of the whole fleet; no caller waits */
  gboolean alone;       /* it knows of no seed but itself */
  double random;        /* 0 to 1, of this process */
  guint32 capacity;     /* processor that it may use, in thousandths of a core */
} MrJoiningInfo;

void mr_joining_init (MrJoining *joining, MrTime now, const MrJoiningInfo *info);

/* What a daemon that starts knows of itself. */
typedef struct
{
  const char *self;
  gboolean watcher;  /* by what it knows it is one of those that read the store for the others */
  gboolean fetching; /* what a peer holds is coming in */
  gboolean synced;   /* it holds what a peer holds */
} MrJoiningState;

MrJoiningStep mr_joining_step (MrJoining *joining,
                               MrTime now,
                               const MrRoster *roster,
                               const MrJoiningState *state);
