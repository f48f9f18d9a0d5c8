#include "dispatch.h"

#include "layout.h"
#include "log.h"
#include "merge.h"
#include "safeguard.h"
#include "timers.h"

/* Largest expected queueing time at which a batch is admitted, as a share of the time until its
 * deadline.  It is smaller for lower classes, so that they are refused before a higher class is
 * affected. */
static const double class_wait_share[MR_TRAFFIC_CLASS_COUNT] = {
  [MR_TRAFFIC_CLASS_URGENT] = 0.9,
  [MR_TRAFFIC_CLASS_INTERACTIVE] = 0.4,
  [MR_TRAFFIC_CLASS_BROWSING] = 0.2,
};
/* Delay that is added to the arrival time of a call in the queue order: urgent calls overtake
 * others, but a call of a lower class that has waited for longer than its delay goes first (aging).
 */
static const MrTime class_delay[MR_TRAFFIC_CLASS_COUNT] = {
  [MR_TRAFFIC_CLASS_URGENT] = 0,
  [MR_TRAFFIC_CLASS_INTERACTIVE] = 100 * MR_MS,
  [MR_TRAFFIC_CLASS_BROWSING] = 400 * MR_MS,
};

static const MrRelayPolicy batch_policy = {
  .max_sends_per_target = 1,
  .hedge_quantile = 0.95, /* until a batch brings the value of its document */
  .initial_hedge_fraction = 0.25,
  .min_hedge_delay = 2 * MR_MS,
  /* The limit in the document covers hedges and retries together. */
  .hedge_budget_share = 1,
  .initial_mean_fraction = 0.01,
  .loaded_ratio = 0, /* not needed: each owner has a fixed share of a target's slots */
  /* Six times the 95 % quantile of exponentially distributed latencies, which is 3 times the mean.
   */
  .silence_timeout_factor = 18,
  .silence_timeout_min = 50 * MR_MS,
  .silence_timeout_max = 2 * MR_SECOND,
  .linger = MR_NEVER,
  .priority_delay = class_delay,
  .cross_domain_cost = 1, /* no effect: owners are chosen in the failure domain of their targets */
  .key_by_address = TRUE,
  .wide_service_min = MR_WIDE_SERVICE_TARGETS_MIN,
};

/* Hedges and retries that are allowed per window in addition to the share set in the document. They
 * allow a service with little traffic to retry single failures, and a daemon that has just started
 * to retry the calls of its first broken connections: if a target of 12 shards is lost, 12 retries
 * are needed.  The budget belongs to one daemon, so the allowance is available in full right after
 * the start. */
static const MrResendBudgetConfig batch_budget = {
  .window = 10 * MR_SECOND,
  .allowance = 20,
  .share = 1,
  .margin = 1,
  .started_at = -10 * MR_SECOND,
};

/* A batch that is being executed. */
typedef struct
{
  MrDispatch *dispatch;
  MrBatch *batch;
  MrLayout *layout;
  MrRoute route;
  MrRouteService *services;
  MrActiveRequest *active_request;
  MrMerge *merge;
  MrTimer progress_timer; /* next progress report to the root */
  gboolean order_executed;
  GString *order_reply;
  const MrTargetState *last_target; /* of the call that ended last */
} ActiveBatch;

struct _MrDispatch
{
  MrRelayHost relay_host;
  MrDispatchHost *host;
  MrRelay *relay;
  MrLayouts *layouts;
  GHashTable *active_batches; /* batch id -> ActiveBatch */
  MrTimers *timers;
  guint64 content_key;
  MrDispatchCounts counts;
};

/* Active batches. */

static ActiveBatch *
S_active_batch_new (MrDispatch *d, MrTime now, MrBatch *batch)
{
  ActiveBatch *active = g_new0 (ActiveBatch, 1);
  MrLayout *layout = mr_layouts_get (d->layouts, now, batch->map);
  active->dispatch = d;
  active->batch = batch;
  active->layout = layout;
  active->merge = mr_merge_new (batch->map, MAX (batch->top_k, 1));
  active->progress_timer.owner = active;
  active->services = g_new0 (MrRouteService, MAX (batch->shard_count, 1));
  for (guint i = 0; i < batch->shard_count; i++)
    active->services[i] =
        *mr_layout_shard_set (layout, batch->is_order ? MR_ALL_SHARDS : batch->shards[i]);
  active->route = (MrRoute){
    .name = batch->map->service,
    .kind = MR_ROUTE_BATCH,
    .idempotent = !batch->is_order,
    .attempt_limit = MR_REPLICAS_MAX,
    .priority = batch->traffic_class,
    .time_limit = batch->deadline - now,
    .latency_goal = batch->deadline - now,
    .service_count = batch->shard_count,
    .services = active->services,
  };
  mr_layout_acquire (layout, &batch->policy);
  mr_relay_configure_pool (d->relay, batch->map->service, batch->policy.extra_call_ratio,
                           batch->policy.hedge_quantile);
  return active;
}

static void
S_active_batch_free (gpointer data)
{
  ActiveBatch *active = data;
  MrDispatch *d = active->dispatch;
  mr_timers_set (d->timers, &active->progress_timer, MR_NEVER);
  mr_layout_release (active->layout);
  mr_batch_free (active->batch);
  mr_merge_free (active->merge);
  if (active->order_reply)
    g_string_free (active->order_reply, TRUE);
  g_free (active->services);
  g_free (active);
}

/* Admission. */

/* Number of concurrent calls that the usable targets of the batch accept. */
static double
S_concurrent_capacity (const ActiveBatch *active)
{
  const MrBatch *batch = active->batch;
  const MrShardMap *map = batch->map;
  g_autoptr (GHashTable) counted = g_hash_table_new (NULL, NULL);
  double capacity = 0;
  for (guint i = 0; i < batch->shard_count; i++)
    {
      const MrShard *shard = &map->shards[batch->shards[i]];
      guint count = batch->is_order ? map->target_count : shard->replica_count;
      for (guint r = 0; r < count; r++)
        {
          guint index = batch->is_order ? r : shard->replicas[r];
          MrTargetState *target = mr_layout_target (active->layout, index);
          if (mr_target_state_usable (target) && g_hash_table_add (counted, target))
            capacity += mr_concurrency_limit_calls (&target->limit);
        }
    }
  return capacity;
}

/* Expected time in microseconds until all calls of the batch have got a slot. */
static double
S_expected_wait (const ActiveBatch *active)
{
  const MrBatch *batch = active->batch;
  const MrRelay *relay = active->dispatch->relay;
  const char *service = batch->map->service;
  double capacity = S_concurrent_capacity (active);
  double calls_ahead =
      batch->shard_count + (double) mr_relay_queued_parts (relay, service, batch->traffic_class);
  return capacity > 0 ? calls_ahead * mr_relay_mean_latency (relay, service) / capacity : 0;
}

/* A refusal at admission costs the targets nothing.  A batch that cannot finish in time would take
 * slots from batches that can. */
static gboolean
S_admit (const ActiveBatch *active, MrTime now)
{
  if (mr_relay_queued_parts (active->dispatch->relay, active->batch->map->service,
                             MR_TRAFFIC_CLASS_COUNT) == 0)
    return TRUE; /* the queue is empty: the estimate has no basis */
  double remaining = (double) (active->batch->deadline - now);
  return S_expected_wait (active) <= remaining * class_wait_share[active->batch->traffic_class];
}

/* End of a batch. */

/* Map index of the target that delayed the batch: the first replica of the first missing shard, or
 * else the target whose call ended last. */
static guint
S_find_straggler (const ActiveBatch *active)
{
  const MrBatch *batch = active->batch;
  for (guint i = 0; i < batch->shard_count && !batch->is_order; i++)
    if (!mr_merge_covers (active->merge, batch->shards[i]))
      return batch->map->shards[batch->shards[i]].replicas[0];
  for (guint i = 0; active->last_target && i < batch->map->target_count; i++)
    if (mr_layout_target (active->layout, i) == active->last_target)
      return i;
  return MR_NO_TARGET_INDEX;
}

/* Passes the partial of the batch to the host and frees @active.  @result is NULL if the batch was
 * not submitted to the relay. */
static void
S_finish (ActiveBatch *active, MrPartialKind kind, const MrRelayResult *result)
{
  MrDispatch *d = active->dispatch;
  MrPartial *partial = mr_partial_new (active->batch->id, kind);
  partial->straggler = S_find_straggler (active);
  partial->order_outcome = MR_ORDER_NOT_RUN;
  if (active->order_executed)
    partial->order_outcome = MR_ORDER_DONE;
  else if (result && result->may_have_run)
    partial->order_outcome = MR_ORDER_UNKNOWN;
  if (kind == MR_PARTIAL_REFUSED)
    {
      d->counts.refused++;
      partial->retry_after_ms = MAX ((gint64) (S_expected_wait (active) / (double) MR_MS), 1);
    }
  for (guint i = 0; result && i < result->sends->len; i++)
    {
      partial->call_count++;
      if (g_array_index (result->sends, MrSendRecord, i).reason != MR_SEND_FIRST)
        partial->extra_calls++;
    }
  partial->order_reply = g_steal_pointer (&active->order_reply);
  mr_merge_move_into_partial (active->merge, partial);
  g_hash_table_remove (d->active_batches, &partial->batch_id);
  d->host->deliver_partial (d->host, partial);
}

static void
S_on_request_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  (void) host;
  MrPartialKind kind = MR_PARTIAL_ANSWER;
  if (result->sends->len == 0 && result->cause == MR_CAUSE_TIME)
    kind = MR_PARTIAL_DEADLINE;
  else if (result->sends->len == 0 && result->cause == MR_CAUSE_STOPPING)
    kind = MR_PARTIAL_NO_MAP;
  S_finish (request, kind, result);
}

void
mr_dispatch_submit (MrDispatch *d, MrTime now, MrBatch *batch)
{
  ActiveBatch *active = S_active_batch_new (d, now, batch);
  g_hash_table_replace (d->active_batches, &batch->id, active);
  if (batch->deadline <= now || batch->shard_count == 0)
    {
      S_finish (active, MR_PARTIAL_DEADLINE, NULL);
      return;
    }
  if (!S_admit (active, now))
    {
      S_finish (active, MR_PARTIAL_REFUSED, NULL);
      return;
    }
  /* No progress reports for orders: the handler of an order treats any partial as its end. */
  if (!batch->is_order)
    mr_timers_set (d->timers, &active->progress_timer, now + MR_PROGRESS_INTERVAL);
  guint64 id = batch->id;
  MrRelayRequestParams request = {
    .host_request = active,
    .route = &active->route,
    .deadline = batch->deadline,
    .fingerprint = mr_batch_fingerprint (batch->map->service, batch->is_order,
                                         mr_text_of (batch->payload), d->content_key),
  };
  MrActiveRequest *active_request = mr_relay_submit (d->relay, now, &request);
  if (active_request && g_hash_table_lookup (d->active_batches, &id) == active)
    active->active_request = active_request;
}

void
mr_dispatch_abandon_batch (MrDispatch *d, MrTime now, guint64 batch_id)
{
  ActiveBatch *active = g_hash_table_lookup (d->active_batches, &batch_id);
  if (!active)
    return;
  mr_relay_abandon_request (d->relay, now, active->active_request);
  g_hash_table_remove (d->active_batches, &batch_id);
}

/* Calls. */

static void
S_send_call (MrRelayHost *host, const MrRelayCall *call)
{
  MrDispatch *d = (MrDispatch *) host;
  const ActiveBatch *active = call->host_request;
  MrShardCall start = {
    .id = call->id,
    .target = call->target,
    .batch = active->batch,
    .shard = active->batch->shards[call->part_index],
  };
  d->host->start_call (d->host, &start);
}

static void
S_on_call_abandoned (MrRelayHost *host, guint64 id)
{
  MrDispatch *d = (MrDispatch *) host;
  d->counts.cancelled++;
  d->host->cancel_call (d->host, id);
}

static gboolean
S_can_serve (MrRelayHost *host, gpointer request, const MrTargetState *target, MrTime now)
{
  (void) host;
  const ActiveBatch *active = request;
  return mr_target_state_has_snapshot (target, active->batch->map, now);
}

static void
S_probe (MrRelayHost *host, const MrTargetState *target)
{
  MrDispatchHost *dispatch_host = ((MrDispatch *) host)->host;
  dispatch_host->probe (dispatch_host, target);
}

static void
S_publish_evidence (MrRelayHost *host, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  MrDispatchHost *dispatch_host = ((MrDispatch *) host)->host;
  if (dispatch_host->publish_evidence)
    dispatch_host->publish_evidence (dispatch_host, fingerprint, evidence);
}

void
mr_dispatch_merge_evidence (MrDispatch *d,
                            MrTime now,
                            MrFingerprint fingerprint,
                            const MrEvidence *evidence)
{
  mr_relay_merge_evidence (d->relay, now, fingerprint, evidence);
}

static void
S_reconnect (MrRelayHost *host, const MrTargetState *target)
{
  MrDispatchHost *dispatch_host = ((MrDispatch *) host)->host;
  dispatch_host->reconnect (dispatch_host, target);
}

static gboolean
S_echo_matches (const ActiveBatch *active, guint shard, const MrCallResult *result)
{
  const MrShardMap *map = active->batch->map;
  /* A delayed, duplicated or misrouted answer belongs to another request.  Call ids are never
   * reused within an incarnation, so comparing them for equality is sufficient. */
  if (result->echoed_id != result->id && MR_SAFEGUARD (MR_GUARD_REPLY_ID))
    return FALSE;
  if (active->batch->is_order)
    return TRUE;
  /* A target that has switched to another snapshot answers from that one.  Merging it could put two
   * versions of a record into one answer. */
  if (!mr_text_equal (result->echoed_snapshot, mr_text (map->snapshot)) &&
      MR_SAFEGUARD (MR_GUARD_SNAPSHOT))
    return FALSE;
  return mr_text_equal (result->echoed_shard, mr_text (map->shards[shard].name)) ||
         !MR_SAFEGUARD (MR_GUARD_REPLY_ID);
}

/* Processes the result of a call that is still needed.  Returns FALSE if the answer belongs to
 * another call. */
static gboolean
S_process_result (MrDispatch *d, MrTime now, const MrRelayCall *call, MrCallResult *result)
{
  ActiveBatch *active = call->host_request;
  guint shard = active->batch->shards[call->part_index];
  active->last_target = call->target;
  if (result->outcome == MR_CALL_NO_SNAPSHOT)
    mr_target_state_set_snapshot_missing ((MrTargetState *) call->target, active->batch->map, now);
  if (result->outcome != MR_CALL_ANSWER)
    return TRUE;
  if (!S_echo_matches (active, shard, result))
    {
      d->counts.discarded++;
      result->outcome = active->batch->is_order ? MR_CALL_BROKEN : MR_CALL_ERROR;
      mr_log (MR_LOG_WARNING, MR_EVENT_REPLY_DISCARDED,
              "discarding answer of target %s: call id, snapshot or shard does not match",
              call->target->id);
      return FALSE;
    }
  if (active->batch->is_order)
    {
      active->order_executed = TRUE;
      active->order_reply =
          g_string_new_len (result->order_reply.data, (gssize) result->order_reply.len);
    }
  else
    mr_merge_add_shard (active->merge, shard, result->hits, result->hit_count);
  return TRUE;
}

gboolean
mr_dispatch_call_end (MrDispatch *d, MrTime now, MrCallResult *result)
{
  MrRelayCall call;
  if (!mr_relay_find_call (d->relay, result->id, &call))
    {
      d->counts.discarded++;
      return FALSE;
    }
  gboolean matches = call.host_request ? S_process_result (d, now, &call, result) : TRUE;
  if (result->outcome == MR_CALL_SHED)
    d->counts.shed++;
  mr_relay_call_end (d->relay, now, result->id, result->outcome, NULL);
  return matches;
}

void
mr_dispatch_probe_end (MrDispatch *d, MrTime now, const char *key, bool answered)
{
  mr_relay_probe_end (d->relay, now, key, answered);
}

void
mr_dispatch_set_evacuated (MrDispatch *d, MrTime now, GHashTable *domains)
{
  mr_relay_set_evacuated (d->relay, now, domains);
}

void
mr_dispatch_set_target_leaving (MrDispatch *d, MrTime now, const char *key, bool leaving)
{
  mr_layouts_set_leaving (d->layouts, key, leaving);
  mr_relay_set_target_leaving (d->relay, now, key, leaving);
}

void
mr_dispatch_set_stop_time (MrDispatch *d, MrTime at)
{
  mr_relay_set_stop_time (d->relay, at);
}

MrTime
mr_dispatch_tick (MrDispatch *d, MrTime now)
{
  mr_layouts_remove_unused (d->layouts);
  MrTime next = mr_relay_tick (d->relay, now);
  for (MrTimer *timer = mr_timers_pop (d->timers, now); timer;
       timer = mr_timers_pop (d->timers, now))
    {
      const ActiveBatch *active = timer->owner;
      mr_timers_set (d->timers, timer, now + MR_PROGRESS_INTERVAL);
      d->host->deliver_partial (d->host,
                                mr_partial_new (active->batch->id, MR_PARTIAL_IN_PROGRESS));
    }
  return MIN (next, mr_timers_next_due (d->timers));
}

MrDispatch *
mr_dispatch_new (MrDispatchHost *host, const MrDispatchInfo *info)
{
  MrDispatch *d = g_new0 (MrDispatch, 1);
  MrRelayOptions relay = {
    .policy = &batch_policy,
    .budget = batch_budget,
    .seed = info->seed,
    .unix_offset = info->unix_offset,
  };
  d->relay_host = (MrRelayHost){
    .send_call = S_send_call,
    .call_abandoned = S_on_call_abandoned,
    .can_serve = S_can_serve,
    .probe = S_probe,
    .reconnect = S_reconnect,
    .publish_evidence = S_publish_evidence,
    .request_done = S_on_request_done,
  };
  d->host = host;
  d->content_key = info->content_key;
  d->relay = mr_relay_new (&d->relay_host, &relay);
  d->layouts = mr_layouts_new (d->relay);
  d->active_batches =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_active_batch_free);
  d->timers = mr_timers_new ();
  return d;
}

void
mr_dispatch_free (MrDispatch *d)
{
  if (!d)
    return;
  g_hash_table_unref (d->active_batches);
  mr_layouts_free (d->layouts);
  mr_relay_free (d->relay);
  mr_timers_free (d->timers);
  g_free (d);
}

const MrDispatchCounts *
mr_dispatch_counts (MrDispatch *d)
{
  const MrRelayCounts *counts = mr_relay_counts (d->relay);
  d->counts.calls = counts->calls;
  d->counts.hedges = counts->hedges;
  d->counts.retries = counts->retries;
  d->counts.expired = counts->expired;
  d->counts.silent = counts->silent;
  return &d->counts;
}

guint
mr_dispatch_batch_count (const MrDispatch *d)
{
  return g_hash_table_size (d->active_batches);
}

guint
mr_dispatch_map_count (const MrDispatch *d)
{
  return mr_layouts_count (d->layouts);
}

void
mr_dispatch_foreach_target (const MrDispatch *d,
                            void (*visit) (const MrTargetState *target, void *user),
                            void *user)
{
  mr_relay_foreach_target (d->relay, visit, user);
}
