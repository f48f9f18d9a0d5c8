#include "cold_share.h"

#include "safeguard.h"

/* A daemon takes its part only after it has been named to callers for this long: one that was
 * named before it and is cut off has seen its peers fall silent by then. */
static const MrTime SETTLE = 4 * MR_SECOND;
/* Members count towards the majority for this long after they were seen alive. */
static const MrTime REMEMBER = 60 * MR_SECOND;
/* Kept back of what targets bear: views of who is named may differ by a daemon. */
static const double MARGIN = 1.5;

/* A member that fell silent. */
typedef struct
{
  char domain[MR_NAME_MAX + 1];
  MrTime seen; /* alive, last */
} Lost;

struct _MrColdShare
{
  char *domain;
  guint domains;
  GHashTable *lost; /* member -> Lost */
  MrTime settled;   /* since when this daemon has been named, and sees most of its domain; 0: not */
  guint most_named; /* in this domain at once, since then */
};

MrColdShare *
mr_cold_share_new (const char *domain, guint domains)
{
  MrColdShare *share = g_new0 (MrColdShare, 1);
  share->domain = g_strdup (domain);
  share->domains = domains;
  share->lost = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return share;
}

void
mr_cold_share_free (MrColdShare *share)
{
  if (!share)
    return;
  g_hash_table_unref (share->lost);
  g_free (share->domain);
  g_free (share);
}

void
mr_cold_share_on_member (MrColdShare *share, MrTime now, const MrMember *member)
{
  if (member->state != MR_MEMBER_SUSPECT && member->state != MR_MEMBER_DEAD)
    {
      g_hash_table_remove (share->lost, member->name);
      return;
    }
  if (g_hash_table_contains (share->lost, member->name))
    return;
  Lost *lost = g_new0 (Lost, 1);
  lost->seen = now;
  g_strlcpy (lost->domain, member->domain, sizeof lost->domain);
  g_hash_table_insert (share->lost, g_strdup (member->name), lost);
}

static void
S_forget_old (MrColdShare *share, MrTime now)
{
  GHashTableIter iter;
  gpointer lost = NULL;
  g_hash_table_iter_init (&iter, share->lost);
  while (g_hash_table_iter_next (&iter, NULL, &lost))
    if (now - ((Lost *) lost)->seen > REMEMBER)
      g_hash_table_iter_remove (&iter);
}

/* Failure domains that are known of; in @own, the daemons of this one. */
static guint
S_count_domains (const MrColdShare *share, const MrRoster *roster, guint *own)
{
  g_autoptr (GHashTable) domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer item = NULL;
  *own = mr_roster_domain_alive (roster, mr_roster_domain_index (roster, share->domain));
  g_hash_table_add (domains, share->domain);
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    if (mr_roster_domain_alive (roster, i) > 0)
      g_hash_table_add (domains, (gpointer) mr_roster_domain_name (roster, i));
  g_hash_table_iter_init (&iter, share->lost);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Lost *lost = item;
      g_hash_table_add (domains, lost->domain);
      *own += g_str_equal (lost->domain, share->domain) ? 1 : 0;
    }
  return MAX (g_hash_table_size (domains), share->domains);
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
                      const MrRoster *roster,
                      const MrEntryPlan *plan)
{
  guint own = 0;
  S_forget_old (share, now);
  guint domains = S_count_domains (share, roster, &own);
  guint alive = mr_roster_domain_alive (roster, mr_roster_domain_index (roster, share->domain));
  gboolean most = 2 * alive > own && mr_roster_has_known_others (roster);
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
mr_cold_window_add (MrColdWindow *window, MrTime now)
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
  return now - oldest >= MR_COLD_WINDOW;
}
