#include "control_private.h"

#include "log.h"

/* Evidence that is of no use any more is looked for this often. */
static const MrTime LOOK_GAP = 5 * MR_SECOND;
/* A write that failed, or whose answer was lost, is made again after this. */
static const MrTime RETRY_GAP = 500 * MR_MS;

static const char kind[] = "quarantine";

/* Tells those that send requests. */
static void
S_tell (const MrControlTask *task, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  if (task->entry_mailbox)
    mr_mailbox_post (task->entry_mailbox, &mr_evidence_message_new (fingerprint, evidence)->base);
  if (task->target_mailbox)
    mr_mailbox_post (task->target_mailbox, &mr_evidence_message_new (fingerprint, evidence)->base);
}

static void
S_forget (MrControlTask *task, MrFingerprint fingerprint)
{
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (fingerprint, name);
  mr_registry_remove (task->registry, MR_OBJECT_EVIDENCE, name);
  S_tell (task, fingerprint, NULL);
}

static void
S_log (const char *name, const MrEvidence *evidence)
{
  MrStanding standing = mr_evidence_standing (evidence, mr_unix_time ());
  MrLogLine *line = mr_log_begin (
      standing == MR_STANDING_QUARANTINED ? MR_LOG_WARNING : MR_LOG_NOTICE, MR_EVENT_EVIDENCE);
  mr_log_text (line, "content", mr_text (name));
  mr_log_text (line, "standing", mr_text (mr_standing_name (standing)));
  mr_log_number (line, "ended", mr_evidence_crash_count (evidence));
  mr_log_number (line, "occasions", evidence->occasions);
  mr_log_number (line, "probations", evidence->probations);
  mr_log_number (line, "cleared", evidence->cleared);
  mr_log_end (line);
}

static void
S_offer (MrControlTask *task, const char *name, const MrEvidence *evidence)
{
  mr_replication_offer (task->replication, MR_OBJECT_EVIDENCE, mr_text (name),
                        mr_evidence_pack (evidence), (MrText){ 0 }, NULL);
}

/* Offers what @evidence and what stands here are together, if that is more. */
static void
S_join (MrControlTask *task, const char *name, const MrEvidence *evidence)
{
  guint64 version = mr_registry_version (task->registry, MR_OBJECT_EVIDENCE, name);
  MrEvidence known = mr_evidence_unpack (version);
  MrEvidence joined = mr_evidence_merge (&known, evidence);
  if (mr_evidence_pack (&joined) > version)
    S_offer (task, name, &joined);
}

void
mr_control_evidence_found (MrControlTask *task, const MrEvidenceMessage *message)
{
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (message->fingerprint, name);
  S_join (task, name, &message->evidence);
}

void
mr_control_evidence_updated (MrControlTask *task, const char *name, guint64 version)
{
  MrFingerprint fingerprint = { 0 };
  MrFingerprint left_out = { 0 };
  MrEvidence evidence = mr_evidence_unpack (version);
  if (!mr_fingerprint_read (mr_text (name), &fingerprint))
    {
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_BAD, "quarantine/%s: no fingerprint", name);
      mr_registry_remove (task->registry, MR_OBJECT_EVIDENCE, name);
      return;
    }
  if (!mr_quarantine_merge (task->quarantine, fingerprint, &evidence, mr_unix_time (), &left_out))
    {
      S_forget (task, fingerprint);
      return;
    }
  /* What a peer has told may lack what stood here. */
  evidence = mr_quarantine_get (task->quarantine, fingerprint);
  if (mr_fingerprint_is_set (left_out))
    S_forget (task, left_out);
  task->next_evidence_check = 0;
  if (mr_evidence_pack (&evidence) > version)
    {
      char own[MR_FINGERPRINT_DIGITS + 1];
      mr_fingerprint_write (fingerprint, own);
      S_offer (task, own, &evidence);
      return;
    }
  S_log (name, &evidence);
  S_tell (task, fingerprint, &evidence);
}

/* The store's copies. */

static MrSavedEvidence *
S_saved (MrControlTask *task, const char *name)
{
  MrSavedEvidence *saved = g_hash_table_lookup (task->saved_evidence, name);
  if (saved)
    return saved;
  saved = g_new0 (MrSavedEvidence, 1);
  g_hash_table_insert (task->saved_evidence, g_strdup (name), saved);
  return saved;
}

/* An operator has removed what the store held: that lifts the quarantine. */
static void
S_lift (MrControlTask *task, const char *name)
{
  MrFingerprint fingerprint = { 0 };
  g_hash_table_remove (task->saved_evidence, name);
  if (!mr_fingerprint_read (mr_text (name), &fingerprint))
    return;
  MrEvidence known = mr_quarantine_get (task->quarantine, fingerprint);
  if (mr_evidence_crash_count (&known) == 0)
    return;
  MrEvidence cleared = mr_evidence_clear (&known, mr_unix_time ());
  S_offer (task, name, &cleared);
}

void
mr_control_evidence_read_from_store (MrControlTask *task, const MrPlatformObject *object)
{
  MrEvidence evidence;
  if (object->deleted)
    {
      S_lift (task, object->name);
      return;
    }
  if (!mr_evidence_read (mr_text_of (object->body), &evidence))
    {
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_BAD, "quarantine/%s can't be read", object->name);
      return;
    }
  MrSavedEvidence *saved = S_saved (task, object->name);
  if (object->version < saved->version)
    return;
  saved->version = object->version;
  saved->evidence = mr_evidence_pack (&evidence);
  S_join (task, object->name, &evidence);
}

/* A platform that answers a write with the version alone. */
static void
S_note_saved (MrSavedEvidence *saved, const MrPlatformResult *result)
{
  MrEvidence evidence;
  if (!mr_evidence_read (mr_text_of (result->request->body), &evidence))
    return;
  saved->version = result->version;
  saved->evidence = mr_evidence_pack (&evidence);
}

void
mr_control_evidence_written (MrControlTask *task, MrTime now, const MrPlatformResult *result)
{
  const char *name = result->request->name;
  MrSavedEvidence *saved = S_saved (task, name);
  saved->write_pending = FALSE;
  saved->retry_at = now + RETRY_GAP;
  if (result->status == MR_ERROR_NOT_FOUND)
    S_lift (task, name);
  else if (result->objects->len > 0)
    mr_control_evidence_read_from_store (task, g_ptr_array_index (result->objects, 0));
  else if (result->status == MR_OK)
    S_note_saved (saved, result);
  task->next_evidence_check = MIN (task->next_evidence_check, now + RETRY_GAP);
}

typedef struct
{
  MrControlTask *task;
  MrTime now;
} Saving;

/* What would be lost with all daemons at once, and cost targets again: quarantines.  One
 * daemon saves for all, and the next one when that is gone. */
static void
S_save (MrFingerprint fingerprint, const MrEvidence *evidence, void *user)
{
  const Saving *saving = user;
  MrControlTask *task = saving->task;
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (fingerprint, name);
  gboolean quarantined =
      mr_evidence_standing (evidence, mr_unix_time ()) == MR_STANDING_QUARANTINED;
  if (!quarantined && !g_hash_table_contains (task->saved_evidence, name))
    return;
  MrSavedEvidence *saved = S_saved (task, name);
  if (saved->write_pending || saved->evidence >= mr_evidence_pack (evidence) ||
      saving->now < saved->retry_at)
    return;
  g_autofree char *json = mr_evidence_write (evidence, mr_unix_time ());
  MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_WRITE, kind, name);
  request->expected = saved->version;
  request->body = g_string_new (json);
  saved->write_pending = TRUE;
  mr_control_platform_request (task, request);
}

void
mr_control_evidence_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  MrFingerprint expired;
  *next = MIN (*next, MAX (task->next_evidence_check, now));
  if (now < task->next_evidence_check)
    return;
  task->next_evidence_check = now + LOOK_GAP;
  while (mr_quarantine_remove_expired (task->quarantine, mr_unix_time (), &expired))
    {
      S_forget (task, expired);
      mr_membership_set_registry_digest (task->membership, mr_registry_digest (task->registry));
    }
  Saving saving = { .task = task, .now = now };
  if (task->platform_up && mr_watch_is_first_watcher (task->roster, task->settings->name))
    mr_quarantine_foreach (task->quarantine, S_save, &saving);
  *next = MIN (*next, task->next_evidence_check);
}

void
mr_control_evidence_init (MrControlTask *task)
{
  task->quarantine = mr_quarantine_new ();
  task->saved_evidence = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
mr_control_evidence_clear (MrControlTask *task)
{
  mr_quarantine_free (task->quarantine);
  g_hash_table_unref (task->saved_evidence);
}
