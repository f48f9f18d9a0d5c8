#include "relay_private.h"

const char *
mr_cause_name (MrCause cause)
{
  static const char *const names[] = {
    [MR_CAUSE_NONE] = "none",
    [MR_CAUSE_NO_TARGET] = "no-target",
    [MR_CAUSE_EVACUATED] = "evacuated",
    [MR_CAUSE_OVERLOAD] = "overload",
    [MR_CAUSE_ATTEMPTS] = "attempts",
    [MR_CAUSE_BUDGET] = "budget",
    [MR_CAUSE_BROKEN] = "broken",
    [MR_CAUSE_FEW_SHARDS] = "few-shards",
    [MR_CAUSE_TIME] = "time",
    [MR_CAUSE_SOFT_END] = "soft-end",
    [MR_CAUSE_QUARANTINED] = "quarantined",
    [MR_CAUSE_SUSPECT] = "suspect",
    [MR_CAUSE_STOPPING] = "stopping",
  };
  return names[cause];
}

const char *
mr_verdict_name (MrVerdict verdict)
{
  static const char *const names[] = {
    [MR_VERDICT_ANSWER] = "answer",   [MR_VERDICT_MERGE] = "merge",
    [MR_VERDICT_REFUSED] = "refused", [MR_VERDICT_FAILED] = "failed",
    [MR_VERDICT_TIMEOUT] = "timeout",
  };
  return names[verdict];
}

const char *
mr_send_reason_name (MrSendReason reason)
{
  static const char *const names[] = {
    [MR_SEND_FIRST] = "first",
    [MR_SEND_HEDGE] = "hedge",
    [MR_SEND_RETRY] = "retry",
  };
  return names[reason];
}

static BudgetPool *
S_get_pool (MrRelay *relay, const char *name)
{
  BudgetPool *pool = g_hash_table_lookup (relay->pools, name);
  if (pool)
    return pool;
  pool = g_new0 (BudgetPool, 1);
  pool->terms = relay->budget_config;
  pool->hedge_quantile = relay->policy->hedge_quantile;
  g_hash_table_insert (relay->pools, g_strdup (name), pool);
  return pool;
}

static void
S_group_free (gpointer data)
{
  TargetGroup *group = data;
  g_ptr_array_unref (group->targets);
  mr_fair_share_free (group->fair_share);
  mr_fair_queue_free (group->fair_queue);
  g_free (group->name);
  g_free (group);
}

MrRelay *
mr_relay_new (MrRelayHost *host, const MrRelayOptions *options)
{
  MrRelay *relay = g_new0 (MrRelay, 1);
  relay->host = host;
  relay->policy = options->policy;
  relay->domain = g_strdup (options->domain);
  relay->regions = options->regions;
  relay->budget_config = options->budget;
  relay->cold_limit = options->cold_limit;
  relay->random = g_rand_new_with_seed (options->seed);
  relay->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  relay->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_group_free);
  relay->route_stats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  relay->splits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mr_relay_split_free);
  relay->targets = g_hash_table_new (g_str_hash, g_str_equal);
  relay->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  relay->requests = g_hash_table_new (NULL, NULL);
  relay->removed_targets = g_ptr_array_new_with_free_func ((GDestroyNotify) mr_target_state_free);
  relay->suspect_contents =
      g_hash_table_new_full (mr_fingerprint_key_hash, mr_fingerprint_key_equal, NULL, g_free);
  relay->recent_answers = mr_recent_answers_new ();
  relay->crash_checks = g_ptr_array_new_with_free_func (g_free);
  relay->unix_offset = options->unix_offset;
  relay->timers = mr_timers_new ();
  relay->stop_at = MR_NEVER;
  return relay;
}

void
mr_active_request_free (MrRelay *relay, MrActiveRequest *request)
{
  mr_timers_set (relay->timers, &request->timer, MR_NEVER);
  for (guint i = 0; i < request->part_count; i++)
    {
      if (request->answers[i])
        relay->host->free_answer (request->answers[i]);
      if (request->parts[i].error_answer)
        relay->host->free_answer (request->parts[i].error_answer);
    }
  mr_configuration_unref (request->configuration);
  mr_fair_flow_unref (request->flow);
  g_array_unref (request->sends);
  g_free (request->parts);
  g_free (request->answers);
  g_free (request);
}

void
mr_relay_free (MrRelay *relay)
{
  if (!relay)
    return;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, relay->requests);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    mr_active_request_free (relay, item);
  g_hash_table_iter_init (&iter, relay->calls);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      mr_fair_flow_unref (((Call *) item)->flow);
      g_free (item);
    }
  g_hash_table_iter_init (&iter, relay->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    mr_target_state_free (item);
  g_hash_table_unref (relay->requests);
  g_hash_table_unref (relay->calls);
  g_hash_table_unref (relay->targets);
  g_hash_table_unref (relay->splits);
  g_hash_table_unref (relay->route_stats);
  g_hash_table_unref (relay->groups);
  g_hash_table_unref (relay->pools);
  g_ptr_array_unref (relay->removed_targets);
  g_clear_pointer (&relay->evacuated, g_hash_table_unref);
  g_ptr_array_unref (relay->crash_checks);
  g_hash_table_unref (relay->suspect_contents);
  mr_recent_answers_free (relay->recent_answers);
  mr_timers_free (relay->timers);
  g_rand_free (relay->random);
  g_free (relay->domain);
  g_free (relay);
}

void
mr_relay_set_shares (MrRelay *relay, const MrRelayShares *shares)
{
  GHashTableIter iter;
  gpointer pool = NULL;
  relay->shares = *shares;
  relay->budget_config.share = shares->allowance;
  g_hash_table_iter_init (&iter, relay->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    ((BudgetPool *) pool)->terms.share = shares->allowance;
}

static TargetGroup *
S_add_group (MrRelay *relay, const char *name, const char *pool)
{
  TargetGroup *group = g_new0 (TargetGroup, 1);
  group->name = g_strdup (name);
  group->pool = S_get_pool (relay, pool);
  group->shares = &relay->shares;
  group->targets = g_ptr_array_new ();
  group->limits_connection_share = LIMITS_UNSET;
  g_queue_init (&group->queue);
  g_hash_table_insert (relay->groups, group->name, group);
  return group;
}

TargetGroup *
mr_relay_get_group (MrRelay *relay, const char *name)
{
  TargetGroup *group = g_hash_table_lookup (relay->groups, name);
  return group ? group : S_add_group (relay, name, name);
}

void
mr_relay_add_group (MrRelay *relay, const char *name, const char *pool)
{
  if (!g_hash_table_contains (relay->groups, name))
    S_add_group (relay, name, pool);
}

void
mr_relay_remove_group (MrRelay *relay, const char *name)
{
  TargetGroup *group = g_hash_table_lookup (relay->groups, name);
  if (!group)
    return;
  for (guint i = 0; i < group->targets->len; i++)
    g_ptr_array_remove_fast (((MrTargetState *) g_ptr_array_index (group->targets, i))->groups,
                             group);
  g_hash_table_remove (relay->groups, name);
}

void
mr_relay_configure_pool (MrRelay *relay, const char *name, double ratio, double hedge_quantile)
{
  BudgetPool *pool = S_get_pool (relay, name);
  pool->terms.ratio = ratio;
  pool->hedge_quantile = hedge_quantile;
}

guint
mr_relay_queued_parts (const MrRelay *relay, const char *name, guint priority)
{
  const BudgetPool *pool = g_hash_table_lookup (relay->pools, name);
  guint sum = 0;
  for (guint i = 0; pool && i <= MIN (priority, MR_PRIORITIES - 1U); i++)
    sum += pool->queued[i];
  return sum;
}

double
mr_relay_mean_latency (const MrRelay *relay, const char *name)
{
  const RouteStats *stats = g_hash_table_lookup (relay->route_stats, name);
  return stats ? stats->mean : 0;
}

void
mr_relay_record_response_overhead (MrRelay *relay, MrTime took)
{
  mr_response_overhead_add (&relay->response_overhead, took);
}

MrTime
mr_relay_response_overhead (const MrRelay *relay)
{
  return mr_response_overhead_estimate (&relay->response_overhead);
}

gboolean
mr_relay_find_call (const MrRelay *relay, guint64 id, MrRelayCall *out)
{
  const Call *call = g_hash_table_lookup (relay->calls, &id);
  if (!call)
    return FALSE;
  const RequestPart *part = call->part;
  *out = (MrRelayCall){ .id = id, .target = call->target };
  if (part)
    {
      out->host_request = part->request->host_request;
      out->part_index = part->index;
      out->idempotent = part->request->route->idempotent;
    }
  return TRUE;
}

const MrRelayCounts *
mr_relay_counts (const MrRelay *relay)
{
  return &relay->counts;
}

guint
mr_relay_request_count (const MrRelay *relay)
{
  return g_hash_table_size (relay->requests);
}
