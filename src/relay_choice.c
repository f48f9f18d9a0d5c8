#include "relay_private.h"

#include "safeguard.h"

/* A cold target is slower by this factor, as given by its operators. */
static const double COLD_COST_FACTOR = 1.6;
/* A target whose oldest call has been unanswered for this multiple of the median latency is stalled
 * (a pause, a crash, a lost path): it gets first sends only if there is no other target.  Where
 * searchers pause for 250 ms every 6 s, a third of all searches over all shards meets a pause;
 * avoiding such targets saves hedges. */
static const double STALLED_FACTOR = 2.5;
static const MrTime STALLED_MIN = 15 * MR_MS;
static const double STALLED_COST_FACTOR = 50;
/* A target that fails half of its calls costs 31 times as much as one that fails none, so that it
 * only gets calls that the others have no room for.  Resends repair only a fifth of all calls: with
 * a weight of 10, which made such a target equal to a remote or a busy one, 29 % of the requests
 * were refused where half of the targets refused 45 % of their calls. */
static const double FAILURE_COST_WEIGHT = 60;
/* A target that has responded this recently probably has an idle connection to this daemon.  Idle
 * connections are closed after 4 s, or earlier if the target says so; those of calls that are not
 * idempotent are reused for 500 ms (target_client.c). */
static const MrTime REUSE_TIME = 2800 * MR_MS;
static const MrTime NON_IDEMPOTENT_REUSE_TIME = 500 * MR_MS;

gboolean
mr_relay_is_stalled (const MrTargetState *target, MrTime now)
{
  const Call *oldest = g_queue_peek_head (&((MrTargetState *) target)->open_calls);
  if (!oldest || target->health.last_response_at > oldest->started)
    return FALSE;
  MrTime usual = (MrTime) (STALLED_FACTOR * oldest->stats->median);
  return now - oldest->started > MAX (usual, STALLED_MIN);
}

/* @latency: expected latency of a call, relative to the typical one. */
static double
S_cost (const MrRelay *relay, MrTime now, const MrTargetState *target, double latency)
{
  double cost =
      latency * (target->in_flight + 1) * (1 + FAILURE_COST_WEIGHT * target->failure_rate);
  if (relay->domain && !g_str_equal (target->domain, relay->domain))
    cost *= relay->policy->cross_domain_cost;
  if (now < target->cold_until)
    cost *= COLD_COST_FACTOR;
  if (mr_relay_is_stalled (target, now))
    cost *= STALLED_COST_FACTOR;
  return cost;
}

static TargetAttempt *
S_find_attempt (RequestPart *part, const MrTargetState *target)
{
  for (guint i = 0; i < part->attempt_count; i++)
    if (part->attempts[i].target == target)
      return &part->attempts[i];
  return NULL;
}

/* Targets that the part has reached, as counted by the attempt limit. */
static guint
S_count_targets_reached (const RequestPart *part)
{
  guint count = 0;
  for (guint i = 0; i < part->attempt_count; i++)
    count += part->attempts[i].has_refused || part->attempts[i].state == ATTEMPT_SENT ? 1 : 0;
  return count;
}

/* The attempt limit bounds the targets that a request is sent to, so a target that has refused may
 * be sent the same call again, at the price of a retry, up to the policy's limit.  Without that
 * limit, targets that refuse everything were sent 27 calls of one request within a millisecond,
 * which used up the retries of all other requests. */
static gboolean
S_may_resend (const RequestPart *part, const TargetAttempt *attempt)
{
  const MrRelayPolicy *policy = part->request->stats->policy;
  return attempt->state == ATTEMPT_REFUSED && attempt->send_count < policy->max_sends_per_target;
}

static gboolean
S_may_attempt (const RequestPart *part, const MrTargetState *target)
{
  const MrActiveRequest *request = part->request;
  const TargetAttempt *attempt = S_find_attempt ((RequestPart *) part, target);
  if (attempt)
    return S_may_resend (part, attempt);
  return S_count_targets_reached (part) < request->route->attempt_limit &&
         part->attempt_count < PART_ATTEMPTS_MAX;
}

gboolean
mr_relay_has_attempts_left (const RequestPart *part)
{
  const MrActiveRequest *request = part->request;
  if (S_count_targets_reached (part) < request->route->attempt_limit)
    return TRUE;
  for (guint i = 0; i < part->attempt_count; i++)
    if (S_may_resend (part, &part->attempts[i]))
      return TRUE;
  return FALSE;
}

void
mr_relay_record_send (RequestPart *part, const MrTargetState *target)
{
  TargetAttempt *attempt = S_find_attempt (part, target);
  if (!attempt && part->attempt_count == PART_ATTEMPTS_MAX)
    return;
  if (!attempt)
    attempt = &part->attempts[part->attempt_count++];
  attempt->target = target;
  attempt->state = ATTEMPT_SENT;
  attempt->send_count++;
}

void
mr_relay_record_attempt (RequestPart *part, const MrTargetState *target, MrCallOutcome outcome)
{
  TargetAttempt *attempt = S_find_attempt (part, target);
  if (!attempt)
    return;
  attempt->has_refused |= outcome == MR_CALL_SHED;
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    attempt->state = attempt->has_refused ? ATTEMPT_REFUSED : ATTEMPT_UNSENT;
  if (outcome == MR_CALL_SHED)
    attempt->state = ATTEMPT_REFUSED;
}

/* A target of unknown region is in none of the route's home regions. */
static gboolean
S_is_in_home_region (const MrRoute *route, const MrTargetState *target)
{
  if (!route->home_regions || !MR_SAFEGUARD (MR_GUARD_HOMES))
    return TRUE;
  return target->region &&
         g_strv_contains ((const char *const *) route->home_regions, target->region);
}

gboolean
mr_relay_may_send_to (const MrRelay *relay,
                      MrTime now,
                      const RequestPart *part,
                      const MrTargetState *target)
{
  MrRelayHost *host = relay->host;
  if (!S_may_attempt (part, target) || !S_is_in_home_region (part->request->route, target))
    return FALSE;
  return !host->can_serve || host->can_serve (host, part->request->host_request, target, now);
}

MrCause
mr_relay_no_target_cause (const TargetGroup *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (group->targets, i);
      if (target->evacuated && mr_health_usable (&target->health))
        return MR_CAUSE_EVACUATED;
    }
  return MR_CAUSE_NO_TARGET;
}

static gboolean
S_is_wide_service (const GPtrArray *targets, guint min)
{
  guint usable = 0;
  for (guint i = 0; i < targets->len && usable < min; i++)
    usable += mr_target_state_usable (g_ptr_array_index (targets, i)) ? 1 : 0;
  return usable >= min;
}

/* TRUE if the part can be sent to @target now.  Sets @any_eligible if it may be now or later. */
static gboolean
S_is_candidate (const MrRelay *relay,
                MrTime now,
                const RequestPart *part,
                const MrTargetState *target,
                gboolean *any_eligible)
{
  if (!mr_target_state_may_become_usable (target, now) ||
      !mr_relay_may_send_to (relay, now, part, target))
    return FALSE;
  *any_eligible = TRUE;
  return mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target);
}

static MrTargetCandidate
S_make_candidate (const MrRelay *relay, MrTime now, const RequestPart *part, MrTargetState *target)
{
  const Call *latest = g_queue_peek_tail (&target->open_calls);
  MrTime responded = target->health.last_response_at;
  MrTime reusable_for = part->request->route->idempotent ? REUSE_TIME : NON_IDEMPOTENT_REUSE_TIME;
  return (MrTargetCandidate){
    .target = target,
    .cost = S_cost (relay, now, target, mr_speed_estimate_get (&target->speed, now)),
    .last_used = MAX (responded, latest ? latest->started : 0),
    .has_idle_connection =
        target->in_flight == 0 && responded > 0 && now - responded < reusable_for,
  };
}

static MrTargetState *
S_choose_in_wide_service (
    MrRelay *relay, MrTime now, const RequestPart *part, guint offset, gboolean *any_eligible)
{
  const GPtrArray *targets = part->group->targets;
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (MrTargetCandidate));
  for (guint n = 0; n < targets->len; n++)
    {
      MrTargetState *target = g_ptr_array_index (targets, (n + offset) % targets->len);
      if (!S_is_candidate (relay, now, part, target, any_eligible))
        continue;
      MrTargetCandidate candidate = S_make_candidate (relay, now, part, target);
      g_array_append_val (candidates, candidate);
    }
  return mr_target_choice (candidates, relay->random);
}

MrTargetState *
mr_relay_choose_target (MrRelay *relay, MrTime now, const RequestPart *part, gboolean *any_eligible)
{
  const GPtrArray *targets = part->group->targets;
  MrTargetState *best = NULL;
  double best_cost = G_MAXDOUBLE;
  *any_eligible = FALSE;
  guint offset =
      targets->len > 1 ? (guint) g_rand_int_range (relay->random, 0, (gint32) targets->len) : 0;
  if (S_is_wide_service (targets, relay->policy->wide_service_min))
    return S_choose_in_wide_service (relay, now, part, offset, any_eligible);
  for (guint n = 0; n < targets->len; n++)
    {
      MrTargetState *target = g_ptr_array_index (targets, (n + offset) % targets->len);
      if (!S_is_candidate (relay, now, part, target, any_eligible))
        continue;
      double cost = S_cost (relay, now, target, target->relative_latency);
      if (cost < best_cost)
        {
          best = target;
          best_cost = cost;
        }
    }
  return best;
}
