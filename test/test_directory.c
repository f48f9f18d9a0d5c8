/* Directory answers to callers on a virtual clock: which daemons they name, and how soon
 * daemons that no longer respond are left out. */

#include "entry_plan.h"
#include "fleet.h"
#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

enum
{
  DOMAINS = 3,
  SMALL = 6,
  MEDIUM = 73,
  LARGE = 295,
  HUGE = 810,
  COUNT_MAX = HUGE,
  CHECK_STRIDE = 5, /* one in this many daemons is checked at a time */
};

/* A daemon that has stopped may be named for at most this long. */
static const MrTime NAMED_MAX = 8 * MR_SECOND;
static const MrTime STEP = 500 * MR_MS;

typedef struct
{
  Fleet *fleet;
  guint checks;                 /* number of checks; each checks the next fifth of the daemons */
  MrTime stopped_at[COUNT_MAX]; /* when a daemon stopped; 0: it runs */
} Site;

static void
S_kill (Site *site, guint index)
{
  fleet_kill (site->fleet, index);
  site->stopped_at[index] = site->fleet->now;
}

/* Stores the fleet indices of the daemons that @node names; returns their count. */
static guint
S_named_daemons (const FleetNode *node, guint *indices)
{
  MrEntryPlan plan = mr_entry_plan_compute (node->roster, node->self.name);
  guint count = plan.entries->len;
  for (guint i = 0; i < count; i++)
    indices[i] = (guint) ((const MrMember *) g_ptr_array_index (plan.entries, i))->peer_port - 1;
  mr_entry_plan_clear (&plan);
  return count;
}

/* Counts the times that a running daemon names one that stopped more than NAMED_MAX ago. */
static guint
S_count_late_answers (Site *site)
{
  guint late = 0;
  for (guint i = 0; i < site->fleet->layout.count; i++)
    {
      const FleetNode *node = &site->fleet->nodes[i];
      guint indices[MR_ENTRIES_MAX];
      if (!node->membership)
        continue;
      site->stopped_at[i] = 0;
      if (i % CHECK_STRIDE != site->checks % CHECK_STRIDE)
        continue;
      guint count = S_named_daemons (node, indices);
      for (guint n = 0; n < count; n++)
        late += site->stopped_at[indices[n]] != 0 &&
                site->fleet->now - site->stopped_at[indices[n]] > NAMED_MAX;
    }
  site->checks++;
  return late;
}

static void
S_run (Site *site, MrTime duration, guint *late)
{
  for (MrTime end = site->fleet->now + duration; site->fleet->now < end;)
    {
      fleet_run (site->fleet, STEP);
      *late += S_count_late_answers (site);
    }
}

/* Returns the first daemon of domain @domain that daemon @observer names. */
static guint
S_first_named (const Site *site, guint observer, guint domain)
{
  guint indices[MR_ENTRIES_MAX];
  guint count = S_named_daemons (&site->fleet->nodes[observer], indices);
  for (guint n = 0; n < count; n++)
    if (fleet_domain (site->fleet, indices[n]) == domain)
      return indices[n];
  return indices[0];
}

static void
S_kill_named (Site *site, guint *late)
{
  (void) late;
  S_kill (site, S_first_named (site, 0, 1));
  S_kill (site, S_first_named (site, 0, 2));
}

static void
S_kill_during_cut (Site *site, guint *late)
{
  fleet_cut (site->fleet, 0, 1, TRUE);
  S_run (site, MR_SECOND, late);
  S_kill (site, S_first_named (site, 0, 1));
}

static void
S_kill_during_one_way_cut (Site *site, guint *late)
{
  fleet_cut_one_way (site->fleet, 1, 0, TRUE);
  S_run (site, 6 * MR_SECOND, late);
  S_kill (site, S_first_named (site, 2, 1));
}

static void
S_kill_twice (Site *site, guint *late)
{
  guint index = S_first_named (site, 0, 1);
  S_kill (site, index);
  fleet_start_at (site->fleet, index, site->fleet->now + 1500 * MR_MS);
  S_run (site, 3 * MR_SECOND, late);
  S_kill (site, index);
}

static void
S_kill_domain (Site *site, guint *late)
{
  (void) late;
  for (guint i = 0; i < site->fleet->layout.count; i++)
    if (fleet_domain (site->fleet, i) == 2)
      S_kill (site, i);
}

static void
S_kill_half (Site *site, guint *late)
{
  (void) late;
  for (guint i = 1; i < site->fleet->layout.count; i += 2)
    S_kill (site, i);
}

/* Guards against answers that send callers to daemons that have stopped. */
static void
test_stopped_daemons_are_not_named (void **state)
{
  static const struct
  {
    const char *name;
    void (*event) (Site *site, guint *late);
    guint largest; /* size of the largest fleet that the case runs with */
  } cases[] = {
    { "two killed", S_kill_named, MEDIUM },
    { "killed during a cut", S_kill_during_cut, MEDIUM },
    { "killed during a one-way cut", S_kill_during_one_way_cut, MEDIUM },
    { "killed, back, killed again", S_kill_twice, MEDIUM },
    { "a domain killed", S_kill_domain, LARGE },
    { "half killed", S_kill_half, MEDIUM },
  };
  static const guint counts[] = { SMALL, MEDIUM, LARGE };
  (void) state;
  for (gsize c = 0; c < G_N_ELEMENTS (counts); c++)
    for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
      {
        if (counts[c] > cases[i].largest)
          continue;
        const FleetLayout layout = { .count = counts[c],
                                     .domains = DOMAINS,
                                     .regions = 1,
                                     .seeds = 3,
                                     .large_vms_per_domain = counts[c] > SMALL ? 2 : 0 };
        g_autofree Site *site = g_new0 (Site, 1);
        guint late = 0;
        site->fleet = fleet_new (&layout);
        fleet_start_all (site->fleet, 300 * MR_MS, FALSE);
        S_run (site, 6 * MR_SECOND, &late);
        cases[i].event (site, &late);
        S_run (site, NAMED_MAX + 3 * MR_SECOND, &late);
        if (late > 0)
          print_message ("%s of %u: %u answers\n", cases[i].name, counts[c], late);
        assert_int_equal (late, 0);
        fleet_free (site->fleet);
      }
}

/* Guards against callers that have to ask repeatedly while all daemons near them are silent,
 * and against answers with a longer lifetime than the platform allows for. */
static void
test_address_ttl (void **state)
{
  static const struct
  {
    guint domain_losses;
    MrTime max_ttl;
    MrTime ttl;
  } cases[] = {
    { 0, 0, 1 * MR_SECOND },
    { 0, 5 * MR_SECOND, 1 * MR_SECOND },
    { 1, 5 * MR_SECOND, 3 * MR_SECOND },
    { 1, 0, 3 * MR_SECOND },
    { 2, 2 * MR_SECOND, 2 * MR_SECOND },
    { 0, 500 * MR_MS, 500 * MR_MS },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_int_equal (mr_entry_address_ttl (cases[i].domain_losses, cases[i].max_ttl),
                      cases[i].ttl);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_address_ttl),
    cmocka_unit_test (test_stopped_daemons_are_not_named),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
