#include "relay_private.h"

#include "safeguard.h"

/* When to come back where no target is known to work: a target is probed again
 * within this time. */
static const MrTime RETRY_NO_TARGET = 400 * MR_MS;
/* An evacuation lasts for seconds at least. */
static const MrTime RETRY_EVACUATED = 1 * MR_SECOND;
/* Another daemon may have found out by then whether a suspicion holds. */
static const MrTime RETRY_SUSPECT = 300 * MR_MS;
static const MrTime RETRY_MIN = 100 * MR_MS;
static const MrTime RETRY_MAX = 2 * MR_SECOND;

static MrTime
S_retry_after (const MrRelayWork *work, MrTime now)
{
  MrTime wait = 0;
  if (work->cause == MR_CAUSE_QUARANTINED)
    return 0; /* it is not to come back */
  for (guint i = 0; i < work->part_count; i++)
    wait = MAX (wait, mr_relay_expected_wait (&work->jobs[i], now));
  if (work->cause == MR_CAUSE_NO_TARGET)
    wait = MAX (wait, RETRY_NO_TARGET);
  if (work->cause == MR_CAUSE_EVACUATED)
    wait = MAX (wait, RETRY_EVACUATED);
  if (work->cause == MR_CAUSE_SUSPECT)
    wait = MAX (wait, RETRY_SUSPECT);
  return CLAMP (wait, RETRY_MIN, RETRY_MAX);
}

static void
S_count (MrRelay *r, MrVerdict verdict, guint missing)
{
  switch (verdict)
    {
    case MR_VERDICT_ANSWER:
    case MR_VERDICT_MERGE:
      r->counts.partial += missing > 0 ? 1 : 0;
      break;
    case MR_VERDICT_REFUSED:
      r->counts.refused++;
      break;
    case MR_VERDICT_FAILED:
      r->counts.failed++;
      break;
    case MR_VERDICT_TIMEOUT:
      r->counts.timeouts++;
      break;
    }
}

void
mr_relay_finish (MrRelay *r, MrTime now, MrRelayWork *work, MrVerdict verdict)
{
  /* "Not run" is a promise: a call that is still out may yet run. */
  gboolean may_run = (work->ran || mr_relay_has_calls (work)) && MR_SAFEGUARD (MR_GUARD_NOT_RUN);
  MrTime linger = mr_relay_linger (r, now);
  if (verdict == MR_VERDICT_REFUSED && may_run)
    verdict = MR_VERDICT_FAILED;
  if (verdict == MR_VERDICT_TIMEOUT && !may_run)
    verdict = MR_VERDICT_REFUSED;
  MrRelayResult result = {
    .verdict = verdict,
    .cause = work->cause,
    .retry_after = verdict == MR_VERDICT_REFUSED ? S_retry_after (work, now) : 0,
    .part_count = work->part_count,
    .answers = work->answers,
    .missing = work->part_count - work->have,
    .due = work->cause == MR_CAUSE_SOFT_END ? work->soft_end : 0,
    .may_have_run = may_run,
    .sends = work->sends,
    .expected_wait =
        verdict == MR_VERDICT_REFUSED ? mr_relay_expected_wait (&work->jobs[0], now) : 0,
  };
  S_count (r, verdict, result.missing);
  if (work->cause == MR_CAUSE_QUARANTINED)
    r->counts.quarantined++;
  g_hash_table_remove (r->works, work);
  mr_relay_leave_content (r, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_unqueue (&work->jobs[i]);
      mr_relay_orphan_calls (r, now, &work->jobs[i], linger);
    }
  r->host->done (r->host, work->request, &result);
  mr_relay_work_free (r, work);
}

void
mr_relay_forget (MrRelay *r, MrTime now, MrRelayWork *work)
{
  /* Searchers drop the work of a connection that closes.  A request that may not
   * be repeated is left to finish: its caller wants it done, if not told. */
  MrTime until = work->route->repeatable ? now : work->hard_end;
  if (r->policy->linger == MR_NEVER)
    until = MR_NEVER;
  g_hash_table_remove (r->works, work);
  mr_relay_leave_content (r, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_unqueue (&work->jobs[i]);
      mr_relay_orphan_calls (r, now, &work->jobs[i], until);
    }
  for (guint i = 0; i < work->part_count; i++)
    mr_relay_pump (r, now, work->jobs[i].service);
  mr_relay_work_free (r, work);
}

/* The last answer that told a failure goes to the caller as it is, rather than
 * an error of ours that says less. */
static gboolean
S_pass_failure_on (MrRelayWork *work)
{
  Job *job = &work->jobs[0];
  if (work->route->kind >= MR_ROUTE_SHARDS || !job->failure)
    return FALSE;
  work->answers[0] = g_steal_pointer (&job->failure);
  work->have = 1;
  return TRUE;
}

void
mr_relay_end_job (MrRelay *r, MrTime now, Job *job, MrCause cause)
{
  MrRelayWork *work = job->work;
  if (job->ended)
    return;
  job->ended = TRUE;
  work->open--;
  if (cause != MR_CAUSE_NONE)
    work->cause = cause;
  if (work->have + work->open < work->needed)
    {
      gboolean passed = S_pass_failure_on (work);
      if (!passed && work->route->kind == MR_ROUTE_SHARDS && work->part_count > 1 && work->ran)
        work->cause = MR_CAUSE_FEW_SHARDS;
      mr_relay_finish (r, now, work, passed ? MR_VERDICT_ANSWER : MR_VERDICT_REFUSED);
      return;
    }
  if (work->open > 0)
    {
      if (work->have >= work->needed && now >= work->soft_end)
        mr_relay_finish (r, now, work, MR_VERDICT_MERGE);
      else
        {
          mr_relay_schedule (r, work);
          mr_relay_end_stage (r, now, work);
        }
      return;
    }
  gboolean merged = work->route->kind >= MR_ROUTE_SHARDS;
  mr_relay_finish (r, now, work, merged ? MR_VERDICT_MERGE : MR_VERDICT_ANSWER);
}

static gboolean
S_not_run (MrCallOutcome outcome)
{
  return outcome == MR_CALL_SHED || outcome == MR_CALL_DRAINING || outcome == MR_CALL_MISDIRECTED ||
         outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN;
}

/* A call that the job waited for has ended without the wanted answer. */
static void
S_settle (
    MrRelay *r, MrTime now, Job *job, MrTargetState *target, MrCallOutcome outcome, gpointer answer)
{
  MrRelayWork *work = job->work;
  if (outcome == MR_CALL_BROKEN)
    mr_relay_doubt (r, now, job, target);
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    job->sends--; /* no target has seen it */
  else
    job->reached = work->trial == job;
  if (!S_not_run (outcome))
    work->ran = TRUE;
  if (outcome == MR_CALL_ERROR && answer)
    {
      if (job->failure)
        r->host->free_answer (job->failure);
      job->failure = answer;
    }
  else if (answer)
    r->host->free_answer (answer);
  if (mr_relay_job_calls (job) > 0)
    return;
  /* A connection that broke says nothing: the target may have run the request
   * and lost only the answer. */
  if (!work->route->repeatable && !S_not_run (outcome) && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    {
      mr_relay_end_job (r, now, job, MR_CAUSE_BROKEN);
      return;
    }
  if (job->doubts == 0)
    mr_relay_go_on (r, now, job);
}

/* A call that lost to a hedge would have taken longer than this.  Where it
 * is cancelled nothing else tells; left out, the quantile would sink until half
 * of the hedges went to ordinary calls. */
static void
S_note_lost_calls (const MrRelay *r, MrTime now, const Job *job)
{
  for (guint i = 0; r->host->unwanted && i < CALLS_OF_JOB; i++)
    if (job->calls[i])
      mr_histogram_add (&job->calls[i]->kind->latency, now - job->calls[i]->started);
}

static void
S_take_answer (MrRelay *r, MrTime now, Job *job, gpointer answer)
{
  MrRelayWork *work = job->work;
  MrFingerprint fingerprint = work->fingerprint;
  work->answers[job->part] = answer;
  work->ran = TRUE;
  work->have++;
  S_note_lost_calls (r, now, job);
  mr_relay_orphan_calls (r, now, job, mr_relay_linger (r, now));
  mr_relay_end_job (r, now, job, MR_CAUSE_NONE);
  mr_relay_note_answered (r, now, fingerprint);
}

static void
S_note_end (const Call *call, MrTime now, MrCallOutcome outcome)
{
  MrSendNote *note = &g_array_index (call->job->work->sends, MrSendNote, call->note);
  note->ended = TRUE;
  note->outcome = outcome;
  note->took = now - call->started;
}

void
mr_relay_withdraw_calls (MrRelay *r, MrTime now, Job *job)
{
  for (guint i = 0; i < CALLS_OF_JOB; i++)
    if (job->calls[i])
      S_note_end (job->calls[i], now, MR_CALL_CANCELLED);
  mr_relay_orphan_calls (r, now, job, r->policy->linger == MR_NEVER ? MR_NEVER : now);
}

void
mr_relay_call_end (MrRelay *r, MrTime now, guint64 id, MrCallOutcome outcome, gpointer answer)
{
  Call *call = g_hash_table_lookup (r->calls, &id);
  if (!call)
    {
      if (answer)
        r->host->free_answer (answer);
      return;
    }
  Job *job = call->job;
  MrTargetState *target = call->target;
  MrTime started = call->started;
  MrFingerprint fingerprint = call->fingerprint;
  if (outcome == MR_CALL_ANSWER)
    mr_relay_note_latency (call->kind, target, now - started);
  if (job)
    {
      S_note_end (call, now, outcome);
      mr_relay_note_tried (job, target, outcome);
      for (guint i = 0; i < CALLS_OF_JOB; i++)
        if (job->calls[i] == call)
          job->calls[i] = NULL;
    }
  mr_relay_call_free (r, call);
  MrHealthAction action = mr_relay_note_target (r, now, target, outcome, started);
  if (outcome == MR_CALL_BROKEN)
    mr_relay_note_broken (r, now, target, fingerprint);
  if (job && outcome == MR_CALL_ANSWER)
    S_take_answer (r, now, job, answer);
  else if (job)
    S_settle (r, now, job, target, outcome, answer);
  else if (answer)
    r->host->free_answer (answer);
  mr_relay_act (r, now, target, action);
}
