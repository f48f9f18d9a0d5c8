/* Targets that end while requests run there: finding out whether one has.
 *
 * A call whose connection breaks says nothing of its target: it may have reset a connection
 * over its cap, forgotten an idle one, or ended.  Its probe tells (prober.h).  Until then a
 * request without any answer waits with hedges and retries, and what turns out is evidence
 * against its content (relay_quarantine.c). */
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
  return target->health.state == MR_HEALTH_DOWN && target->health.probe_failed;
}

static void
S_log_ended (const MrTargetState *target)
{
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_TARGET_ENDED);
  if (!line)
    return;
  g_autoptr (GString) contents = g_string_new ("[");
  for (guint i = 0; i < MIN (target->broken_calls->len, CONTENTS_LOGGED); i++)
    {
      char text[MR_FINGERPRINT_DIGITS + 1];
      mr_fingerprint_write (g_array_index (target->broken_calls, MrFingerprint, i), text);
      g_string_append_printf (contents, "%s\"%s\"", i > 0 ? "," : "", text);
    }
  g_string_append_c (contents, ']');
  mr_log_text (line, "target", mr_text (target->id));
  mr_log_text (line, "address", mr_text (target->key));
  mr_log_number (line, "calls", target->broken_calls->len);
  mr_log_json (line, "contents", mr_text_of (contents));
  mr_log_end (line);
}

static void
S_keep_ended (MrRelay *r, MrTime now, const MrTargetState *target)
{
  CrashedTarget *ended = &r->crashed_targets[r->crashed_count++ % CRASHED_TARGETS_KEPT];
  ended->at = now;
  ended->count = MIN (target->broken_calls->len, CRASHED_CONTENTS_MAX);
  for (guint i = 0; i < ended->count; i++)
    ended->contents[i] = g_array_index (target->broken_calls, MrFingerprint, i);
}

static gboolean
S_was_on (const CrashedTarget *ended, MrFingerprint fingerprint)
{
  for (guint i = 0; i < ended->count; i++)
    if (mr_fingerprint_equal (ended->contents[i], fingerprint))
      return TRUE;
  return FALSE;
}

MrTime
mr_relay_last_unrelated_crash (const MrRelay *r, MrFingerprint fingerprint)
{
  MrTime last = 0;
  for (guint i = 0; i < MIN (r->crashed_count, CRASHED_TARGETS_KEPT); i++)
    if (!S_was_on (&r->crashed_targets[i], fingerprint))
      last = MAX (last, r->crashed_targets[i].at);
  return last;
}

static void
S_note_ended (MrRelay *r, MrTime now, MrTargetState *target)
{
  if (target->broken_calls->len == 0)
    return;
  S_keep_ended (r, now, target);
  r->counts.targets_crashed++;
  S_log_ended (target);
  g_array_set_size (target->broken_calls, 0);
}

void
mr_relay_record_broken_call (MrRelay *r,
                             MrTime now,
                             MrTargetState *target,
                             MrFingerprint fingerprint)
{
  if (target->broken_calls->len < BROKEN_KEPT && mr_fingerprint_is_set (fingerprint))
    g_array_append_val (target->broken_calls, fingerprint);
  if (S_is_gone (target, now))
    S_note_ended (r, now, target);
}

static void
S_leave_doubt (CrashCheck *doubt)
{
  if (doubt->request)
    doubt->request->crash_checks--;
  if (doubt->part)
    doubt->part->crash_checks--;
  doubt->request = NULL;
  doubt->part = NULL;
}

void
mr_relay_detach_crash_checks (MrRelay *r, MrActiveRequest *work)
{
  for (guint i = 0; work->crash_checks > 0 && i < r->crash_checks->len;)
    {
      CrashCheck *doubt = g_ptr_array_index (r->crash_checks, i);
      gboolean own = doubt->request == work;
      if (own)
        S_leave_doubt (doubt);
      if (!own || work->answered_parts == 0)
        {
          i++;
          continue;
        }
      mr_timers_set (r->timers, &doubt->timer, MR_NEVER);
      g_ptr_array_remove_index_fast (r->crash_checks, i);
    }
}

void
mr_relay_begin_crash_check (MrRelay *r, MrTime now, RequestPart *job, MrTargetState *target)
{
  MrActiveRequest *work = job->request;
  gboolean gone = S_is_gone (target, now);
  if (!mr_fingerprint_is_set (work->fingerprint) || work->answered_parts > 0 ||
      (!gone && target->health.state != MR_HEALTH_SUSPECT) || !MR_SAFEGUARD (MR_GUARD_QUARANTINE))
    return;
  CrashCheck *doubt = g_new (CrashCheck, 1);
  *doubt = (CrashCheck){
    .owner_kind = TIMER_CRASH_CHECK,
    .timer = { .owner = doubt },
    .target = target,
    .request = work,
    .part = job,
    .fingerprint = work->fingerprint,
    .evidence_at_send = work->evidence_at_send,
    .probation = work->probation,
    .crash_confirmed = gone,
  };
  work->crash_checks++;
  job->crash_checks++;
  g_ptr_array_add (r->crash_checks, doubt);
  mr_timers_set (r->timers, &doubt->timer, gone ? now : now + DOUBT_WAIT);
}

static gboolean
S_is_idle (const RequestPart *job)
{
  return !job->ended && !job->held && !job->queued && job->crash_checks == 0 &&
         mr_relay_part_call_count (job) == 0;
}

/* Takes @doubt, which has been taken out of the list. */
static void
S_resolve (MrRelay *r, MrTime now, CrashCheck *doubt, gboolean gone)
{
  MrActiveRequest *work = doubt->request;
  RequestPart *job = doubt->part;
  mr_timers_set (r->timers, &doubt->timer, MR_NEVER);
  if (work)
    {
      work->crash_checks--;
      job->crash_checks--;
    }
  if (gone)
    mr_relay_add_evidence (r, now, doubt);
  g_free (doubt);
  if (!work || !g_hash_table_contains (r->requests, work))
    return;
  if (S_is_idle (job))
    mr_relay_retry_or_hold (r, now, job);
  else
    mr_relay_schedule (r, work);
}

void
mr_relay_crash_check_due (MrRelay *r, MrTime now, CrashCheck *doubt)
{
  guint place = 0;
  g_ptr_array_find (r->crash_checks, doubt, &place);
  g_ptr_array_steal_index_fast (r->crash_checks, place);
  S_resolve (r, now, doubt, doubt->crash_confirmed);
}

/* One that is of @target, taken out of the list; NULL if there is none. */
static CrashCheck *
S_take_doubt (MrRelay *r, const MrTargetState *target)
{
  for (guint i = 0; i < r->crash_checks->len; i++)
    {
      const CrashCheck *doubt = g_ptr_array_index (r->crash_checks, i);
      if (doubt->target == target)
        return g_ptr_array_steal_index_fast (r->crash_checks, i);
    }
  return NULL;
}

void
mr_relay_record_probe (MrRelay *r, MrTime now, MrTargetState *target, gboolean answered)
{
  if (answered)
    g_array_set_size (target->broken_calls, 0); /* only the connections had broken */
  else
    S_note_ended (r, now, target);
  for (CrashCheck *doubt = S_take_doubt (r, target); doubt; doubt = S_take_doubt (r, target))
    S_resolve (r, now, doubt, !answered);
}
