#include "relay_private.h"

#include "log.h"

enum
{
  DECAY_SAMPLES = 2000,
  STATS_UPDATE_SAMPLES = 32, /* answers between two updates of the quantiles */
};

static const double MEAN_WEIGHT = 0.05;
/* Growth of a route's lowest median with each update: about 1 % a second at 600 calls a second, so
 * that it follows a route that has become slower permanently. */
static const double LOWEST_MEDIAN_GROWTH = 1.0005;

/* Calls wait at their targets while more than WAITED_RATIO_ON, and then no less than
 * WAITED_RATIO_OFF, of the latest ones took WAITED_LATENCY_FACTOR times the lowest median or more
 * than the latency goal.  A quarter of exponentially distributed times is above twice the median.
 * With a factor of 1.6 and WAITED_RATIO_OFF of 0.15, the spread of the latencies was taken for
 * waiting where 70 % of the requests come to one of six daemons: without any shortage 0.86 instead
 * of 0.99 of them were in time (test_fair_share). */
static const double WAITED_LATENCY_FACTOR = 2;
static const double WAITED_RATIO_ON = 0.5;
static const double WAITED_RATIO_OFF = 0.2;
static const double WAITED_WEIGHT = 0.1;

static void
S_log_probe (const MrTargetState *target, MrTime now)
{
  g_autofree char *heard = target->health.last_response_at == 0
                               ? g_strdup ("no answer yet")
                               : g_strdup_printf ("last answer %" G_GINT64_FORMAT " ms ago",
                                                  (now - target->health.last_response_at) / MR_MS);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_SUSPECT, "probing target %s (%s), state %s, %s",
          target->id, target->key, mr_health_state_name (target->health.state), heard);
}

/* Only for targets with a limit on calls while cold: others would be avoided for no reason. */
void
mr_relay_assume_cold (MrTargetState *target, MrTime now)
{
  if (target->cold_permits == MR_COLD_UNLIMITED)
    return;
  for (guint i = 0; i < target->groups->len; i++)
    mr_target_state_set_cold (
        target, now, ((const TargetGroup *) g_ptr_array_index (target->groups, i))->cold_time);
}

static void
S_apply_action (MrRelay *relay, MrTargetState *target, MrTime now, MrHealthAction action)
{
  switch (action)
    {
    case MR_HEALTH_ACTION_PROBE:
      S_log_probe (target, now);
      relay->host->probe (relay->host, target);
      break;
    case MR_HEALTH_ACTION_RECONNECT:
      relay->host->reconnect (relay->host, target);
      break;
    case MR_HEALTH_ACTION_SLOW_START:
      mr_concurrency_limit_slow_start (&target->limit);
      mr_relay_assume_cold (target, now);
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_UP, "target %s (%s) is up again", target->id,
              target->key);
      break;
    case MR_HEALTH_ACTION_NONE:
      break;
    }
}

void
mr_relay_apply_health_action (MrRelay *relay,
                              MrTime now,
                              MrTargetState *target,
                              MrHealthAction action)
{
  S_apply_action (relay, target, now, action);
  relay->any_target_down |= target->health.state == MR_HEALTH_DOWN;
  if (mr_target_state_usable (target))
    {
      mr_relay_send_queued_to (relay, now, target);
      return;
    }
  /* Parts that were queued for this target alone cannot be sent any more. */
  for (guint i = 0; i < target->groups->len; i++)
    mr_relay_send_queued (relay, now, g_ptr_array_index (target->groups, i));
}

static const char *
S_table_key (const MrRelay *relay, const MrTargetState *state)
{
  return relay->policy->key_by_address ? state->key : state->id;
}

/* Removes @state from the table and from its groups, and ends new calls to it.  Returns the groups;
 * the caller handles the parts in their queues. */
static GPtrArray *
S_detach_target (MrRelay *relay, MrTime now, MrTargetState *state)
{
  GPtrArray *groups = g_ptr_array_new ();
  if (state->health.state != MR_HEALTH_LEAVING)
    state->withdrawn_at = now;
  mr_health_on_leaving (&state->health, now);
  state->health.leaving_since = now;
  g_hash_table_remove (relay->targets, S_table_key (relay, state));
  relay->host->reconnect (relay->host, state);
  for (guint i = 0; i < state->groups->len; i++)
    {
      TargetGroup *group = g_ptr_array_index (state->groups, i);
      g_ptr_array_remove (group->targets, state);
      g_ptr_array_add (groups, group);
    }
  g_ptr_array_set_size (state->groups, 0);
  g_ptr_array_add (relay->removed_targets, state);
  return groups;
}

static void
S_send_queued_in_groups (MrRelay *relay, MrTime now, const GPtrArray *groups)
{
  for (guint i = 0; i < groups->len; i++)
    mr_relay_send_queued (relay, now, g_ptr_array_index (groups, i));
}

/* Ends the calls in flight to a process that has ended as broken: waiting for their connections
 * to time out would delay their requests.  Calls that are not idempotent may have run. */
static void
S_end_calls_as_broken (MrRelay *relay, MrTime now, MrTargetState *state)
{
  for (Call *call = g_queue_peek_head (&state->open_calls); call;
       call = g_queue_peek_head (&state->open_calls))
    {
      if (relay->host->close_call)
        relay->host->close_call (relay->host, call->id);
      mr_relay_call_end (relay, now, call->id, MR_CALL_BROKEN, NULL);
    }
}

/* "ip:port"; to be freed by the caller. */
static char *
S_address (const MrTarget *target)
{
  return g_strdup_printf ("%s:%d", target->ip, target->port);
}

/* TRUE if @target is another process than @state, under the same id.  Nothing known of the former
 * process holds for the new one: neither its address, health, limit and latency, nor that it was
 * leaving. */
static gboolean
S_is_new_process (const MrRelay *relay, const MrTargetState *state, const MrTarget *target)
{
  g_autofree char *key = S_address (target);
  return !relay->policy->key_by_address &&
         (state->started != target->started || !g_str_equal (state->key, key));
}

static void
S_log_restart (const MrTargetState *state, const MrTarget *next)
{
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_RESTARTED,
          "target %s (%s) has started again, at %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT
          ", on %s:%d; ending %u calls in flight as broken",
          state->id, state->key, next->started, state->started, next->ip, next->port,
          state->open_calls.length);
}

static MrTargetState *
S_find_target (const MrRelay *relay, const MrTarget *target)
{
  g_autofree char *key = S_address (target);
  return g_hash_table_lookup (relay->targets, relay->policy->key_by_address ? key : target->id);
}

static MrTargetState *
S_add_target (MrRelay *relay, const char *group_name, const MrTarget *target, MrTime cold_for)
{
  g_autofree char *key = S_address (target);
  MrTargetState *state = mr_target_state_new (target, key);
  g_hash_table_insert (relay->targets, (gpointer) S_table_key (relay, state), state);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_ADDED,
          "added target %s (%s) to %s, domain %s, cold for another %d ms", state->id, key,
          group_name, state->domain, (int) (cold_for / MR_MS));
  return state;
}

static void
S_mark_leaving (MrRelay *relay, MrTime now, MrTargetState *state)
{
  if (state->health.state == MR_HEALTH_LEAVING)
    return;
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) is leaving: listed as leaving",
          state->id, state->key);
  mr_health_on_leaving (&state->health, now);
  mr_relay_apply_health_action (relay, now, state, MR_HEALTH_ACTION_NONE);
}

/* An updated entry may name another failure domain. */
static void
S_set_domain (const MrRelay *relay, MrTargetState *state, const char *domain)
{
  if (!g_str_equal (state->domain, domain))
    {
      g_free (state->domain);
      state->domain = g_strdup (domain);
    }
  state->region = relay->regions ? g_hash_table_lookup (relay->regions, domain) : NULL;
  state->evacuated = mr_relay_is_evacuated (relay, domain);
}

MrTargetState *
mr_relay_update_target (MrRelay *relay,
                        MrTime now,
                        const char *group_name,
                        const MrTarget *target,
                        gboolean leaving,
                        MrTime cold_for)
{
  MrTargetState *state = S_find_target (relay, target);
  MrTargetState *replaced = NULL;
  g_autoptr (GPtrArray) groups = NULL;
  if (state && S_is_new_process (relay, state, target))
    {
      S_log_restart (state, target);
      replaced = state;
      groups = S_detach_target (relay, now, replaced);
      state = NULL;
    }
  if (!state)
    state = S_add_target (relay, group_name, target, cold_for);
  S_set_domain (relay, state, target->domain);
  mr_target_state_set_cold (state, now, cold_for);
  TargetGroup *group = mr_relay_get_group (relay, group_name);
  if (!g_ptr_array_find (state->groups, group, NULL))
    {
      g_ptr_array_add (state->groups, group);
      g_ptr_array_add (group->targets, state);
      group->limits_connection_share = LIMITS_UNSET;
    }
  if (leaving)
    S_mark_leaving (relay, now, state);
  mr_relay_send_queued (relay, now, group);
  /* Last, since requests that wait for the old process as the only target of a shard would be
   * refused while the group is empty. */
  if (replaced)
    {
      S_send_queued_in_groups (relay, now, groups);
      S_end_calls_as_broken (relay, now, replaced);
    }
  return state;
}

void
mr_relay_set_target_leaving (MrRelay *relay, MrTime now, const char *name, gboolean leaving)
{
  MrTargetState *state = g_hash_table_lookup (relay->targets, name);
  if (state && leaving)
    S_mark_leaving (relay, now, state);
  else if (state)
    mr_relay_apply_health_action (relay, now, state, mr_health_on_live (&state->health, now));
}

void
mr_relay_remove_target (MrRelay *relay, MrTime now, const char *name)
{
  MrTargetState *state = g_hash_table_lookup (relay->targets, name);
  if (!state)
    return;
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) is leaving: no longer listed",
          state->id, state->key);
  g_autoptr (GPtrArray) groups = S_detach_target (relay, now, state);
  S_send_queued_in_groups (relay, now, groups);
}

void
mr_relay_probe_end (MrRelay *relay, MrTime now, const char *id, gboolean answered)
{
  MrTargetState *target = g_hash_table_lookup (relay->targets, id);
  if (!target)
    return;
  MrHealthAction action = mr_target_state_on_probe_result (target, now, answered);
  mr_relay_record_probe (relay, now, target, answered);
  mr_relay_apply_health_action (relay, now, target, action);
}

static void
S_record_waiting (RouteStats *stats, MrTime latency)
{
  double waited = latency > stats->latency_goal ||
                          (double) latency > WAITED_LATENCY_FACTOR * stats->lowest_median
                      ? 1
                      : 0;
  stats->waited_ratio += WAITED_WEIGHT * (waited - stats->waited_ratio);
  stats->calls_wait =
      stats->waited_ratio > (stats->calls_wait ? WAITED_RATIO_OFF : WAITED_RATIO_ON);
}

static double
S_relative_to_median (const RouteStats *stats, MrTime latency)
{
  return (double) latency / MAX (stats->median, 1);
}

void
mr_relay_record_unanswered (const Call *call, MrTime now)
{
  mr_speed_estimate_add_unanswered (&call->target->speed, now,
                                    S_relative_to_median (call->stats, now - call->started));
}

void
mr_relay_record_latency (RouteStats *stats, MrTime now, MrTargetState *target, MrTime latency)
{
  mr_speed_estimate_add (&target->speed, now, S_relative_to_median (stats, latency));
  mr_target_state_add_latency (target, latency);
  mr_target_state_add_relative_latency (target, latency, stats->median);
  if (mr_relay_stats_are_reliable (stats))
    S_record_waiting (stats, latency);
  stats->mean += MEAN_WEIGHT * ((double) latency - stats->mean);
  mr_histogram_add (&stats->latency, latency);
  if (stats->latency.count >= DECAY_SAMPLES)
    mr_histogram_decay (&stats->latency);
  if (stats->latency.count % STATS_UPDATE_SAMPLES == 0)
    {
      stats->lowest_median *= LOWEST_MEDIAN_GROWTH;
      mr_relay_update_stats (stats);
    }
}

MrHealthAction
mr_relay_record_outcome (
    MrRelay *relay, MrTime now, MrTargetState *target, MrCallOutcome outcome, MrTime started)
{
  /* Calls that end in one of these ways are no evidence for or against a failure. */
  if (outcome != MR_CALL_CANCELLED && outcome != MR_CALL_NO_SNAPSHOT &&
      outcome != MR_CALL_WITHDRAWN)
    mr_target_state_add_outcome (target, outcome != MR_CALL_ANSWER);
  switch (outcome)
    {
    case MR_CALL_ANSWER:
      mr_concurrency_limit_on_success (&target->limit);
      return mr_health_on_success (&target->health, now);
    case MR_CALL_SHED:
      target->shed++;
      mr_concurrency_limit_on_shed (&target->limit, now);
      mr_health_on_response (&target->health, now);
      return MR_HEALTH_ACTION_NONE;
    case MR_CALL_DRAINING:
    case MR_CALL_MISDIRECTED:
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) is leaving: it answered %s",
              target->id, target->key, mr_call_outcome_name (outcome));
      mr_health_on_leaving (&target->health, now);
      relay->host->reconnect (relay->host, target);
      return MR_HEALTH_ACTION_NONE;
    case MR_CALL_ERROR:
      mr_health_on_failure (&target->health, now);
      return MR_HEALTH_ACTION_NONE;
    case MR_CALL_NOT_CONNECTED:
    case MR_CALL_BROKEN:
      return mr_health_on_connection_error (&target->health, now);
    case MR_CALL_SILENT:
      return mr_health_on_connection_lost (&target->health, started, now);
    case MR_CALL_NO_SNAPSHOT:
    case MR_CALL_CANCELLED:
      mr_health_on_response (&target->health, now);
      return MR_HEALTH_ACTION_NONE;
    case MR_CALL_WITHDRAWN:
      return MR_HEALTH_ACTION_NONE;
    }
  return MR_HEALTH_ACTION_NONE;
}

static void
S_count_usable (const MrTargetState *target, void *user)
{
  guint *count = user;
  if (mr_target_state_usable (target))
    (*count)++;
}

guint
mr_relay_usable_target_count (const MrRelay *relay)
{
  guint count = 0;
  mr_relay_foreach_target (relay, S_count_usable, &count);
  return count;
}

void
mr_relay_foreach_target (const MrRelay *relay,
                         void (*visit) (const MrTargetState *target, void *user),
                         void *user)
{
  mr_target_state_foreach (relay->targets, visit, user);
}
