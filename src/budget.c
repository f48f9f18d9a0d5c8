#include "budget.h"

#include "safeguard.h"

/* Buckets that make up one window; the rest of the ring is spare. */
enum
{
  BUCKETS_IN_WINDOW = 20,
};

/* Starts of one process in a window: it takes a second or two from its end to the next. */
static const double STARTS_IN_WINDOW = 5;

static void
S_advance (MrWindowBudget *budget, const MrWindowTerms *terms, MrTime now)
{
  gint64 bucket = now / (terms->window / BUCKETS_IN_WINDOW);
  gint64 steps = MIN (bucket - budget->bucket, (gint64) MR_WINDOW_BUCKETS);
  for (gint64 i = 0; i < steps; i++)
    {
      gint64 place = (bucket - i) % MR_WINDOW_BUCKETS;
      budget->requests[place] = 0;
      budget->extras[place] = 0;
    }
  budget->bucket = MAX (bucket, budget->bucket);
}

static guint
S_sum (const guint *counts, gint64 newest, guint buckets)
{
  guint sum = 0;
  for (guint i = 0; i < buckets; i++)
    sum += counts[(newest + MR_WINDOW_BUCKETS - i) % MR_WINDOW_BUCKETS];
  return sum;
}

void
mr_window_budget_request (MrWindowBudget *budget, const MrWindowTerms *terms, MrTime now)
{
  S_advance (budget, terms, now);
  budget->requests[budget->bucket % MR_WINDOW_BUCKETS]++;
}

bool
mr_window_budget_spend (MrWindowBudget *budget,
                        const MrWindowTerms *terms,
                        MrTime now,
                        double share)
{
  /* An outage of a shard makes a second send of every call; without a hard bound
   * the targets that still work get twice their load and fail too. */
  if (!MR_SAFEGUARD (MR_GUARD_RETRY_BUDGET))
    return true;
  S_advance (budget, terms, now);
  /* One bucket more of what was spent and one less of what was earned: the
   * window slides, the buckets don't. */
  double spent = S_sum (budget->extras, budget->bucket, BUCKETS_IN_WINDOW + 1);
  double requests = S_sum (budget->requests, budget->bucket, BUCKETS_IN_WINDOW);
  /* A process that was killed and started again knows nothing of what it spent
   * before; its share of the allowance comes back over one window. */
  double grown = CLAMP ((double) (now - terms->born) / (double) terms->window, 0, 1);
  double own = terms->allowance * terms->share;
  double allowed = (terms->ratio * requests + own * grown) * terms->margin;
  /* A relay is ready some 30 ms after its start: with nothing to spend it left out a part
   * that one target refused.  One send a start keeps within the share of a process that
   * starts this often in a window. */
  if (own >= STARTS_IN_WINDOW)
    allowed = MAX (allowed, 1);
  if (spent + 1 > allowed * share)
    return false;
  budget->extras[budget->bucket % MR_WINDOW_BUCKETS]++;
  return true;
}
