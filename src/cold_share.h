/* Calls to cold targets: what one bears a second is shared out between all daemons, which do
 * not ask each other.
 *
 * Each failure domain has the same part, whether it is reached or not.  In a domain the daemons
 * that callers are told of share it: those that have been named for long enough that one that
 * is no longer named has noticed, and that see more than half of their domain alive.  A daemon
 * that is alone, has just started or was cut off has no part; its calls go elsewhere.  Pure
 * decisions: time and members come as arguments. */
#pragma once

#include "clock.h"
#include "entry_plan.h"

typedef struct _MrColdShare MrColdShare;

/* @domains: how many failure domains there are at least, as far as settings say; 0: unknown. */
MrColdShare *mr_cold_share_new (const char *domain, guint domains);
void mr_cold_share_free (MrColdShare *share);

/* A member as it is now; each change of one is to be told. */
void mr_cold_share_on_member (MrColdShare *share, MrTime now, const MrMember *member);

/* This daemon's part now, 0 to 1, as members and plan stand. */
double mr_cold_share_update (MrColdShare *share,
                             MrTime now,
                             const MrRoster *roster,
                             const MrEntryPlan *plan);

/* Calls that a daemon with @part may send to one target in MR_COLD_WINDOW, of the @bound that
 * the target bears from all in a second. */
guint mr_cold_share_permits (double part, double bound);

/* Calls are counted where they arrive: some of two seconds may arrive in one. */
#define MR_COLD_WINDOW (1250 * MR_MS)

enum
{
  MR_COLD_PERMITS_MAX = 32,
  MR_COLD_UNLIMITED = G_MAXINT, /* of a target that bears any number */
};

/* Times of the calls that were sent to one cold target last. */
typedef struct
{
  MrTime sent[MR_COLD_PERMITS_MAX];
  guint count; /* ever */
} MrColdWindow;

void mr_cold_window_add (MrColdWindow *window, MrTime now);
/* TRUE if one more call keeps within @permits in any span. */
gboolean mr_cold_window_allows (const MrColdWindow *window, MrTime now, guint permits);
