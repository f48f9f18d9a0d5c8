/* Monotonic time in microseconds.  The clock includes the time in which the VM was suspended, since
 * deadlines pass during suspension too.
 *
 * Modules that make decisions do not read the clock: they take the current time as an argument, so
 * that tests can run them with virtual time.  Only tasks call mr_now (). */
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

/* Seconds since 1970, for times that are sent to other VMs.  Unlike mr_now (), this clock may be
 * adjusted. */
static inline guint32
mr_unix_time (void)
{
  return (guint32) (g_get_real_time () / MR_SECOND);
}
