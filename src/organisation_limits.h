/* Rate limits of organisations, counted over all daemons together.
 *
 * For each organisation one daemon, its counter, makes tokens at the rate of the limit.  The
 * entries hold small balances of tokens that they have borrowed in advance, and ask the counter for
 * more.  Time and membership are passed in; messages go out through the host. */
#pragma once

#include "configuration.h"
#include "limit_message.h"
#include "member.h"

typedef struct _MrLimits MrLimits;
typedef struct _MrLimitsHost MrLimitsHost;

typedef enum
{
  MR_LIMIT_ADMITTED,
  MR_LIMIT_WAITING,   /* decided () reports the decision within a bounded time */
  MR_LIMIT_EXCEEDED,  /* the organisation is over its limit */
  MR_LIMIT_UNCOUNTED, /* the counter cannot be reached; another daemon may admit the request */
} MrLimitDecision;

/* Vtable; first member of the host's own structure. */
struct _MrLimitsHost
{
  void (*send) (MrLimitsHost *host, const char *daemon, const MrLimitMessage *message);
  /* The decision on a request that was waiting: any but MR_LIMIT_WAITING. */
  void (*decided) (MrLimitsHost *host,
                   gpointer request,
                   MrLimitDecision decision,
                   MrTime retry_after);
};

/* What the fleet may run beyond the limit in a window: @overage times the limit's requests plus
 * @slack. */
typedef struct
{
  MrTime window;
  double overage;
  double slack;
} MrLimitTolerance;

typedef struct
{
  const char *self; /* name of this daemon; borrowed */
  guint64 incarnation;
  MrLimitTolerance tolerance;
  gboolean first_start;       /* the whole fleet starts for the first time */
  gboolean has_other_members; /* the settings name seeds other than this daemon */
  MrTime started_at;
} MrLimitsOptions;

typedef struct
{
  guint64 admitted;
  guint64 exceeded;
  guint64 uncounted;
  guint64 given_back;
  guint64 asks;   /* messages sent to counters */
  guint64 grants; /* messages sent to entries */
  guint64 takeovers;
  guint64 fence_closed; /* how often this daemon stopped granting */
} MrLimitCounts;

MrLimits *mr_limits_new (MrLimitsHost *host, const MrLimitsOptions *options);
void mr_limits_free (MrLimits *limits);

/* Applies the limits of the configuration that has come into force. */
void
mr_limits_set_configuration (MrLimits *limits, MrTime now, const MrConfiguration *configuration);
/* @entries: MrMember, borrowed for the call; the daemons whose addresses callers are given. */
void mr_limits_set_entries (MrLimits *limits, MrTime now, const GPtrArray *entries);
/* Must be called with each change of a member's state. */
void mr_limits_on_member (MrLimits *limits, MrTime now, const MrMember *member);

/* Decides on a request of @organisation, which spends a token if it is admitted.  @max_wait bounds
 * how long it may wait.  @retry_after is set unless it is admitted or waits. */
MrLimitDecision mr_limits_check (MrLimits *limits,
                                 MrTime now,
                                 const MrOrganisation *organisation,
                                 MrTime max_wait,
                                 gpointer request,
                                 MrTime *retry_after);
/* Drops a waiting request whose caller has disconnected. */
void mr_limits_cancel (MrLimits *limits, gpointer request);
/* Returns the token of an admitted request that was refused and has not run. */
void mr_limits_give_back (MrLimits *limits, MrTime now, const MrOrganisation *organisation);

void
mr_limits_receive (MrLimits *limits, MrTime now, const char *sender, const MrLimitMessage *message);
/* Runs what is due; returns the time of the next call, or MR_NEVER. */
MrTime mr_limits_tick (MrLimits *limits, MrTime now);

const MrLimitCounts *mr_limits_counts (const MrLimits *limits);

/* State of one organisation at this daemon, for operators. */
typedef struct
{
  const char *name;
  MrRateLimit limit;
  guint64 admitted;
  guint64 exceeded;
  guint64 uncounted;
  guint balance;       /* tokens held here */
  const char *counter; /* name of the daemon that counts it; NULL: unknown */
} MrLimitState;

void mr_limits_foreach (const MrLimits *limits,
                        void (*visit) (const MrLimitState *state, void *user),
                        void *user);
