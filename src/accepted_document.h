/* Body of an object of kind "accepted": which version of the operators'
 * document is in force, and its text.
 *
 * {"source": 12, "document": {...}} or {"source": 13, "deleted": true}. */
#pragma once

#include "status.h"
#include "text.h"

typedef struct
{
  guint64 document_version; /* version of the operators' document */
  gboolean deleted;
  char *document; /* JSON text; NULL if deleted */
} MrAcceptedDocument;

/* @document: JSON text, or empty for a deleted one. */
GString *mr_accepted_document_encode (guint64 source, MrText document);
MrStatus mr_accepted_document_parse (MrText body, MrAcceptedDocument *accepted);
void mr_accepted_document_clear (MrAcceptedDocument *accepted);
