/* Budget for extra work: hedges and retries of one service.
 *
 * Each first call earns @ratio of an extra call; savings are bounded, so that a
 * quiet hour can't pay for a burst.  A small allowance a second keeps single
 * failures of a quiet service repairable. */
#pragma once

#include "clock.h"
#include <stdbool.h>

typedef struct
{
  double tokens;
  MrTime refilled; /* last time the allowance was paid */
} MrBudget;

/* Full savings: a daemon that has just started has earned nothing yet, and the
 * connections that it loses first would leave shards without a second call until
 * the deadline (8 were affordable after 12 searches, a lost target needs 12). */
void mr_budget_init (MrBudget *budget);
void mr_budget_earn (MrBudget *budget, double ratio, guint first_calls);
bool mr_budget_spend (MrBudget *budget, MrTime now);

/* Bound on second sends of one service over a sliding window, for a fleet whose
 * members do not ask each other: each member spends @ratio of its own requests
 * and its share of a fixed allowance, so that the sum over all members keeps
 * the bound of the fleet. */
enum
{
  MR_WINDOW_BUCKETS = 24,
};

typedef struct
{
  MrTime window;    /* in which the bound holds */
  double ratio;     /* second sends for each request */
  double allowance; /* of the whole fleet, beside the ratio */
  double share;     /* of the allowance that is this member's, 0 to 1 */
  MrTime born;      /* of this process: an earlier one may have spent its share */
} MrWindowTerms;

typedef struct
{
  gint64 bucket; /* newest, counted from 0 on the clock */
  guint requests[MR_WINDOW_BUCKETS];
  guint extras[MR_WINDOW_BUCKETS];
} MrWindowBudget;

/* Counts a request of the service. */
void mr_window_budget_request (MrWindowBudget *budget, const MrWindowTerms *terms, MrTime now);

/* Takes one second send out of the budget; false if that would go over @share
 * (0 to 1) of what is allowed. */
bool mr_window_budget_spend (MrWindowBudget *budget,
                             const MrWindowTerms *terms,
                             MrTime now,
                             double share);
