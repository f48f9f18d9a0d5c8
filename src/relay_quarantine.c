/* Evidence against contents that crash targets, and the treatment of requests for them.
 *
 * Without these rules one such content crashed 20 of 30 targets with each arrival: one target of
 * each shard at once, then the targets that the parts were retried on, then the same again when the
 * caller repeated the request.  Only a third of all searches was answered meanwhile.
 *
 * A crash (relay_crash_check.c) counts as evidence only while no part of the request has been
 * answered, and any answer clears the content.  A search of ten shards that is running when a rack
 * fails is cleared by its next answer, about 30 ms later.  After two crashes without an answer all
 * calls of the content are cancelled once an answer is overdue, and a single part is sent as a
 * trial (relay_trial.c).
 *
 * In the simulation of a small site (test_quarantine) the first arrival of an unexpected content
 * crashes at most twelve targets, and later arrivals none. */
#include "relay_private.h"

enum
{
  /* Crashes under a request without an answer from which on all its calls are cancelled.  A single
   * crash may be unrelated: a target that crashes for another reason also breaks the calls that it
   * is running. */
  MIN_CRASHES_TO_CANCEL = 2,
};

guint32
mr_relay_unix_time (const MrRelay *r, MrTime now)
{
  return (guint32) ((now + r->unix_offset) / MR_SECOND);
}

static SuspectContent *
S_find_content (const MrRelay *r, MrFingerprint fingerprint)
{
  return g_hash_table_lookup (r->suspect_contents, &fingerprint);
}

SuspectContent *
mr_relay_get_suspect_content (MrRelay *r, MrFingerprint fingerprint)
{
  SuspectContent *content = S_find_content (r, fingerprint);
  if (content)
    return content;
  content = g_new0 (SuspectContent, 1);
  content->fingerprint = fingerprint;
  g_hash_table_insert (r->suspect_contents, &content->fingerprint, content);
  return content;
}

static void
S_publish (MrRelay *r, SuspectContent *content)
{
  content->published = TRUE;
  if (r->host->publish_evidence)
    r->host->publish_evidence (r->host, content->fingerprint, &content->evidence);
}

/* Unfinished requests for @fingerprint; the caller owns the array. */
static GPtrArray *
S_requests_for (const MrRelay *r, MrFingerprint fingerprint)
{
  GPtrArray *requests = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->requests);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      MrActiveRequest *request = item;
      if (mr_fingerprint_equal (request->fingerprint, fingerprint))
        g_ptr_array_add (requests, request);
    }
  return requests;
}

/* Evidence. */

/* An order that has been sent may have run.  It is not cancelled, since it could not be sent again,
 * and not given up. */
static gboolean
S_is_sent_order (const MrActiveRequest *request)
{
  return !request->route->idempotent && mr_relay_part_call_count (&request->parts[0]) > 0;
}

/* Applies new evidence to the unfinished requests for the content. */
static void
S_apply_evidence (MrRelay *r, MrTime now, const SuspectContent *content)
{
  MrStanding standing = mr_evidence_standing (&content->evidence, mr_relay_unix_time (r, now));
  if (standing == MR_STANDING_QUARANTINED)
    mr_relay_content_quarantined (r, now, content);
  if (standing != MR_STANDING_QUARANTINED &&
      mr_evidence_crash_count (&content->evidence) < MIN_CRASHES_TO_CANCEL)
    return;
  g_autoptr (GPtrArray) requests = S_requests_for (r, content->fingerprint);
  for (guint i = 0; i < requests->len; i++)
    {
      MrActiveRequest *request = g_ptr_array_index (requests, i);
      if (!g_hash_table_contains (r->requests, request) || request->answered_parts > 0 ||
          S_is_sent_order (request))
        continue;
      if (standing == MR_STANDING_QUARANTINED)
        mr_relay_give_up (r, now, request, MR_CAUSE_QUARANTINED);
      else
        mr_relay_make_sequential (r, now, request);
    }
}

/* TRUE if an unfinished request for @fingerprint has an answer to one of its parts. */
static gboolean
S_has_partial_answer (const MrRelay *r, MrFingerprint fingerprint)
{
  g_autoptr (GPtrArray) requests = S_requests_for (r, fingerprint);
  for (guint i = 0; i < requests->len; i++)
    if (((const MrActiveRequest *) g_ptr_array_index (requests, i))->answered_parts > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_add_evidence (MrRelay *r, MrTime now, const CrashCheck *check)
{
  if (S_has_partial_answer (r, check->fingerprint) ||
      mr_recent_answers_contain (r->recent_answers, now, check->fingerprint))
    {
      r->counts.crashes_excused++;
      return;
    }
  SuspectContent *content = mr_relay_get_suspect_content (r, check->fingerprint);
  if (content->evidence.cleared != check->evidence_at_send.cleared)
    return; /* cleared by an answer after the call was sent */
  MrTargetCrash crash = {
    .target = mr_text (check->target->id),
    .evidence_at_send = check->evidence_at_send,
    .probation = check->probation,
    .unix_time = mr_relay_unix_time (r, now),
  };
  content->evidence = mr_evidence_add_crash (&content->evidence, &crash);
  if (check->request)
    {
      check->request->suspect = TRUE;
      check->request->crash_seen = TRUE;
      check->request->trial_part = NULL;
    }
  if (!check->request || mr_evidence_crash_count (&content->evidence) >= MIN_CRASHES_TO_CANCEL)
    S_publish (r, content);
  S_apply_evidence (r, now, content);
}

static void
S_release_requests (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  g_autoptr (GPtrArray) requests = S_requests_for (r, fingerprint);
  for (guint i = 0; i < requests->len; i++)
    if (g_hash_table_contains (r->requests, g_ptr_array_index (requests, i)))
      mr_relay_release_held_parts (r, now, g_ptr_array_index (requests, i));
}

static void
S_clear_evidence (MrRelay *r, MrTime now, SuspectContent *content)
{
  if (!content->published)
    {
      g_hash_table_remove (r->suspect_contents, &content->fingerprint);
      return;
    }
  content->evidence = mr_evidence_clear (&content->evidence, mr_relay_unix_time (r, now));
  S_publish (r, content);
}

/* Clears the evidence against @fingerprint.  FALSE if there is none. */
static gboolean
S_clear_and_release (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  SuspectContent *content = S_find_content (r, fingerprint);
  if (!content || mr_evidence_crash_count (&content->evidence) == 0)
    return FALSE;
  S_clear_evidence (r, now, content);
  S_release_requests (r, now, fingerprint);
  return TRUE;
}

void
mr_relay_content_answered (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  mr_recent_answers_record (r->recent_answers, now, fingerprint);
  S_clear_and_release (r, now, fingerprint);
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
  MrEvidence merged = mr_evidence_merge (&content->evidence, evidence);
  if (mr_evidence_pack (&merged) == mr_evidence_pack (&content->evidence))
    return;
  gboolean cleared = merged.cleared > content->evidence.cleared;
  content->evidence = merged;
  content->update_received_at = now;
  if (cleared)
    S_release_requests (r, now, fingerprint);
  else if (mr_recent_answers_contain (r->recent_answers, now, fingerprint))
    {
      /* The daemon that saw the crashes may not have seen the answers. */
      r->counts.crashes_excused++;
      S_clear_and_release (r, now, fingerprint);
    }
  else
    S_apply_evidence (r, now, content);
}

gboolean
mr_relay_lift_quarantine (MrRelay *r, MrTime now, MrFingerprint fingerprint)
{
  return S_clear_and_release (r, now, fingerprint);
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
mr_relay_admit_content (MrRelay *r, MrTime now, MrActiveRequest *request)
{
  const SuspectContent *content = S_find_content (r, request->fingerprint);
  guint32 unix_time = mr_relay_unix_time (r, now);
  if (!content || !mr_fingerprint_is_set (request->fingerprint))
    return MR_CAUSE_NONE;
  request->evidence_at_send = content->evidence;
  MrStanding standing = mr_evidence_standing (&content->evidence, unix_time);
  if (standing == MR_STANDING_CLEAR)
    return MR_CAUSE_NONE;
  if (standing == MR_STANDING_QUARANTINED)
    {
      /* Refused at once: every target that runs it would crash. */
      if (!mr_evidence_is_probation_due (&content->evidence, unix_time) || content->trials > 0 ||
          mr_relay_is_other_daemons_turn (r, content))
        return MR_CAUSE_QUARANTINED;
      request->probation = TRUE;
    }
  request->suspect = TRUE;
  request->sequential = TRUE;
  request->next_trial_at = MAX (
      now, content->update_received_at > 0 ? content->update_received_at + MR_TRIAL_INTERVAL : now);
  return MR_CAUSE_NONE;
}

void
mr_relay_detach_content (MrRelay *r, MrActiveRequest *request)
{
  mr_relay_detach_crash_checks (r, request);
  SuspectContent *content = S_find_content (r, request->fingerprint);
  if (!content)
    return;
  if (request->counted_as_trial && content->trials > 0)
    content->trials--;
  /* There was no answer, so the caller may repeat the request at any daemon. */
  if (request->answered_parts == 0 && mr_evidence_crash_count (&content->evidence) > 0 &&
      !content->published)
    S_publish (r, content);
  if (!content->published && mr_evidence_crash_count (&content->evidence) == 0 &&
      content->trials == 0)
    g_hash_table_remove (r->suspect_contents, &content->fingerprint);
}
