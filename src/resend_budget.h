/* Bound on hedges and retries of one service over a sliding window, for a fleet whose
 * members do not ask each other: each member spends @ratio of its own requests
 * and its share of a fixed allowance, so that the sum over all members keeps
 * the bound of the fleet. */
#pragma once

#include "clock.h"
#include <stdbool.h>

enum
{
  MR_RESEND_BUDGET_BUCKETS = 24,
};

/* Margin of a fleet: the rest covers requests that a member counted and its
 * callers gave up before sending. */
#define MR_RESEND_BUDGET_MARGIN 0.85

typedef struct
{
  MrTime window;    /* in which the bound holds */
  double ratio;     /* hedges and retries for each request */
  double allowance; /* of the whole fleet, beside the ratio */
  double share;     /* of the allowance that is this member's, 0 to 1 */
  double margin;    /* part of all this that is spent at most, 0 to 1 */
  /* Start of this process: one before it may have spent its share, which comes
   * back over one window. */
  MrTime started_at;
} MrResendBudgetConfig;

typedef struct
{
  gint64 bucket; /* newest, counted from 0 on the clock */
  guint requests[MR_RESEND_BUDGET_BUCKETS];
  guint hedges_and_retries[MR_RESEND_BUDGET_BUCKETS];
} MrResendBudget;

/* Counts a request of the service. */
void mr_resend_budget_add_request (MrResendBudget *budget,
                                   const MrResendBudgetConfig *terms,
                                   MrTime now);

/* Takes one hedge or retry out of the budget; false if that would go over @share
 * (0 to 1) of what is allowed. */
bool mr_resend_budget_try_spend (MrResendBudget *budget,
                                 const MrResendBudgetConfig *terms,
                                 MrTime now,
                                 double share);
