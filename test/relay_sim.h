/* A fleet of relays and their targets on a virtual clock, without a network:
 * targets have slots, a queue, pauses and bad days; callers ask at random times.
 * Every run of one seed is the same. */
#pragma once

#include "relay.h"

enum
{
  SIM_ROUTES_MAX = 3,
  SIM_DAEMONS_MAX = 12,
  SIM_TARGETS_MAX = 256,
  SIM_DOMAINS = 3,
  SIM_EVIDENCE_SPREAD_MS = 4000, /* within which all daemons know what one has learned */
};

typedef struct
{
  double requests_per_second; /* over all daemons */
  double service_time_ms;     /* mean, exponential above half of it */
  double latency_goal_ms;
  double deadline_ms;
  double min_coverage; /* 0: one service, not shards */
  guint priority;
  bool unsafe;
} SimRoute;

/* What befalls targets; times in ms, first and last target by index. */
typedef enum
{
  SIM_FAULT_NONE,
  SIM_FAULT_REMOVED,             /* listed as gone and ended */
  SIM_FAULT_UNRESPONSIVE,        /* silent: calls hang */
  SIM_FAULT_REFUSES_CONNECTIONS, /* connections are refused */
  SIM_FAULT_SLOW,                /* work takes `factor` times as long */
  SIM_FAULT_ERRORS,              /* `factor` of the calls fail */
  SIM_FAULT_SHEDS,               /* `factor` of the calls are refused, not run */
  SIM_FAULT_LOSES_RESPONSES,     /* `factor` of the calls run and lose their answer */
  SIM_FAULT_LEAVING,             /* listed as leaving */
  SIM_FAULT_CRASHED, /* its process ends, with all connections; refuses until it is back */
  SIM_FAULT_CRASHED_AND_REMOVED, /* its process ends and its entry is removed, at one moment, for
                                    good */
  SIM_FAULT_COLD,                /* listed as cold until the end of the event */
  SIM_FAULT_EVACUATED,           /* failure domains `first` to `last`, not targets, are evacuated */
} SimFaultType;

typedef struct
{
  SimFaultType type;
  guint first;
  guint last;
  guint stride; /* of these only each so many-th; 0 and 1: all */
  double from_ms;
  double to_ms;
  double factor;
} SimFault;

/* A request that ends each target that begins it, and comes again: the same content each
 * time, under new ids, at daemons chosen at random. */
typedef struct
{
  guint count; /* 0: none; times that it comes */
  guint route;
  double from_ms;
  double interval_ms;      /* between two times */
  bool varying_content;    /* another content each time */
  guint copies;            /* each time, at the same moment */
  guint caller_retries;    /* by the caller of each copy, at once after an answer without success */
  double time_to_crash_ms; /* from a target's begin to its end, mean */
  double restart_ms;       /* until it takes connections again */
  bool removes_target; /* a target's entry goes in the moment of its end, and it does not come back
                        */
  bool crashes_after_disconnect; /* a target that has begun it ends, also once its connection is
                                    closed */
} SimPoisonRequest;

typedef struct
{
  guint32 seed;
  guint daemons;
  guint shards;
  guint replicas; /* of each shard */
  guint slots;
  guint queue;
  guint connections;
  double pause_ms;          /* each target stands still this long... */
  double pause_interval_ms; /* ...this often */
  double duration_s;
  double abandon_ratio; /* share of callers who leave after half of the aim */
  double popular_ratio; /* share of the requests that ask for the same, by route */
  guint attempts;
  const MrRelayPolicy *policy; /* NULL: the relay's */
  SimRoute routes[SIM_ROUTES_MAX];
  SimFault faults[8];
  SimPoisonRequest poison;
  double cold_rate;         /* calls a second that a cold target is to get; 0: any */
  double connect_ms;        /* a call waits so long for its connection before it is sent */
  double evidence_delay_ms; /* from a daemon that has evidence against a content to all others */
} SimPlan;

typedef struct
{
  guint requests;
  guint on_time; /* within the aim */
  guint late;
  guint refused;
  guint failed;
  guint abandoned;
  guint quarantined;     /* given up since their content was taken for one that ends targets */
  double utility;        /* of `asked`: share of the shards squared in time, a tenth of it late */
  double missing_shards; /* shards left out, of those asked */
} SimRouteStats;

typedef struct
{
  SimRouteStats routes[SIM_ROUTES_MAX];
  guint64 first_calls;
  guint64 extra_calls;
  guint64 cross_domain_calls; /* to targets of other failure domains */
  guint max_budget_excess;    /* over the allowance in any window, of any service; 0 is right */
  guint ran_twice;            /* unsafe requests that ran on two targets */
  guint false_not_run;        /* refused as not run, though it ran */
  guint excess_attempts; /* more targets of a shard than allowed, or one anew that may have run */
  guint
      calls_after_leaving; /* calls to a target later than the promised time after it was listed */
  guint cold_excess;       /* calls over what a cold target bears, in its worst second */
  guint
      calls_after_evacuation; /* calls that reached an evacuated domain, later than one under way */
  guint deadlines_extended;   /* calls that were told more time than their caller had */
  guint unanswered;           /* neither a verdict nor gone by the end */
  guint late_verdicts;        /* later than the route's time limit and half a second */
  guint calls_after_abandon;  /* repeatable calls alive half a second after the caller left */
  guint wrong_shard_counts;   /* answers under the least share, or counted wrongly */
  guint poison_crashes;       /* targets that the crasher has ended */
  guint poison_calls;         /* calls of it that reached targets */
  guint poison_calls_late;    /* of them, later than WORLD_NEWS_MS after its third end */
  guint poison_served;        /* times that it was answered with success */
} SimResult;

void sim_run (const SimPlan *plan, SimResult *result);
