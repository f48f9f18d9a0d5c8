/* Holds requests that arrive before the daemon has its configuration.
 *
 * When all VMs have been down, the first process to listen gets 30 to 60 requests in the
 * 50 ms between its start and its configuration, a tenth of the requests of two seconds.
 * If it refused them, half would be retried at another daemon that has no configuration
 * either, and would have used up their only retry.  Requests are therefore held until
 * MR_STARTUP_MAX_WAIT after the start of the process.  A daemon without a configuration by
 * then (neither store nor peers reachable) refuses at once, so that callers can try others. */
#pragma once

#include "clock.h"
#include <glib.h>

enum
{
  /* Limits memory to under 5 MB, at the maximum request size of 18 kB. */
  MR_STARTUP_QUEUE_MAX = 256,
};

/* A relay's longest wait for its peers (0.15 s) plus two reads of the store. */
#define MR_STARTUP_MAX_WAIT (200 * MR_MS)

typedef struct _MrStartupQueue MrStartupQueue;

typedef struct
{
  gpointer caller;
  gconstpointer request; /* owned by the caller, valid until it is answered */
  MrTime first_byte_at;
  MrTime received_at; /* completely */
} MrQueuedRequest;

/* @started: start time of this process. */
MrStartupQueue *mr_startup_queue_new (MrTime started);
void mr_startup_queue_free (MrStartupQueue *queue);

/* Returns FALSE if the request must be refused: the wait is over or the queue is full. */
gboolean mr_startup_queue_push (MrStartupQueue *queue, MrTime now, const MrQueuedRequest *request);
/* Removes the request of a caller that disconnected; FALSE if it has none in the queue. */
gboolean mr_startup_queue_remove (MrStartupQueue *queue, gconstpointer caller);
/* Removes the oldest request; FALSE if the queue is empty. */
gboolean mr_startup_queue_pop (MrStartupQueue *queue, MrQueuedRequest *request);

guint mr_startup_queue_length (const MrStartupQueue *queue);
/* When to refuse all queued requests; MR_NEVER if the queue is empty. */
MrTime mr_startup_queue_deadline (const MrStartupQueue *queue);
