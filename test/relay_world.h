/* A fleet of relays and their targets on a virtual clock, without a network:
 * targets have slots, a queue, pauses and bad days; callers ask at random times.
 * Every run of one seed is the same. */
#pragma once

#include "relay.h"

enum
{
  WORLD_ROUTES_MAX = 3,
  WORLD_DAEMONS_MAX = 12,
  WORLD_TARGETS_MAX = 256,
  WORLD_DOMAINS = 3,
  WORLD_NEWS_MS = 4000, /* within which all daemons know what one has learned */
};

typedef struct
{
  double per_second; /* over all daemons */
  double work_ms;    /* mean, exponential above half of it */
  double aim_ms;
  double deadline_ms;
  double least_share; /* 0: one service, not shards */
  guint rank;
  bool unsafe;
} WorldRoute;

/* What befalls targets; times in ms, first and last target by index. */
typedef enum
{
  WORLD_NO_TROUBLE,
  WORLD_GONE,      /* listed as gone and ended */
  WORLD_DARK,      /* silent: calls hang */
  WORLD_REFUSES,   /* connections are refused */
  WORLD_SLOW,      /* work takes `factor` times as long */
  WORLD_ERRORS,    /* `factor` of the calls fail */
  WORLD_SHEDS,     /* `factor` of the calls are refused, not run */
  WORLD_BREAKS,    /* `factor` of the calls run and lose their answer */
  WORLD_LEAVES,    /* listed as leaving */
  WORLD_ENDS,      /* its process ends, with all connections; refuses until it is back */
  WORLD_VANISHES,  /* its process ends and its entry is removed, at one moment, for good */
  WORLD_COLD,      /* listed as cold until the end of the event */
  WORLD_EVACUATED, /* failure domains `first` to `last`, not targets, are evacuated */
} WorldTrouble;

typedef struct
{
  WorldTrouble trouble;
  guint first;
  guint last;
  guint every; /* of these only each so many-th; 0 and 1: all */
  double from_ms;
  double to_ms;
  double factor;
} WorldEvent;

/* A request that ends each target that begins it, and comes again: the same content each
 * time, under new ids, at daemons chosen at random. */
typedef struct
{
  guint count; /* 0: none; times that it comes */
  guint route;
  double from_ms;
  double gap_ms;   /* between two times */
  bool varies;     /* another content each time */
  guint copies;    /* each time, at the same moment */
  guint repeats;   /* by the caller of each copy, at once after an answer without success */
  double crash_ms; /* from a target's begin to its end, mean */
  double back_ms;  /* until it takes connections again */
  bool withdrawn;  /* a target's entry goes in the moment of its end, and it does not come back */
  bool goes_on;    /* a target that has begun it ends, also once its connection is closed */
} WorldCrasher;

typedef struct
{
  guint32 seed;
  guint daemons;
  guint shards;
  guint replicas; /* of each shard */
  guint slots;
  guint queue;
  guint connections;
  double pause_ms;     /* each target stands still this long... */
  double pause_gap_ms; /* ...this often */
  double seconds;
  double give_up; /* share of callers who leave after half of the aim */
  double popular; /* share of the requests that ask for the same, by route */
  guint attempts;
  const MrRelayPolicy *policy; /* NULL: the relay's */
  WorldRoute routes[WORLD_ROUTES_MAX];
  WorldEvent events[8];
  WorldCrasher crasher;
  double cold_rate;  /* calls a second that a cold target is to get; 0: any */
  double connect_ms; /* a call waits so long for its connection before it is sent */
  double news_ms;    /* from a daemon that has evidence against a content to all others */
} WorldPlan;

typedef struct
{
  guint asked;
  guint in_time; /* within the aim */
  guint late;
  guint refused;
  guint failed;
  guint gone;
  guint quarantined; /* given up since their content was taken for one that ends targets */
  double credit;     /* of `asked`: share of the shards squared in time, a tenth of it late */
  double missing;    /* shards left out, of those asked */
} WorldKind;

typedef struct
{
  WorldKind kinds[WORLD_ROUTES_MAX];
  guint64 first_calls;
  guint64 extra_calls;
  guint64 far_calls;        /* to targets of other failure domains */
  guint worst_window_extra; /* over the allowance in any window, of any service; 0 is right */
  guint ran_twice;          /* unsafe requests that ran on two targets */
  guint false_not_run;      /* refused as not run, though it ran */
  guint over_attempts;    /* more targets of a shard than allowed, or one anew that may have run */
  guint after_leaving;    /* calls to a target later than the promised time after it was listed */
  guint cold_over;        /* calls over what a cold target bears, in its worst second */
  guint after_evacuated;  /* calls that reached an evacuated domain, later than one under way */
  guint longer_than_left; /* calls that were told more time than their caller had */
  guint unanswered;       /* neither a verdict nor gone by the end */
  guint late_verdicts;    /* later than the route's time limit and half a second */
  guint after_gone;       /* repeatable calls alive half a second after the caller left */
  guint shards_wrong;     /* answers under the least share, or counted wrongly */
  guint crashed;          /* targets that the crasher has ended */
  guint crasher_calls;    /* calls of it that reached targets */
  guint crasher_late;     /* of them, later than WORLD_NEWS_MS after its third end */
  guint crasher_served;   /* times that it was answered with success */
} WorldResult;

void world_run (const WorldPlan *plan, WorldResult *result);
