#include "concurrency_limit.h"

static const double DECREASE_FACTOR = 0.7;
/* Calls shed within this time of a decrease are due to the same overload. */
static const MrTime DECREASE_INTERVAL = 20 * MR_MS;
/* Growth, in calls, per `current` successes. */
static const double INCREASE = 0.5;

void
mr_concurrency_limit_init (MrConcurrencyLimit *limit, double max)
{
  *limit = (MrConcurrencyLimit){ .current = MAX (max, 1), .max = MAX (max, 1) };
}

void
mr_concurrency_limit_set_max (MrConcurrencyLimit *limit, double max)
{
  bool was_at_max = limit->current >= limit->max;
  limit->max = MAX (max, 1);
  if (was_at_max || limit->current > limit->max)
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
  /* Slow start doubles the limit per round of calls; afterwards it grows by half a call. */
  double gain = limit->slow_start ? 1.0 : INCREASE / limit->current;
  limit->current = MIN (limit->current + gain, limit->max);
  if (limit->current >= limit->max)
    limit->slow_start = false;
}

void
mr_concurrency_limit_on_shed (MrConcurrencyLimit *limit, MrTime now)
{
  limit->slow_start = false;
  if (now - limit->last_decrease_at < DECREASE_INTERVAL)
    return;
  limit->last_decrease_at = now;
  limit->current = MAX (1, limit->current * DECREASE_FACTOR);
}

void
mr_concurrency_limit_slow_start (MrConcurrencyLimit *limit)
{
  limit->current = 1;
  limit->slow_start = limit->max > 1;
}
