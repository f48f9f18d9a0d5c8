#include "roster.h"

#include <xxhash.h>

typedef struct _Domain Domain;

typedef struct
{
  MrMember member;
  guint64 score;
  Domain *domain;
  guint all_index;               /* in MrRoster.all */
  GSequenceIter *rank_position;  /* NULL: not usable */
  GSequenceIter *group_position; /* NULL: in no group */
  MrRosterGroup group;
} Entry;

struct _Domain
{
  char *name;
  guint alive;
  guint platform_reachable;
  GSequence *by_score; /* Entry; usable members only */
  GSequence *groups[MR_ROSTER_GROUP_COUNT];
};

struct _MrRoster
{
  GHashTable *entries; /* name -> Entry */
  GPtrArray *all;      /* Entry, borrowed */
  GPtrArray *domains;
  guint added_count; /* members ever added */
  guint usable_count;
  guint64 total_load;
  guint group_sizes[MR_ROSTER_GROUP_COUNT];
  guint64 work_count;
};

guint64
mr_roster_score (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

static int
S_compare_scores (gconstpointer a, gconstpointer b, gpointer user)
{
  const Entry *x = a;
  const Entry *y = b;
  MrRoster *roster = user;
  roster->work_count++;
  return x->score > y->score ? -1 : x->score < y->score;
}

static int
S_compare_fitness (gconstpointer a, gconstpointer b, gpointer user)
{
  guint x = g_bit_storage (((const Entry *) a)->member.capacity);
  guint y = g_bit_storage (((const Entry *) b)->member.capacity);
  if (x != y)
    {
      ((MrRoster *) user)->work_count++;
      return x > y ? -1 : 1;
    }
  return S_compare_scores (a, b, user);
}

static void
S_domain_free (gpointer data)
{
  Domain *domain = data;
  for (int group = 0; group < MR_ROSTER_GROUP_COUNT; group++)
    g_sequence_free (domain->groups[group]);
  g_sequence_free (domain->by_score);
  g_free (domain->name);
  g_free (domain);
}

MrRoster *
mr_roster_new (void)
{
  MrRoster *roster = g_new0 (MrRoster, 1);
  roster->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  roster->all = g_ptr_array_new ();
  roster->domains = g_ptr_array_new_with_free_func (S_domain_free);
  return roster;
}

void
mr_roster_free (MrRoster *roster)
{
  if (!roster)
    return;
  g_ptr_array_unref (roster->domains);
  g_ptr_array_unref (roster->all);
  g_hash_table_unref (roster->entries);
  g_free (roster);
}

static Domain *
S_domain_at (const MrRoster *roster, guint domain)
{
  return domain < roster->domains->len ? g_ptr_array_index (roster->domains, domain) : NULL;
}

guint
mr_roster_domain_index (const MrRoster *roster, const char *name)
{
  guint i = 0;
  while (i < roster->domains->len && !g_str_equal (S_domain_at (roster, i)->name, name))
    i++;
  return i;
}

static Domain *
S_get_domain (MrRoster *roster, const char *name)
{
  Domain *domain = S_domain_at (roster, mr_roster_domain_index (roster, name));
  if (domain)
    return domain;
  domain = g_new0 (Domain, 1);
  domain->name = g_strdup (name);
  domain->by_score = g_sequence_new (NULL);
  for (int group = 0; group < MR_ROSTER_GROUP_COUNT; group++)
    domain->groups[group] = g_sequence_new (NULL);
  g_ptr_array_add (roster->domains, domain);
  return domain;
}

static gboolean
S_reaches_platform (const MrMember *member)
{
  return member->state == MR_MEMBER_ALIVE && !member->platform_unreachable;
}

/* Returns FALSE if the member is in no group. */
static gboolean
S_group_of (const MrMember *member, MrRosterGroup *group)
{
  if (member->state == MR_MEMBER_ALIVE)
    *group = member->busy ? MR_ROSTER_STARTING : MR_ROSTER_READY;
  else if (member->state == MR_MEMBER_SUSPECT && !member->busy)
    *group = MR_ROSTER_SUSPECT;
  else
    return FALSE;
  return TRUE;
}

/* Removes @entry from the sorted sequences; must precede a change of the fields that they are
 * sorted by. */
static void
S_unlink (MrRoster *roster, Entry *entry)
{
  Domain *domain = entry->domain;
  domain->alive -= entry->member.state == MR_MEMBER_ALIVE;
  domain->platform_reachable -= S_reaches_platform (&entry->member);
  if (entry->rank_position)
    {
      g_sequence_remove (entry->rank_position);
      entry->rank_position = NULL;
      roster->usable_count--;
      roster->total_load -= entry->member.load;
    }
  if (entry->group_position)
    {
      g_sequence_remove (entry->group_position);
      entry->group_position = NULL;
      roster->group_sizes[entry->group]--;
    }
}

static void
S_link (MrRoster *roster, Entry *entry)
{
  const MrMember *member = &entry->member;
  Domain *domain = S_get_domain (roster, member->domain);
  entry->domain = domain;
  domain->alive += member->state == MR_MEMBER_ALIVE;
  domain->platform_reachable += S_reaches_platform (member);
  if (mr_member_usable (member))
    {
      entry->rank_position =
          g_sequence_insert_sorted (domain->by_score, entry, S_compare_scores, roster);
      roster->usable_count++;
      roster->total_load += member->load;
    }
  if (S_group_of (member, &entry->group))
    {
      entry->group_position =
          g_sequence_insert_sorted (domain->groups[entry->group], entry, S_compare_fitness, roster);
      roster->group_sizes[entry->group]++;
    }
}

static void
S_remove (MrRoster *roster, Entry *entry)
{
  S_unlink (roster, entry);
  Entry *last = g_ptr_array_index (roster->all, roster->all->len - 1);
  last->all_index = entry->all_index;
  g_ptr_array_remove_index_fast (roster->all, entry->all_index);
  g_hash_table_remove (roster->entries, entry->member.name);
}

void
mr_roster_put (MrRoster *roster, const MrMember *member)
{
  Entry *entry = g_hash_table_lookup (roster->entries, member->name);
  roster->work_count++;
  roster->added_count += entry ? 0 : 1;
  if (member->state >= MR_MEMBER_LEFT)
    {
      if (entry)
        S_remove (roster, entry);
      return;
    }
  if (entry)
    {
      S_unlink (roster, entry);
      entry->member = *member;
    }
  else
    {
      entry = g_new0 (Entry, 1);
      entry->member = *member;
      entry->score = mr_roster_score (member->name);
      entry->all_index = roster->all->len;
      g_ptr_array_add (roster->all, entry);
      g_hash_table_insert (roster->entries, entry->member.name, entry);
    }
  S_link (roster, entry);
}

const MrMember *
mr_roster_find (const MrRoster *roster, const char *name)
{
  const Entry *entry = g_hash_table_lookup (roster->entries, name);
  return entry ? &entry->member : NULL;
}

guint
mr_roster_count (const MrRoster *roster)
{
  return roster->all->len;
}

gboolean
mr_roster_has_known_others (const MrRoster *roster)
{
  return roster->added_count > 1;
}

const MrMember *
mr_roster_at (const MrRoster *roster, guint index)
{
  return &((const Entry *) g_ptr_array_index (roster->all, index))->member;
}

guint
mr_roster_usable_count (const MrRoster *roster)
{
  return roster->usable_count;
}

guint64
mr_roster_total_load (const MrRoster *roster)
{
  return roster->total_load;
}

guint
mr_roster_group_size (const MrRoster *roster, MrRosterGroup group)
{
  return roster->group_sizes[group];
}

static const Entry *
S_nth (const MrRoster *roster, GSequence *order, guint position)
{
  ((MrRoster *) roster)->work_count++;
  GSequenceIter *at = g_sequence_get_iter_at_pos (order, (int) position);
  return g_sequence_iter_is_end (at) ? NULL : g_sequence_get (at);
}

void
mr_roster_add_nth_per_domain (const MrRoster *roster,
                              MrRosterGroup group,
                              guint position,
                              GPtrArray *members)
{
  for (guint i = 0; i < roster->domains->len; i++)
    {
      const Entry *entry = S_nth (roster, S_domain_at (roster, i)->groups[group], position);
      if (entry)
        g_ptr_array_add (members, (gpointer) &entry->member);
    }
}

guint
mr_roster_domain_count (const MrRoster *roster)
{
  return roster->domains->len;
}

const char *
mr_roster_domain_name (const MrRoster *roster, guint domain)
{
  return S_domain_at (roster, domain)->name;
}

guint
mr_roster_domain_alive (const MrRoster *roster, guint domain)
{
  const Domain *found = S_domain_at (roster, domain);
  return found ? found->alive : 0;
}

guint
mr_roster_domain_platform_reachable (const MrRoster *roster, guint domain)
{
  const Domain *found = S_domain_at (roster, domain);
  return found ? found->platform_reachable : 0;
}

const MrMember *
mr_roster_at_rank (const MrRoster *roster, guint domain, guint rank)
{
  const Domain *found = S_domain_at (roster, domain);
  const Entry *entry = found ? S_nth (roster, found->by_score, rank) : NULL;
  return entry ? &entry->member : NULL;
}

guint
mr_roster_rank (const MrRoster *roster, guint domain, const char *name)
{
  const Domain *found = S_domain_at (roster, domain);
  Entry key = { .score = mr_roster_score (name) };
  const Entry *known = g_hash_table_lookup (roster->entries, name);
  if (!found)
    return 0;
  if (known && known->rank_position && known->domain == found)
    return (guint) g_sequence_iter_get_position (known->rank_position);
  GSequenceIter *at =
      g_sequence_search (found->by_score, &key, S_compare_scores, (gpointer) roster);
  return (guint) g_sequence_iter_get_position (at);
}

guint64
mr_roster_work_count (const MrRoster *roster)
{
  return roster->work_count;
}
