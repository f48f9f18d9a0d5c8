/* Library preloaded into the relays of the fault soak.  It shifts the wall clock by the
 * offset in microseconds in the file named by SOAK_CLOCK.  Monotonic clocks are not
 * changed. */

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
S_map_offset (void)
{
  const char *path = getenv ("SOAK_CLOCK");
  int fd = path ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  if (fd < 0)
    return;
  void *mapping = mmap (NULL, sizeof *offset, PROT_READ, MAP_SHARED, fd, 0);
  close (fd);
  if (mapping != MAP_FAILED)
    offset = mapping;
}

static int
S_read_real_clock (clockid_t clock, struct timespec *time)
{
  if (!read_clock)
    *(void **) &read_clock = dlsym (RTLD_NEXT, "clock_gettime");
  return read_clock (clock, time);
}

int
clock_gettime (clockid_t clock, struct timespec *out)
{
  const int64_t second = 1000000000;
  int result = S_read_real_clock (clock, out);
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
