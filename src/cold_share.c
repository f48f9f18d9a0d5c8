#include "cold_share.h"

#include "safeguard.h"

/* A daemon takes its part only after it has been named to callers for this long: one that was
 * named before it and is cut off has seen its peers fall silent by then. */
static const MrTime SETTLE = 4 * MR_SECOND;
/* Members count towards the majority for this long after they were seen alive. */
static const MrTime REMEMBER = 60 * MR_SECOND;
/* Kept back of what targets bear: views of who is named may differ by a daemon. */
static const double MARGIN = 1.5;

typedef struct
{
  char domain[MR_NAME_MAX + 1];
  MrTime seen; /* alive, last */
} Seen;

struct _MrColdShare
{
  char *domain;
  guint domains;
  GHashTable *seen; /* member -> Seen */
  MrTime settled;   /* since when this daemon has been named, and sees most of its domain; 0: not */
  guint most_named; /* in this domain at once, since then */
};

MrColdShare *
mr_cold_share_new (const char *domain, guint domains)
{
  MrColdShare *share = g_new0 (MrColdShare, 1);
  share->domain = g_strdup (domain);
  share->domains = domains;
  share->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return share;
}

void
mr_cold_share_free (MrColdShare *share)
{
  if (!share)
    return;
  g_hash_table_unref (share->seen);
  g_free (share->domain);
  g_free (share);
}

static void
S_note_seen (MrColdShare *share, MrTime now, const MrMember *member)
{
  Seen *seen = g_hash_table_lookup (share->seen, member->name);
  if (member->state == MR_MEMBER_LEFT || member->state == MR_MEMBER_LEAVING)
    {
      g_hash_table_remove (share->seen, member->name);
      return;
    }
  if (!seen)
    {
      seen = g_new0 (Seen, 1);
      seen->seen = now;
      g_hash_table_insert (share->seen, g_strdup (member->name), seen);
    }
  if (member->state == MR_MEMBER_ALIVE)
    seen->seen = now;
  g_strlcpy (seen->domain, member->domain, sizeof seen->domain);
}

static void
S_forget_old (MrColdShare *share, MrTime now)
{
  GHashTableIter iter;
  gpointer seen = NULL;
  g_hash_table_iter_init (&iter, share->seen);
  while (g_hash_table_iter_next (&iter, NULL, &seen))
    if (now - ((Seen *) seen)->seen > REMEMBER)
      g_hash_table_iter_remove (&iter);
}

/* Failure domains that are known of; in @own, the daemons of this one. */
static guint
S_count_domains (const MrColdShare *share, guint *own)
{
  g_autoptr (GHashTable) domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer item = NULL;
  *own = 0;
  g_hash_table_add (domains, share->domain);
  g_hash_table_iter_init (&iter, share->seen);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Seen *seen = item;
      g_hash_table_add (domains, seen->domain);
      *own += g_str_equal (seen->domain, share->domain) ? 1 : 0;
    }
  return MAX (g_hash_table_size (domains), share->domains);
}

static guint
S_count_alive (const MrColdShare *share, const MrMemberList *members)
{
  guint count = 0;
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      count += member->state == MR_MEMBER_ALIVE && g_str_equal (member->domain, share->domain);
    }
  return count;
}

static guint
S_count_named (const MrColdShare *share, const MrEntryPlan *plan)
{
  guint count = 0;
  for (guint i = 0; plan->entries && i < plan->entries->len; i++)
    {
      const MrMember *member = g_ptr_array_index (plan->entries, i);
      count += g_str_equal (member->domain, share->domain);
    }
  return count;
}

double
mr_cold_share_update (MrColdShare *share,
                      MrTime now,
                      const MrMemberList *members,
                      const MrEntryPlan *plan)
{
  guint own = 0;
  for (guint i = 0; i < members->count; i++)
    S_note_seen (share, now, &members->members[i]);
  S_forget_old (share, now);
  guint domains = S_count_domains (share, &own);
  gboolean most = 2 * S_count_alive (share, members) > own && members->count > 1;
  if (!MR_SAFEGUARD (MR_GUARD_COLD_SHARE))
    return plan->is_entry ? 1.0 / MAX (plan->entries->len, 1) : 0;
  if (!most || !plan->is_entry)
    {
      share->settled = 0;
      return 0;
    }
  if (share->settled == 0)
    {
      share->settled = now;
      share->most_named = 0;
    }
  share->most_named = MAX (share->most_named, S_count_named (share, plan));
  if (now - share->settled < SETTLE)
    return 0;
  return 1.0 / (domains * MAX (share->most_named, 1));
}

guint
mr_cold_share_permits (double part, double bound)
{
  return (guint) CLAMP (part * bound / MARGIN, 0, MR_COLD_PERMITS_MAX);
}

void
mr_cold_window_note (MrColdWindow *window, MrTime now)
{
  window->sent[window->count++ % MR_COLD_PERMITS_MAX] = now;
}

gboolean
mr_cold_window_allows (const MrColdWindow *window, MrTime now, guint permits)
{
  if (permits == 0)
    return FALSE;
  if (window->count < permits)
    return TRUE;
  MrTime oldest = window->sent[(window->count - permits) % MR_COLD_PERMITS_MAX];
  return now - oldest >= MR_COLD_SPAN;
}
