#include "control_private.h"

#include "log.h"

/* Interval of the search for expired evidence and evidence to store. */
static const MrTime CHECK_INTERVAL = 5 * MR_SECOND;
/* Delay before a failed write, or one whose answer was lost, is repeated. */
static const MrTime WRITE_RETRY_DELAY = 500 * MR_MS;

enum
{
  WRITES_MAX = 20, /* at one check; a store that has lost all evidence gets it back in steps */
};

static const char OBJECT_KIND[] = "quarantine";

/* Notifies the tasks that send requests. */
static void
S_notify_senders (const MrControlTask *task, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  if (task->entry_mailbox)
    mr_mailbox_post (task->entry_mailbox, &mr_evidence_message_new (fingerprint, evidence)->base);
  if (task->target_mailbox)
    mr_mailbox_post (task->target_mailbox, &mr_evidence_message_new (fingerprint, evidence)->base);
}

static void
S_remove (MrControlTask *task, MrFingerprint fingerprint)
{
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (fingerprint, name);
  mr_registry_remove (task->registry, MR_OBJECT_EVIDENCE, name);
  S_notify_senders (task, fingerprint, NULL);
}

static void
S_log (const char *name, const MrEvidence *evidence)
{
  MrStanding standing = mr_evidence_standing (evidence, mr_unix_time ());
  MrLogLine *line =
      mr_log_begin (standing == MR_STANDING_QUARANTINED ? MR_LOG_WARNING : MR_LOG_NOTICE,
                    MR_EVENT_QUARANTINE_EVIDENCE);
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

/* Offers @evidence merged with the known evidence, if that adds anything. */
static void
S_merge (MrControlTask *task, const char *name, const MrEvidence *evidence)
{
  guint64 version = mr_registry_version (task->registry, MR_OBJECT_EVIDENCE, name);
  MrEvidence known = mr_evidence_unpack (version);
  MrEvidence merged = mr_evidence_merge (&known, evidence);
  if (mr_evidence_pack (&merged) > version)
    S_offer (task, name, &merged);
}

void
mr_control_evidence_found (MrControlTask *task, const MrEvidenceMessage *message)
{
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (message->fingerprint, name);
  S_merge (task, name, &message->evidence);
}

void
mr_control_evidence_updated (MrControlTask *task, const char *name, guint64 version)
{
  MrFingerprint fingerprint = { 0 };
  MrFingerprint dropped = { 0 };
  MrEvidence evidence = mr_evidence_unpack (version);
  if (!mr_fingerprint_read (mr_text (name), &fingerprint))
    {
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID, "quarantine/%s: the name is not a fingerprint",
              name);
      mr_registry_remove (task->registry, MR_OBJECT_EVIDENCE, name);
      return;
    }
  if (!mr_quarantine_merge (task->quarantine, fingerprint, &evidence, mr_unix_time (), &dropped))
    {
      S_remove (task, fingerprint);
      return;
    }
  /* The version from a peer may lack evidence that was known here. */
  evidence = mr_quarantine_get (task->quarantine, fingerprint);
  if (mr_fingerprint_is_set (dropped))
    S_remove (task, dropped);
  task->next_evidence_check = 0;
  if (mr_evidence_pack (&evidence) > version)
    {
      char name_copy[MR_FINGERPRINT_DIGITS + 1];
      mr_fingerprint_write (fingerprint, name_copy);
      S_offer (task, name_copy, &evidence);
      return;
    }
  S_log (name, &evidence);
  S_notify_senders (task, fingerprint, &evidence);
}

/* Stored copies. */

static MrSavedEvidence *
S_get_saved (MrControlTask *task, const char *name)
{
  MrSavedEvidence *saved = g_hash_table_lookup (task->saved_evidence, name);
  if (saved)
    return saved;
  saved = g_new0 (MrSavedEvidence, 1);
  g_hash_table_insert (task->saved_evidence, g_strdup (name), saved);
  return saved;
}

/* An operator deleted the stored object, which lifts the quarantine. */
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
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID, "quarantine/%s: invalid evidence",
              object->name);
      return;
    }
  MrSavedEvidence *saved = S_get_saved (task, object->name);
  if (object->version < saved->version)
    return;
  saved->version = object->version;
  saved->evidence = mr_evidence_pack (&evidence);
  S_merge (task, object->name, &evidence);
}

/* For a platform that answers a write with the version only. */
static void
S_record_saved (MrSavedEvidence *saved, const MrPlatformResult *result)
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
  MrSavedEvidence *saved = S_get_saved (task, name);
  saved->write_pending = FALSE;
  saved->retry_at = now + WRITE_RETRY_DELAY;
  /* In the era of the request an operator has deleted the object; in a later one the store has
   * lost it. */
  if (result->status == MR_ERROR_NOT_FOUND && result->era == result->request->era)
    S_lift (task, name);
  else if (result->objects->len > 0)
    mr_control_evidence_read_from_store (task, g_ptr_array_index (result->objects, 0));
  else if (result->status == MR_OK)
    S_record_saved (saved, result);
  task->next_evidence_check = MIN (task->next_evidence_check, now + WRITE_RETRY_DELAY);
}

typedef struct
{
  MrControlTask *task;
  MrTime now;
  guint write_count;
} SaveContext;

/* Stores quarantines, which would otherwise be lost if all daemons stopped at once, and cost
 * targets again.  One daemon writes for all; if it is lost, the next one does. */
static void
S_save (MrFingerprint fingerprint, const MrEvidence *evidence, void *user)
{
  SaveContext *context = user;
  MrControlTask *task = context->task;
  char name[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (fingerprint, name);
  gboolean quarantined =
      mr_evidence_standing (evidence, mr_unix_time ()) == MR_STANDING_QUARANTINED;
  if (!quarantined && !g_hash_table_contains (task->saved_evidence, name))
    return;
  MrSavedEvidence *saved = S_get_saved (task, name);
  if (saved->write_pending || saved->evidence >= mr_evidence_pack (evidence) ||
      context->now < saved->retry_at)
    return;
  if (++context->write_count > WRITES_MAX)
    return;
  g_autofree char *json = mr_evidence_write (evidence, mr_unix_time ());
  MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_WRITE, OBJECT_KIND, name);
  request->expected_version = mr_version_without_era (saved->version);
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
  task->next_evidence_check = now + CHECK_INTERVAL;
  while (mr_quarantine_remove_expired (task->quarantine, mr_unix_time (), &expired))
    {
      S_remove (task, expired);
      mr_membership_set_registry_digest (task->membership, mr_registry_digest (task->registry));
    }
  SaveContext context = { .task = task, .now = now };
  if (task->platform_up && mr_watch_is_first_watcher (task->roster, task->settings->name))
    mr_quarantine_foreach (task->quarantine, S_save, &context);
  if (context.write_count > WRITES_MAX)
    task->next_evidence_check = now + WRITE_RETRY_DELAY;
  *next = MIN (*next, task->next_evidence_check);
}

void
mr_control_evidence_forget_saved (MrControlTask *task)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, task->saved_evidence);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    *(MrSavedEvidence *) item = (MrSavedEvidence){ 0 };
  task->next_evidence_check = 0;
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
