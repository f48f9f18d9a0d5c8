#include "target.h"

#include "log.h"

/* Weight of a new sample in the running means. */
static const double LATENCY_WEIGHT = 0.1;
static const double LATENCY_INITIAL = 1000;
/* A target that lacked a snapshot may have loaded it after this time, and is tried again. */
static const MrTime SNAPSHOT_RETRY_DELAY = 500 * MR_MS;

MrTargetState *
mr_target_state_new (const MrTarget *target, const char *key)
{
  MrTargetState *state = g_new0 (MrTargetState, 1);
  state->key = g_strdup (key);
  state->id = g_strdup (target->id);
  state->ip = g_strdup (target->ip);
  state->port = target->port;
  state->domain = g_strdup (target->domain);
  state->connection_limit = target->connections;
  state->slots = target->slots;
  state->started = target->started;
  state->mean_latency = LATENCY_INITIAL;
  state->relative_latency = 1;
  mr_speed_estimate_init (&state->speed);
  state->cold_permits = MR_COLD_UNLIMITED;
  mr_concurrency_limit_init (&state->limit, target->slots);
  state->groups = g_ptr_array_new ();
  state->broken_calls = g_array_new (FALSE, FALSE, sizeof (MrFingerprint));
  g_queue_init (&state->open_calls);
  return state;
}

void
mr_target_state_free (MrTargetState *state)
{
  if (!state)
    return;
  g_free (state->key);
  g_free (state->id);
  g_free (state->ip);
  g_free (state->domain);
  g_ptr_array_unref (state->groups);
  g_array_unref (state->broken_calls);
  g_free (state);
}

gboolean
mr_target_state_usable (const MrTargetState *target)
{
  return mr_health_usable (&target->health) && !target->evacuated;
}

static gboolean
S_cold_limit_reached (const MrTargetState *target, MrTime now)
{
  return now < target->cold_until && target->cold_permits != MR_COLD_UNLIMITED &&
         !mr_cold_window_allows (&target->cold_calls, now, target->cold_permits);
}

gboolean
mr_target_state_can_take_call (const MrTargetState *target, MrTime now)
{
  return mr_target_state_usable (target) && !S_cold_limit_reached (target, now);
}

gboolean
mr_target_state_may_become_usable (const MrTargetState *target, MrTime now)
{
  gboolean may_be_up = mr_target_state_usable (target) ||
                       (target->health.state == MR_HEALTH_SUSPECT && !target->evacuated);
  return may_be_up && !S_cold_limit_reached (target, now);
}

void
mr_target_state_set_cold (MrTargetState *target, MrTime now, MrTime cold_for)
{
  target->cold_until = MAX (target->cold_until, now + cold_for);
}

gboolean
mr_target_state_has_free_slot (const MrTargetState *target)
{
  return target->in_flight < mr_concurrency_limit_calls (&target->limit);
}

gboolean
mr_target_state_has_snapshot (const MrTargetState *target, const MrShardMap *map, MrTime now)
{
  return target->missing_generation != map->generation || now >= target->missing_until;
}

void
mr_target_state_set_snapshot_missing (MrTargetState *target, const MrShardMap *map, MrTime now)
{
  target->missing_generation = map->generation;
  target->missing_until = now + SNAPSHOT_RETRY_DELAY;
}

void
mr_target_state_add_latency (MrTargetState *target, MrTime latency)
{
  target->mean_latency += LATENCY_WEIGHT * ((double) latency - target->mean_latency);
}

/* Limit of one relative latency sample, so that a single long pause does not keep a target out of
 * use for the next hundred calls. */
static const double RELATIVE_LATENCY_MAX = 8;
static const double FAILING_WEIGHT = 0.1;

void
mr_target_state_add_relative_latency (MrTargetState *target, MrTime latency, double typical)
{
  double sample = MIN ((double) latency / MAX (typical, 1), RELATIVE_LATENCY_MAX);
  target->relative_latency += LATENCY_WEIGHT * (sample - target->relative_latency);
}

void
mr_target_state_add_outcome (MrTargetState *target, gboolean failed)
{
  target->failure_rate += FAILING_WEIGHT * ((failed ? 1.0 : 0.0) - target->failure_rate);
}

MrHealthAction
mr_target_state_on_probe_result (MrTargetState *target, MrTime now, gboolean answered)
{
  MrHealthState previous = target->health.state;
  MrHealthAction action = mr_health_on_probe_result (&target->health, answered, now);
  if (target->health.state == MR_HEALTH_DOWN && previous != MR_HEALTH_DOWN)
    mr_log (MR_LOG_WARNING, MR_EVENT_TARGET_DOWN, "target %s (%s) is down", target->id,
            target->key);
  return action;
}

void
mr_target_state_foreach (GHashTable *targets,
                         void (*visit) (const MrTargetState *target, void *user),
                         void *user)
{
  GHashTableIter iter;
  gpointer target = NULL;
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, NULL, &target))
    visit (target, user);
}
