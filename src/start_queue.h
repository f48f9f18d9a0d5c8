/* Requests that reach a daemon before it knows what is in force.
 *
 * After a loss of all VMs callers wait in front of the first process that listens:
 * 30 to 60 requests in the 50 ms between its start and its configuration, a tenth
 * of two seconds' load.  Refused, half of them would come back to another daemon
 * that knows no more, and have used up their repeat.  So they wait, for at most
 * MR_START_PATIENCE after the start of the process; a daemon that knows nothing by
 * then (no store, no peer) refuses at once, so that callers can go elsewhere. */
#pragma once

#include "clock.h"
#include <glib.h>

enum
{
  /* Bounds memory: at 18 kB, the most that callers may send, under 5 MB. */
  MR_START_QUEUE_MOST = 256,
};

/* The longest wait of a relay for its peers (0.15 s) and two reads of the store. */
#define MR_START_PATIENCE (200 * MR_MS)

typedef struct _MrStartQueue MrStartQueue;

typedef struct
{
  gpointer caller;
  gconstpointer request; /* borrowed from the caller until it is answered */
  MrTime began;          /* its first byte */
  MrTime came;           /* the whole of it */
} MrWaitingRequest;

/* @started: of this process. */
MrStartQueue *mr_start_queue_new (MrTime started);
void mr_start_queue_free (MrStartQueue *queue);

/* FALSE if the request is to be refused: the time is over, or too many wait. */
gboolean mr_start_queue_add (MrStartQueue *queue, MrTime now, const MrWaitingRequest *waiting);
/* The caller has gone; FALSE if it did not wait. */
gboolean mr_start_queue_remove (MrStartQueue *queue, gconstpointer caller);
/* Takes the one that has waited longest; FALSE if none does. */
gboolean mr_start_queue_take (MrStartQueue *queue, MrWaitingRequest *waiting);

guint mr_start_queue_length (const MrStartQueue *queue);
/* When those that wait are to be refused; MR_NEVER if none does. */
MrTime mr_start_queue_due (const MrStartQueue *queue);
