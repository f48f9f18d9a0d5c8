#include "relay_private.h"

#include "log.h"

enum
{
  SAMPLES_DECAY = 2000,
  SAMPLES_READ = 32, /* the quantiles are read once in so many */
};

static const double MEAN_WEIGHT = 0.05;

static void
S_probe (gpointer owner, const MrTargetState *target)
{
  MrRelayHost *host = ((MrRelay *) owner)->host;
  host->probe (host, target);
}

static void
S_renew (gpointer owner, const MrTargetState *target)
{
  MrRelayHost *host = ((MrRelay *) owner)->host;
  host->renew (host, target);
}

static const MrTargetOps target_ops = { .probe = S_probe, .renew = S_renew };

void
mr_relay_act (MrRelay *r, MrTime now, MrTargetState *target, MrHealthAction action)
{
  Service *service = g_hash_table_lookup (r->homes, target->id);
  mr_target_state_act (target, now, action, &target_ops, r);
  if (service && !g_queue_is_empty (&service->waiting))
    mr_relay_pump (r, now, service);
}

static MrTargetState *
S_add_target (MrRelay *r, MrTime now, const char *service, const MrTarget *target, MrTime cold_for)
{
  char key[64];
  g_snprintf (key, sizeof key, "%s:%d", target->ip, target->port);
  MrTargetState *state = mr_target_state_new (target, key);
  state->cold_until = now + cold_for;
  g_queue_init (&state->open);
  g_hash_table_insert (r->targets, state->id, state);
  Service *home = mr_relay_service (r, service);
  g_hash_table_insert (r->homes, state->id, home);
  g_ptr_array_add (home->targets, state);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_KNOWN, "target %s (%s) of %s in %s, slow for %d ms yet",
          state->id, key, service, state->domain, (int) (cold_for / MR_MS));
  return state;
}

void
mr_relay_target (MrRelay *r,
                 MrTime now,
                 const char *service,
                 const MrTarget *target,
                 gboolean leaving,
                 MrTime cold_for)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, target->id);
  if (!state)
    state = S_add_target (r, now, service, target, cold_for);
  if (leaving && state->health.state != MR_HEALTH_LEAVING)
    {
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: listed as leaving",
              state->id, state->key);
      mr_health_on_leaving (&state->health, now);
    }
  mr_relay_pump (r, now, g_hash_table_lookup (r->homes, state->id));
}

void
mr_relay_target_gone (MrRelay *r, MrTime now, const char *id)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, id);
  if (!state)
    return;
  Service *home = g_hash_table_lookup (r->homes, id);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: no longer listed",
          state->id, state->key);
  mr_health_on_leaving (&state->health, now);
  state->health.leaving_at = now;
  g_ptr_array_remove (home->targets, state);
  g_hash_table_remove (r->targets, state->id);
  r->host->renew (r->host, state);
  mr_relay_pump (r, now, home);
  g_hash_table_remove (r->homes, state->id);
  g_ptr_array_add (r->retired, state);
}

void
mr_relay_probe_end (MrRelay *r, MrTime now, const char *id, gboolean answered)
{
  MrTargetState *target = g_hash_table_lookup (r->targets, id);
  gboolean down = FALSE;
  if (target)
    mr_relay_act (r, now, target, mr_target_state_probed (target, now, answered, &down));
}

void
mr_relay_note_latency (Kind *kind, MrTargetState *target, MrTime latency)
{
  mr_target_state_add_latency (target, latency);
  mr_target_state_add_relative (target, latency, kind->usual);
  kind->mean += MEAN_WEIGHT * ((double) latency - kind->mean);
  mr_histogram_add (&kind->latency, latency);
  if (kind->latency.total >= SAMPLES_DECAY)
    mr_histogram_decay (&kind->latency);
  if (kind->latency.total % SAMPLES_READ == 0)
    mr_relay_measure (kind);
}

MrHealthAction
mr_relay_note_target (MrRelay *r, MrTime now, MrTargetState *target, MrCallOutcome outcome)
{
  mr_target_state_add_outcome (target, outcome != MR_CALL_ANSWER);
  switch (outcome)
    {
    case MR_CALL_ANSWER:
      mr_limit_on_success (&target->limit);
      return mr_health_on_answer (&target->health, now);
    case MR_CALL_SHED:
      target->shed++;
      mr_limit_on_shed (&target->limit, now);
      mr_health_on_word (&target->health, now);
      return MR_HEALTH_NOTHING;
    case MR_CALL_DRAINING:
    case MR_CALL_MISDIRECTED:
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: its answer was %s",
              target->id, target->key, mr_call_outcome_name (outcome));
      mr_health_on_leaving (&target->health, now);
      r->host->renew (r->host, target);
      return MR_HEALTH_NOTHING;
    case MR_CALL_ERROR:
      mr_health_on_failure (&target->health, now);
      return MR_HEALTH_NOTHING;
    case MR_CALL_NOT_CONNECTED:
    case MR_CALL_BROKEN:
      return mr_health_on_break (&target->health, now);
    case MR_CALL_NO_SNAPSHOT:
    case MR_CALL_CANCELLED:
    case MR_CALL_SILENT:
      return MR_HEALTH_NOTHING;
    }
  return MR_HEALTH_NOTHING;
}

static void
S_count_usable (const MrTargetState *target, void *user)
{
  guint *count = user;
  if (mr_health_usable (&target->health))
    (*count)++;
}

guint
mr_relay_usable_targets (const MrRelay *r)
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
