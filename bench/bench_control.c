/* make bench, make slopes: cost of control traffic by fleet size.
 *
 * Runs the real membership, replication and bootstrap code of every daemon on a virtual
 * clock (test/fleet.h).  The first table is for an idle minute, the second for a sequence
 * of faults: all daemons are killed, two fifths of the targets are replaced, a rack fails,
 * and a region is partitioned and reconnected.  No sockets are used; 56 bytes of TCP, IP
 * and ZeroMQ overhead are added to each message. */

#include "fleet.h"
#include "log.h"
#include "watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  WIRE_OVERHEAD = 54 + 2, /* TCP and IP headers, and ZeroMQ framing, of one message */
  DOMAINS = 5,
  REGIONS = 2,
  SEEDS = 3,
  LARGE_VMS_PER_DOMAIN = 3,
  TARGETS_PER_DAEMON = 6, /* 4,800 targets for 810 daemons */
  IDLE_SECONDS = 60,
};

static const MrTime WAIT_MAX = 120 * MR_SECOND;

static double
S_cpu_seconds (void)
{
  struct timespec spec;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &spec);
  return (double) spec.tv_sec + (double) spec.tv_nsec / 1e9;
}

static double
S_to_seconds (MrTime time)
{
  return time == MR_NEVER ? -1 : (double) time / (double) MR_SECOND;
}

/* Bytes on the wire of all message kinds; with @across_only, only those between domains. */
static double
S_wire_bytes (const Fleet *fleet, gboolean across_only)
{
  double sum = 0;
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    for (int same = 0; same < (across_only ? 1 : 2); same++)
      sum += (double) (fleet->bytes[kind][same] + WIRE_OVERHEAD * fleet->messages[kind][same]);
  return sum;
}

static double
S_count_messages (const Fleet *fleet)
{
  double sum = 0;
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    sum += (double) (fleet->messages[kind][0] + fleet->messages[kind][1]);
  return sum;
}

static Fleet *
S_create_fleet (guint count)
{
  const FleetLayout layout = {
    .count = count,
    .domains = DOMAINS,
    .regions = REGIONS,
    .seeds = SEEDS,
    .large_vms_per_domain = LARGE_VMS_PER_DOMAIN,
  };
  Fleet *fleet = fleet_new (&layout);
  for (guint t = 0; t < count * TARGETS_PER_DAEMON; t++)
    fleet_write_target (fleet, t);
  return fleet;
}

static guint
S_count_watchers (const Fleet *fleet)
{
  guint watchers = 0;
  for (guint i = 0; i < fleet->layout.count; i++)
    if (fleet->nodes[i].membership)
      watchers +=
          mr_watch_is_relay_watcher (fleet->nodes[i].roster, fleet->nodes[i].self.name) ? 1 : 0;
  return watchers;
}

/* Platform calls of the relays in DAY_SECONDS without faults: each watcher lists two kinds
 * and renews a watch of 28 s for each; the other relays poll at the read interval. */
static double
S_relay_calls (const Fleet *fleet, guint watchers)
{
  enum
  {
    DAY_SECONDS = 45,
    WATCH_SECONDS = 28,
    KINDS = 2,
  };
  double read_gap = (double) mr_watch_read_interval (fleet->layout.count) / (double) MR_SECOND;
  double watch = KINDS * (1 + (double) DAY_SECONDS / WATCH_SECONDS);
  return watchers * watch + (fleet->layout.count - watchers) * KINDS * DAY_SECONDS / read_gap;
}

static void
S_measure_idle (guint count)
{
  Fleet *fleet = S_create_fleet (count);
  fleet_start_all (fleet, 300 * MR_MS, FALSE);
  MrTime converged = fleet_run_until (fleet, fleet_converged, WAIT_MAX);
  fleet_run (fleet, 30 * MR_SECOND);
  fleet_clear_counts (fleet);
  double cpu = S_cpu_seconds ();
  fleet_run (fleet, IDLE_SECONDS * MR_SECOND);
  cpu = S_cpu_seconds () - cpu;
  double daemon_seconds = count * (double) IDLE_SECONDS;
  double bytes = S_wire_bytes (fleet, FALSE);
  double across = S_wire_bytes (fleet, TRUE);
  double messages = S_count_messages (fleet);
  fleet_write_target (fleet, 0);
  MrTime change = fleet_run_until (fleet, fleet_objects_agree, WAIT_MAX);
  fleet_kill (fleet, count / 2);
  MrTime death = fleet_run_until (fleet, fleet_members_agree, WAIT_MAX);
  guint watchers = S_count_watchers (fleet);
  printf ("%7u %9.2f %9.0f %9.0f %9.1f %9.3f %9.2f %9.2f %9u %10.0f\n", count,
          S_to_seconds (converged), bytes / daemon_seconds, across / daemon_seconds,
          messages / daemon_seconds, cpu / daemon_seconds * 100, S_to_seconds (change),
          S_to_seconds (death), watchers, S_relay_calls (fleet, watchers));
  fleet_free (fleet);
}

/* A sequence of faults. */

static void
S_replace_targets (Fleet *fleet)
{
  guint count = fleet->layout.count * TARGETS_PER_DAEMON * 2 / 5;
  for (guint i = 0; i < count; i++)
    {
      fleet_write_target (fleet, i);
      if (i % MAX (count / 100, 1) == 0)
        fleet_run (fleet, 100 * MR_MS);
    }
}

static void
S_kill_rack (Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count / 20 + 1; i++)
    fleet_kill (fleet, SEEDS + 2 + i * DOMAINS < fleet->layout.count ? SEEDS + 2 + i * DOMAINS : 1);
}

static void
S_measure_faults (guint count)
{
  Fleet *fleet = S_create_fleet (count);
  fleet_start_all (fleet, 300 * MR_MS, FALSE);
  fleet_run (fleet, 20 * MR_SECOND);
  MrTime begin_time = fleet->now;
  fleet->store_reads = 0;
  fleet_clear_counts (fleet);
  fleet_restart_all (fleet, 300 * MR_MS, TRUE);
  MrTime all_ready = fleet_run_until (fleet, fleet_all_ready, WAIT_MAX);
  MrTime started = fleet_run_until (fleet, fleet_converged, WAIT_MAX);
  fleet_run (fleet, 20 * MR_SECOND);
  S_replace_targets (fleet);
  MrTime replaced = fleet_run_until (fleet, fleet_objects_agree, WAIT_MAX);
  fleet_run (fleet, 20 * MR_SECOND);
  S_kill_rack (fleet);
  MrTime rack_detected = fleet_run_until (fleet, fleet_members_agree, WAIT_MAX);
  fleet_run (fleet, 20 * MR_SECOND);
  fleet_cut_regions (fleet, TRUE);
  fleet_run (fleet, 30 * MR_SECOND);
  fleet_cut_regions (fleet, FALSE);
  MrTime healed = fleet_run_until (fleet, fleet_converged, WAIT_MAX);
  fleet_run (fleet, 20 * MR_SECOND);
  double daemon_seconds = count * S_to_seconds (fleet->now - begin_time);
  printf ("%7u %9.2f %9.2f %9.2f %9.2f %9.2f %9.0f %9.0f %9" G_GUINT64_FORMAT "\n", count,
          S_to_seconds (all_ready), S_to_seconds (started), S_to_seconds (replaced),
          S_to_seconds (rack_detected), S_to_seconds (healed),
          S_wire_bytes (fleet, FALSE) / daemon_seconds, S_wire_bytes (fleet, TRUE) / daemon_seconds,
          fleet->store_reads);
  printf ("        kB for each daemon, inside/across domains:");
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    if (fleet->messages[kind][0] + fleet->messages[kind][1] > 0)
      printf (" %s %.0f/%.0f", mr_traffic_kind_name ((MrTrafficKind) kind),
              (double) fleet->bytes[kind][1] / count / 1000,
              (double) fleet->bytes[kind][0] / count / 1000);
  printf ("\n");
  fleet_free (fleet);
}

/* The arguments are fleet sizes; the default ones are those of docs/CAPACITY.md. */
int
main (int argc, char **argv)
{
  static const guint sizes[] = { 7, 70, 300, 810 };
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  guint count = argc > 1 ? (guint) argc - 1 : G_N_ELEMENTS (sizes);
  printf ("control traffic, an idle minute (virtual clock, %d targets for each daemon)\n",
          TARGETS_PER_DAEMON);
  printf ("%7s %9s %9s %9s %9s %9s %9s %9s %9s %10s\n", "daemons", "agreed s", "B/s each", "across",
          "msg/s", "core %", "change s", "death s", "watchers", "calls/day");
  for (guint i = 0; i < count; i++)
    S_measure_idle (argc > 1 ? (guint) atoi (argv[i + 1]) : sizes[i]);
  printf (
      "\ncontrol traffic with all daemons killed, two fifths of the targets replaced, a rack lost,"
      " a region partitioned\n");
  printf ("%7s %9s %9s %9s %9s %9s %9s %9s %9s\n", "daemons", "ready s", "agreed s", "targets s",
          "rack s", "healed s", "B/s each", "across", "reads");
  for (guint i = 0; i < count; i++)
    S_measure_faults (argc > 1 ? (guint) atoi (argv[i + 1]) : sizes[i]);
  return EXIT_SUCCESS;
}
