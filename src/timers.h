/* Due times of many items, earliest first: a binary heap whose items know
 * their place, so that moving or removing one costs a logarithm. */
#pragma once

#include "clock.h"

typedef struct _MrTimers MrTimers;

/* Embedded in what is timed; zero it before use. */
typedef struct
{
  MrTime due;
  guint heap_index; /* in the heap, from 1; 0: not in it */
  gpointer owner;
} MrTimer;

MrTimers *mr_timers_new (void);
void mr_timers_free (MrTimers *timers);

/* Adds @timer or moves it; MR_NEVER removes it. */
void mr_timers_set (MrTimers *timers, MrTimer *timer, MrTime due);

/* Takes out the earliest timer if it is due; NULL if none is. */
MrTimer *mr_timers_pop (MrTimers *timers, MrTime now);

/* Due time of the earliest, or MR_NEVER. */
MrTime mr_timers_next_due (const MrTimers *timers);
