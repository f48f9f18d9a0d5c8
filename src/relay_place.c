#include "relay_private.h"

/* A target that has just started takes this much longer, by its operators. */
static const double COLD_COST = 1.6;
/* A target whose oldest call has gone unanswered for this many times the usual
 * stands still (a pause, a crash, a lost path): it gets first sends only if
 * there is no other.  Searchers that pause for 250 ms every 6 s meet a third of
 * all wide searches; passing them over costs no second send. */
static const double STALLED_FACTOR = 2.5;
static const MrTime STALLED_MIN = 15 * MR_MS;
static const double STALLED_COST = 50;
/* Weight of failures: a target that fails half of its calls costs 31 times as much
 * as one that fails none, so that it gets what the others have no room for.  Second
 * sends repair a fifth of all calls; with a weight of 10, as good as a far target or a
 * busy one, 29 % were refused where half of the targets refused 45 %. */
static const double FAILING_COST = 60;

static gboolean
S_stalled (const MrTargetState *target, MrTime now)
{
  const Call *oldest = g_queue_peek_head (&((MrTargetState *) target)->open);
  if (!oldest || target->health.answered_at > oldest->started)
    return FALSE;
  MrTime usual = (MrTime) (STALLED_FACTOR * oldest->kind->usual);
  return now - oldest->started > MAX (usual, STALLED_MIN);
}

static double
S_cost (const MrRelay *relay, MrTime now, const MrTargetState *target)
{
  double cost = target->relative * (target->in_flight + 1) * (1 + FAILING_COST * target->failing);
  if (relay->domain && !g_str_equal (target->domain, relay->domain))
    cost *= relay->policy->far_cost;
  if (now < target->cold_until)
    cost *= COLD_COST;
  if (S_stalled (target, now))
    cost *= STALLED_COST;
  return cost;
}

static Tried *
S_find_tried (Job *job, const MrTargetState *target)
{
  for (guint i = 0; i < job->tried_count; i++)
    if (job->tried[i].target == target)
      return &job->tried[i];
  return NULL;
}

/* Targets that the job was sent to, as the bound counts them. */
static guint
S_count_seen (const Job *job)
{
  guint count = 0;
  for (guint i = 0; i < job->tried_count; i++)
    count += job->tried[i].seen || job->tried[i].state == TRIED_SENT ? 1 : 0;
  return count;
}

/* The bound is on targets that one request may be sent to, so that one that has
 * refused may be asked again: it costs a second send, as another would.  Once only:
 * targets that refuse everything were sent 27 calls of one request in a millisecond,
 * and the second sends of all others with them. */
static gboolean
S_may_ask_again (const Job *job, const Tried *tried)
{
  const MrRelayPolicy *policy = job->work->kind->policy;
  return tried->state == TRIED_REFUSED && tried->asked < policy->asks;
}

static gboolean
S_may_try (const Job *job, const MrTargetState *target)
{
  const MrRelayWork *work = job->work;
  const Tried *tried = S_find_tried ((Job *) job, target);
  if (tried)
    return S_may_ask_again (job, tried);
  return S_count_seen (job) < work->route->attempts && job->tried_count < TRIED_OF_JOB;
}

gboolean
mr_relay_may_try_more (const Job *job)
{
  const MrRelayWork *work = job->work;
  if (S_count_seen (job) < work->route->attempts)
    return TRUE;
  for (guint i = 0; i < job->tried_count; i++)
    if (S_may_ask_again (job, &job->tried[i]))
      return TRUE;
  return FALSE;
}

static void
S_note_sent (Job *job, const MrTargetState *target)
{
  Tried *tried = S_find_tried (job, target);
  if (!tried && job->tried_count == TRIED_OF_JOB)
    return;
  if (!tried)
    tried = &job->tried[job->tried_count++];
  tried->target = target;
  tried->state = TRIED_SENT;
  tried->asked++;
}

void
mr_relay_note_tried (Job *job, const MrTargetState *target, MrCallOutcome outcome)
{
  Tried *tried = S_find_tried (job, target);
  if (!tried)
    return;
  tried->seen |= outcome == MR_CALL_SHED;
  if (outcome == MR_CALL_NOT_CONNECTED)
    tried->state = tried->seen ? TRIED_REFUSED : TRIED_UNSEEN;
  if (outcome == MR_CALL_SHED)
    tried->state = TRIED_REFUSED;
}

/* TRUE if the job may go to @target once that is usable and has room. */
static gboolean
S_may_go (const MrRelay *relay, MrTime now, const Job *job, const MrTargetState *target)
{
  MrRelayHost *host = relay->host;
  if (!S_may_try (job, target))
    return FALSE;
  return !host->holds || host->holds (host, job->work->request, target, now);
}

/* Best target not tried; @hope is set if one may have room later. */
static MrTargetState *
S_pick (MrRelay *relay, MrTime now, const Job *job, gboolean *hope)
{
  const GPtrArray *targets = job->service->targets;
  MrTargetState *best = NULL;
  double best_cost = G_MAXDOUBLE;
  *hope = FALSE;
  guint offset =
      targets->len > 1 ? (guint) g_rand_int_range (relay->random, 0, (gint32) targets->len) : 0;
  for (guint n = 0; n < targets->len; n++)
    {
      MrTargetState *target = g_ptr_array_index (targets, (n + offset) % targets->len);
      gboolean usable = mr_health_usable (&target->health);
      if ((!usable && target->health.state != MR_HEALTH_SUSPECT) ||
          !S_may_go (relay, now, job, target))
        continue;
      *hope = TRUE;
      if (!usable || !mr_target_state_free_slot (target))
        continue;
      double cost = S_cost (relay, now, target);
      if (cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}

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
  };
  call->timer.owner = call;
  call->link.data = call;
  *S_free_place (job) = call;
  S_note_sent (job, target);
  job->sends++;
  g_queue_push_tail_link (&target->open, &call->link);
  target->in_flight++;
  target->calls++;
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
  MrTargetState *target = S_pick (relay, now, job, &hope);
  if (!hope)
    cause = job->tried_count > 0 ? MR_CAUSE_ATTEMPTS : MR_CAUSE_NO_TARGET;
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
  /* With others waiting for room a second send would take the place of a first. */
  if (!S_free_place (job) || !S_nobody_waits (job->service->pool))
    return FALSE;
  MrTargetState *target = S_pick (relay, now, job, &hope);
  if (!target || S_stalled (target, now) ||
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
    if (S_may_go (relay, now, link->data, target))
      return link->data;
  return NULL;
}

void
mr_relay_pump_target (MrRelay *relay, MrTime now, MrTargetState *target)
{
  while (mr_health_usable (&target->health) && mr_target_state_free_slot (target))
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
      MrTargetState *target = S_pick (relay, now, job, &hope);
      if (!target && hope)
        return; /* no room for this one, nor for those behind it */
      if (target)
        {
          S_begin_waiting (relay, now, job, target);
          continue;
        }
      mr_relay_unqueue (job);
      mr_relay_end_job (relay, now, job, MR_CAUSE_NO_TARGET);
    }
}
