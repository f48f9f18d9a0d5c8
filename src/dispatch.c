#include "dispatch.h"

#include "layout.h"
#include "log.h"
#include "merge.h"
#include "safeguard.h"
#include "timers.h"

/* Share of the remaining time that the queue may take at admission.  Less for
 * lower classes, so that they are refused before a higher class suffers. */
static const double class_share[MR_TRAFFIC_CLASS_COUNT] = {
  [MR_TRAFFIC_CLASS_URGENT] = 0.9,
  [MR_TRAFFIC_CLASS_INTERACTIVE] = 0.4,
  [MR_TRAFFIC_CLASS_BROWSING] = 0.2,
};
/* A class waits as if it had come this much later: urgent calls overtake, but a
 * lower class that has waited longer than the lag goes first (aging). */
static const MrTime class_lag[MR_TRAFFIC_CLASS_COUNT] = {
  [MR_TRAFFIC_CLASS_URGENT] = 0,
  [MR_TRAFFIC_CLASS_INTERACTIVE] = 100 * MR_MS,
  [MR_TRAFFIC_CLASS_BROWSING] = 400 * MR_MS,
};

static const MrRelayPolicy batch_policy = {
  .max_sends_per_target = 1,
  .hedge_quantile = 0.95, /* until a batch brings its document's */
  .initial_hedge_fraction = 0.25,
  .min_hedge_delay = 2 * MR_MS,
  /* The document's bound is for hedges and retries together. */
  .hedge_budget_share = 1,
  .initial_mean_fraction = 0.01,
  .loaded_ratio = 0, /* owners share a target's slots exactly */
  /* Six times the 95 % quantile of a call whose time falls off exponentially. */
  .silence_timeout_factor = 18,
  .silence_timeout_min = 50 * MR_MS,
  .silence_timeout_max = 2 * MR_SECOND,
  .linger = MR_NEVER,
  .priority_delay = class_lag,
  .cross_domain_cost = 1, /* not used: an owner is chosen near its targets */
  .key_by_address = TRUE,
};

/* Hedges and retries beside the document's share, in each window: single failures of a
 * quiet service stay repairable, and a daemon that has just started can repair
 * the connections that it loses first (a lost target of 12 shards needs 12).  The
 * bound is for one daemon, so there is nothing to wait for after a start. */
static const MrResendBudgetConfig batch_budget = {
  .window = 10 * MR_SECOND,
  .allowance = 20,
  .share = 1,
  .margin = 1,
  .started_at = -10 * MR_SECOND,
};

typedef struct
{
  MrDispatch *dispatch;
  MrBatch *batch;
  MrLayout *layout;
  MrRoute route;
  MrRouteService *parts;
  MrActiveRequest *work;
  MrMerge *merge;
  MrTimer tell; /* next word to the root that this is worked on */
  gboolean order_done;
  GString *reply;
  const MrTargetState *last; /* whose call ended last */
} Work;

struct _MrDispatch
{
  MrRelayHost relay_host;
  MrDispatchHost *host;
  MrRelay *relay;
  MrLayouts *layouts;
  GHashTable *works; /* batch id -> Work */
  MrTimers *timers;
  guint64 content_key;
  MrDispatchCounts counts;
};

/* Works. */

static Work *
S_work_new (MrDispatch *d, MrTime now, MrBatch *batch)
{
  Work *work = g_new0 (Work, 1);
  MrLayout *layout = mr_layouts_get (d->layouts, now, batch->map);
  work->dispatch = d;
  work->batch = batch;
  work->layout = layout;
  work->merge = mr_merge_new (batch->map, MAX (batch->top_k, 1));
  work->tell.owner = work;
  work->parts = g_new0 (MrRouteService, MAX (batch->shard_count, 1));
  for (guint i = 0; i < batch->shard_count; i++)
    work->parts[i] =
        *mr_layout_shard_set (layout, batch->is_order ? MR_ALL_SHARDS : batch->shards[i]);
  work->route = (MrRoute){
    .name = batch->map->service,
    .kind = MR_ROUTE_BATCH,
    .idempotent = !batch->is_order,
    .attempt_limit = MR_REPLICAS_MAX,
    .priority = batch->traffic_class,
    .time_limit = batch->deadline - now,
    .latency_goal = batch->deadline - now,
    .service_count = batch->shard_count,
    .services = work->parts,
  };
  mr_layout_acquire (layout, &batch->policy);
  mr_relay_configure_pool (d->relay, batch->map->service, batch->policy.extra_call_ratio,
                           batch->policy.hedge_quantile);
  return work;
}

static void
S_work_free (gpointer data)
{
  Work *work = data;
  MrDispatch *d = work->dispatch;
  mr_timers_set (d->timers, &work->tell, MR_NEVER);
  mr_layout_release (work->layout);
  mr_batch_free (work->batch);
  mr_merge_free (work->merge);
  if (work->reply)
    g_string_free (work->reply, TRUE);
  g_free (work->parts);
  g_free (work);
}

/* Admission. */

/* Calls that the batch's targets take at once. */
static double
S_capacity (const Work *work)
{
  const MrBatch *batch = work->batch;
  const MrShardMap *map = batch->map;
  g_autoptr (GHashTable) seen = g_hash_table_new (NULL, NULL);
  double capacity = 0;
  for (guint i = 0; i < batch->shard_count; i++)
    {
      const MrShard *shard = &map->shards[batch->shards[i]];
      guint count = batch->is_order ? map->target_count : shard->replica_count;
      for (guint r = 0; r < count; r++)
        {
          guint index = batch->is_order ? r : shard->replicas[r];
          MrTargetState *target = mr_layout_target (work->layout, index);
          if (mr_target_state_usable (target) && g_hash_table_add (seen, target))
            capacity += mr_concurrency_limit_calls (&target->limit);
        }
    }
  return capacity;
}

/* Microseconds that the batch would wait for slots. */
static double
S_expected_wait (const Work *work)
{
  const MrBatch *batch = work->batch;
  const MrRelay *relay = work->dispatch->relay;
  const char *service = batch->map->service;
  double capacity = S_capacity (work);
  double ahead =
      batch->shard_count + (double) mr_relay_queued_parts (relay, service, batch->traffic_class);
  return capacity > 0 ? ahead * mr_relay_mean_latency (relay, service) / capacity : 0;
}

/* Refusing early is the only refusal that costs the targets nothing; a batch
 * that can't be back in time would take slots from those that can. */
static gboolean
S_admit (const Work *work, MrTime now)
{
  if (mr_relay_queued_parts (work->dispatch->relay, work->batch->map->service,
                             MR_TRAFFIC_CLASS_COUNT) == 0)
    return TRUE; /* nobody waits: the estimate has nothing to go on */
  double left = (double) (work->batch->deadline - now);
  return S_expected_wait (work) <= left * class_share[work->batch->traffic_class];
}

/* Ends. */

/* Index in the map of the target that held the batch up: the first replica of a
 * shard that is missing, else whoever answered last. */
static guint
S_blame (const Work *work)
{
  const MrBatch *batch = work->batch;
  for (guint i = 0; i < batch->shard_count && !batch->is_order; i++)
    if (!mr_merge_covers (work->merge, batch->shards[i]))
      return batch->map->shards[batch->shards[i]].replicas[0];
  for (guint i = 0; work->last && i < batch->map->target_count; i++)
    if (mr_layout_target (work->layout, i) == work->last)
      return i;
  return MR_NO_TARGET_INDEX;
}

/* Gives the batch's partial to the host, and frees @work.  @result is NULL if
 * nothing was begun. */
static void
S_finish (Work *work, MrPartialKind kind, const MrRelayResult *result)
{
  MrDispatch *d = work->dispatch;
  MrPartial *partial = mr_partial_new (work->batch->id, kind);
  partial->straggler = S_blame (work);
  partial->order_outcome = MR_ORDER_NOT_RUN;
  if (work->order_done)
    partial->order_outcome = MR_ORDER_DONE;
  else if (result && result->may_have_run)
    partial->order_outcome = MR_ORDER_UNKNOWN;
  if (kind == MR_PARTIAL_REFUSED)
    {
      d->counts.refused++;
      partial->retry_after_ms = MAX ((gint64) (S_expected_wait (work) / (double) MR_MS), 1);
    }
  for (guint i = 0; result && i < result->sends->len; i++)
    {
      partial->call_count++;
      if (g_array_index (result->sends, MrSendRecord, i).reason != MR_SEND_FIRST)
        partial->extra_calls++;
    }
  partial->order_reply = g_steal_pointer (&work->reply);
  mr_merge_move_into_partial (work->merge, partial);
  g_hash_table_remove (d->works, &partial->batch_id);
  d->host->deliver_partial (d->host, partial);
}

static void
S_on_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  (void) host;
  gboolean untouched = result->cause == MR_CAUSE_TIME && result->sends->len == 0;
  S_finish (request, untouched ? MR_PARTIAL_DEADLINE : MR_PARTIAL_ANSWER, result);
}

void
mr_dispatch_submit (MrDispatch *d, MrTime now, MrBatch *batch)
{
  Work *work = S_work_new (d, now, batch);
  g_hash_table_replace (d->works, &batch->id, work);
  if (batch->deadline <= now || batch->shard_count == 0)
    {
      S_finish (work, MR_PARTIAL_DEADLINE, NULL);
      return;
    }
  if (!S_admit (work, now))
    {
      S_finish (work, MR_PARTIAL_REFUSED, NULL);
      return;
    }
  /* An order's batch has no other root to tell, and its home would take any
   * partial for the end of it. */
  if (!batch->is_order)
    mr_timers_set (d->timers, &work->tell, now + MR_WORKING_GAP);
  guint64 id = batch->id;
  MrRelayRequestParams request = {
    .host_request = work,
    .route = &work->route,
    .deadline = batch->deadline,
    .fingerprint = mr_batch_fingerprint (batch->map->service, batch->is_order,
                                         mr_text_of (batch->payload), d->content_key),
  };
  MrActiveRequest *begun = mr_relay_submit (d->relay, now, &request);
  if (begun && g_hash_table_lookup (d->works, &id) == work)
    work->work = begun;
}

void
mr_dispatch_abandon_batch (MrDispatch *d, MrTime now, guint64 batch_id)
{
  Work *work = g_hash_table_lookup (d->works, &batch_id);
  if (!work)
    return;
  mr_relay_abandon_request (d->relay, now, work->work);
  g_hash_table_remove (d->works, &batch_id);
}

/* Calls. */

static void
S_on_call (MrRelayHost *host, const MrRelayCall *call)
{
  MrDispatch *d = (MrDispatch *) host;
  const Work *work = call->host_request;
  MrShardCall start = {
    .id = call->id,
    .target = call->target,
    .batch = work->batch,
    .shard = work->batch->shards[call->part_index],
  };
  d->host->start_call (d->host, &start);
}

static void
S_on_unwanted (MrRelayHost *host, guint64 id)
{
  MrDispatch *d = (MrDispatch *) host;
  d->counts.cancelled++;
  d->host->cancel_call (d->host, id);
}

static gboolean
S_holds (MrRelayHost *host, gpointer request, const MrTargetState *target, MrTime now)
{
  (void) host;
  const Work *work = request;
  return mr_target_state_has_snapshot (target, work->batch->map, now);
}

static void
S_on_probe (MrRelayHost *host, const MrTargetState *target)
{
  MrDispatchHost *owner = ((MrDispatch *) host)->host;
  owner->probe (owner, target);
}

static void
S_on_evidence (MrRelayHost *host, MrFingerprint content, const MrEvidence *evidence)
{
  MrDispatchHost *owner = ((MrDispatch *) host)->host;
  if (owner->publish_evidence)
    owner->publish_evidence (owner, content, evidence);
}

void
mr_dispatch_merge_evidence (MrDispatch *d,
                            MrTime now,
                            MrFingerprint content,
                            const MrEvidence *evidence)
{
  mr_relay_merge_evidence (d->relay, now, content, evidence);
}

static void
S_on_renew (MrRelayHost *host, const MrTargetState *target)
{
  MrDispatchHost *owner = ((MrDispatch *) host)->host;
  owner->reconnect (owner, target);
}

static gboolean
S_echo_matches (const Work *work, guint shard, const MrCallResult *end)
{
  const MrShardMap *map = work->batch->map;
  /* An answer that was delayed, doubled or crossed belongs to another request;
   * ids are never reused in an incarnation, so equality is enough. */
  if (end->echoed_id != end->id && MR_SAFEGUARD (MR_GUARD_REPLY_ID))
    return FALSE;
  if (work->batch->is_order)
    return TRUE;
  /* A target that moved on answers from another snapshot; merged, two versions
   * of a record could stand in one answer. */
  if (!mr_text_equal (end->echoed_snapshot, mr_text (map->snapshot)) &&
      MR_SAFEGUARD (MR_GUARD_SNAPSHOT))
    return FALSE;
  return mr_text_equal (end->echoed_shard, mr_text (map->shards[shard].name)) ||
         !MR_SAFEGUARD (MR_GUARD_REPLY_ID);
}

/* Takes over what a wanted call has brought; FALSE if it is not its answer. */
static gboolean
S_take_end (MrDispatch *d, MrTime now, const MrRelayCall *call, MrCallResult *end)
{
  Work *work = call->host_request;
  guint shard = work->batch->shards[call->part_index];
  work->last = call->target;
  if (end->outcome == MR_CALL_NO_SNAPSHOT)
    mr_target_state_set_snapshot_missing ((MrTargetState *) call->target, work->batch->map, now);
  if (end->outcome != MR_CALL_ANSWER)
    return TRUE;
  if (!S_echo_matches (work, shard, end))
    {
      d->counts.discarded++;
      end->outcome = work->batch->is_order ? MR_CALL_BROKEN : MR_CALL_ERROR;
      mr_log (MR_LOG_WARNING, MR_EVENT_REPLY_DISCARDED,
              "answer of target %s discarded: another id, snapshot or shard", call->target->id);
      return FALSE;
    }
  if (work->batch->is_order)
    {
      work->order_done = TRUE;
      work->reply = g_string_new_len (end->order_reply.data, (gssize) end->order_reply.len);
    }
  else
    mr_merge_add_shard (work->merge, shard, end->hits, end->hit_count);
  return TRUE;
}

gboolean
mr_dispatch_call_end (MrDispatch *d, MrTime now, MrCallResult *end)
{
  MrRelayCall call;
  if (!mr_relay_find_call (d->relay, end->id, &call))
    {
      d->counts.discarded++;
      return FALSE;
    }
  gboolean matches = call.host_request ? S_take_end (d, now, &call, end) : TRUE;
  if (end->outcome == MR_CALL_SHED)
    d->counts.shed++;
  mr_relay_call_end (d->relay, now, end->id, end->outcome, NULL);
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

MrTime
mr_dispatch_tick (MrDispatch *d, MrTime now)
{
  mr_layouts_remove_unused (d->layouts);
  MrTime next = mr_relay_tick (d->relay, now);
  for (MrTimer *timer = mr_timers_pop (d->timers, now); timer;
       timer = mr_timers_pop (d->timers, now))
    {
      const Work *work = timer->owner;
      mr_timers_set (d->timers, timer, now + MR_WORKING_GAP);
      d->host->deliver_partial (d->host, mr_partial_new (work->batch->id, MR_PARTIAL_IN_PROGRESS));
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
    .send_call = S_on_call,
    .call_abandoned = S_on_unwanted,
    .can_serve = S_holds,
    .probe = S_on_probe,
    .reconnect = S_on_renew,
    .publish_evidence = S_on_evidence,
    .request_done = S_on_done,
  };
  d->host = host;
  d->content_key = info->content_key;
  d->relay = mr_relay_new (&d->relay_host, &relay);
  d->layouts = mr_layouts_new (d->relay);
  d->works = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_work_free);
  d->timers = mr_timers_new ();
  return d;
}

void
mr_dispatch_free (MrDispatch *d)
{
  if (!d)
    return;
  g_hash_table_unref (d->works);
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
  return g_hash_table_size (d->works);
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
