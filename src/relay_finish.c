#include "relay_private.h"

#include "safeguard.h"

/* Retry-After if no target is usable: targets that are down are probed again within this time. */
static const MrTime RETRY_NO_TARGET = 400 * MR_MS;
/* An evacuation lasts for seconds at least. */
static const MrTime RETRY_EVACUATED = 1 * MR_SECOND;
/* By then another daemon may have found out whether the suspicion is right. */
static const MrTime RETRY_SUSPECT = 300 * MR_MS;
static const MrTime RETRY_MIN = 100 * MR_MS;
static const MrTime RETRY_MAX = 2 * MR_SECOND;

static MrTime
S_retry_after (const MrActiveRequest *request, MrTime now)
{
  MrTime wait = 0;
  if (request->cause == MR_CAUSE_QUARANTINED)
    return 0; /* not to be retried */
  if (request->cause == MR_CAUSE_STOPPING)
    return RETRY_MIN; /* another daemon can serve it now */
  for (guint i = 0; i < request->part_count; i++)
    wait = MAX (wait, mr_relay_expected_wait (&request->parts[i], now));
  if (request->cause == MR_CAUSE_NO_TARGET)
    wait = MAX (wait, RETRY_NO_TARGET);
  if (request->cause == MR_CAUSE_EVACUATED)
    wait = MAX (wait, RETRY_EVACUATED);
  if (request->cause == MR_CAUSE_SUSPECT)
    wait = MAX (wait, RETRY_SUSPECT);
  return CLAMP (wait, RETRY_MIN, RETRY_MAX);
}

static void
S_count_verdict (MrRelay *relay, MrVerdict verdict, guint missing)
{
  switch (verdict)
    {
    case MR_VERDICT_ANSWER:
    case MR_VERDICT_MERGE:
      relay->counts.partial += missing > 0 ? 1 : 0;
      break;
    case MR_VERDICT_REFUSED:
      relay->counts.refused++;
      break;
    case MR_VERDICT_FAILED:
      relay->counts.failed++;
      break;
    case MR_VERDICT_TIMEOUT:
      relay->counts.timeouts++;
      break;
    }
}

void
mr_relay_finish_request (MrRelay *relay, MrTime now, MrActiveRequest *request, MrVerdict verdict)
{
  /* A refusal guarantees that the request has not run, but a call in flight may still run. */
  gboolean may_have_run =
      (request->may_have_run || mr_relay_has_calls (request)) && MR_SAFEGUARD (MR_GUARD_NOT_RUN);
  MrTime linger = mr_relay_linger_until (relay, now);
  if (verdict == MR_VERDICT_REFUSED && may_have_run)
    verdict = MR_VERDICT_FAILED;
  if (verdict == MR_VERDICT_TIMEOUT && !may_have_run)
    verdict = MR_VERDICT_REFUSED;
  MrRelayResult result = {
    .verdict = verdict,
    .cause = request->cause,
    .retry_after = verdict == MR_VERDICT_REFUSED ? S_retry_after (request, now) : 0,
    .part_count = request->part_count,
    .answers = request->answers,
    .missing_parts = request->part_count - request->answered_parts,
    .soft_deadline = request->cause == MR_CAUSE_SOFT_END ? request->soft_deadline : 0,
    .may_have_run = may_have_run,
    .over_share = verdict == MR_VERDICT_REFUSED && request->over_share,
    .sends = request->sends,
    .expected_wait =
        verdict == MR_VERDICT_REFUSED ? mr_relay_expected_wait (&request->parts[0], now) : 0,
  };
  S_count_verdict (relay, verdict, result.missing_parts);
  relay->counts.stop_refused +=
      request->cause == MR_CAUSE_STOPPING && verdict == MR_VERDICT_REFUSED ? 1 : 0;
  relay->counts.stop_failed +=
      request->cause == MR_CAUSE_STOPPING && verdict == MR_VERDICT_FAILED ? 1 : 0;
  relay->counts.over_share += result.over_share ? 1 : 0;
  if (verdict == MR_VERDICT_REFUSED)
    mr_relay_record_refusal (now, request);
  if (request->cause == MR_CAUSE_QUARANTINED)
    relay->counts.quarantined++;
  g_hash_table_remove (relay->requests, request);
  mr_relay_detach_content (relay, request);
  for (guint i = 0; i < request->part_count; i++)
    {
      mr_relay_dequeue (&request->parts[i]);
      mr_relay_abandon_calls (relay, now, &request->parts[i], linger);
    }
  relay->host->request_done (relay->host, request->host_request, &result);
  mr_active_request_free (relay, request);
}

void
mr_relay_abandon_request (MrRelay *relay, MrTime now, MrActiveRequest *request)
{
  /* Searchers cancel the work of a closed connection.  A request that is not idempotent runs to its
   * end: its caller relies on its effect, even if the caller does not get the answer. */
  MrTime until = request->route->idempotent ? now : request->hard_deadline;
  if (relay->policy->linger == MR_NEVER)
    until = MR_NEVER;
  g_hash_table_remove (relay->requests, request);
  mr_relay_detach_content (relay, request);
  for (guint i = 0; i < request->part_count; i++)
    {
      mr_relay_dequeue (&request->parts[i]);
      mr_relay_abandon_calls (relay, now, &request->parts[i], until);
    }
  for (guint i = 0; i < request->part_count; i++)
    mr_relay_send_queued (relay, now, request->parts[i].group);
  mr_active_request_free (relay, request);
}

/* Forwards the latest error answer of a target to the caller, since it says more than an error of
 * the relay would. */
static gboolean
S_forward_error_answer (MrActiveRequest *request)
{
  RequestPart *part = &request->parts[0];
  if (request->route->kind >= MR_ROUTE_SHARDS || !part->error_answer)
    return FALSE;
  request->answers[0] = g_steal_pointer (&part->error_answer);
  request->answered_parts = 1;
  return TRUE;
}

void
mr_relay_finish_part (MrRelay *relay, MrTime now, RequestPart *part, MrCause cause)
{
  MrActiveRequest *request = part->request;
  if (part->ended)
    return;
  part->ended = TRUE;
  request->open_parts--;
  if (cause != MR_CAUSE_NONE)
    request->cause = cause;
  if (request->answered_parts + request->open_parts < request->needed_parts)
    {
      gboolean error_forwarded = S_forward_error_answer (request);
      if (!error_forwarded && request->route->kind == MR_ROUTE_SHARDS && request->part_count > 1 &&
          request->may_have_run)
        request->cause = MR_CAUSE_FEW_SHARDS;
      mr_relay_finish_request (relay, now, request,
                               error_forwarded ? MR_VERDICT_ANSWER : MR_VERDICT_REFUSED);
      return;
    }
  if (request->open_parts > 0)
    {
      if (request->answered_parts >= request->needed_parts && now >= request->soft_deadline)
        mr_relay_finish_request (relay, now, request, MR_VERDICT_MERGE);
      else
        {
          mr_relay_schedule (relay, request);
          mr_relay_end_first_stage (relay, now, request);
        }
      return;
    }
  gboolean merged = request->route->kind >= MR_ROUTE_SHARDS;
  mr_relay_finish_request (relay, now, request, merged ? MR_VERDICT_MERGE : MR_VERDICT_ANSWER);
}

static gboolean
S_did_not_run (MrCallOutcome outcome)
{
  return outcome == MR_CALL_SHED || outcome == MR_CALL_DRAINING || outcome == MR_CALL_MISDIRECTED ||
         outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN;
}

/* Handles the end of a call without the expected answer. */
static void
S_handle_failed_call (MrRelay *relay,
                      MrTime now,
                      RequestPart *part,
                      MrTargetState *target,
                      MrCallOutcome outcome,
                      gpointer answer)
{
  MrActiveRequest *request = part->request;
  if (outcome == MR_CALL_BROKEN)
    mr_relay_begin_crash_check (relay, now, part, target);
  if (outcome == MR_CALL_NOT_CONNECTED || outcome == MR_CALL_WITHDRAWN)
    part->send_count--; /* no target has seen it */
  else
    part->trial_reached_target = request->trial_part == part;
  if (!S_did_not_run (outcome))
    request->may_have_run = TRUE;
  if (outcome == MR_CALL_ERROR && answer)
    {
      if (part->error_answer)
        relay->host->free_answer (part->error_answer);
      part->error_answer = answer;
    }
  else if (answer)
    relay->host->free_answer (answer);
  if (mr_relay_part_call_count (part) > 0)
    return;
  /* After a broken connection the target may have run the request and only the answer was lost. */
  if (!request->route->idempotent && !S_did_not_run (outcome) && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    {
      mr_relay_finish_part (relay, now, part, MR_CAUSE_BROKEN);
      return;
    }
  if (part->crash_checks == 0)
    mr_relay_retry_or_hold (relay, now, part);
}

/* Counts calls that lost to a hedge with their time so far, as a lower bound of their latency: if
 * they are cancelled, nothing else records them.  Without them the quantile would fall until half
 * of the hedges were for ordinary calls. */
static void
S_record_losing_calls (const MrRelay *relay, MrTime now, const RequestPart *part)
{
  for (guint i = 0; relay->host->call_abandoned && i < PART_CALLS_MAX; i++)
    if (part->calls[i])
      mr_histogram_add (&part->calls[i]->stats->latency, now - part->calls[i]->started);
}

static void
S_handle_answer (MrRelay *relay, MrTime now, RequestPart *part, gpointer answer)
{
  MrActiveRequest *request = part->request;
  MrFingerprint fingerprint = request->fingerprint;
  request->answers[part->index] = answer;
  request->may_have_run = TRUE;
  request->answered_parts++;
  S_record_losing_calls (relay, now, part);
  mr_relay_abandon_calls (relay, now, part, mr_relay_linger_until (relay, now));
  mr_relay_finish_part (relay, now, part, MR_CAUSE_NONE);
  mr_relay_content_answered (relay, now, fingerprint);
}

static void
S_record_call_end (const Call *call, MrTime now, MrCallOutcome outcome)
{
  MrSendRecord *record =
      &g_array_index (call->part->request->sends, MrSendRecord, call->send_index);
  record->finished = TRUE;
  record->outcome = outcome;
  record->duration = now - call->started;
}

void
mr_relay_cancel_part_calls (MrRelay *relay, MrTime now, RequestPart *part)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (part->calls[i])
      S_record_call_end (part->calls[i], now, MR_CALL_CANCELLED);
  mr_relay_abandon_calls (relay, now, part, relay->policy->linger == MR_NEVER ? MR_NEVER : now);
}

void
mr_relay_call_end (MrRelay *relay, MrTime now, guint64 id, MrCallOutcome outcome, gpointer answer)
{
  Call *call = g_hash_table_lookup (relay->calls, &id);
  if (!call)
    {
      if (answer)
        relay->host->free_answer (answer);
      return;
    }
  RequestPart *part = call->part;
  MrTargetState *target = call->target;
  MrTime started = call->started;
  MrFingerprint fingerprint = call->fingerprint;
  if (outcome == MR_CALL_ANSWER)
    mr_relay_record_latency (call->stats, now, target, now - started);
  if (part)
    {
      S_record_call_end (call, now, outcome);
      mr_relay_record_attempt (part, target, outcome);
      for (guint i = 0; i < PART_CALLS_MAX; i++)
        if (part->calls[i] == call)
          part->calls[i] = NULL;
    }
  call->did_not_run = S_did_not_run (outcome);
  mr_relay_call_free (relay, now, call);
  MrHealthAction action = mr_relay_record_outcome (relay, now, target, outcome, started);
  if (outcome == MR_CALL_BROKEN)
    mr_relay_record_broken_call (relay, now, target, fingerprint);
  if (part && outcome == MR_CALL_ANSWER)
    S_handle_answer (relay, now, part, answer);
  else if (part)
    S_handle_failed_call (relay, now, part, target, outcome, answer);
  else if (answer)
    relay->host->free_answer (answer);
  mr_relay_apply_health_action (relay, now, target, action);
}
