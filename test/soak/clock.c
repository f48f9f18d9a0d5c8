/* Preloaded into a relay of the fault soak: adds to its time of day what stands, in
 * microseconds, in the file that SOAK_CLOCK names.  The steady clocks are left
 * alone. */

#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

typedef int (*ReadClock) (clockid_t clock, struct timespec *time);

static const int64_t *offset;
static ReadClock read_clock;

__attribute__ ((constructor)) static void
S_open (void)
{
  const char *path = getenv ("SOAK_CLOCK");
  int fd = path ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  if (fd < 0)
    return;
  void *at = mmap (NULL, sizeof *offset, PROT_READ, MAP_SHARED, fd, 0);
  close (fd);
  if (at != MAP_FAILED)
    offset = at;
}

static int
S_read (clockid_t clock, struct timespec *time)
{
  if (!read_clock)
    *(void **) &read_clock = dlsym (RTLD_NEXT, "clock_gettime");
  return read_clock (clock, time);
}

int
clock_gettime (clockid_t clock, struct timespec *out)
{
  const int64_t second = 1000000000;
  int result = S_read (clock, out);
  if (result != 0 || !offset || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
    return result;
  int64_t ns = (int64_t) out->tv_sec * second + out->tv_nsec + *offset * 1000;
  out->tv_sec = ns / second;
  out->tv_nsec = ns % second;
  return 0;
}

int
gettimeofday (struct timeval *out, void *zone)
{
  struct timespec now;
  (void) zone;
  clock_gettime (CLOCK_REALTIME, &now);
  out->tv_sec = now.tv_sec;
  out->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t
time (time_t *out)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  if (out)
    *out = now.tv_sec;
  return now.tv_sec;
}
