#include "relay_private.h"

#include "safeguard.h"

/* A target that has just started takes this much longer, by its operators. */
static const double COLD_COST = 1.6;
/* A target whose oldest call has gone unanswered for this many times the usual
 * stands still (a pause, a crash, a lost path): it gets first sends only if
 * there is no other.  Searchers that pause for 250 ms every 6 s meet a third of
 * all wide searches; passing them over costs no hedge. */
static const double STALLED_FACTOR = 2.5;
static const MrTime STALLED_MIN = 15 * MR_MS;
static const double STALLED_COST = 50;
/* Weight of failures: a target that fails half of its calls costs 31 times as much
 * as one that fails none, so that it gets what the others have no room for.  Second
 * sends repair a fifth of all calls; with a weight of 10, as good as a far target or a
 * busy one, 29 % were refused where half of the targets refused 45 %. */
static const double FAILING_COST = 60;

gboolean
mr_relay_is_stalled (const MrTargetState *target, MrTime now)
{
  const Call *oldest = g_queue_peek_head (&((MrTargetState *) target)->open_calls);
  if (!oldest || target->health.last_response_at > oldest->started)
    return FALSE;
  MrTime usual = (MrTime) (STALLED_FACTOR * oldest->stats->median);
  return now - oldest->started > MAX (usual, STALLED_MIN);
}

static double
S_cost (const MrRelay *relay, MrTime now, const MrTargetState *target)
{
  double cost = target->relative_latency * (target->in_flight + 1) *
                (1 + FAILING_COST * target->failure_rate);
  if (relay->domain && !g_str_equal (target->domain, relay->domain))
    cost *= relay->policy->cross_domain_cost;
  if (now < target->cold_until)
    cost *= COLD_COST;
  if (mr_relay_is_stalled (target, now))
    cost *= STALLED_COST;
  return cost;
}

static TargetAttempt *
S_find_tried (RequestPart *job, const MrTargetState *target)
{
  for (guint i = 0; i < job->attempt_count; i++)
    if (job->attempts[i].target == target)
      return &job->attempts[i];
  return NULL;
}

/* Targets that the job was sent to, as the bound counts them. */
static guint
S_count_seen (const RequestPart *job)
{
  guint count = 0;
  for (guint i = 0; i < job->attempt_count; i++)
    count += job->attempts[i].has_refused || job->attempts[i].state == ATTEMPT_SENT ? 1 : 0;
  return count;
}

/* The bound is on targets that one request may be sent to, so that one that has
 * refused may be asked again: it costs a retry, as another would.  Once only:
 * targets that refuse everything were sent 27 calls of one request in a millisecond,
 * and the retries of all others with them. */
static gboolean
S_may_ask_again (const RequestPart *job, const TargetAttempt *tried)
{
  const MrRelayPolicy *policy = job->request->stats->policy;
  return tried->state == ATTEMPT_REFUSED && tried->send_count < policy->max_sends_per_target;
}

static gboolean
S_may_try (const RequestPart *job, const MrTargetState *target)
{
  const MrActiveRequest *work = job->request;
  const TargetAttempt *tried = S_find_tried ((RequestPart *) job, target);
  if (tried)
    return S_may_ask_again (job, tried);
  return S_count_seen (job) < work->route->attempt_limit && job->attempt_count < PART_ATTEMPTS_MAX;
}

gboolean
mr_relay_has_attempts_left (const RequestPart *job)
{
  const MrActiveRequest *work = job->request;
  if (S_count_seen (job) < work->route->attempt_limit)
    return TRUE;
  for (guint i = 0; i < job->attempt_count; i++)
    if (S_may_ask_again (job, &job->attempts[i]))
      return TRUE;
  return FALSE;
}

void
mr_relay_record_send (RequestPart *job, const MrTargetState *target)
{
  TargetAttempt *tried = S_find_tried (job, target);
  if (!tried && job->attempt_count == PART_ATTEMPTS_MAX)
    return;
  if (!tried)
    tried = &job->attempts[job->attempt_count++];
  tried->target = target;
  tried->state = ATTEMPT_SENT;
  tried->send_count++;
}

void
mr_relay_record_attempt (RequestPart *job, const MrTargetState *target, MrCallOutcome outcome)
{
  TargetAttempt *tried = S_find_tried (job, target);
  if (!tried)
    return;
  tried->has_refused |= outcome == MR_CALL_SHED;
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    tried->state = tried->has_refused ? ATTEMPT_REFUSED : ATTEMPT_UNSENT;
  if (outcome == MR_CALL_SHED)
    tried->state = ATTEMPT_REFUSED;
}

/* A target whose region nobody knows is in none of the homes. */
static gboolean
S_is_at_home (const MrRoute *route, const MrTargetState *target)
{
  if (!route->home_regions || !MR_SAFEGUARD (MR_GUARD_HOMES))
    return TRUE;
  return target->region &&
         g_strv_contains ((const char *const *) route->home_regions, target->region);
}

gboolean
mr_relay_may_send_to (const MrRelay *relay,
                      MrTime now,
                      const RequestPart *job,
                      const MrTargetState *target)
{
  MrRelayHost *host = relay->host;
  if (!S_may_try (job, target) || !S_is_at_home (job->request->route, target))
    return FALSE;
  return !host->can_serve || host->can_serve (host, job->request->host_request, target, now);
}

MrCause
mr_relay_no_target_cause (const TargetGroup *service)
{
  for (guint i = 0; i < service->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (service->targets, i);
      if (target->evacuated && mr_health_usable (&target->health))
        return MR_CAUSE_EVACUATED;
    }
  return MR_CAUSE_NO_TARGET;
}

MrTargetState *
mr_relay_choose_target (MrRelay *relay, MrTime now, const RequestPart *job, gboolean *hope)
{
  const GPtrArray *targets = job->group->targets;
  MrTargetState *best = NULL;
  double best_cost = G_MAXDOUBLE;
  *hope = FALSE;
  guint offset =
      targets->len > 1 ? (guint) g_rand_int_range (relay->random, 0, (gint32) targets->len) : 0;
  for (guint n = 0; n < targets->len; n++)
    {
      MrTargetState *target = g_ptr_array_index (targets, (n + offset) % targets->len);
      if (!mr_target_state_may_become_usable (target, now) ||
          !mr_relay_may_send_to (relay, now, job, target))
        continue;
      *hope = TRUE;
      if (!mr_target_state_can_take_call (target, now) || !mr_target_state_has_free_slot (target))
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
