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
mr_relay_stalled (const MrTargetState *target, MrTime now)
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
  if (mr_relay_stalled (target, now))
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
 * refused may be asked again: it costs a retry, as another would.  Once only:
 * targets that refuse everything were sent 27 calls of one request in a millisecond,
 * and the retries of all others with them. */
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

void
mr_relay_note_sent (Job *job, const MrTargetState *target)
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
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    tried->state = tried->seen ? TRIED_REFUSED : TRIED_UNSEEN;
  if (outcome == MR_CALL_SHED)
    tried->state = TRIED_REFUSED;
}

/* A target whose region nobody knows is in none of the homes. */
static gboolean
S_is_at_home (const MrRoute *route, const MrTargetState *target)
{
  if (!route->homes || !MR_SAFEGUARD (MR_GUARD_HOMES))
    return TRUE;
  return target->region && g_strv_contains ((const char *const *) route->homes, target->region);
}

gboolean
mr_relay_may_go (const MrRelay *relay, MrTime now, const Job *job, const MrTargetState *target)
{
  MrRelayHost *host = relay->host;
  if (!S_may_try (job, target) || !S_is_at_home (job->work->route, target))
    return FALSE;
  return !host->holds || host->holds (host, job->work->request, target, now);
}

MrCause
mr_relay_no_target_cause (const Service *service)
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
mr_relay_pick (MrRelay *relay, MrTime now, const Job *job, gboolean *hope)
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
      if (!mr_target_state_hopeful (target, now) || !mr_relay_may_go (relay, now, job, target))
        continue;
      *hope = TRUE;
      if (!mr_target_state_bears (target, now) || !mr_target_state_free_slot (target))
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
