#include "relay_private.h"

enum
{
  SAMPLES_MIN = 30, /* under this the quantile is not used */
};

const MrRelayPolicy mr_relay_policy = {
  /* With a budget of one hedge or retry in five requests, the slowest tenth can be
   * sent again and half of the budget is left for failures. */
  .hedge_quantile = 0.92,
  .hedge_first_share = 0.25,
  .hedge_min = 4 * MR_MS,
  /* What is left repairs calls that failed. */
  .hedge_share = 0.75,
  .mean_first_share = 0.2,
  /* Or hedges make loaded targets slower.  Three times the usual load, on the
   * virtual clock: 0.89 and 0.69 of the worth of the two kinds without it, 0.90 and
   * 0.71 with it, 0.91 and 0.75 without any hedge or retry; on a calm day or with a
   * few slow targets nothing changes (0.01 to 0.03 less if it held always). */
  .loaded = 1.2,
  /* A searcher's ordinary pause (250 ms) is not a reason to close its
   * connections. */
  .silent_factor = 8,
  .silent_min = 700 * MR_MS,
  .silent_max = 4 * MR_SECOND,
  /* Letting a call run out spares a new connection (6 ms of a searcher's slot). */
  .linger = 400 * MR_MS,
  /* The round trip is a few milliseconds longer and its bytes are paid for.  The
   * near target is preferred up to two calls in flight, which halves the bytes at
   * the same credit; at five it is overrun (credit 0.956 against 0.978 on a calm
   * day of 71 VMs). */
  .far_cost = 2.5,
  .asks = 2,
};

/* A hedge that found no target is tried again after this. */
static const MrTime HEDGE_AGAIN = 5 * MR_MS;
/* Without an answer the next hedge of a request goes out when it is this many times
 * as old as at the last one. */
static const int LONE_HEDGE_SPACING = 3;
/* Requests remember the targets they tried; none lasts as long as this. */
static const MrTime RETIRED_KEPT = 300 * MR_SECOND;
/* Health of targets that are down is looked at this often. */
static const MrTime HEALTH_GAP = 50 * MR_MS;

gboolean
mr_relay_is_learned (const Kind *kind)
{
  return kind->latency.total >= SAMPLES_MIN;
}

void
mr_relay_measure (Kind *kind)
{
  const MrHistogram *latency = &kind->latency;
  kind->slow = (MrTime) (kind->policy->hedge_first_share * (double) kind->aim);
  kind->usual = kind->mean;
  if (mr_relay_is_learned (kind))
    {
      kind->slow = mr_histogram_quantile (latency, kind->hedge_quantile);
      kind->usual = (double) mr_histogram_quantile (latency, 0.5);
    }
  if (kind->unloaded == 0 || kind->usual < kind->unloaded)
    kind->unloaded = kind->usual;
  kind->slow = MAX (kind->slow, kind->policy->hedge_min);
}

MrTime
mr_relay_silent_delay (const Kind *kind)
{
  const MrRelayPolicy *policy = kind->policy;
  MrTime delay = (MrTime) (policy->silent_factor * kind->mean);
  return CLAMP (delay, policy->silent_min, policy->silent_max);
}

MrTime
mr_relay_linger (const MrRelay *relay, MrTime now)
{
  MrTime linger = relay->policy->linger;
  return linger == MR_NEVER ? MR_NEVER : now + linger;
}

guint
mr_relay_job_calls (const Job *job)
{
  guint count = 0;
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    if (job->calls[i])
      count++;
  return count;
}

gboolean
mr_relay_has_calls (const MrRelayWork *work)
{
  for (guint i = 0; i < work->part_count; i++)
    if (mr_relay_job_calls (&work->jobs[i]) > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_call_free (MrRelay *relay, Call *call)
{
  mr_timers_set (relay->timers, &call->timer, MR_NEVER);
  g_queue_unlink (&call->target->open, &call->link);
  call->target->in_flight--;
  g_hash_table_remove (relay->calls, &call->id);
  g_free (call);
}

void
mr_relay_orphan_calls (MrRelay *relay, MrTime now, Job *job, MrTime until)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    {
      Call *call = job->calls[i];
      if (!call)
        continue;
      job->calls[i] = NULL;
      call->job = NULL;
      if (relay->host->unwanted)
        relay->host->unwanted (relay->host, call->id);
      if (until <= now)
        {
          relay->host->drop (relay->host, call->id);
          mr_relay_call_free (relay, call);
          continue;
        }
      mr_timers_set (relay->timers, &call->timer, until);
    }
}

/* While no part has been answered the content itself may be what its targets fail under, so
 * hedges go one at a time: each puts one more target at risk.  One that is answered
 * lets the others go at once. */
static MrTime
S_hedge_due (const MrRelayWork *work, const Job *job)
{
  if (job->ended || job->waiting)
    return MR_NEVER;
  return work->have > 0 ? job->hedge_at : MAX (job->hedge_at, work->next_hedge);
}

void
mr_relay_schedule (MrRelay *relay, MrRelayWork *work)
{
  MrTime due = work->hard_end;
  if (work->have >= work->needed && work->soft_end < due)
    due = work->soft_end;
  due = MIN (due, work->cancel_at);
  due = MIN (due, mr_relay_trial_due (relay, work));
  for (guint i = 0; i < work->part_count && !mr_relay_is_suspicious (work); i++)
    {
      const Job *job = &work->jobs[i];
      MrTime hedge_due = S_hedge_due (work, job);
      if (hedge_due < due && mr_relay_may_try_more (job))
        due = hedge_due;
    }
  mr_timers_set (relay->timers, &work->timer, due);
}

static void
S_check_work (MrRelay *relay, MrTime now, MrRelayWork *work)
{
  if (now >= work->hard_end)
    {
      work->cause = MR_CAUSE_TIME;
      mr_relay_finish (relay, now, work, MR_VERDICT_TIMEOUT);
      return;
    }
  if (now >= work->soft_end && work->have >= work->needed)
    {
      work->cause = MR_CAUSE_SOFT_END;
      mr_relay_finish (relay, now, work, MR_VERDICT_MERGE);
      return;
    }
  if (now >= work->cancel_at)
    {
      mr_relay_cancel_calls (relay, now, work);
      return;
    }
  if (now >= mr_relay_trial_due (relay, work))
    {
      mr_relay_begin_trial (relay, now, work);
      return;
    }
  for (guint i = 0; i < work->part_count && !mr_relay_is_suspicious (work); i++)
    {
      Job *job = mr_relay_nth_risk (work, i);
      if (now < S_hedge_due (work, job))
        continue;
      if (mr_relay_hedge (relay, now, job))
        work->next_hedge = work->arrived + LONE_HEDGE_SPACING * (now - work->arrived);
      else
        job->hedge_at = now + HEDGE_AGAIN;
    }
  mr_relay_schedule (relay, work);
}

/* The call has been out for long: either nobody wants it any more, or its
 * target is doubted. */
static void
S_check_call (MrRelay *relay, MrTime now, Call *call)
{
  MrTargetState *target = call->target;
  if (!call->job)
    {
      MrTime started = call->started;
      relay->host->drop (relay->host, call->id);
      mr_relay_call_free (relay, call);
      mr_relay_act (relay, now, target, mr_health_on_lost (&target->health, started, now));
      return;
    }
  relay->counts.silent++;
  mr_timers_set (relay->timers, &call->timer, now + relay->policy->silent_max);
  mr_relay_act (relay, now, target, mr_health_on_silence (&target->health, call->started, now));
}

/* Forgets targets that are gone once no request can remember them. */
static void
S_release_retired (MrRelay *relay, MrTime now)
{
  for (guint i = 0; i < relay->retired->len;)
    {
      const MrTargetState *target = g_ptr_array_index (relay->retired, i);
      if (target->in_flight == 0 && now - target->health.leaving_at > RETIRED_KEPT)
        g_ptr_array_remove_index_fast (relay->retired, i);
      else
        i++;
    }
}

static void
S_check_health (MrRelay *relay, MrTime now)
{
  GHashTableIter iter;
  gpointer item = NULL;
  relay->health_at = now + HEALTH_GAP;
  relay->some_down = FALSE;
  g_hash_table_iter_init (&iter, relay->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrTargetState *target = item;
      if (target->health.state == MR_HEALTH_DOWN)
        mr_relay_act (relay, now, target, mr_health_tick (&target->health, now));
    }
  S_release_retired (relay, now);
}

MrTime
mr_relay_tick (MrRelay *relay, MrTime now)
{
  for (MrTimer *timer = mr_timers_pop (relay->timers, now); timer;
       timer = mr_timers_pop (relay->timers, now))
    {
      Timed timed = *(Timed *) timer->owner;
      if (timed == TIMED_WORK)
        S_check_work (relay, now, timer->owner);
      else if (timed == TIMED_CALL)
        S_check_call (relay, now, timer->owner);
      else
        mr_relay_doubt_due (relay, now, timer->owner);
    }
  if (now >= relay->health_at)
    S_check_health (relay, now);
  MrTime next = mr_timers_next (relay->timers);
  return relay->some_down ? MIN (next, relay->health_at) : next;
}
