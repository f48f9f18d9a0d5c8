/* The balances of organisations at this daemon, and the requests that wait for a token. */
#include "limits_private.h"
#include "safeguard.h"

/* A counter that has not answered for this long is asked again, or another daemon is. */
static const MrTime ASK_TIMEOUT = 50 * MR_MS;
/* After a refusal by the counter, requests are refused without asking for this long. */
static const MrTime REFUSE_TIME = 20 * MR_MS;
/* Retry-After while no daemon counts. */
static const MrTime UNCOUNTED_RETRY_AFTER = 100 * MR_MS;
/* Requests wait for a counter that has been unknown for less than this, which is as long as another
 * daemon needs to take over or a fleet to start; later ones are refused at once.  Callers repeat a
 * refused request only once or twice, and while nobody counts each repetition is refused as well.
 */
static const MrTime UNKNOWN_MAX = 2 * MR_SECOND;
/* A silent counter is asked for this long after the last request. */
static const MrTime INTEREST_TIME = MR_SECOND;
/* Tokens that are not needed here are returned after this time, together. */
static const MrTime RETURN_DELAY = 100 * MR_MS;
/* Tokens in advance are not asked for again for this long if there were none. */
static const MrTime ADVANCE_PAUSE = 200 * MR_MS;

enum
{
  WAITING_MAX = 256, /* requests of one organisation */
};

typedef struct _Balance Balance;

typedef struct
{
  Balance *balance;
  gpointer request;
  GList link; /* in Balance.waiting */
  MrTime deadline;
} Waiting;

struct _Balance
{
  char key[MR_NAME_MAX + 1];
  char *name;
  guint index; /* in MrLimitBalances.list */
  MrRateLimit limit;
  /* Tokens by age: those of the current half of MR_LIMIT_TOKEN_LIFE, and of the previous one. */
  guint fresh;
  guint old;
  MrTime rotate_at;
  guint returned; /* to be returned with the next ASK */
  GQueue waiting; /* Waiting, in order of arrival */
  guint64 number; /* of the unanswered ASK; 0: none */
  guint asked;    /* tokens that the unanswered ASK wants for waiting requests */
  MrTime asked_at;
  char counter[MR_NAME_MAX + 1]; /* it granted tokens last; "": unknown */
  char target[MR_NAME_MAX + 1];  /* of the unanswered ASK */
  guint rank;                    /* of the next daemon to ask in the order of election */
  gboolean asks_holder;          /* @target holds this daemon's vote, and was not chosen by rank */
  gboolean asked_holder;         /* in this round through the ranks */
  gboolean is_silent;            /* no counter has been found */
  MrTime silent_since;           /* if is_silent */
  MrTime refuse_until;
  MrTime promised; /* when the request refused last may return */
  MrTime advance_after;
  MrTime last_request;
  guint64 admitted;
  guint64 exceeded;
  guint64 uncounted;
  MrTimer timer;
};

struct _MrLimitBalances
{
  GHashTable *by_key;     /* Balance.key -> Balance */
  GPtrArray *list;        /* Balance */
  GHashTable *by_request; /* request -> Waiting */
  MrTimers *timers;
  guint cursor;
  /* A request whose check is in progress, and the decision on it. */
  gpointer checked;
  MrLimitDecision decision;
  MrTime retry_after;
};

MrLimitBalances *
mr_limit_balances_new (void)
{
  MrLimitBalances *balances = g_new (MrLimitBalances, 1);
  *balances = (MrLimitBalances){
    .by_key = g_hash_table_new (g_str_hash, g_str_equal),
    .list = g_ptr_array_new (),
    .by_request = g_hash_table_new (NULL, NULL),
    .timers = mr_timers_new (),
  };
  return balances;
}

static void
S_balance_free (Balance *balance)
{
  GList *link = NULL;
  while ((link = g_queue_pop_head_link (&balance->waiting)))
    g_free (link->data);
  g_free (balance->name);
  g_free (balance);
}

void
mr_limit_balances_free (MrLimitBalances *balances)
{
  for (guint i = 0; i < balances->list->len; i++)
    S_balance_free (g_ptr_array_index (balances->list, i));
  g_ptr_array_unref (balances->list);
  g_hash_table_unref (balances->by_key);
  g_hash_table_unref (balances->by_request);
  mr_timers_free (balances->timers);
  g_free (balances);
}

static Balance *
S_add_balance (MrLimits *limits, MrTime now, const MrLimitSubject *subject)
{
  MrLimitBalances *balances = limits->balances;
  Balance *balance = g_hash_table_lookup (balances->by_key, subject->key);
  if (balance)
    return balance;
  balance = g_new0 (Balance, 1);
  g_strlcpy (balance->key, subject->key, sizeof balance->key);
  balance->name = g_strdup (subject->name);
  balance->limit = subject->limit;
  balance->index = balances->list->len;
  balance->last_request = now;
  balance->timer.owner = balance;
  g_queue_init (&balance->waiting);
  g_ptr_array_add (balances->list, balance);
  g_hash_table_insert (balances->by_key, balance->key, balance);
  return balance;
}

static void
S_remove_balance (MrLimitBalances *balances, Balance *balance)
{
  guint index = balance->index;
  mr_timers_set (balances->timers, &balance->timer, MR_NEVER);
  g_ptr_array_remove_index_fast (balances->list, index);
  if (index < balances->list->len)
    ((Balance *) g_ptr_array_index (balances->list, index))->index = index;
  g_hash_table_remove (balances->by_key, balance->key);
  S_balance_free (balance);
}

/* Tokens. */

/* Only entries hold tokens in advance.  A daemon that has just started may not know all entries
 * yet, and would hold too many. */
static guint
S_share (const MrLimits *limits, MrTime now, const Balance *balance)
{
  MrTime settled = limits->options.started_at + MR_LIMIT_SETTLE;
  if (!MR_SAFEGUARD (MR_GUARD_LIMIT_BALANCE))
    return (guint) balance->limit.burst;
  if (!mr_limit_group_is_entry (limits, mr_limit_group_self (limits)) ||
      (now < settled && !limits->options.first_start))
    return 0;
  return mr_limit_entry_share (&balance->limit, &limits->options.tolerance,
                               mr_limit_group_size (limits));
}

/* Moves tokens that have reached their age, or are too many, to those that are returned. */
static void
S_age_tokens (const MrLimits *limits, MrTime now, Balance *balance)
{
  guint share = S_share (limits, now, balance);
  guint passes = now >= balance->rotate_at + MR_LIMIT_TOKEN_LIFE / 2 ? 2 : 1;
  for (guint i = 0; now >= balance->rotate_at && i < passes; i++)
    {
      if (MR_SAFEGUARD (MR_GUARD_LIMIT_BALANCE))
        {
          balance->returned += balance->old;
          balance->old = balance->fresh;
          balance->fresh = 0;
        }
      if (i + 1 == passes)
        balance->rotate_at = now + MR_LIMIT_TOKEN_LIFE / 2;
    }
  if (balance->old + balance->fresh > share)
    {
      guint excess = balance->old + balance->fresh - share;
      guint from_old = MIN (excess, balance->old);
      balance->old -= from_old;
      balance->fresh -= excess - from_old;
      balance->returned += excess;
    }
}

static gboolean
S_spend (Balance *balance)
{
  guint *tokens = balance->old > 0 ? &balance->old : &balance->fresh;
  if (*tokens == 0)
    return FALSE;
  --*tokens;
  return TRUE;
}

/* Decisions. */

static void
S_count (MrLimits *limits, Balance *balance, MrLimitDecision decision)
{
  balance->admitted += decision == MR_LIMIT_ADMITTED;
  balance->exceeded += decision == MR_LIMIT_EXCEEDED;
  balance->uncounted += decision == MR_LIMIT_UNCOUNTED;
  limits->counts.admitted += decision == MR_LIMIT_ADMITTED;
  limits->counts.exceeded += decision == MR_LIMIT_EXCEEDED;
  limits->counts.uncounted += decision == MR_LIMIT_UNCOUNTED;
}

/* Returns the Retry-After of a request that the limit refuses; each is one token later. */
static MrTime
S_next_promise (MrTime now, Balance *balance)
{
  MrTime interval = (MrTime) ((double) MR_SECOND / balance->limit.rate);
  MrTime next = MAX (balance->promised + interval, now);
  balance->promised = MIN (next, now + MR_LIMIT_RETRY_MAX);
  return balance->promised - now;
}

/* May call back into this module. */
static void
S_decide (MrLimits *limits, MrTime now, Waiting *waiting, MrLimitDecision decision)
{
  MrLimitBalances *balances = limits->balances;
  Balance *balance = waiting->balance;
  gpointer request = waiting->request;
  g_queue_unlink (&balance->waiting, &waiting->link);
  MrTime retry_after = 0;
  if (decision == MR_LIMIT_EXCEEDED)
    retry_after = S_next_promise (now, balance);
  else if (decision == MR_LIMIT_UNCOUNTED)
    retry_after = UNCOUNTED_RETRY_AFTER;
  S_count (limits, balance, decision);
  g_hash_table_remove (balances->by_request, request);
  g_free (waiting);
  if (request == balances->checked)
    {
      balances->checked = NULL;
      balances->decision = decision;
      balances->retry_after = retry_after;
    }
  else
    limits->host->decided (limits->host, request, decision, retry_after);
}

static void
S_decide_first (MrLimits *limits, MrTime now, Balance *balance, MrLimitDecision decision)
{
  S_decide (limits, now, balance->waiting.head->data, decision);
}

/* Only the requests that wait now: a callback can add others. */
static void
S_decide_all (MrLimits *limits, MrTime now, Balance *balance, MrLimitDecision decision)
{
  guint count = g_queue_get_length (&balance->waiting);
  for (guint i = 0; i < count && !g_queue_is_empty (&balance->waiting); i++)
    S_decide_first (limits, now, balance, decision);
}

/* Asking. */

static void
S_set_silent (MrTime now, Balance *balance)
{
  if (!balance->is_silent)
    balance->silent_since = now;
  balance->is_silent = TRUE;
}

/* TRUE if a counter is not likely to be found soon. */
static gboolean
S_counter_stays_unknown (MrTime now, Balance *balance)
{
  if (!balance->is_silent)
    return FALSE;
  /* Nobody has been asked for a while: what was known then is out of date. */
  if (now >= balance->asked_at + INTEREST_TIME)
    balance->silent_since = now;
  return now >= balance->silent_since + UNKNOWN_MAX;
}

/* The daemon that granted last; else the one that this daemon has voted for; else the next in the
 * order of election. */
static const MrLimitPeer *
S_choose_target (MrLimits *limits, MrTime now, Balance *balance)
{
  guint count = 0;
  const MrLimitPeer *peer =
      *balance->counter ? mr_limit_group_find (limits, balance->counter) : NULL;
  balance->asks_holder = FALSE;
  if (!peer && !balance->asked_holder)
    {
      peer = mr_limit_votes_holder (limits, now, balance->key);
      balance->asked_holder = TRUE;
      balance->asks_holder = peer && mr_limit_peer_is_present (limits, now, peer);
    }
  if (peer && mr_limit_peer_is_present (limits, now, peer))
    return peer;
  return mr_limit_group_elect (limits, now, balance->key, balance->rank, &count);
}

static void
S_set_timer (MrLimits *limits, MrTime now, Balance *balance)
{
  MrTime due = MR_NEVER;
  for (const GList *link = balance->waiting.head; link; link = link->next)
    due = MIN (due, ((const Waiting *) link->data)->deadline);
  if (balance->number != 0 || (balance->is_silent && now < balance->last_request + INTEREST_TIME))
    due = MIN (due, balance->asked_at + ASK_TIMEOUT);
  else if (balance->returned > 0)
    due = MIN (due, MAX (balance->asked_at, now) + RETURN_DELAY);
  if (balance->old + balance->fresh > 0)
    due = MIN (due, MAX (balance->rotate_at, now + MR_MS));
  mr_timers_set (limits->balances->timers, &balance->timer, due);
}

static void
S_ask (MrLimits *limits, MrTime now, Balance *balance)
{
  guint held = balance->old + balance->fresh;
  guint share = now >= balance->advance_after ? S_share (limits, now, balance) : 0;
  guint in_advance = 2 * held < share ? share - held : 0;
  const MrLimitPeer *target = S_choose_target (limits, now, balance);
  balance->asked_at = now;
  if (!target)
    {
      S_set_silent (now, balance);
      return;
    }
  balance->number = ++limits->number;
  balance->asked = g_queue_get_length (&balance->waiting);
  g_strlcpy (balance->target, target->name, sizeof balance->target);
  MrLimitMessage message = {
    .kind = MR_LIMIT_ASK,
    .number = balance->number,
    .wanted = balance->asked + in_advance,
    .in_advance = in_advance,
    .returned = balance->returned,
  };
  g_strlcpy (message.organisation, balance->key, sizeof message.organisation);
  balance->returned = 0;
  limits->counts.asks++;
  mr_limits_send (limits, balance->target, message);
}

/* The daemon asked last does not count, or is silent. */
static void
S_ask_next (MrLimits *limits, MrTime now, Balance *balance, gboolean was_silent)
{
  guint count = 0;
  mr_limit_group_elect (limits, now, balance->key, 0, &count);
  /* The holder may not be the daemon of this rank, which then has not been asked yet. */
  balance->rank = *balance->counter || balance->asks_holder ? balance->rank : balance->rank + 1;
  *balance->counter = '\0';
  balance->number = 0;
  if (was_silent)
    S_set_silent (now, balance);
  if (balance->rank >= MAX (count, 1))
    {
      balance->rank = 0;
      balance->asked_holder = FALSE;
      S_set_silent (now, balance);
    }
  else if (!was_silent || now < balance->last_request + INTEREST_TIME)
    S_ask (limits, now, balance);
}

static void
S_take_grant (MrLimits *limits, MrTime now, Balance *balance, const MrLimitMessage *message)
{
  guint left = message->granted;
  gboolean refused = message->granted < balance->asked;
  guint served = MIN (left, balance->asked);
  for (; served > 0 && !g_queue_is_empty (&balance->waiting); served--, left--)
    S_decide_first (limits, now, balance, MR_LIMIT_ADMITTED);
  balance->fresh += left;
  if (refused)
    {
      MrTime interval = (MrTime) ((double) MR_SECOND / balance->limit.rate);
      balance->refuse_until = now + REFUSE_TIME;
      balance->promised = MAX (balance->promised, now + message->wait_us - interval);
      S_decide_all (limits, now, balance, MR_LIMIT_EXCEEDED);
    }
  else if (left == 0)
    balance->advance_after = now + ADVANCE_PAUSE;
}

void
mr_limit_balances_on_grant (MrLimits *limits,
                            MrTime now,
                            const char *sender,
                            const MrLimitMessage *message)
{
  Balance *balance = g_hash_table_lookup (limits->balances->by_key, message->organisation);
  if (!balance || balance->number == 0 || message->number != balance->number ||
      now >= balance->asked_at + ASK_TIMEOUT)
    return;
  if (!message->was_counting)
    S_ask_next (limits, now, balance, FALSE);
  else
    {
      balance->number = 0;
      balance->rank = 0;
      balance->asked_holder = FALSE;
      balance->is_silent = FALSE;
      g_strlcpy (balance->counter, sender, sizeof balance->counter);
      S_take_grant (limits, now, balance, message);
      S_age_tokens (limits, now, balance);
      while (!g_queue_is_empty (&balance->waiting) && S_spend (balance))
        S_decide_first (limits, now, balance, MR_LIMIT_ADMITTED);
      if (!g_queue_is_empty (&balance->waiting) && balance->number == 0)
        S_ask (limits, now, balance);
    }
  S_set_timer (limits, now, balance);
}

/* Requests. */

static void
S_refill (MrLimits *limits, MrTime now, Balance *balance)
{
  guint held = balance->old + balance->fresh;
  if (balance->number == 0 && now >= balance->advance_after && now >= balance->refuse_until &&
      2 * held < S_share (limits, now, balance))
    S_ask (limits, now, balance);
}

static MrLimitDecision
S_wait (MrLimits *limits, MrTime now, Balance *balance, MrTime max_wait, gpointer request)
{
  MrLimitBalances *balances = limits->balances;
  Waiting *waiting = g_new0 (Waiting, 1);
  *waiting = (Waiting){ .balance = balance, .request = request, .deadline = now + max_wait };
  waiting->link.data = waiting;
  g_queue_push_tail_link (&balance->waiting, &waiting->link);
  g_hash_table_insert (balances->by_request, request, waiting);
  gpointer checked = balances->checked;
  balances->checked = request;
  if (balance->number == 0)
    S_ask (limits, now, balance);
  /* Decides at once if this daemon counts the organisation. */
  mr_limits_deliver (limits, now);
  gboolean waits = balances->checked == request;
  balances->checked = checked;
  return waits ? MR_LIMIT_WAITING : balances->decision;
}

MrLimitDecision
mr_limit_balances_check (MrLimits *limits,
                         MrTime now,
                         const MrLimitSubject *subject,
                         MrTime max_wait,
                         gpointer request,
                         MrTime *retry_after)
{
  Balance *balance = S_add_balance (limits, now, subject);
  MrLimitDecision decision = MR_LIMIT_WAITING;
  balance->last_request = now;
  *retry_after = 0;
  S_age_tokens (limits, now, balance);
  if (now < subject->binding_from || (g_queue_is_empty (&balance->waiting) && S_spend (balance)))
    decision = MR_LIMIT_ADMITTED;
  else if (now < balance->refuse_until)
    {
      decision = MR_LIMIT_EXCEEDED;
      *retry_after = S_next_promise (now, balance);
    }
  else if (S_counter_stays_unknown (now, balance) ||
           g_queue_get_length (&balance->waiting) >= WAITING_MAX)
    {
      decision = MR_LIMIT_UNCOUNTED;
      *retry_after = UNCOUNTED_RETRY_AFTER;
      if (balance->number == 0 && now >= balance->asked_at + ASK_TIMEOUT)
        S_ask (limits, now, balance);
    }
  if (decision != MR_LIMIT_WAITING)
    S_count (limits, balance, decision);
  else
    {
      decision = S_wait (limits, now, balance, max_wait, request);
      *retry_after = decision == MR_LIMIT_WAITING ? 0 : limits->balances->retry_after;
    }
  if (decision == MR_LIMIT_ADMITTED && now >= subject->binding_from)
    S_refill (limits, now, balance);
  S_set_timer (limits, now, balance);
  return decision;
}

void
mr_limit_balances_cancel (MrLimits *limits, gpointer request)
{
  Waiting *waiting = g_hash_table_lookup (limits->balances->by_request, request);
  if (!waiting)
    return;
  g_hash_table_remove (limits->balances->by_request, request);
  g_queue_unlink (&waiting->balance->waiting, &waiting->link);
  g_free (waiting);
}

void
mr_limit_balances_give_back (MrLimits *limits, MrTime now, const MrLimitSubject *subject)
{
  Balance *balance = S_add_balance (limits, now, subject);
  if (now < subject->binding_from)
    return;
  balance->fresh++;
  S_age_tokens (limits, now, balance);
  S_set_timer (limits, now, balance);
}

/* Periodic work. */

/* Deadlines depend on the routes, so the first request need not be the first that is overdue. */
static Waiting *
S_find_overdue (MrTime now, const Balance *balance)
{
  for (GList *link = balance->waiting.head; link; link = link->next)
    if (((const Waiting *) link->data)->deadline <= now)
      return link->data;
  return NULL;
}

static void
S_on_timer (MrLimits *limits, MrTime now, Balance *balance)
{
  Waiting *overdue = NULL;
  S_age_tokens (limits, now, balance);
  /* Searched again each time: a callback can add and cancel requests. */
  while ((overdue = S_find_overdue (now, balance)))
    S_decide (limits, now, overdue, MR_LIMIT_UNCOUNTED);
  if (balance->number != 0 && now >= balance->asked_at + ASK_TIMEOUT)
    S_ask_next (limits, now, balance, TRUE);
  else if (balance->number == 0 && balance->is_silent &&
           now < balance->last_request + INTEREST_TIME && now >= balance->asked_at + ASK_TIMEOUT)
    S_ask (limits, now, balance);
  else if (balance->number == 0 && !balance->is_silent && balance->returned > 0 &&
           now >= balance->asked_at + RETURN_DELAY)
    {
      balance->advance_after = MAX (balance->advance_after, now + 1);
      S_ask (limits, now, balance);
    }
  S_set_timer (limits, now, balance);
}

MrTime
mr_limit_balances_tick (MrLimits *limits, MrTime now)
{
  MrTimer *timer = NULL;
  while ((timer = mr_timers_pop (limits->balances->timers, now)))
    S_on_timer (limits, now, timer->owner);
  return mr_timers_next_due (limits->balances->timers);
}

/* Frees the state of organisations without requests. */
void
mr_limit_balances_scan (MrLimits *limits, MrTime now)
{
  MrLimitBalances *balances = limits->balances;
  MrTime keep = 2 * limits->options.tolerance.window;
  for (guint i = 0; i < MR_LIMIT_SCAN_COUNT && balances->list->len > 0; i++)
    {
      balances->cursor = (balances->cursor + 1) % balances->list->len;
      Balance *balance = g_ptr_array_index (balances->list, balances->cursor);
      if (now > balance->last_request + keep && g_queue_is_empty (&balance->waiting) &&
          balance->old + balance->fresh == 0 && balance->number == 0)
        S_remove_balance (balances, balance);
    }
}

/* Requests that wait for a limit that has been removed are admitted. */
void
mr_limit_balances_apply_table (MrLimits *limits, MrTime now)
{
  for (guint i = limits->balances->list->len; i > 0; i--)
    {
      Balance *balance = g_ptr_array_index (limits->balances->list, i - 1);
      const MrLimitSubject *subject = mr_limit_table_find (limits->table, balance->key);
      if (subject)
        {
          balance->limit = subject->limit;
          S_age_tokens (limits, now, balance);
          continue;
        }
      S_decide_all (limits, now, balance, MR_LIMIT_ADMITTED);
      if (g_queue_is_empty (&balance->waiting))
        S_remove_balance (limits->balances, balance);
    }
}

void
mr_limit_balances_foreach (const MrLimits *limits,
                           void (*visit) (const MrLimitState *state, void *user),
                           void *user)
{
  for (guint i = 0; i < limits->balances->list->len; i++)
    {
      const Balance *balance = g_ptr_array_index (limits->balances->list, i);
      MrLimitState state = {
        .name = balance->name,
        .limit = balance->limit,
        .admitted = balance->admitted,
        .exceeded = balance->exceeded,
        .uncounted = balance->uncounted,
        .balance = balance->old + balance->fresh,
        .counter = *balance->counter ? balance->counter : NULL,
      };
      visit (&state, user);
    }
}
