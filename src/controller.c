#include "controller.h"

#include "accepted_document.h"
#include "document.h"
#include "log.h"
#include "safeguard.h"
#include <jansson.h>

static const MrTime RETRY_DELAY = 1 * MR_SECOND;
/* If a write or read gets no result within this time, its outcome is determined by reading the
 * object. */
static const MrTime RESULT_TIMEOUT = 10 * MR_SECOND;

/* State of an object that the controller writes. */
typedef struct
{
  gboolean known; /* the state at the platform has been read */
  guint64 version;
  gboolean busy;         /* a write or read has been sent */
  MrTime next_attempt;   /* while busy: when to stop waiting for a result */
  GString *pending_body; /* body of the pending write */
} WrittenObject;

typedef struct
{
  char *name;
  guint64 document_version;
  GString *document; /* empty: deleted */
  gboolean valid;
  char *error;
  guint64 version_in_force; /* version of the document that is in force */
  WrittenObject accepted;
  WrittenObject status;
  GString *status_body; /* at the platform, as last read or written */
} DocumentState;

struct _MrController
{
  MrControllerHost *host;
  GHashTable *documents; /* name -> DocumentState */
};

static void
S_document_state_free (gpointer data)
{
  DocumentState *state = data;
  g_free (state->name);
  g_free (state->error);
  g_string_free (state->document, TRUE);
  g_string_free (state->status_body, TRUE);
  g_string_free (state->accepted.pending_body, TRUE);
  g_string_free (state->status.pending_body, TRUE);
  g_free (state);
}

MrController *
mr_controller_new (MrControllerHost *host)
{
  MrController *c = g_new0 (MrController, 1);
  c->host = host;
  c->documents = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_document_state_free);
  return c;
}

void
mr_controller_free (MrController *c)
{
  if (!c)
    return;
  g_hash_table_unref (c->documents);
  g_free (c);
}

static DocumentState *
S_document_state (MrController *c, MrText name)
{
  g_autofree char *key = mr_text_dup (name);
  DocumentState *state = g_hash_table_lookup (c->documents, key);
  if (state)
    return state;
  state = g_new0 (DocumentState, 1);
  state->name = g_steal_pointer (&key);
  state->document = g_string_new (NULL);
  state->status_body = g_string_new (NULL);
  state->accepted.pending_body = g_string_new (NULL);
  state->status.pending_body = g_string_new (NULL);
  g_hash_table_insert (c->documents, state->name, state);
  return state;
}

static void
S_set_string (GString *string, MrText text)
{
  g_string_truncate (string, 0);
  g_string_append_len (string, text.data, (gssize) text.len);
}

void
mr_controller_document_changed (
    MrController *c, MrText name, guint64 version, MrText body, MrTime not_before)
{
  DocumentState *state = S_document_state (c, name);
  if (version <= state->document_version)
    return;
  state->document_version = version;
  S_set_string (state->document, body);
  MrDocument parsed;
  g_clear_pointer (&state->error, g_free);
  state->valid = body.len == 0 || mr_document_parse (name, body, &parsed) == MR_OK;
  if (!state->valid)
    {
      state->error = g_strdup (mr_status_message ());
      mr_log (MR_LOG_WARNING, MR_EVENT_DOCUMENT_INVALID,
              "document %s version %" G_GUINT64_FORMAT " is not accepted: %s", state->name, version,
              state->error);
    }
  if (!state->accepted.busy)
    state->accepted.next_attempt = not_before;
  if (!state->status.busy)
    state->status.next_attempt = not_before;
}

static WrittenObject *
S_written_object (DocumentState *state, const char *kind)
{
  return g_str_equal (kind, "accepted") ? &state->accepted : &state->status;
}

void
mr_controller_object_read (
    MrController *c, MrTime now, const char *kind, MrText name, guint64 version, MrText body)
{
  DocumentState *state = S_document_state (c, name);
  WrittenObject *object = S_written_object (state, kind);
  if (object->known && version < object->version)
    {
      /* A stale read; the known version is newer. */
      if (object->busy)
        object->next_attempt = now + RETRY_DELAY;
      object->busy = FALSE;
      return;
    }
  if (object->busy)
    object->next_attempt = now;
  object->known = TRUE;
  object->version = version;
  object->busy = FALSE;
  if (object == &state->status)
    {
      S_set_string (state->status_body, body);
      return;
    }
  MrAcceptedDocument accepted;
  if (version == 0 || mr_accepted_document_parse (body, &accepted) != MR_OK)
    return;
  state->version_in_force = accepted.document_version;
  mr_accepted_document_clear (&accepted);
}

void
mr_controller_object_written (
    MrController *c, MrTime now, const char *kind, MrText name, MrStatus status, guint64 version)
{
  DocumentState *state = S_document_state (c, name);
  WrittenObject *object = S_written_object (state, kind);
  if (!object->busy)
    return;
  if (status == MR_OK)
    {
      if (object == &state->accepted)
        mr_log (MR_LOG_NOTICE, MR_EVENT_DOCUMENT_ACCEPTED,
                "document %s is accepted, version %" G_GUINT64_FORMAT, state->name, version);
      mr_controller_object_read (c, now, kind, name, version, mr_text_of (object->pending_body));
      return;
    }
  if (status == MR_ERROR_UNAVAILABLE)
    {
      object->busy = FALSE;
      object->next_attempt = now + RETRY_DELAY;
      return;
    }
  /* Either another controller won the race, or the reply was lost and the write may have
   * succeeded. Only the platform knows, so the object is read before anything else is written. */
  if (status == MR_ERROR_OUTCOME_UNKNOWN)
    mr_log (MR_LOG_NOTICE, MR_EVENT_WRITE_OUTCOME_UNKNOWN,
            "outcome of the write of %s/%s is unknown; reading it back", kind, state->name);
  object->next_attempt = now + RESULT_TIMEOUT;
  c->host->read (c->host, kind, state->name);
}

static void
S_write (MrController *c,
         MrTime now,
         DocumentState *state,
         const char *kind,
         WrittenObject *object,
         GString *body)
{
  object->busy = TRUE;
  object->next_attempt = now + RESULT_TIMEOUT;
  S_set_string (object->pending_body, mr_text_of (body));
  g_string_free (body, TRUE);
  /* An unconditional write by a delayed controller would overwrite what another one has
   * accepted meanwhile, and the configuration in force would revert. */
  guint64 expected = MR_SAFEGUARD (MR_GUARD_CONDITIONAL) ? object->version : MR_VERSION_ANY;
  c->host->write (c->host, kind, state->name, expected, mr_text_of (object->pending_body));
}

static GString *
S_status_text (const DocumentState *state)
{
  json_t *root = json_pack (
      "{s:I, s:b, s:I, s:s?}", "document_version", (json_int_t) state->document_version, "valid",
      (int) state->valid, "in_force", (json_int_t) state->version_in_force, "error", state->error);
  char *text = json_dumps (root, JSON_COMPACT);
  GString *out = g_string_new (text);
  free (text);
  json_decref (root);
  return out;
}

/* TRUE if the status at the platform is already up to date, or was written by a controller
 * that knows a newer state. */
static gboolean
S_status_is_current (const DocumentState *state, const GString *wanted)
{
  if (g_string_equal (state->status_body, wanted))
    return TRUE;
  json_t *root = json_loadb (state->status_body->str, state->status_body->len, 0, NULL);
  guint64 version = (guint64) json_integer_value (json_object_get (root, "document_version"));
  guint64 in_force = (guint64) json_integer_value (json_object_get (root, "in_force"));
  json_decref (root);
  return version > state->document_version ||
         (version == state->document_version && in_force > state->version_in_force);
}

static gboolean
S_should_accept (const DocumentState *state)
{
  /* An invalid document in force would set nonsensical limits on all daemons at once. It is
   * not accepted, and the status object holds its error. */
  gboolean valid = state->valid || !MR_SAFEGUARD (MR_GUARD_VALIDATE);
  return valid && state->document_version > state->version_in_force;
}

/* TRUE if the object may be written now. Starts a read if its state is unknown. */
static gboolean
S_may_write (
    MrController *c, MrTime now, DocumentState *state, const char *kind, WrittenObject *object)
{
  if (now < object->next_attempt)
    return FALSE;
  if (object->known && !object->busy)
    return TRUE;
  object->busy = TRUE;
  object->next_attempt = now + RESULT_TIMEOUT;
  c->host->read (c->host, kind, state->name);
  return FALSE;
}

static void
S_tick_document (MrController *c, MrTime now, DocumentState *state, MrTime *next)
{
  if (state->document_version == 0)
    return;
  if (S_should_accept (state))
    {
      if (S_may_write (c, now, state, "accepted", &state->accepted))
        S_write (
            c, now, state, "accepted", &state->accepted,
            mr_accepted_document_encode (state->document_version, mr_text_of (state->document)));
      *next = MIN (*next, state->accepted.next_attempt);
      return;
    }
  GString *wanted = S_status_text (state);
  if (S_status_is_current (state, wanted))
    {
      g_string_free (wanted, TRUE);
      return;
    }
  if (S_may_write (c, now, state, "status", &state->status))
    S_write (c, now, state, "status", &state->status, wanted);
  else
    g_string_free (wanted, TRUE);
  *next = MIN (*next, state->status.next_attempt);
}

MrTime
mr_controller_tick (MrController *c, MrTime now)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer state = NULL;
  g_hash_table_iter_init (&iter, c->documents);
  while (g_hash_table_iter_next (&iter, NULL, &state))
    S_tick_document (c, now, state, &next);
  return next;
}
