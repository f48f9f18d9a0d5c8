#include "soak.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

static const char *const searcher_modes[] = { "ok",    "ok",    "ok",   "shed",  "cut",
                                              "reset", "extra", "slow", "error", "silent" };
static const char *const store_modes[] = { "down", "silent", "gone" };

/* Sends signal @number to a relay and schedules its recovery.  Only signals excuse failures
 * of a relay; faults of the store, of targets or of the paths to them do not. */
static void
S_signal_relay (Soak *s, guint index, int number, MrTime duration)
{
  Child *relay = &s->relays[index];
  if (relay->recovers_at != 0)
    return;
  soak_log (s, "relay %u gets signal %d for %.1f s", index, number, (double) duration / 1e6);
  soak_signal_process (s, index, number);
  relay->last_disturbed = mr_now ();
  relay->recovers_at = mr_now () + duration;
  relay->stopped = number == SIGSTOP;
  if (!relay->stopped)
    soak_forget_shown_version (s, index);
}

void
soak_signal_searcher (Soak *s, guint index, int number, MrTime duration)
{
  Child *searcher = &s->searchers[index];
  if (searcher->recovers_at != 0)
    return;
  soak_log (s, "searcher %u gets signal %d for %.1f s", index, number, (double) duration / 1e6);
  kill (searcher->pid, number);
  searcher->recovers_at = mr_now () + duration;
  searcher->stopped = number == SIGSTOP;
  if (searcher->stopped)
    return;
  soak_proxy_set_open (s->searcher_proxies[index], FALSE);
  soak_unregister_searcher (s, index);
}

void
soak_track_store_faults (Soak *s)
{
  gboolean disturbed = s->store_recovers_at != 0 || s->restore.rewrite_at != 0;
  if (disturbed)
    s->evacuation.store_last_disturbed = s->now;
  for (guint i = 0; i < RELAYS; i++)
    {
      disturbed |= s->proxies_recover_at[i] != 0;
      if (s->proxies_recover_at[i] != 0)
        s->evacuation.path_last_disturbed[i] = s->now;
    }
  if (disturbed)
    s->loss.store_last_disturbed = s->now;
}

gboolean
soak_store_has_quarantine (const Soak *s)
{
  return s->loss.quarantine_stored && s->loss.store_last_disturbed < s->loss.killed_at;
}

void
soak_kill_all_relays (Soak *s)
{
  g_autofree char *quarantine = soak_http_get (soak_first_port + STORE_PORT, "/objects/quarantine");
  s->loss.killed_at = s->now;
  soak_forget_known_versions (s);
  s->loss.quarantine_stored = strstr (quarantine, "\"quarantined\"") != NULL;
  soak_log (s, "all relays are killed; the quarantine is %s",
            s->loss.quarantine_stored ? "in the store" : "not in the store");
  for (guint i = 0; i < RELAYS; i++)
    {
      Child *relay = &s->relays[i];
      MrTime duration =
          (MrTime) (g_rand_double_range (s->loss.random, 0.05, 1) * (double) MR_SECOND);
      soak_signal_process (s, i, SIGKILL);
      relay->last_disturbed = s->now;
      relay->recovers_at = s->now + duration;
      relay->stopped = FALSE;
    }
}

void
soak_reap_searchers (Soak *s)
{
  for (guint i = 0; i < SEARCHERS; i++)
    {
      Child *searcher = &s->searchers[i];
      if (searcher->recovers_at != 0)
        continue;
      if (waitpid (searcher->pid, NULL, WNOHANG) != searcher->pid)
        {
          soak_proxy_reopen (s->searcher_proxies[i]);
          continue;
        }
      soak_log (s, "searcher %u crashed", i);
      soak_proxy_set_open (s->searcher_proxies[i], FALSE);
      soak_unregister_searcher (s, i);
      searcher->recovers_at =
          s->now + (MrTime) (g_rand_double_range (s->crasher.random, 0.5, 2) * (double) MR_SECOND);
      if (++s->crasher.crashes == 3)
        s->crasher.third_crash = s->now;
    }
}

/* Requests sent this shortly before the end of an evacuation may be delayed or resent until the
 * domain is in use again, so they are not checked. */
static const MrTime EVACUATION_END_MARGIN = 2 * MR_SECOND;

static gboolean
S_was_sent_near_end (gpointer id, gpointer sent, gpointer user)
{
  const Soak *s = user;
  (void) id;
  return ((const SoakEvacuatedRequest *) sent)->sent_at > s->now - EVACUATION_END_MARGIN;
}

void
soak_set_evacuation (Soak *s, gboolean begins)
{
  Evacuation *e = &s->evacuation;
  if (begins)
    e->domain = (guint) g_rand_int_range (e->random, 0, RELAYS);
  else
    g_hash_table_foreach_remove (e->sent, S_was_sent_near_end, s);
  g_autofree char *path = g_strdup_printf ("/objects/evacuations/z%u", e->domain);
  soak_http_send (soak_first_port + STORE_PORT, begins ? "PUT" : "DELETE", path, "{}");
  soak_log (s, "z%u is %s", e->domain, begins ? "evacuated" : "in use again");
  e->since = begins ? s->now : 0;
  double min_s = begins ? 3 : 0.2;
  double max_s = begins ? 9 : 4;
  e->next = s->now + (MrTime) (g_rand_double_range (e->random, min_s, max_s) * (double) MR_SECOND);
}

static MrTime
S_restore_delay (Soak *s, double min_s, double max_s)
{
  return (MrTime) (g_rand_double_range (s->restore.random, min_s, max_s) * (double) MR_SECOND);
}

void
soak_schedule_restore (Soak *s)
{
  StoreRestore *restore = &s->restore;
  restore->copy_at = s->now + S_restore_delay (s, 1, 6);
  restore->restore_at = restore->copy_at + S_restore_delay (s, 0.2, 8);
}

static void
S_restore_store (Soak *s)
{
  gboolean cut = g_rand_boolean (s->restore.random);
  soak_log (s, "the store comes back from a copy, watches are %s", cut ? "cut" : "not answered");
  soak_http_send (soak_first_port + STORE_PORT, "PUT", cut ? "/restore/cut" : "/restore/mute", "");
  s->restore.rewrite_at = s->now + S_restore_delay (s, 0, 2);
  soak_schedule_restore (s);
}

/* Operators and searchers write again what the store may have lost. */
static void
S_rewrite_store (Soak *s)
{
  const Evacuation *e = &s->evacuation;
  s->restore.rewrite_at = 0;
  soak_rewrite_configuration (s);
  soak_rewrite_searchers (s);
  for (guint i = 0; i < RELAYS; i++)
    {
      gboolean evacuated = e->since != 0 && e->domain == i;
      g_autofree char *path = g_strdup_printf ("/objects/evacuations/z%u", i);
      soak_http_send (soak_first_port + STORE_PORT, evacuated ? "PUT" : "DELETE", path, "{}");
    }
}

void
soak_run_restore (Soak *s, gboolean all)
{
  StoreRestore *restore = &s->restore;
  if (restore->rewrite_at != 0 && (all || s->now >= restore->rewrite_at))
    S_rewrite_store (s);
  if (!all && s->now >= restore->copy_at)
    {
      soak_http_send (soak_first_port + STORE_PORT, "PUT", "/copy", "");
      restore->copy_at = MR_NEVER;
    }
  if (!all && s->now >= restore->restore_at && restore->rewrite_at == 0)
    S_restore_store (s);
}

static void
S_inject_proxy_fault (Soak *s, guint index)
{
  SoakProxy *proxy = index < RELAYS ? s->store_proxies[index] : s->searcher_proxies[index - RELAYS];
  guint fault = soak_random_below (s, PROXY_MODE_COUNT + 1);
  if (index < RELAYS)
    {
      s->loss.store_last_disturbed = s->now;
      s->evacuation.path_last_disturbed[index] = s->now;
    }
  soak_log (s, "proxy %u: fault %u", index, fault);
  if (fault == 0)
    soak_proxy_reset_connections (proxy);
  else if (fault == PROXY_MODE_COUNT)
    soak_proxy_silence_connections (proxy);
  else
    {
      soak_proxy_set_mode (proxy, (SoakProxyMode) fault);
      s->proxies_recover_at[index] = mr_now () + soak_random_time (s, 300, 4000);
    }
}

static void
S_set_store_mode (Soak *s)
{
  const char *mode = store_modes[soak_random_below (s, G_N_ELEMENTS (store_modes))];
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  soak_log (s, "store: mode %s", mode);
  soak_http_send (soak_first_port + STORE_PORT, "PUT", path, "");
  s->store_recovers_at = mr_now () + soak_random_time (s, 500, 4000);
}

void
soak_set_searcher_mode (Soak *s, guint index, const char *mode)
{
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  if (s->searchers[index].recovers_at != 0)
    return;
  soak_log (s, "searcher %u: %s", index, path);
  soak_http_send (soak_first_port + SEARCHER_PORT + (int) index, "PUT", path, "");
}

/* Steps the wall clock of a relay; the offset stays until the next step. */
static void
S_step_clock (Soak *s, guint index)
{
  if (!s->clock_offsets[index])
    return;
  *s->clock_offsets[index] = soak_random_time (s, -20000, 20000);
  soak_log (s, "relay %u: wall clock offset %.1f s", index,
            (double) *s->clock_offsets[index] / 1e6);
}

void
soak_inject_fault (Soak *s)
{
  if (s->only_mode)
    {
      for (guint i = 0; i < SEARCHERS; i++)
        soak_set_searcher_mode (s, i, s->only_mode);
      return;
    }
  switch (soak_random_below (s, 11))
    {
    case 0:
      S_signal_relay (s, soak_random_below (s, RELAYS), SIGTERM, soak_random_time (s, 3200, 4500));
      break;
    case 1:
      S_signal_relay (s, soak_random_below (s, RELAYS), SIGKILL, soak_random_time (s, 100, 2000));
      break;
    case 2:
      S_signal_relay (s, soak_random_below (s, RELAYS), SIGSTOP, soak_random_time (s, 200, 3000));
      break;
    case 3:
      soak_signal_searcher (s, soak_random_below (s, SHARD_SEARCHERS), SIGKILL,
                            soak_random_time (s, 100, 3000));
      break;
    case 4:
      soak_signal_searcher (s, soak_random_below (s, SHARD_SEARCHERS), SIGSTOP,
                            soak_random_time (s, 200, 3000));
      break;
    case 5:
      S_set_store_mode (s);
      break;
    case 6:
      soak_publish_configuration (s);
      soak_log (s, "version %u, %s", s->version,
                s->three_services ? "three services" : "two services");
      break;
    case 7:
      soak_set_searcher_mode (s, soak_random_below (s, SHARD_SEARCHERS),
                              searcher_modes[soak_random_below (s, G_N_ELEMENTS (searcher_modes))]);
      break;
    case 8:
      S_step_clock (s, soak_random_below (s, RELAYS));
      break;
    default:
      S_inject_proxy_fault (s, soak_random_below (s, RELAYS + SHARD_SEARCHERS));
      break;
    }
}

void
soak_end_faults (Soak *s, gboolean all)
{
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      if (s->proxies_recover_at[i] == 0 || (!all && s->now < s->proxies_recover_at[i]))
        continue;
      soak_proxy_set_mode (i < RELAYS ? s->store_proxies[i] : s->searcher_proxies[i - RELAYS],
                           PROXY_OK);
      s->proxies_recover_at[i] = 0;
    }
  if (s->store_recovers_at != 0 && (all || s->now >= s->store_recovers_at))
    {
      soak_http_send (soak_first_port + STORE_PORT, "PUT", "/mode/ok", "");
      s->store_recovers_at = 0;
    }
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      Child *child = i < RELAYS ? &s->relays[i] : &s->searchers[i - RELAYS];
      if (child->recovers_at == 0 || (!all && s->now < child->recovers_at))
        continue;
      if (i < RELAYS && s->now < child->recovers_at && soak_relay_is_stopping (s, i))
        continue; /* ends by itself */
      child->recovers_at = 0;
      child->last_disturbed = s->now;
      if (child->stopped)
        {
          if (i < RELAYS)
            soak_signal_process (s, i, SIGCONT);
          else
            kill (child->pid, SIGCONT);
          child->stopped = FALSE;
          continue;
        }
      if (i < RELAYS)
        soak_signal_process (s, i, SIGKILL);
      else
        kill (child->pid, SIGKILL);
      waitpid (child->pid, NULL, 0);
      if (i < RELAYS)
        soak_start_relay (s, i);
      else
        soak_start_searcher (s, i - RELAYS);
    }
}
