/* Time as decisions see it: microseconds on a steady clock that
 * counts the time that the VM was suspended: a deadline passes all the same.
 *
 * Decision modules never read a clock; they take MrTime as an argument, so
 * that tests drive them on a virtual clock.  Only tasks call mr_now (). */
#pragma once

#include <glib.h>
#include <time.h>

typedef gint64 MrTime;

#define MR_MS G_GINT64_CONSTANT (1000)
#define MR_SECOND G_GINT64_CONSTANT (1000000)
#define MR_NEVER G_MAXINT64

static inline MrTime
mr_now (void)
{
  struct timespec time;
  clock_gettime (CLOCK_BOOTTIME, &time);
  return time.tv_sec * MR_SECOND + time.tv_nsec / 1000;
}

/* Seconds since 1970, for what is told to other VMs; the clock may be set. */
static inline guint32
mr_unix_time (void)
{
  return (guint32) (g_get_real_time () / MR_SECOND);
}
