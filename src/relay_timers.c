#include "relay_private.h"

#include "safeguard.h"

enum
{
  SAMPLES_MIN = 30, /* answers below which the quantiles are not used */
};

const MrRelayPolicy mr_relay_policy = {
  /* With a budget of one resend in five requests, about the slowest tenth of the calls can be
   * hedged and half of the budget is left for failures. */
  .hedge_quantile = 0.92,
  .initial_hedge_fraction = 0.25,
  .min_hedge_delay = 4 * MR_MS,
  /* The rest is kept for calls that failed. */
  .hedge_budget_share = 0.75,
  .initial_mean_fraction = 0.2,
  /* Prevents hedges from making loaded targets slower.  At three times the usual load, on the
   * virtual clock, the two kinds of requests reach 0.89 and 0.69 of their utility without this
   * rule, 0.90 and 0.71 with it, and 0.91 and 0.75 without any hedges or retries.  At normal load
   * or with a few slow targets it makes no difference, while applying it always would cost 0.01 to
   * 0.03. */
  .loaded_ratio = 1.2,
  /* An ordinary pause of a searcher (250 ms) must not close its connections. */
  .silence_timeout_factor = 8,
  .silence_timeout_min = 700 * MR_MS,
  .silence_timeout_max = 4 * MR_SECOND,
  /* Letting a call run to its end saves a new connection (6 ms of a searcher's slot). */
  .linger = 400 * MR_MS,
  /* A remote call takes a few milliseconds longer and its traffic is paid for.  With 2.5, the local
   * target is preferred until it has two calls in flight, which halves the traffic at the same
   * utility; with 5, local targets are overloaded (0.956 instead of 0.978 on an ordinary day
   * of 71 VMs). */
  .cross_domain_cost = 2.5,
  .max_sends_per_target = 2,
  .wide_service_min = MR_WIDE_SERVICE_TARGETS_MIN,
};

/* Delay until the next try after a hedge that found no target. */
static const MrTime HEDGE_RETRY_DELAY = 5 * MR_MS;
/* While no part is answered, the next hedge of a request is sent when the request is this many
 * times as old as at the last one. */
static const int UNANSWERED_HEDGE_SPACING = 3;
/* Parts keep pointers to the targets they tried; no request lasts this long. */
static const MrTime REMOVED_TARGET_TTL = 300 * MR_SECOND;
/* Interval of health checks of targets that are down. */
static const MrTime HEALTH_CHECK_INTERVAL = 50 * MR_MS;

gboolean
mr_relay_stats_are_reliable (const RouteStats *stats)
{
  return stats->latency.count >= SAMPLES_MIN;
}

void
mr_relay_update_stats (RouteStats *stats)
{
  const MrHistogram *latency = &stats->latency;
  stats->hedge_delay =
      (MrTime) (stats->policy->initial_hedge_fraction * (double) stats->latency_goal);
  stats->median = stats->mean;
  if (mr_relay_stats_are_reliable (stats))
    {
      stats->hedge_delay = mr_histogram_quantile (latency, stats->hedge_quantile);
      stats->median = (double) mr_histogram_quantile (latency, 0.5);
    }
  if (stats->lowest_median == 0 || stats->median < stats->lowest_median)
    stats->lowest_median = stats->median;
  stats->hedge_delay = MAX (stats->hedge_delay, stats->policy->min_hedge_delay);
}

MrTime
mr_relay_silence_timeout (const RouteStats *stats)
{
  const MrRelayPolicy *policy = stats->policy;
  MrTime delay = (MrTime) (policy->silence_timeout_factor * stats->mean);
  return CLAMP (delay, policy->silence_timeout_min, policy->silence_timeout_max);
}

MrTime
mr_relay_linger_until (const MrRelay *relay, MrTime now)
{
  MrTime linger = relay->policy->linger;
  return linger == MR_NEVER ? MR_NEVER : now + linger;
}

guint
mr_relay_part_call_count (const RequestPart *part)
{
  guint count = 0;
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (part->calls[i])
      count++;
  return count;
}

gboolean
mr_relay_has_calls (const MrActiveRequest *request)
{
  for (guint i = 0; i < request->part_count; i++)
    if (mr_relay_part_call_count (&request->parts[i]) > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_call_free (MrRelay *relay, MrTime now, Call *call)
{
  mr_relay_record_work (call, now);
  mr_fair_flow_unref (call->flow);
  mr_timers_set (relay->timers, &call->timer, MR_NEVER);
  g_queue_unlink (&call->target->open_calls, &call->target_link);
  call->target->in_flight--;
  g_hash_table_remove (relay->calls, &call->id);
  g_free (call);
}

void
mr_relay_abandon_calls (MrRelay *relay, MrTime now, RequestPart *part, MrTime until)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    {
      Call *call = part->calls[i];
      if (!call)
        continue;
      part->calls[i] = NULL;
      if (relay->host->call_abandoned)
        relay->host->call_abandoned (relay->host, call->id);
      if (until <= now)
        {
          relay->host->close_call (relay->host, call->id);
          mr_relay_call_free (relay, now, call);
          continue;
        }
      call->part = NULL;
      mr_timers_set (relay->timers, &call->timer, until);
    }
}

/* While no part is answered, the content itself may be what makes its targets fail, and each hedge
 * puts one more target at risk: hedges are sent one at a time.  The first answer ends this
 * restriction. */
static MrTime
S_next_hedge_time (const MrActiveRequest *request, const RequestPart *part)
{
  if (part->ended || part->queued)
    return MR_NEVER;
  return request->answered_parts > 0 ? part->hedge_at
                                     : MAX (part->hedge_at, request->next_hedge_at);
}

void
mr_relay_schedule (MrRelay *relay, MrActiveRequest *request)
{
  MrTime due = request->hard_deadline;
  if (request->answered_parts >= request->needed_parts && request->soft_deadline < due)
    due = request->soft_deadline;
  due = MIN (due, request->cancel_at);
  due = MIN (due, mr_relay_next_trial_time (relay, request));
  for (guint i = 0; i < request->part_count && !mr_relay_is_suspicious (request); i++)
    {
      const RequestPart *part = &request->parts[i];
      MrTime hedge_due = S_next_hedge_time (request, part);
      if (hedge_due < due && mr_relay_has_attempts_left (part))
        due = hedge_due;
    }
  mr_timers_set (relay->timers, &request->timer, due);
}

MrCause
mr_relay_time_cause (const MrRelay *relay, const MrActiveRequest *request)
{
  return request->hard_deadline == relay->stop_at ? MR_CAUSE_STOPPING : MR_CAUSE_TIME;
}

void
mr_relay_set_stop_time (MrRelay *relay, MrTime at)
{
  GHashTableIter iter;
  gpointer item = NULL;
  if (!MR_SAFEGUARD (MR_GUARD_STOP_ANSWERS))
    return;
  relay->stop_at = at;
  g_hash_table_iter_init (&iter, relay->requests);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      MrActiveRequest *request = item;
      request->hard_deadline = MIN (request->hard_deadline, at);
      if (request->soft_deadline != MR_NEVER)
        request->soft_deadline = MIN (request->soft_deadline, at);
      mr_relay_schedule (relay, request);
    }
}

static void
S_on_request_timer (MrRelay *relay, MrTime now, MrActiveRequest *request)
{
  if (now >= request->soft_deadline && request->answered_parts >= request->needed_parts)
    {
      request->cause = MR_CAUSE_SOFT_END;
      mr_relay_finish_request (relay, now, request, MR_VERDICT_MERGE);
      return;
    }
  if (now >= request->hard_deadline)
    {
      request->cause = mr_relay_time_cause (relay, request);
      mr_relay_finish_request (relay, now, request,
                               request->cause == MR_CAUSE_STOPPING ? MR_VERDICT_REFUSED
                                                                   : MR_VERDICT_TIMEOUT);
      return;
    }
  if (now >= request->cancel_at)
    {
      mr_relay_cancel_calls (relay, now, request);
      return;
    }
  if (now >= mr_relay_next_trial_time (relay, request))
    {
      mr_relay_begin_trial (relay, now, request);
      return;
    }
  for (guint i = 0; i < request->part_count && !mr_relay_is_suspicious (request); i++)
    {
      RequestPart *part = mr_relay_nth_part_by_risk (request, i);
      if (now < S_next_hedge_time (request, part))
        continue;
      if (mr_relay_hedge (relay, now, part))
        request->next_hedge_at =
            request->arrived + UNANSWERED_HEDGE_SPACING * (now - request->arrived);
      else
        part->hedge_at = now + HEDGE_RETRY_DELAY;
    }
  mr_relay_schedule (relay, request);
}

/* The call's timer has expired: it was abandoned and has lingered for its full time, or its target
 * does not respond. */
static void
S_on_call_timer (MrRelay *relay, MrTime now, Call *call)
{
  MrTargetState *target = call->target;
  if (!call->part)
    {
      MrTime started = call->started;
      mr_relay_record_unanswered (call, now);
      relay->host->close_call (relay->host, call->id);
      mr_relay_call_free (relay, now, call);
      mr_relay_apply_health_action (relay, now, target,
                                    mr_health_on_connection_lost (&target->health, started, now));
      return;
    }
  relay->counts.silent++;
  mr_timers_set (relay->timers, &call->timer, now + relay->policy->silence_timeout_max);
  mr_relay_apply_health_action (relay, now, target,
                                mr_health_on_timeout (&target->health, call->started, now));
}

/* Frees removed targets that no request can refer to any more. */
static void
S_free_removed_targets (MrRelay *relay, MrTime now)
{
  for (guint i = 0; i < relay->removed_targets->len;)
    {
      const MrTargetState *target = g_ptr_array_index (relay->removed_targets, i);
      if (target->in_flight == 0 && now - target->health.leaving_since > REMOVED_TARGET_TTL)
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
  relay->next_health_check = now + HEALTH_CHECK_INTERVAL;
  relay->any_target_down = FALSE;
  g_hash_table_iter_init (&iter, relay->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrTargetState *target = item;
      if (target->health.state == MR_HEALTH_DOWN)
        mr_relay_apply_health_action (relay, now, target, mr_health_tick (&target->health, now));
    }
  S_free_removed_targets (relay, now);
}

MrTime
mr_relay_tick (MrRelay *relay, MrTime now)
{
  for (MrTimer *timer = mr_timers_pop (relay->timers, now); timer;
       timer = mr_timers_pop (relay->timers, now))
    {
      TimerOwnerKind owner_kind = *(TimerOwnerKind *) timer->owner;
      if (owner_kind == TIMER_REQUEST)
        S_on_request_timer (relay, now, timer->owner);
      else if (owner_kind == TIMER_CALL)
        S_on_call_timer (relay, now, timer->owner);
      else
        mr_relay_crash_check_due (relay, now, timer->owner);
    }
  if (now >= relay->next_health_check)
    S_check_health (relay, now);
  MrTime next = mr_timers_next_due (relay->timers);
  return relay->any_target_down ? MIN (next, relay->next_health_check) : next;
}
