/* Planned stop of the daemon: every request that was received gets its answer before the supervisor
 * kills the process.
 *
 * The daemon serves on while callers may still use its address, and until the requests pause.  Then
 * it refuses what it has not begun, and ends once nothing is open and callers have their answers.
 * The end of the grace period bounds each step; docs/DESIGN.md. */
#pragma once

#include "order_handler.h"
#include "searches.h"

typedef struct _MrEntryStop MrEntryStop;

MrEntryStop *
mr_entry_stop_new (MrEntryContext *context, MrSearches *searches, MrOrderHandler *orders);
void mr_entry_stop_free (MrEntryStop *stop);

void mr_entry_stop_begin (MrEntryStop *stop, MrTime now);
gboolean mr_entry_stop_has_begun (const MrEntryStop *stop);
/* TRUE once requests that have not run are refused. */
gboolean mr_entry_stop_refuses (const MrEntryStop *stop);

/* To be called for each request. */
void mr_entry_stop_count_request (MrEntryStop *stop, MrTime now);

/* Takes the steps that are due, and updates @next, the time of the next call.  Returns TRUE once,
 * when the process may end. */
gboolean mr_entry_stop_continue (MrEntryStop *stop, MrTime now, MrTime *next);
