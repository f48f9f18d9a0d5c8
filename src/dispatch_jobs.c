#include "dispatch_private.h"

#include "log.h"

enum
{
  SAMPLES_MIN = 20, /* under this the quantile is not used */
};

/* A class waits as if it had come this much later: urgent calls overtake, but a
 * lower class that has waited longer than the lag goes first (aging). */
static const MrTime class_lag[MR_CLASS_COUNT] = {
  [MR_CLASS_URGENT] = 0,
  [MR_CLASS_INTERACTIVE] = 100 * MR_MS,
  [MR_CLASS_BROWSING] = 400 * MR_MS,
};
/* A call is silent past this many times the hedge quantile. */
static const double SILENT_FACTOR = 6;
static const MrTime SILENT_MIN = 50 * MR_MS;
static const MrTime SILENT_MAX = 2 * MR_SECOND;
static const MrTime HEDGE_MIN = 2 * MR_MS;

/* Microseconds after which a call of @service is slow enough to hedge. */
MrTime
mr_dispatch_hedge_delay (const Work *work)
{
  const MrHistogram *latency = &work->service->latency;
  if (latency->total < SAMPLES_MIN)
    return MAX ((work->batch->deadline - work->arrived) / 4, HEDGE_MIN);
  double quantile = work->batch->policy.hedge_quantile;
  return MAX (mr_histogram_quantile (latency, quantile), HEDGE_MIN);
}

MrTime
mr_dispatch_silent_delay (const Work *work)
{
  MrTime delay = (MrTime) (SILENT_FACTOR * (double) mr_dispatch_hedge_delay (work));
  return CLAMP (delay, SILENT_MIN, SILENT_MAX);
}

guint
mr_dispatch_service_waiting (const Service *service)
{
  guint sum = 0;
  for (int i = 0; i < MR_CLASS_COUNT; i++)
    sum += service->waiting[i];
  return sum;
}

/* Health. */

static void
S_probe (gpointer owner, const MrTargetState *target)
{
  MrDispatchHost *host = ((MrDispatch *) owner)->host;
  host->probe (host, target);
}

static void
S_renew (gpointer owner, const MrTargetState *target)
{
  MrDispatchHost *host = ((MrDispatch *) owner)->host;
  host->renew (host, target);
}

static const MrTargetOps target_ops = { .probe = S_probe, .renew = S_renew };

void
mr_dispatch_act (MrDispatch *d, MrTime now, MrTargetState *target, MrHealthAction action)
{
  mr_target_state_act (target, now, action, &target_ops, d);
  if (mr_health_usable (&target->health))
    mr_dispatch_pump (d, now, target);
}

/* Queues. */

void
mr_dispatch_unlink_job (Job *job)
{
  MrClass cls = job->work->batch->traffic_class;
  if (job->linked)
    job->work->service->waiting[cls]--;
  for (guint i = 0; i < job->replica_count; i++)
    if (job->linked & (1U << i))
      g_queue_unlink (&job->replicas[i]->waiting[cls], &job->links[i]);
  job->linked = 0;
}

static void
S_link_job (Job *job, guint replica)
{
  MrClass cls = job->work->batch->traffic_class;
  if (!job->linked)
    job->work->service->waiting[cls]++;
  job->linked |= (guint8) (1U << replica);
  job->links[replica] = (GList){ .data = job };
  g_queue_push_tail_link (&job->replicas[replica]->waiting[cls], &job->links[replica]);
}

/* The job at @target that goes next: least arrival plus lag of its class. */
static Job *
S_next_job (MrTargetState *target)
{
  Job *best = NULL;
  MrTime best_key = MR_NEVER;
  for (int cls = 0; cls < MR_CLASS_COUNT; cls++)
    {
      Job *job = g_queue_peek_head (&target->waiting[cls]);
      if (!job || job->work->arrived + class_lag[cls] >= best_key)
        continue;
      best = job;
      best_key = job->work->arrived + class_lag[cls];
    }
  return best;
}

/* Calls. */

Call **
mr_dispatch_call_place (Job *job, const Call *call)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    if (job->calls[i] == call)
      return &job->calls[i];
  return NULL;
}

void
mr_dispatch_start (MrDispatch *d, MrTime now, Job *job, guint replica)
{
  Work *work = job->work;
  Call **place = mr_dispatch_call_place (job, NULL);
  g_return_if_fail (place != NULL);
  Call *call = g_new (Call, 1);
  *call = (Call){
    .id = ++d->last_call,
    .job = job,
    .target = job->replicas[replica],
    .replica = replica,
    .started = now,
  };
  *place = call;
  job->tried |= (guint8) (1U << replica);
  g_hash_table_insert (d->calls, &call->id, call);
  call->target->in_flight++;
  call->target->calls++;
  work->calls++;
  d->counts.calls++;
  if (job->retry)
    work->extra++;
  job->retry = FALSE;
  work->check_at = MIN (work->check_at, now + mr_dispatch_hedge_delay (work));
  MrCallStart start = {
    .id = call->id,
    .target = call->target,
    .batch = work->batch,
    .shard = job->shard,
  };
  d->host->start_call (d->host, &start);
}

static gboolean
S_may_serve (MrTime now, const Job *job, const MrTargetState *target)
{
  return mr_health_usable (&target->health) &&
         mr_target_state_holds (target, job->work->batch->map, now);
}

/* Best replica not tried that has a free slot; -1 if there is none. */
int
mr_dispatch_pick_free (MrDispatch *d, MrTime now, const Job *job)
{
  int best = -1;
  double best_cost = G_MAXDOUBLE;
  guint offset = (guint) g_rand_int_range (d->random, 0, MR_REPLICAS_MAX);
  for (guint n = 0; n < job->replica_count; n++)
    {
      guint i = (n + offset) % job->replica_count;
      MrTargetState *target = job->replicas[i];
      if ((job->tried & (1U << i)) || !S_may_serve (now, job, target) ||
          !mr_target_state_free_slot (target))
        continue;
      double cost = mr_target_state_cost (target);
      if (cost < best_cost)
        {
          best = (int) i;
          best_cost = cost;
        }
    }
  return best;
}

gboolean
mr_dispatch_has_call (const Job *job)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    if (job->calls[i])
      return TRUE;
  return FALSE;
}

/* A call that lost to its hedge would have taken longer than this; left out,
 * the quantile would sink until half of the hedges went to ordinary calls. */
static void
S_note_lost_call (const Job *job, MrTime now, const Call *call)
{
  if (job->hedged && !job->work->finished)
    mr_histogram_add (&job->work->service->latency, now - call->started);
}

/* A job's calls are no longer wanted: their answers are passed over, their
 * slots stay counted until the transport reports the end. */
void
mr_dispatch_drop_calls (MrDispatch *d, MrTime now, Job *job)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    {
      Call *call = job->calls[i];
      if (!call)
        continue;
      S_note_lost_call (job, now, call);
      job->calls[i] = NULL;
      call->job = NULL;
      d->counts.cancelled++;
      d->host->cancel_call (d->host, call->id);
    }
}

void
mr_dispatch_end_job (MrDispatch *d, MrTime now, Job *job)
{
  if (job->ended)
    return;
  job->ended = TRUE;
  mr_dispatch_unlink_job (job);
  mr_dispatch_drop_calls (d, now, job);
  Work *work = job->work;
  if (--work->open == 0)
    mr_dispatch_finish (d, now, work, MR_PARTIAL_ANSWER);
}

/* Sends the job now, or queues it at every replica that may yet serve it; ends
 * it if there is none. */
void
mr_dispatch_place (MrDispatch *d, MrTime now, Job *job)
{
  int replica = mr_dispatch_pick_free (d, now, job);
  if (replica >= 0)
    {
      mr_dispatch_start (d, now, job, (guint) replica);
      return;
    }
  for (guint i = 0; i < job->replica_count; i++)
    {
      MrHealthState state = job->replicas[i]->health.state;
      bool hope = state == MR_HEALTH_SUSPECT || S_may_serve (now, job, job->replicas[i]);
      if (hope && !(job->tried & (1U << i)) && !(job->linked & (1U << i)))
        S_link_job (job, i);
    }
  if (!job->linked && !mr_dispatch_has_call (job))
    mr_dispatch_end_job (d, now, job);
}

/* TRUE if a call begun now has little chance to be back in time. */
static gboolean
S_too_late (const Work *work, MrTime now)
{
  return now + (MrTime) (work->service->mean / 2) >= work->batch->deadline;
}

void
mr_dispatch_pump (MrDispatch *d, MrTime now, MrTargetState *target)
{
  while (mr_health_usable (&target->health) && mr_target_state_free_slot (target))
    {
      Job *job = S_next_job (target);
      if (!job)
        return;
      if (S_too_late (job->work, now))
        {
          d->counts.expired++;
          if (job->work->calls == 0)
            mr_dispatch_finish (d, now, job->work, MR_PARTIAL_DEADLINE);
          else
            mr_dispatch_end_job (d, now, job);
          continue;
        }
      mr_dispatch_unlink_job (job);
      for (guint i = 0; i < job->replica_count; i++)
        if (job->replicas[i] == target)
          {
            mr_dispatch_start (d, now, job, i);
            break;
          }
    }
}

/* @target takes no more work: jobs that wait there look for another replica. */
void
mr_dispatch_evict_waiting (MrDispatch *d, MrTime now, MrTargetState *target)
{
  for (int cls = 0; cls < MR_CLASS_COUNT; cls++)
    for (Job *job = g_queue_peek_head (&target->waiting[cls]); job;
         job = g_queue_peek_head (&target->waiting[cls]))
      {
        mr_dispatch_unlink_job (job);
        mr_dispatch_place (d, now, job);
      }
}

void
mr_dispatch_leave (MrDispatch *d, MrTime now, MrTargetState *target, const char *sign)
{
  if (target->health.state != MR_HEALTH_LEAVING)
    mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: %s", target->id,
            target->key, sign);
  mr_health_on_leaving (&target->health, now);
  if (!mr_health_usable (&target->health))
    mr_dispatch_evict_waiting (d, now, target);
}
