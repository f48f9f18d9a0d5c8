#include "relay_private.h"

enum
{
  SAMPLES_MIN = 30, /* under this the quantile is not used */
};

const MrRelayPolicy mr_relay_policy = {
  /* With a budget of one hedge or retry in five requests, the slowest tenth can be
   * sent again and half of the budget is left for failures. */
  .hedge_quantile = 0.92,
  .initial_hedge_fraction = 0.25,
  .min_hedge_delay = 4 * MR_MS,
  /* What is left repairs calls that failed. */
  .hedge_budget_share = 0.75,
  .initial_mean_fraction = 0.2,
  /* Or hedges make loaded targets slower.  Three times the usual load, on the
   * virtual clock: 0.89 and 0.69 of the worth of the two kinds without it, 0.90 and
   * 0.71 with it, 0.91 and 0.75 without any hedge or retry; on a calm day or with a
   * few slow targets nothing changes (0.01 to 0.03 less if it held always). */
  .loaded_ratio = 1.2,
  /* A searcher's ordinary pause (250 ms) is not a reason to close its
   * connections. */
  .silence_timeout_factor = 8,
  .silence_timeout_min = 700 * MR_MS,
  .silence_timeout_max = 4 * MR_SECOND,
  /* Letting a call run out spares a new connection (6 ms of a searcher's slot). */
  .linger = 400 * MR_MS,
  /* The round trip is a few milliseconds longer and its bytes are paid for.  The
   * near target is preferred up to two calls in flight, which halves the bytes at
   * the same credit; at five it is overrun (credit 0.956 against 0.978 on a calm
   * day of 71 VMs). */
  .cross_domain_cost = 2.5,
  .max_sends_per_target = 2,
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
mr_relay_stats_are_reliable (const RouteStats *kind)
{
  return kind->latency.count >= SAMPLES_MIN;
}

void
mr_relay_update_stats (RouteStats *kind)
{
  const MrHistogram *latency = &kind->latency;
  kind->hedge_delay = (MrTime) (kind->policy->initial_hedge_fraction * (double) kind->latency_goal);
  kind->median = kind->mean;
  if (mr_relay_stats_are_reliable (kind))
    {
      kind->hedge_delay = mr_histogram_quantile (latency, kind->hedge_quantile);
      kind->median = (double) mr_histogram_quantile (latency, 0.5);
    }
  if (kind->lowest_median == 0 || kind->median < kind->lowest_median)
    kind->lowest_median = kind->median;
  kind->hedge_delay = MAX (kind->hedge_delay, kind->policy->min_hedge_delay);
}

MrTime
mr_relay_silence_timeout (const RouteStats *kind)
{
  const MrRelayPolicy *policy = kind->policy;
  MrTime delay = (MrTime) (policy->silence_timeout_factor * kind->mean);
  return CLAMP (delay, policy->silence_timeout_min, policy->silence_timeout_max);
}

MrTime
mr_relay_linger_until (const MrRelay *relay, MrTime now)
{
  MrTime linger = relay->policy->linger;
  return linger == MR_NEVER ? MR_NEVER : now + linger;
}

guint
mr_relay_part_call_count (const RequestPart *job)
{
  guint count = 0;
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (job->calls[i])
      count++;
  return count;
}

gboolean
mr_relay_has_calls (const MrActiveRequest *work)
{
  for (guint i = 0; i < work->part_count; i++)
    if (mr_relay_part_call_count (&work->parts[i]) > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_call_free (MrRelay *relay, Call *call)
{
  mr_timers_set (relay->timers, &call->timer, MR_NEVER);
  g_queue_unlink (&call->target->open_calls, &call->target_link);
  call->target->in_flight--;
  g_hash_table_remove (relay->calls, &call->id);
  g_free (call);
}

void
mr_relay_abandon_calls (MrRelay *relay, MrTime now, RequestPart *job, MrTime until)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    {
      Call *call = job->calls[i];
      if (!call)
        continue;
      job->calls[i] = NULL;
      call->part = NULL;
      if (relay->host->call_abandoned)
        relay->host->call_abandoned (relay->host, call->id);
      if (until <= now)
        {
          relay->host->close_call (relay->host, call->id);
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
S_hedge_due (const MrActiveRequest *work, const RequestPart *job)
{
  if (job->ended || job->queued)
    return MR_NEVER;
  return work->answered_parts > 0 ? job->hedge_at : MAX (job->hedge_at, work->next_hedge_at);
}

void
mr_relay_schedule (MrRelay *relay, MrActiveRequest *work)
{
  MrTime due = work->hard_end;
  if (work->answered_parts >= work->needed_parts && work->soft_deadline < due)
    due = work->soft_deadline;
  due = MIN (due, work->cancel_at);
  due = MIN (due, mr_relay_next_trial_time (relay, work));
  for (guint i = 0; i < work->part_count && !mr_relay_is_suspicious (work); i++)
    {
      const RequestPart *job = &work->parts[i];
      MrTime hedge_due = S_hedge_due (work, job);
      if (hedge_due < due && mr_relay_has_attempts_left (job))
        due = hedge_due;
    }
  mr_timers_set (relay->timers, &work->timer, due);
}

static void
S_check_work (MrRelay *relay, MrTime now, MrActiveRequest *work)
{
  if (now >= work->hard_end)
    {
      work->cause = MR_CAUSE_TIME;
      mr_relay_finish_request (relay, now, work, MR_VERDICT_TIMEOUT);
      return;
    }
  if (now >= work->soft_deadline && work->answered_parts >= work->needed_parts)
    {
      work->cause = MR_CAUSE_SOFT_END;
      mr_relay_finish_request (relay, now, work, MR_VERDICT_MERGE);
      return;
    }
  if (now >= work->cancel_at)
    {
      mr_relay_cancel_calls (relay, now, work);
      return;
    }
  if (now >= mr_relay_next_trial_time (relay, work))
    {
      mr_relay_begin_trial (relay, now, work);
      return;
    }
  for (guint i = 0; i < work->part_count && !mr_relay_is_suspicious (work); i++)
    {
      RequestPart *job = mr_relay_nth_part_by_risk (work, i);
      if (now < S_hedge_due (work, job))
        continue;
      if (mr_relay_hedge (relay, now, job))
        work->next_hedge_at = work->arrived + LONE_HEDGE_SPACING * (now - work->arrived);
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
  if (!call->part)
    {
      MrTime started = call->started;
      relay->host->close_call (relay->host, call->id);
      mr_relay_call_free (relay, call);
      mr_relay_apply_health_action (relay, now, target,
                                    mr_health_on_connection_lost (&target->health, started, now));
      return;
    }
  relay->counts.silent++;
  mr_timers_set (relay->timers, &call->timer, now + relay->policy->silence_timeout_max);
  mr_relay_apply_health_action (relay, now, target,
                                mr_health_on_timeout (&target->health, call->started, now));
}

/* Forgets targets that are gone once no request can remember them. */
static void
S_release_retired (MrRelay *relay, MrTime now)
{
  for (guint i = 0; i < relay->removed_targets->len;)
    {
      const MrTargetState *target = g_ptr_array_index (relay->removed_targets, i);
      if (target->in_flight == 0 && now - target->health.leaving_since > RETIRED_KEPT)
        g_ptr_array_remove_index_fast (relay->removed_targets, i);
      else
        i++;
    }
}

static void
S_check_health (MrRelay *relay, MrTime now)
{
  GHashTableIter iter;
  gpointer item = NULL;
  relay->next_health_check = now + HEALTH_GAP;
  relay->any_target_down = FALSE;
  g_hash_table_iter_init (&iter, relay->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrTargetState *target = item;
      if (target->health.state == MR_HEALTH_DOWN)
        mr_relay_apply_health_action (relay, now, target, mr_health_tick (&target->health, now));
    }
  S_release_retired (relay, now);
}

MrTime
mr_relay_tick (MrRelay *relay, MrTime now)
{
  for (MrTimer *timer = mr_timers_pop (relay->timers, now); timer;
       timer = mr_timers_pop (relay->timers, now))
    {
      TimerOwnerKind timed = *(TimerOwnerKind *) timer->owner;
      if (timed == TIMER_REQUEST)
        S_check_work (relay, now, timer->owner);
      else if (timed == TIMER_CALL)
        S_check_call (relay, now, timer->owner);
      else
        mr_relay_crash_check_due (relay, now, timer->owner);
    }
  if (now >= relay->next_health_check)
    S_check_health (relay, now);
  MrTime next = mr_timers_next_due (relay->timers);
  return relay->any_target_down ? MIN (next, relay->next_health_check) : next;
}
