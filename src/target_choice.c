#include "target_choice.h"

#include <math.h>

/* Figures are means over the loads of test_target_choice.c: 12 or 26 targets with two slots, 20 to
 * 30 requests/s of 120 to 160 ms through six daemons. */

/* By calculation, the estimates of equal targets then differ by 6 % (standard deviation) where the
 * work of calls varies by 35 %, and by 8 % with the weight of 0.1 that suits targets with more
 * calls.  With 0.1 calls take 0.4 % longer. */
static const double STEADY_WEIGHT = 0.05;
/* The first samples count as if this many typical ones had come before. */
static const double STEADY_PRIOR_SAMPLES = 5;
/* A pause of 150 to 200 ms delays a call of 140 ms to more than twice its time, which says nothing
 * about the speed of the target.  With a limit of 8, the busiest of equal targets gets up to 1.94
 * times the mean instead of 1.77. */
static const double STEADY_SAMPLE_MAX = 2;
/* One call to a target that is six times slower suffices to avoid it. */
static const double RECENT_WEIGHT = 0.2;
static const double RECENT_SAMPLE_MAX = 8;
/* A target that is avoided gives no samples, so that the effect of a slow period must decay.  The
 * periods last about 8 s.  Without the decay, the busiest of equal targets gets up to 1.97 times
 * the mean. */
static const MrTime RECENT_DECAY = 10 * MR_SECOND;
/* Ratio of the recent to the steady mean from which a target counts as having become slow: more
 * than the speeds of targets vary (0.8 to 1.3 around 1). */
static const double SLOW_RATIO = 1.4;

/* Costs within this factor of the lowest one count as equal.  With 1.15 the busiest of equal
 * targets gets up to 1.94 times the mean, with 1.17 1.77 times; with 1.2 calls take 0.6 % longer,
 * because slower targets are included. */
static const double EQUAL_COST_FACTOR = 1.17;
/* Fraction of the calls for which idle connections are not preferred, so that each daemon changes
 * the targets that it has connections to.  With 0, 0.1 and 0.2 the busiest of equal targets gets up
 * to 2.62, 1.85 and 1.77 times the mean; with 1 daemons open 34 % more connections. */
static const double ANY_CONNECTION_FRACTION = 0.2;

void
mr_speed_estimate_init (MrSpeedEstimate *estimate)
{
  *estimate = (MrSpeedEstimate){ .steady = 1, .recent = 1 };
}

static double
S_recent (const MrSpeedEstimate *estimate, MrTime now)
{
  double age = (double) (now - estimate->sampled_at) / (double) RECENT_DECAY;
  return estimate->steady + (estimate->recent - estimate->steady) * exp (-age);
}

void
mr_speed_estimate_add (MrSpeedEstimate *estimate, MrTime now, double latency)
{
  double recent = S_recent (estimate, now);
  estimate->samples++;
  double weight = MAX (STEADY_WEIGHT, 1 / (estimate->samples + STEADY_PRIOR_SAMPLES));
  estimate->steady += weight * (MIN (latency, STEADY_SAMPLE_MAX) - estimate->steady);
  estimate->recent = recent + RECENT_WEIGHT * (MIN (latency, RECENT_SAMPLE_MAX) - recent);
  estimate->sampled_at = now;
}

void
mr_speed_estimate_add_unanswered (MrSpeedEstimate *estimate, MrTime now, double latency)
{
  if (latency > S_recent (estimate, now))
    mr_speed_estimate_add (estimate, now, latency);
}

double
mr_speed_estimate_get (const MrSpeedEstimate *estimate, MrTime now)
{
  double recent = S_recent (estimate, now);
  return recent < SLOW_RATIO * estimate->steady ? estimate->steady : recent;
}

/* Removes all candidates but those with nearly the lowest cost. */
static void
S_keep_equal_costs (GArray *candidates)
{
  double lowest = G_MAXDOUBLE;
  guint kept = 0;
  for (guint i = 0; i < candidates->len; i++)
    lowest = MIN (lowest, g_array_index (candidates, MrTargetCandidate, i).cost);
  for (guint i = 0; i < candidates->len; i++)
    {
      MrTargetCandidate candidate = g_array_index (candidates, MrTargetCandidate, i);
      if (candidate.cost <= EQUAL_COST_FACTOR * lowest)
        g_array_index (candidates, MrTargetCandidate, kept++) = candidate;
    }
  g_array_set_size (candidates, kept);
}

static const MrTargetCandidate *
S_least_recently_used (const GArray *candidates, gboolean idle_connection_only)
{
  const MrTargetCandidate *best = NULL;
  for (guint i = 0; i < candidates->len; i++)
    {
      const MrTargetCandidate *candidate = &g_array_index (candidates, MrTargetCandidate, i);
      if (idle_connection_only && !candidate->has_idle_connection)
        continue;
      if (!best || candidate->last_used < best->last_used)
        best = candidate;
    }
  return best;
}

gpointer
mr_target_choice (GArray *candidates, GRand *random)
{
  S_keep_equal_costs (candidates);
  gboolean prefer_idle = g_rand_double (random) >= ANY_CONNECTION_FRACTION;
  const MrTargetCandidate *best = prefer_idle ? S_least_recently_used (candidates, TRUE) : NULL;
  if (!best)
    best = S_least_recently_used (candidates, FALSE);
  return best ? best->target : NULL;
}
