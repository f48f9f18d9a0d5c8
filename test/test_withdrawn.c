/* Targets whose entries are removed in the moment of their end.
 *
 * What callers saw: in a soak a content that had ended three searchers reached four more, over a
 * loss of all relays.  The entry of a searcher that ends is removed at once there; the relay
 * took the searcher for a leaving one, whose end is planned, and its trial's end for no
 * evidence.  The request's line (E1703) says cause "suspect" and its call "broken", E1403 "no
 * longer listed" stands in the same millisecond, and no E1409 follows. */

#include "relay_site.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  LATE_MOST = 3, /* calls of a content that has ended three targets */
};

static void
test_ends_of_withdrawn_targets_count (void **state)
{
  guint failed = 0;
  (void) state;
  for (guint seed = 1; seed <= 5; seed++)
    {
      SimPlan plan = { SITE,
                       .poison = { .count = 3,
                                   .from_ms = 2000,
                                   .interval_ms = 6000,
                                   .time_to_crash_ms = 60,
                                   .removes_target = true },
                       .evidence_delay_ms = 20 };
      SimResult r;
      plan.seed = seed;
      sim_run (&plan, &r);
      printf ("seed %u: ended %u, calls after the news %u\n", seed, r.poison_crashes,
              r.poison_calls_late);
      failed += r.poison_calls_late > LATE_MOST;
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_ends_of_withdrawn_targets_count) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
