#include "timers.h"

/* items[0] is unused, so that the parent of index n is at n / 2. */
struct _MrTimers
{
  GPtrArray *items;
};

static MrTimer *
S_at (const MrTimers *timers, guint index)
{
  return g_ptr_array_index (timers->items, index);
}

static void
S_set_at (MrTimers *timers, guint index, MrTimer *timer)
{
  g_ptr_array_index (timers->items, index) = timer;
  timer->heap_index = index;
}

static void
S_sift_up (MrTimers *timers, MrTimer *timer)
{
  guint index = timer->heap_index;
  for (; index > 1 && S_at (timers, index / 2)->due > timer->due; index /= 2)
    S_set_at (timers, index, S_at (timers, index / 2));
  S_set_at (timers, index, timer);
}

static void
S_sift_down (MrTimers *timers, MrTimer *timer)
{
  guint index = timer->heap_index;
  guint last = timers->items->len - 1;
  for (guint child = index * 2; child <= last; child = index * 2)
    {
      if (child < last && S_at (timers, child + 1)->due < S_at (timers, child)->due)
        child++;
      if (S_at (timers, child)->due >= timer->due)
        break;
      S_set_at (timers, index, S_at (timers, child));
      index = child;
    }
  S_set_at (timers, index, timer);
}

static void
S_remove (MrTimers *timers, MrTimer *timer)
{
  guint index = timer->heap_index;
  MrTimer *last = S_at (timers, timers->items->len - 1);
  g_ptr_array_set_size (timers->items, (gint) timers->items->len - 1);
  timer->heap_index = 0;
  if (last == timer)
    return;
  S_set_at (timers, index, last);
  S_sift_up (timers, last);
  S_sift_down (timers, last);
}

MrTimers *
mr_timers_new (void)
{
  MrTimers *timers = g_new0 (MrTimers, 1);
  timers->items = g_ptr_array_new ();
  g_ptr_array_add (timers->items, NULL);
  return timers;
}

void
mr_timers_free (MrTimers *timers)
{
  if (!timers)
    return;
  g_ptr_array_unref (timers->items);
  g_free (timers);
}

void
mr_timers_set (MrTimers *timers, MrTimer *timer, MrTime due)
{
  timer->due = due;
  if (due == MR_NEVER)
    {
      if (timer->heap_index > 0)
        S_remove (timers, timer);
      return;
    }
  if (timer->heap_index == 0)
    {
      g_ptr_array_add (timers->items, timer);
      timer->heap_index = timers->items->len - 1;
    }
  S_sift_up (timers, timer);
  S_sift_down (timers, timer);
}

MrTimer *
mr_timers_pop (MrTimers *timers, MrTime now)
{
  if (timers->items->len < 2 || S_at (timers, 1)->due > now)
    return NULL;
  MrTimer *timer = S_at (timers, 1);
  S_remove (timers, timer);
  return timer;
}

MrTime
mr_timers_next_due (const MrTimers *timers)
{
  return timers->items->len < 2 ? MR_NEVER : S_at (timers, 1)->due;
}
