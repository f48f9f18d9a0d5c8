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
S_pool (MrRelay *r, const char *name)
{
  BudgetPool *pool = g_hash_table_lookup (r->pools, name);
  if (pool)
    return pool;
  pool = g_new0 (BudgetPool, 1);
  pool->terms = r->budget_config;
  pool->hedge_quantile = r->policy->hedge_quantile;
  g_hash_table_insert (r->pools, g_strdup (name), pool);
  return pool;
}

static void
S_service_free (gpointer data)
{
  TargetGroup *service = data;
  g_ptr_array_unref (service->targets);
  g_free (service->name);
  g_free (service);
}

MrRelay *
mr_relay_new (MrRelayHost *host, const MrRelayOptions *info)
{
  MrRelay *r = g_new0 (MrRelay, 1);
  r->host = host;
  r->policy = info->policy;
  r->domain = g_strdup (info->domain);
  r->regions = info->regions;
  r->budget_config = info->budget;
  r->cold_limit = info->cold_limit;
  r->random = g_rand_new_with_seed (info->seed);
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  r->route_stats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->splits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mr_relay_split_free);
  r->targets = g_hash_table_new (g_str_hash, g_str_equal);
  r->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  r->requests = g_hash_table_new (NULL, NULL);
  r->removed_targets = g_ptr_array_new_with_free_func ((GDestroyNotify) mr_target_state_free);
  r->suspect_contents =
      g_hash_table_new_full (mr_fingerprint_key_hash, mr_fingerprint_key_equal, NULL, g_free);
  r->recent_answers = mr_recent_answers_new ();
  r->crash_checks = g_ptr_array_new_with_free_func (g_free);
  r->unix_offset = info->unix_offset;
  r->timers = mr_timers_new ();
  return r;
}

void
mr_active_request_free (MrRelay *r, MrActiveRequest *work)
{
  mr_timers_set (r->timers, &work->timer, MR_NEVER);
  for (guint i = 0; i < work->part_count; i++)
    {
      if (work->answers[i])
        r->host->free_answer (work->answers[i]);
      if (work->parts[i].error_answer)
        r->host->free_answer (work->parts[i].error_answer);
    }
  mr_configuration_unref (work->configuration);
  g_array_unref (work->sends);
  g_free (work->parts);
  g_free (work->answers);
  g_free (work);
}

void
mr_relay_free (MrRelay *r)
{
  if (!r)
    return;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->requests);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    mr_active_request_free (r, item);
  g_hash_table_iter_init (&iter, r->calls);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    g_free (item);
  g_hash_table_iter_init (&iter, r->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    mr_target_state_free (item);
  g_hash_table_unref (r->requests);
  g_hash_table_unref (r->calls);
  g_hash_table_unref (r->targets);
  g_hash_table_unref (r->splits);
  g_hash_table_unref (r->route_stats);
  g_hash_table_unref (r->groups);
  g_hash_table_unref (r->pools);
  g_ptr_array_unref (r->removed_targets);
  g_clear_pointer (&r->evacuated, g_hash_table_unref);
  g_ptr_array_unref (r->crash_checks);
  g_hash_table_unref (r->suspect_contents);
  mr_recent_answers_free (r->recent_answers);
  mr_timers_free (r->timers);
  g_rand_free (r->random);
  g_free (r->domain);
  g_free (r);
}

void
mr_relay_set_shares (MrRelay *r, const MrRelayShares *shares)
{
  GHashTableIter iter;
  gpointer pool = NULL;
  r->shares = *shares;
  r->budget_config.share = shares->allowance;
  g_hash_table_iter_init (&iter, r->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    ((BudgetPool *) pool)->terms.share = shares->allowance;
}

static TargetGroup *
S_add_service (MrRelay *r, const char *name, const char *pool)
{
  TargetGroup *service = g_new0 (TargetGroup, 1);
  service->name = g_strdup (name);
  service->pool = S_pool (r, pool);
  service->targets = g_ptr_array_new ();
  service->limits_connection_share = LIMITS_UNSET;
  g_queue_init (&service->queue);
  g_hash_table_insert (r->groups, service->name, service);
  return service;
}

TargetGroup *
mr_relay_get_group (MrRelay *r, const char *name)
{
  TargetGroup *service = g_hash_table_lookup (r->groups, name);
  return service ? service : S_add_service (r, name, name);
}

void
mr_relay_add_group (MrRelay *r, const char *set, const char *pool)
{
  if (!g_hash_table_contains (r->groups, set))
    S_add_service (r, set, pool);
}

void
mr_relay_remove_group (MrRelay *r, const char *set)
{
  TargetGroup *service = g_hash_table_lookup (r->groups, set);
  if (!service)
    return;
  for (guint i = 0; i < service->targets->len; i++)
    g_ptr_array_remove_fast (((MrTargetState *) g_ptr_array_index (service->targets, i))->sets,
                             service);
  g_hash_table_remove (r->groups, set);
}

void
mr_relay_configure_pool (MrRelay *r, const char *name, double ratio, double hedge_quantile)
{
  BudgetPool *pool = S_pool (r, name);
  pool->terms.ratio = ratio;
  pool->hedge_quantile = hedge_quantile;
}

guint
mr_relay_queued_parts (const MrRelay *r, const char *name, guint rank)
{
  const BudgetPool *pool = g_hash_table_lookup (r->pools, name);
  guint sum = 0;
  for (guint i = 0; pool && i <= MIN (rank, MR_PRIORITIES - 1U); i++)
    sum += pool->queued[i];
  return sum;
}

double
mr_relay_mean_latency (const MrRelay *r, const char *name)
{
  const RouteStats *kind = g_hash_table_lookup (r->route_stats, name);
  return kind ? kind->mean : 0;
}

void
mr_relay_record_response_overhead (MrRelay *r, MrTime took)
{
  mr_response_overhead_add (&r->response_overhead, took);
}

MrTime
mr_relay_response_overhead (const MrRelay *r)
{
  return mr_response_overhead_estimate (&r->response_overhead);
}

gboolean
mr_relay_find_call (const MrRelay *r, guint64 id, MrRelayCall *out)
{
  const Call *call = g_hash_table_lookup (r->calls, &id);
  if (!call)
    return FALSE;
  const RequestPart *job = call->part;
  *out = (MrRelayCall){ .id = id, .target = call->target };
  if (job)
    {
      out->host_request = job->request->host_request;
      out->part_index = job->index;
      out->idempotent = job->request->route->idempotent;
    }
  return TRUE;
}

const MrRelayCounts *
mr_relay_counts (const MrRelay *r)
{
  return &r->counts;
}

guint
mr_relay_request_count (const MrRelay *r)
{
  return g_hash_table_size (r->requests);
}
