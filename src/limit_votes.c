/* Votes of this daemon for the counters of organisations.
 *
 * A daemon counts an organisation only with the votes of more than half of the entries.  Each entry
 * gives its vote to one daemon at a time, until that daemon returns it or has been silent for
 * MR_LIMIT_VOTE_TIME; it is then no longer valid there either. */
#include "limits_private.h"
#include "safeguard.h"

/* A vote that nobody holds is kept until any bucket is full again. */
static const MrTime FREE_VOTE_KEEP_TIME = 60 * MR_SECOND;

typedef struct
{
  char key[MR_NAME_MAX + 1];
  guint index;         /* in MrLimitVotes.list */
  MrLimitPeer *holder; /* NULL: the vote is free */
  guint64 incarnation; /* of the holder */
  guint64 number;      /* of the holder's ACQUIRE */
  double rest;         /* tokens left when the vote became free */
  MrTime free_since;   /* before the holder got it, if it is not free */
} Vote;

struct _MrLimitVotes
{
  GHashTable *by_key; /* Vote.key -> Vote */
  GPtrArray *list;    /* Vote */
  guint cursor;
};

MrLimitVotes *
mr_limit_votes_new (void)
{
  MrLimitVotes *votes = g_new (MrLimitVotes, 1);
  *votes = (MrLimitVotes){
    .by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
    .list = g_ptr_array_new (),
  };
  return votes;
}

void
mr_limit_votes_free (MrLimitVotes *votes)
{
  g_ptr_array_unref (votes->list);
  g_hash_table_unref (votes->by_key);
  g_free (votes);
}

/* An earlier process of this daemon may have voted until it ended.  Entries drop its votes when
 * they hear from this one. */
static gboolean
S_earlier_votes_have_ended (const MrLimits *limits, MrTime now)
{
  return limits->options.first_start || now >= limits->options.started_at + MR_LIMIT_VOTE_TIME ||
         mr_limit_group_is_known_to_entries (limits);
}

/* Tokens with which an organisation starts about which this process knows nothing.  After a loss of
 * all daemons nobody does; a quarter of what the bound allows beyond the limit lets the first
 * requests through.  Half of it is in the balances, so that a second loss in one window keeps the
 * bound. */
static double
S_initial_tokens (const MrLimits *limits, const char *key)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, key);
  if (limits->options.first_start)
    return G_MAXUINT16;
  if (!subject)
    return 0;
  return MIN (subject->limit.burst,
              mr_limit_headroom (&subject->limit, &limits->options.tolerance) / 4);
}

static Vote *
S_add_vote (MrLimits *limits, MrTime now, const char *key)
{
  Vote *vote = g_hash_table_lookup (limits->votes->by_key, key);
  if (vote)
    return vote;
  vote = g_new0 (Vote, 1);
  g_strlcpy (vote->key, key, sizeof vote->key);
  vote->index = limits->votes->list->len;
  /* Nobody has held it since this daemon began to vote, so that the first requests of an
   * organisation find the tokens generated since. */
  vote->free_since = MIN (now, mr_limit_group_votes_since (limits));
  vote->rest = S_initial_tokens (limits, key);
  g_ptr_array_add (limits->votes->list, vote);
  g_hash_table_insert (limits->votes->by_key, vote->key, vote);
  return vote;
}

static void
S_remove_vote (MrLimitVotes *votes, Vote *vote)
{
  guint index = vote->index;
  g_ptr_array_remove_index_fast (votes->list, index);
  if (index < votes->list->len)
    ((Vote *) g_ptr_array_index (votes->list, index))->index = index;
  g_hash_table_remove (votes->by_key, vote->key);
}

static void
S_set_free (Vote *vote, MrTime since, double rest)
{
  vote->holder = NULL;
  vote->free_since = since;
  vote->rest = rest;
}

/* Frees the vote if its holder has restarted or is silent. */
static void
S_expire (MrLimits *limits, MrTime now, Vote *vote)
{
  if (!vote->holder || vote->holder == mr_limit_group_self (limits))
    return;
  if (vote->holder->incarnation != vote->incarnation)
    S_set_free (vote, now, 0);
  else if (now >= vote->holder->heard + MR_LIMIT_VOTE_TIME)
    S_set_free (vote, vote->holder->heard + MR_LIMIT_VOTE_TIME, 0);
}

/* Tokens that a bucket contains which nobody has drawn from since the vote became free. */
static double
S_idle_tokens (const MrLimits *limits, MrTime now, const Vote *vote)
{
  const MrLimitSubject *subject = mr_limit_table_find (limits->table, vote->key);
  MrTokenBucket bucket = { .tokens = vote->rest, .filled = vote->free_since };
  if (subject)
    mr_token_bucket_fill (&bucket, now, subject->limit.rate, G_MAXUINT16);
  return MIN (bucket.tokens, G_MAXUINT16);
}

gboolean
mr_limit_votes_request (MrLimits *limits,
                        MrTime now,
                        MrLimitPeer *peer,
                        guint64 number,
                        const char *key,
                        double *tokens)
{
  *tokens = -1;
  if (!S_earlier_votes_have_ended (limits, now) || !mr_limit_group_may_vote (limits, now))
    return FALSE;
  Vote *vote = S_add_vote (limits, now, key);
  S_expire (limits, now, vote);
  if (vote->holder && vote->holder != peer)
    return FALSE;
  *tokens = S_idle_tokens (limits, now, vote) + (vote->holder ? MR_LIMIT_UNBROKEN : 0);
  vote->holder = peer;
  vote->incarnation = peer->incarnation;
  vote->number = number;
  return TRUE;
}

void
mr_limit_votes_release (MrLimits *limits,
                        MrTime now,
                        const MrLimitPeer *peer,
                        guint64 number,
                        const char *key,
                        double tokens)
{
  Vote *vote = g_hash_table_lookup (limits->votes->by_key, key);
  if (!vote || vote->holder != peer || vote->incarnation != peer->incarnation ||
      number < vote->number)
    return;
  if (tokens < 0)
    vote->holder = NULL;
  else
    S_set_free (vote, now, tokens);
}

MrLimitPeer *
mr_limit_votes_holder (MrLimits *limits, MrTime now, const char *key)
{
  Vote *vote = g_hash_table_lookup (limits->votes->by_key, key);
  if (!vote)
    return NULL;
  S_expire (limits, now, vote);
  return vote->holder;
}

/* Forgets votes that have been free for so long that they are the same as new ones. */
void
mr_limit_votes_scan (MrLimits *limits, MrTime now)
{
  MrLimitVotes *votes = limits->votes;
  for (guint i = 0; i < MR_LIMIT_SCAN_COUNT && votes->list->len > 0; i++)
    {
      votes->cursor = (votes->cursor + 1) % votes->list->len;
      Vote *vote = g_ptr_array_index (votes->list, votes->cursor);
      S_expire (limits, now, vote);
      if (!vote->holder && now > vote->free_since + FREE_VOTE_KEEP_TIME)
        S_remove_vote (votes, vote);
    }
}
