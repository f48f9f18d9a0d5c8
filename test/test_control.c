/* Control traffic of a large fleet on a virtual clock: its volume, how often it crosses
 * failure domains, and how soon all daemons agree. */

#include "fleet.h"
#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  LARGE = 295,
  MEDIUM = 60,
  DOMAINS = 5,
  TARGETS = 200,
};

static const MrTime TIMEOUT = 120 * MR_SECOND;

static Fleet *
S_start_fleet (const FleetLayout *layout)
{
  Fleet *fleet = fleet_new (layout);
  for (guint t = 0; t < TARGETS; t++)
    fleet_write_target (fleet, t);
  fleet_start_all (fleet, 300 * MR_MS, FALSE);
  assert_true (fleet_run_until (fleet, fleet_converged, TIMEOUT) != MR_NEVER);
  fleet_run (fleet, 10 * MR_SECOND);
  return fleet;
}

static double
S_kb (guint64 bytes, guint count)
{
  return (double) bytes / 1000 / count;
}

/* Guards against heartbeats that repeat known member updates in an idle fleet. Six updates on each
 * heartbeat, which all members already had, took 485 bytes and made up half of the bytes charged
 * for a day without changes. */
static void
test_idle_traffic (void **state)
{
  enum
  {
    SECONDS = 20,
    HEARTBEAT_MAX = 120, /* bytes */
  };
  (void) state;
  const FleetLayout layout = {
    .count = LARGE, .domains = DOMAINS, .seeds = 3, .large_vms_per_domain = 3
  };
  Fleet *fleet = S_start_fleet (&layout);
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
  assert_true (bytes <= messages * (guint64) HEARTBEAT_MAX);
  /* Of a member's four links, in both directions, at most two leave the failure domain. */
  assert_true (fleet->messages[MR_TRAFFIC_HEARTBEAT][0] <= messages / 2);
  fleet_free (fleet);
}

/* Guards against announcements over all links, which sent each body across failure domains 214
 * times at 295 VMs. When hundreds of targets are replaced, each failure domain reads them from
 * the store. */
static void
test_objects_cross_few_times (void **state)
{
  enum
  {
    CHANGES = 100,
    BODY = 330,
    CROSSINGS_MAX = 5, /* of each body */
  };
  (void) state;
  const FleetLayout layout = {
    .count = LARGE, .domains = DOMAINS, .seeds = 3, .large_vms_per_domain = 3
  };
  Fleet *fleet = S_start_fleet (&layout);
  fleet_clear_counts (fleet);
  for (guint t = 0; t < CHANGES; t++)
    {
      fleet_write_target (fleet, t);
      fleet_run (fleet, 20 * MR_MS);
    }
  MrTime agreed = fleet_run_until (fleet, fleet_objects_agree, TIMEOUT);
  guint64 bodies = fleet->bytes[MR_TRAFFIC_OBJECTS][0];
  print_message (
      "agreed %d ms after the last change, %.1f crossings of each body, %.1f kB a VM across and"
      " %.1f inside\n",
      (int) (agreed / MR_MS), (double) bodies / (CHANGES * BODY),
      S_kb (fleet_bytes (fleet, FALSE), LARGE), S_kb (fleet_bytes (fleet, TRUE), LARGE));
  assert_true (agreed <= 100 * MR_MS);
  assert_true (bodies <= CROSSINGS_MAX * CHANGES * BODY);
  fleet_free (fleet);
}

/* Guards against full lists between two daemons that differ in one of thousands of objects.
 * The full list of 4,800 objects took 168 kB, once a second for as long as they differed;
 * comparing digests of ranges finds the object. */
static void
test_one_object_differs (void **state)
{
  enum
  {
    OBJECTS = 4800,
    BYTES_MAX = 2000,
  };
  (void) state;
  const FleetLayout layout = { .count = 2, .domains = 1, .seeds = 1 };
  Fleet *fleet = fleet_new (&layout);
  for (guint t = 0; t < OBJECTS; t++)
    fleet_write_target (fleet, t);
  fleet_start_all (fleet, 0, FALSE);
  assert_true (fleet_run_until (fleet, fleet_converged, TIMEOUT) != MR_NEVER);
  fleet_run (fleet, 5 * MR_SECOND);
  fleet_clear_counts (fleet);
  /* One daemon stores the object without announcing it, as if the message had been lost. */
  FleetNode *changed = &fleet->nodes[0];
  mr_registry_offer (changed->registry, MR_OBJECT_TARGET, MR_TEXT ("i-new"), 4 * OBJECTS * 4,
                     MR_TEXT ("{}"));
  mr_membership_set_registry_digest (changed->membership, mr_registry_digest (changed->registry));
  fleet_run (fleet, 5 * MR_SECOND);
  assert_true (mr_registry_digest (changed->registry) ==
               mr_registry_digest (fleet->nodes[1].registry));
  guint64 bytes = 0;
  for (int kind = MR_TRAFFIC_NEWS; kind < MR_TRAFFIC_KINDS; kind++)
    bytes += fleet->bytes[kind][1];
  print_message ("%d objects, of which one differs: %d bytes\n", OBJECTS, (int) bytes);
  assert_true (bytes < BYTES_MAX);
  fleet_free (fleet);
}

/* Events that start in a fleet whose daemons agree. */

static void
S_change_target (Fleet *fleet)
{
  fleet_write_target (fleet, 0);
}

static void
S_replace_half (Fleet *fleet)
{
  for (guint t = 0; t < TARGETS / 2; t++)
    fleet_write_target (fleet, t);
}

static void
S_kill_daemon (Fleet *fleet)
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
  S_replace_half (fleet);
  fleet_run (fleet, 10 * MR_SECOND);
  fleet_cut_domain (fleet, 1, TRUE, FALSE);
}

static void
S_cut_one_way (Fleet *fleet)
{
  fleet_cut_one_way (fleet, 1, 2, TRUE);
  fleet_run (fleet, 20 * MR_SECOND);
  fleet_cut_one_way (fleet, 1, 2, FALSE);
}

static void
S_cut_regions (Fleet *fleet)
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

/* Guards against outdated views, which give callers the addresses of VMs that are gone and
 * hide changes that are in force. All but a few links stay inside a failure domain; after a
 * partition, a loss or a restart all daemons have to agree again within the time of the case. */
static void
test_daemons_converge (void **state)
{
  static const struct
  {
    const char *name;
    void (*event) (Fleet *fleet);
    gboolean lone_vm; /* the last domain has a single VM */
    double seconds;
  } cases[] = {
    { "a change", S_change_target, FALSE, 0.1 },
    { "a change, a domain with one VM", S_change_target, TRUE, 0.1 },
    { "half of the targets replaced", S_replace_half, FALSE, 0.2 },
    { "a daemon killed", S_kill_daemon, FALSE, 7 },
    { "a domain lost", S_domain_lost, FALSE, 8 },
    { "a domain that does not reach the store", S_domain_without_store, FALSE, 0.1 },
    { "a domain cut off, healed", S_domain_cut_and_healed, FALSE, 5 },
    { "a domain of one VM cut off, healed", S_domain_cut_and_healed, TRUE, 5 },
    { "a one-way cut, healed", S_cut_one_way, FALSE, 5 },
    { "regions cut off from each other, healed", S_cut_regions, FALSE, 5 },
    { "all killed", S_all_killed, FALSE, 2 },
    { "all killed, seeds last", S_all_killed_seeds_last, FALSE, 2 },
    { "all killed, a domain with one VM", S_all_killed, TRUE, 2 },
    { "daemons replaced one by one", S_replaced_in_turn, FALSE, 7 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = { .count = MEDIUM,
                                   .domains = DOMAINS,
                                   .regions = 2,
                                   .seeds = 3,
                                   .large_vms_per_domain = 2,
                                   .last_vm_alone = cases[i].lone_vm };
      Fleet *fleet = S_start_fleet (&layout);
      cases[i].event (fleet);
      MrTime elapsed = fleet_run_until (fleet, fleet_converged, TIMEOUT);
      print_message ("%s: %.2f s\n", cases[i].name, (double) elapsed / MR_SECOND);
      if (elapsed > (MrTime) (cases[i].seconds * MR_SECOND))
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

/* Evidence against a content. */

static const char content[] = "6ea12fb25cac794dad0efd1471deb818";
enum
{
  EVIDENCE = 77, /* version of the object */
};

/* Offers evidence as if requests at daemon @index had produced it; the store has none. */
static void
S_offer_evidence (Fleet *fleet, guint index)
{
  FleetNode *node = &fleet->nodes[index];
  mr_replication_offer (node->replication, MR_OBJECT_EVIDENCE, mr_text (content), EVIDENCE,
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

/* Guards against slow replication of evidence: a daemon without it sends requests that crash
 * further targets. All daemons have to know within a fraction of the 4 s that a deployment
 * tolerates, at 295 VMs as at 7 and wherever the evidence was found. A daemon that starts has
 * to know before it serves. */
static void
test_evidence (void **state)
{
  static const struct
  {
    const char *name;
    guint count;
    void (*event) (Fleet *fleet);
    double seconds;
  } cases[] = {
    { "seven daemons", 7, NULL, 0.1 },
    { "sixty daemons", MEDIUM, NULL, 0.3 },
    { "hundreds of daemons", LARGE, NULL, 0.5 },
    { "while a hundred targets are replaced", LARGE, S_replace_half, 0.5 },
    { "while a daemon is killed", MEDIUM, S_kill_daemon, 0.5 },
    { "while a domain is lost", MEDIUM, S_domain_lost, 0.5 },
    { "a domain without the store", MEDIUM, S_domain_without_store, 0.3 },
    { "a domain cut off, healed", MEDIUM, S_domain_cut_and_healed, 5 },
    { "regions cut off from each other, healed", MEDIUM, S_cut_regions, 5 },
    { "daemons replaced one by one", MEDIUM, S_replaced_in_turn, 1 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = { .count = cases[i].count,
                                   .domains = cases[i].count < DOMAINS * 2 ? 3 : DOMAINS,
                                   .regions = 2,
                                   .seeds = 3,
                                   .large_vms_per_domain = cases[i].count < DOMAINS * 2 ? 0 : 2 };
      Fleet *fleet = S_start_fleet (&layout);
      S_offer_evidence (fleet, cases[i].count - 1);
      if (cases[i].event)
        cases[i].event (fleet);
      MrTime elapsed = fleet_run_until (fleet, S_all_know, TIMEOUT);
      print_message ("evidence, %s: %.2f s\n", cases[i].name, (double) elapsed / MR_SECOND);
      if (elapsed > (MrTime) (cases[i].seconds * MR_SECOND))
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_evidence),
    cmocka_unit_test (test_idle_traffic),
    cmocka_unit_test (test_objects_cross_few_times),
    cmocka_unit_test (test_one_object_differs),
    cmocka_unit_test (test_daemons_converge),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
