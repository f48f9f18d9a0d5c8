#include "relay_private.h"

static Call **
S_free_place (RequestPart *job)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (!job->calls[i])
      return &job->calls[i];
  return NULL;
}

static guint
S_note (MrActiveRequest *work,
        const RequestPart *job,
        MrTime now,
        const MrTargetState *target,
        MrSendReason reason)
{
  MrSendRecord note = {
    .part_index = job->index,
    .reason = reason,
    .sent_after = now - work->arrived,
    .last_response_age =
        target->health.last_response_at > 0 ? now - target->health.last_response_at : -1,
  };
  g_strlcpy (note.target, target->id, sizeof note.target);
  g_array_append_val (work->sends, note);
  return work->sends->len - 1;
}

static void
S_start (MrRelay *relay, MrTime now, RequestPart *job, MrTargetState *target, MrSendReason reason)
{
  MrActiveRequest *work = job->request;
  Call *call = g_new0 (Call, 1);
  *call = (Call){
    .owner_kind = TIMER_CALL,
    .id = ++relay->last_call_id,
    .part = job,
    .target = target,
    .stats = work->stats,
    .started = now,
    .send_index = S_note (work, job, now, target, reason),
    .fingerprint = work->fingerprint,
  };
  call->timer.owner = call;
  call->target_link.data = call;
  *S_free_place (job) = call;
  mr_relay_record_send (job, target);
  job->send_count++;
  g_queue_push_tail_link (&target->open_calls, &call->target_link);
  target->in_flight++;
  target->calls++;
  if (now < target->cold_until)
    mr_cold_window_add (&target->cold_calls, now);
  g_hash_table_insert (relay->calls, &call->id, call);
  relay->counts.calls++;
  if (reason == MR_SEND_HEDGE)
    relay->counts.hedges++;
  else if (reason == MR_SEND_RETRY)
    relay->counts.retries++;
  job->hedge_at = work->route->idempotent ? now + work->stats->hedge_delay : MR_NEVER;
  mr_timers_set (relay->timers, &call->timer, now + mr_relay_silence_timeout (work->stats));
  mr_relay_schedule (relay, work);
  MrRelayCall out = {
    .id = call->id,
    .target = target,
    .host_request = work->host_request,
    .part_index = job->index,
    .deadline = MIN (work->deadline, work->hard_end),
    .idempotent = work->route->idempotent,
  };
  relay->host->send_call (relay->host, &out);
}

static gboolean
S_goes_before (const MrRelay *relay, const RequestPart *a, const RequestPart *b)
{
  const MrTime *lag = relay->policy->rank_lag;
  guint a_rank = a->request->route->priority;
  guint b_rank = b->request->route->priority;
  if (lag)
    return a->request->arrived + lag[a_rank] < b->request->arrived + lag[b_rank];
  if (a_rank != b_rank)
    return a_rank < b_rank;
  return a->request->arrived < b->request->arrived;
}

static guint *
S_waiting (const RequestPart *job)
{
  return &job->group->pool->queued[MIN (job->request->route->priority, MR_PRIORITIES - 1U)];
}

static gboolean
S_nobody_waits (const BudgetPool *pool)
{
  for (guint i = 0; i < MR_PRIORITIES; i++)
    if (pool->queued[i] > 0)
      return FALSE;
  return TRUE;
}

static void
S_queue (const MrRelay *relay, RequestPart *job, MrSendReason reason)
{
  GQueue *queue = &job->group->queue;
  GList *after = queue->tail;
  while (after && S_goes_before (relay, job, after->data))
    after = after->prev;
  job->queue_link = (GList){ .data = job };
  job->queued = TRUE;
  job->send_reason = reason;
  (*S_waiting (job))++;
  if (after)
    g_queue_insert_after_link (queue, after, &job->queue_link);
  else
    g_queue_push_head_link (queue, &job->queue_link);
}

void
mr_relay_dequeue (RequestPart *job)
{
  if (!job->queued)
    return;
  job->queued = FALSE;
  (*S_waiting (job))--;
  g_queue_unlink (&job->group->queue, &job->queue_link);
}

/* FALSE if another send may not go out. */
static gboolean
S_may_send (MrRelay *relay, MrTime now, RequestPart *job, MrSendReason reason, MrCause *cause)
{
  if (reason == MR_SEND_FIRST)
    return TRUE;
  if (!mr_relay_has_attempts_left (job))
    {
      *cause = MR_CAUSE_ATTEMPTS;
      return FALSE;
    }
  /* What never left costs the targets nothing. */
  if (job->send_count == 0)
    return TRUE;
  BudgetPool *pool = job->group->pool;
  double share = reason == MR_SEND_HEDGE ? relay->policy->hedge_budget_share : 1;
  if (mr_resend_budget_try_spend (&pool->budget, &pool->terms, now, share))
    return TRUE;
  relay->counts.over_budget++;
  *cause = MR_CAUSE_BUDGET;
  return FALSE;
}

gboolean
mr_relay_send_or_queue (MrRelay *relay, MrTime now, RequestPart *job, MrSendReason reason)
{
  MrActiveRequest *work = job->request;
  MrCause cause = MR_CAUSE_NONE;
  gboolean hope = FALSE;
  MrTargetState *target = mr_relay_choose_target (relay, now, job, &hope);
  if (!hope)
    cause = job->attempt_count > 0 ? MR_CAUSE_ATTEMPTS : mr_relay_no_target_cause (job->group);
  else if (S_may_send (relay, now, job, reason, &cause))
    {
      if (target)
        S_start (relay, now, job, target, reason);
      else
        S_queue (relay, job, reason);
      return TRUE;
    }
  if (mr_relay_part_call_count (job) > 0)
    return TRUE; /* the call that is still out may answer */
  gboolean last = work->open_parts == 1;
  mr_relay_finish_part (relay, now, job, cause);
  return !last && g_hash_table_contains (relay->requests, work);
}

static gboolean
S_is_loaded (const RouteStats *kind)
{
  double loaded = kind->policy->loaded_ratio;
  return loaded > 0 && kind->median > loaded * kind->lowest_median;
}

static gboolean
S_has_spare_room (const MrTargetState *target)
{
  return target->in_flight * 2 < mr_concurrency_limit_calls (&target->limit);
}

gboolean
mr_relay_hedge (MrRelay *relay, MrTime now, RequestPart *job)
{
  MrCause cause = MR_CAUSE_NONE;
  gboolean hope = FALSE;
  /* With others waiting for room a hedge would take the place of a first call. */
  if (!S_free_place (job) || !S_nobody_waits (job->group->pool))
    return FALSE;
  MrTargetState *target = mr_relay_choose_target (relay, now, job, &hope);
  if (!target || mr_relay_is_stalled (target, now) ||
      (S_is_loaded (job->request->stats) && !S_has_spare_room (target)) ||
      !S_may_send (relay, now, job, MR_SEND_HEDGE, &cause))
    return FALSE;
  S_start (relay, now, job, target, MR_SEND_HEDGE);
  return TRUE;
}

/* TRUE if a call begun now has little chance to be back in time.  Its place goes
 * to another, and its caller hears at once rather than at the end of its time. */
static gboolean
S_too_late (const RequestPart *job, MrTime now)
{
  return now + (MrTime) (job->request->stats->mean / 2) >= job->request->hard_end;
}

/* Sends a job that has waited, or gives it up. */
static void
S_begin_waiting (MrRelay *relay, MrTime now, RequestPart *job, MrTargetState *target)
{
  mr_relay_dequeue (job);
  if (S_too_late (job, now))
    {
      relay->counts.expired++;
      mr_relay_finish_part (relay, now, job, MR_CAUSE_TIME);
    }
  else
    S_start (relay, now, job, target, job->send_reason);
}

/* First job in the set's queue that may go to @target. */
static RequestPart *
S_first_for (const MrRelay *relay,
             MrTime now,
             const TargetGroup *service,
             const MrTargetState *target)
{
  for (GList *link = service->queue.head; link; link = link->next)
    if (mr_relay_may_send_to (relay, now, link->data, target))
      return link->data;
  return NULL;
}

void
mr_relay_send_queued_to (MrRelay *relay, MrTime now, MrTargetState *target)
{
  while (mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target))
    {
      RequestPart *next = NULL;
      for (guint i = 0; i < target->sets->len; i++)
        {
          RequestPart *job = S_first_for (relay, now, g_ptr_array_index (target->sets, i), target);
          if (job && (!next || S_goes_before (relay, job, next)))
            next = job;
        }
      if (!next)
        return;
      S_begin_waiting (relay, now, next, target);
    }
}

void
mr_relay_send_queued (MrRelay *relay, MrTime now, TargetGroup *service)
{
  while (service && !g_queue_is_empty (&service->queue))
    {
      RequestPart *job = g_queue_peek_head (&service->queue);
      gboolean hope = FALSE;
      MrTargetState *target = mr_relay_choose_target (relay, now, job, &hope);
      if (!target && hope)
        return; /* no room for this one, nor for those behind it */
      if (target)
        {
          S_begin_waiting (relay, now, job, target);
          continue;
        }
      mr_relay_dequeue (job);
      mr_relay_finish_part (relay, now, job, mr_relay_no_target_cause (service));
    }
}
