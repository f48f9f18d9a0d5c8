/* Fault soak: a store, searchers and relays as separate processes on loopback,
 * faults from outside them in overlapping series, promises checked from what
 * callers and searchers see.
 *
 *     soak BUILD SEED SECONDS FIRST-PORT
 *
 * Everything that is drawn comes from SEED.  Promises:
 *   own      an answer belongs to its request, whole, from a searcher that ran it
 *   merged   parts are of this request, one a service, of one version's set; the
 *            body is the greatest records of the parts that are named
 *   once     an order runs at most once
 *   not run  what was refused never ran
 *   asked    searchers run only what callers sent
 *   crasher  once a content has ended three searchers, and the news had its time, relays
 *            that were left alone send it to three at most, and so do relays that start all
 *            at once and can read what the store holds of it
 *   evacuated  a relay that was left alone sends nothing to a failure domain that has been
 *            evacuated for EVACUATED_KNOWN, where the store was not disturbed
 *   blocked  and nothing else is blocked for it
 *   answered a relay that was left alone answers within the route's time
 *   heals    after the last fault every relay serves whole answers from the
 *            newest version
 *   named    and each relay names all of them to callers */

#include "soak.h"

#include "log.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

enum
{
  EXIT_USAGE = 2,
};

static const MrTime HEAL = 12 * MR_SECOND;
/* A tick that comes later than this is told of: relays that share the machine may have stood
 * still as well. */
static const MrTime STALL = 250 * MR_MS;
/* What ends searchers is asked for again and again for so long after a loss of all relays. */
static const MrTime INSIST = 2 * MR_SECOND;

int soak_first_port;

void
soak_broken (Soak *s, const char *format, ...)
{
  va_list args;
  s->broken++;
  printf ("%8.3f BROKEN ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

void
soak_say (const Soak *s, const char *format, ...)
{
  va_list args;
  printf ("%8.3f ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

guint
soak_pick (Soak *s, guint below)
{
  return (guint) g_rand_int_range (s->random, 0, (gint32) below);
}

MrTime
soak_between (Soak *s, double least_ms, double most_ms)
{
  return (MrTime) (g_rand_double_range (s->random, least_ms, most_ms) * (double) MR_MS);
}

/* The run. */

static void
S_begin_healing (Soak *s)
{
  s->healing_checked = TRUE;
  soak_restore (s, TRUE);
  if (s->evacuation.since != 0)
    soak_evacuate (s, FALSE);
  for (guint i = 0; i < SEARCHERS; i++)
    soak_tell (soak_first_port + SEARCHER_PORT + (int) i, "PUT", "/mode/ok", "");
  soak_configure (s);
  s->now = mr_now ();
  s->faults_end = s->now + HEAL / 2;
  s->end = s->now + HEAL;
  soak_say (s, "faults end, version %u", s->version);
}

static MrTime
S_seconds (GRand *random, double least, double most)
{
  return (MrTime) (g_rand_double_range (random, least, most) * (double) MR_SECOND);
}

static void
S_note_stall (Soak *s, MrTime now)
{
  MrTime stall = s->next_tick > 0 ? now - s->next_tick : 0;
  s->longest_stall = MAX (s->longest_stall, stall);
  if (stall > STALL)
    soak_say (s, "this process stood still for %.3f s", (double) stall / (double) MR_SECOND);
}

static MrTime
S_on_tick (MrLoopHandler *host, MrTime now)
{
  Soak *s = (Soak *) host;
  S_note_stall (s, now);
  s->now = now;
  for (MrTimer *t = mr_timers_pop (s->proxy_timers, now); t;
       t = mr_timers_pop (s->proxy_timers, now))
    soak_proxy_on_timer (t);
  for (MrTimer *t = mr_timers_pop (s->timers, now); t; t = mr_timers_pop (s->timers, now))
    soak_caller_overdue (t);
  while (now >= s->next_request)
    {
      s->next_request += soak_between (s, 0, 2000.0 / REQUESTS_PER_SECOND);
      soak_ask (s);
    }
  soak_note_ends (s);
  soak_restore (s, FALSE);
  soak_note_store (s);
  if (now >= s->loss.next && now < s->faults_end)
    {
      s->loss.next = now + S_seconds (s->loss.random, 8, 20);
      soak_lose_all (s);
    }
  if (now >= s->crasher.next && now < s->faults_end)
    {
      gboolean starting = s->loss.last != 0 && now < s->loss.last + INSIST;
      s->crasher.next = now + (starting ? S_seconds (s->crasher.random, 0.002, 0.02)
                                        : S_seconds (s->crasher.random, 0.05, 3));
      soak_ask_crasher (s);
    }
  if (now >= s->evacuation.next && now < s->faults_end)
    soak_evacuate (s, s->evacuation.since == 0);
  if (!s->healing_checked && now >= s->faults_end)
    S_begin_healing (s);
  else if (!s->healing_checked && now >= s->next_fault)
    {
      s->next_fault = now + soak_between (s, 200, 1500);
      soak_disturb (s);
    }
  MrTime next = MIN (s->next_request, MIN (s->next_fault, now + 50 * MR_MS));
  next = MIN (next, MIN (mr_timers_next_due (s->timers), mr_timers_next_due (s->proxy_timers)));
  s->next_tick = MAX (next, now);
  return s->next_tick;
}

static void
S_check_crasher (Soak *s, GHashTable *runs)
{
  enum
  {
    LATE_MOST = 3,
  };
  GHashTableIter iter;
  gpointer id = NULL;
  guint late = 0;
  g_hash_table_iter_init (&iter, s->crasher.late);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    late += GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  if (late > LATE_MOST)
    soak_broken (s, "crasher: %u calls of it reached searchers after three had ended", late);
  soak_say (s, "%u searchers ended by themselves; later %u requests that end them, %u calls",
            s->crasher.ended, g_hash_table_size (s->crasher.late), late);
}

/* What the searchers ran, from their logs: lines "run ID". */
static void
S_check_runs (Soak *s)
{
  g_autoptr (GHashTable) runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SEARCHERS; i++)
    {
      g_autofree char *text = NULL;
      g_autofree char *path = g_strdup_printf ("%s/searcher%u.log", s->folder, i);
      g_file_get_contents (path, &text, NULL, NULL);
      g_auto (GStrv) lines = g_strsplit (text ? text : "", "\n", -1);
      for (char **line = lines; *line; line++)
        if (g_str_has_prefix (*line, "run "))
          {
            const char *id = *line + 4;
            const SoakEvacuated *evacuated = g_hash_table_lookup (s->evacuation.sent, id);
            if (evacuated && evacuated->domain == i % RELAYS)
              soak_broken (s, "evacuated: '%s' ran in z%u", id, evacuated->domain);
            guint count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)) + 1;
            g_hash_table_replace (runs, g_strdup (id), GUINT_TO_POINTER (count));
          }
    }
  S_check_crasher (s, runs);
  soak_say (s, "%u requests were sent beside evacuations", g_hash_table_size (s->evacuation.sent));
  GHashTableIter iter;
  gpointer id = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      gpointer end = NULL;
      if (!g_hash_table_contains (s->sent, id))
        soak_broken (s, "asked: '%s' ran and no caller sent it", (const char *) id);
      if (!g_hash_table_lookup_extended (s->orders, id, NULL, &end))
        continue;
      if (GPOINTER_TO_UINT (value) > 1)
        soak_broken (s, "once: order %s ran %u times", (const char *) id, GPOINTER_TO_UINT (value));
      if (GPOINTER_TO_INT (end) == ORDER_REFUSED)
        soak_broken (s, "not run: order %s was refused and ran", (const char *) id);
    }
}

/* Callers are told of every relay by each of them: none is taken for dead, or for
 * an earlier process of its name. */
static void
S_check_named (Soak *s)
{
  for (guint i = 0; i < RELAYS; i++)
    {
      g_autofree char *answer =
          soak_fetch (soak_first_port + RELAY_PORT + 10 * (int) i + 2, "/resolve?name=h");
      g_auto (GStrv) parts = g_strsplit (answer, "127.0.0.1:", -1);
      if (g_strv_length (parts) != RELAYS + 1)
        soak_broken (s, "named: relay %u names '%s'", i, answer);
    }
}

static void
S_start_all (Soak *s)
{
  soak_start_standin (s, &s->store, "store", soak_first_port + STORE_PORT, NULL, "store.log");
  soak_configure (s);
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
  /* Static, for it lives as long as the process, as all that it owns does. */
  static Soak s;
  s = (Soak){
    .host = { .on_tick = S_on_tick },
    .timers = mr_timers_new (),
    .proxy_timers = mr_timers_new (),
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2])),
    .build = argv[1],
    .only = getenv ("SOAK_ONLY"),
    .folder = g_dir_make_tmp ("soak-XXXXXX", NULL),
    .orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  s.crasher = (Crasher){
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 1),
    .late = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  s.evacuation = (Evacuation){
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 3),
    .sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  s.loss.random = g_rand_new_with_seed ((guint32) atoi (argv[2]) + 2);
  s.loop = mr_loop_new (&s.host, 2000);
  s.start = mr_now ();
  S_start_all (&s);
  s.now = mr_now ();
  s.next_request = s.now + 2 * MR_SECOND;
  s.crasher.next = s.now + 5 * MR_SECOND;
  s.evacuation.next = s.now + S_seconds (s.evacuation.random, 3, 6);
  s.loss.next = s.now + S_seconds (s.loss.random, 10, 20);
  s.next_fault = s.now + 4 * MR_SECOND;
  s.faults_end = s.now + 4 * MR_SECOND + atoi (argv[3]) * MR_SECOND;
  s.end = MR_NEVER;
  while (mr_now () < s.end)
    mr_loop_step (s.loop);
  S_check_named (&s);
  S_stop_all (&s);
  S_check_runs (&s);
  for (guint i = 0; i < RELAYS; i++)
    if (s.healed[i] == 0)
      soak_broken (&s, "heals: relay %u gave no whole answer of the newest version", i);
  printf (
      "seed %s: %u answers, %u served, %u orders, %u promises broken, stood still for %.3f s at "
      "most; logs in %s\n",
      argv[2], s.answered, s.served, g_hash_table_size (s.orders), s.broken,
      (double) s.longest_stall / (double) MR_SECOND, s.folder);
  return s.broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
