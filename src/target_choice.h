/* Choice of a target of a wide service: one with so many targets that each daemon has few recent
 * samples of each.
 *
 * A daemon that sends each call to the target with the lowest cost then follows the noise of its
 * estimates, and daemons that do not see each other's calls meet at the same targets.  The choice
 * here takes turns among the targets with nearly the lowest cost and prefers idle connections.
 * Measurements and rejected alternatives: docs/design/target-choice.md. */
#pragma once

#include "clock.h"
#include <glib.h>

enum
{
  /* Usable targets from which a service is wide.  Shards have three. */
  MR_WIDE_SERVICE_TARGETS_MIN = 8,
};

/* Latency of a target relative to the typical latency of its calls; 1 is typical. */
typedef struct
{
  double steady; /* long mean without extremes: the speed of the target */
  double recent; /* short mean, for targets that have become slow */
  guint samples;
  MrTime sampled_at;
} MrSpeedEstimate;

void mr_speed_estimate_init (MrSpeedEstimate *estimate);
void mr_speed_estimate_add (MrSpeedEstimate *estimate, MrTime now, double latency);
/* Adds a call that was given up after @latency without an answer. */
void mr_speed_estimate_add_unanswered (MrSpeedEstimate *estimate, MrTime now, double latency);
/* Expected relative latency of a call. */
double mr_speed_estimate_get (const MrSpeedEstimate *estimate, MrTime now);

typedef struct
{
  gpointer target;
  double cost;
  MrTime last_used; /* 0: never */
  gboolean has_idle_connection;
} MrTargetCandidate;

/* Returns the target of one of @candidates; NULL if there are none.  Of those used at the same time
 * the first is taken.  @candidates is changed. */
gpointer mr_target_choice (GArray *candidates, GRand *random);
