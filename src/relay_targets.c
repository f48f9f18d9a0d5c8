#include "relay_private.h"

#include "log.h"

enum
{
  SAMPLES_DECAY = 2000,
  SAMPLES_READ = 32, /* the quantiles are read once in so many */
};

static const double MEAN_WEIGHT = 0.05;
/* Growth of a kind's least median with each reading: about 1 % a second at 600 calls
 * a second, so that a kind that has become slower for good is learned. */
static const double UNLOADED_DRIFT = 1.0005;

static void
S_log_probe (const MrTargetState *target, MrTime now)
{
  g_autofree char *heard = target->health.last_response_at == 0
                               ? g_strdup ("no answer yet")
                               : g_strdup_printf ("last answer %" G_GINT64_FORMAT " ms ago",
                                                  (now - target->health.last_response_at) / MR_MS);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_SUSPECT, "target %s (%s) is probed, state %s, %s",
          target->id, target->key, mr_health_state_name (target->health.state), heard);
}

/* Only where it matters to the target: elsewhere it would be passed over for nothing. */
void
mr_relay_assume_cold (MrTargetState *target, MrTime now)
{
  if (target->cold_permits == MR_COLD_UNLIMITED)
    return;
  for (guint i = 0; i < target->sets->len; i++)
    mr_target_state_set_cold (
        target, now, ((const TargetGroup *) g_ptr_array_index (target->sets, i))->cold_time);
}

/* Carries out what a target's health asks for. */
static void
S_carry_out (MrRelay *r, MrTargetState *target, MrTime now, MrHealthAction action)
{
  switch (action)
    {
    case MR_HEALTH_ACTION_PROBE:
      S_log_probe (target, now);
      r->host->probe (r->host, target);
      break;
    case MR_HEALTH_ACTION_RECONNECT:
      r->host->reconnect (r->host, target);
      break;
    case MR_HEALTH_ACTION_SLOW_START:
      mr_concurrency_limit_slow_start (&target->limit);
      mr_relay_assume_cold (target, now);
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_UP, "target %s (%s) is back", target->id, target->key);
      break;
    case MR_HEALTH_ACTION_NONE:
      break;
    }
}

void
mr_relay_apply_health_action (MrRelay *r, MrTime now, MrTargetState *target, MrHealthAction action)
{
  S_carry_out (r, target, now, action);
  r->any_target_down |= target->health.state == MR_HEALTH_DOWN;
  if (mr_target_state_usable (target))
    {
      mr_relay_send_queued_to (r, now, target);
      return;
    }
  /* Jobs that waited for this target alone have nothing to wait for. */
  for (guint i = 0; i < target->sets->len; i++)
    mr_relay_send_queued (r, now, g_ptr_array_index (target->sets, i));
}

static const char *
S_name (const MrRelay *r, const MrTargetState *state)
{
  return r->policy->key_by_address ? state->key : state->id;
}

/* Ends new work at @state, which no name leads to from now on.  Returns the sets that
 * it was in; what waits in them is for the caller to look at. */
static GPtrArray *
S_take_out (MrRelay *r, MrTime now, MrTargetState *state)
{
  GPtrArray *sets = g_ptr_array_new ();
  if (state->health.state != MR_HEALTH_LEAVING)
    state->withdrawn_at = now;
  mr_health_on_leaving (&state->health, now);
  state->health.leaving_since = now;
  g_hash_table_remove (r->targets, S_name (r, state));
  r->host->reconnect (r->host, state);
  for (guint i = 0; i < state->sets->len; i++)
    {
      TargetGroup *service = g_ptr_array_index (state->sets, i);
      g_ptr_array_remove (service->targets, state);
      g_ptr_array_add (sets, service);
    }
  g_ptr_array_set_size (state->sets, 0);
  g_ptr_array_add (r->removed_targets, state);
  return sets;
}

static void
S_pump_sets (MrRelay *r, MrTime now, const GPtrArray *sets)
{
  for (guint i = 0; i < sets->len; i++)
    mr_relay_send_queued (r, now, g_ptr_array_index (sets, i));
}

/* The calls that are out to a process that has ended get no answer any more: they
 * are settled now, as lost on the way, rather than when their connections time
 * out.  What may not be repeated may have run. */
static void
S_lose_calls (MrRelay *r, MrTime now, MrTargetState *state)
{
  for (Call *call = g_queue_peek_head (&state->open_calls); call;
       call = g_queue_peek_head (&state->open_calls))
    {
      if (r->host->close_call)
        r->host->close_call (r->host, call->id);
      mr_relay_call_end (r, now, call->id, MR_CALL_BROKEN, NULL);
    }
}

/* "ip:port"; new. */
static char *
S_address (const MrTarget *target)
{
  return g_strdup_printf ("%s:%d", target->ip, target->port);
}

/* TRUE if @target is another process than @state, under its id.  Nothing that was
 * learned of the one holds for the other: not its address, health, limit or latency,
 * nor that it was leaving. */
static gboolean
S_is_replaced (const MrRelay *r, const MrTargetState *state, const MrTarget *target)
{
  g_autofree char *key = S_address (target);
  return !r->policy->key_by_address &&
         (state->started != target->started || !g_str_equal (state->key, key));
}

static void
S_log_restart (const MrTargetState *state, const MrTarget *next)
{
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_RESTARTED,
          "target %s (%s) has started again, at %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT
          ", on %s:%d: %u calls are lost",
          state->id, state->key, next->started, state->started, next->ip, next->port,
          state->open_calls.length);
}

static MrTargetState *
S_find_target (const MrRelay *r, const MrTarget *target)
{
  g_autofree char *key = S_address (target);
  return g_hash_table_lookup (r->targets, r->policy->key_by_address ? key : target->id);
}

static MrTargetState *
S_add_target (MrRelay *r, const char *set, const MrTarget *target, MrTime cold_for)
{
  g_autofree char *key = S_address (target);
  MrTargetState *state = mr_target_state_new (target, key);
  g_hash_table_insert (r->targets, (gpointer) S_name (r, state), state);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_KNOWN, "target %s (%s) of %s in %s, slow for %d ms yet",
          state->id, key, set, state->domain, (int) (cold_for / MR_MS));
  return state;
}

static void
S_list_as_leaving (MrRelay *r, MrTime now, MrTargetState *state)
{
  if (state->health.state == MR_HEALTH_LEAVING)
    return;
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: listed as leaving",
          state->id, state->key);
  mr_health_on_leaving (&state->health, now);
  mr_relay_apply_health_action (r, now, state, MR_HEALTH_ACTION_NONE);
}

/* Its entry may name another failure domain than before. */
static void
S_set_domain (const MrRelay *r, MrTargetState *state, const char *domain)
{
  if (!g_str_equal (state->domain, domain))
    {
      g_free (state->domain);
      state->domain = g_strdup (domain);
    }
  state->region = r->regions ? g_hash_table_lookup (r->regions, domain) : NULL;
  state->evacuated = mr_relay_is_evacuated (r, domain);
}

MrTargetState *
mr_relay_update_target (MrRelay *r,
                        MrTime now,
                        const char *set,
                        const MrTarget *target,
                        gboolean leaving,
                        MrTime cold_for)
{
  MrTargetState *state = S_find_target (r, target);
  MrTargetState *ended = NULL;
  g_autoptr (GPtrArray) sets = NULL;
  if (state && S_is_replaced (r, state, target))
    {
      S_log_restart (state, target);
      ended = state;
      sets = S_take_out (r, now, ended);
      state = NULL;
    }
  if (!state)
    state = S_add_target (r, set, target, cold_for);
  S_set_domain (r, state, target->domain);
  mr_target_state_set_cold (state, now, cold_for);
  TargetGroup *service = mr_relay_get_group (r, set);
  if (!g_ptr_array_find (state->sets, service, NULL))
    {
      g_ptr_array_add (state->sets, service);
      g_ptr_array_add (service->targets, state);
      service->limits_connection_share = LIMITS_UNSET;
    }
  if (leaving)
    S_list_as_leaving (r, now, state);
  mr_relay_send_queued (r, now, service);
  /* Only now: requests that waited for the old process, a shard's only target, would
   * be refused while there is none. */
  if (ended)
    {
      S_pump_sets (r, now, sets);
      S_lose_calls (r, now, ended);
    }
  return state;
}

void
mr_relay_set_target_leaving (MrRelay *r, MrTime now, const char *name, gboolean leaving)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, name);
  if (state && leaving)
    S_list_as_leaving (r, now, state);
  else if (state)
    mr_relay_apply_health_action (r, now, state, mr_health_on_live (&state->health, now));
}

void
mr_relay_remove_target (MrRelay *r, MrTime now, const char *name)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, name);
  if (!state)
    return;
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: no longer listed",
          state->id, state->key);
  g_autoptr (GPtrArray) sets = S_take_out (r, now, state);
  S_pump_sets (r, now, sets);
}

void
mr_relay_probe_end (MrRelay *r, MrTime now, const char *id, gboolean answered)
{
  MrTargetState *target = g_hash_table_lookup (r->targets, id);
  if (!target)
    return;
  MrHealthAction action = mr_target_state_on_probe_result (target, now, answered);
  mr_relay_record_probe (r, now, target, answered);
  mr_relay_apply_health_action (r, now, target, action);
}

void
mr_relay_record_latency (RouteStats *kind, MrTargetState *target, MrTime latency)
{
  mr_target_state_add_latency (target, latency);
  mr_target_state_add_relative_latency (target, latency, kind->median);
  kind->mean += MEAN_WEIGHT * ((double) latency - kind->mean);
  mr_histogram_add (&kind->latency, latency);
  if (kind->latency.count >= SAMPLES_DECAY)
    mr_histogram_decay (&kind->latency);
  if (kind->latency.count % SAMPLES_READ == 0)
    {
      kind->lowest_median *= UNLOADED_DRIFT;
      mr_relay_update_stats (kind);
    }
}

MrHealthAction
mr_relay_record_outcome (
    MrRelay *r, MrTime now, MrTargetState *target, MrCallOutcome outcome, MrTime started)
{
  /* These say nothing of how well it works. */
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
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: its answer was %s",
              target->id, target->key, mr_call_outcome_name (outcome));
      mr_health_on_leaving (&target->health, now);
      r->host->reconnect (r->host, target);
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
mr_relay_usable_target_count (const MrRelay *r)
{
  guint count = 0;
  mr_relay_foreach_target (r, S_count_usable, &count);
  return count;
}

void
mr_relay_foreach_target (const MrRelay *r,
                         void (*visit) (const MrTargetState *target, void *user),
                         void *user)
{
  mr_target_state_foreach (r->targets, visit, user);
}
