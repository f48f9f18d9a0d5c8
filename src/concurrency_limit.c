#include "concurrency_limit.h"

/* Share kept at a decrease. */
static const double CUT = 0.7;
/* Shed answers within this of a decrease belong to the same overload. */
static const MrTime CUT_GAP = 20 * MR_MS;
/* Growth in calls for each `current` successes. */
static const double STEP = 0.5;

void
mr_concurrency_limit_init (MrConcurrencyLimit *limit, double most)
{
  *limit = (MrConcurrencyLimit){ .current = MAX (most, 1), .max = MAX (most, 1) };
}

void
mr_concurrency_limit_set_max (MrConcurrencyLimit *limit, double most)
{
  bool at_most = limit->current >= limit->max;
  limit->max = MAX (most, 1);
  if (at_most || limit->current > limit->max)
    limit->current = limit->max;
}

guint
mr_concurrency_limit_calls (const MrConcurrencyLimit *limit)
{
  return (guint) MAX (limit->current, 1);
}

void
mr_concurrency_limit_on_success (MrConcurrencyLimit *limit)
{
  /* Slow start doubles for each round of calls; after it, a half step. */
  double gain = limit->slow_start ? 1.0 : STEP / limit->current;
  limit->current = MIN (limit->current + gain, limit->max);
  if (limit->current >= limit->max)
    limit->slow_start = false;
}

void
mr_concurrency_limit_on_shed (MrConcurrencyLimit *limit, MrTime now)
{
  limit->slow_start = false;
  if (now - limit->last_decrease_at < CUT_GAP)
    return;
  limit->last_decrease_at = now;
  limit->current = MAX (1, limit->current * CUT);
}

void
mr_concurrency_limit_slow_start (MrConcurrencyLimit *limit)
{
  limit->current = 1;
  limit->slow_start = limit->max > 1;
}
