#include "entry_plan.h"

/* Processor that the entries' load may take of what they have together.  The rest
 * is for bursts, for the loss of some of them, and for the 36 answers of a wide
 * search that come at once: of 27 and 65 VMs with an eighth of a core, entries
 * loaded to 0.4 earned 0.65 to 0.86 of hard days' worth, to 0.2 0.69 to 0.87. */
static const double LOAD_SHARE = 0.2;
/* Connections of each target that are kept for daemons that are no entries:
 * callers with an old answer, and the operators' tests, reach them too. */
static const double OTHERS_CONNECTIONS = 0.25;
/* More daemons than the plan names may take themselves for entries while views
 * differ or VMs are exchanged. */
static const double OVERLAP = 1.5;
/* A VM that can do less than the best by this factor is a smaller one. */
static const guint32 SMALLER = 2;
/* Of an address answer. */
static const MrTime KEEP = 1 * MR_SECOND;
static const MrTime KEEP_DOMAIN_LOSS = 3 * MR_SECOND;
/* Part of the allowance for daemons that are no entries. */
static const double OTHERS_ALLOWANCE = 0.15;

/* Failure domains in turn, so that the loss of one takes its share only. */
static int
S_by_score (gconstpointer a, gconstpointer b)
{
  guint64 x = mr_roster_score ((*(const MrMember *const *) a)->name);
  guint64 y = mr_roster_score ((*(const MrMember *const *) b)->name);
  return x > y ? -1 : x < y;
}

static void
S_choose (MrEntryPlan *plan, const MrRoster *roster, MrRosterGroup group)
{
  double load = (double) mr_roster_total_load (roster);
  double capacity = 0;
  guint32 best = 0;
  guint left = mr_roster_group_size (roster, group);
  g_autoptr (GPtrArray) row = g_ptr_array_new ();
  for (guint turn = 0; left > 0; turn++)
    {
      g_ptr_array_set_size (row, 0);
      mr_roster_add_nth_per_domain (roster, group, turn, row);
      g_ptr_array_sort (row, S_by_score);
      left -= row->len;
      for (guint i = 0; i < row->len; i++)
        {
          const MrMember *member = g_ptr_array_index (row, i);
          guint least = member->capacity * SMALLER < best ? MR_ENTRIES_MIN_REDUCED : MR_ENTRIES_MIN;
          if (plan->entries->len == MR_ENTRIES_MAX ||
              (plan->entries->len >= least && capacity * LOAD_SHARE >= load))
            return;
          best = MAX (best, member->capacity);
          g_ptr_array_add (plan->entries, (gpointer) member);
          capacity += member->capacity;
        }
    }
}

/* A small VM that starts and has heard of nobody.  Beside hundreds of its kind it would
 * name itself for half a second, and its callers would go on to it for as long as they
 * keep the answer, to searches of 0.25 s; without an answer they use the one that they
 * have, or ask another VM. */
static gboolean
S_is_lone_small (const MrRoster *roster)
{
  return !mr_roster_has_known_others (roster) &&
         mr_roster_at (roster, 0)->capacity < MR_SMALL_CAPACITY;
}

MrTime
mr_entry_address_ttl (guint domain_losses, MrTime most)
{
  MrTime keep = domain_losses > 0 ? KEEP_DOMAIN_LOSS : KEEP;
  return most > 0 ? MIN (keep, most) : keep;
}

MrEntryPlan
mr_entry_plan_compute (const MrRoster *roster, const char *self)
{
  MrEntryPlan plan = { .entries = g_ptr_array_new () };
  /* A member that misses heartbeats may be gone; one that is cut off costs a
   * caller a second, so it is named only if there is nobody else.  Where all start,
   * callers wait in front of one that does. */
  if (mr_roster_group_size (roster, MR_ROSTER_READY) > 0)
    S_choose (&plan, roster, MR_ROSTER_READY);
  else if (mr_roster_group_size (roster, MR_ROSTER_SUSPECT) > 0)
    S_choose (&plan, roster, MR_ROSTER_SUSPECT);
  else if (mr_roster_count (roster) > 0 && !S_is_lone_small (roster))
    S_choose (&plan, roster, MR_ROSTER_STARTING);
  guint usable = mr_roster_usable_count (roster);
  for (guint i = 0; i < plan.entries->len; i++)
    if (g_str_equal (((MrMember *) g_ptr_array_index (plan.entries, i))->name, self))
      plan.is_entry = TRUE;
  guint entries = MAX (plan.entries->len, 1);
  guint others = usable > entries ? usable - entries : 0;
  double kept = others > 0 ? OTHERS_CONNECTIONS : 0;
  double allowance = others > 0 ? OTHERS_ALLOWANCE : 0;
  plan.slot_share = plan.is_entry || others == 0 ? (1 - kept) / entries : kept / others;
  plan.connection_share = plan.slot_share / OVERLAP;
  plan.allowance_share =
      plan.is_entry || others == 0 ? (1 - allowance) / entries : allowance / others;
  return plan;
}

static void
S_add_in (GPtrArray *list, const MrMember *member, GHashTable *regions)
{
  if (list->len < MR_ENTRIES_MAX && g_hash_table_contains (regions, member->region))
    g_ptr_array_add (list, (gpointer) member);
}

GPtrArray *
mr_entry_plan_for_regions (const MrEntryPlan *plan, const MrRoster *roster, GHashTable *regions)
{
  GPtrArray *list = g_ptr_array_new ();
  for (guint i = 0; i < plan->entries->len; i++)
    S_add_in (list, g_ptr_array_index (plan->entries, i), regions);
  for (guint i = 0; list->len < MR_ENTRIES_MIN_REDUCED && i < mr_roster_count (roster); i++)
    {
      const MrMember *member = mr_roster_at (roster, i);
      if (member->state == MR_MEMBER_ALIVE && !member->busy &&
          !g_ptr_array_find (list, member, NULL))
        S_add_in (list, member, regions);
    }
  if (list->len == 0)
    g_ptr_array_extend (list, plan->entries, NULL, NULL);
  return list;
}

void
mr_entry_plan_clear (MrEntryPlan *plan)
{
  g_clear_pointer (&plan->entries, g_ptr_array_unref);
}
