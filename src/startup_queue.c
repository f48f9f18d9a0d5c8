#include "startup_queue.h"

struct _MrStartupQueue
{
  GArray *requests; /* MrQueuedRequest, in order of arrival */
  MrTime deadline;
};

MrStartupQueue *
mr_startup_queue_new (MrTime started)
{
  MrStartupQueue *queue = g_new0 (MrStartupQueue, 1);
  queue->requests = g_array_new (FALSE, FALSE, sizeof (MrQueuedRequest));
  queue->deadline = started + MR_STARTUP_MAX_WAIT;
  return queue;
}

void
mr_startup_queue_free (MrStartupQueue *queue)
{
  if (!queue)
    return;
  g_array_unref (queue->requests);
  g_free (queue);
}

gboolean
mr_startup_queue_push (MrStartupQueue *queue, MrTime now, const MrQueuedRequest *request)
{
  if (now >= queue->deadline || queue->requests->len >= MR_STARTUP_QUEUE_MAX)
    return FALSE;
  g_array_append_vals (queue->requests, request, 1);
  return TRUE;
}

gboolean
mr_startup_queue_remove (MrStartupQueue *queue, gconstpointer caller)
{
  for (guint i = 0; i < queue->requests->len; i++)
    if (g_array_index (queue->requests, MrQueuedRequest, i).caller == caller)
      {
        g_array_remove_index (queue->requests, i);
        return TRUE;
      }
  return FALSE;
}

gboolean
mr_startup_queue_pop (MrStartupQueue *queue, MrQueuedRequest *request)
{
  if (queue->requests->len == 0)
    return FALSE;
  *request = g_array_index (queue->requests, MrQueuedRequest, 0);
  g_array_remove_index (queue->requests, 0);
  return TRUE;
}

guint
mr_startup_queue_length (const MrStartupQueue *queue)
{
  return queue->requests->len;
}

MrTime
mr_startup_queue_deadline (const MrStartupQueue *queue)
{
  return queue->requests->len > 0 ? queue->deadline : MR_NEVER;
}
