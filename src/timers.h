/* Timer queue: a binary min-heap ordered by due time.  Each timer stores its heap
 * index, so that moving or removing it takes O(log n). */
#pragma once

#include "clock.h"

typedef struct _MrTimers MrTimers;

/* Embedded in the object that is timed; zero-initialize it before use. */
typedef struct
{
  MrTime due;
  guint heap_index; /* from 1; 0: not in the heap */
  gpointer owner;
} MrTimer;

MrTimers *mr_timers_new (void);
void mr_timers_free (MrTimers *timers);

/* Adds @timer or reschedules it; MR_NEVER removes it. */
void mr_timers_set (MrTimers *timers, MrTimer *timer, MrTime due);

/* Removes and returns the earliest timer if it is due; otherwise returns NULL. */
MrTimer *mr_timers_pop (MrTimers *timers, MrTime now);

/* Due time of the earliest timer, or MR_NEVER. */
MrTime mr_timers_next_due (const MrTimers *timers);
