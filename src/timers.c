#include "timers.h"

/* items[0] is unused, so that the parent of place n is n / 2. */
struct _MrTimers
{
  GPtrArray *items;
};

static MrTimer *
S_at (const MrTimers *timers, guint place)
{
  return g_ptr_array_index (timers->items, place);
}

static void
S_put (MrTimers *timers, guint place, MrTimer *timer)
{
  g_ptr_array_index (timers->items, place) = timer;
  timer->heap_index = place;
}

static void
S_rise (MrTimers *timers, MrTimer *timer)
{
  guint place = timer->heap_index;
  for (; place > 1 && S_at (timers, place / 2)->due > timer->due; place /= 2)
    S_put (timers, place, S_at (timers, place / 2));
  S_put (timers, place, timer);
}

static void
S_sink (MrTimers *timers, MrTimer *timer)
{
  guint place = timer->heap_index;
  guint last = timers->items->len - 1;
  for (guint child = place * 2; child <= last; child = place * 2)
    {
      if (child < last && S_at (timers, child + 1)->due < S_at (timers, child)->due)
        child++;
      if (S_at (timers, child)->due >= timer->due)
        break;
      S_put (timers, place, S_at (timers, child));
      place = child;
    }
  S_put (timers, place, timer);
}

static void
S_remove (MrTimers *timers, MrTimer *timer)
{
  guint place = timer->heap_index;
  MrTimer *last = S_at (timers, timers->items->len - 1);
  g_ptr_array_set_size (timers->items, (gint) timers->items->len - 1);
  timer->heap_index = 0;
  if (last == timer)
    return;
  S_put (timers, place, last);
  S_rise (timers, last);
  S_sink (timers, last);
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
  S_rise (timers, timer);
  S_sink (timers, timer);
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
