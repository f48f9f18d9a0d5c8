/* Discrete-event simulation of a fleet of relays and their targets, on a virtual clock and
 * without a network.  Targets have slots, a queue, pauses and injected faults; requests
 * arrive at random times.  Runs with the same seed are identical. */
#pragma once

#include "relay.h"

enum
{
  SIM_ROUTES_MAX = 3,
  SIM_DAEMONS_MAX = 12,
  SIM_TARGETS_MAX = 256,
  SIM_DOMAINS = 3,
  SIM_ORGANISATIONS_MAX = 1024,
  SIM_EVIDENCE_SPREAD_MS = 4000, /* allowed time until all daemons have received evidence */
};

typedef struct
{
  double requests_per_second; /* over all daemons */
  double service_time_ms;     /* mean; half of it is fixed, half exponentially distributed */
  double latency_goal_ms;
  double deadline_ms;
  double min_coverage; /* 0: a single service instead of shards */
  guint priority;
  bool unsafe; /* not idempotent */
} SimRoute;

typedef enum
{
  SIM_FAULT_NONE,
  SIM_FAULT_REMOVED,      /* its entry is removed and it refuses connections */
  SIM_FAULT_UNRESPONSIVE, /* calls get no response */
  SIM_FAULT_REFUSES_CONNECTIONS,
  SIM_FAULT_SLOW,                /* service time is multiplied by `factor` */
  SIM_FAULT_ERRORS,              /* fraction `factor` of the calls fail */
  SIM_FAULT_SHEDS,               /* fraction `factor` of the calls are refused without running */
  SIM_FAULT_LOSES_RESPONSES,     /* fraction `factor` of the calls run, but the response is lost */
  SIM_FAULT_LEAVING,             /* listed as leaving */
  SIM_FAULT_CRASHED,             /* closes all connections; refuses new ones until it is back */
  SIM_FAULT_CRASHED_AND_REMOVED, /* the same, and its entry is permanently removed */
  SIM_FAULT_COLD,                /* listed as cold until the end of the fault */
  SIM_FAULT_EVACUATED,           /* `first` to `last` are failure domains, not targets */
} SimFaultType;

/* A fault of the targets with indices `first` to `last`. */
typedef struct
{
  SimFaultType type;
  guint first;
  guint last;
  guint stride; /* only every stride-th of these; 0 and 1: all */
  double from_ms;
  double to_ms; /* 0: never ends */
  double factor;
} SimFault;

/* A request that crashes each target that runs it and is sent repeatedly, with new request ids,
 * to daemons chosen at random. */
typedef struct
{
  guint count; /* times that it is sent; 0: none */
  guint route;
  double from_ms;
  double interval_ms;      /* between two times */
  bool varying_content;    /* a different content each time */
  guint copies;            /* requests at each of these times */
  guint caller_retries;    /* of each copy, immediately after an unsuccessful response */
  double time_to_crash_ms; /* from the start of the call, mean */
  double restart_ms;       /* until the target accepts connections again */
  bool removes_target;     /* its entry is removed with the crash and it does not restart */
  /* A target that runs the request crashes even if its connection has been closed. */
  bool crashes_after_disconnect;
} SimPoisonRequest;

/* Organisations of callers.  The rates of the routes are divided between them; the excess of the
 * busy one comes in addition. */
typedef struct
{
  guint count;      /* 0: requests have no organisation */
  double exponent;  /* shares of the usual load: organisation i has 1 / (i + 1) ^ exponent */
  bool ignored;     /* the relays are not told the organisations */
  guint busy;       /* index of the organisation that sends more than usual */
  double factor;    /* its load over its usual load; 0: as usual */
  double from_ms;   /* while it does so */
  double to_ms;     /* 0: until the end */
  guint lower_from; /* if not 0, the organisations from this one on have priority 1 */
  guint retries;    /* of a refused request of the busy organisation, immediately */
} SimOrganisations;

/* A planned stop of the first daemon. */
typedef struct
{
  double from_ms;  /* 0: none */
  double read_ms;  /* it gets no requests later */
  double until_ms; /* its requests must have their verdicts */
} SimStop;

typedef struct
{
  guint32 seed;
  guint daemons;
  guint shards;
  guint replicas; /* per shard */
  guint slots;
  guint queue;
  guint connections;
  double pause_ms;          /* length of a target's periodic pauses */
  double pause_interval_ms; /* from the start of a pause to the next */
  double duration_s;
  double abandon_ratio; /* fraction of callers who disconnect after half of the latency goal */
  double popular_ratio; /* fraction of a route's requests that have the same content */
  guint attempts;
  const MrRelayPolicy *policy; /* NULL: mr_relay_policy */
  SimRoute routes[SIM_ROUTES_MAX];
  SimFault faults[8];
  SimPoisonRequest poison;
  SimOrganisations organisations;
  SimStop stop;
  double cold_rate;          /* call rate per second that a cold target can take; 0: unlimited */
  double first_daemon_ratio; /* fraction of the requests that all come to the first daemon */
  double connect_ms;         /* time to connect before a call is sent */
  double evidence_delay_ms;  /* until published evidence reaches the other daemons */
} SimPlan;

typedef struct
{
  guint requests;
  guint on_time; /* within the latency goal */
  guint late;
  guint refused;
  guint failed;
  guint abandoned;
  guint quarantined; /* not completed because their content is quarantined */
  /* Sum over the requests of the square of the fraction of shards in the response, of which
   * a late response counts for a tenth. */
  double utility;
  double missing_shards; /* sum over the requests of the fraction of shards left out */
} SimRouteStats;

/* Requests of an organisation while one is busy. */
typedef struct
{
  guint requests; /* not counting retries */
  guint on_time;
  guint refused;
} SimOrganisationStats;

typedef struct
{
  SimRouteStats routes[SIM_ROUTES_MAX];
  SimOrganisationStats organisations[SIM_ORGANISATIONS_MAX];
  guint64 over_share; /* requests refused for their organisation's share */
  guint64 first_calls;
  guint64 extra_calls;        /* hedges and retries */
  guint64 cross_domain_calls; /* to targets of other failure domains */

  /* Violations, 0 if correct. */
  guint max_budget_excess; /* hedges and retries over the budget, in any window and shard */
  guint ran_twice;         /* unsafe requests of which two calls ran */
  guint false_not_run;     /* requests refused as not run that had run */
  /* Calls to more targets of a shard than allowed, or again to one that may have run the call. */
  guint excess_attempts;
  guint calls_after_leaving; /* more than 3 s after the target was listed as leaving */
  guint cold_excess;         /* calls over the rate limit of a cold target, in its worst second */
  guint calls_after_evacuation; /* that arrived in an evacuated domain and were sent after it was */
  guint deadlines_extended;     /* calls with a later deadline than their request */
  guint cut_by_stop;            /* requests without a verdict when their daemon has stopped */
  guint unanswered;             /* requests neither answered nor abandoned by the end */
  guint late_verdicts;          /* later than half a second after the route's time limit */
  guint calls_after_abandon; /* idempotent calls of abandoned requests, still running at the end */
  guint wrong_shard_counts;  /* coverage below the minimum, or shards not adding up */

  guint poison_crashes;    /* targets that the poison request has crashed */
  guint poison_calls;      /* its calls that reached targets */
  guint poison_calls_late; /* of these, over SIM_EVIDENCE_SPREAD_MS after its third crash */
  guint poison_served;     /* times that it was answered successfully */
} SimResult;

void sim_run (const SimPlan *plan, SimResult *result);
