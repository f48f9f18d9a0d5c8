/* Compares the policies for searches under the same seeded load in virtual time (make bench).
 *
 * Each row shows the median over REPEATS seeds; for the 99 % latency also the minimum and the
 * maximum.  Times are of the virtual clock, so they compare policies and do not depend on the
 * machine. */

#include "log.h"
#include "search_sim.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REPEATS = 3
};

typedef struct
{
  double p50;
  double p99;
  double p999;
  double coverage; /* mean over all queries; refusals count as 0 */
  double complete; /* share of all queries */
  double extra;    /* calls in excess of the minimum, as a share of it */
  double shed;     /* shed calls per query */
  double urgent;   /* share of urgent queries that were complete */
  double goodput;  /* complete answers per second */
  double peak;     /* maximum of concurrent calls at a target */
} Row;

static const char *const policy_names[] = {
  [MR_SEARCH_SIM_OWNERS] = "owners (ours)",
  [MR_SEARCH_SIM_DIRECT] = "direct, all slots",
  [MR_SEARCH_SIM_DIRECT_SHARE] = "direct, its share",
  [MR_SEARCH_SIM_WAIT_ALL] = "naive: wait for all",
  [MR_SEARCH_SIM_TIMEOUT] = "naive: 50 ms",
  [MR_SEARCH_SIM_HEDGE_ALL] = "naive: hedge all",
};

static Row
S_make_row (const MrSearchSimConfig *config, const MrSearchSimResult *r)
{
  double queries = (double) MAX (r->queries, 1);
  const guint64 *class_queries = r->class_queries;
  return (Row){
    .p50 = (double) mr_histogram_quantile (&r->latency, 0.5) / 1000,
    .p99 = (double) mr_histogram_quantile (&r->latency, 0.99) / 1000,
    .p999 = (double) mr_histogram_quantile (&r->latency, 0.999) / 1000,
    .coverage = r->coverage / queries,
    .complete = (double) r->complete / queries,
    .extra = r->minimum_calls ? (double) r->calls / (double) r->minimum_calls - 1 : 0,
    .shed = (double) r->shed / queries,
    .urgent = (double) r->class_complete[0] / (double) MAX (class_queries[0], 1),
    .goodput = (double) r->complete / ((double) config->duration / (double) MR_SECOND),
    .peak = (double) r->peak_in_flight,
  };
}

static int
S_compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;
  return (x > y) - (x < y);
}

/* Median, minimum and maximum of one column over the seeds. */
static void
S_median_and_range (const Row *rows, size_t offset, double out[3])
{
  double values[REPEATS];
  for (int i = 0; i < REPEATS; i++)
    memcpy (&values[i], (const char *) &rows[i] + offset, sizeof values[i]);
  qsort (values, REPEATS, sizeof *values, S_compare_doubles);
  out[0] = values[REPEATS / 2];
  out[1] = values[0];
  out[2] = values[REPEATS - 1];
}

static double
S_median (const Row *rows, size_t offset)
{
  double summary[3];
  S_median_and_range (rows, offset, summary);
  return summary[0];
}

#define MEDIAN(rows, column) S_median ((rows), offsetof (Row, column))

static Row
S_simulate (MrSearchSimConfig config,
            MrSearchSimPolicy policy,
            guint seed,
            MrSearchSimResult *result)
{
  config.policy = policy;
  config.seed = seed;
  mr_search_sim_run (&config, result);
  return S_make_row (&config, result);
}

static void
S_print (const char *scenario, MrSearchSimPolicy policy, const Row *rows)
{
  double p99[3];
  S_median_and_range (rows, offsetof (Row, p99), p99);
  printf (
      "%-22s %-20s %7.1f %7.1f [%6.1f %6.1f] %7.1f %8.4f %8.4f %7.1f%% %7.2f %7.4f %7.0f %4.0f\n",
      scenario, policy_names[policy], MEDIAN (rows, p50), p99[0], p99[1], p99[2],
      MEDIAN (rows, p999), MEDIAN (rows, coverage), MEDIAN (rows, complete),
      MEDIAN (rows, extra) * 100, MEDIAN (rows, shed), MEDIAN (rows, urgent),
      MEDIAN (rows, goodput), MEDIAN (rows, peak));
}

static void
S_compare_policies (const char *scenario, const MrSearchSimConfig *config)
{
  for (int policy = 0; policy <= MR_SEARCH_SIM_HEDGE_ALL; policy++)
    {
      Row rows[REPEATS];
      MrSearchSimResult result;
      for (guint i = 0; i < REPEATS; i++)
        rows[i] = S_simulate (*config, (MrSearchSimPolicy) policy, i + 1, &result);
      S_print (scenario, (MrSearchSimPolicy) policy, rows);
    }
}

/* Scenarios. */

static void
S_no_fault (MrSearchSimConfig *config)
{
  (void) config;
}

/* One call in 20 takes ten times as long, everywhere. */
static void
S_stragglers (MrSearchSimConfig *config)
{
  for (guint i = 0; i < config->targets; i++)
    {
      config->faults[i].slow_share = 0.05;
      config->faults[i].slow_call_factor = 10;
    }
}

/* One target in 20, and at least one, is always ten times slower. */
static void
S_slow_target (MrSearchSimConfig *config)
{
  for (guint i = 0; i < config->targets; i += 20)
    config->faults[i].slow_factor = 10;
}

static void
S_lost_target (MrSearchSimConfig *config)
{
  config->faults[0].down_from = config->duration / 4;
}

static void
S_silent_connections (MrSearchSimConfig *config)
{
  config->faults[0].silent_from = config->duration / 4;
}

static void
S_cold_restart (MrSearchSimConfig *config)
{
  config->faults[0].down_from = config->duration / 4;
  config->faults[0].down_until = config->duration / 2;
  config->faults[0].cold_from = config->duration / 2;
  config->faults[0].cold_for = 2 * MR_SECOND;
}

static void
S_unreachable_daemon (MrSearchSimConfig *config)
{
  /* Daemon 0, whether or not it owns a cell. */
  config->unreachable_daemon = 0;
  config->unreachable_from = config->duration / 4;
}

static void
S_overload (MrSearchSimConfig *config)
{
  config->rate *= 5.0;
}

static const struct
{
  const char *name;
  void (*apply) (MrSearchSimConfig *config);
} scenarios[] = {
  { "no fault", S_no_fault },
  { "1 call in 20 slow", S_stragglers },
  { "1 target in 20 slow", S_slow_target },
  { "one replica lost", S_lost_target },
  { "silent connections", S_silent_connections },
  { "cold restart", S_cold_restart },
  { "one daemon cut off", S_unreachable_daemon },
  { "5x the load", S_overload },
};

static const char *scenario_filter;

static void
S_run_scenarios (const char *name, const MrSearchSimConfig *base_config)
{
  printf ("\n%s: %u daemons, %u targets of %u slots, %u shards of %u replicas, %.0f queries/s\n",
          name, base_config->daemons, base_config->targets, base_config->slots, base_config->shards,
          base_config->replicas, base_config->rate);
  printf ("%-22s %-20s %7s %7s %15s %7s %8s %8s %8s %7s %7s %7s %4s\n", "fault", "policy", "p50 ms",
          "p99 ms", "[least   most]", "p99.9", "coverage", "complete", "extra", "shed/q", "urgent",
          "good/s", "peak");
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      MrSearchSimConfig config = *base_config;
      /* With many targets, the naive retries under overload run out of memory. */
      if (scenarios[i].apply == S_overload && base_config->targets > 100)
        continue;
      if (!strstr (scenarios[i].name, scenario_filter))
        continue;
      scenarios[i].apply (&config);
      S_compare_policies (scenarios[i].name, &config);
    }
}

/* Goodput and success of urgent queries as the load grows beyond the capacity of the targets. */
static void
S_load_steps (void)
{
  MrSearchSimConfig config = mr_search_sim_shop_config ();
  MrSearchSimResult result;
  double capacity = 0;
  for (int rate = 100; rate <= 700; rate += 50)
    {
      config.rate = rate;
      Row row = S_simulate (config, MR_SEARCH_SIM_OWNERS, 1, &result);
      if (row.complete > 0.99)
        capacity = rate;
    }
  printf ("\nshop search, owners: highest rate with 99 %% complete: %.0f/s\n", capacity);
  printf ("%6s %9s %9s %9s %9s %9s\n", "load", "good/s", "of 1x", "urgent", "extra", "violated");
  double base_goodput = 0;
  static const double load_factors[] = { 0.5, 1, 2, 4 };
  for (size_t s = 0; s < G_N_ELEMENTS (load_factors); s++)
    {
      double load_factor = load_factors[s];
      Row rows[REPEATS];
      guint64 calls_despite_not_run = 0;
      for (guint i = 0; i < REPEATS; i++)
        {
          config.rate = capacity * load_factor;
          rows[i] = S_simulate (config, MR_SEARCH_SIM_OWNERS, i + 1, &result);
          calls_despite_not_run += result.calls_despite_not_run;
        }
      if (load_factor == 1)
        base_goodput = MEDIAN (rows, goodput);
      printf ("%5.1fx %9.1f %8.1f%% %8.2f%% %8.2f%% %9lu\n", load_factor, MEDIAN (rows, goodput),
              base_goodput > 0 ? MEDIAN (rows, goodput) / base_goodput * 100 : 0,
              MEDIAN (rows, urgent) * 100, MEDIAN (rows, extra) * 100,
              (unsigned long) calls_despite_not_run);
    }
}

/* With an argument, runs only the scenarios whose names contain it. */
int
main (int argc, char **argv)
{
  scenario_filter = argc > 1 ? argv[1] : "";
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  MrSearchSimConfig shop = mr_search_sim_shop_config ();
  MrSearchSimConfig wide = mr_search_sim_wide_config ();
  if (scenario_filter[0] == '\0')
    S_load_steps ();
  S_run_scenarios ("shop search", &shop);
  S_run_scenarios ("wide", &wide);
  return EXIT_SUCCESS;
}
