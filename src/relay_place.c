#include "relay_private.h"

static Call **
S_free_place (Job *job)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    if (!job->calls[i])
      return &job->calls[i];
  return NULL;
}

static guint
S_note (
    MrRelayWork *work, const Job *job, MrTime now, const MrTargetState *target, MrSendReason reason)
{
  MrSendNote note = {
    .part = job->part,
    .reason = reason,
    .at = now - work->arrived,
    .heard = target->health.answered_at > 0 ? now - target->health.answered_at : -1,
  };
  g_strlcpy (note.target, target->id, sizeof note.target);
  g_array_append_val (work->sends, note);
  return work->sends->len - 1;
}

static void
S_start (MrRelay *relay, MrTime now, Job *job, MrTargetState *target, MrSendReason reason)
{
  MrRelayWork *work = job->work;
  Call *call = g_new0 (Call, 1);
  *call = (Call){
    .timed = TIMED_CALL,
    .id = ++relay->last_call,
    .job = job,
    .target = target,
    .kind = work->kind,
    .started = now,
    .note = S_note (work, job, now, target, reason),
    .fingerprint = work->fingerprint,
  };
  call->timer.owner = call;
  call->link.data = call;
  *S_free_place (job) = call;
  mr_relay_note_sent (job, target);
  job->sends++;
  g_queue_push_tail_link (&target->open, &call->link);
  target->in_flight++;
  target->calls++;
  if (now < target->cold_until)
    mr_cold_window_note (&target->cold_calls, now);
  g_hash_table_insert (relay->calls, &call->id, call);
  relay->counts.calls++;
  if (reason == MR_SEND_HEDGE)
    relay->counts.hedges++;
  else if (reason == MR_SEND_RETRY)
    relay->counts.retries++;
  job->hedge_at = work->route->repeatable ? now + work->kind->slow : MR_NEVER;
  mr_timers_set (relay->timers, &call->timer, now + mr_relay_silent_delay (work->kind));
  mr_relay_schedule (relay, work);
  MrRelayCall out = {
    .id = call->id,
    .target = target,
    .request = work->request,
    .part = job->part,
    .deadline = MIN (work->deadline, work->hard_end),
    .repeatable = work->route->repeatable,
  };
  relay->host->call (relay->host, &out);
}

static gboolean
S_goes_before (const MrRelay *relay, const Job *a, const Job *b)
{
  const MrTime *lag = relay->policy->rank_lag;
  guint a_rank = a->work->route->rank;
  guint b_rank = b->work->route->rank;
  if (lag)
    return a->work->arrived + lag[a_rank] < b->work->arrived + lag[b_rank];
  if (a_rank != b_rank)
    return a_rank < b_rank;
  return a->work->arrived < b->work->arrived;
}

static guint *
S_waiting (const Job *job)
{
  return &job->service->pool->waiting[MIN (job->work->route->rank, MR_RANKS - 1U)];
}

static gboolean
S_nobody_waits (const Pool *pool)
{
  for (guint i = 0; i < MR_RANKS; i++)
    if (pool->waiting[i] > 0)
      return FALSE;
  return TRUE;
}

static void
S_queue (const MrRelay *relay, Job *job, MrSendReason reason)
{
  GQueue *queue = &job->service->waiting;
  GList *after = queue->tail;
  while (after && S_goes_before (relay, job, after->data))
    after = after->prev;
  job->link = (GList){ .data = job };
  job->waiting = TRUE;
  job->reason = reason;
  (*S_waiting (job))++;
  if (after)
    g_queue_insert_after_link (queue, after, &job->link);
  else
    g_queue_push_head_link (queue, &job->link);
}

void
mr_relay_unqueue (Job *job)
{
  if (!job->waiting)
    return;
  job->waiting = FALSE;
  (*S_waiting (job))--;
  g_queue_unlink (&job->service->waiting, &job->link);
}

/* FALSE if another send may not go out. */
static gboolean
S_may_send (MrRelay *relay, MrTime now, Job *job, MrSendReason reason, MrCause *cause)
{
  if (reason == MR_SEND_FIRST)
    return TRUE;
  if (!mr_relay_may_try_more (job))
    {
      *cause = MR_CAUSE_ATTEMPTS;
      return FALSE;
    }
  /* What never left costs the targets nothing. */
  if (job->sends == 0)
    return TRUE;
  Pool *pool = job->service->pool;
  double share = reason == MR_SEND_HEDGE ? relay->policy->hedge_share : 1;
  if (mr_window_budget_spend (&pool->budget, &pool->terms, now, share))
    return TRUE;
  relay->counts.over_budget++;
  *cause = MR_CAUSE_BUDGET;
  return FALSE;
}

gboolean
mr_relay_place (MrRelay *relay, MrTime now, Job *job, MrSendReason reason)
{
  MrRelayWork *work = job->work;
  MrCause cause = MR_CAUSE_NONE;
  gboolean hope = FALSE;
  MrTargetState *target = mr_relay_pick (relay, now, job, &hope);
  if (!hope)
    cause = job->tried_count > 0 ? MR_CAUSE_ATTEMPTS : mr_relay_no_target_cause (job->service);
  else if (S_may_send (relay, now, job, reason, &cause))
    {
      if (target)
        S_start (relay, now, job, target, reason);
      else
        S_queue (relay, job, reason);
      return TRUE;
    }
  if (mr_relay_job_calls (job) > 0)
    return TRUE; /* the call that is still out may answer */
  gboolean last = work->open == 1;
  mr_relay_end_job (relay, now, job, cause);
  return !last && g_hash_table_contains (relay->works, work);
}

static gboolean
S_is_loaded (const Kind *kind)
{
  double loaded = kind->policy->loaded;
  return loaded > 0 && kind->usual > loaded * kind->unloaded;
}

static gboolean
S_has_spare_room (const MrTargetState *target)
{
  return target->in_flight * 2 < mr_limit_calls (&target->limit);
}

gboolean
mr_relay_hedge (MrRelay *relay, MrTime now, Job *job)
{
  MrCause cause = MR_CAUSE_NONE;
  gboolean hope = FALSE;
  /* With others waiting for room a hedge would take the place of a first call. */
  if (!S_free_place (job) || !S_nobody_waits (job->service->pool))
    return FALSE;
  MrTargetState *target = mr_relay_pick (relay, now, job, &hope);
  if (!target || mr_relay_stalled (target, now) ||
      (S_is_loaded (job->work->kind) && !S_has_spare_room (target)) ||
      !S_may_send (relay, now, job, MR_SEND_HEDGE, &cause))
    return FALSE;
  S_start (relay, now, job, target, MR_SEND_HEDGE);
  return TRUE;
}

/* TRUE if a call begun now has little chance to be back in time.  Its place goes
 * to another, and its caller hears at once rather than at the end of its time. */
static gboolean
S_too_late (const Job *job, MrTime now)
{
  return now + (MrTime) (job->work->kind->mean / 2) >= job->work->hard_end;
}

/* Sends a job that has waited, or gives it up. */
static void
S_begin_waiting (MrRelay *relay, MrTime now, Job *job, MrTargetState *target)
{
  mr_relay_unqueue (job);
  if (S_too_late (job, now))
    {
      relay->counts.expired++;
      mr_relay_end_job (relay, now, job, MR_CAUSE_TIME);
    }
  else
    S_start (relay, now, job, target, job->reason);
}

/* First job in the set's queue that may go to @target. */
static Job *
S_first_for (const MrRelay *relay, MrTime now, const Service *service, const MrTargetState *target)
{
  for (GList *link = service->waiting.head; link; link = link->next)
    if (mr_relay_may_go (relay, now, link->data, target))
      return link->data;
  return NULL;
}

void
mr_relay_pump_target (MrRelay *relay, MrTime now, MrTargetState *target)
{
  while (mr_target_state_bears (target, now) && mr_target_state_free_slot (target))
    {
      Job *next = NULL;
      for (guint i = 0; i < target->sets->len; i++)
        {
          Job *job = S_first_for (relay, now, g_ptr_array_index (target->sets, i), target);
          if (job && (!next || S_goes_before (relay, job, next)))
            next = job;
        }
      if (!next)
        return;
      S_begin_waiting (relay, now, next, target);
    }
}

void
mr_relay_pump (MrRelay *relay, MrTime now, Service *service)
{
  while (service && !g_queue_is_empty (&service->waiting))
    {
      Job *job = g_queue_peek_head (&service->waiting);
      gboolean hope = FALSE;
      MrTargetState *target = mr_relay_pick (relay, now, job, &hope);
      if (!target && hope)
        return; /* no room for this one, nor for those behind it */
      if (target)
        {
          S_begin_waiting (relay, now, job, target);
          continue;
        }
      mr_relay_unqueue (job);
      mr_relay_end_job (relay, now, job, mr_relay_no_target_cause (service));
    }
}
