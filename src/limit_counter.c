/* The counters of organisations at this daemon: buckets, grants and the times at which refused
 * requests may return. */
#include "limits_private.h"
#include "log.h"
#include "safeguard.h"

/* Votes that arrive later are not used.  Shorter than MR_LIMIT_LEASE, within which a vote is not
 * given to another daemon. */
static const MrTime ACQUIRE_TIMEOUT = 100 * MR_MS;
/* Time until the next attempt after one that failed, and the largest addition, which differs
 * between daemons so that two of them do not go on taking each other's votes. */
static const MrTime ACQUIRE_RETRY = 50 * MR_MS;
static const guint ACQUIRE_RETRY_SPREAD_MS = 100;
/* Votes of voters that are new or have restarted are requested this often.  Requests for tokens of
 * a daemon that has restarted find the counter by its vote if their views of the entries differ. */
static const MrTime RENEW_INTERVAL = 200 * MR_MS;
/* An organisation is handed over to the daemon elected for it after that daemon has been present
 * for this long, so that a daemon that restarts repeatedly does not take it each time. */
static const MrTime HANDOVER_DELAY = 10 * MR_SECOND;

/* An organisation that was released is not acquired again for this long: entries that have not
 * heard of the release still ask here first. */
static const MrTime RELEASE_PAUSE = MR_SECOND;

/* An organisation is left to the daemon elected for it for this long.  If every daemon that is
 * asked tried to count it, none would get a majority of the votes for several attempts. */
static const MrTime ELECTED_TIME = 300 * MR_MS;

enum
{
  ASKS_MAX = 256, /* waiting for one counter's votes */
};

typedef enum
{
  NOT_COUNTING,
  ACQUIRING,
  COUNTING,
} State;

typedef struct
{
  gboolean is_given;
  gboolean is_refused;
  guint64 incarnation;
  guint lapses; /* of the voter when it voted */
} VoteReceived;

/* An entry that was granted tokens in advance. */
typedef struct
{
  char name[MR_NAME_MAX + 1];
  MrTime until; /* it has spent or returned them by then */
} Advance;

typedef struct
{
  char sender[MR_NAME_MAX + 1];
  MrLimitMessage message;
} Ask;

typedef struct
{
  char key[MR_NAME_MAX + 1];
  guint index; /* in MrLimitCounters.list */
  State state;
  gboolean is_halved;   /* it counts with half of the votes, and half of the limit */
  gboolean has_bucket;  /* it has counted, and has not released the organisation since */
  MrTime supported;     /* when a majority of votes was last seen */
  MrTokenBucket bucket; /* valid if has_bucket */
  MrTime promised;      /* time of the last token announced to refused requests */
  guint64 number;       /* of the last ACQUIRE */
  MrTime acquire_sent;
  double acquired;        /* upper bound of the tokens, from the votes */
  MrTime retry_at;        /* no attempt to acquire before this */
  MrTime left_to_elected; /* since when; 0: not */
  GArray *votes;          /* VoteReceived, by index of the peer */
  GArray *advances;       /* Advance */
  GQueue asks;            /* Ask, waiting for votes */
  MrTimer timer;          /* end of ACQUIRING */
} Counter;

struct _MrLimitCounters
{
  GHashTable *by_key; /* Counter.key -> Counter */
  GPtrArray *list;    /* Counter */
  MrTimers *timers;
  guint cursor;
};

MrLimitCounters *
mr_limit_counters_new (void)
{
  MrLimitCounters *counters = g_new (MrLimitCounters, 1);
  *counters = (MrLimitCounters){
    .by_key = g_hash_table_new (g_str_hash, g_str_equal),
    .list = g_ptr_array_new (),
    .timers = mr_timers_new (),
  };
  return counters;
}

static void
S_counter_free (Counter *counter)
{
  g_array_unref (counter->votes);
  g_array_unref (counter->advances);
  g_queue_clear_full (&counter->asks, g_free);
  g_free (counter);
}

void
mr_limit_counters_free (MrLimitCounters *counters)
{
  for (guint i = 0; i < counters->list->len; i++)
    S_counter_free (g_ptr_array_index (counters->list, i));
  g_ptr_array_unref (counters->list);
  g_hash_table_unref (counters->by_key);
  mr_timers_free (counters->timers);
  g_free (counters);
}

static Counter *
S_add_counter (MrLimitCounters *counters, const char *key)
{
  Counter *counter = g_hash_table_lookup (counters->by_key, key);
  if (counter)
    return counter;
  counter = g_new0 (Counter, 1);
  g_strlcpy (counter->key, key, sizeof counter->key);
  counter->index = counters->list->len;
  counter->votes = g_array_new (FALSE, TRUE, sizeof (VoteReceived));
  counter->advances = g_array_new (FALSE, FALSE, sizeof (Advance));
  counter->timer.owner = counter;
  g_queue_init (&counter->asks);
  g_ptr_array_add (counters->list, counter);
  g_hash_table_insert (counters->by_key, counter->key, counter);
  return counter;
}

static void
S_remove_counter (MrLimitCounters *counters, Counter *counter)
{
  guint index = counter->index;
  mr_timers_set (counters->timers, &counter->timer, MR_NEVER);
  g_ptr_array_remove_index_fast (counters->list, index);
  if (index < counters->list->len)
    ((Counter *) g_ptr_array_index (counters->list, index))->index = index;
  g_hash_table_remove (counters->by_key, counter->key);
  S_counter_free (counter);
}

static void
S_log_state (const Counter *counter, const char *state)
{
  MrLogLine *line = mr_log_begin (MR_LOG_NOTICE, MR_EVENT_LIMIT_COUNTER);
  mr_log_text (line, "organisation", mr_text (counter->key));
  mr_log_text (line, "state", mr_text (state));
  mr_log_end (line);
}

/* Votes. */

static VoteReceived *
S_vote_of (const Counter *counter, const MrLimitPeer *peer)
{
  if (peer->index >= counter->votes->len)
    g_array_set_size (counter->votes, peer->index + 1);
  return &g_array_index (counter->votes, VoteReceived, peer->index);
}

static gboolean
S_has_vote (MrLimits *limits, MrTime now, const MrLimitPeer *peer, const void *user)
{
  const VoteReceived *vote = S_vote_of (user, peer);
  return vote->is_given && vote->incarnation == peer->incarnation &&
         mr_limit_peer_is_leased (limits, now, peer) &&
         (vote->lapses == peer->lapses || !MR_SAFEGUARD (MR_GUARD_LIMIT_FENCE));
}

/* Votes of daemons that do not answer are not waited for: meanwhile the votes that this daemon has
 * got are missing to others. */
static gboolean
S_may_get_vote (MrLimits *limits, MrTime now, const MrLimitPeer *peer, const void *user)
{
  return !S_vote_of (user, peer)->is_refused && mr_limit_peer_is_leased (limits, now, peer);
}

static void
S_record_vote (Counter *counter, const MrLimitPeer *peer, double tokens)
{
  *S_vote_of (counter, peer) = (VoteReceived){
    .is_given = tokens >= 0,
    .is_refused = tokens < 0,
    .incarnation = peer->incarnation,
    .lapses = peer->lapses,
  };
  /* An unbroken vote does not limit a bucket that has been kept. */
  if (tokens >= MR_LIMIT_UNBROKEN)
    tokens = counter->has_bucket ? G_MAXUINT16 : tokens - MR_LIMIT_UNBROKEN;
  if (tokens >= 0)
    counter->acquired = MIN (counter->acquired, tokens);
}

static gboolean
S_send_acquire (MrLimits *limits, MrTime now, const MrLimitPeer *peer, const void *user)
{
  const Counter *counter = user;
  if (S_has_vote (limits, now, peer, counter) ||
      (counter->state == COUNTING && !mr_limit_peer_is_leased (limits, now, peer)))
    return FALSE;
  MrLimitMessage message = { .kind = MR_LIMIT_ACQUIRE, .number = counter->number };
  g_strlcpy (message.organisation, counter->key, sizeof message.organisation);
  mr_limits_send (limits, peer->name, message);
  return TRUE;
}

typedef struct
{
  const Counter *counter;
  double tokens;
} Release;

static gboolean
S_send_release (MrLimits *limits, MrTime now, const MrLimitPeer *peer, const void *user)
{
  const Release *release = user;
  (void) now;
  MrLimitMessage message = {
    .kind = MR_LIMIT_RELEASE,
    .number = release->counter->number,
    .was_counting = TRUE,
    .tokens = release->tokens,
  };
  g_strlcpy (message.organisation, release->counter->key, sizeof message.organisation);
  mr_limits_send (limits, peer->name, message);
  return TRUE;
}

/* Returns all votes.  @tokens: left in the bucket, -1: it has not counted. */
static void
S_return_votes (MrLimits *limits, MrTime now, Counter *counter, double tokens)
{
  Release release = { .counter = counter, .tokens = tokens };
  mr_limit_group_foreach (limits, now, S_send_release, &release);
  mr_limit_votes_release (limits, now, mr_limit_group_self (limits), counter->number, counter->key,
                          tokens);
  g_array_set_size (counter->votes, 0);
}

/* Buckets. */

/* Tokens that entries may hold in advance.  The counter can contain as many in addition to the
 * burst, less what entries may still hold, so that a burst that conforms to the limit finds enough
 * tokens while others are in balances. */
static double
S_capacity (MrLimits *limits, MrTime now, Counter *counter, const MrLimitSubject *subject)
{
  guint entries = mr_limit_group_size (limits);
  guint share = mr_limit_entry_share (&subject->limit, &limits->options.tolerance, entries);
  for (guint i = counter->advances->len; i > 0; i--)
    if (g_array_index (counter->advances, Advance, i - 1).until <= now)
      g_array_remove_index_fast (counter->advances, i - 1);
  guint holders = MIN (counter->advances->len, entries);
  if (counter->is_halved)
    {
      /* Nothing is granted in advance, and one token fits into that part of the bound. */
      double headroom = mr_limit_headroom (&subject->limit, &limits->options.tolerance);
      return MAX (subject->limit.burst / 2, MIN (headroom / 2, 1));
    }
  return subject->limit.burst + (double) (entries - holders) * share;
}

static double
S_rate (const Counter *counter, const MrLimitSubject *subject)
{
  return counter->is_halved ? subject->limit.rate / 2 : subject->limit.rate;
}

static void
S_fill (MrLimits *limits, MrTime now, Counter *counter, const MrLimitSubject *subject)
{
  mr_token_bucket_fill (&counter->bucket, now, S_rate (counter, subject),
                        S_capacity (limits, now, counter, subject));
}

/* Changes between the whole and half of the limit.  The moment of the change is not known exactly;
 * the time since the bucket was filled counts with the lower rate. */
static void
S_set_halved (MrLimits *limits, MrTime now, Counter *counter, gboolean is_halved)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
  if (is_halved == counter->is_halved)
    return;
  if (counter->has_bucket && subject && !is_halved)
    S_fill (limits, now, counter, subject);
  counter->is_halved = is_halved;
  if (counter->has_bucket && subject && is_halved)
    S_fill (limits, now, counter, subject);
  if (counter->state == COUNTING)
    S_log_state (counter, is_halved ? "counting half of the limit" : "counting");
}

static gboolean
S_has_support (MrLimits *limits, MrTime now, Counter *counter)
{
  if (!MR_SAFEGUARD (MR_GUARD_LIMIT_ACQUIRE))
    return TRUE;
  MrLimitSupport support = mr_limit_group_support (limits, now, S_has_vote, counter);
  if (support != MR_LIMIT_SUPPORT_NONE)
    S_set_halved (limits, now, counter, support == MR_LIMIT_SUPPORT_HALF);
  return support != MR_LIMIT_SUPPORT_NONE;
}

static Advance *
S_find_advance (const Counter *counter, const char *name)
{
  for (guint i = 0; i < counter->advances->len; i++)
    {
      Advance *advance = &g_array_index (counter->advances, Advance, i);
      if (g_str_equal (advance->name, name))
        return advance;
    }
  return NULL;
}

static void
S_record_advance (Counter *counter, MrTime now, const char *name)
{
  Advance *known = S_find_advance (counter, name);
  Advance advance = { .until = now + MR_LIMIT_TOKEN_LIFE };
  g_strlcpy (advance.name, name, sizeof advance.name);
  if (known)
    *known = advance;
  else
    g_array_append_val (counter->advances, advance);
}

static guint
S_take_in_advance (
    MrLimits *limits, MrTime now, Counter *counter, const MrLimitSubject *subject, const Ask *ask)
{
  const MrLimitPeer *peer = mr_limit_group_find (limits, ask->sender);
  guint entries = mr_limit_group_size (limits);
  guint share = mr_limit_entry_share (&subject->limit, &limits->options.tolerance, entries);
  if (!MR_SAFEGUARD (MR_GUARD_LIMIT_BALANCE))
    return mr_token_bucket_take (&counter->bucket, ask->message.in_advance, 0);
  if (!peer || !mr_limit_group_is_entry (limits, peer) || counter->is_halved)
    return 0;
  /* An entry that holds tokens already only replaces those that requests have spent. */
  double rest = subject->limit.burst / (S_find_advance (counter, ask->sender) ? 2 : 1);
  guint taken = mr_token_bucket_take (&counter->bucket, MIN (ask->message.in_advance, share), rest);
  if (taken > 0)
    S_record_advance (counter, now, ask->sender);
  return taken;
}

/* Returns the time until the first of @count tokens that are not yet announced, and announces
 * them, so that requests refused first return first. */
static MrTime
S_promise (MrTime now, Counter *counter, const MrLimitSubject *subject, guint count)
{
  MrTime interval = (MrTime) ((double) MR_SECOND / S_rate (counter, subject));
  double missing = MAX (1 - counter->bucket.tokens, 0);
  MrTime next = now + (MrTime) (missing * (double) interval);
  MrTime first = MAX (next, counter->promised + interval);
  first = MIN (first, now + MR_LIMIT_RETRY_MAX);
  counter->promised = MIN (first + (count - 1) * interval, now + MR_LIMIT_RETRY_MAX);
  return first - now;
}

static void
S_reply (MrLimits *limits, const Ask *ask, MrLimitMessage reply)
{
  reply.kind = MR_LIMIT_GRANT;
  reply.number = ask->message.number;
  g_strlcpy (reply.organisation, ask->message.organisation, sizeof reply.organisation);
  limits->counts.grants++;
  mr_limits_send (limits, ask->sender, reply);
}

static void
S_reply_not_counting (MrLimits *limits, const Ask *ask)
{
  S_reply (limits, ask, (MrLimitMessage){ .was_counting = FALSE });
}

/* An entry that returns its whole share holds nothing any more. */
static void
S_take_back (MrLimits *limits, Counter *counter, const MrLimitSubject *subject, const Ask *ask)
{
  guint share = mr_limit_entry_share (&subject->limit, &limits->options.tolerance,
                                      mr_limit_group_size (limits));
  Advance *advance = S_find_advance (counter, ask->sender);
  if (advance && ask->message.returned >= share)
    advance->until = 0;
}

static void
S_grant (
    MrLimits *limits, MrTime now, Counter *counter, const MrLimitSubject *subject, const Ask *ask)
{
  MrLimitMessage reply = { .was_counting = TRUE };
  guint in_advance = MIN (ask->message.in_advance, ask->message.wanted);
  guint needed = ask->message.wanted - in_advance;
  S_take_back (limits, counter, subject, ask);
  S_fill (limits, now, counter, subject);
  counter->bucket.tokens += ask->message.returned;
  S_fill (limits, now, counter, subject);
  reply.granted = mr_token_bucket_take (&counter->bucket, needed, 0);
  if (reply.granted < needed)
    reply.wait_us = S_promise (now, counter, subject, needed - reply.granted);
  else if (in_advance > 0)
    reply.granted += S_take_in_advance (limits, now, counter, subject, ask);
  S_reply (limits, ask, reply);
}

static void
S_answer_asks (MrLimits *limits, MrTime now, Counter *counter)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
  Ask *ask = NULL;
  while ((ask = g_queue_pop_head (&counter->asks)))
    {
      if (counter->state == COUNTING && subject)
        S_grant (limits, now, counter, subject, ask);
      else
        S_reply_not_counting (limits, ask);
      g_free (ask);
    }
}

/* Acquiring and releasing an organisation. */

static void
S_start_counting (MrLimits *limits, MrTime now, Counter *counter, const MrLimitSubject *subject)
{
  if (!MR_SAFEGUARD (MR_GUARD_LIMIT_ACQUIRE))
    counter->acquired = subject->limit.burst;
  if (counter->has_bucket)
    {
      S_fill (limits, now, counter, subject);
      counter->bucket.tokens = MIN (counter->bucket.tokens, counter->acquired);
    }
  else
    {
      double part = counter->is_halved ? 0.5 : 1;
      counter->bucket = (MrTokenBucket){ .tokens = counter->acquired * part, .filled = now };
      limits->counts.takeovers++;
      S_log_state (counter, counter->is_halved ? "counting half of the limit" : "counting");
    }
  S_fill (limits, now, counter, subject);
  counter->has_bucket = TRUE;
  counter->state = COUNTING;
  counter->left_to_elected = 0;
  counter->supported = now;
  mr_timers_set (limits->counters->timers, &counter->timer, MR_NEVER);
  S_answer_asks (limits, now, counter);
}

static void
S_fail_acquire (MrLimits *limits, MrTime now, Counter *counter)
{
  /* Votes of an earlier, successful attempt are returned with what was left then. */
  double rest = counter->has_bucket ? MAX (counter->bucket.tokens, 0) : -1;
  if (counter->has_bucket)
    S_log_state (counter, "not counting");
  counter->state = NOT_COUNTING;
  counter->has_bucket = FALSE;
  guint64 spread = (mr_limit_group_self (limits)->hash ^ counter->number) % ACQUIRE_RETRY_SPREAD_MS;
  counter->retry_at = now + ACQUIRE_RETRY + (MrTime) spread * MR_MS;
  mr_timers_set (limits->counters->timers, &counter->timer, MR_NEVER);
  S_return_votes (limits, now, counter, rest);
  S_answer_asks (limits, now, counter);
}

static void
S_check_acquire (MrLimits *limits, MrTime now, Counter *counter)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
  if (subject && S_has_support (limits, now, counter))
    S_start_counting (limits, now, counter, subject);
  else if (!subject ||
           mr_limit_group_support (limits, now, S_may_get_vote, counter) == MR_LIMIT_SUPPORT_NONE)
    S_fail_acquire (limits, now, counter);
}

static void
S_begin_acquire (MrLimits *limits, MrTime now, Counter *counter)
{
  double tokens = -1;
  MrLimitPeer *self = mr_limit_group_self (limits);
  counter->state = ACQUIRING;
  counter->number = ++limits->number;
  counter->acquire_sent = now;
  counter->acquired = G_MAXUINT16;
  g_array_set_size (counter->votes, 0);
  mr_timers_set (limits->counters->timers, &counter->timer, now + ACQUIRE_TIMEOUT);
  mr_limit_votes_request (limits, now, self, counter->number, counter->key, &tokens);
  S_record_vote (counter, self, tokens);
  mr_limit_group_foreach (limits, now, S_send_acquire, counter);
  S_check_acquire (limits, now, counter);
}

static void
S_release (MrLimits *limits, MrTime now, Counter *counter)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
  if (subject)
    S_fill (limits, now, counter, subject);
  counter->state = NOT_COUNTING;
  counter->has_bucket = FALSE;
  counter->retry_at = now + RELEASE_PAUSE;
  S_log_state (counter, "not counting");
  S_return_votes (limits, now, counter, MAX (counter->bucket.tokens, 0));
}

void
mr_limit_counters_on_vote (MrLimits *limits,
                           MrTime now,
                           MrLimitPeer *peer,
                           const MrLimitMessage *message)
{
  Counter *counter = g_hash_table_lookup (limits->counters->by_key, message->organisation);
  if (!counter || counter->state == NOT_COUNTING || message->number != counter->number ||
      now >= counter->acquire_sent + ACQUIRE_TIMEOUT)
    return;
  mr_limit_peer_confirm (peer, now, counter->acquire_sent);
  S_record_vote (counter, peer, message->tokens);
  if (counter->state == ACQUIRING)
    S_check_acquire (limits, now, counter);
}

/* Requests for tokens. */

/* TRUE if the organisation is to be counted by another daemon, which is elected and answers. */
static gboolean
S_leave_to_elected (MrLimits *limits, MrTime now, Counter *counter)
{
  guint count = 0;
  const MrLimitPeer *elected = mr_limit_group_elect (limits, now, counter->key, 0, &count);
  if (!elected || elected == mr_limit_group_self (limits) ||
      !mr_limit_peer_is_leased (limits, now, elected))
    return FALSE;
  if (counter->left_to_elected == 0)
    counter->left_to_elected = now;
  return now < counter->left_to_elected + ELECTED_TIME;
}

static void
S_queue_ask (MrLimits *limits, Counter *counter, const Ask *ask)
{
  if (g_queue_get_length (&counter->asks) < ASKS_MAX)
    g_queue_push_tail (&counter->asks, g_memdup2 (ask, sizeof *ask));
  else
    S_reply_not_counting (limits, ask);
}

void
mr_limit_counters_on_ask (MrLimits *limits,
                          MrTime now,
                          const char *sender,
                          const MrLimitMessage *message)
{
  Ask ask = { .message = *message };
  g_strlcpy (ask.sender, sender, sizeof ask.sender);
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, message->organisation);
  if (!subject || !mr_limit_group_is_open (limits, now))
    {
      S_reply_not_counting (limits, &ask);
      return;
    }
  Counter *counter = S_add_counter (limits->counters, message->organisation);
  if (counter->state == COUNTING && S_has_support (limits, now, counter))
    {
      counter->supported = now;
      S_grant (limits, now, counter, subject, &ask);
    }
  else if (counter->state == ACQUIRING)
    S_queue_ask (limits, counter, &ask);
  else if (counter->state == COUNTING ||
           (now >= counter->retry_at && !S_leave_to_elected (limits, now, counter)))
    {
      S_queue_ask (limits, counter, &ask);
      S_begin_acquire (limits, now, counter);
    }
  else
    S_reply_not_counting (limits, &ask);
}

/* Periodic work. */

static gboolean
S_must_hand_over (MrLimits *limits, MrTime now, const Counter *counter)
{
  guint count = 0;
  const MrLimitPeer *self = mr_limit_group_self (limits);
  if (!mr_limit_group_is_entry (limits, self))
    return TRUE;
  const MrLimitPeer *elected = mr_limit_group_elect (limits, now, counter->key, 0, &count);
  return elected && elected != self && mr_limit_peer_is_leased (limits, now, elected) &&
         now >= MAX (elected->heard_since, elected->group_since) + HANDOVER_DELAY;
}

static void
S_scan_counting (MrLimits *limits, MrTime now, Counter *counter)
{
  gboolean supported = mr_limit_group_is_open (limits, now) && S_has_support (limits, now, counter);
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
  if (supported)
    counter->supported = now;
  if (supported && subject)
    S_fill (limits, now, counter, subject);
  if (now >= counter->supported + MR_LIMIT_LEASE || S_must_hand_over (limits, now, counter))
    S_release (limits, now, counter);
  else if (now >= counter->acquire_sent + RENEW_INTERVAL)
    {
      counter->number = ++limits->number;
      counter->acquire_sent = now;
      mr_limit_group_foreach (limits, now, S_send_acquire, counter);
    }
}

void
mr_limit_counters_scan (MrLimits *limits, MrTime now)
{
  MrLimitCounters *counters = limits->counters;
  guint count = MIN (counters->list->len, MR_LIMIT_SCAN_COUNT);
  for (guint i = 0; i < count && counters->list->len > 0; i++)
    {
      counters->cursor = (counters->cursor + 1) % counters->list->len;
      Counter *counter = g_ptr_array_index (counters->list, counters->cursor);
      if (counter->state == COUNTING)
        S_scan_counting (limits, now, counter);
      else if (counter->state == NOT_COUNTING &&
               now > MAX (counter->retry_at, counter->left_to_elected) + MR_SECOND)
        S_remove_counter (counters, counter);
    }
}

void
mr_limit_counters_apply_table (MrLimits *limits, MrTime now)
{
  for (guint i = limits->counters->list->len; i > 0; i--)
    {
      Counter *counter = g_ptr_array_index (limits->counters->list, i - 1);
      const MrLimitSubject *subject = mr_limit_table_find (limits->table, counter->key);
      if (subject)
        S_fill (limits, now, counter, subject);
      else if (counter->state == COUNTING)
        S_release (limits, now, counter);
    }
}

MrTime
mr_limit_counters_tick (MrLimits *limits, MrTime now)
{
  MrTimer *timer = NULL;
  while ((timer = mr_timers_pop (limits->counters->timers, now)))
    S_fail_acquire (limits, now, timer->owner);
  return mr_timers_next_due (limits->counters->timers);
}
