/* A service's document: what operators edit and what accepted means.
 *
 * The schema is stated in docs/DOCUMENT.md and in the table of document.c.
 * Unknown keys, wrong types, values out of range, duplicate keys, over-size
 * input and input that is not UTF-8 are each refused with a numbered error
 * that names the key, the value and what was expected. */
#pragma once

#include "status.h"
#include "text.h"

enum
{
  MR_DOCUMENT_MAX = 64 * 1024, /* bytes */
  MR_NAME_MAX = 63,
};

/* Numbered document errors; stable, listed in docs/DOCUMENT.md. */
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
  gint64 deadline_ms;     /* when the caller names none */
  gint64 max_deadline_ms; /* longest a caller may name */
  gint64 top_k;           /* hits of an answer when the caller names none */
  gint64 max_top_k;
  double extra_calls;    /* hedges and retries, as a share of first calls */
  double hedge_quantile; /* a call slower than this is hedged */
  gint64 target_limit;   /* most calls at once to a target; 0: its slots */
  gint64 cell_shards;    /* shards that share an owner */
  gint64 owners_per_cell;
  gboolean direct; /* every daemon calls targets itself; no owners */
  gboolean orders; /* non-idempotent requests are served */
  gint64 order_timeout_ms;
  gint64 objective_latency_ms;
  double objective_latency; /* share of answers within objective_latency_ms */
  double objective_coverage;
  double objective_refused; /* highest share of refused requests */
} MrDocument;

/* Parses and checks @body; on failure mr_status_message () starts with
 * "D<number>".  @name: the object's name, which "service" must equal. */
MrStatus mr_document_parse (MrText name, MrText body, MrDocument *document);

/* True if @name may name a service: a-z, 0-9 and '-', 1 to 63 bytes. */
gboolean mr_name_valid (MrText name);
