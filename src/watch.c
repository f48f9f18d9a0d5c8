#include "watch.h"

#include <xxhash.h>

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

static guint64
S_score (const MrMember *member)
{
  return XXH64 (member->name, strlen (member->name), 0);
}

guint
mr_watch_rank (const MrMemberList *members, const char *self)
{
  const MrMember *own = mr_member_list_find (members, self);
  if (!own)
    return 0;
  guint rank = 0;
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      if (member != own && mr_member_usable (member) && g_str_equal (member->domain, own->domain) &&
          S_score (member) > S_score (own))
        rank++;
    }
  return rank;
}

static gboolean
S_can_watch (const MrMember *member)
{
  return member->state == MR_MEMBER_ALIVE && !member->cut_off;
}

bool
mr_watch_relay (const MrMemberList *members, const char *self)
{
  const MrMember *own = mr_member_list_find (members, self);
  if (!own)
    return true;
  g_autoptr (GHashTable) domains = g_hash_table_new (g_str_hash, g_str_equal);
  guint before = 0;
  guint passed_over = 0;
  g_hash_table_add (domains, (gpointer) own->domain);
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      gboolean goes_before =
          g_str_equal (member->domain, own->domain) && S_score (member) > S_score (own);
      if (member == own || member->state != MR_MEMBER_ALIVE)
        continue;
      if (member->cut_off)
        {
          passed_over += goes_before ? 1 : 0;
          continue;
        }
      g_hash_table_add (domains, (gpointer) member->domain);
      before += goes_before ? 1 : 0;
    }
  guint count = g_hash_table_size (domains);
  guint most = (MR_RELAY_WATCHERS + count - 1) / count;
  return before < most && passed_over <= PASSED_OVER_MOST;
}

bool
mr_watch_first (const MrMemberList *members, const char *self)
{
  const MrMember *own = mr_member_list_find (members, self);
  if (!own)
    return true;
  if (!mr_watch_relay (members, self))
    return false;
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      if (S_can_watch (member) && S_score (member) > S_score (own) &&
          mr_watch_relay (members, member->name))
        return false;
    }
  return true;
}

MrTime
mr_watch_read_gap (guint readers)
{
  return READ_GAP * MAX (1, readers / READERS_AT_ONCE);
}

guint
mr_watch_begin (MrWatch *watch)
{
  watch->busy = TRUE;
  return ++watch->calls;
}

void
mr_watch_renew (MrWatch *watch)
{
  watch->busy = FALSE;
  watch->due = 0;
}

bool
mr_watch_is_current (const MrWatch *watch, guint call)
{
  return watch->busy && watch->calls == call;
}

void
mr_watch_ended (MrWatch *watch, MrTime now, gboolean success, gboolean watcher, double jitter)
{
  watch->busy = FALSE;
  watch->done = watch->done || success;
  if (watch->done && !watcher)
    {
      /* Also after a failure: a whole fleet that asks a store which is down
       * again and again would keep it down. */
      MrTime gap = mr_watch_read_gap (watch->readers);
      watch->due = now + gap / 2 + (MrTime) (jitter * (double) gap);
      return;
    }
  if (success)
    {
      watch->gap = 0;
      watch->due = now + watch->pause;
      return;
    }
  MrTime gap = watch->gap * 2;
  watch->gap = CLAMP (gap, GAP_FIRST, GAP_MAX);
  watch->due = now + watch->gap / 2 + (MrTime) (jitter * (double) watch->gap);
}
