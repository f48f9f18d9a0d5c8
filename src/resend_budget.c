#include "resend_budget.h"

#include "safeguard.h"

/* Buckets that make up one window; the rest of the ring is spare. */
enum
{
  BUCKETS_IN_WINDOW = 20,
};

/* Starts of one process in a window, as a rule: it takes a second or two from its end to the
 * next; and at most. */
static const double STARTS_USUAL = 5;
static const double STARTS_MOST = 10;

static void
S_advance (MrResendBudget *budget, const MrResendBudgetConfig *terms, MrTime now)
{
  gint64 bucket = now / (terms->window / BUCKETS_IN_WINDOW);
  gint64 steps = MIN (bucket - budget->bucket, (gint64) MR_RESEND_BUDGET_BUCKETS);
  for (gint64 i = 0; i < steps; i++)
    {
      gint64 place = (bucket - i) % MR_RESEND_BUDGET_BUCKETS;
      budget->requests[place] = 0;
      budget->hedges_and_retries[place] = 0;
    }
  budget->bucket = MAX (bucket, budget->bucket);
}

static guint
S_sum (const guint *counts, gint64 newest, guint buckets)
{
  guint sum = 0;
  for (guint i = 0; i < buckets; i++)
    sum += counts[(newest + MR_RESEND_BUDGET_BUCKETS - i) % MR_RESEND_BUDGET_BUCKETS];
  return sum;
}

/* What a process may spend before it has earned anything: with nothing, parts that one target
 * refuses are left out of the first answers.  @own: its share of the allowance. */
static double
S_at_start (double own)
{
  if (own < STARTS_USUAL)
    return 0;
  return MAX (own / STARTS_MOST, 1);
}

void
mr_resend_budget_add_request (MrResendBudget *budget, const MrResendBudgetConfig *terms, MrTime now)
{
  S_advance (budget, terms, now);
  budget->requests[budget->bucket % MR_RESEND_BUDGET_BUCKETS]++;
}

bool
mr_resend_budget_try_spend (MrResendBudget *budget,
                            const MrResendBudgetConfig *terms,
                            MrTime now,
                            double share)
{
  /* An outage of a shard makes a retry of every call; without a hard bound
   * the targets that still work get twice their load and fail too. */
  if (!MR_SAFEGUARD (MR_GUARD_RETRY_BUDGET))
    return true;
  S_advance (budget, terms, now);
  /* One bucket more of what was spent and one less of what was earned: the
   * window slides, the buckets don't. */
  double spent = S_sum (budget->hedges_and_retries, budget->bucket, BUCKETS_IN_WINDOW + 1);
  double requests = S_sum (budget->requests, budget->bucket, BUCKETS_IN_WINDOW);
  /* A process that was killed and started again knows nothing of what it spent
   * before; its share of the allowance comes back over one window. */
  double grown = CLAMP ((double) (now - terms->started_at) / (double) terms->window, 0, 1);
  double own = terms->allowance * terms->share;
  double allowed = (terms->ratio * requests + own * grown) * terms->margin;
  allowed = MAX (allowed, S_at_start (own));
  if (spent + 1 > allowed * share)
    return false;
  budget->hedges_and_retries[budget->bucket % MR_RESEND_BUDGET_BUCKETS]++;
  return true;
}
