/* State of one target as its daemon sees it: health, limit, latency. */
#pragma once

#include "batch.h"
#include "cold_share.h"
#include "concurrency_limit.h"
#include "fingerprint.h"
#include "health.h"

typedef struct _MrTargetState MrTargetState;

struct _MrTargetState
{
  char *key; /* "ip:port" */
  char *id;
  char *ip;
  int port;
  char *domain;
  const char *region;     /* of the domain; NULL: not known; borrowed */
  guint connection_limit; /* most that the target accepts in all */
  guint slots;            /* calls it serves at once; 0: not known */
  guint64 started;        /* of its process, Unix ms; 0: not told */
  /* Its entry was removed, or is another process's, without its having left; 0: not. */
  MrTime withdrawn_at;
  gboolean evacuated; /* its failure domain is: no new work */
  MrHealth health;
  MrConcurrencyLimit limit;
  guint in_flight;         /* calls whose slot may still be taken */
  double mean_latency;     /* running mean of answers, us */
  double relative_latency; /* running mean of latency over that of the same kind of request; 1 is
                              usual */
  double failure_rate;     /* running share of calls that failed or were shed */
  MrTime cold_until;       /* slow until then: it has just started, or turned cold since */
  /* Calls that this daemon may send it in MR_COLD_WINDOW while it is cold; those sent. */
  guint cold_permits;
  MrColdWindow cold_calls;
  GQueue open_calls;          /* calls not ended, oldest first; kept by the relay */
  guint64 calls;              /* started, ever */
  guint64 shed;               /* answers that refused for load */
  guint64 missing_generation; /* generation that it said it does not hold */
  MrTime missing_until;
  GPtrArray *sets;      /* that it is in; kept by the relay */
  GArray *broken_calls; /* MrFingerprint of the calls that broke since it last took a connection */
};

MrTargetState *mr_target_state_new (const MrTarget *target, const char *key);
void mr_target_state_free (MrTargetState *target);

/* A probe has ended; returns what to do. */
MrHealthAction
mr_target_state_on_probe_result (MrTargetState *target, MrTime now, gboolean answered);

/* Calls @visit with each MrTargetState that is a value of @targets. */
void mr_target_state_foreach (GHashTable *targets,
                              void (*visit) (const MrTargetState *target, void *user),
                              void *user);

/* May be given work, if it has room. */
gboolean mr_target_state_usable (const MrTargetState *target);
/* The same, and it is not cold or bears one more call from here at @now. */
gboolean mr_target_state_can_take_call (const MrTargetState *target, MrTime now);
/* May be given work at @now, or once it has shown that it lives. */
gboolean mr_target_state_may_become_usable (const MrTargetState *target, MrTime now);
/* It is cold for @cold_for yet, perhaps for longer by earlier word. */
void mr_target_state_set_cold (MrTargetState *target, MrTime now, MrTime cold_for);
gboolean mr_target_state_has_free_slot (const MrTargetState *target);

/* FALSE while it is known not to hold the map's snapshot. */
gboolean
mr_target_state_has_snapshot (const MrTargetState *target, const MrShardMap *map, MrTime now);

/* It said that it does not hold the map's snapshot. */
void
mr_target_state_set_snapshot_missing (MrTargetState *target, const MrShardMap *map, MrTime now);

void mr_target_state_add_latency (MrTargetState *target, MrTime latency);

/* One answer that took @latency where requests of its kind take @usual. */
void mr_target_state_add_relative_latency (MrTargetState *target, MrTime latency, double usual);
void mr_target_state_add_outcome (MrTargetState *target, gboolean failed);
