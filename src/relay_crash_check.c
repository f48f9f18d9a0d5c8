/* Detection of targets that crash while they run requests.
 *
 * A broken connection alone does not mean that its target crashed: the target may have reset a
 * connection above its limit, or closed an idle one.  A probe decides (prober.h).  Until its result
 * is known, no hedges or retries are sent for a request that has no answer yet.  A confirmed crash
 * is evidence against the content of the request (relay_quarantine.c). */
#include "relay_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  CONTENTS_LOGGED_MAX = 8,
  BROKEN_CALLS_MAX = 64, /* per target; more than the slots of any target */
};

/* Time limit for confirming a crash, enough for round trips to another region from a busy VM. A
 * live target answers sooner.  A probe of a VM without power or network hangs until this limit and
 * yields no evidence; calls to such a VM do not break either. */
static const MrTime CRASH_CHECK_TIMEOUT = 100 * MR_MS;

/* A target whose entry was removed as planned keeps serving for seconds.  A call that breaks within
 * this time of the removal therefore broke because the target's process ended. */
static const MrTime WITHDRAWAL_CRASH_WINDOW = 500 * MR_MS;

/* TRUE if @target is known to have crashed, so that no probe is needed. */
static gboolean
S_has_crashed (const MrTargetState *target, MrTime now)
{
  if (target->withdrawn_at != 0)
    return now - target->withdrawn_at < WITHDRAWAL_CRASH_WINDOW;
  return target->health.state == MR_HEALTH_DOWN && target->health.probe_failed;
}

static void
S_log_crash (const MrTargetState *target)
{
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_TARGET_ENDED);
  if (!line)
    return;
  g_autoptr (GString) contents = g_string_new ("[");
  for (guint i = 0; i < MIN (target->broken_calls->len, CONTENTS_LOGGED_MAX); i++)
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
S_remember_crash (MrRelay *r, MrTime now, const MrTargetState *target)
{
  CrashedTarget *crashed = &r->crashed_targets[r->crashed_count++ % CRASHED_TARGETS_KEPT];
  crashed->at = now;
  crashed->count = MIN (target->broken_calls->len, CRASHED_CONTENTS_MAX);
  for (guint i = 0; i < crashed->count; i++)
    crashed->contents[i] = g_array_index (target->broken_calls, MrFingerprint, i);
}

static gboolean
S_had_call_of (const CrashedTarget *crashed, MrFingerprint fingerprint)
{
  for (guint i = 0; i < crashed->count; i++)
    if (mr_fingerprint_equal (crashed->contents[i], fingerprint))
      return TRUE;
  return FALSE;
}

MrTime
mr_relay_last_unrelated_crash (const MrRelay *r, MrFingerprint fingerprint)
{
  MrTime last = 0;
  for (guint i = 0; i < MIN (r->crashed_count, CRASHED_TARGETS_KEPT); i++)
    if (!S_had_call_of (&r->crashed_targets[i], fingerprint))
      last = MAX (last, r->crashed_targets[i].at);
  return last;
}

static void
S_record_crash (MrRelay *r, MrTime now, MrTargetState *target)
{
  if (target->broken_calls->len == 0)
    return;
  S_remember_crash (r, now, target);
  r->counts.targets_crashed++;
  S_log_crash (target);
  g_array_set_size (target->broken_calls, 0);
}

void
mr_relay_record_broken_call (MrRelay *r,
                             MrTime now,
                             MrTargetState *target,
                             MrFingerprint fingerprint)
{
  if (target->broken_calls->len < BROKEN_CALLS_MAX && mr_fingerprint_is_set (fingerprint))
    g_array_append_val (target->broken_calls, fingerprint);
  if (S_has_crashed (target, now))
    S_record_crash (r, now, target);
}

static void
S_detach (CrashCheck *check)
{
  if (check->request)
    check->request->crash_checks--;
  if (check->part)
    check->part->crash_checks--;
  check->request = NULL;
  check->part = NULL;
}

void
mr_relay_detach_crash_checks (MrRelay *r, MrActiveRequest *request)
{
  for (guint i = 0; request->crash_checks > 0 && i < r->crash_checks->len;)
    {
      CrashCheck *check = g_ptr_array_index (r->crash_checks, i);
      gboolean is_own = check->request == request;
      if (is_own)
        S_detach (check);
      if (!is_own || request->answered_parts == 0)
        {
          i++;
          continue;
        }
      mr_timers_set (r->timers, &check->timer, MR_NEVER);
      g_ptr_array_remove_index_fast (r->crash_checks, i);
    }
}

void
mr_relay_begin_crash_check (MrRelay *r, MrTime now, RequestPart *part, MrTargetState *target)
{
  MrActiveRequest *request = part->request;
  gboolean crashed = S_has_crashed (target, now);
  if (!mr_fingerprint_is_set (request->fingerprint) || request->answered_parts > 0 ||
      (!crashed && target->health.state != MR_HEALTH_SUSPECT) ||
      !MR_SAFEGUARD (MR_GUARD_QUARANTINE))
    return;
  CrashCheck *check = g_new (CrashCheck, 1);
  *check = (CrashCheck){
    .owner_kind = TIMER_CRASH_CHECK,
    .timer = { .owner = check },
    .target = target,
    .request = request,
    .part = part,
    .fingerprint = request->fingerprint,
    .evidence_at_send = request->evidence_at_send,
    .probation = request->probation,
    .crash_confirmed = crashed,
  };
  request->crash_checks++;
  part->crash_checks++;
  g_ptr_array_add (r->crash_checks, check);
  mr_timers_set (r->timers, &check->timer, crashed ? now : now + CRASH_CHECK_TIMEOUT);
}

static gboolean
S_is_idle (const RequestPart *part)
{
  return !part->ended && !part->held && !part->queued && part->crash_checks == 0 &&
         mr_relay_part_call_count (part) == 0;
}

/* @check was removed from the list; frees it. */
static void
S_resolve (MrRelay *r, MrTime now, CrashCheck *check, gboolean crashed)
{
  MrActiveRequest *request = check->request;
  RequestPart *part = check->part;
  mr_timers_set (r->timers, &check->timer, MR_NEVER);
  if (request)
    {
      request->crash_checks--;
      part->crash_checks--;
    }
  if (crashed)
    mr_relay_add_evidence (r, now, check);
  g_free (check);
  if (!request || !g_hash_table_contains (r->requests, request))
    return;
  if (S_is_idle (part))
    mr_relay_retry_or_hold (r, now, part);
  else
    mr_relay_schedule (r, request);
}

void
mr_relay_crash_check_due (MrRelay *r, MrTime now, CrashCheck *check)
{
  guint index = 0;
  g_ptr_array_find (r->crash_checks, check, &index);
  g_ptr_array_steal_index_fast (r->crash_checks, index);
  S_resolve (r, now, check, check->crash_confirmed);
}

/* Removes one check of @target from the list; NULL if there is none. */
static CrashCheck *
S_take_check (MrRelay *r, const MrTargetState *target)
{
  for (guint i = 0; i < r->crash_checks->len; i++)
    {
      const CrashCheck *check = g_ptr_array_index (r->crash_checks, i);
      if (check->target == target)
        return g_ptr_array_steal_index_fast (r->crash_checks, i);
    }
  return NULL;
}

void
mr_relay_record_probe (MrRelay *r, MrTime now, MrTargetState *target, gboolean answered)
{
  if (answered)
    g_array_set_size (target->broken_calls, 0); /* only connections broke; the target is alive */
  else
    S_record_crash (r, now, target);
  for (CrashCheck *check = S_take_check (r, target); check; check = S_take_check (r, target))
    S_resolve (r, now, check, !answered);
}
