/* Virtual time around the real decision modules: roots (query.c), owners
 * (dispatch.c), and fakes of the targets and of the wire between daemons.
 *
 * Single-threaded and seeded, so a run gives the same result each time.  Used
 * by bench_policy and by the property tests; no sockets, no threads. */
#pragma once

#include "batch.h"
#include "dispatch.h"
#include "histogram.h"
#include "query.h"

enum
{
  MR_WORLD_TARGETS_MAX = 512,
  MR_WORLD_DAEMONS_MAX = 16,
};

typedef enum
{
  MR_WORLD_OWNERS,    /* one owner a cell, batches from the roots */
  MR_WORLD_DIRECT,    /* every daemon for itself, all slots, reacts to shed */
  MR_WORLD_SHARE,     /* every daemon for itself, its share of the slots */
  MR_WORLD_WAIT_ALL,  /* naive: send all, repeat what is shed, wait for all */
  MR_WORLD_TIMEOUT,   /* naive: the same, answers at a fixed time */
  MR_WORLD_HEDGE_ALL, /* naive: every shard call at two replicas at once */
} MrWorldPolicy;

/* Faults of one target; times are MR_NEVER if they never come. */
typedef struct
{
  double slow_factor; /* of every call; 1: none */
  double slow_share;  /* share of calls that are slow_call_factor slower */
  double slow_call_factor;
  MrTime dead_from; /* refuses connections */
  MrTime dead_until;
  MrTime silent_from; /* open connections answer nothing; new ones do */
  MrTime silent_until;
  MrTime leaving_from; /* refuses as draining, is listed listed_lag later */
  MrTime cold_from;    /* ten times slower for cold_for */
  MrTime cold_for;
  double wrong_snapshot; /* share of answers from another snapshot */
  double wrong_id;       /* share of answers with another call's id */
  double broken;         /* share of calls whose connection breaks */
  double doubled;        /* share of answers that come twice */
} MrWorldFault;

typedef struct
{
  guint32 seed;
  MrWorldPolicy policy;
  guint daemons;
  guint targets;
  guint slots;
  guint shards;
  guint replicas;
  guint cell_shards;
  MrTime hop;     /* one way between daemons */
  MrTime wire;    /* one way between daemon and target */
  MrTime connect; /* of a new connection */
  double median;  /* service time, us */
  double sigma;
  double rate; /* queries a second, all daemons */
  MrTime duration;
  MrTime deadline;
  MrTime fixed_timeout; /* of MR_WORLD_TIMEOUT */
  double class_share[MR_TRAFFIC_CLASS_COUNT];
  double extra_calls;
  guint top_k;
  MrTime switch_at;      /* the next snapshot is put in force */
  MrTime drop_old_after; /* targets drop the old one this much later */
  MrTime listed_lag;
  guint dead_owner; /* daemon that hears nothing; >= daemons: none */
  MrTime dead_owner_at;
  double partial_loss;   /* share of partials lost between daemons */
  double partial_double; /* share of partials that come twice */
  MrWorldFault faults[MR_WORLD_TARGETS_MAX];
} MrWorldConfig;

typedef struct
{
  guint64 queries;
  guint64 complete;
  guint64 partial;
  guint64 refused;
  double coverage; /* sum over answers, refused ones as 0 */
  guint64 calls;
  guint64 minimum_calls; /* shards of all queries that were not refused */
  guint64 shed;
  guint64 peak_in_flight; /* at one target */
  MrHistogram latency;    /* of answers */
  guint64 class_queries[MR_TRAFFIC_CLASS_COUNT];
  guint64 class_complete[MR_TRAFFIC_CLASS_COUNT];
  /* Broken promises, as the fakes saw them. */
  guint64 bad_hits;     /* answer differs from the reference merge */
  guint64 bad_coverage; /* states another coverage than its shards have */
  guint64 ran_though_not_run;
  guint64 late_calls_to_leaving; /* begun over 3 s after its first sign */
  guint64 late_answers;          /* after the deadline */
} MrWorldResult;

/* Defaults of today's shop search: 7 daemons, 3 targets of 5 slots, 12 shards. */
MrWorldConfig mr_world_today (void);

/* A wide service: 300 targets, 300 shards, one query to all. */
MrWorldConfig mr_world_wide (void);

void mr_world_run (const MrWorldConfig *config, MrWorldResult *result);
