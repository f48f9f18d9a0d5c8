/* Body of an object of kind "accepted": the version and text of the operators' document that is
 * in force.
 *
 * {"source": 12, "document": {...}} or {"source": 13, "deleted": true}. */
#pragma once

#include "status.h"
#include "text.h"

typedef struct
{
  guint64 document_version; /* "source": version of the operators' document */
  gboolean deleted;
  char *document; /* JSON text; NULL if deleted */
} MrAcceptedDocument;

/* @document: JSON text; empty if the document was deleted. */
GString *mr_accepted_document_encode (guint64 document_version, MrText document);
MrStatus mr_accepted_document_parse (MrText body, MrAcceptedDocument *accepted);
void mr_accepted_document_clear (MrAcceptedDocument *accepted);
