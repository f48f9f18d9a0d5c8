/* What daemons of a large fleet tell each other: how much, how far, and how soon all
 * agree, on a virtual clock. */

#include "fleet.h"
#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  LARGE = 295,
  MIDDLE = 60,
  DOMAINS = 5,
  TARGETS = 200,
};

static const MrTime MOST = 120 * MR_SECOND;

static Fleet *
S_running (const FleetLayout *layout)
{
  Fleet *fleet = fleet_new (layout);
  for (guint t = 0; t < TARGETS; t++)
    fleet_write_target (fleet, t);
  fleet_start_all (fleet, 300 * MR_MS, FALSE);
  assert_true (fleet_run_until (fleet, fleet_converged, MOST) != MR_NEVER);
  fleet_run (fleet, 10 * MR_SECOND);
  return fleet;
}

static double
S_kb (guint64 bytes, guint count)
{
  return (double) bytes / 1000 / count;
}

/* Where nothing happens a heartbeat is as small as it can be, and nothing else is sent:
 * six news of members on each, long known to all, were 485 bytes and half of a calm
 * day's paid bytes. */
static void
test_calm (void **state)
{
  enum
  {
    SECONDS = 20,
    HEARTBEAT_MOST = 120, /* bytes */
  };
  (void) state;
  const FleetLayout layout = {
    .count = LARGE, .domains = DOMAINS, .seeds = 3, .large_vms_per_domain = 3
  };
  Fleet *fleet = S_running (&layout);
  fleet_clear_counts (fleet);
  fleet_run (fleet, SECONDS * MR_SECOND);
  guint64 messages = 0;
  for (int same = 0; same < 2; same++)
    {
      messages += fleet->messages[MR_TRAFFIC_HEARTBEAT][same];
      for (int kind = MR_TRAFFIC_HEARTBEAT + 1; kind < MR_TRAFFIC_KINDS; kind++)
        assert_int_equal (fleet->messages[kind][same], 0);
    }
  guint64 bytes = fleet_bytes (fleet, FALSE) + fleet_bytes (fleet, TRUE);
  print_message ("%.0f bytes a heartbeat, %.0f a second and VM, %.0f of them across domains\n",
                 (double) bytes / (double) messages, (double) bytes / LARGE / SECONDS,
                 (double) fleet_bytes (fleet, FALSE) / LARGE / SECONDS);
  assert_true (bytes <= messages * (guint64) HEARTBEAT_MOST);
  /* At most two links of four, in both directions, leave the domain. */
  assert_true (fleet->messages[MR_TRAFFIC_HEARTBEAT][0] <= messages / 2);
  fleet_free (fleet);
}

/* Targets that are exchanged by the hundred are read from the store in each failure
 * domain.  Told over all links, each body crossed domains 214 times at 295 VMs. */
static void
test_objects_cross_few_times (void **state)
{
  enum
  {
    CHANGES = 100,
    BODY = 330,
    CROSSINGS_MOST = 5, /* of each body */
  };
  (void) state;
  const FleetLayout layout = {
    .count = LARGE, .domains = DOMAINS, .seeds = 3, .large_vms_per_domain = 3
  };
  Fleet *fleet = S_running (&layout);
  fleet_clear_counts (fleet);
  for (guint t = 0; t < CHANGES; t++)
    {
      fleet_write_target (fleet, t);
      fleet_run (fleet, 20 * MR_MS);
    }
  MrTime agreed = fleet_run_until (fleet, fleet_objects_agree, MOST);
  guint64 bodies = fleet->bytes[MR_TRAFFIC_OBJECTS][0];
  print_message ("agreed %d ms after the last, %.1f crossings of each body, %.1f kB a VM across and"
                 " %.1f inside\n",
                 (int) (agreed / MR_MS), (double) bodies / (CHANGES * BODY),
                 S_kb (fleet_bytes (fleet, FALSE), LARGE), S_kb (fleet_bytes (fleet, TRUE), LARGE));
  assert_true (agreed <= 100 * MR_MS);
  assert_true (bodies <= CROSSINGS_MOST * CHANGES * BODY);
  fleet_free (fleet);
}

/* Two daemons that differ in one object of thousands find it by digests of ranges: the
 * whole list of 4,800 was 168 kB, once a second while they differed. */
static void
test_one_object_differs (void **state)
{
  enum
  {
    OBJECTS = 4800,
    BYTES_MOST = 2000,
  };
  (void) state;
  const FleetLayout layout = { .count = 2, .domains = 1, .seeds = 1 };
  Fleet *fleet = fleet_new (&layout);
  for (guint t = 0; t < OBJECTS; t++)
    fleet_write_target (fleet, t);
  fleet_start_all (fleet, 0, FALSE);
  assert_true (fleet_run_until (fleet, fleet_converged, MOST) != MR_NEVER);
  fleet_run (fleet, 5 * MR_SECOND);
  fleet_clear_counts (fleet);
  /* Taken by one without a word to the other, as if the message had been lost. */
  FleetNode *one = &fleet->nodes[0];
  mr_registry_offer (one->registry, MR_OBJECT_TARGET, MR_TEXT ("i-new"), 4 * OBJECTS * 4,
                     MR_TEXT ("{}"));
  mr_membership_set_registry_digest (one->membership, mr_registry_digest (one->registry));
  fleet_run (fleet, 5 * MR_SECOND);
  assert_true (mr_registry_digest (one->registry) == mr_registry_digest (fleet->nodes[1].registry));
  guint64 bytes = 0;
  for (int kind = MR_TRAFFIC_NEWS; kind < MR_TRAFFIC_KINDS; kind++)
    bytes += fleet->bytes[kind][1];
  print_message ("one of %d objects: %d bytes\n", OBJECTS, (int) bytes);
  assert_true (bytes < BYTES_MOST);
  fleet_free (fleet);
}

/* Events, each begun on a fleet that agrees. */

static void
S_change (Fleet *fleet)
{
  fleet_write_target (fleet, 0);
}

static void
S_exchange (Fleet *fleet)
{
  for (guint t = 0; t < TARGETS / 2; t++)
    fleet_write_target (fleet, t);
}

static void
S_death (Fleet *fleet)
{
  fleet_kill (fleet, fleet->layout.count / 2);
}

static void
S_domain_lost (Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    if (fleet_domain (fleet, i) == 1)
      fleet_kill (fleet, i);
}

static void
S_domain_without_store (Fleet *fleet)
{
  fleet->store_cut[1] = TRUE;
  fleet_write_target (fleet, 0);
}

static void
S_domain_cut_and_healed (Fleet *fleet)
{
  fleet_cut_domain (fleet, 1, TRUE, TRUE);
  fleet_run (fleet, 20 * MR_SECOND);
  S_exchange (fleet);
  fleet_run (fleet, 10 * MR_SECOND);
  fleet_cut_domain (fleet, 1, TRUE, FALSE);
}

static void
S_one_way (Fleet *fleet)
{
  fleet_cut_one_way (fleet, 1, 2, TRUE);
  fleet_run (fleet, 20 * MR_SECOND);
  fleet_cut_one_way (fleet, 1, 2, FALSE);
}

static void
S_halves (Fleet *fleet)
{
  fleet_cut_regions (fleet, TRUE);
  fleet_run (fleet, 30 * MR_SECOND);
  fleet_cut_regions (fleet, FALSE);
}

static void
S_all_killed (Fleet *fleet)
{
  fleet_restart_all (fleet, 300 * MR_MS, FALSE);
}

static void
S_all_killed_seeds_last (Fleet *fleet)
{
  fleet_restart_all (fleet, 300 * MR_MS, TRUE);
}

static void
S_replaced_in_turn (Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      fleet_kill (fleet, i);
      fleet_start_at (fleet, i, fleet->now + 200 * MR_MS);
      fleet_run (fleet, 400 * MR_MS);
    }
}

/* What callers and operators see of a view that is wrong: addresses of VMs that are
 * gone, a change that is not in force.  Links stay in the failure domain, all but
 * few; whatever is cut, lost or starts, all agree again within the time of a case. */
static void
test_all_agree (void **state)
{
  static const struct
  {
    const char *name;
    void (*begin) (Fleet *fleet);
    gboolean lone; /* a domain of one VM */
    double seconds;
  } cases[] = {
    { "a change", S_change, FALSE, 0.1 },
    { "a change, a domain with one VM", S_change, TRUE, 0.1 },
    { "half of the targets exchanged", S_exchange, FALSE, 0.2 },
    { "a death", S_death, FALSE, 7 },
    { "a domain lost", S_domain_lost, FALSE, 8 },
    { "a domain that does not reach the store", S_domain_without_store, FALSE, 0.1 },
    { "a domain cut off, healed", S_domain_cut_and_healed, FALSE, 5 },
    { "the same, of one VM", S_domain_cut_and_healed, TRUE, 5 },
    { "one way cut, healed", S_one_way, FALSE, 5 },
    { "halves that heal", S_halves, FALSE, 5 },
    { "all killed", S_all_killed, FALSE, 2 },
    { "all killed, seeds last", S_all_killed_seeds_last, FALSE, 2 },
    { "all killed, a domain with one VM", S_all_killed, TRUE, 2 },
    { "replaced in turn", S_replaced_in_turn, FALSE, 7 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = { .count = MIDDLE,
                                   .domains = DOMAINS,
                                   .regions = 2,
                                   .seeds = 3,
                                   .large_vms_per_domain = 2,
                                   .last_vm_alone = cases[i].lone };
      Fleet *fleet = S_running (&layout);
      cases[i].begin (fleet);
      MrTime took = fleet_run_until (fleet, fleet_converged, MOST);
      print_message ("%s: %.2f s\n", cases[i].name, (double) took / MR_SECOND);
      if (took > (MrTime) (cases[i].seconds * MR_SECOND))
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

/* Evidence against a content. */

static const char content[] = "6ea12fb25cac794dad0efd1471deb818";
enum
{
  EVIDENCE = 77, /* its version */
};

/* Shown by requests at daemon @index; the store knows nothing of it. */
static void
S_find_evidence (Fleet *fleet, guint index)
{
  FleetNode *node = &fleet->nodes[index];
  mr_replication_offer (node->spread, MR_OBJECT_EVIDENCE, mr_text (content), EVIDENCE,
                        (MrText){ 0 }, NULL);
  node->due = 0;
}

static gboolean
S_all_know (const Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      const FleetNode *node = &fleet->nodes[i];
      if (node->membership &&
          mr_registry_version (node->registry, MR_OBJECT_EVIDENCE, content) != EVIDENCE)
        return FALSE;
    }
  return TRUE;
}

/* Each daemon that does not know yet that a content ends its targets lets it end more.  All
 * know within a fraction of the 4 s that a deployment bears, at 295 VMs as at 7, wherever it
 * was found, and one that starts knows when it serves. */
static void
test_evidence (void **state)
{
  static const struct
  {
    const char *name;
    guint count;
    void (*meanwhile) (Fleet *fleet);
    double seconds;
  } cases[] = {
    { "seven", 7, NULL, 0.1 },
    { "sixty", MIDDLE, NULL, 0.3 },
    { "hundreds", LARGE, NULL, 0.5 },
    { "beside a hundred targets exchanged", LARGE, S_exchange, 0.5 },
    { "beside a death", MIDDLE, S_death, 0.5 },
    { "beside a domain that is lost", MIDDLE, S_domain_lost, 0.5 },
    { "a domain without the store", MIDDLE, S_domain_without_store, 0.3 },
    { "a domain cut off, healed", MIDDLE, S_domain_cut_and_healed, 5 },
    { "halves that heal", MIDDLE, S_halves, 5 },
    { "replaced in turn", MIDDLE, S_replaced_in_turn, 1 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = { .count = cases[i].count,
                                   .domains = cases[i].count < DOMAINS * 2 ? 3 : DOMAINS,
                                   .regions = 2,
                                   .seeds = 3,
                                   .large_vms_per_domain = cases[i].count < DOMAINS * 2 ? 0 : 2 };
      Fleet *fleet = S_running (&layout);
      S_find_evidence (fleet, cases[i].count - 1);
      if (cases[i].meanwhile)
        cases[i].meanwhile (fleet);
      MrTime took = fleet_run_until (fleet, S_all_know, MOST);
      print_message ("evidence, %s: %.2f s\n", cases[i].name, (double) took / MR_SECOND);
      if (took > (MrTime) (cases[i].seconds * MR_SECOND))
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_evidence),
    cmocka_unit_test (test_calm),
    cmocka_unit_test (test_objects_cross_few_times),
    cmocka_unit_test (test_one_object_differs),
    cmocka_unit_test (test_all_agree),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
