/* Contents that end their targets: what is known of them, and what becomes of requests.
 *
 * A content that ends each target that begins it took 20 of 30 targets with each arrival:
 * one a shard at once, then the next of each shard in its place, then all over again for
 * its caller's repeat; a third of all searches was answered meanwhile.  Here the end of a
 * target (relay_crash_check.c) is evidence only while no part of the request has been answered,
 * which clears it: a search of ten shards that meets a rack's end is cleared by its next
 * answer, some 30 ms later.  With two targets gone and no answer all that is out is called
 * back once an answer is overdue, and one part alone goes out as a trial (relay_trial.c).
 * Twelve targets at most end under an arrival that nobody expects, and none later (virtual
 * clock, the shape of a small site: test_quarantine). */
#include "relay_private.h"

enum
{
  /* Targets gone under a request without an answer, from which all its calls are called
   * back.  One is an accident: each target that ends by itself takes some calls along. */
  SUSPECT_ENDS = 2,
};

guint32
mr_relay_unix_time (const MrRelay *r, MrTime now)
{
  return (guint32) ((now + r->unix_offset) / MR_SECOND);
}

static SuspectContent *
S_find (const MrRelay *r, MrFingerprint fingerprint)
{
  return g_hash_table_lookup (r->suspect_contents, &fingerprint);
}

SuspectContent *
mr_relay_get_suspect_content (MrRelay *r, MrFingerprint fingerprint)
{
  SuspectContent *content = S_find (r, fingerprint);
  if (content)
    return content;
  content = g_new0 (SuspectContent, 1);
  content->fingerprint = fingerprint;
  g_hash_table_insert (r->suspect_contents, &content->fingerprint, content);
  return content;
}

static void
S_tell (MrRelay *r, SuspectContent *content)
{
  content->published = TRUE;
  if (r->host->publish_evidence)
    r->host->publish_evidence (r->host, content->fingerprint, &content->evidence);
}

/* Requests for @fingerprint that have no answer yet; new. */
static GPtrArray *
S_works_of (const MrRelay *r, MrFingerprint fingerprint)
{
  GPtrArray *works = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->requests);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      MrActiveRequest *work = item;
      if (mr_fingerprint_equal (work->fingerprint, fingerprint))
        g_ptr_array_add (works, work);
    }
  return works;
}

/* Evidence. */

/* An order that is out may have run: it is neither cancelled, since it could not be sent
 * again, nor given up. */
static gboolean
S_is_order_out (const MrActiveRequest *work)
{
  return !work->route->idempotent && mr_relay_part_call_count (&work->parts[0]) > 0;
}

/* What is known of the content has grown: requests for it that are out go on as that
 * says. */
static void
S_apply (MrRelay *r, MrTime now, const SuspectContent *content)
{
  MrStanding standing = mr_evidence_standing (&content->evidence, mr_relay_unix_time (r, now));
  if (standing == MR_STANDING_QUARANTINED)
    mr_relay_content_quarantined (r, now, content);
  if (standing != MR_STANDING_QUARANTINED &&
      mr_evidence_crash_count (&content->evidence) < SUSPECT_ENDS)
    return;
  g_autoptr (GPtrArray) works = S_works_of (r, content->fingerprint);
  for (guint i = 0; i < works->len; i++)
    {
      MrActiveRequest *work = g_ptr_array_index (works, i);
      if (!g_hash_table_contains (r->requests, work) || work->answered_parts > 0 ||
          S_is_order_out (work))
        continue;
      if (standing == MR_STANDING_QUARANTINED)
        mr_relay_give_up (r, now, work, MR_CAUSE_QUARANTINED);
      else
        mr_relay_make_sequential (r, now, work);
    }
}

/* TRUE if a request for @fingerprint that is still out has an answer of some part. */
static gboolean
S_is_being_answered (const MrRelay *r, MrFingerprint fingerprint)
{
  g_autoptr (GPtrArray) works = S_works_of (r, fingerprint);
  for (guint i = 0; i < works->len; i++)
    if (((const MrActiveRequest *) g_ptr_array_index (works, i))->answered_parts > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_add_evidence (MrRelay *r, MrTime now, const CrashCheck *doubt)
{
  if (S_is_being_answered (r, doubt->fingerprint) ||
      mr_recent_answers_contain (r->recent_answers, now, doubt->fingerprint))
    {
      r->counts.crashes_excused++;
      return;
    }
  SuspectContent *content = mr_relay_get_suspect_content (r, doubt->fingerprint);
  if (content->evidence.cleared != doubt->evidence_at_send.cleared)
    return; /* it has been answered since the call was sent */
  MrTargetCrash end = {
    .target = mr_text (doubt->target->id),
    .evidence_at_send = doubt->evidence_at_send,
    .probation = doubt->probation,
    .unix_time = mr_relay_unix_time (r, now),
  };
  content->evidence = mr_evidence_add_crash (&content->evidence, &end);
  if (doubt->request)
    {
      doubt->request->suspect = TRUE;
      doubt->request->crash_seen = TRUE;
      doubt->request->trial_part = NULL;
    }
  if (!doubt->request || mr_evidence_crash_count (&content->evidence) >= SUSPECT_ENDS)
    S_tell (r, content);
  S_apply (r, now, content);
}

static void
S_release_all (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  g_autoptr (GPtrArray) works = S_works_of (r, fingerprint);
  for (guint i = 0; i < works->len; i++)
    if (g_hash_table_contains (r->requests, g_ptr_array_index (works, i)))
      mr_relay_release_held_parts (r, now, g_ptr_array_index (works, i));
}

static void
S_clear (MrRelay *r, MrTime now, SuspectContent *content)
{
  if (!content->published)
    {
      g_hash_table_remove (r->suspect_contents, &content->fingerprint);
      return;
    }
  content->evidence = mr_evidence_clear (&content->evidence, mr_relay_unix_time (r, now));
  S_tell (r, content);
}

/* What is known against @fingerprint counts no more.  FALSE if nothing was. */
static gboolean
S_void (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  SuspectContent *content = S_find (r, fingerprint);
  if (!content || mr_evidence_crash_count (&content->evidence) == 0)
    return FALSE;
  S_clear (r, now, content);
  S_release_all (r, now, fingerprint);
  return TRUE;
}

void
mr_relay_content_answered (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  mr_recent_answers_record (r->recent_answers, now, fingerprint);
  S_void (r, now, fingerprint);
}

void
mr_relay_merge_evidence (MrRelay *r,
                         MrTime now,
                         MrFingerprint fingerprint,
                         const MrEvidence *evidence)
{
  if (!evidence)
    {
      g_hash_table_remove (r->suspect_contents, &fingerprint);
      return;
    }
  SuspectContent *content = mr_relay_get_suspect_content (r, fingerprint);
  content->published = TRUE;
  MrEvidence joined = mr_evidence_merge (&content->evidence, evidence);
  if (mr_evidence_pack (&joined) == mr_evidence_pack (&content->evidence))
    return;
  gboolean cleared = joined.cleared > content->evidence.cleared;
  content->evidence = joined;
  content->update_received_at = now;
  if (cleared)
    S_release_all (r, now, fingerprint);
  else if (mr_recent_answers_contain (r->recent_answers, now, fingerprint))
    {
      /* Who lost targets under it may not have seen its answers. */
      r->counts.crashes_excused++;
      S_void (r, now, fingerprint);
    }
  else
    S_apply (r, now, content);
}

gboolean
mr_relay_lift_quarantine (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  return S_void (r, now, fingerprint);
}

void
mr_relay_foreach_suspect_content (const MrRelay *r,
                                  void (*visit) (MrFingerprint fingerprint,
                                                 const MrEvidence *evidence,
                                                 void *user),
                                  void *user)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->suspect_contents);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    visit (((const SuspectContent *) item)->fingerprint, &((const SuspectContent *) item)->evidence,
           user);
}

MrCause
mr_relay_admit_content (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  const SuspectContent *content = S_find (r, work->fingerprint);
  guint32 unix_time = mr_relay_unix_time (r, now);
  if (!content || !mr_fingerprint_is_set (work->fingerprint))
    return MR_CAUSE_NONE;
  work->evidence_at_send = content->evidence;
  MrStanding standing = mr_evidence_standing (&content->evidence, unix_time);
  if (standing == MR_STANDING_CLEAR)
    return MR_CAUSE_NONE;
  if (standing == MR_STANDING_QUARANTINED)
    {
      /* Callers hear at once that it has not run; each target that it reached would end. */
      if (!mr_evidence_is_probation_due (&content->evidence, unix_time) || content->trials > 0 ||
          mr_relay_is_other_daemons_turn (r, content))
        return MR_CAUSE_QUARANTINED;
      work->probation = TRUE;
    }
  work->suspect = TRUE;
  work->sequential = TRUE;
  work->next_trial_at = MAX (
      now, content->update_received_at > 0 ? content->update_received_at + MR_TRIAL_INTERVAL : now);
  return MR_CAUSE_NONE;
}

void
mr_relay_detach_content (MrRelay *r, MrActiveRequest *work)
{
  mr_relay_detach_crash_checks (r, work);
  SuspectContent *content = S_find (r, work->fingerprint);
  if (!content)
    return;
  if (work->counted_as_trial && content->trials > 0)
    content->trials--;
  /* Without an answer the next attempt may come to any daemon. */
  if (work->answered_parts == 0 && mr_evidence_crash_count (&content->evidence) > 0 &&
      !content->published)
    S_tell (r, content);
  if (!content->published && mr_evidence_crash_count (&content->evidence) == 0 &&
      content->trials == 0)
    g_hash_table_remove (r->suspect_contents, &content->fingerprint);
}
