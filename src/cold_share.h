/* Rate limit for calls to cold targets.
 *
 * The call rate that a cold target can take from all daemons together is divided between them
 * without coordination.  Each failure domain gets an equal part, whether it is reachable or not.
 * Within a domain the part is divided equally between the entry daemons (those that callers are
 * directed to) that have been entries for long enough that a daemon which was replaced as an
 * entry has detected this, and that see more than half of their domain's members alive.  A daemon
 * that is isolated, partitioned or has just started has a share of zero; its requests use other
 * targets.  Time and membership are passed in. */
#pragma once

#include "clock.h"
#include "entry_plan.h"

typedef struct _MrColdShare MrColdShare;

/* @min_domains: number of failure domains known from the settings; 0: unknown. */
MrColdShare *mr_cold_share_new (const char *domain, guint min_domains);
void mr_cold_share_free (MrColdShare *share);

/* Must be called with each change of a member's state. */
void mr_cold_share_on_member (MrColdShare *share, MrTime now, const MrMember *member);

/* Returns this daemon's share, 0 to 1, for the current members and entry plan. */
double mr_cold_share_update (MrColdShare *share,
                             MrTime now,
                             const MrRoster *roster,
                             const MrEntryPlan *plan);

/* Calls that a daemon with @share may send to one target in MR_COLD_WINDOW, if the target can
 * take @max_rate calls per second from all daemons. */
guint mr_cold_share_permits (double share, double max_rate);

/* The limit holds for calls per second as they arrive at the target.  The window is longer than
 * a second because varying network delay can make calls arrive closer together than they were
 * sent. */
#define MR_COLD_WINDOW (1250 * MR_MS)

enum
{
  MR_COLD_PERMITS_MAX = 32,
  MR_COLD_UNLIMITED = G_MAXINT, /* the target has no cold rate limit */
};

/* Send times of the latest calls to one cold target, as a ring buffer. */
typedef struct
{
  MrTime sent[MR_COLD_PERMITS_MAX];
  guint count; /* calls in total */
} MrColdWindow;

void mr_cold_window_add (MrColdWindow *window, MrTime now);
/* TRUE if a call at @now keeps within @permits calls per MR_COLD_WINDOW. */
gboolean mr_cold_window_allows (const MrColdWindow *window, MrTime now, guint permits);
