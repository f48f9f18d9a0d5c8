/* Discrete-event simulation of searches in virtual time.  The roots (query.c) and owners
 * (dispatch.c) are the real modules; the targets and the network between daemons are fakes.
 *
 * The simulation has no sockets or threads and is seeded, so that a run always gives the same
 * result.  It is used by bench_policy and by the property tests. */
#pragma once

#include "batch.h"
#include "dispatch.h"
#include "histogram.h"
#include "query.h"

enum
{
  MR_SEARCH_SIM_TARGETS_MAX = 512,
  MR_SEARCH_SIM_DAEMONS_MAX = 16,
};

typedef enum
{
  MR_SEARCH_SIM_OWNERS, /* one owner per cell, which gets batches from the roots */
  /* Every daemon calls the targets itself. */
  MR_SEARCH_SIM_DIRECT,       /* with all slots; reacts to shed calls */
  MR_SEARCH_SIM_DIRECT_SHARE, /* with its share of the slots */
  /* Naive policies: send all calls at once and retry those that fail. */
  MR_SEARCH_SIM_WAIT_ALL,  /* wait for all answers */
  MR_SEARCH_SIM_TIMEOUT,   /* reply after fixed_timeout */
  MR_SEARCH_SIM_HEDGE_ALL, /* send every call to two replicas at once */
} MrSearchSimPolicy;

/* Faults of one target.  A time of MR_NEVER disables a fault. */
typedef struct
{
  double slow_factor; /* applied to every call; 1: no fault */
  double slow_share;  /* share of the calls that are slower by slow_call_factor */
  double slow_call_factor;
  MrTime down_from; /* refuses connections */
  MrTime down_until;
  MrTime silent_from; /* open connections get no answers; new ones do */
  MrTime silent_until;
  MrTime leaving_from; /* refuses calls as draining; listed as leaving after leaving_listed_delay */
  MrTime cold_from;    /* calls take ten times as long for cold_for */
  MrTime cold_for;
  double wrong_snapshot_share; /* of the answers: from another snapshot */
  double wrong_id_share;       /* of the answers: with the id of another call */
  double broken_share;         /* of the calls: the connection breaks */
  double duplicate_share;      /* of the answers: arrive twice */
} MrSearchSimFault;

typedef struct
{
  guint32 seed;
  MrSearchSimPolicy policy;
  guint daemons;
  guint targets;
  guint slots;
  guint shards;
  guint replicas;
  guint cell_shards;
  MrTime peer_delay;          /* one-way delay between daemons */
  MrTime target_delay;        /* one-way delay between daemon and target */
  MrTime connect_time;        /* time to open a connection */
  double service_time_median; /* in us; service times are log-normal */
  double service_time_sigma;
  double rate; /* queries per second, over all daemons */
  MrTime duration;
  MrTime deadline;
  MrTime fixed_timeout; /* of MR_SEARCH_SIM_TIMEOUT */
  double class_share[MR_TRAFFIC_CLASS_COUNT];
  double extra_calls;
  guint top_k;
  MrTime snapshot_switch_at;      /* the next snapshot becomes current */
  MrTime old_snapshot_drop_delay; /* after which the targets drop the old snapshot */
  MrTime leaving_listed_delay;    /* from the first refusal until all daemons know */
  guint unreachable_daemon;       /* gets no batches from other daemons; none if >= daemons */
  MrTime unreachable_from;
  double partial_loss_share;      /* of the partials between daemons: lost */
  double partial_duplicate_share; /* of the partials between daemons: arrive twice */
  MrSearchSimFault faults[MR_SEARCH_SIM_TARGETS_MAX];
} MrSearchSimConfig;

typedef struct
{
  guint64 queries;
  guint64 complete;
  guint64 partial;
  guint64 refused;
  double coverage; /* sum over the answers; refusals count as 0 */
  guint64 calls;
  guint64 minimum_calls; /* total number of shards of the queries that were not refused */
  guint64 shed;
  guint64 peak_in_flight; /* at any one target */
  MrHistogram latency;    /* of the answers */
  guint64 class_queries[MR_TRAFFIC_CLASS_COUNT];
  guint64 class_complete[MR_TRAFFIC_CLASS_COUNT];
  /* Violations of the guarantees of a search. */
  guint64 bad_hits;              /* answers that differ from the reference merge */
  guint64 bad_coverage;          /* answers whose coverage is not that of their shards */
  guint64 calls_despite_not_run; /* answers of "not run" to queries for which calls were sent */
  guint64 late_calls_to_leaving; /* calls sent more than 3 s after a target was listed as leaving */
  guint64 late_answers;          /* answers after the deadline */
} MrSearchSimResult;

/* The current shop search: 7 daemons, 3 targets of 5 slots, 12 shards. */
MrSearchSimConfig mr_search_sim_shop_config (void);

/* A wide service: 300 targets and 300 shards, all of which every query reads. */
MrSearchSimConfig mr_search_sim_wide_config (void);

void mr_search_sim_run (const MrSearchSimConfig *config, MrSearchSimResult *result);
