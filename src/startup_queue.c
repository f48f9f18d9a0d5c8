#include "startup_queue.h"

struct _MrStartupQueue
{
  GArray *waiting; /* MrWaitingRequest, first come first */
  MrTime end;
};

MrStartupQueue *
mr_startup_queue_new (MrTime started)
{
  MrStartupQueue *queue = g_new0 (MrStartupQueue, 1);
  queue->waiting = g_array_new (FALSE, FALSE, sizeof (MrQueuedRequest));
  queue->end = started + MR_STARTUP_MAX_WAIT;
  return queue;
}

void
mr_startup_queue_free (MrStartupQueue *queue)
{
  if (!queue)
    return;
  g_array_unref (queue->waiting);
  g_free (queue);
}

gboolean
mr_startup_queue_push (MrStartupQueue *queue, MrTime now, const MrQueuedRequest *waiting)
{
  if (now >= queue->end || queue->waiting->len >= MR_STARTUP_QUEUE_MAX)
    return FALSE;
  g_array_append_vals (queue->waiting, waiting, 1);
  return TRUE;
}

gboolean
mr_startup_queue_remove (MrStartupQueue *queue, gconstpointer caller)
{
  for (guint i = 0; i < queue->waiting->len; i++)
    if (g_array_index (queue->waiting, MrQueuedRequest, i).caller == caller)
      {
        g_array_remove_index (queue->waiting, i);
        return TRUE;
      }
  return FALSE;
}

gboolean
mr_startup_queue_pop (MrStartupQueue *queue, MrQueuedRequest *waiting)
{
  if (queue->waiting->len == 0)
    return FALSE;
  *waiting = g_array_index (queue->waiting, MrQueuedRequest, 0);
  g_array_remove_index (queue->waiting, 0);
  return TRUE;
}

guint
mr_startup_queue_length (const MrStartupQueue *queue)
{
  return queue->waiting->len;
}

MrTime
mr_startup_queue_deadline (const MrStartupQueue *queue)
{
  return queue->waiting->len > 0 ? queue->end : MR_NEVER;
}
