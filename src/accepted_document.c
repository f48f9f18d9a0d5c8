#include "accepted_document.h"

#include <jansson.h>

GString *
mr_accepted_document_encode (guint64 document_version, MrText document)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (out, "{\"source\":%" G_GUINT64_FORMAT ",", document_version);
  if (document.len == 0)
    g_string_append (out, "\"deleted\":true}");
  else
    g_string_append_printf (out, "\"document\":%.*s}", (int) document.len, document.data);
  return out;
}

MrStatus
mr_accepted_document_parse (MrText body, MrAcceptedDocument *accepted)
{
  *accepted = (MrAcceptedDocument){ 0 };
  json_error_t error;
  json_t *root = json_loadb (body.data ? body.data : "", body.len, 0, &error);
  json_t *document_version = json_object_get (root, "source");
  json_t *document = json_object_get (root, "document");
  accepted->deleted = json_is_true (json_object_get (root, "deleted"));
  MrStatus status = MR_OK;
  if (!json_is_integer (document_version) || (!document && !accepted->deleted))
    status =
        mr_fail (MR_ERROR_INVALID, "accepted object: expected source, and document or deleted");
  else
    accepted->document_version = (guint64) json_integer_value (document_version);
  if (status == MR_OK && document)
    accepted->document = json_dumps (document, JSON_COMPACT | JSON_PRESERVE_ORDER);
  json_decref (root);
  return status;
}

void
mr_accepted_document_clear (MrAcceptedDocument *accepted)
{
  free (accepted->document);
  *accepted = (MrAcceptedDocument){ 0 };
}
