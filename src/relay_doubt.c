/* Targets that end while requests run there: finding out whether one has.
 *
 * A call whose connection breaks says nothing of its target: it may have reset a connection
 * over its cap, forgotten an idle one, or ended.  Its probe tells (prober.h).  Until then a
 * request without any answer waits with hedges and retries, and what turns out is evidence
 * against its content (relay_content.c). */
#include "relay_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  CONTENTS_LOGGED = 8, /* in one line */
  BROKEN_KEPT = 64,    /* of a target; more calls than any has slots */
};

/* How long it may take to find out that a target is gone: round trips to another region,
 * on a VM that is busy.  One that is alive answers sooner; one whose VM is dark hangs, and
 * is no evidence: its calls don't break. */
static const MrTime DOUBT_WAIT = 100 * MR_MS;

/* One whose entry is removed as planned serves on for seconds: a call that breaks this soon
 * after the removal has met the target's end. */
static const MrTime WITHDRAWN_LATELY = 500 * MR_MS;

/* TRUE if @target is known to have ended: nobody need ask. */
static gboolean
S_is_gone (const MrTargetState *target, MrTime now)
{
  if (target->withdrawn_at != 0)
    return now - target->withdrawn_at < WITHDRAWN_LATELY;
  return target->health.state == MR_HEALTH_DOWN && target->health.absent;
}

static void
S_log_ended (const MrTargetState *target)
{
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_TARGET_ENDED);
  if (!line)
    return;
  g_autoptr (GString) contents = g_string_new ("[");
  for (guint i = 0; i < MIN (target->broken->len, CONTENTS_LOGGED); i++)
    {
      char text[MR_FINGERPRINT_DIGITS + 1];
      mr_fingerprint_write (g_array_index (target->broken, MrFingerprint, i), text);
      g_string_append_printf (contents, "%s\"%s\"", i > 0 ? "," : "", text);
    }
  g_string_append_c (contents, ']');
  mr_log_text (line, "target", mr_text (target->id));
  mr_log_text (line, "address", mr_text (target->key));
  mr_log_number (line, "calls", target->broken->len);
  mr_log_json (line, "contents", mr_text_of (contents));
  mr_log_end (line);
}

static void
S_keep_ended (MrRelay *r, MrTime now, const MrTargetState *target)
{
  EndedTarget *ended = &r->ended[r->ended_count++ % ENDED_KEPT];
  ended->at = now;
  ended->count = MIN (target->broken->len, ENDED_CONTENTS);
  for (guint i = 0; i < ended->count; i++)
    ended->contents[i] = g_array_index (target->broken, MrFingerprint, i);
}

static gboolean
S_was_on (const EndedTarget *ended, MrFingerprint fingerprint)
{
  for (guint i = 0; i < ended->count; i++)
    if (mr_fingerprint_equal (ended->contents[i], fingerprint))
      return TRUE;
  return FALSE;
}

MrTime
mr_relay_last_other_end (const MrRelay *r, MrFingerprint fingerprint)
{
  MrTime last = 0;
  for (guint i = 0; i < MIN (r->ended_count, ENDED_KEPT); i++)
    if (!S_was_on (&r->ended[i], fingerprint))
      last = MAX (last, r->ended[i].at);
  return last;
}

static void
S_note_ended (MrRelay *r, MrTime now, MrTargetState *target)
{
  if (target->broken->len == 0)
    return;
  S_keep_ended (r, now, target);
  r->counts.ended++;
  S_log_ended (target);
  g_array_set_size (target->broken, 0);
}

void
mr_relay_note_broken (MrRelay *r, MrTime now, MrTargetState *target, MrFingerprint fingerprint)
{
  if (target->broken->len < BROKEN_KEPT && mr_fingerprint_is_set (fingerprint))
    g_array_append_val (target->broken, fingerprint);
  if (S_is_gone (target, now))
    S_note_ended (r, now, target);
}

static void
S_leave_doubt (Doubt *doubt)
{
  if (doubt->work)
    doubt->work->doubts--;
  if (doubt->job)
    doubt->job->doubts--;
  doubt->work = NULL;
  doubt->job = NULL;
}

void
mr_relay_leave_doubts (MrRelay *r, MrRelayWork *work)
{
  for (guint i = 0; work->doubts > 0 && i < r->doubts->len;)
    {
      Doubt *doubt = g_ptr_array_index (r->doubts, i);
      gboolean own = doubt->work == work;
      if (own)
        S_leave_doubt (doubt);
      if (!own || work->have == 0)
        {
          i++;
          continue;
        }
      mr_timers_set (r->timers, &doubt->timer, MR_NEVER);
      g_ptr_array_remove_index_fast (r->doubts, i);
    }
}

void
mr_relay_doubt (MrRelay *r, MrTime now, Job *job, MrTargetState *target)
{
  MrRelayWork *work = job->work;
  gboolean gone = S_is_gone (target, now);
  if (!mr_fingerprint_is_set (work->fingerprint) || work->have > 0 ||
      (!gone && target->health.state != MR_HEALTH_SUSPECT) || !MR_SAFEGUARD (MR_GUARD_QUARANTINE))
    return;
  Doubt *doubt = g_new (Doubt, 1);
  *doubt = (Doubt){
    .timed = TIMED_DOUBT,
    .timer = { .owner = doubt },
    .target = target,
    .work = work,
    .job = job,
    .fingerprint = work->fingerprint,
    .base = work->base,
    .probation = work->probation,
    .gone = gone,
  };
  work->doubts++;
  job->doubts++;
  g_ptr_array_add (r->doubts, doubt);
  mr_timers_set (r->timers, &doubt->timer, gone ? now : now + DOUBT_WAIT);
}

static gboolean
S_is_idle (const Job *job)
{
  return !job->ended && !job->held && !job->waiting && job->doubts == 0 &&
         mr_relay_job_calls (job) == 0;
}

/* Takes @doubt, which has been taken out of the list. */
static void
S_resolve (MrRelay *r, MrTime now, Doubt *doubt, gboolean gone)
{
  MrRelayWork *work = doubt->work;
  Job *job = doubt->job;
  mr_timers_set (r->timers, &doubt->timer, MR_NEVER);
  if (work)
    {
      work->doubts--;
      job->doubts--;
    }
  if (gone)
    mr_relay_add_evidence (r, now, doubt);
  g_free (doubt);
  if (!work || !g_hash_table_contains (r->works, work))
    return;
  if (S_is_idle (job))
    mr_relay_go_on (r, now, job);
  else
    mr_relay_schedule (r, work);
}

void
mr_relay_doubt_due (MrRelay *r, MrTime now, Doubt *doubt)
{
  guint place = 0;
  g_ptr_array_find (r->doubts, doubt, &place);
  g_ptr_array_steal_index_fast (r->doubts, place);
  S_resolve (r, now, doubt, doubt->gone);
}

/* One that is of @target, taken out of the list; NULL if there is none. */
static Doubt *
S_take_doubt (MrRelay *r, const MrTargetState *target)
{
  for (guint i = 0; i < r->doubts->len; i++)
    {
      const Doubt *doubt = g_ptr_array_index (r->doubts, i);
      if (doubt->target == target)
        return g_ptr_array_steal_index_fast (r->doubts, i);
    }
  return NULL;
}

void
mr_relay_note_probed (MrRelay *r, MrTime now, MrTargetState *target, gboolean answered)
{
  if (answered)
    g_array_set_size (target->broken, 0); /* only the connections had broken */
  else
    S_note_ended (r, now, target);
  for (Doubt *doubt = S_take_doubt (r, target); doubt; doubt = S_take_doubt (r, target))
    S_resolve (r, now, doubt, !answered);
}
