/* Start of a fleet on a virtual clock: membership, replication of objects, and the decision to
 * read the store. */

#include "fleet.h"
#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  OBJECTS = 40,
};

/* Guards against slow starts after a loss of all VMs, while each caller waits for the daemon
 * that it contacts first.  The daemons start together or within 0.3 s, with the seeds possibly
 * last.  Each must be ready soon after its own start, whichever daemon read the store, and in a
 * large fleet not every daemon may read it. */
static void
test_all_start (void **state)
{
  static const struct
  {
    const char *name;
    guint count;
    MrTime spread_ms; /* starts are spread over this time */
    gboolean seeds_last;
    MrTime first_ms; /* limit until the first daemon is ready */
    MrTime each_ms;  /* limit between the start of a daemon and its readiness */
    guint reads;     /* limit */
  } cases[] = {
    { "six daemons at once", 6, 0, FALSE, 60, 90, 5 },
    { "six daemons within 0.3 s", 6, 300, FALSE, 80, 90, 6 },
    { "six daemons, seeds last", 6, 300, TRUE, 80, 90, 6 },
    { "eighty daemons at once", 80, 0, FALSE, 30, 90, 20 },
    { "eighty daemons within 0.3 s", 80, 300, FALSE, 80, 90, 40 },
    /* Daemons that start before all seeds know no others and read the store. */
    { "eighty daemons, seeds last", 80, 300, TRUE, 80, 90, 80 },
  };
  (void) state;
  mr_log_set_level (MR_LOG_ERROR);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = { .count = cases[i].count,
                                   .domains = MIN (cases[i].count, 4),
                                   .seeds = 3 };
      Fleet *fleet = fleet_new (&layout);
      MrTime first = MR_NEVER;
      MrTime slowest = 0;
      MrTime begin = fleet->now;
      g_autofree MrTime *starts = g_new (MrTime, layout.count);
      for (guint t = 0; t < OBJECTS; t++)
        fleet_write_target (fleet, t);
      fleet_start_all (fleet, cases[i].spread_ms * MR_MS, cases[i].seeds_last);
      for (guint n = 0; n < layout.count; n++)
        starts[n] = fleet->nodes[n].start_at;
      fleet_run (fleet, 3 * MR_SECOND);
      for (guint n = 0; n < layout.count; n++)
        {
          const FleetNode *node = &fleet->nodes[n];
          assert_true (node->ready_at != 0);
          first = MIN (first, node->ready_at - begin);
          slowest = MAX (slowest, node->ready_at - starts[n]);
        }
      print_message ("%s: first ready after %d ms, each within %d ms, %u store reads\n",
                     cases[i].name, (int) (first / MR_MS), (int) (slowest / MR_MS),
                     (guint) fleet->store_reads);
      if (first > cases[i].first_ms * MR_MS || slowest > cases[i].each_ms * MR_MS ||
          fleet->store_reads > cases[i].reads)
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

static gboolean
S_knows_large_vms (const Fleet *fleet, const FleetNode *node)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      const FleetNode *other = &fleet->nodes[i];
      const MrMember *seen = mr_membership_find (node->membership, other->self.name);
      if (other->self.capacity >= 500 && other != node && (!seen || seen->busy))
        return FALSE;
    }
  return TRUE;
}

static gboolean
S_all_know_large_vms (const Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    if (!fleet->nodes[i].membership || !S_knows_large_vms (fleet, &fleet->nodes[i]))
      return FALSE;
  return TRUE;
}

/* Guards against a saturated store link when hundreds of small VMs start beside a few large
 * ones, which the callers already know.  If all daemons read the store its link is full for
 * half a second, so the small ones leave the store to the large ones until they have reached a
 * seed. */
static void
test_large_vms_first (void **state)
{
  static const struct
  {
    const char *name;
    gboolean seeds_last;
    MrTime large_ms; /* limit between the start of a large VM and its readiness */
    MrTime small_ms; /* the same for small VMs, from the first start on */
    MrTime known_ms; /* limit until all daemons know that the large ones are ready */
    guint reads;     /* limit */
  } cases[] = {
    { "295 within 0.3 s", FALSE, 90, 400, 600, 40 },
    { "295, seeds last", TRUE, 90, 450, 600, 40 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FleetLayout layout = {
        .count = 295, .domains = 5, .seeds = 3, .large_vms_per_domain = 3
      };
      Fleet *fleet = fleet_new (&layout);
      MrTime begin = fleet->now;
      MrTime large = 0;
      MrTime small = 0;
      g_autofree MrTime *starts = g_new (MrTime, layout.count);
      for (guint t = 0; t < OBJECTS; t++)
        fleet_write_target (fleet, t);
      fleet_start_all (fleet, 300 * MR_MS, cases[i].seeds_last);
      for (guint n = 0; n < layout.count; n++)
        starts[n] = fleet->nodes[n].start_at;
      MrTime known = fleet_run_until (fleet, S_all_know_large_vms, 2 * MR_SECOND);
      fleet_run (fleet, 2 * MR_SECOND);
      for (guint n = 0; n < layout.count; n++)
        {
          const FleetNode *node = &fleet->nodes[n];
          assert_true (node->ready_at != 0);
          if (node->self.capacity >= 500)
            large = MAX (large, node->ready_at - starts[n]);
          else
            small = MAX (small, node->ready_at - begin);
        }
      print_message ("%s: large VMs ready within %d ms and known after %d ms, all ready after"
                     " %d ms, %u reads\n",
                     cases[i].name, (int) (large / MR_MS), (int) (known / MR_MS),
                     (int) (small / MR_MS), (guint) fleet->store_reads);
      if (large > cases[i].large_ms * MR_MS || small > cases[i].small_ms * MR_MS ||
          known > cases[i].known_ms * MR_MS || fleet->store_reads > cases[i].reads)
        fail_msg ("%s", cases[i].name);
      fleet_free (fleet);
    }
}

/* Guards against needless list exchanges between domains.  Targets that start are listed over
 * several seconds, and what one failure domain has read reaches the others later.
 * Daemons that treated each such difference as a lost message sent each other full lists, half
 * of all bytes between the domains of 985 VMs. */
static void
test_targets_listed_over_seconds (void **state)
{
  enum
  {
    MEMBERS = 100,
    SECONDS = 6,
    TARGETS_PER_SECOND = 320,
    STEP_MS = 25,
    BYTES_MAX = 1000, /* of comparisons across domains, for each daemon */
  };
  const FleetLayout layout = {
    .count = MEMBERS, .domains = 5, .seeds = 3, .watch_pause = 400 * MR_MS
  };
  (void) state;
  Fleet *fleet = fleet_new (&layout);
  fleet_write_target (fleet, 0);
  fleet_start_all (fleet, 300 * MR_MS, FALSE);
  for (guint step = 0; step < SECONDS * 1000 / STEP_MS; step++)
    {
      for (guint t = 0; t < TARGETS_PER_SECOND * STEP_MS / 1000; t++)
        fleet_write_target (fleet, 1 + step * TARGETS_PER_SECOND * STEP_MS / 1000 + t);
      fleet_run (fleet, STEP_MS * MR_MS);
    }
  fleet_run (fleet, 2 * MR_SECOND);
  guint64 bytes = fleet->bytes[MR_TRAFFIC_COMPARE][0] / MEMBERS;
  print_message ("%u targets listed in %d s: %u bytes of comparisons a daemon across domains\n",
                 SECONDS * TARGETS_PER_SECOND, SECONDS, (guint) bytes);
  for (guint i = 0; i < MEMBERS; i++)
    assert_true (mr_registry_digest (fleet->nodes[i].registry) ==
                 mr_registry_digest (fleet->store));
  if (bytes > BYTES_MAX)
    fail_msg ("%u bytes a daemon", (guint) bytes);
  fleet_free (fleet);
}

/* Guards against store reads by restarted VMs while thousands of targets are listed.  A VM
 * needs seconds to receive the objects from its peers.  Each one that gave up waiting read the
 * whole store in 25 calls, and the 50 killed of 985 VMs made over a thousand of a day's 1,635
 * calls. */
static void
test_restart_with_many_targets (void **state)
{
  enum
  {
    MEMBERS = 20,
    TARGETS = 2000,
    RESTARTED = 8,
    TRANSFER_MS = 300, /* transfer time of a message with object bodies; there are some 11 */
  };
  const FleetLayout layout = { .count = MEMBERS, .domains = 4, .seeds = 3 };
  (void) state;
  Fleet *fleet = fleet_new (&layout);
  for (guint t = 0; t < TARGETS; t++)
    fleet_write_target (fleet, t);
  fleet_start_all (fleet, 0, FALSE);
  fleet_run (fleet, 5 * MR_SECOND);
  guint64 reads = fleet->store_reads;
  guint restarted = 0;
  fleet->layout.body_transfer_time = TRANSFER_MS * MR_MS;
  for (guint i = layout.seeds; i < MEMBERS && restarted < RESTARTED; i++)
    if (!fleet->nodes[i].watcher)
      {
        restarted++;
        fleet_kill (fleet, i);
        fleet_start_at (fleet, i, fleet->now + MR_SECOND);
      }
  assert_int_equal (restarted, RESTARTED);
  for (guint step = 0; step < 200; step++)
    {
      fleet_run (fleet, 50 * MR_MS);
      for (guint i = 0; i < MEMBERS; i++)
        if (fleet->nodes[i].membership && fleet->nodes[i].ready_at != 0)
          assert_int_equal (mr_registry_count (fleet->nodes[i].registry), TARGETS);
    }
  guint partial = 0;
  for (guint i = 0; i < MEMBERS; i++)
    {
      assert_true (fleet->nodes[i].ready_at != 0);
      partial += mr_registry_count (fleet->nodes[i].registry) < TARGETS;
    }
  assert_int_equal (partial, 0);
  print_message ("%u restarted: %u reads\n", restarted, (guint) (fleet->store_reads - reads));
  assert_true (fleet->store_reads == reads);
  fleet_free (fleet);
}

/* Guards against needless store reads on the first start of a fleet: VMs that know
 * few others yet consider themselves the watchers that read the store for all. */
static void
test_growing_membership (void **state)
{
  static const struct
  {
    const char *name;
    gboolean first_start;
    guint members; /* one more each interval, from the start on */
    MrTime gap_ms;
    MrTime from_ms; /* range of the time from which the store may be read */
    MrTime to_ms;
  } cases[] = {
    { "six members at once", TRUE, 6, 10, 1200, 1300 },
    { "a thousand members in two seconds", TRUE, 1000, 2, 2250, 2350 },
    { "a thousand members, growing past the limit", TRUE, 1000, 20, 5950, 6050 },
    { "restart after a loss of all", FALSE, 1000, 2, 0, 70 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const MrBootstrapOptions options = { .first_start = cases[i].first_start,
                                           .random = 0.9,
                                           .capacity = 500 };
      const MrBootstrapState self = { .self = "m0", .watcher = TRUE };
      MrRoster *roster = mr_roster_new ();
      MrBootstrap bootstrap;
      MrTime start = 100 * MR_SECOND;
      MrTime now = start;
      mr_bootstrap_init (&bootstrap, start, &options);
      for (; now < start + 20 * MR_SECOND; now += MR_MS)
        {
          guint due = 1 + (guint) ((now - start) / (cases[i].gap_ms * MR_MS));
          while (mr_roster_count (roster) < MIN (due, cases[i].members))
            {
              MrMember member = { .busy = TRUE };
              g_snprintf (member.name, sizeof member.name, "m%u", mr_roster_count (roster));
              g_strlcpy (member.domain, "d", sizeof member.domain);
              mr_roster_put (roster, &member);
            }
          if (mr_bootstrap_step (&bootstrap, now, roster, &self).read_store)
            break;
        }
      MrTime after = (now - start) / MR_MS;
      if (after < cases[i].from_ms || after > cases[i].to_ms)
        fail_msg ("%s: read after %d ms", cases[i].name, (int) after);
      mr_roster_free (roster);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_start),
    cmocka_unit_test (test_targets_listed_over_seconds),
    cmocka_unit_test (test_restart_with_many_targets),
    cmocka_unit_test (test_growing_membership),
    cmocka_unit_test (test_large_vms_first),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
