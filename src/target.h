/* A daemon's view of one target: health, concurrency limit, latency. */
#pragma once

#include "batch.h"
#include "cold_share.h"
#include "concurrency_limit.h"
#include "fingerprint.h"
#include "health.h"
#include "target_choice.h"

typedef struct _MrTargetState MrTargetState;

struct _MrTargetState
{
  char *key; /* "ip:port" */
  char *id;
  char *ip;
  int port;
  char *domain;
  const char *region;     /* of the domain; NULL: unknown; borrowed */
  guint connection_limit; /* connections that the target accepts in total */
  guint slots;            /* calls that it runs concurrently; 0: unknown */
  guint64 started;        /* start time of its process, Unix ms; 0: unknown */
  /* When its entry was removed or taken over by another process although the target had not
   * announced that it was leaving; 0: not. */
  MrTime withdrawn_at;
  gboolean evacuated; /* its failure domain is evacuated; it gets no new calls */
  MrHealth health;
  MrConcurrencyLimit limit;
  guint in_flight;         /* calls that may still occupy a slot */
  double mean_latency;     /* running mean, us */
  double relative_latency; /* running mean of latency divided by the typical latency of that kind of
                              request; 1 is normal */
  MrSpeedEstimate speed;   /* used instead of relative_latency in wide services */
  double failure_rate;     /* running fraction of calls that failed or were shed */
  MrTime cold_until;       /* end of the time in which its caches may be cold */
  /* Calls that this daemon may send per MR_COLD_WINDOW while the target is cold, and those
   * sent. */
  guint cold_permits;
  MrColdWindow cold_calls;
  GQueue open_calls;          /* oldest first; maintained by the relay */
  guint64 calls;              /* sent in total */
  guint64 shed;               /* calls refused because of load, in total */
  guint64 missing_generation; /* snapshot generation that it reported as missing */
  MrTime missing_until;
  GPtrArray *groups;    /* target sets that contain it; maintained by the relay */
  GArray *broken_calls; /* MrFingerprint of calls broken since its last accepted connection */
};

MrTargetState *mr_target_state_new (const MrTarget *target, const char *key);
void mr_target_state_free (MrTargetState *target);

/* Records the result of a probe; returns what to do. */
MrHealthAction
mr_target_state_on_probe_result (MrTargetState *target, MrTime now, gboolean answered);

/* Calls @visit with each MrTargetState that is a value of @targets. */
void mr_target_state_foreach (GHashTable *targets,
                              void (*visit) (const MrTargetState *target, void *user),
                              void *user);

/* TRUE if the target may get new calls, a free slot provided. */
gboolean mr_target_state_usable (const MrTargetState *target);
/* TRUE if it is usable and a call at @now keeps within the limit for cold targets. */
gboolean mr_target_state_can_take_call (const MrTargetState *target, MrTime now);
/* Like mr_target_state_can_take_call (), but TRUE also while a suspect target is being probed. */
gboolean mr_target_state_may_become_usable (const MrTargetState *target, MrTime now);
/* Treats the target as cold until @cold_for from now, or until a later time set before. */
void mr_target_state_set_cold (MrTargetState *target, MrTime now, MrTime cold_for);
gboolean mr_target_state_has_free_slot (const MrTargetState *target);

/* FALSE if the target has recently reported that it lacks the map's snapshot. */
gboolean
mr_target_state_has_snapshot (const MrTargetState *target, const MrShardMap *map, MrTime now);

/* Records that the target reported the map's snapshot as missing. */
void
mr_target_state_set_snapshot_missing (MrTargetState *target, const MrShardMap *map, MrTime now);

void mr_target_state_add_latency (MrTargetState *target, MrTime latency);

/* Adds a response that took @latency, where requests of its kind typically take @typical. */
void mr_target_state_add_relative_latency (MrTargetState *target, MrTime latency, double typical);
void mr_target_state_add_outcome (MrTargetState *target, gboolean failed);
