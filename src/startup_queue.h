/* Requests that reach a daemon before it knows what is in force.
 *
 * After a loss of all VMs callers wait in front of the first process that listens:
 * 30 to 60 requests in the 50 ms between its start and its configuration, a tenth
 * of two seconds' load.  Refused, half of them would come back to another daemon
 * that knows no more, and have used up their repeat.  So they wait, for at most
 * MR_STARTUP_MAX_WAIT after the start of the process; a daemon that knows nothing by
 * then (no store, no peer) refuses at once, so that callers can go elsewhere. */
#pragma once

#include "clock.h"
#include <glib.h>

enum
{
  /* Bounds memory: at 18 kB, the most that callers may send, under 5 MB. */
  MR_STARTUP_QUEUE_MAX = 256,
};

/* The longest wait of a relay for its peers (0.15 s) and two reads of the store. */
#define MR_STARTUP_MAX_WAIT (200 * MR_MS)

typedef struct _MrStartupQueue MrStartupQueue;

typedef struct
{
  gpointer caller;
  gconstpointer request; /* borrowed from the caller until it is answered */
  MrTime first_byte_at;  /* its first byte */
  MrTime received_at;    /* the whole of it */
} MrQueuedRequest;

/* @started: of this process. */
MrStartupQueue *mr_startup_queue_new (MrTime started);
void mr_startup_queue_free (MrStartupQueue *queue);

/* FALSE if the request is to be refused: the time is over, or too many wait. */
gboolean mr_startup_queue_push (MrStartupQueue *queue, MrTime now, const MrQueuedRequest *waiting);
/* The caller has gone; FALSE if it did not wait. */
gboolean mr_startup_queue_remove (MrStartupQueue *queue, gconstpointer caller);
/* Takes the one that has waited longest; FALSE if none does. */
gboolean mr_startup_queue_pop (MrStartupQueue *queue, MrQueuedRequest *waiting);

guint mr_startup_queue_length (const MrStartupQueue *queue);
/* When those that wait are to be refused; MR_NEVER if none does. */
MrTime mr_startup_queue_deadline (const MrStartupQueue *queue);
