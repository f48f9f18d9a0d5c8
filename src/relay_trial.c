/* Trials: a request for a suspect content is sent to one target at a time, and its other parts
 * are held until an answer clears the content. */
#include "relay_private.h"

enum
{
  /* Calls that a request on probation may send in total. */
  PROBATION_CALLS_MAX = 2,
};

void
mr_relay_hold_part (RequestPart *part)
{
  if (part->held || part->ended)
    return;
  part->held = TRUE;
  part->hedge_at = MR_NEVER;
  part->request->held_parts++;
}

static void
S_release_part (RequestPart *part)
{
  part->held = FALSE;
  part->request->held_parts--;
}

gboolean
mr_relay_is_suspicious (const MrActiveRequest *request)
{
  return request->answered_parts == 0 && (request->suspect || request->crash_checks > 0);
}

static gboolean
S_is_pending (const RequestPart *part)
{
  return !part->ended &&
         (part->queued || part->crash_checks > 0 || mr_relay_part_call_count (part) > 0);
}

/* When targets crash one after the other for unrelated reasons, 30 ms apart, a trial that is sent
 * between two crashes meets the next one; a harmless search was quarantined that way.  A request
 * that sends one call at a time therefore waits until no target without a call of its content has
 * crashed for MR_TRIAL_INTERVAL. A content that does crash its targets has a call on each target
 * that crashes, so its trial is not delayed. */
MrTime
mr_relay_next_trial_time (const MrRelay *r, const MrActiveRequest *request)
{
  if (request->held_parts == 0 || request->cancel_at != MR_NEVER)
    return MR_NEVER;
  for (guint i = 0; i < request->part_count; i++)
    if (S_is_pending (&request->parts[i]))
      return MR_NEVER;
  if (!request->sequential)
    return request->next_trial_at;
  MrTime unrelated_crash = mr_relay_last_unrelated_crash (r, request->fingerprint);
  return unrelated_crash == 0 ? request->next_trial_at
                              : MAX (request->next_trial_at, unrelated_crash + MR_TRIAL_INTERVAL);
}

/* The order depends on the content only.  Several daemons that try the same content thus put
 * targets of the same shard at risk, which a search can do without; another content starts with
 * another shard. */
RequestPart *
mr_relay_nth_part_by_risk (const MrActiveRequest *request, guint n)
{
  return &request->parts[(request->fingerprint.low + n) % request->part_count];
}

RequestPart *
mr_relay_take_held_part (const MrActiveRequest *request, MrTime now)
{
  RequestPart *best = NULL;
  guint most_usable = 0;
  for (guint i = 0; i < request->part_count; i++)
    {
      RequestPart *part = mr_relay_nth_part_by_risk (request, i);
      double room = 0;
      guint usable_targets = part->held ? mr_relay_group_capacity (part->group, now, &room) : 0;
      if (part->held && (!best || usable_targets > most_usable))
        {
          best = part;
          most_usable = usable_targets;
        }
    }
  g_assert (best);
  S_release_part (best);
  return best;
}

void
mr_relay_give_up (MrRelay *r, MrTime now, MrActiveRequest *request, MrCause cause)
{
  request->cause = cause;
  mr_relay_finish_request (r, now, request, MR_VERDICT_REFUSED);
}

/* If the next trial may cause the third crash, or is the only trial left to a quarantined content,
 * one trial by each daemon would be too many. */
gboolean
mr_relay_is_other_daemons_turn (MrRelay *r, const SuspectContent *content)
{
  return mr_evidence_needs_exclusive_trial (&content->evidence) && r->host->may_try_content &&
         !r->host->may_try_content (r->host, content->fingerprint);
}

void
mr_relay_begin_trial (MrRelay *r, MrTime now, MrActiveRequest *request)
{
  SuspectContent *content = mr_relay_get_suspect_content (r, request->fingerprint);
  if (!request->crash_seen && mr_relay_is_other_daemons_turn (r, content))
    {
      mr_relay_give_up (r, now, request, MR_CAUSE_SUSPECT);
      return;
    }
  if (!request->counted_as_trial && content->trials > 0)
    {
      request->next_trial_at = now + MR_TRIAL_INTERVAL;
      mr_relay_schedule (r, request);
      return;
    }
  if (!request->counted_as_trial)
    content->trials++;
  request->counted_as_trial = TRUE;
  request->suspect = TRUE;
  request->sequential = TRUE;
  request->evidence_at_send = content->evidence;
  RequestPart *part = mr_relay_take_held_part (request, now);
  request->trial_part = part;
  r->counts.trials++;
  mr_relay_send_or_queue (r, now, part, part->send_count > 0 ? MR_SEND_RETRY : MR_SEND_FIRST);
  if (g_hash_table_contains (r->requests, request))
    mr_relay_schedule (r, request);
}

/* Where enough targets for a quarantine have crashed, but on one occasion, each request for the
 * content gets a single call.  If its targets neither answer nor crash (hanging, slow or refusing
 * calls), each repeat by the caller would otherwise cost another two. */
static gboolean
S_has_had_trial (const MrRelay *r, const RequestPart *part)
{
  const SuspectContent *content =
      g_hash_table_lookup (r->suspect_contents, &part->request->fingerprint);
  return part->trial_reached_target && content &&
         mr_evidence_crash_count (&content->evidence) >= MR_EVIDENCE_MAX_MARKS;
}

void
mr_relay_retry_or_hold (MrRelay *r, MrTime now, RequestPart *part)
{
  MrActiveRequest *request = part->request;
  if (S_has_had_trial (r, part))
    {
      mr_relay_give_up (r, now, request, MR_CAUSE_SUSPECT);
      return;
    }
  if (request->probation && part->send_count >= PROBATION_CALLS_MAX)
    {
      mr_relay_give_up (r, now, request, MR_CAUSE_QUARANTINED);
      return;
    }
  if (!mr_relay_is_suspicious (request) || request->trial_part == part)
    {
      mr_relay_send_or_queue (r, now, part, MR_SEND_RETRY);
      return;
    }
  mr_relay_hold_part (part);
  mr_relay_schedule (r, request);
}

/* An answer to any part clears the content.  It is overdue when calls have taken this many times
 * the usual time. */
static const double OVERDUE_FACTOR = 1.5;

/* Most targets abandon the work of a connection that is closed. */
void
mr_relay_cancel_calls (MrRelay *r, MrTime now, MrActiveRequest *request)
{
  request->cancel_at = MR_NEVER;
  /* The request whose own calls met the crashes is tried first. */
  request->next_trial_at = request->crash_seen ? now : now + MR_TRIAL_INTERVAL;
  for (guint i = 0; i < request->part_count; i++)
    {
      RequestPart *part = &request->parts[i];
      if (part->ended)
        continue;
      request->may_have_run |= mr_relay_part_call_count (part) > 0;
      mr_relay_cancel_part_calls (r, now, part);
      mr_relay_dequeue (part);
      if (part->crash_checks == 0)
        mr_relay_hold_part (part);
    }
  mr_relay_schedule (r, request);
}

/* Calls in flight are not cancelled before an answer is overdue: a search that has just been sent
 * to targets that crash because of another content would lose the answers that clear it, and its
 * trials would run on targets that still crash. */
void
mr_relay_make_sequential (MrRelay *r, MrTime now, MrActiveRequest *request)
{
  MrTime overdue = request->arrived + (MrTime) (OVERDUE_FACTOR * request->stats->median);
  if (request->sequential)
    return;
  request->suspect = TRUE;
  request->sequential = TRUE;
  if (now >= overdue || !mr_relay_has_calls (request))
    {
      mr_relay_cancel_calls (r, now, request);
      return;
    }
  request->cancel_at = overdue;
  mr_relay_schedule (r, request);
}

void
mr_relay_release_held_parts (MrRelay *r, MrTime now, MrActiveRequest *request)
{
  request->suspect = FALSE;
  request->sequential = FALSE;
  request->staged = FALSE;
  request->cancel_at = MR_NEVER;
  request->trial_part = NULL;
  for (guint i = 0; i < request->part_count; i++)
    {
      RequestPart *part = &request->parts[i];
      if (!part->held)
        continue;
      S_release_part (part);
      if (part->send_count > 0)
        mr_relay_send_or_queue (r, now, part, MR_SEND_RETRY);
      else
        mr_relay_begin_part (r, now, part);
      if (!g_hash_table_contains (r->requests, request))
        return;
    }
  mr_relay_schedule (r, request);
}
