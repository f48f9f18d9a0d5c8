/* Error budget burn: how much of the error budget of each service-level objective was consumed over
 * several time windows.
 *
 * Each daemon counts the requests of its own callers in ring buffers of fixed size; merlinringctl
 * adds up the counts of all daemons.  VMs have no persistent storage, so a restart loses the counts
 * of that daemon; the report states how much of each window is covered. */
#pragma once

#include "clock.h"
#include "document.h"

enum
{
  MR_BURN_WINDOW_COUNT = 4
};

/* Length of each window in seconds: 5 minutes, 1 hour, 6 hours, 3 days. */
extern const gint64 mr_burn_window_seconds[MR_BURN_WINDOW_COUNT];

typedef struct
{
  guint64 total;
  guint64 slow;      /* served, but later than the latency objective */
  guint64 uncovered; /* served, but with an incomplete answer */
  guint64 refused;   /* not served */
} MrBurnCounts;

/* Outcome of one request. */
typedef struct
{
  gboolean slow;
  gboolean uncovered;
  gboolean refused;
  const char *target; /* target that delayed the answer or was missing in it, or NULL */
  const char *domain; /* failure domain of that target */
} MrBurnOutcome;

typedef struct _MrBurn MrBurn;

MrBurn *mr_burn_new (MrTime now);
void mr_burn_free (MrBurn *burn);
void mr_burn_add (MrBurn *burn, MrTime now, const char *service, const MrBurnOutcome *outcome);
MrBurnCounts mr_burn_counts (const MrBurn *burn, MrTime now, const char *service, guint window);

/* Returns how many seconds of @window lie after the start of this process. */
gint64 mr_burn_covered_seconds (const MrBurn *burn, MrTime now, guint window);

/* Calls @visit for each target that made requests of @service slow or incomplete in the last five
 * minutes, with the number of those requests. */
void mr_burn_foreach_blamed (
    const MrBurn *burn,
    MrTime now,
    const char *service,
    void (*visit) (const char *target, const char *domain, guint64 count, void *user),
    void *user);

/* State of the error budget of one objective over one window. */
typedef struct
{
  double bad_share;      /* bad events divided by all events */
  double burn_rate;      /* 1: consumes exactly the whole budget within the window */
  double budget_left;    /* remaining part of the window's budget; negative if overspent */
  double hours_to_empty; /* until the budget is exhausted at this rate; negative: never */
} MrBurnRate;

/* Computes the burn rate for @bad of @total events, where @allowed is the fraction of events that
 * may be bad. */
MrBurnRate mr_burn_rate (guint64 bad, guint64 total, double allowed, gint64 window_seconds);
