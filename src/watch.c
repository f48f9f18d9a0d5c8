#include "watch.h"

static const MrTime GAP_FIRST = 200 * MR_MS;
/* Few daemons watch, so their retries cost the store little, and a change that
 * it accepts right after an outage has to be known within a few seconds. */
static const MrTime GAP_MAX = 1 * MR_SECOND;
/* Reads of those that do not watch. */
static const MrTime READ_GAP = 180 * MR_SECOND;
/* Members of a failure domain that can't reach the platform and that another watches for.
 * With more it is the platform that is down: the duty went on to each of 295 in turn, and
 * all of them asked until it was back, 3,800 calls in an outage of 6 s. */
static const guint PASSED_OVER_MOST = 2;
enum
{
  READERS_AT_ONCE = 8 /* that many read once in READ_GAP, however many there are */
};

guint
mr_watch_rank (const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  return own ? mr_roster_rank (roster, mr_roster_domain_index (roster, own->domain), self) : 0;
}

/* How many members of a failure domain are to watch. */
static guint
S_watchers_each (const MrRoster *roster)
{
  guint count = 0;
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    count += mr_roster_domain_platform_reachable (roster, i) > 0 ? 1 : 0;
  return (MR_RELAY_WATCHERS_MIN + MAX (count, 1) - 1) / MAX (count, 1);
}

/* Members of a failure domain that rank above one. */
typedef struct
{
  guint before;      /* alive, reach the platform */
  guint passed_over; /* alive, do not */
} Ahead;

/* Counts those of @domain that rank above @own, up to @most and the bound on those passed
 * over. */
static Ahead
S_ahead (const MrRoster *roster, guint domain, const MrMember *own, guint most)
{
  Ahead ahead = { 0 };
  guint rank = mr_roster_rank (roster, domain, own->name);
  for (guint i = 0; i < rank && ahead.before < most && ahead.passed_over <= PASSED_OVER_MOST; i++)
    {
      const MrMember *member = mr_roster_at_rank (roster, domain, i);
      if (member->state != MR_MEMBER_ALIVE)
        continue;
      if (member->platform_unreachable)
        ahead.passed_over++;
      else
        ahead.before++;
    }
  return ahead;
}

bool
mr_watch_is_relay_watcher (const MrRoster *roster, const char *self)
{
  const MrMember *own = mr_roster_find (roster, self);
  if (!own)
    return true;
  guint most = S_watchers_each (roster);
  Ahead ahead = S_ahead (roster, mr_roster_domain_index (roster, own->domain), own, most);
  return ahead.before < most && ahead.passed_over <= PASSED_OVER_MOST;
}

/* TRUE if a watcher of @domain that reaches the platform ranks above @score. */
static gboolean
S_has_watcher_above (const MrRoster *roster, guint domain, guint64 score)
{
  guint passed_over = 0;
  for (guint place = 0; passed_over <= PASSED_OVER_MOST; place++)
    {
      const MrMember *member = mr_roster_at_rank (roster, domain, place);
      if (!member || mr_roster_score (member->name) <= score)
        return FALSE;
      if (member->state != MR_MEMBER_ALIVE)
        continue;
      if (!member->platform_unreachable)
        return TRUE;
      passed_over++;
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
    if (S_has_watcher_above (roster, i, mr_roster_score (self)))
      return false;
  return true;
}

MrTime
mr_watch_read_interval (guint readers)
{
  return READ_GAP * MAX (1, readers / READERS_AT_ONCE);
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

bool
mr_watch_is_current (const MrWatch *watch, guint call)
{
  return watch->in_flight && watch->call_number == call;
}

void
mr_watch_ended (MrWatch *watch, MrTime now, gboolean success, gboolean watcher, double jitter)
{
  watch->in_flight = FALSE;
  watch->has_succeeded = watch->has_succeeded || success;
  if (watch->has_succeeded && !watcher)
    {
      /* Also after a failure: a whole fleet that asks a store which is down
       * again and again would keep it down. */
      MrTime gap = mr_watch_read_interval (watch->reader_count);
      watch->due = now + gap / 2 + (MrTime) (jitter * (double) gap);
      return;
    }
  if (success)
    {
      watch->retry_delay = 0;
      watch->due = now + watch->call_pause;
      return;
    }
  MrTime gap = watch->retry_delay * 2;
  watch->retry_delay = CLAMP (gap, GAP_FIRST, GAP_MAX);
  watch->due = now + watch->retry_delay / 2 + (MrTime) (jitter * (double) watch->retry_delay);
}
