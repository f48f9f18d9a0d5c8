#include "resend_budget.h"

#include "safeguard.h"

/* Buckets per window; the rest of the ring is spare. */
enum
{
  BUCKETS_IN_WINDOW = 20,
};

/* Starts of one process within a window: typically, as a restart takes one to two seconds, and
 * at most. */
static const double STARTS_TYPICAL = 5;
static const double STARTS_MAX = 10;

static void
S_advance_buckets (MrResendBudget *budget, const MrResendBudgetConfig *config, MrTime now)
{
  gint64 bucket = now / (config->window / BUCKETS_IN_WINDOW);
  gint64 elapsed = MIN (bucket - budget->bucket, (gint64) MR_RESEND_BUDGET_BUCKETS);
  for (gint64 i = 0; i < elapsed; i++)
    {
      gint64 index = (bucket - i) % MR_RESEND_BUDGET_BUCKETS;
      budget->requests[index] = 0;
      budget->hedges_and_retries[index] = 0;
    }
  budget->bucket = MAX (bucket, budget->bucket);
}

static guint
S_sum_buckets (const guint *counts, gint64 newest, guint buckets)
{
  guint sum = 0;
  for (guint i = 0; i < buckets; i++)
    sum += counts[(newest + MR_RESEND_BUDGET_BUCKETS - i) % MR_RESEND_BUDGET_BUCKETS];
  return sum;
}

/* What a process may spend right after its start.  Without it, the first searches would omit
 * shards whose first target refuses the call.  It is small enough that a process that restarts
 * repeatedly stays within @own_allowance, its share of the allowance, per window. */
static double
S_startup_allowance (double own_allowance)
{
  if (own_allowance < STARTS_TYPICAL)
    return 0;
  return MAX (own_allowance / STARTS_MAX, 1);
}

void
mr_resend_budget_add_request (MrResendBudget *budget,
                              const MrResendBudgetConfig *config,
                              MrTime now)
{
  S_advance_buckets (budget, config, now);
  budget->requests[budget->bucket % MR_RESEND_BUDGET_BUCKETS]++;
}

bool
mr_resend_budget_try_spend (MrResendBudget *budget,
                            const MrResendBudgetConfig *config,
                            MrTime now,
                            double fraction)
{
  /* During an outage of a shard every call is retried.  Without a hard limit the targets
   * that still work would get twice their load and fail as well. */
  if (!MR_SAFEGUARD (MR_GUARD_RESEND_BUDGET))
    return true;
  S_advance_buckets (budget, config, now);
  /* The window rarely starts at a bucket boundary.  To stay within the budget in every
   * window, the oldest, partial bucket counts as spent but not as earned. */
  double spent = S_sum_buckets (budget->hedges_and_retries, budget->bucket, BUCKETS_IN_WINDOW + 1);
  double requests = S_sum_buckets (budget->requests, budget->bucket, BUCKETS_IN_WINDOW);
  /* A restarted process does not know what it spent before, so its share of the allowance
   * accrues over one window. */
  double accrued = CLAMP ((double) (now - config->started_at) / (double) config->window, 0, 1);
  double own_allowance = config->allowance * config->share;
  double allowed = (config->ratio * requests + own_allowance * accrued) * config->margin;
  allowed = MAX (allowed, S_startup_allowance (own_allowance));
  if (spent + 1 > allowed * fraction)
    return false;
  budget->hedges_and_retries[budget->bucket % MR_RESEND_BUDGET_BUCKETS]++;
  return true;
}
