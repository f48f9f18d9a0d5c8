#include "relay_private.h"

enum
{
  /* Calls that a trial on probation may make in all. */
  PROBATION_SENDS = 2,
};

void
mr_relay_hold (Job *job)
{
  if (job->held || job->ended)
    return;
  job->held = TRUE;
  job->hedge_at = MR_NEVER;
  job->work->held++;
}

static void
S_unhold (Job *job)
{
  job->held = FALSE;
  job->work->held--;
}

gboolean
mr_relay_is_suspicious (const MrRelayWork *work)
{
  return work->have == 0 && (work->suspect || work->doubts > 0);
}

static gboolean
S_is_out (const Job *job)
{
  return !job->ended && (job->waiting || job->doubts > 0 || mr_relay_job_calls (job) > 0);
}

/* Where targets end one after the other by themselves, 30 ms apart, a trial that goes out
 * between two of them meets the next; a search of its own was quarantined so.  So a request
 * that goes one by one waits until none has ended for a while that did not have it; a content
 * that ends its targets is on all that end, and is tried at once. */
MrTime
mr_relay_trial_due (const MrRelay *r, const MrRelayWork *work)
{
  if (work->held == 0 || work->cancel_at != MR_NEVER)
    return MR_NEVER;
  for (guint i = 0; i < work->part_count; i++)
    if (S_is_out (&work->jobs[i]))
      return MR_NEVER;
  if (!work->one_by_one)
    return work->trial_at;
  MrTime other = mr_relay_last_other_end (r, work->fingerprint);
  return other == 0 ? work->trial_at : MAX (work->trial_at, other + MR_TRIAL_GAP);
}

/* Copies of one content at several daemons put the same shard at risk, since a search can do
 * without one; another content another shard. */
Job *
mr_relay_nth_risk (const MrRelayWork *work, guint n)
{
  return &work->jobs[(work->fingerprint.low + n) % work->part_count];
}

Job *
mr_relay_take_held (const MrRelayWork *work, MrTime now)
{
  Job *best = NULL;
  guint best_usable = 0;
  for (guint i = 0; i < work->part_count; i++)
    {
      Job *job = mr_relay_nth_risk (work, i);
      double room = 0;
      guint usable = job->held ? mr_relay_usable (job->service, now, &room) : 0;
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
mr_relay_give_up (MrRelay *r, MrTime now, MrRelayWork *work, MrCause cause)
{
  work->cause = cause;
  mr_relay_finish (r, now, work, MR_VERDICT_REFUSED);
}

/* Where the next trial may end the third target, or is the only one that a quarantine has
 * left, daemons that each try once would be too many. */
gboolean
mr_relay_is_anothers (MrRelay *r, const Content *content)
{
  return mr_evidence_at_bound (&content->evidence) && r->host->may_probe &&
         !r->host->may_probe (r->host, content->fingerprint);
}

void
mr_relay_begin_trial (MrRelay *r, MrTime now, MrRelayWork *work)
{
  Content *content = mr_relay_content (r, work->fingerprint);
  if (!work->finder && mr_relay_is_anothers (r, content))
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_SUSPECT);
      return;
    }
  if (!work->trying && content->trials > 0)
    {
      work->trial_at = now + MR_TRIAL_GAP;
      mr_relay_schedule (r, work);
      return;
    }
  if (!work->trying)
    content->trials++;
  work->trying = TRUE;
  work->suspect = TRUE;
  work->one_by_one = TRUE;
  work->base = content->evidence;
  Job *job = mr_relay_take_held (work, now);
  work->trial = job;
  r->counts.trials++;
  mr_relay_place (r, now, job, job->sends > 0 ? MR_SEND_RETRY : MR_SEND_FIRST);
  if (g_hash_table_contains (r->works, work))
    mr_relay_schedule (r, work);
}

/* Of a content that has ended as many as make a quarantine, if at one time, a request has one
 * call: where its targets neither answer nor end (dark, slow, or refusing) each of its
 * repeats would cost another two, without end. */
static gboolean
S_has_had_trial (const MrRelay *r, const Job *job)
{
  const Content *content = g_hash_table_lookup (r->contents, &job->work->fingerprint);
  return job->reached && content && mr_evidence_ended (&content->evidence) >= MR_EVIDENCE_MARKS;
}

void
mr_relay_go_on (MrRelay *r, MrTime now, Job *job)
{
  MrRelayWork *work = job->work;
  if (S_has_had_trial (r, job))
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_SUSPECT);
      return;
    }
  if (work->probation && job->sends >= PROBATION_SENDS)
    {
      mr_relay_give_up (r, now, work, MR_CAUSE_QUARANTINED);
      return;
    }
  if (!mr_relay_is_suspicious (work) || work->trial == job)
    {
      mr_relay_place (r, now, job, MR_SEND_RETRY);
      return;
    }
  mr_relay_hold (job);
  mr_relay_schedule (r, work);
}

/* An answer of any part clears the content.  It is overdue when calls have been out for this
 * many times as long as they usually take. */
static const double OVERDUE_FACTOR = 1.5;

/* Most targets drop the work of a connection that closes. */
void
mr_relay_cancel_calls (MrRelay *r, MrTime now, MrRelayWork *work)
{
  work->cancel_at = MR_NEVER;
  /* Whose calls showed it tries first. */
  work->trial_at = work->finder ? now : now + MR_TRIAL_GAP;
  for (guint i = 0; i < work->part_count; i++)
    {
      Job *job = &work->jobs[i];
      if (job->ended)
        continue;
      work->ran |= mr_relay_job_calls (job) > 0;
      mr_relay_withdraw_calls (r, now, job);
      mr_relay_unqueue (job);
      if (job->doubts == 0)
        mr_relay_hold (job);
    }
  mr_relay_schedule (r, work);
}

/* A search that has just been sent to targets which end under another content would lose,
 * with its calls, the answers that clear it, and be tried among targets that still end. */
void
mr_relay_go_one_by_one (MrRelay *r, MrTime now, MrRelayWork *work)
{
  MrTime overdue = work->arrived + (MrTime) (OVERDUE_FACTOR * work->kind->usual);
  if (work->one_by_one)
    return;
  work->suspect = TRUE;
  work->one_by_one = TRUE;
  if (now >= overdue || !mr_relay_has_calls (work))
    {
      mr_relay_cancel_calls (r, now, work);
      return;
    }
  work->cancel_at = overdue;
  mr_relay_schedule (r, work);
}

void
mr_relay_release (MrRelay *r, MrTime now, MrRelayWork *work)
{
  work->suspect = FALSE;
  work->one_by_one = FALSE;
  work->staged = FALSE;
  work->cancel_at = MR_NEVER;
  work->trial = NULL;
  for (guint i = 0; i < work->part_count; i++)
    {
      Job *job = &work->jobs[i];
      if (!job->held)
        continue;
      S_unhold (job);
      if (job->sends > 0)
        mr_relay_place (r, now, job, MR_SEND_RETRY);
      else
        mr_relay_begin_job (r, now, job);
      if (!g_hash_table_contains (r->works, work))
        return;
    }
  mr_relay_schedule (r, work);
}
