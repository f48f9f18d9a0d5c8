/* Evacuations of failure domains, on a virtual clock: the utility for callers during one, and how
 * soon every daemon of a fleet knows of them. */

#include "evacuation.h"
#include "fleet.h"
#include "log.h"
#include "relay_expect.h"
#include "relay_site.h"

/* The versions grow when an evacuation is written, removed and written again. */
static void
test_versions (void **state)
{
  (void) state;
  guint64 written = mr_evacuation_version (3 * MR_VERSION_STRIDE, FALSE);
  guint64 removed = mr_evacuation_version (3 * MR_VERSION_STRIDE, TRUE);
  guint64 again = mr_evacuation_version (4 * MR_VERSION_STRIDE, FALSE);
  assert_true (mr_evacuation_is_active (written));
  assert_false (mr_evacuation_is_active (removed));
  assert_true (mr_evacuation_is_active (again));
  assert_true (written < removed && removed < again);
}

/* Guards against calls to an evacuated domain, and against more queueing and refusals than the lost
 * capacity explains. */
static void
test_utility_for_callers (void **state)
{
  static const struct
  {
    const char *name;
    SimPlan plan;
    double min_utility[2]; /* utility of each route, as a share of its requests */
  } cases[] = {
    { "one domain of three",
      { SITE, .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 0, 0 } } },
      { 0.9, 0.9 } },
    { "one domain, for three seconds",
      { SITE, .faults = { { SIM_FAULT_EVACUATED, 1, 1, 1, 4000, 7000, 0 } } },
      { 0.93, 0.93 } },
    { "three domains in sequence",
      { SITE, .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 8000, 0 },
                          { SIM_FAULT_EVACUATED, 1, 1, 1, 8000, 12000, 0 },
                          { SIM_FAULT_EVACUATED, 2, 2, 1, 12000, 16000, 0 } } },
      { 0.9, 0.9 } },
    { "calls wait for their connections",
      { SITE, .connect_ms = 6, .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 0, 0 } } },
      { 0.85, 0.85 } },
    { "set again within a second",
      { SITE, .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 4400, 0 },
                          { SIM_FAULT_EVACUATED, 0, 0, 1, 4500, 0, 0 } } },
      { 0.9, 0.9 } },
    { "all domains, for two seconds",
      { SITE, .faults = { { SIM_FAULT_EVACUATED, 0, 2, 1, 4000, 6000, 0 } } },
      { 0.85, 0.85 } },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    expect_utility (cases[i].name, &cases[i].plan, cases[i].min_utility);
}

/* Time until all daemons know of an evacuation. */

static const char domain[] = "d1";
enum
{
  FIRST_VERSION = 40 * MR_VERSION_STRIDE,
  MEDIUM_FLEET = 73,
  LARGE_FLEET = 295,
};

static void
S_offer_to_watchers (Fleet *fleet, guint64 version)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      FleetNode *node = &fleet->nodes[i];
      if (!node->membership || !node->watcher ||
          fleet->store_cut[fleet_domain (fleet, node->index)])
        continue;
      mr_replication_offer (node->replication, MR_OBJECT_EVACUATION, mr_text (domain), version,
                            (MrText){ 0 }, NULL);
      node->due = 0;
    }
}

static guint64 expected_version;

static gboolean
S_all_have_version (const Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      const FleetNode *node = &fleet->nodes[i];
      if (node->membership &&
          mr_registry_version (node->registry, MR_OBJECT_EVACUATION, domain) != expected_version)
        return FALSE;
    }
  return TRUE;
}

static void
S_cut_domain_from_store (Fleet *fleet)
{
  fleet->store_cut[1] = TRUE;
}

static void
S_cut_domains (Fleet *fleet)
{
  fleet_cut (fleet, 0, 1, TRUE);
}

static void
S_cut_one_way (Fleet *fleet)
{
  fleet_cut_one_way (fleet, 2, 0, TRUE);
}

/* Guards against daemons that go on sending to an evacuated domain: all know within the goal of one
 * second, whichever of them reach the store, and the latest version wins. */
static void
test_propagation (void **state)
{
  static const struct
  {
    const char *name;
    guint count;
    void (*inject_fault) (Fleet *fleet);
    double seconds;
  } cases[] = {
    { "six daemons", 6, NULL, 0.1 },
    { "seventy-three daemons", MEDIUM_FLEET, NULL, 0.3 },
    { "hundreds of daemons", LARGE_FLEET, NULL, 0.5 },
    { "a domain without the store", MEDIUM_FLEET, S_cut_domain_from_store, 0.5 },
    { "two domains cut from each other", MEDIUM_FLEET, S_cut_domains, 0.5 },
    { "a one-way cut", LARGE_FLEET, S_cut_one_way, 0.5 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = {
        .count = cases[i].count, .domains = 3, .regions = 1, .seeds = 3, .large_vms_per_domain = 2
      };
      Fleet *fleet = fleet_new (&layout);
      fleet_start_all (fleet, 300 * MR_MS, FALSE);
      assert_true (fleet_run_until (fleet, fleet_converged, 20 * MR_SECOND) < MR_NEVER);
      if (cases[i].inject_fault)
        cases[i].inject_fault (fleet);
      const guint64 versions[] = {
        mr_evacuation_version (FIRST_VERSION, FALSE),
        mr_evacuation_version (FIRST_VERSION, TRUE),
        mr_evacuation_version (FIRST_VERSION + MR_VERSION_STRIDE, FALSE),
      };
      for (gsize v = 0; v < G_N_ELEMENTS (versions); v++)
        {
          expected_version = versions[v];
          S_offer_to_watchers (fleet, versions[v]);
          MrTime elapsed = fleet_run_until (fleet, S_all_have_version, 10 * MR_SECOND);
          print_message ("%s, version %u: %.2f s\n", cases[i].name, (guint) v,
                         (double) elapsed / MR_SECOND);
          if (elapsed > (MrTime) (cases[i].seconds * MR_SECOND))
            fail_msg ("%s", cases[i].name);
        }
      fleet_free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_versions),
    cmocka_unit_test (test_utility_for_callers),
    cmocka_unit_test (test_propagation),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
