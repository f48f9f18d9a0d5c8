/* Checks that tests of callers' fate on the virtual clock share. */
#pragma once

#include "relay_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* Plays @plan and fails the test where one of its first two kinds of request earns less than
 * @least of what was asked, or a promise is broken that holds whatever happens. */
static inline void
expect_utility (const char *name, const SimPlan *plan, const double least[2])
{
  SimResult r;
  sim_run (plan, &r);
  for (guint k = 0; k < 2; k++)
    {
      const SimRouteStats *kind = &r.routes[k];
      double credit = kind->utility / kind->requests;
      print_message ("%s, kind %u: credit %.3f, late %u, refused %u, failed %u of %u\n", name, k,
                     credit, kind->late, kind->refused, kind->failed, kind->requests);
      if (credit < least[k])
        fail_msg ("%s", name);
    }
  assert_int_equal (r.calls_after_evacuation, 0);
  assert_int_equal (r.cold_excess, 0);
  assert_int_equal (r.false_not_run, 0);
  assert_int_equal (r.unanswered, 0);
}
