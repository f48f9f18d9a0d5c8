/* Adaptive limit on this daemon's concurrent calls to one target.
 *
 * The limit starts at this daemon's share of the target's slots, decreases
 * multiplicatively when the target sheds a call, and grows additively with
 * successful calls.  After a slow start request it begins at one call and grows
 * exponentially. */
#pragma once

#include "clock.h"
#include <stdbool.h>

typedef struct
{
  double current;
  double max;      /* this daemon's share of the slots, or the configured limit */
  bool slow_start; /* growing exponentially */
  MrTime last_decrease_at;
} MrConcurrencyLimit;

void mr_concurrency_limit_init (MrConcurrencyLimit *limit, double max);
void mr_concurrency_limit_set_max (MrConcurrencyLimit *limit, double max);

/* Calls that may be in flight; at least 1. */
guint mr_concurrency_limit_calls (const MrConcurrencyLimit *limit);

void mr_concurrency_limit_on_success (MrConcurrencyLimit *limit);
void mr_concurrency_limit_on_shed (MrConcurrencyLimit *limit, MrTime now);

/* Restarts from one call: the target has just come up, so its caches are cold. */
void mr_concurrency_limit_slow_start (MrConcurrencyLimit *limit);
