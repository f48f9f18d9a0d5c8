/* Soft deadline of a search, and the estimate of the response overhead. */

#include "soft_deadline.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against responses a few milliseconds after the caller's latency goal, which count for a
 * tenth: callers resolve a name and connect before the daemon starts to measure. */
static void
test_soft_deadline (void **state)
{
  static const struct
  {
    const char *name;
    int goal;
    int time_limit;
    int remaining;
    int round_trip;
    int overhead;
    int expected;
  } cases[] = {
    { "caller with an open connection", 200, 2000, 1997, 6, 12, 176 },
    { "name resolution before the request", 200, 2000, 1975, 6, 12, 157 },
    { "the same, short goal, fast daemon", 80, 800, 775, 6, 4, 45 },
    { "the same, slow daemon", 80, 800, 775, 6, 20, 40 },
    { "second attempt", 200, 2000, 1902, 6, 12, 100 },
    { "arrived too late for its goal", 200, 2000, 1700, 6, 12, 176 },
    { "shorter deadline chosen by the caller", 200, 2000, 500, 6, 12, 176 },
    { "longer deadline chosen by the caller", 200, 2000, 60000, 6, 12, 176 },
    { "round trip unknown", 200, 2000, 1997, 0, 12, 176 },
    { "long round trip, short goal", 50, 500, 480, 12, 12, 25 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const MrSoftDeadlineParams params = {
        .latency_goal = cases[i].goal * MR_MS,
        .time_limit = cases[i].time_limit * MR_MS,
        .remaining = cases[i].remaining * MR_MS,
        .round_trip = cases[i].round_trip * MR_MS,
        .response_overhead = cases[i].overhead * MR_MS,
      };
      if (mr_soft_deadline (&params) != cases[i].expected * MR_MS)
        fail_msg ("%s: %d us", cases[i].name, (int) mr_soft_deadline (&params));
    }
}

/* Guards against a fixed overhead: a value that fits a VM of one size makes the responses of
 * smaller VMs late, and on larger VMs shortens the wait for shards. */
static void
test_response_overhead (void **state)
{
  static const struct
  {
    const char *name;
    MrTime min_us; /* range of the samples */
    MrTime max_us;
    MrTime expected_min_ms; /* estimate after 100 samples */
    MrTime expected_max_ms;
  } cases[] = {
    { "one core", 500, 1500, 4, 4 },
    { "a quarter of a core", 4000, 8000, 7, 11 },
    { "an eighth of a core, under load", 12000, 20000, 18, 24 },
    { "stalled", 200000, 200000, 30, 30 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrResponseOverhead estimate = { 0 };
      assert_int_equal (mr_response_overhead_estimate (&estimate), 12 * MR_MS);
      for (int n = 0; n < 100; n++)
        mr_response_overhead_add (&estimate, cases[i].min_us + (cases[i].max_us - cases[i].min_us) *
                                                                   (n * 7 % 11) / 10);
      MrTime overhead = mr_response_overhead_estimate (&estimate) / MR_MS;
      if (overhead < cases[i].expected_min_ms || overhead > cases[i].expected_max_ms)
        fail_msg ("%s: %d ms", cases[i].name, (int) overhead);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_soft_deadline),
    cmocka_unit_test (test_response_overhead),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
