#include "cold_share.h"

#include "safeguard.h"

/* A daemon takes its share only after it has been an entry for this long.  By then a daemon
 * that was an entry before it and has been partitioned has detected the loss of its peers. */
static const MrTime ENTRY_SETTLE_TIME = 4 * MR_SECOND;
/* A lost member still counts as a member of its domain for this long. */
static const MrTime LOST_MEMBER_KEEP_TIME = 60 * MR_SECOND;
/* Divides the rate limit, because the daemons' views of the entries may differ by one daemon. */
static const double SAFETY_MARGIN = 1.5;

typedef struct
{
  char domain[MR_NAME_MAX + 1];
  MrTime lost_at;
} LostMember;

struct _MrColdShare
{
  char *domain;
  guint min_domains;
  GHashTable *lost_members; /* suspect or dead: name -> LostMember */
  /* Since when this daemon has been an entry that sees a majority of its domain; 0: it is not. */
  MrTime entry_since;
  guint max_entries; /* most entries in this domain at once, since entry_since */
};

MrColdShare *
mr_cold_share_new (const char *domain, guint min_domains)
{
  MrColdShare *share = g_new0 (MrColdShare, 1);
  share->domain = g_strdup (domain);
  share->min_domains = min_domains;
  share->lost_members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return share;
}

void
mr_cold_share_free (MrColdShare *share)
{
  if (!share)
    return;
  g_hash_table_unref (share->lost_members);
  g_free (share->domain);
  g_free (share);
}

void
mr_cold_share_on_member (MrColdShare *share, MrTime now, const MrMember *member)
{
  if (member->state != MR_MEMBER_SUSPECT && member->state != MR_MEMBER_DEAD)
    {
      g_hash_table_remove (share->lost_members, member->name);
      return;
    }
  if (g_hash_table_contains (share->lost_members, member->name))
    return;
  LostMember *lost = g_new0 (LostMember, 1);
  lost->lost_at = now;
  g_strlcpy (lost->domain, member->domain, sizeof lost->domain);
  g_hash_table_insert (share->lost_members, g_strdup (member->name), lost);
}

static void
S_expire_lost_members (MrColdShare *share, MrTime now)
{
  GHashTableIter iter;
  gpointer lost = NULL;
  g_hash_table_iter_init (&iter, share->lost_members);
  while (g_hash_table_iter_next (&iter, NULL, &lost))
    if (now - ((LostMember *) lost)->lost_at > LOST_MEMBER_KEEP_TIME)
      g_hash_table_iter_remove (&iter);
}

/* Returns the number of known failure domains; in @own_members, the daemons of this domain,
 * lost ones included. */
static guint
S_count_domains (const MrColdShare *share, const MrRoster *roster, guint *own_members)
{
  g_autoptr (GHashTable) domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer item = NULL;
  *own_members = mr_roster_domain_alive (roster, mr_roster_domain_index (roster, share->domain));
  g_hash_table_add (domains, share->domain);
  for (guint i = 0; i < mr_roster_domain_count (roster); i++)
    if (mr_roster_domain_alive (roster, i) > 0)
      g_hash_table_add (domains, (gpointer) mr_roster_domain_name (roster, i));
  g_hash_table_iter_init (&iter, share->lost_members);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      LostMember *lost = item;
      g_hash_table_add (domains, lost->domain);
      *own_members += g_str_equal (lost->domain, share->domain) ? 1 : 0;
    }
  return MAX (g_hash_table_size (domains), share->min_domains);
}

static guint
S_count_entries (const MrColdShare *share, const MrEntryPlan *plan)
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
  guint own_members = 0;
  S_expire_lost_members (share, now);
  guint domains = S_count_domains (share, roster, &own_members);
  guint alive = mr_roster_domain_alive (roster, mr_roster_domain_index (roster, share->domain));
  gboolean has_majority = 2 * alive > own_members && mr_roster_has_known_others (roster);
  if (!MR_SAFEGUARD (MR_GUARD_COLD_SHARE))
    return plan->is_entry ? 1.0 / MAX (plan->entries->len, 1) : 0;
  if (!has_majority || !plan->is_entry)
    {
      share->entry_since = 0;
      return 0;
    }
  if (share->entry_since == 0)
    {
      share->entry_since = now;
      share->max_entries = 0;
    }
  share->max_entries = MAX (share->max_entries, S_count_entries (share, plan));
  if (now - share->entry_since < ENTRY_SETTLE_TIME)
    return 0;
  return 1.0 / (domains * MAX (share->max_entries, 1));
}

guint
mr_cold_share_permits (double share, double max_rate)
{
  return (guint) CLAMP (share * max_rate / SAFETY_MARGIN, 0, MR_COLD_PERMITS_MAX);
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
