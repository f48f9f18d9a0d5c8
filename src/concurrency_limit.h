/* How many calls one target gets at once from this daemon.
 *
 * Starts at our share of the target's slots, falls when the target sheds,
 * returns step by step.  A cold target starts at one call and doubles. */
#pragma once

#include "clock.h"
#include <stdbool.h>

typedef struct
{
  double current;
  double max;              /* share of the slots, or the document's bound */
  bool slow_start;         /* slow start */
  MrTime last_decrease_at; /* last decrease */
} MrConcurrencyLimit;

void mr_concurrency_limit_init (MrConcurrencyLimit *limit, double most);
void mr_concurrency_limit_set_max (MrConcurrencyLimit *limit, double most);

/* Calls that may be in flight now; at least 1. */
guint mr_concurrency_limit_calls (const MrConcurrencyLimit *limit);

void mr_concurrency_limit_on_success (MrConcurrencyLimit *limit);
void mr_concurrency_limit_on_shed (MrConcurrencyLimit *limit, MrTime now);

/* The target has just come (back) up: its caches are cold. */
void mr_concurrency_limit_slow_start (MrConcurrencyLimit *limit);
