/* The searches that this daemon is root of: from an admitted request to the
 * reply (query.c decides). */
#pragma once

#include "entry_context.h"

typedef struct _MrSearches MrSearches;

MrSearches *mr_searches_new (MrEntryContext *context);
void mr_searches_free (MrSearches *searches);

void
mr_searches_begin (MrSearches *searches, const MrEntryRequest *request, MrText text, guint top_k);

/* A partial from @from ("" for this daemon); FALSE, and not taken, if it
 * belongs to no search. */
gboolean mr_searches_add_partial (MrSearches *searches, MrPartial *partial, const char *from);

/* The caller of @http_id has gone. */
void mr_searches_cancel (MrSearches *searches, guint64 http_id);
MrTime mr_searches_tick (MrSearches *searches, MrTime now);
guint mr_searches_count (const MrSearches *searches);
