/* Documents: the configuration of a service as operators edit it, and its validation.
 *
 * The schema is stated in docs/DOCUMENT.md and in the table of document.c.  Unknown keys, wrong
 * types, values out of range, duplicate keys, oversized input and input that is not UTF-8 are
 * each refused with a numbered error that names the key, the value and what was expected. */
#pragma once

#include "status.h"
#include "text.h"

enum
{
  MR_DOCUMENT_MAX = 64 * 1024, /* bytes */
  MR_NAME_MAX = 63,
};

/* Error numbers of documents; stable, listed in docs/DOCUMENT.md. */
typedef enum
{
  MR_DOCUMENT_TOO_LARGE = 501,
  MR_DOCUMENT_NOT_UTF8 = 502,
  MR_DOCUMENT_NOT_JSON = 503,
  MR_DOCUMENT_DUPLICATE_KEY = 504,
  MR_DOCUMENT_UNKNOWN_KEY = 505,
  MR_DOCUMENT_WRONG_TYPE = 506,
  MR_DOCUMENT_OUT_OF_RANGE = 507,
  MR_DOCUMENT_MISSING_KEY = 508,
  MR_DOCUMENT_WRONG_NAME = 509,
  MR_DOCUMENT_CONFLICT = 510, /* two keys contradict each other */
} MrDocumentError;

typedef struct
{
  char service[MR_NAME_MAX + 1];
  gint64 deadline_ms;     /* default for requests without a deadline */
  gint64 max_deadline_ms; /* longest deadline that a caller may set */
  gint64 top_k;           /* number of hits, unless the caller sets it */
  gint64 max_top_k;
  double extra_calls;    /* limit on hedges and retries, as a fraction of first calls */
  double hedge_quantile; /* latency quantile after which a call is hedged */
  gint64 target_limit;   /* most concurrent calls to a target; 0: as many as it has slots */
  gint64 cell_shards;    /* number of shards that share an owner */
  gint64 owners_per_cell;
  gboolean direct; /* every daemon calls the targets itself, without owners */
  gboolean orders; /* the service accepts non-idempotent requests */
  gint64 order_timeout_ms;
  gint64 objective_latency_ms;
  double objective_latency; /* fraction of answers within objective_latency_ms */
  double objective_coverage;
  double objective_refused; /* highest fraction of refused requests */
} MrDocument;

/* Parses and validates @body; on failure mr_status_message () starts with "D<number>".  @name:
 * name of the object, which "service" must equal. */
MrStatus mr_document_parse (MrText name, MrText body, MrDocument *document);

/* TRUE if @name is a valid name of a service: a-z, 0-9 and '-', 1 to 63 bytes. */
gboolean mr_name_valid (MrText name);
