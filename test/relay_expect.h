/* Checks that tests of callers' fate on the virtual clock share. */
#pragma once

#include "relay_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* Plays @plan and fails the test where one of its first two kinds of request earns less than
 * @least of what was asked, or a promise is broken that holds whatever happens. */
static inline void
expect_credit (const char *name, const WorldPlan *plan, const double least[2])
{
  WorldResult r;
  world_run (plan, &r);
  for (guint k = 0; k < 2; k++)
    {
      const WorldKind *kind = &r.kinds[k];
      double credit = kind->credit / kind->asked;
      print_message ("%s, kind %u: credit %.3f, late %u, refused %u, failed %u of %u\n", name, k,
                     credit, kind->late, kind->refused, kind->failed, kind->asked);
      if (credit < least[k])
        fail_msg ("%s", name);
    }
  assert_int_equal (r.after_evacuated, 0);
  assert_int_equal (r.cold_over, 0);
  assert_int_equal (r.false_not_run, 0);
  assert_int_equal (r.unanswered, 0);
}
