#include "watch.h"

static const MrTime RETRY_DELAY_MIN = 200 * MR_MS;
/* Few daemons watch, so their retries cost the store little, and a change that it accepts
 * right after an outage has to be known within a few seconds. */
static const MrTime RETRY_DELAY_MAX = 1 * MR_SECOND;
/* Interval between reads of daemons that do not watch. */
static const MrTime READ_INTERVAL = 180 * MR_SECOND;
/* Members of a failure domain that cannot reach the platform and are skipped as watchers.  If
 * there are more, the platform itself is down.  Without this limit the role moved on to each of
 * 295 daemons in turn, and all of them called until it was back: 3,800 calls in an outage of
 * 6 s. */
static const guint SKIPPED_MAX = 2;

enum
{
  READERS_PER_INTERVAL = 8 /* daemons that read once per interval, regardless of fleet size */
};

guint
mr_watch_rank (const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  return own ? mr_roster_rank (roster, mr_roster_domain_index (roster, own->domain), self) : 0;
}

/* Returns the number of watchers for each failure domain. */
static guint
S_watchers_per_domain (const MrRoster *roster)
{
  guint count = 0;
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    count += mr_roster_domain_platform_reachable (roster, i) > 0 ? 1 : 0;
  return (MR_RELAY_WATCHERS_MIN + MAX (count, 1) - 1) / MAX (count, 1);
}

/* Members of a failure domain that rank above a given one. */
typedef struct
{
  guint reachable; /* alive and reach the platform */
  guint skipped;   /* alive but do not reach it */
} RankedAbove;

/* Counts the members of @domain that rank above @own, up to @limit and to the limit of skipped
 * members. */
static RankedAbove
S_count_above (const MrRoster *roster, guint domain, const MrMember *own, guint limit)
{
  RankedAbove above = { 0 };
  guint rank = mr_roster_rank (roster, domain, own->name);
  for (guint i = 0; i < rank && above.reachable < limit && above.skipped <= SKIPPED_MAX; i++)
    {
      const MrMember *member = mr_roster_at_rank (roster, domain, i);
      if (member->state != MR_MEMBER_ALIVE)
        continue;
      if (member->platform_unreachable)
        above.skipped++;
      else
        above.reachable++;
    }
  return above;
}

bool
mr_watch_is_relay_watcher (const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  if (!own)
    return true;
  guint limit = S_watchers_per_domain (roster);
  RankedAbove above =
      S_count_above (roster, mr_roster_domain_index (roster, own->domain), own, limit);
  return above.reachable < limit && above.skipped <= SKIPPED_MAX;
}

/* Returns TRUE if a member of @domain that reaches the platform ranks above @score, with at most
 * @skipped_max others before it that do not reach it. */
static gboolean
S_has_reachable_above (const MrRoster *roster, guint domain, guint64 score, guint skipped_max)
{
  guint skipped = 0;
  for (guint rank = 0; skipped <= skipped_max; rank++)
    {
      const MrMember *member = mr_roster_at_rank (roster, domain, rank);
      if (!member || mr_roster_score (member->name) <= score)
        return FALSE;
      if (member->state != MR_MEMBER_ALIVE)
        continue;
      if (!member->platform_unreachable)
        return TRUE;
      skipped++;
    }
  return FALSE;
}

bool
mr_watch_is_first_watcher (const MrRoster *roster, const char *self)
{
  if (!mr_roster_find (roster, self))
    return true;
  if (!mr_watch_is_relay_watcher (roster, self))
    return false;
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    if (S_has_reachable_above (roster, i, mr_roster_score (self), SKIPPED_MAX))
      return false;
  return true;
}

/* Returns TRUE if any failure domain has a member as described for S_has_reachable_above (). */
static bool
S_any_domain_has_reachable (const MrRoster *roster, guint skipped_max)
{
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    if (S_has_reachable_above (roster, i, 0, skipped_max))
      return true;
  return false;
}

bool
mr_watch_has_reachable_watcher (const MrRoster *roster)
{
  return S_any_domain_has_reachable (roster, SKIPPED_MAX);
}

bool
mr_watch_has_reachable_first_member (const MrRoster *roster)
{
  return S_any_domain_has_reachable (roster, 0);
}

MrTime
mr_watch_read_interval (guint readers)
{
  return READ_INTERVAL * MAX (1, readers / READERS_PER_INTERVAL);
}

guint
mr_watch_begin (MrWatch *watch)
{
  watch->in_flight = TRUE;
  return ++watch->call_number;
}

void
mr_watch_restart (MrWatch *watch)
{
  watch->in_flight = FALSE;
  watch->due = 0;
}

static void
S_set_page_after (MrWatch *watch, const GString *name)
{
  if (watch->page_after)
    g_string_free (watch->page_after, TRUE);
  watch->page_after = name ? g_string_new_len (name->str, (gssize) name->len) : NULL;
}

void
mr_watch_clear (MrWatch *watch)
{
  S_set_page_after (watch, NULL);
}

bool
mr_watch_next_page (MrWatch *watch, const GString *last_name)
{
  bool advances =
      last_name && !(watch->page_after && g_string_equal (watch->page_after, last_name));
  S_set_page_after (watch, advances ? last_name : NULL);
  watch->stalled = watch->stalled || !advances;
  return advances;
}

void
mr_watch_listing_ended (MrWatch *watch)
{
  S_set_page_after (watch, NULL);
  watch->stalled = FALSE;
}

void
mr_watch_start_over (MrWatch *watch, gboolean now_due)
{
  watch->in_flight = FALSE;
  watch->since = 0;
  watch->listing_revision = 0;
  mr_watch_listing_ended (watch);
  if (now_due)
    watch->due = 0;
}

bool
mr_watch_is_current (const MrWatch *watch, guint call)
{
  return watch->in_flight && watch->call_number == call;
}

void
mr_watch_set_watching (MrWatch *watch, MrTime now, gboolean watching)
{
  watch->retry_delay = 0;
  if (watching)
    watch->due = MIN (watch->due, now + watch->call_pause);
}

void
mr_watch_ended (MrWatch *watch, MrTime now, gboolean success, gboolean watcher, double jitter)
{
  watch->in_flight = FALSE;
  watch->has_succeeded = watch->has_succeeded || success;
  if (watch->has_succeeded && !watcher)
    {
      /* Also after a failure: retries of a whole fleet would keep an overloaded store down. */
      MrTime interval = mr_watch_read_interval (watch->reader_count);
      watch->retry_delay = 0;
      watch->due = now + interval / 2 + (MrTime) (jitter * (double) interval);
      return;
    }
  if (success)
    {
      /* The first pages of a listing that stalled are not yet a success. */
      if (!watch->stalled)
        watch->retry_delay = 0;
      watch->due = now + watch->call_pause;
      return;
    }
  MrTime delay = watch->retry_delay * 2;
  watch->retry_delay = CLAMP (delay, RETRY_DELAY_MIN, RETRY_DELAY_MAX);
  watch->due = now + watch->retry_delay / 2 + (MrTime) (jitter * (double) watch->retry_delay);
}
