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
S_retry_after (const MrActiveRequest *work, MrTime now)
{
  MrTime wait = 0;
  if (work->cause == MR_CAUSE_QUARANTINED)
    return 0; /* it is not to come back */
  for (guint i = 0; i < work->part_count; i++)
    wait = MAX (wait, mr_relay_expected_wait (&work->parts[i], now));
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
mr_relay_finish_request (MrRelay *r, MrTime now, MrActiveRequest *work, MrVerdict verdict)
{
  /* "Not run" is a promise: a call that is still out may yet run. */
  gboolean may_run =
      (work->may_have_run || mr_relay_has_calls (work)) && MR_SAFEGUARD (MR_GUARD_NOT_RUN);
  MrTime linger = mr_relay_linger_until (r, now);
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
    .missing_parts = work->part_count - work->answered_parts,
    .soft_deadline = work->cause == MR_CAUSE_SOFT_END ? work->soft_deadline : 0,
    .may_have_run = may_run,
    .sends = work->sends,
    .expected_wait =
        verdict == MR_VERDICT_REFUSED ? mr_relay_expected_wait (&work->parts[0], now) : 0,
  };
  S_count (r, verdict, result.missing_parts);
  if (work->cause == MR_CAUSE_QUARANTINED)
    r->counts.quarantined++;
  g_hash_table_remove (r->requests, work);
  mr_relay_detach_content (r, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_dequeue (&work->parts[i]);
      mr_relay_abandon_calls (r, now, &work->parts[i], linger);
    }
  r->host->request_done (r->host, work->host_request, &result);
  mr_active_request_free (r, work);
}

void
mr_relay_abandon_request (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  /* Searchers drop the work of a connection that closes.  A request that may not
   * be repeated is left to finish: its caller wants it done, if not told. */
  MrTime until = work->route->idempotent ? now : work->hard_end;
  if (r->policy->linger == MR_NEVER)
    until = MR_NEVER;
  g_hash_table_remove (r->requests, work);
  mr_relay_detach_content (r, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_dequeue (&work->parts[i]);
      mr_relay_abandon_calls (r, now, &work->parts[i], until);
    }
  for (guint i = 0; i < work->part_count; i++)
    mr_relay_send_queued (r, now, work->parts[i].group);
  mr_active_request_free (r, work);
}

/* The last answer that told a failure goes to the caller as it is, rather than
 * an error of ours that says less. */
static gboolean
S_pass_failure_on (MrActiveRequest *work)
{
  RequestPart *job = &work->parts[0];
  if (work->route->kind >= MR_ROUTE_SHARDS || !job->error_answer)
    return FALSE;
  work->answers[0] = g_steal_pointer (&job->error_answer);
  work->answered_parts = 1;
  return TRUE;
}

void
mr_relay_finish_part (MrRelay *r, MrTime now, RequestPart *job, MrCause cause)
{
  MrActiveRequest *work = job->request;
  if (job->ended)
    return;
  job->ended = TRUE;
  work->open_parts--;
  if (cause != MR_CAUSE_NONE)
    work->cause = cause;
  if (work->answered_parts + work->open_parts < work->needed_parts)
    {
      gboolean passed = S_pass_failure_on (work);
      if (!passed && work->route->kind == MR_ROUTE_SHARDS && work->part_count > 1 &&
          work->may_have_run)
        work->cause = MR_CAUSE_FEW_SHARDS;
      mr_relay_finish_request (r, now, work, passed ? MR_VERDICT_ANSWER : MR_VERDICT_REFUSED);
      return;
    }
  if (work->open_parts > 0)
    {
      if (work->answered_parts >= work->needed_parts && now >= work->soft_deadline)
        mr_relay_finish_request (r, now, work, MR_VERDICT_MERGE);
      else
        {
          mr_relay_schedule (r, work);
          mr_relay_end_first_stage (r, now, work);
        }
      return;
    }
  gboolean merged = work->route->kind >= MR_ROUTE_SHARDS;
  mr_relay_finish_request (r, now, work, merged ? MR_VERDICT_MERGE : MR_VERDICT_ANSWER);
}

static gboolean
S_not_run (MrCallOutcome outcome)
{
  return outcome == MR_CALL_SHED || outcome == MR_CALL_DRAINING || outcome == MR_CALL_MISDIRECTED ||
         outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN;
}

/* A call that the job waited for has ended without the wanted answer. */
static void
S_settle (MrRelay *r,
          MrTime now,
          RequestPart *job,
          MrTargetState *target,
          MrCallOutcome outcome,
          gpointer answer)
{
  MrActiveRequest *work = job->request;
  if (outcome == MR_CALL_BROKEN)
    mr_relay_begin_crash_check (r, now, job, target);
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    job->send_count--; /* no target has seen it */
  else
    job->trial_reached_target = work->trial_part == job;
  if (!S_not_run (outcome))
    work->may_have_run = TRUE;
  if (outcome == MR_CALL_ERROR && answer)
    {
      if (job->error_answer)
        r->host->free_answer (job->error_answer);
      job->error_answer = answer;
    }
  else if (answer)
    r->host->free_answer (answer);
  if (mr_relay_part_call_count (job) > 0)
    return;
  /* A connection that broke says nothing: the target may have run the request
   * and lost only the answer. */
  if (!work->route->idempotent && !S_not_run (outcome) && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    {
      mr_relay_finish_part (r, now, job, MR_CAUSE_BROKEN);
      return;
    }
  if (job->crash_checks == 0)
    mr_relay_retry_or_hold (r, now, job);
}

/* A call that lost to a hedge would have taken longer than this.  Where it
 * is cancelled nothing else tells; left out, the quantile would sink until half
 * of the hedges went to ordinary calls. */
static void
S_note_lost_calls (const MrRelay *r, MrTime now, const RequestPart *job)
{
  for (guint i = 0; r->host->call_abandoned && i < PART_CALLS_MAX; i++)
    if (job->calls[i])
      mr_histogram_add (&job->calls[i]->stats->latency, now - job->calls[i]->started);
}

static void
S_take_answer (MrRelay *r, MrTime now, RequestPart *job, gpointer answer)
{
  MrActiveRequest *work = job->request;
  MrFingerprint fingerprint = work->fingerprint;
  work->answers[job->index] = answer;
  work->may_have_run = TRUE;
  work->answered_parts++;
  S_note_lost_calls (r, now, job);
  mr_relay_abandon_calls (r, now, job, mr_relay_linger_until (r, now));
  mr_relay_finish_part (r, now, job, MR_CAUSE_NONE);
  mr_relay_content_answered (r, now, fingerprint);
}

static void
S_note_end (const Call *call, MrTime now, MrCallOutcome outcome)
{
  MrSendRecord *note = &g_array_index (call->part->request->sends, MrSendRecord, call->send_index);
  note->finished = TRUE;
  note->outcome = outcome;
  note->duration = now - call->started;
}

void
mr_relay_cancel_part_calls (MrRelay *r, MrTime now, RequestPart *job)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (job->calls[i])
      S_note_end (job->calls[i], now, MR_CALL_CANCELLED);
  mr_relay_abandon_calls (r, now, job, r->policy->linger == MR_NEVER ? MR_NEVER : now);
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
  RequestPart *job = call->part;
  MrTargetState *target = call->target;
  MrTime started = call->started;
  MrFingerprint fingerprint = call->fingerprint;
  if (outcome == MR_CALL_ANSWER)
    mr_relay_record_latency (call->stats, target, now - started);
  if (job)
    {
      S_note_end (call, now, outcome);
      mr_relay_record_attempt (job, target, outcome);
      for (guint i = 0; i < PART_CALLS_MAX; i++)
        if (job->calls[i] == call)
          job->calls[i] = NULL;
    }
  mr_relay_call_free (r, call);
  MrHealthAction action = mr_relay_record_outcome (r, now, target, outcome, started);
  if (outcome == MR_CALL_BROKEN)
    mr_relay_record_broken_call (r, now, target, fingerprint);
  if (job && outcome == MR_CALL_ANSWER)
    S_take_answer (r, now, job, answer);
  else if (job)
    S_settle (r, now, job, target, outcome, answer);
  else if (answer)
    r->host->free_answer (answer);
  mr_relay_apply_health_action (r, now, target, action);
}
