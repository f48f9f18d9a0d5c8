#include "relay_private.h"

enum
{
  /* Calls that a trial on probation may make in all. */
  PROBATION_SENDS = 2,
};

void
mr_relay_hold_part (RequestPart *job)
{
  if (job->held || job->ended)
    return;
  job->held = TRUE;
  job->hedge_at = MR_NEVER;
  job->request->held_parts++;
}

static void
S_unhold (RequestPart *job)
{
  job->held = FALSE;
  job->request->held_parts--;
}

gboolean
mr_relay_is_suspicious (const MrActiveRequest *work)
{
  return work->answered_parts == 0 && (work->suspect || work->crash_checks > 0);
}

static gboolean
S_is_out (const RequestPart *job)
{
  return !job->ended &&
         (job->queued || job->crash_checks > 0 || mr_relay_part_call_count (job) > 0);
}

/* Where targets end one after the other by themselves, 30 ms apart, a trial that goes out
 * between two of them meets the next; a search of its own was quarantined so.  So a request
 * that goes one by one waits until none has ended for a while that did not have it; a content
 * that ends its targets is on all that end, and is tried at once. */
MrTime
mr_relay_next_trial_time (const MrRelay *r, const MrActiveRequest *work)
{
  if (work->held_parts == 0 || work->cancel_at != MR_NEVER)
    return MR_NEVER;
  for (guint i = 0; i < work->part_count; i++)
    if (S_is_out (&work->parts[i]))
      return MR_NEVER;
  if (!work->sequential)
    return work->next_trial_at;
  MrTime other = mr_relay_last_unrelated_crash (r, work->fingerprint);
  return other == 0 ? work->next_trial_at : MAX (work->next_trial_at, other + MR_TRIAL_INTERVAL);
}

/* Copies of one content at several daemons put the same shard at risk, since a search can do
 * without one; another content another shard. */
RequestPart *
mr_relay_nth_part_by_risk (const MrActiveRequest *work, guint n)
{
  return &work->parts[(work->fingerprint.low + n) % work->part_count];
}

RequestPart *
mr_relay_take_held_part (const MrActiveRequest *work, MrTime now)
{
  RequestPart *best = NULL;
  guint best_usable = 0;
  for (guint i = 0; i < work->part_count; i++)
    {
      RequestPart *job = mr_relay_nth_part_by_risk (work, i);
      double room = 0;
      guint usable = job->held ? mr_relay_group_capacity (job->group, now, &room) : 0;
      if (job->held && (!best || usable > best_usable))
        {
          best = job;
          best_usable = usable;
        }
    }
  g_assert (best);
  S_unhold (best);
  return best;
}

void
mr_relay_give_up (MrRelay *r, MrTime now, MrActiveRequest *work, MrCause cause)
{
  work->cause = cause;
  mr_relay_finish_request (r, now, work, MR_VERDICT_REFUSED);
}

/* Where the next trial may end the third target, or is the only one that a quarantine has
 * left, daemons that each try once would be too many. */
gboolean
mr_relay_is_other_daemons_turn (MrRelay *r, const SuspectContent *content)
{
  return mr_evidence_needs_exclusive_trial (&content->evidence) && r->host->may_try_content &&
         !r->host->may_try_content (r->host, content->fingerprint);
}

void
mr_relay_begin_trial (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  SuspectContent *content = mr_relay_get_suspect_content (r, work->fingerprint);
  if (!work->crash_seen && mr_relay_is_other_daemons_turn (r, content))
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_SUSPECT);
      return;
    }
  if (!work->counted_as_trial && content->trials > 0)
    {
      work->next_trial_at = now + MR_TRIAL_INTERVAL;
      mr_relay_schedule (r, work);
      return;
    }
  if (!work->counted_as_trial)
    content->trials++;
  work->counted_as_trial = TRUE;
  work->suspect = TRUE;
  work->sequential = TRUE;
  work->evidence_at_send = content->evidence;
  RequestPart *job = mr_relay_take_held_part (work, now);
  work->trial_part = job;
  r->counts.trials++;
  mr_relay_send_or_queue (r, now, job, job->send_count > 0 ? MR_SEND_RETRY : MR_SEND_FIRST);
  if (g_hash_table_contains (r->requests, work))
    mr_relay_schedule (r, work);
}

/* Of a content that has ended as many as make a quarantine, if at one time, a request has one
 * call: where its targets neither answer nor end (dark, slow, or refusing) each of its
 * repeats would cost another two, without end. */
static gboolean
S_has_had_trial (const MrRelay *r, const RequestPart *job)
{
  const SuspectContent *content =
      g_hash_table_lookup (r->suspect_contents, &job->request->fingerprint);
  return job->trial_reached_target && content &&
         mr_evidence_crash_count (&content->evidence) >= MR_EVIDENCE_MAX_MARKS;
}

void
mr_relay_retry_or_hold (MrRelay *r, MrTime now, RequestPart *job)
{
  MrActiveRequest *work = job->request;
  if (S_has_had_trial (r, job))
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_SUSPECT);
      return;
    }
  if (work->probation && job->send_count >= PROBATION_SENDS)
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_QUARANTINED);
      return;
    }
  if (!mr_relay_is_suspicious (work) || work->trial_part == job)
    {
      mr_relay_send_or_queue (r, now, job, MR_SEND_RETRY);
      return;
    }
  mr_relay_hold_part (job);
  mr_relay_schedule (r, work);
}

/* An answer of any part clears the content.  It is overdue when calls have been out for this
 * many times as long as they usually take. */
static const double OVERDUE_FACTOR = 1.5;

/* Most targets drop the work of a connection that closes. */
void
mr_relay_cancel_calls (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  work->cancel_at = MR_NEVER;
  /* Whose calls showed it tries first. */
  work->next_trial_at = work->crash_seen ? now : now + MR_TRIAL_INTERVAL;
  for (guint i = 0; i < work->part_count; i++)
    {
      RequestPart *job = &work->parts[i];
      if (job->ended)
        continue;
      work->may_have_run |= mr_relay_part_call_count (job) > 0;
      mr_relay_cancel_part_calls (r, now, job);
      mr_relay_dequeue (job);
      if (job->crash_checks == 0)
        mr_relay_hold_part (job);
    }
  mr_relay_schedule (r, work);
}

/* A search that has just been sent to targets which end under another content would lose,
 * with its calls, the answers that clear it, and be tried among targets that still end. */
void
mr_relay_make_sequential (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  MrTime overdue = work->arrived + (MrTime) (OVERDUE_FACTOR * work->stats->median);
  if (work->sequential)
    return;
  work->suspect = TRUE;
  work->sequential = TRUE;
  if (now >= overdue || !mr_relay_has_calls (work))
    {
      mr_relay_cancel_calls (r, now, work);
      return;
    }
  work->cancel_at = overdue;
  mr_relay_schedule (r, work);
}

void
mr_relay_release_held_parts (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  work->suspect = FALSE;
  work->sequential = FALSE;
  work->staged = FALSE;
  work->cancel_at = MR_NEVER;
  work->trial_part = NULL;
  for (guint i = 0; i < work->part_count; i++)
    {
      RequestPart *job = &work->parts[i];
      if (!job->held)
        continue;
      S_unhold (job);
      if (job->send_count > 0)
        mr_relay_send_or_queue (r, now, job, MR_SEND_RETRY);
      else
        mr_relay_begin_part (r, now, job);
      if (!g_hash_table_contains (r->requests, work))
        return;
    }
  mr_relay_schedule (r, work);
}
