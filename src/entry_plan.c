#include "entry_plan.h"

/* Load of the fleet as a share of the entries' total capacity, above which more entries are added.
 * The rest is reserved for bursts, for the loss of entries, and for the 36 answers of a wide
 * search, which arrive at once.  With 27 and 65 VMs of an eighth of a core, entries at a load of
 * 0.4 earned 0.65 to 0.86 of the total value of the requests on days with many faults; at a load of
 * 0.2 they earned 0.69 to 0.87. */
static const double MAX_LOAD_SHARE = 0.2;
/* Share of each target's connections and slots that is reserved for the daemons that are not
 * entries: callers with an old answer, and operators' tests, still send requests to them. */
static const double NON_ENTRY_TARGET_SHARE = 0.25;
/* While views of the members differ or VMs are being replaced, more daemons than the plan names may
 * consider themselves entries; connection shares are divided by this factor. */
static const double OVERLAP_FACTOR = 1.5;
/* A VM counts as small if the largest entry has more than this multiple of its capacity. */
static const guint32 SMALLER_VM_FACTOR = 2;
/* TTL of an answer with addresses. */
static const MrTime ADDRESS_TTL = 1 * MR_SECOND;
static const MrTime ADDRESS_TTL_DOMAIN_LOSS = 3 * MR_SECOND;
/* Share of the fleet's allowance of hedges and retries for the daemons that are not entries. */
static const double NON_ENTRY_ALLOWANCE_SHARE = 0.15;

static int
S_by_score (gconstpointer a, gconstpointer b)
{
  guint64 a_score = mr_roster_score ((*(const MrMember *const *) a)->name);
  guint64 b_score = mr_roster_score ((*(const MrMember *const *) b)->name);
  return a_score > b_score ? -1 : a_score < b_score;
}

/* Takes members from all failure domains in turn, so that the loss of one domain only loses its
 * share of the entries. */
static void
S_choose_entries (MrEntryPlan *plan, const MrRoster *roster, MrRosterGroup group)
{
  double load = (double) mr_roster_total_load (roster);
  double capacity = 0;
  guint32 max_capacity = 0;
  guint remaining = mr_roster_group_size (roster, group);
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  for (guint round = 0; remaining > 0; round++)
    {
      g_ptr_array_set_size (candidates, 0);
      mr_roster_add_nth_per_domain (roster, group, round, candidates);
      g_ptr_array_sort (candidates, S_by_score);
      remaining -= candidates->len;
      for (guint i = 0; i < candidates->len; i++)
        {
          const MrMember *member = g_ptr_array_index (candidates, i);
          guint min_entries = member->capacity * SMALLER_VM_FACTOR < max_capacity
                                  ? MR_ENTRIES_MIN_REDUCED
                                  : MR_ENTRIES_MIN;
          if (plan->entries->len == MR_ENTRIES_MAX ||
              (plan->entries->len >= min_entries && capacity * MAX_LOAD_SHARE >= load))
            return;
          max_capacity = MAX (max_capacity, member->capacity);
          g_ptr_array_add (plan->entries, (gpointer) member);
          capacity += member->capacity;
        }
    }
}

/* TRUE on a small VM that is starting and does not know any other member yet.  In a fleet of
 * hundreds of small VMs it would name itself as the only entry for half a second.  Callers would
 * send it all their requests until the answer expires, and their searches would take 0.25 s.
 * Without an answer they use their cached one or ask another VM. */
static gboolean
S_is_isolated_small_vm (const MrRoster *roster)
{
  return !mr_roster_has_known_others (roster) &&
         mr_roster_at (roster, 0)->capacity < MR_SMALL_CAPACITY;
}

MrTime
mr_entry_address_ttl (guint domain_losses, MrTime max_ttl)
{
  MrTime ttl = domain_losses > 0 ? ADDRESS_TTL_DOMAIN_LOSS : ADDRESS_TTL;
  return max_ttl > 0 ? MIN (ttl, max_ttl) : ttl;
}

MrEntryPlan
mr_entry_plan_compute (const MrRoster *roster, const char *self)
{
  MrEntryPlan plan = { .entries = g_ptr_array_new () };
  /* A member that misses heartbeats may be dead, and one that is unreachable costs a caller a
   * second, so suspects are named only if no member is ready.  If all members are starting, callers
   * wait for one of these. */
  if (mr_roster_group_size (roster, MR_ROSTER_READY) > 0)
    S_choose_entries (&plan, roster, MR_ROSTER_READY);
  else if (mr_roster_group_size (roster, MR_ROSTER_SUSPECT) > 0)
    S_choose_entries (&plan, roster, MR_ROSTER_SUSPECT);
  else if (mr_roster_count (roster) > 0 && !S_is_isolated_small_vm (roster))
    S_choose_entries (&plan, roster, MR_ROSTER_STARTING);
  guint usable = mr_roster_usable_count (roster);
  for (guint i = 0; i < plan.entries->len; i++)
    if (g_str_equal (((MrMember *) g_ptr_array_index (plan.entries, i))->name, self))
      plan.is_entry = TRUE;
  guint entries = MAX (plan.entries->len, 1);
  guint non_entries = usable > entries ? usable - entries : 0;
  double non_entry_share = non_entries > 0 ? NON_ENTRY_TARGET_SHARE : 0;
  double non_entry_allowance = non_entries > 0 ? NON_ENTRY_ALLOWANCE_SHARE : 0;
  plan.slot_share = plan.is_entry || non_entries == 0 ? (1 - non_entry_share) / entries
                                                      : non_entry_share / non_entries;
  plan.connection_share = plan.slot_share / OVERLAP_FACTOR;
  plan.allowance_share = plan.is_entry || non_entries == 0 ? (1 - non_entry_allowance) / entries
                                                           : non_entry_allowance / non_entries;
  return plan;
}

static void
S_add_if_in_regions (GPtrArray *chosen, const MrMember *member, GHashTable *regions)
{
  if (chosen->len < MR_ENTRIES_MAX && g_hash_table_contains (regions, member->region))
    g_ptr_array_add (chosen, (gpointer) member);
}

GPtrArray *
mr_entry_plan_for_regions (const MrEntryPlan *plan, const MrRoster *roster, GHashTable *regions)
{
  GPtrArray *chosen = g_ptr_array_new ();
  for (guint i = 0; i < plan->entries->len; i++)
    S_add_if_in_regions (chosen, g_ptr_array_index (plan->entries, i), regions);
  for (guint i = 0; chosen->len < MR_ENTRIES_MIN_REDUCED && i < mr_roster_count (roster); i++)
    {
      const MrMember *member = mr_roster_at (roster, i);
      if (member->state == MR_MEMBER_ALIVE && !member->busy &&
          !g_ptr_array_find (chosen, member, NULL))
        S_add_if_in_regions (chosen, member, regions);
    }
  if (chosen->len == 0)
    g_ptr_array_extend (chosen, plan->entries, NULL, NULL);
  return chosen;
}

void
mr_entry_plan_clear (MrEntryPlan *plan)
{
  g_clear_pointer (&plan->entries, g_ptr_array_unref);
}
