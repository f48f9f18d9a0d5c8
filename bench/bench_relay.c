/* make bench: the relay's decisions beside simpler ones, on the same seeds.
 *
 * A fleet and its targets on the virtual clock of test/relay_sim.c.  Credit is
 * what callers are served of what they asked: the share of the shards squared,
 * a tenth of it when late.  Mean of REPEATS seeds, least and most beside it. */

#include "log.h"
#include "relay_site.h"
#include <stdio.h>
#include <stdlib.h>

enum
{
  REPEATS = 3,
  KINDS = 2,
};

typedef struct
{
  const char *name;
  SimPlan plan;
} Scenario;

static const Scenario scenarios[] = {
  { "calm", { SITE } },
  { "a sixth slow", { SITE, .faults = { { SIM_FAULT_SLOW, 0, 29, 6, 3000, 0, 8 } } } },
  { "a dark shard", { SITE, .faults = { { SIM_FAULT_UNRESPONSIVE, 0, 2, 1, 3000, 0, 0 } } } },
  { "a third shed", { SITE, .faults = { { SIM_FAULT_SHEDS, 0, 29, 3, 3000, 0, 0.45 } } } },
  { "a needed shard over full",
    { HIGH_COVERAGE_SITE_WITH_RATES (177, 59),
      .faults = { { SIM_FAULT_REMOVED, 0, 1, 1, 1000, 0, 0 } } } },
  { "three times the load", { SITE_WITH_RATES (447, 144) } },
};

typedef enum
{
  OURS,
  WAIT_FOR_ALL,
  NO_SECOND_SENDS,
  NEAREST_ONLY,
  VARIANTS,
} Variant;

static const char *const variant_names[VARIANTS] = {
  [OURS] = "ours",
  [WAIT_FOR_ALL] = "wait for all shards",
  [NO_SECOND_SENDS] = "no second sends",
  [NEAREST_ONLY] = "nearest domain always",
};

static void
S_vary (SimPlan *plan, Variant variant, MrRelayPolicy *policy)
{
  *policy = mr_relay_policy;
  plan->policy = policy;
  if (variant == WAIT_FOR_ALL)
    for (guint i = 0; i < KINDS; i++)
      plan->routes[i].min_coverage = 1;
  if (variant == NO_SECOND_SENDS)
    plan->attempts = 1;
  if (variant == NEAREST_ONLY)
    policy->cross_domain_cost = 1e9;
}

typedef struct
{
  double mean;
  double least;
  double most;
} Spread;

static void
S_add (Spread *spread, guint repeat, double value)
{
  spread->mean += value / REPEATS;
  spread->least = repeat == 0 ? value : MIN (spread->least, value);
  spread->most = repeat == 0 ? value : MAX (spread->most, value);
}

static void
S_row (const Scenario *scenario, Variant variant)
{
  Spread credit[KINDS] = { { 0 } };
  Spread refused = { 0 };
  Spread extra = { 0 };
  Spread far = { 0 };
  for (guint repeat = 0; repeat < REPEATS; repeat++)
    {
      SimPlan plan = scenario->plan;
      SimResult result;
      MrRelayPolicy policy;
      S_vary (&plan, variant, &policy);
      plan.seed += repeat;
      sim_run (&plan, &result);
      guint asked = 0;
      guint turned_away = 0;
      for (guint k = 0; k < KINDS; k++)
        {
          const SimRouteStats *kind = &result.routes[k];
          S_add (&credit[k], repeat, kind->utility / MAX (kind->requests, 1));
          asked += kind->requests;
          turned_away += kind->refused;
        }
      double first = (double) MAX (result.first_calls, 1);
      S_add (&refused, repeat, (double) turned_away / MAX (asked, 1));
      S_add (&extra, repeat, (double) result.extra_calls / first);
      S_add (&far, repeat,
             (double) result.cross_domain_calls / (first + (double) result.extra_calls));
    }
  printf ("%-25s %-22s %5.3f [%5.3f %5.3f] %5.3f [%5.3f %5.3f] %7.3f %6.3f %6.3f\n", scenario->name,
          variant_names[variant], credit[0].mean, credit[0].least, credit[0].most, credit[1].mean,
          credit[1].least, credit[1].most, refused.mean, extra.mean, far.mean);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("%-25s %-22s %-19s %-19s %7s %6s %6s\n", "scenario", "policy", "credit, wide",
          "credit, short", "refused", "extra", "far");
  for (gsize i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (int variant = 0; variant < VARIANTS; variant++)
      S_row (&scenarios[i], (Variant) variant);
  return EXIT_SUCCESS;
}
