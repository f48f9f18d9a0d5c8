/* The searches whose root is this daemon, from the admitted request to the HTTP reply.  query.c
 * makes the decisions; this module does the I/O. */
#pragma once

#include "entry_context.h"

typedef struct _MrSearches MrSearches;

MrSearches *mr_searches_new (MrEntryContext *context);
void mr_searches_free (MrSearches *searches);

void
mr_searches_begin (MrSearches *searches, const MrEntryRequest *request, MrText text, guint top_k);

/* Adds a partial from the owner @from, which is "" for this daemon.  Returns FALSE, and does not
 * take ownership of @partial, if it belongs to no open search. */
gboolean mr_searches_add_partial (MrSearches *searches, MrPartial *partial, const char *from);

/* Cancels the search whose caller has disconnected. */
void mr_searches_cancel (MrSearches *searches, guint64 http_id);
MrTime mr_searches_tick (MrSearches *searches, MrTime now);
/* Open searches end by @at at the latest, with what has been merged by then. */
void mr_searches_end_by (MrSearches *searches, MrTime at);
guint mr_searches_count (const MrSearches *searches);
