/* Parts of the rate limits that share one state: the group of daemons that count (limit_group.c),
 * their votes (limit_votes.c), the counters (limit_counter.c) and the entries' balances
 * (limit_balance.c). */
#pragma once

#include "organisation_limits.h"
#include "rate_limit.h"
#include "timers.h"

/* A vote is valid at the daemon that got it for this long after it sent the last message that the
 * voter is known to have received. */
#define MR_LIMIT_LEASE (800 * MR_MS)
/* The voter keeps it for this long after the holder's last message arrived; longer, because clocks
 * run at slightly different rates. */
#define MR_LIMIT_VOTE_TIME (820 * MR_MS)
/* A member of the group is missing after this time without a message. */
#define MR_LIMIT_MISSING (1600 * MR_MS)
/* Daemons' views of the entries agree after this time: a lost member is detected within 4 s. */
#define MR_LIMIT_SETTLE (5 * MR_SECOND)
/* A token that was granted in advance is spent or returned within this time. */
#define MR_LIMIT_TOKEN_LIFE (2 * MR_SECOND)
/* Added to the tokens in a vote for the daemon that has held it without interruption. */
#define MR_LIMIT_UNBROKEN 1e6
/* Interval of the passes over all organisations, and organisations per pass. */
#define MR_LIMIT_SCAN_INTERVAL (100 * MR_MS)
#define MR_LIMIT_SCAN_COUNT 128
/* Retry-After states at most this time. */
#define MR_LIMIT_RETRY_MAX (2 * MR_SECOND)

typedef struct _MrLimitGroup MrLimitGroup;
typedef struct _MrLimitVotes MrLimitVotes;
typedef struct _MrLimitCounters MrLimitCounters;
typedef struct _MrLimitBalances MrLimitBalances;

struct _MrLimits
{
  MrLimitsHost *host;
  MrLimitsOptions options;
  MrLimitCounts counts;
  MrLimitTable *table; /* NULL: nothing is limited */
  MrLimitGroup *group;
  MrLimitVotes *votes;
  MrLimitCounters *counters;
  MrLimitBalances *balances;
  guint64 number; /* of the last ASK or ACQUIRE */
  GQueue *local;  /* MrLimitMessage from this daemon to itself */
  gboolean delivering;
  gboolean configured; /* a configuration has been in force */
  MrTime next_scan;
};

/* Sends @message, with the incarnation filled in.  A message to this daemon itself is delivered by
 * mr_limits_deliver (). */
void mr_limits_send (MrLimits *limits, const char *daemon, MrLimitMessage message);
void mr_limits_deliver (MrLimits *limits, MrTime now);

/* A daemon that is or was an entry or voter, or has sent a message of the group.  Exists as long as
 * the group, so that pointers to it stay valid. */
typedef struct
{
  char name[MR_NAME_MAX + 1];
  guint64 hash;
  guint index;         /* dense, from 0 */
  guint64 incarnation; /* 0: never heard from */
  MrTime heard;
  MrTime heard_since; /* start of the time in which it has not been missing */
  MrTime group_since; /* since when it has been an entry or voter */
  MrTime confirmed;   /* send time of the last message that it is known to have received */
  guint lapses;       /* how often the lease of its votes has ended */
  guint32 sequence;   /* of its last ALIVE */
  MrTime alive_at;    /* when that arrived */
  MrTime next_alive;
  MrTime listed_at; /* when it was an entry or voter last */
} MrLimitPeer;

typedef gboolean (*MrLimitPeerTest) (MrLimits *limits,
                                     MrTime now,
                                     const MrLimitPeer *peer,
                                     const void *user);

/* With exactly half of the votes a daemon counts half of the limit: no other has more than half,
 * and only one other can have the other half. */
typedef enum
{
  MR_LIMIT_SUPPORT_NONE,
  MR_LIMIT_SUPPORT_HALF, /* half of the voters, and the others do not answer */
  MR_LIMIT_SUPPORT_FULL, /* more than half */
} MrLimitSupport;

MrLimitGroup *mr_limit_group_new (const MrLimitsOptions *options);
void mr_limit_group_free (MrLimitGroup *group);
void mr_limit_group_set_active (MrLimits *limits, MrTime now, gboolean active);
void mr_limit_group_set_entries (MrLimits *limits, MrTime now, const GPtrArray *entries);
void mr_limit_group_on_member (MrLimits *limits, MrTime now, const MrMember *member);
/* Returns the sender, or NULL if the message is from an earlier process and must be ignored. */
MrLimitPeer *mr_limit_group_receive (MrLimits *limits,
                                     MrTime now,
                                     const char *sender,
                                     const MrLimitMessage *message);
MrTime mr_limit_group_tick (MrLimits *limits, MrTime now);
MrLimitPeer *mr_limit_group_self (const MrLimits *limits);
/* Returns NULL if there is none. */
MrLimitPeer *mr_limit_group_find (const MrLimits *limits, const char *name);
gboolean mr_limit_group_is_entry (const MrLimits *limits, const MrLimitPeer *peer);
/* TRUE if this daemon knows other entries and no lost member, and each entry has received a message
 * of this process. */
gboolean mr_limit_group_is_known_to_entries (const MrLimits *limits);
/* Highest number of entries in the last MR_LIMIT_SETTLE. */
guint mr_limit_group_size (const MrLimits *limits);
/* FALSE if this daemon has no limit or knows no other member although there are some. */
gboolean mr_limit_group_may_vote (MrLimits *limits, MrTime now);
/* The fence: TRUE if this daemon is an entry that may vote and receives answers from at least half
 * of the voters. */
gboolean mr_limit_group_is_open (MrLimits *limits, MrTime now);
/* How many voters of each set of the last MR_LIMIT_SETTLE pass @test; the least of all sets. */
MrLimitSupport
mr_limit_group_support (MrLimits *limits, MrTime now, MrLimitPeerTest test, const void *user);
/* Calls @visit for each other voter of these sets that has been heard from. */
void mr_limit_group_foreach (MrLimits *limits, MrTime now, MrLimitPeerTest visit, const void *user);
/* Records that @peer has received a message that was sent at @sent. */
void mr_limit_peer_confirm (MrLimitPeer *peer, MrTime now, MrTime sent);
gboolean mr_limit_peer_is_leased (const MrLimits *limits, MrTime now, const MrLimitPeer *peer);
gboolean mr_limit_peer_is_present (const MrLimits *limits, MrTime now, const MrLimitPeer *peer);
/* Returns the member at @rank in the order in which daemons count @key; @count: present members.
 * NULL if there are none. */
MrLimitPeer *
mr_limit_group_elect (MrLimits *limits, MrTime now, const char *key, guint rank, guint *count);

MrLimitVotes *mr_limit_votes_new (void);
void mr_limit_votes_free (MrLimitVotes *votes);
/* Gives this daemon's vote for the counter of @key to @peer, unless another holds it.  @tokens: at
 * most what is left in the bucket as far as this daemon knows, plus MR_LIMIT_UNBROKEN if @peer held
 * the vote already; -1: vote refused. */
gboolean mr_limit_votes_request (MrLimits *limits,
                                 MrTime now,
                                 MrLimitPeer *peer,
                                 guint64 number,
                                 const char *key,
                                 double *tokens);
/* @peer returns the vote; @tokens: left in its bucket, -1: it has not counted. */
void mr_limit_votes_release (MrLimits *limits,
                             MrTime now,
                             const MrLimitPeer *peer,
                             guint64 number,
                             const char *key,
                             double tokens);
/* Returns the holder of this daemon's vote, or NULL. */
MrLimitPeer *mr_limit_votes_holder (MrLimits *limits, MrTime now, const char *key);
void mr_limit_votes_scan (MrLimits *limits, MrTime now);

MrLimitCounters *mr_limit_counters_new (void);
void mr_limit_counters_free (MrLimitCounters *counters);
void mr_limit_counters_apply_table (MrLimits *limits, MrTime now);
void mr_limit_counters_on_ask (MrLimits *limits,
                               MrTime now,
                               const char *sender,
                               const MrLimitMessage *message);
void mr_limit_counters_on_vote (MrLimits *limits,
                                MrTime now,
                                MrLimitPeer *peer,
                                const MrLimitMessage *message);
void mr_limit_counters_scan (MrLimits *limits, MrTime now);
MrTime mr_limit_counters_tick (MrLimits *limits, MrTime now);

MrLimitBalances *mr_limit_balances_new (void);
void mr_limit_balances_free (MrLimitBalances *balances);
void mr_limit_balances_apply_table (MrLimits *limits, MrTime now);
MrLimitDecision mr_limit_balances_check (MrLimits *limits,
                                         MrTime now,
                                         const MrLimitSubject *subject,
                                         MrTime max_wait,
                                         gpointer request,
                                         MrTime *retry_after);
void mr_limit_balances_cancel (MrLimits *limits, gpointer request);
void mr_limit_balances_give_back (MrLimits *limits, MrTime now, const MrLimitSubject *subject);
void mr_limit_balances_on_grant (MrLimits *limits,
                                 MrTime now,
                                 const char *sender,
                                 const MrLimitMessage *message);
void mr_limit_balances_scan (MrLimits *limits, MrTime now);
MrTime mr_limit_balances_tick (MrLimits *limits, MrTime now);
void mr_limit_balances_foreach (const MrLimits *limits,
                                void (*visit) (const MrLimitState *state, void *user),
                                void *user);
