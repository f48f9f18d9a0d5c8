#include "denial_check.h"

#include "watch.h"

enum
{
  QUERIES_MAX = 2, /* for one request */
  /* Members that are considered in each failure domain.  The first ones by rank read the store. */
  RANKS_MAX = 8,
  /* Daemons whose failure to answer is remembered. */
  AVOIDED_MAX = 64,
};

/* How long a daemon that did not answer, or is itself behind, is asked only if there is no other.
 * A dead member is removed from the roster after that time. */
static const MrTime AVOID_TIME = 5 * MR_SECOND;
/* If the tick comes later than requested by this time, the process has stalled, and replies may be
 * waiting to be read. */
static const MrTime STALL_TIME = 50 * MR_MS;

typedef struct
{
  MrQueuedRequest request;
  MrTime since;
  MrTime limit;
  guint queries;
  gboolean covered;  /* by the outstanding query; not used without one */
  gboolean extended; /* limit, after a stall */
  guint64 awaited;   /* version that a reply to one of its queries has named; 0: none newer */
} Waiting;

struct _MrDenialCheck
{
  MrDenialCheckHost *host;
  MrDenialCheckOptions options;
  GArray *waiting;       /* Waiting, in order of arrival */
  gboolean deciding;     /* in S_decide_all () */
  guint64 version;       /* in force */
  guint64 newer_version; /* highest version named by a reply */
  MrTime newer_until;    /* how long newer_version is taken to exist */
  guint64 next_number;   /* of the next query */
  guint64 outstanding;   /* number of the outstanding query; 0: none */
  char asked[MR_NAME_MAX + 1];
  MrTime asked_at;
  gboolean extended;    /* time for the reply to the outstanding query, after a stall */
  MrTime next_query_at; /* earliest time of the next group's first query */
  MrTime due;           /* returned by the last tick */
  GHashTable *avoided;  /* daemon -> MrTime* until when */
};

MrDenialCheck *
mr_denial_check_new (MrDenialCheckHost *host, const MrDenialCheckOptions *options)
{
  MrDenialCheck *check = g_new0 (MrDenialCheck, 1);
  check->host = host;
  check->options = *options;
  check->next_number = MAX (options->first_number, 1);
  check->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  check->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  check->due = MR_NEVER;
  return check;
}

void
mr_denial_check_free (MrDenialCheck *check)
{
  if (!check)
    return;
  g_hash_table_unref (check->avoided);
  g_array_unref (check->waiting);
  g_free (check);
}

guint
mr_denial_check_waiting (const MrDenialCheck *check)
{
  return check->waiting->len;
}

static Waiting *
S_waiting_at (const MrDenialCheck *check, guint index)
{
  return &g_array_index (check->waiting, Waiting, index);
}

static void
S_report (MrDenialCheck *check, MrTime now, const Waiting *waiting, MrDenialResult result)
{
  MrDenialOutcome outcome = {
    .request = waiting->request,
    .result = result,
    .waited = now - waiting->since,
    .queries = waiting->queries,
  };
  check->host->ended (check->host, &outcome);
}

/* Decides on one waiting request: TRUE if its check ends with @result. */
typedef gboolean (*Decide) (MrDenialCheck *check,
                            MrTime now,
                            Waiting *waiting,
                            MrDenialResult *result);

/* Applies @decide to all waiting requests.  The host may add requests meanwhile, so the queue holds
 * only those that were decided to stay. */
static void
S_decide_all (MrDenialCheck *check, MrTime now, Decide decide)
{
  GArray *before = check->waiting;
  if (before->len == 0)
    return;
  check->deciding = TRUE;
  check->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  for (guint i = 0; i < before->len; i++)
    {
      Waiting *waiting = &g_array_index (before, Waiting, i);
      MrDenialResult result = MR_DENIAL_CONFIRMED;
      if (decide (check, now, waiting, &result))
        S_report (check, now, waiting, result);
      else
        g_array_append_vals (check->waiting, waiting, 1);
    }
  check->deciding = FALSE;
  g_array_unref (before);
}

/* TRUE if a newer version than the one in force is known to exist. */
static gboolean
S_is_behind (const MrDenialCheck *check, MrTime now)
{
  return check->newer_version > check->version && now < check->newer_until;
}

/* A request is not denied while its key may be in a version that is known to exist, also if the
 * daemon that named the version was asked for another request. */
static MrDenialResult
S_deny_unless_behind (const MrDenialCheck *check, MrTime now, MrDenialResult denial)
{
  return S_is_behind (check, now) ? MR_DENIAL_VERSION_LATE : denial;
}

/* Choice of a daemon. */

static gboolean
S_is_avoided (const MrDenialCheck *check, MrTime now, const char *daemon)
{
  const MrTime *until = g_hash_table_lookup (check->avoided, daemon);
  return until && now < *until;
}

static void
S_avoid (MrDenialCheck *check, MrTime now, const char *daemon)
{
  MrTime *until = g_new (MrTime, 1);
  *until = now + AVOID_TIME;
  if (g_hash_table_size (check->avoided) >= AVOIDED_MAX)
    g_hash_table_remove_all (check->avoided);
  g_hash_table_replace (check->avoided, g_strdup (daemon), until);
}

/* Lower is better.  The daemons that read the store learn of a new version first.  A suspect member
 * is asked as the last resort: if all are suspect, this daemon may be the one that is cut off. */
static guint
S_penalty (const MrDenialCheck *check, MrTime now, const MrMember *member)
{
  guint penalty = S_is_avoided (check, now, member->name) ? 16 : 0;
  penalty += member->state == MR_MEMBER_ALIVE ? 0 : 8;
  penalty += member->busy ? 4 : 0;
  penalty += member->platform_unreachable ? 2 : 0;
  return penalty + (mr_watch_is_relay_watcher (check->options.roster, member->name) ? 0 : 1);
}

/* Members of the own failure domain are preferred among equal ones. */
static const MrMember *
S_choose_daemon (const MrDenialCheck *check, MrTime now)
{
  const MrRoster *roster = check->options.roster;
  const MrMember *own = mr_roster_find (roster, check->options.self);
  const MrMember *best = NULL;
  guint best_penalty = G_MAXUINT;
  guint domains = mr_roster_domain_count (roster);
  guint first = own ? mr_roster_domain_index (roster, own->domain) : 0;
  for (guint i = 0; i < domains; i++)
    for (guint rank = 0; rank < RANKS_MAX; rank++)
      {
        const MrMember *member = mr_roster_at_rank (roster, (first + i) % domains, rank);
        if (!member)
          break;
        guint penalty = S_penalty (check, now, member);
        if (g_str_equal (member->name, check->options.self) || penalty >= best_penalty)
          continue;
        best = member;
        best_penalty = penalty;
      }
  return best;
}

/* Queries. */

static gboolean
S_decide_no_daemon (MrDenialCheck *check, MrTime now, Waiting *waiting, MrDenialResult *result)
{
  *result = S_deny_unless_behind (check, now, MR_DENIAL_NO_DAEMON);
  return waiting->awaited == 0;
}

/* Returns TRUE if a request waits for a query; sets @second if an earlier query of one of them has
 * given no result. */
static gboolean
S_needs_query (const MrDenialCheck *check, gboolean *second)
{
  gboolean needed = FALSE;
  *second = FALSE;
  for (guint i = 0; i < check->waiting->len; i++)
    {
      const Waiting *waiting = S_waiting_at (check, i);
      needed = needed || waiting->awaited == 0;
      *second = *second || (waiting->awaited == 0 && waiting->queries > 0);
    }
  return needed;
}

static void
S_cover_waiting (MrDenialCheck *check)
{
  for (guint i = 0; i < check->waiting->len; i++)
    {
      Waiting *waiting = S_waiting_at (check, i);
      waiting->covered = waiting->awaited == 0;
      waiting->queries += waiting->covered ? 1 : 0;
    }
}

/* Sends a query if one is needed and allowed. */
static void
S_send_query (MrDenialCheck *check, MrTime now)
{
  gboolean second = FALSE;
  if (check->deciding || check->outstanding != 0 || !S_needs_query (check, &second) ||
      (!second && now < check->next_query_at))
    return;
  const MrMember *daemon = S_choose_daemon (check, now);
  if (!daemon)
    {
      S_decide_all (check, now, S_decide_no_daemon);
      return;
    }
  S_cover_waiting (check);
  check->outstanding = check->next_number++;
  check->asked_at = now;
  check->extended = FALSE;
  check->next_query_at = now + MR_DENIAL_QUERY_INTERVAL;
  g_strlcpy (check->asked, daemon->name, sizeof check->asked);
  check->host->query (check->host, check->asked, check->outstanding);
}

/* The outstanding query has given no result: requests that have had their second one are denied. */
static void
S_end_query_without_result (MrDenialCheck *check, MrTime now, Decide decide)
{
  S_avoid (check, now, check->asked);
  check->outstanding = 0;
  S_decide_all (check, now, decide);
}

static gboolean
S_decide_unanswered (MrDenialCheck *check, MrTime now, Waiting *waiting, MrDenialResult *result)
{
  *result = S_deny_unless_behind (check, now, MR_DENIAL_NO_ANSWER);
  return waiting->covered && waiting->queries >= QUERIES_MAX;
}

static gboolean
S_decide_asked_is_behind (MrDenialCheck *check,
                          MrTime now,
                          Waiting *waiting,
                          MrDenialResult *result)
{
  *result = S_deny_unless_behind (check, now, MR_DENIAL_CONFIRMED);
  return waiting->covered && waiting->queries >= QUERIES_MAX;
}

static gboolean
S_decide_confirmed (MrDenialCheck *check, MrTime now, Waiting *waiting, MrDenialResult *result)
{
  *result = S_deny_unless_behind (check, now, MR_DENIAL_CONFIRMED);
  return waiting->covered;
}

/* A request that arrived after the query needs one of its own: its key may be in a still newer
 * version. */
static void
S_await_version (MrDenialCheck *check, MrTime now, guint64 version)
{
  for (guint i = 0; i < check->waiting->len; i++)
    {
      Waiting *waiting = S_waiting_at (check, i);
      if (!waiting->covered)
        continue;
      waiting->covered = FALSE;
      waiting->awaited = version;
      waiting->limit = now + MR_DENIAL_VERSION_TIMEOUT;
    }
}

void
mr_denial_check_replied (MrDenialCheck *check, MrTime now, guint64 number, guint64 version)
{
  gboolean current = number != 0 && number == check->outstanding;
  if (version > check->version)
    {
      check->newer_version = MAX (check->newer_version, version);
      check->newer_until = now + MR_DENIAL_VERSION_TIMEOUT;
    }
  if (current && version > check->version)
    {
      check->outstanding = 0;
      S_await_version (check, now, version);
    }
  else if (current && version == check->version)
    {
      check->outstanding = 0;
      S_decide_all (check, now, S_decide_confirmed);
    }
  else if (current)
    S_end_query_without_result (check, now, S_decide_asked_is_behind);
  S_send_query (check, now);
}

/* Requests. */

static void
S_drop_oldest (MrDenialCheck *check, MrTime now)
{
  Waiting oldest = *S_waiting_at (check, 0);
  g_array_remove_index (check->waiting, 0);
  S_report (check, now, &oldest,
            oldest.awaited != 0 ? MR_DENIAL_VERSION_LATE : MR_DENIAL_QUEUE_OVERFLOW);
}

void
mr_denial_check_add (MrDenialCheck *check, MrTime now, const MrQueuedRequest *request)
{
  Waiting waiting = {
    .request = *request,
    .since = now,
    .limit = now + QUERIES_MAX * MR_DENIAL_REPLY_TIMEOUT,
  };
  g_array_append_val (check->waiting, waiting);
  if (check->waiting->len > MR_DENIAL_WAITING_MAX)
    S_drop_oldest (check, now);
  S_send_query (check, now);
}

gboolean
mr_denial_check_remove (MrDenialCheck *check, gconstpointer caller)
{
  for (guint i = 0; i < check->waiting->len; i++)
    if (S_waiting_at (check, i)->request.caller == caller)
      {
        g_array_remove_index (check->waiting, i);
        return TRUE;
      }
  return FALSE;
}

static gboolean
S_decide_new_version (MrDenialCheck *check, MrTime now, Waiting *waiting, MrDenialResult *result)
{
  (void) now;
  if (check->host->look_up_again (check->host, &waiting->request))
    {
      *result = MR_DENIAL_ADMITTED;
      return TRUE;
    }
  *result = MR_DENIAL_NOT_IN_NEWER;
  return waiting->awaited != 0 && waiting->awaited <= check->version;
}

void
mr_denial_check_set_version (MrDenialCheck *check, MrTime now, guint64 version)
{
  if (version == check->version)
    return;
  check->version = version;
  S_decide_all (check, now, S_decide_new_version);
  S_send_query (check, now);
}

/* Time. */

static gboolean
S_decide_late (MrDenialCheck *check, MrTime now, Waiting *waiting, MrDenialResult *result)
{
  *result = waiting->awaited != 0 ? MR_DENIAL_VERSION_LATE
                                  : S_deny_unless_behind (check, now, MR_DENIAL_NO_ANSWER);
  return now >= waiting->limit;
}

/* Time in which this process did not run is no time in which others did not answer.  Limits are
 * extended once, so that waits stay bounded in a process that is slow all the time. */
static void
S_allow_for_stall (MrDenialCheck *check, MrTime now)
{
  if (check->due == MR_NEVER || now - check->due < STALL_TIME)
    return;
  MrTime delay = now - check->due + STALL_TIME;
  check->newer_until += delay;
  check->asked_at += check->extended ? 0 : delay;
  check->extended = TRUE;
  for (guint i = 0; i < check->waiting->len; i++)
    {
      Waiting *waiting = S_waiting_at (check, i);
      waiting->limit += waiting->extended ? 0 : delay;
      waiting->extended = TRUE;
    }
}

static MrTime
S_next_due (const MrDenialCheck *check)
{
  gboolean second = FALSE;
  MrTime next = MR_NEVER;
  for (guint i = 0; i < check->waiting->len; i++)
    next = MIN (next, S_waiting_at (check, i)->limit);
  if (check->outstanding != 0)
    next = MIN (next, check->asked_at + MR_DENIAL_REPLY_TIMEOUT);
  else if (S_needs_query (check, &second))
    next = MIN (next, check->next_query_at);
  return next;
}

MrTime
mr_denial_check_tick (MrDenialCheck *check, MrTime now)
{
  S_allow_for_stall (check, now);
  if (check->outstanding != 0 && now >= check->asked_at + MR_DENIAL_REPLY_TIMEOUT)
    S_end_query_without_result (check, now, S_decide_unanswered);
  S_decide_all (check, now, S_decide_late);
  S_send_query (check, now);
  check->due = S_next_due (check);
  return check->due;
}

const char *
mr_denial_result_name (MrDenialResult result)
{
  static const char *const names[MR_DENIAL_RESULT_COUNT] = {
    [MR_DENIAL_ADMITTED] = "admitted",         [MR_DENIAL_CONFIRMED] = "confirmed",
    [MR_DENIAL_NOT_IN_NEWER] = "not-in-newer", [MR_DENIAL_NO_DAEMON] = "no-daemon",
    [MR_DENIAL_NO_ANSWER] = "no-answer",       [MR_DENIAL_VERSION_LATE] = "version-late",
    [MR_DENIAL_QUEUE_OVERFLOW] = "overflow",
  };
  return names[result];
}
