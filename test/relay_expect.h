/* Assertions shared by the tests that run the relay simulation. */
#pragma once

#include "relay_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* Runs @plan.  Fails if the mean utility of the requests of one of its first two routes is below
 * @min_utility, or if an invariant is violated that must hold under any fault. */
static inline void
expect_utility (const char *name, const SimPlan *plan, const double min_utility[2])
{
  SimResult r;
  sim_run (plan, &r);
  for (guint k = 0; k < 2; k++)
    {
      const SimRouteStats *stats = &r.routes[k];
      double utility = stats->utility / stats->requests;
      print_message ("%s, route %u: utility %.3f, late %u, refused %u, failed %u of %u\n", name, k,
                     utility, stats->late, stats->refused, stats->failed, stats->requests);
      if (utility < min_utility[k])
        fail_msg ("%s: utility below the minimum", name);
    }
  assert_int_equal (r.calls_after_evacuation, 0);
  assert_int_equal (r.cold_excess, 0);
  assert_int_equal (r.false_not_run, 0);
  assert_int_equal (r.unanswered, 0);
}
