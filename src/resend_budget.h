/* Budget for the hedges and retries of one service over a sliding window.
 *
 * The budget holds for the whole fleet without coordination between its daemons:
 * each spends at most @ratio of its own requests plus its share of a fixed
 * allowance, so that the sum over all daemons stays within the fleet's budget. */
#pragma once

#include "clock.h"
#include <stdbool.h>

enum
{
  MR_RESEND_BUDGET_BUCKETS = 24,
};

/* Part of the budget that a daemon in a fleet uses.  The rest makes up for requests that
 * a daemon counted but whose callers gave up before they were sent. */
#define MR_RESEND_BUDGET_MARGIN 0.85

typedef struct
{
  MrTime window;
  double ratio;     /* hedges and retries per request */
  double allowance; /* of the whole fleet, in addition to the ratio */
  double share;     /* this daemon's share of the allowance, 0 to 1 */
  double margin;    /* fraction of the budget that may be spent, 0 to 1 */
  /* Start of this process.  The process before it may have spent its share of the
   * allowance, so the share becomes available linearly over one window. */
  MrTime started_at;
} MrResendBudgetConfig;

typedef struct
{
  gint64 bucket; /* number of the newest bucket: time divided by the bucket length */
  guint requests[MR_RESEND_BUDGET_BUCKETS];
  guint hedges_and_retries[MR_RESEND_BUDGET_BUCKETS];
} MrResendBudget;

/* Counts a request to the service. */
void mr_resend_budget_add_request (MrResendBudget *budget,
                                   const MrResendBudgetConfig *config,
                                   MrTime now);

/* Counts a hedge or retry if that keeps within @fraction (0 to 1) of the budget; otherwise
 * returns FALSE. */
bool mr_resend_budget_try_spend (MrResendBudget *budget,
                                 const MrResendBudgetConfig *config,
                                 MrTime now,
                                 double fraction);
