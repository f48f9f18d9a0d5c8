#include "controller.h"

#include "accepted.h"
#include "document.h"
#include "log.h"
#include "safeguard.h"
#include <jansson.h>

static const MrTime RETRY_GAP = 1 * MR_SECOND;
/* A write or read without any result is settled by reading after this. */
static const MrTime RESULT_WAIT = 10 * MR_SECOND;

/* One object that we write. */
typedef struct
{
  gboolean known; /* its state at the platform has been read */
  guint64 version;
  gboolean busy;  /* a write or read is out */
  MrTime due;     /* not before this; while busy: when to give up waiting */
  GString *wrote; /* body of the write that is out */
} Slot;

typedef struct
{
  char *name;
  guint64 document_version;
  GString *document; /* empty: deleted */
  gboolean valid;
  char *error;
  guint64 source; /* document version that is in force */
  Slot accepted;
  Slot status;
  GString *status_body; /* at the platform, as far as known */
} Entry;

struct _MrController
{
  MrControllerHost *host;
  GHashTable *entries; /* name -> Entry */
};

static void
S_entry_free (gpointer data)
{
  Entry *entry = data;
  g_free (entry->name);
  g_free (entry->error);
  g_string_free (entry->document, TRUE);
  g_string_free (entry->status_body, TRUE);
  g_string_free (entry->accepted.wrote, TRUE);
  g_string_free (entry->status.wrote, TRUE);
  g_free (entry);
}

MrController *
mr_controller_new (MrControllerHost *host)
{
  MrController *c = g_new0 (MrController, 1);
  c->host = host;
  c->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_entry_free);
  return c;
}

void
mr_controller_free (MrController *c)
{
  if (!c)
    return;
  g_hash_table_unref (c->entries);
  g_free (c);
}

static Entry *
S_entry (MrController *c, MrText name)
{
  g_autofree char *key = mr_text_dup (name);
  Entry *entry = g_hash_table_lookup (c->entries, key);
  if (entry)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->name = g_steal_pointer (&key);
  entry->document = g_string_new (NULL);
  entry->status_body = g_string_new (NULL);
  entry->accepted.wrote = g_string_new (NULL);
  entry->status.wrote = g_string_new (NULL);
  g_hash_table_insert (c->entries, entry->name, entry);
  return entry;
}

static void
S_set (GString *string, MrText text)
{
  g_string_truncate (string, 0);
  g_string_append_len (string, text.data, (gssize) text.len);
}

void
mr_controller_document_changed (
    MrController *c, MrText name, guint64 version, MrText body, MrTime not_before)
{
  Entry *entry = S_entry (c, name);
  if (version <= entry->document_version)
    return;
  entry->document_version = version;
  S_set (entry->document, body);
  MrDocument parsed;
  g_clear_pointer (&entry->error, g_free);
  entry->valid = body.len == 0 || mr_document_parse (name, body, &parsed) == MR_OK;
  if (!entry->valid)
    {
      entry->error = g_strdup (mr_status_message ());
      mr_log (MR_LOG_WARNING, MR_EVENT_DOCUMENT_INVALID,
              "document %s version %" G_GUINT64_FORMAT " is not accepted: %s", entry->name, version,
              entry->error);
    }
  if (!entry->accepted.busy)
    entry->accepted.due = not_before;
  if (!entry->status.busy)
    entry->status.due = not_before;
}

static Slot *
S_slot (Entry *entry, const char *kind)
{
  return g_str_equal (kind, "accepted") ? &entry->accepted : &entry->status;
}

void
mr_controller_object_read (
    MrController *c, MrTime now, const char *kind, MrText name, guint64 version, MrText body)
{
  Entry *entry = S_entry (c, name);
  Slot *slot = S_slot (entry, kind);
  if (slot->known && version < slot->version)
    {
      /* A stale read; what we know is newer. */
      if (slot->busy)
        slot->due = now + RETRY_GAP;
      slot->busy = FALSE;
      return;
    }
  if (slot->busy)
    slot->due = now;
  slot->known = TRUE;
  slot->version = version;
  slot->busy = FALSE;
  if (slot == &entry->status)
    {
      S_set (entry->status_body, body);
      return;
    }
  MrAccepted accepted;
  if (version == 0 || mr_accepted_parse (body, &accepted) != MR_OK)
    return;
  entry->source = accepted.source;
  mr_accepted_clear (&accepted);
}

void
mr_controller_object_written (
    MrController *c, MrTime now, const char *kind, MrText name, MrStatus status, guint64 version)
{
  Entry *entry = S_entry (c, name);
  Slot *slot = S_slot (entry, kind);
  if (!slot->busy)
    return;
  if (status == MR_OK)
    {
      if (slot == &entry->accepted)
        mr_log (MR_LOG_NOTICE, MR_EVENT_DOCUMENT_ACCEPTED,
                "document %s is accepted, version %" G_GUINT64_FORMAT, entry->name, version);
      mr_controller_object_read (c, now, kind, name, version, mr_text_of (slot->wrote));
      return;
    }
  if (status == MR_ERROR_UNAVAIL)
    {
      slot->busy = FALSE;
      slot->due = now + RETRY_GAP;
      return;
    }
  /* Lost race, or the reply was lost and the write may stand: only the platform
   * knows, so read before anything else is written. */
  if (status == MR_ERROR_UNSURE)
    mr_log (MR_LOG_NOTICE, MR_EVENT_WRITE_UNSURE, "write of %s/%s unsure; reading back", kind,
            entry->name);
  slot->due = now + RESULT_WAIT;
  c->host->read (c->host, kind, entry->name);
}

static void
S_write (MrController *c, MrTime now, Entry *entry, const char *kind, Slot *slot, GString *body)
{
  slot->busy = TRUE;
  slot->due = now + RESULT_WAIT;
  S_set (slot->wrote, mr_text_of (body));
  g_string_free (body, TRUE);
  /* Without the version that was read, a controller that was held up would
   * overwrite what another has accepted since, and force would go back. */
  guint64 expected = MR_SAFEGUARD (MR_GUARD_CONDITIONAL) ? slot->version : MR_VERSION_ANY;
  c->host->write (c->host, kind, entry->name, expected, mr_text_of (slot->wrote));
}

static GString *
S_status_text (const Entry *entry)
{
  json_t *root = json_pack ("{s:I, s:b, s:I, s:s?}", "document_version",
                            (json_int_t) entry->document_version, "valid", (int) entry->valid,
                            "in_force", (json_int_t) entry->source, "error", entry->error);
  char *text = json_dumps (root, JSON_COMPACT);
  GString *out = g_string_new (text);
  free (text);
  json_decref (root);
  return out;
}

/* TRUE if a newer controller's word stands at the platform already. */
static gboolean
S_status_stands (const Entry *entry, const GString *wanted)
{
  if (g_string_equal (entry->status_body, wanted))
    return TRUE;
  json_t *root = json_loadb (entry->status_body->str, entry->status_body->len, 0, NULL);
  guint64 version = (guint64) json_integer_value (json_object_get (root, "document_version"));
  guint64 in_force = (guint64) json_integer_value (json_object_get (root, "in_force"));
  json_decref (root);
  return version > entry->document_version ||
         (version == entry->document_version && in_force > entry->source);
}

static gboolean
S_wants_accept (const Entry *entry)
{
  /* An invalid document in force would change limits to nonsense everywhere at
   * once; it stays out and its error stands in the status. */
  gboolean valid = entry->valid || !MR_SAFEGUARD (MR_GUARD_VALIDATE);
  return valid && entry->document_version > entry->source;
}

/* TRUE if the slot may be written now; starts a read if its state is unknown.
 */
static gboolean
S_slot_ready (MrController *c, MrTime now, Entry *entry, const char *kind, Slot *slot)
{
  if (now < slot->due)
    return FALSE;
  if (slot->known && !slot->busy)
    return TRUE;
  slot->busy = TRUE;
  slot->due = now + RESULT_WAIT;
  c->host->read (c->host, kind, entry->name);
  return FALSE;
}

static void
S_tick_entry (MrController *c, MrTime now, Entry *entry, MrTime *next)
{
  if (entry->document_version == 0)
    return;
  if (S_wants_accept (entry))
    {
      if (S_slot_ready (c, now, entry, "accepted", &entry->accepted))
        S_write (c, now, entry, "accepted", &entry->accepted,
                 mr_accepted_encode (entry->document_version, mr_text_of (entry->document)));
      *next = MIN (*next, entry->accepted.due);
      return;
    }
  GString *wanted = S_status_text (entry);
  if (S_status_stands (entry, wanted))
    {
      g_string_free (wanted, TRUE);
      return;
    }
  if (S_slot_ready (c, now, entry, "status", &entry->status))
    S_write (c, now, entry, "status", &entry->status, wanted);
  else
    g_string_free (wanted, TRUE);
  *next = MIN (*next, entry->status.due);
}

MrTime
mr_controller_tick (MrController *c, MrTime now)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer entry = NULL;
  g_hash_table_iter_init (&iter, c->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    S_tick_entry (c, now, entry, &next);
  return next;
}
