#include "entry_plan.h"

#include <xxhash.h>

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

typedef struct
{
  const MrMember *member;
  guint turn; /* place within its failure domain */
  guint64 score;
} Candidate;

/* Best first within a failure domain: the larger VMs, in classes of a factor of
 * two, so that small differences don't decide; then by hash. */
static int
S_best_first (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;
  int domain = strcmp (x->member->domain, y->member->domain);
  guint x_class = g_bit_storage (x->member->capacity);
  guint y_class = g_bit_storage (y->member->capacity);
  if (domain != 0)
    return domain;
  if (x_class != y_class)
    return x_class > y_class ? -1 : 1;
  return x->score > y->score ? -1 : x->score < y->score;
}

/* Failure domains in turn, so that the loss of one takes its share only. */
static int
S_by_turn (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;
  if (x->turn != y->turn)
    return x->turn < y->turn ? -1 : 1;
  return x->score > y->score ? -1 : x->score < y->score;
}

static GArray *
S_candidates (const MrMemberList *members, MrMemberState state, gboolean busy)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (Candidate));
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      Candidate candidate = { .member = member,
                              .score = XXH64 (member->name, strlen (member->name), 0) };
      if (member->state == state && member->busy == busy)
        g_array_append_val (list, candidate);
    }
  g_array_sort (list, S_best_first);
  for (guint i = 1; i < list->len; i++)
    {
      Candidate *c = &g_array_index (list, Candidate, i);
      const Candidate *before = &g_array_index (list, Candidate, i - 1);
      if (g_str_equal (before->member->domain, c->member->domain))
        c->turn = before->turn + 1;
    }
  g_array_sort (list, S_by_turn);
  return list;
}

static void
S_choose (MrEntryPlan *plan, const MrMemberList *members, const GArray *candidates)
{
  double load = 0;
  double capacity = 0;
  guint32 best = 0;
  for (guint i = 0; i < members->count; i++)
    if (mr_member_usable (&members->members[i]))
      load += members->members[i].load;
  for (guint i = 0; i < candidates->len && plan->entries->len < MR_ENTRIES_MAX; i++)
    {
      const MrMember *member = g_array_index (candidates, Candidate, i).member;
      guint least = member->capacity * SMALLER < best ? MR_ENTRIES_FEW : MR_ENTRIES_MIN;
      if (plan->entries->len >= least && capacity * LOAD_SHARE >= load)
        break;
      best = MAX (best, member->capacity);
      g_ptr_array_add (plan->entries, (gpointer) member);
      capacity += member->capacity;
    }
}

/* A small VM that starts and has heard of nobody.  Beside hundreds of its kind it would
 * name itself for half a second, and its callers would go on to it for as long as they
 * keep the answer, to searches of 0.25 s; without an answer they use the one that they
 * have, or ask another VM. */
static gboolean
S_is_lone_small (const MrMemberList *members)
{
  return members->count == 1 && members->members[0].capacity < MR_SMALL_CAPACITY;
}

MrTime
mr_entry_keep (guint domain_losses, MrTime most)
{
  MrTime keep = domain_losses > 0 ? KEEP_DOMAIN_LOSS : KEEP;
  return most > 0 ? MIN (keep, most) : keep;
}

MrEntryPlan
mr_entry_plan (const MrMemberList *members, const char *self)
{
  MrEntryPlan plan = { .entries = g_ptr_array_new () };
  g_autoptr (GArray) alive = S_candidates (members, MR_MEMBER_ALIVE, FALSE);
  /* A member that misses heartbeats may be gone; one that is cut off costs a
   * caller a second, so it is named only if there is nobody else. */
  g_autoptr (GArray) doubtful = S_candidates (members, MR_MEMBER_SUSPECT, FALSE);
  /* Where all start, callers wait in front of one that does. */
  g_autoptr (GArray) starting = S_candidates (members, MR_MEMBER_ALIVE, TRUE);
  if (alive->len > 0)
    S_choose (&plan, members, alive);
  else if (doubtful->len > 0)
    S_choose (&plan, members, doubtful);
  else if (!S_is_lone_small (members))
    S_choose (&plan, members, starting);
  guint usable = 0;
  for (guint i = 0; i < members->count; i++)
    usable += mr_member_usable (&members->members[i]) ? 1 : 0;
  for (guint i = 0; i < plan.entries->len; i++)
    if (g_str_equal (((MrMember *) g_ptr_array_index (plan.entries, i))->name, self))
      plan.is_entry = TRUE;
  guint entries = MAX (plan.entries->len, 1);
  guint others = usable > entries ? usable - entries : 0;
  double kept = others > 0 ? OTHERS_CONNECTIONS : 0;
  double allowance = others > 0 ? OTHERS_ALLOWANCE : 0;
  plan.slots = plan.is_entry || others == 0 ? (1 - kept) / entries : kept / others;
  plan.connections = plan.slots / OVERLAP;
  plan.allowance = plan.is_entry || others == 0 ? (1 - allowance) / entries : allowance / others;
  return plan;
}

static void
S_add_in (GPtrArray *list, const MrMember *member, GHashTable *regions)
{
  if (list->len < MR_ENTRIES_MAX && g_hash_table_contains (regions, member->region))
    g_ptr_array_add (list, (gpointer) member);
}

GPtrArray *
mr_entry_plan_in (const MrEntryPlan *plan, const MrMemberList *members, GHashTable *regions)
{
  GPtrArray *list = g_ptr_array_new ();
  for (guint i = 0; i < plan->entries->len; i++)
    S_add_in (list, g_ptr_array_index (plan->entries, i), regions);
  for (guint i = 0; list->len < MR_ENTRIES_FEW && i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
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
