/* Fault soak: a store, searchers and relays run as separate processes on loopback.
 * Overlapping faults are injected from outside, and guarantees are checked from what
 * callers and searchers observe.
 *
 *     soak BUILD SEED SECONDS FIRST-PORT
 *
 * All random choices derive from SEED.  Guarantees, by the label of their messages:
 *   own        a response is complete, belongs to its request and comes from a searcher
 *              that ran it
 *   merged     the parts are of this request, one for each service, and of the services
 *              of one configuration version; the body has the greatest records of the
 *              parts that are named
 *   once       an order runs at most once
 *   not run    a refused order never ran
 *   asked      searchers run only requests that callers sent
 *   crasher    after a content has crashed three searchers and the quarantine had time to
 *              spread, at most three calls of it reach searchers from undisturbed relays,
 *              or from relays that all restart at once and can read the quarantine from
 *              the store
 *   blocked    no other content is quarantined
 *   evacuated  an undisturbed relay sends nothing to a failure domain that has been
 *              evacuated for EVACUATION_DELAY_MAX, if the store was not disturbed
 *   hidden     searchers are sent no key, and only the name of the organisation of a request
 *   removed    a request whose key is unknown, or was removed KEY_DELAY_MAX before by a version
 *              that undisturbed relays must have, is refused and reaches no searcher
 *   valid      a request whose key is in that version and in later ones is not refused for it
 *   limited    searchers run no more requests of an organisation in any window than its rate
 *              limit allows; those that they refuse do not count
 *   answered   an undisturbed relay responds within the route's time limit
 *   stopped    a relay that gets SIGTERM ends by itself, with 0, within its grace period,
 *              and every request that it has read gets a complete answer, unless it was
 *              killed or frozen; faults of other processes and paths, and other signals,
 *              are no excuse (soak_stops.c: which requests count as read)
 *   heals      after the last fault every relay serves complete responses from the newest
 *              configuration version
 *   named      after the last fault each relay lists all relays to callers */

#include "soak.h"

#include "entry_plan.h"
#include "log.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

enum
{
  EXIT_USAGE = 2,
};

static const MrTime RECOVERY_TIME = 12 * MR_SECOND;
/* A tick that is later than this is logged: the relays on the same machine may have been
 * stalled as well. */
static const MrTime STALL_MIN = 250 * MR_MS;
/* After all relays were killed, crashing requests are sent at a high rate for this long. */
static const MrTime CRASH_BURST_TIME = 2 * MR_SECOND;

int soak_first_port;

void
soak_violation (Soak *s, const char *format, ...)
{
  va_list args;
  g_atomic_int_inc (&s->violations);
  flockfile (stdout); /* the callers of long requests have a thread of their own */
  printf ("%8.3f VIOLATION ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
  funlockfile (stdout);
}

void
soak_log (const Soak *s, const char *format, ...)
{
  va_list args;
  flockfile (stdout);
  printf ("%8.3f ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
  funlockfile (stdout);
}

guint
soak_random_below (Soak *s, guint below)
{
  return (guint) g_rand_int_range (s->random, 0, (gint32) below);
}

MrTime
soak_random_time (Soak *s, double min_ms, double max_ms)
{
  return (MrTime) (g_rand_double_range (s->random, min_ms, max_ms) * (double) MR_MS);
}

/* Main loop. */

static void
S_begin_recovery (Soak *s)
{
  s->recovery_started = TRUE;
  soak_end_stops (s);
  soak_end_faults (s, TRUE);
  soak_run_restore (s, TRUE);
  if (s->evacuation.since != 0)
    soak_set_evacuation (s, FALSE);
  for (guint i = 0; i < SEARCHERS; i++)
    soak_http_send (soak_first_port + SEARCHER_PORT + (int) i, "PUT", "/mode/ok", "");
  soak_publish_configuration (s);
  s->now = mr_now ();
  s->faults_end = s->now + RECOVERY_TIME / 2;
  s->end = s->now + RECOVERY_TIME;
  soak_log (s, "faults end, version %u", s->version);
}

static MrTime
S_random_seconds (GRand *random, double min_s, double max_s)
{
  return (MrTime) (g_rand_double_range (random, min_s, max_s) * (double) MR_SECOND);
}

static void
S_track_stall (Soak *s, MrTime now)
{
  MrTime stall = s->next_tick > 0 ? now - s->next_tick : 0;
  s->longest_stall = MAX (s->longest_stall, stall);
  if (stall > STALL_MIN)
    soak_log (s, "this process was stalled for %.3f s", (double) stall / (double) MR_SECOND);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  Soak *s = (Soak *) handler;
  S_track_stall (s, now);
  s->now = now;
  for (MrTimer *t = mr_timers_pop (s->proxy_timers, now); t;
       t = mr_timers_pop (s->proxy_timers, now))
    soak_proxy_on_timer (t);
  for (MrTimer *t = mr_timers_pop (s->timers, now); t; t = mr_timers_pop (s->timers, now))
    soak_on_caller_timeout (t);
  while (now >= s->next_request)
    {
      s->next_request += soak_random_time (s, 0, 2000.0 / REQUESTS_PER_SECOND);
      soak_send_request (s);
    }
  soak_reap_searchers (s);
  soak_run_stops (s);
  soak_end_faults (s, FALSE);
  soak_track_store_faults (s);
  if (!s->only_mode && (now < s->faults_end || s->restore.rewrite_at != 0))
    soak_run_restore (s, now >= s->faults_end);
  if (now >= s->loss.next && now < s->faults_end)
    {
      s->loss.next = now + S_random_seconds (s->loss.random, 8, 20);
      soak_kill_all_relays (s);
    }
  if (now >= s->crasher.next && now < s->faults_end)
    {
      gboolean relays_starting =
          s->loss.killed_at != 0 && now < s->loss.killed_at + CRASH_BURST_TIME;
      s->crasher.next = now + (relays_starting ? S_random_seconds (s->crasher.random, 0.002, 0.02)
                                               : S_random_seconds (s->crasher.random, 0.05, 3));
      soak_send_crashing_request (s);
    }
  soak_track_keys (s);
  if (now < s->faults_end)
    soak_change_keys (s);
  if (now >= s->evacuation.next && now < s->faults_end)
    soak_set_evacuation (s, s->evacuation.since == 0);
  if (!s->recovery_started && now >= s->faults_end)
    S_begin_recovery (s);
  else if (!s->recovery_started && now >= s->next_fault)
    {
      s->next_fault = now + soak_random_time (s, 200, 1500);
      soak_inject_fault (s);
    }
  MrTime next = MIN (s->next_request, MIN (s->next_fault, now + 50 * MR_MS));
  next = MIN (next, MIN (mr_timers_next_due (s->timers), mr_timers_next_due (s->proxy_timers)));
  s->next_tick = MAX (next, now);
  return s->next_tick;
}

static void
S_check_crashing_requests (Soak *s, GHashTable *runs)
{
  enum
  {
    LATE_CALLS_MAX = 3,
  };
  GHashTableIter iter;
  gpointer id = NULL;
  guint late = 0;
  g_hash_table_iter_init (&iter, s->crasher.late_ids);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    late += GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  if (late > LATE_CALLS_MAX)
    soak_violation (s, "crasher: %u calls reached searchers after the third crash", late);
  soak_log (
      s, "%u searchers crashed; after the third crash %u crashing requests were sent, %u calls ran",
      s->crasher.crashes, g_hash_table_size (s->crasher.late_ids), late);
}

/* Checks which requests ran, from the lines "run ID" in the searchers' logs. */
static void
S_check_runs (Soak *s)
{
  g_autoptr (GHashTable) runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SEARCHERS; i++)
    {
      g_autofree char *text = NULL;
      g_autofree char *path = g_strdup_printf ("%s/searcher%u.log", s->directory, i);
      g_file_get_contents (path, &text, NULL, NULL);
      g_auto (GStrv) lines = g_strsplit (text ? text : "", "\n", -1);
      for (char **line = lines; *line; line++)
        if (g_str_has_prefix (*line, "fields "))
          soak_check_fields (s, *line, line[1] && g_str_has_prefix (line[1], "refused "));
        else if (g_str_has_prefix (*line, "run "))
          {
            const char *id = *line + 4;
            const SoakEvacuatedRequest *evacuated = g_hash_table_lookup (s->evacuation.sent, id);
            if (evacuated && evacuated->domain == i % RELAYS)
              soak_violation (s, "evacuated: request %s ran in z%u", id, evacuated->domain);
            guint count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)) + 1;
            g_hash_table_replace (runs, g_strdup (id), GUINT_TO_POINTER (count));
          }
    }
  soak_check_limit (s);
  S_check_crashing_requests (s, runs);
  soak_log (s, "%u requests were checked against an evacuation",
            g_hash_table_size (s->evacuation.sent));
  GHashTableIter iter;
  gpointer id = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      gpointer end = NULL;
      if (!g_hash_table_contains (s->sent, id))
        soak_violation (s, "asked: request %s ran, but no caller sent it", (const char *) id);
      if (!g_hash_table_lookup_extended (s->orders, id, NULL, &end))
        continue;
      if (GPOINTER_TO_UINT (value) > 1)
        soak_violation (s, "once: order %s ran %u times", (const char *) id,
                        GPOINTER_TO_UINT (value));
      if (GPOINTER_TO_INT (end) == ORDER_REFUSED)
        soak_violation (s, "not run: order %s was refused, but ran", (const char *) id);
    }
}

/* Each relay must list all relays to callers: none is considered dead or taken for an earlier
 * process of the same name.  With many relays it chooses MR_ENTRIES_MIN of them or more. */
static void
S_check_discovery (Soak *s)
{
  for (guint i = 0; i < RELAYS; i++)
    {
      g_autofree char *response =
          soak_http_get (soak_first_port + RELAY_PORT + 10 * (int) i + 2, "/resolve?name=h");
      g_auto (GStrv) parts = g_strsplit (response, "127.0.0.1:", -1);
      guint count = g_strv_length (parts) - 1;
      if (count < MIN (RELAYS, MR_ENTRIES_MIN) || count > RELAYS)
        soak_violation (s, "named: relay %u lists '%s'", i, response);
    }
}

static void
S_start_all (Soak *s)
{
  soak_start_standin (s, &s->store, "store", soak_first_port + STORE_PORT, NULL, "store.log");
  soak_publish_configuration (s);
  for (guint i = 0; i < SEARCHERS; i++)
    {
      s->searcher_proxies[i] =
          soak_proxy_new (s->loop, s->proxy_timers, soak_first_port + SEARCHER_PROXY + (int) i,
                          soak_first_port + SEARCHER_PORT + (int) i);
      soak_start_searcher (s, i);
    }
  for (guint i = 0; i < RELAYS; i++)
    {
      s->store_proxies[i] =
          soak_proxy_new (s->loop, s->proxy_timers, soak_first_port + STORE_PROXY + (int) i,
                          soak_first_port + STORE_PORT);
      soak_start_relay (s, i);
    }
}

static void
S_stop_all (Soak *s)
{
  soak_long_callers_stop (s->stops.callers);
  for (guint i = 0; i < RELAYS; i++)
    soak_signal_process (s, i, SIGKILL);
  Child *children[RELAYS + SEARCHERS + 1] = { &s->store };
  for (guint i = 0; i < RELAYS; i++)
    children[1 + i] = &s->relays[i];
  for (guint i = 0; i < SEARCHERS; i++)
    children[1 + RELAYS + i] = &s->searchers[i];
  for (guint i = 0; i < G_N_ELEMENTS (children); i++)
    {
      kill (children[i]->pid, SIGKILL);
      waitpid (children[i]->pid, NULL, 0);
    }
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "usage: soak BUILD SEED SECONDS FIRST-PORT\n");
      return EXIT_USAGE;
    }
  soak_first_port = atoi (argv[4]);
  mr_log_set_level (MR_LOG_ERROR);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  /* Static, because the object and all its members are used until the process exits. */
  static Soak s;
  s = (Soak){
    .handler = { .on_tick = S_on_tick },
    .timers = mr_timers_new (),
    .proxy_timers = mr_timers_new (),
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2])),
    .build = argv[1],
    .only_mode = getenv ("SOAK_ONLY"),
    .directory = g_dir_make_tmp ("soak-XXXXXX", NULL),
    .orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  s.crasher = (CrashingRequests){
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 1),
    .late_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  s.evacuation = (Evacuation){
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 3),
    .sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  s.restore.random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 4);
  s.loss.random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 2);
  s.loop = mr_loop_new (&s.handler, 2000);
  s.start = mr_now ();
  soak_keys_init (&s, (guint32) atoi (argv[2]));
  soak_stops_init (&s, (guint32) atoi (argv[2]));
  S_start_all (&s);
  s.now = mr_now ();
  s.next_request = s.now + 2 * MR_SECOND;
  s.crasher.next = s.now + 5 * MR_SECOND;
  soak_schedule_restore (&s);
  s.evacuation.next = s.now + S_random_seconds (s.evacuation.random, 3, 6);
  s.loss.next = s.now + S_random_seconds (s.loss.random, 10, 20);
  s.next_fault = s.now + 4 * MR_SECOND;
  s.stops.next = s.now + 4 * MR_SECOND + S_random_seconds (s.stops.random, 0, 2);
  s.stops.next_target = s.now + 4 * MR_SECOND;
  s.stops.callers = soak_long_callers_new (&s, (guint32) atoi (argv[2]), soak_permanent_key (&s));
  s.faults_end = s.now + 4 * MR_SECOND + atoi (argv[3]) * MR_SECOND;
  s.end = MR_NEVER;
  while (mr_now () < s.end)
    mr_loop_step (s.loop);
  S_check_discovery (&s);
  S_stop_all (&s);
  S_check_runs (&s);
  soak_check_stops (&s);
  for (guint i = 0; i < RELAYS; i++)
    if (s.complete_responses[i] == 0)
      soak_violation (&s, "heals: relay %u served no complete response of the newest version", i);
  printf ("seed %s: %u responses, %u successful, %u orders, %u violations, longest stall %.3f s; "
          "logs in %s\n",
          argv[2], s.responses, s.served, g_hash_table_size (s.orders), s.violations,
          (double) s.longest_stall / (double) MR_SECOND, s.directory);
  return s.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
