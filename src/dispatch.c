#include "dispatch_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  SAMPLES_DECAY = 2000,
};

/* Share of the remaining time that the queue may take at admission.  Less for
 * lower classes, so that they are refused before a higher class suffers. */
static const double class_share[MR_CLASS_COUNT] = {
  [MR_CLASS_URGENT] = 0.9,
  [MR_CLASS_INTERACTIVE] = 0.4,
  [MR_CLASS_BROWSING] = 0.2,
};
static const double SERVICE_TIME_WEIGHT = 0.05;
static const double SERVICE_TIME_FIRST = 2000; /* us */

static void
S_work_free (gpointer data)
{
  Work *work = data;
  mr_batch_free (work->batch);
  mr_merge_free (work->merge);
  if (work->reply)
    g_string_free (work->reply, TRUE);
  g_free (work->jobs);
  g_free (work);
}

MrDispatch *
mr_dispatch_new (MrDispatchHost *host, guint32 seed)
{
  MrDispatch *d = g_new0 (MrDispatch, 1);
  d->host = host;
  d->targets =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) mr_target_state_free);
  d->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  d->works = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_work_free);
  d->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->random = g_rand_new_with_seed (seed);
  return d;
}

void
mr_dispatch_free (MrDispatch *d)
{
  if (!d)
    return;
  g_hash_table_unref (d->works);
  g_hash_table_unref (d->leaving);
  g_hash_table_unref (d->calls);
  g_hash_table_unref (d->services);
  g_hash_table_unref (d->targets);
  g_rand_free (d->random);
  g_free (d);
}

static Service *
S_service (MrDispatch *d, const char *name)
{
  Service *service = g_hash_table_lookup (d->services, name);
  if (service)
    return service;
  service = g_new0 (Service, 1);
  service->mean = SERVICE_TIME_FIRST;
  mr_budget_init (&service->budget);
  g_hash_table_insert (d->services, g_strdup (name), service);
  return service;
}

/* The target's state, made on first sight, with our share of its slots. */
static MrTargetState *
S_target (MrDispatch *d, MrTime now, const MrTarget *target, const MrPolicy *policy)
{
  char key[64];
  g_snprintf (key, sizeof key, "%s:%d", target->ip, target->port);
  MrTargetState *state = g_hash_table_lookup (d->targets, key);
  if (!state)
    {
      state = mr_target_state_new (target, key);
      g_hash_table_insert (d->targets, state->key, state);
      if (g_hash_table_contains (d->leaving, key))
        mr_health_on_leaving (&state->health, now);
    }
  guint slots = target->slots;
  if (policy->target_limit > 0)
    slots = MIN (slots, policy->target_limit);
  mr_limit_set_most (&state->limit, (double) slots / MAX (policy->owners, 1));
  return state;
}

/* Admission. */

/* Microseconds that a batch of @cls would wait for slots. */
static double
S_expected_wait (const Work *work)
{
  const Service *service = work->service;
  double ahead = work->batch->shard_count;
  for (guint i = 0; i <= (guint) work->batch->traffic_class; i++)
    ahead += service->waiting[i];
  double capacity = 0;
  GHashTable *seen = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < work->open; i++)
    for (guint r = 0; r < work->jobs[i].replica_count; r++)
      {
        MrTargetState *target = work->jobs[i].replicas[r];
        if (mr_health_usable (&target->health) && g_hash_table_add (seen, target))
          capacity += mr_limit_calls (&target->limit);
      }
  g_hash_table_unref (seen);
  return capacity > 0 ? ahead * service->mean / capacity : 0;
}

/* Refusing early is the only refusal that costs the targets nothing; a batch
 * that can't be back in time would take slots from those that can. */
static gboolean
S_admit (const Work *work, MrTime now)
{
  if (mr_dispatch_service_waiting (work->service) == 0)
    return TRUE; /* nobody waits: the estimate has nothing to go on */
  double left = (double) (work->batch->deadline - now);
  return S_expected_wait (work) <= left * class_share[work->batch->traffic_class];
}

/* Any target of the service can take an order; the job's "shard" is the index
 * of the first one to try. */
static void
S_fill_order (MrDispatch *d, MrTime now, Job *job)
{
  const MrBatch *batch = job->work->batch;
  const MrShardMap *map = batch->map;
  job->replica_count = MIN (map->target_count, (guint) MR_REPLICAS_MAX);
  for (guint r = 0; r < job->replica_count; r++)
    {
      const MrTarget *target = &map->targets[(job->shard + r) % map->target_count];
      job->replicas[r] = S_target (d, now, target, &batch->policy);
    }
}

static void
S_fill_jobs (MrDispatch *d, MrTime now, Work *work)
{
  const MrBatch *batch = work->batch;
  for (guint i = 0; i < batch->shard_count; i++)
    {
      Job *job = &work->jobs[i];
      job->work = work;
      job->shard = batch->shards[i];
      if (batch->order)
        {
          S_fill_order (d, now, job);
          continue;
        }
      const MrShard *shard = &batch->map->shards[batch->shards[i]];
      job->replica_count = shard->replica_count;
      for (guint r = 0; r < shard->replica_count; r++)
        job->replicas[r] =
            S_target (d, now, &batch->map->targets[shard->replicas[r]], &batch->policy);
    }
}

void
mr_dispatch_submit (MrDispatch *d, MrTime now, MrBatch *batch)
{
  Work *work = g_new0 (Work, 1);
  work->batch = batch;
  work->service = S_service (d, batch->map->service);
  work->merge = mr_merge_new (batch->map, MAX (batch->top_k, 1));
  work->arrived = now;
  work->check_at = MR_NEVER;
  work->tell_at = now + MR_WORKING_GAP;
  work->open = batch->shard_count;
  work->jobs = g_new0 (Job, MAX (batch->shard_count, 1));
  work->outcome = MR_ORDER_NOT_RUN;
  g_hash_table_replace (d->works, &batch->id, work);
  S_fill_jobs (d, now, work);

  if (batch->deadline <= now || batch->shard_count == 0)
    {
      mr_dispatch_finish (d, now, work, MR_PARTIAL_DEADLINE);
      return;
    }
  if (!S_admit (work, now))
    {
      mr_dispatch_finish (d, now, work, MR_PARTIAL_REFUSED);
      return;
    }
  mr_budget_earn (&work->service->budget, batch->policy.extra_calls, batch->shard_count);
  guint64 id = batch->id;
  guint count = batch->shard_count;
  for (guint i = 0; i < count; i++)
    {
      mr_dispatch_place (d, now, &work->jobs[i]);
      /* Placing the last job can finish the batch. */
      if (!g_hash_table_contains (d->works, &id))
        return;
    }
}

/* Ends. */

/* The target that held the batch up: the first replica of a shard that is
 * missing, else whoever answered last. */
static const MrTargetState *
S_find_blame (const Work *work)
{
  for (guint i = 0; i < work->batch->shard_count && !work->batch->order; i++)
    if (!mr_merge_covers (work->merge, work->jobs[i].shard))
      return work->jobs[i].replicas[0];
  return work->blame;
}

/* Its index in the map. */
static guint
S_blame (const Work *work)
{
  const MrTargetState *blame = S_find_blame (work);
  const MrShardMap *map = work->batch->map;
  for (guint i = 0; blame && i < map->target_count; i++)
    if (g_str_equal (map->targets[i].id, blame->id))
      return i;
  return MR_NO_TARGET_INDEX;
}

static gint64
S_retry_after_ms (const Work *work)
{
  return MAX ((gint64) (S_expected_wait (work) / (double) MR_MS), 1);
}

void
mr_dispatch_finish (MrDispatch *d, MrTime now, Work *work, MrPartialKind kind)
{
  if (work->finished)
    return;
  work->finished = TRUE;
  MrPartial *partial = mr_partial_new (work->batch->id, kind);
  partial->blame = S_blame (work);
  if (kind == MR_PARTIAL_REFUSED)
    {
      d->counts.refused++;
      partial->retry_after_ms = S_retry_after_ms (work);
    }
  for (guint i = 0; i < work->batch->shard_count; i++)
    {
      Job *job = &work->jobs[i];
      job->ended = TRUE;
      mr_dispatch_unlink_job (job);
      mr_dispatch_drop_calls (d, now, job);
    }
  partial->calls = work->calls;
  partial->extra = work->extra;
  partial->outcome = work->outcome;
  partial->reply = work->reply;
  work->reply = NULL;
  mr_merge_take (work->merge, partial);
  g_hash_table_remove (d->works, &partial->batch_id);
  d->host->done (d->host, partial);
}

void
mr_dispatch_forget (MrDispatch *d, MrTime now, guint64 batch_id)
{
  Work *work = g_hash_table_lookup (d->works, &batch_id);
  if (!work)
    return;
  work->finished = TRUE;
  for (guint i = 0; i < work->batch->shard_count; i++)
    {
      mr_dispatch_unlink_job (&work->jobs[i]);
      mr_dispatch_drop_calls (d, now, &work->jobs[i]);
    }
  g_hash_table_remove (d->works, &batch_id);
}

/* Orders: what an ended call says of the request having run.  Only an outcome
 * that proves that it did not run lets it go to another target; everything else
 * ends it, since sending again could run it twice. */
static void
S_end_order_call (MrDispatch *d, MrTime now, Job *job, const MrCallEnd *end)
{
  Work *work = job->work;
  switch (end->outcome)
    {
    case MR_CALL_ANSWER:
      work->outcome = MR_ORDER_DONE;
      work->reply = g_string_new_len (end->order_reply.data, (gssize) end->order_reply.len);
      mr_dispatch_end_job (d, now, job);
      return;
    case MR_CALL_SHED:
    case MR_CALL_DRAINING:
    case MR_CALL_MISDIRECTED:
    case MR_CALL_NOT_CONNECTED:
      mr_dispatch_place (d, now, job);
      return;
    case MR_CALL_NO_SNAPSHOT:
    case MR_CALL_BROKEN:
    case MR_CALL_ERROR:
    case MR_CALL_CANCELLED:
    case MR_CALL_SILENT:
      /* A broken connection after the first byte left says nothing: the target
       * may have run the order and lost only the answer. */
      if (!MR_SAFEGUARD (MR_GUARD_NOT_RUN))
        {
          mr_dispatch_place (d, now, job);
          return;
        }
      work->outcome = MR_ORDER_UNKNOWN;
      mr_dispatch_end_job (d, now, job);
      return;
    }
}

static gboolean
S_echo_matches (const Call *call, const MrCallEnd *end)
{
  const Job *job = call->job;
  const MrShardMap *map = job->work->batch->map;
  /* An answer that was delayed, doubled or crossed belongs to another request;
   * ids are never reused in an incarnation, so equality is enough. */
  if (end->echoed_id != call->id && MR_SAFEGUARD (MR_GUARD_REPLY_ID))
    return FALSE;
  if (job->work->batch->order)
    return TRUE;
  /* A target that moved on answers from another snapshot; merged, two versions
   * of a record could stand in one answer. */
  if (!mr_text_equal (end->echoed_snapshot, mr_text (map->snapshot)) &&
      MR_SAFEGUARD (MR_GUARD_SNAPSHOT))
    return FALSE;
  return mr_text_equal (end->echoed_shard, mr_text (map->shards[job->shard].name)) ||
         !MR_SAFEGUARD (MR_GUARD_REPLY_ID);
}

static void
S_note_latency (Work *work, MrTargetState *target, MrTime latency)
{
  Service *service = work->service;
  mr_target_state_add_latency (target, latency);
  service->mean += SERVICE_TIME_WEIGHT * ((double) latency - service->mean);
  mr_histogram_add (&service->latency, latency);
  if (service->latency.total >= SAMPLES_DECAY)
    mr_histogram_decay (&service->latency);
}

/* Another try of a search's shard, if a replica is left and the budget allows.
 * A shed or draining answer cost the target nothing, but asking on is load all
 * the same, so it draws on the budget too. */
static void
S_settle (MrDispatch *d, MrTime now, Job *job)
{
  if (mr_dispatch_has_call (job) || job->linked)
    return;
  gboolean left = FALSE;
  for (guint i = 0; i < job->replica_count; i++)
    left = left || !(job->tried & (1U << i));
  if (!left || !mr_budget_spend (&job->work->service->budget, now))
    {
      mr_dispatch_end_job (d, now, job);
      return;
    }
  job->retry = TRUE;
  d->counts.retries++;
  mr_dispatch_place (d, now, job);
}

/* What the end of a call, wanted or not, says of its target. */
static void
S_note_target (
    MrDispatch *d, MrTime now, MrTargetState *target, MrTime started, const MrCallEnd *end)
{
  MrHealthAction action = MR_HEALTH_NOTHING;
  switch (end->outcome)
    {
    case MR_CALL_ANSWER:
      mr_limit_on_success (&target->limit);
      action = mr_health_on_answer (&target->health, now);
      break;
    case MR_CALL_SHED:
      d->counts.shed++;
      target->shed++;
      mr_limit_on_shed (&target->limit, now);
      mr_health_on_word (&target->health, now);
      break;
    case MR_CALL_DRAINING:
      mr_dispatch_leave (d, now, target, "it drains");
      break;
    case MR_CALL_MISDIRECTED:
      mr_dispatch_leave (d, now, target, "its address belongs to another process");
      break;
    case MR_CALL_NOT_CONNECTED:
    case MR_CALL_BROKEN:
      action = mr_health_on_break (&target->health, now);
      break;
    case MR_CALL_SILENT:
      action = mr_health_on_lost (&target->health, started, now);
      break;
    case MR_CALL_ERROR:
      mr_health_on_failure (&target->health, now);
      if (target->health.state == MR_HEALTH_DOWN)
        mr_dispatch_evict_waiting (d, now, target);
      break;
    case MR_CALL_NO_SNAPSHOT:
    case MR_CALL_CANCELLED:
      mr_health_on_word (&target->health, now);
      break;
    }
  mr_dispatch_act (d, now, target, action);
}

static void
S_end_search_call (MrDispatch *d, MrTime now, Job *job, MrCallEnd *end)
{
  if (end->outcome != MR_CALL_ANSWER)
    {
      S_settle (d, now, job);
      return;
    }
  mr_merge_add_shard (job->work->merge, job->shard, end->hits, end->hit_count);
  mr_dispatch_end_job (d, now, job);
}

gboolean
mr_dispatch_call_end (MrDispatch *d, MrTime now, MrCallEnd *end)
{
  Call *call = g_hash_table_lookup (d->calls, &end->id);
  if (!call)
    {
      d->counts.discarded++;
      return FALSE;
    }
  Job *job = call->job;
  if (job)
    job->work->blame = call->target;
  gboolean matches = TRUE;
  if (job && end->outcome == MR_CALL_ANSWER && !S_echo_matches (call, end))
    {
      matches = FALSE;
      d->counts.discarded++;
      end->outcome = job->work->batch->order ? MR_CALL_BROKEN : MR_CALL_ERROR;
      mr_log (MR_LOG_WARNING, MR_EVENT_REPLY_DISCARDED,
              "answer of target %s discarded: another id, snapshot or shard", call->target->id);
    }
  if (job)
    *mr_dispatch_call_place (job, call) = NULL;
  if (job && end->outcome == MR_CALL_NO_SNAPSHOT)
    mr_target_state_lacks (call->target, job->work->batch->map, now);
  if (job && end->outcome == MR_CALL_ANSWER)
    S_note_latency (job->work, call->target, now - call->started);
  MrTargetState *target = call->target;
  MrTime started = call->started;
  target->in_flight--;
  g_hash_table_remove (d->calls, &end->id);
  if (job && job->work->batch->order)
    S_end_order_call (d, now, job, end);
  else if (job)
    S_end_search_call (d, now, job, end);
  S_note_target (d, now, target, started, end);
  mr_dispatch_pump (d, now, target);
  return matches;
}

void
mr_dispatch_probe_end (MrDispatch *d, MrTime now, const char *key, bool answered)
{
  MrTargetState *target = g_hash_table_lookup (d->targets, key);
  gboolean down = FALSE;
  if (!target)
    return;
  MrHealthAction action = mr_target_state_probed (target, now, answered, &down);
  if (down)
    mr_dispatch_evict_waiting (d, now, target);
  mr_dispatch_act (d, now, target, action);
}

void
mr_dispatch_target_leaving (MrDispatch *d, MrTime now, const char *key, bool leaving)
{
  if (leaving)
    g_hash_table_add (d->leaving, g_strdup (key));
  else
    g_hash_table_remove (d->leaving, key);
  MrTargetState *target = g_hash_table_lookup (d->targets, key);
  if (!target)
    return;
  if (leaving)
    mr_dispatch_leave (d, now, target, "listed as leaving");
  else
    mr_dispatch_act (d, now, target, mr_health_on_live (&target->health, now));
}

const MrDispatchCounts *
mr_dispatch_counts (const MrDispatch *d)
{
  return &d->counts;
}

guint
mr_dispatch_batches (const MrDispatch *d)
{
  return g_hash_table_size (d->works);
}

guint
mr_dispatch_calls_open (const MrDispatch *d)
{
  return g_hash_table_size (d->calls);
}

void
mr_dispatch_foreach_target (const MrDispatch *d,
                            void (*visit) (const MrTargetState *target, void *user),
                            void *user)
{
  mr_target_state_foreach (d->targets, visit, user);
}
