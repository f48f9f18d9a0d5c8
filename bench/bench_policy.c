/* make bench: policies side by side on the same seeded load, in virtual time.
 *
 * Each row is the median of REPEATS seeds with the least and the most beside
 * it.  Times are of the virtual clock: they compare policies, not machines. */

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
  double coverage; /* of all queries, refused ones as 0 */
  double complete; /* share of all queries */
  double extra;    /* calls over the minimum */
  double shed;     /* answers a query */
  double urgent;   /* share of urgent queries that were complete */
  double goodput;  /* complete answers a second */
  double peak;     /* calls at once at a target */
} Row;

static const char *const policy_names[] = {
  [MR_WORLD_OWNERS] = "owners (ours)",    [MR_WORLD_DIRECT] = "direct, all slots",
  [MR_WORLD_SHARE] = "direct, its share", [MR_WORLD_WAIT_ALL] = "naive: wait for all",
  [MR_WORLD_TIMEOUT] = "naive: 50 ms",    [MR_WORLD_HEDGE_ALL] = "naive: hedge all",
};

static Row
S_row (const MrWorldConfig *config, const MrWorldResult *r)
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
S_compare (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;
  return (x > y) - (x < y);
}

/* Median, least and most of one column over the repeats. */
static void
S_spread (const Row *rows, size_t offset, double out[3])
{
  double values[REPEATS];
  for (int i = 0; i < REPEATS; i++)
    memcpy (&values[i], (const char *) &rows[i] + offset, sizeof values[i]);
  qsort (values, REPEATS, sizeof *values, S_compare);
  out[0] = values[REPEATS / 2];
  out[1] = values[0];
  out[2] = values[REPEATS - 1];
}

static double
S_median (const Row *rows, size_t offset)
{
  double spread[3];
  S_spread (rows, offset, spread);
  return spread[0];
}

#define MEDIAN(rows, column) S_median ((rows), offsetof (Row, column))

static Row
S_run (MrWorldConfig config, MrWorldPolicy policy, guint seed, MrWorldResult *result)
{
  config.policy = policy;
  config.seed = seed;
  mr_world_run (&config, result);
  return S_row (&config, result);
}

static void
S_print (const char *scenario, MrWorldPolicy policy, const Row *rows)
{
  double p99[3];
  S_spread (rows, offsetof (Row, p99), p99);
  printf (
      "%-22s %-20s %7.1f %7.1f [%6.1f %6.1f] %7.1f %8.4f %8.4f %7.1f%% %7.2f %7.4f %7.0f %4.0f\n",
      scenario, policy_names[policy], MEDIAN (rows, p50), p99[0], p99[1], p99[2],
      MEDIAN (rows, p999), MEDIAN (rows, coverage), MEDIAN (rows, complete),
      MEDIAN (rows, extra) * 100, MEDIAN (rows, shed), MEDIAN (rows, urgent),
      MEDIAN (rows, goodput), MEDIAN (rows, peak));
}

static void
S_compare_policies (const char *scenario, const MrWorldConfig *config)
{
  for (int policy = 0; policy <= MR_WORLD_HEDGE_ALL; policy++)
    {
      Row rows[REPEATS];
      MrWorldResult result;
      for (guint i = 0; i < REPEATS; i++)
        rows[i] = S_run (*config, (MrWorldPolicy) policy, i + 1, &result);
      S_print (scenario, (MrWorldPolicy) policy, rows);
    }
}

/* Scenarios. */

static void
S_none (MrWorldConfig *config)
{
  (void) config;
}

/* One call in 20 takes ten times as long, everywhere. */
static void
S_stragglers (MrWorldConfig *config)
{
  for (guint i = 0; i < config->targets; i++)
    {
      config->faults[i].slow_share = 0.05;
      config->faults[i].slow_call_factor = 10;
    }
}

/* One target in 20, at least one, is ten times slower throughout. */
static void
S_slow_target (MrWorldConfig *config)
{
  for (guint i = 0; i < config->targets; i += 20)
    config->faults[i].slow_factor = 10;
}

static void
S_lost (MrWorldConfig *config)
{
  config->faults[0].dead_from = config->duration / 4;
}

static void
S_silent (MrWorldConfig *config)
{
  config->faults[0].silent_from = config->duration / 4;
}

static void
S_cold (MrWorldConfig *config)
{
  config->faults[0].dead_from = config->duration / 4;
  config->faults[0].dead_until = config->duration / 2;
  config->faults[0].cold_from = config->duration / 2;
  config->faults[0].cold_for = 2 * MR_SECOND;
}

static void
S_dead_owner (MrWorldConfig *config)
{
  /* Whoever owns the cell; the lowest-numbered daemon that gets batches. */
  config->dead_owner = 0;
  config->dead_owner_at = config->duration / 4;
}

static void
S_overload (MrWorldConfig *config)
{
  config->rate *= 5.0;
}

static const struct
{
  const char *name;
  void (*apply) (MrWorldConfig *config);
} scenarios[] = {
  { "no fault", S_none },
  { "1 call in 20 slow", S_stragglers },
  { "1 target in 20 slow", S_slow_target },
  { "one replica lost", S_lost },
  { "silent connections", S_silent },
  { "cold restart", S_cold },
  { "one daemon cut off", S_dead_owner },
  { "5x the load", S_overload },
};

static const char *wanted;

static void
S_shape (const char *name, const MrWorldConfig *shape)
{
  printf ("\n%s: %u daemons, %u targets of %u slots, %u shards of %u replicas, %.0f queries/s\n",
          name, shape->daemons, shape->targets, shape->slots, shape->shards, shape->replicas,
          shape->rate);
  printf ("%-22s %-20s %7s %7s %15s %7s %8s %8s %8s %7s %7s %7s %4s\n", "fault", "policy", "p50 ms",
          "p99 ms", "[least   most]", "p99.9", "coverage", "complete", "extra", "shed/q", "urgent",
          "good/s", "peak");
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      MrWorldConfig config = *shape;
      /* Naive retries under overload make more calls than memory holds. */
      if (scenarios[i].apply == S_overload && shape->targets > 100)
        continue;
      if (!strstr (scenarios[i].name, wanted))
        continue;
      scenarios[i].apply (&config);
      S_compare_policies (scenarios[i].name, &config);
    }
}

/* Goodput and urgent success as load grows past what the targets can do. */
static void
S_load_steps (void)
{
  MrWorldConfig config = mr_world_today ();
  MrWorldResult result;
  double capacity = 0;
  for (int rate = 100; rate <= 700; rate += 50)
    {
      config.rate = rate;
      Row row = S_run (config, MR_WORLD_OWNERS, 1, &result);
      if (row.complete > 0.99)
        capacity = rate;
    }
  printf ("\ntoday's shape, owners: highest rate with 99 %% complete: %.0f/s\n", capacity);
  printf ("%6s %9s %9s %9s %9s %9s\n", "load", "good/s", "of 1x", "urgent", "extra", "ran!");
  double base = 0;
  static const double steps[] = { 0.5, 1, 2, 4 };
  for (size_t s = 0; s < G_N_ELEMENTS (steps); s++)
    {
      double times = steps[s];
      Row rows[REPEATS];
      guint64 ran = 0;
      for (guint i = 0; i < REPEATS; i++)
        {
          config.rate = capacity * times;
          rows[i] = S_run (config, MR_WORLD_OWNERS, i + 1, &result);
          ran += result.ran_though_not_run;
        }
      if (times == 1)
        base = MEDIAN (rows, goodput);
      printf ("%5.1fx %9.1f %8.1f%% %8.2f%% %8.2f%% %9lu\n", times, MEDIAN (rows, goodput),
              base > 0 ? MEDIAN (rows, goodput) / base * 100 : 0, MEDIAN (rows, urgent) * 100,
              MEDIAN (rows, extra) * 100, (unsigned long) ran);
    }
}

/* With an argument only the scenarios whose names hold it are run. */
int
main (int argc, char **argv)
{
  wanted = argc > 1 ? argv[1] : "";
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  MrWorldConfig today = mr_world_today ();
  MrWorldConfig wide = mr_world_wide ();
  if (wanted[0] == '\0')
    S_load_steps ();
  S_shape ("today's shop search", &today);
  S_shape ("wide", &wide);
  return EXIT_SUCCESS;
}
