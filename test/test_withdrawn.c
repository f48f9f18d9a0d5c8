/* Guards against crashes that are not counted because the target's entry is removed at the same
 * moment.
 *
 * If such a target is considered stopped as planned, the crash of a trial is no evidence: a content
 * that had crashed three searchers reached four more in a soak test, after the loss of all relays.
 * In the log, the request's line (E1703) has cause "suspect" and a broken call, E1403 "no longer
 * listed" is in the same millisecond, and no E1409 follows. */

#include "relay_site.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  LATE_CALLS_MAX = 3, /* calls of a content that has crashed three targets */
};

static void
test_crashes_of_removed_targets_count (void **state)
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
      printf ("seed %u: %u targets crashed, %u calls too late\n", seed, r.poison_crashes,
              r.poison_calls_late);
      failed += r.poison_calls_late > LATE_CALLS_MAX;
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_crashes_of_removed_targets_count) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
