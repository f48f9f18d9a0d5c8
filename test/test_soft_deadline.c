/* How long a search waits for its last parts, and what that leaves for its answer. */

#include "soft_deadline.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* What callers see: an answer a few milliseconds after their aim, worth a tenth, since they
 * had asked for an address and made a connection before the daemon's clock began. */
static void
test_in_time (void **state)
{
  static const struct
  {
    const char *name;
    int aim;
    int limit;
    int left;
    int round_trip;
    int reserve;
    int patience;
  } cases[] = {
    { "a caller with a connection", 200, 2000, 1997, 6, 12, 176 },
    { "asked for an address before", 200, 2000, 1975, 6, 12, 157 },
    { "the same, short aim, fast daemon", 80, 800, 775, 6, 4, 45 },
    { "the same, slow daemon", 80, 800, 775, 6, 20, 40 },
    { "a second attempt", 200, 2000, 1902, 6, 12, 100 },
    { "too late for its aim", 200, 2000, 1700, 6, 12, 176 },
    { "deadline of its own, shorter", 200, 2000, 500, 6, 12, 176 },
    { "deadline of its own, longer", 200, 2000, 60000, 6, 12, 176 },
    { "round trip not known", 200, 2000, 1997, 0, 12, 176 },
    { "far away, short aim", 50, 500, 480, 12, 12, 25 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const MrSoftDeadlineParams terms = {
        .latency_goal = cases[i].aim * MR_MS,
        .time_limit = cases[i].limit * MR_MS,
        .remaining = cases[i].left * MR_MS,
        .round_trip = cases[i].round_trip * MR_MS,
        .response_overhead = cases[i].reserve * MR_MS,
      };
      if (mr_soft_deadline (&terms) != cases[i].patience * MR_MS)
        fail_msg ("%s: %d us", cases[i].name, (int) mr_soft_deadline (&terms));
    }
}

/* A reserve that fits one size of VM makes the answers of smaller ones late, and takes time
 * for parts from larger ones. */
static void
test_reserve_follows (void **state)
{
  static const struct
  {
    const char *name;
    MrTime least_us; /* time of each, from this */
    MrTime most_us;  /* to this */
    MrTime from_ms;  /* reserve after 100 answers */
    MrTime to_ms;
  } cases[] = {
    { "a whole core", 500, 1500, 4, 4 },
    { "a quarter", 4000, 8000, 7, 11 },
    { "an eighth, loaded", 12000, 20000, 18, 24 },
    { "stalled", 200000, 200000, 30, 30 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrResponseOverhead finish = { 0 };
      assert_int_equal (mr_response_overhead_estimate (&finish), 12 * MR_MS);
      for (int n = 0; n < 100; n++)
        mr_response_overhead_add (&finish,
                                  cases[i].least_us +
                                      (cases[i].most_us - cases[i].least_us) * (n * 7 % 11) / 10);
      MrTime reserve = mr_response_overhead_estimate (&finish) / MR_MS;
      if (reserve < cases[i].from_ms || reserve > cases[i].to_ms)
        fail_msg ("%s: %d ms", cases[i].name, (int) reserve);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_in_time),
    cmocka_unit_test (test_reserve_follows),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
