/* make bench: compares the relay's policy with simpler ones, on the same seeds.
 *
 * Simulates a fleet and its targets on the virtual clock of test/relay_sim.c.  The utility
 * of a response is the square of its coverage, and a tenth of that if it is late.  Each
 * row has the mean over REPEATS seeds, followed by the minimum and maximum. */

#include "log.h"
#include "relay_site.h"
#include <stdio.h>
#include <stdlib.h>

enum
{
  REPEATS = 3,
  ROUTES = 2,
};

typedef struct
{
  const char *name;
  SimPlan plan;
} Scenario;

static const Scenario scenarios[] = {
  { "no fault", { SITE } },
  { "1/6 of targets slow", { SITE, .faults = { { SIM_FAULT_SLOW, 0, 29, 6, 3000, 0, 8 } } } },
  { "a shard unresponsive",
    { SITE, .faults = { { SIM_FAULT_UNRESPONSIVE, 0, 2, 1, 3000, 0, 0 } } } },
  { "1/3 of targets shed", { SITE, .faults = { { SIM_FAULT_SHEDS, 0, 29, 3, 3000, 0, 0.45 } } } },
  { "required shard overloaded",
    { HIGH_COVERAGE_SITE_WITH_RATES (177, 59),
      .faults = { { SIM_FAULT_REMOVED, 0, 1, 1, 1000, 0, 0 } } } },
  { "three times the load", { SITE_WITH_RATES (447, 144) } },
};

typedef enum
{
  DEFAULT_POLICY,
  WAIT_FOR_ALL_SHARDS,
  NO_RESENDS,
  NEAREST_ONLY,
  VARIANT_COUNT,
} Variant;

static const char *const variant_names[VARIANT_COUNT] = {
  [DEFAULT_POLICY] = "default policy",
  [WAIT_FOR_ALL_SHARDS] = "wait for all shards",
  [NO_RESENDS] = "no resends",
  [NEAREST_ONLY] = "always nearest domain",
};

static void
S_apply_variant (SimPlan *plan, Variant variant, MrRelayPolicy *policy)
{
  *policy = mr_relay_policy;
  plan->policy = policy;
  if (variant == WAIT_FOR_ALL_SHARDS)
    for (guint i = 0; i < ROUTES; i++)
      plan->routes[i].min_coverage = 1;
  if (variant == NO_RESENDS)
    plan->attempts = 1;
  if (variant == NEAREST_ONLY)
    policy->cross_domain_cost = 1e9;
}

typedef struct
{
  double mean;
  double minimum;
  double maximum;
} Summary;

static void
S_add_sample (Summary *summary, guint repeat, double value)
{
  summary->mean += value / REPEATS;
  summary->minimum = repeat == 0 ? value : MIN (summary->minimum, value);
  summary->maximum = repeat == 0 ? value : MAX (summary->maximum, value);
}

static void
S_run_scenario (const Scenario *scenario, Variant variant)
{
  Summary utility[ROUTES] = { { 0 } };
  Summary refused = { 0 };
  Summary extra = { 0 };
  Summary cross_domain = { 0 };
  for (guint repeat = 0; repeat < REPEATS; repeat++)
    {
      SimPlan plan = scenario->plan;
      SimResult result;
      MrRelayPolicy policy;
      S_apply_variant (&plan, variant, &policy);
      plan.seed += repeat;
      sim_run (&plan, &result);
      guint requests = 0;
      guint refused_count = 0;
      for (guint k = 0; k < ROUTES; k++)
        {
          const SimRouteStats *stats = &result.routes[k];
          S_add_sample (&utility[k], repeat, stats->utility / MAX (stats->requests, 1));
          requests += stats->requests;
          refused_count += stats->refused;
        }
      double first_calls = (double) MAX (result.first_calls, 1);
      S_add_sample (&refused, repeat, (double) refused_count / MAX (requests, 1));
      S_add_sample (&extra, repeat, (double) result.extra_calls / first_calls);
      S_add_sample (&cross_domain, repeat,
                    (double) result.cross_domain_calls /
                        (first_calls + (double) result.extra_calls));
    }
  printf ("%-25s %-22s %5.3f [%5.3f %5.3f] %5.3f [%5.3f %5.3f] %7.3f %6.3f %6.3f\n", scenario->name,
          variant_names[variant], utility[0].mean, utility[0].minimum, utility[0].maximum,
          utility[1].mean, utility[1].minimum, utility[1].maximum, refused.mean, extra.mean,
          cross_domain.mean);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("%-25s %-22s %-19s %-19s %7s %6s %6s\n", "scenario", "policy", "utility, wide",
          "utility, short", "refused", "extra", "cross");
  for (gsize i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (int variant = 0; variant < VARIANT_COUNT; variant++)
      S_run_scenario (&scenarios[i], (Variant) variant);
  return EXIT_SUCCESS;
}
