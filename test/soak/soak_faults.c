#include "soak.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

static const char *const searcher_modes[] = { "ok",    "ok",    "ok",   "shed",  "cut",
                                              "reset", "extra", "slow", "error", "silent" };
static const char *const store_modes[] = { "down", "silent", "gone" };

/* Relays that a fault on their way to the store, or on their targets, touches
 * must still answer; only signals excuse them. */
static void
S_signal_relay (Soak *s, guint index, int number, MrTime back)
{
  Child *relay = &s->relays[index];
  if (relay->back_at != 0)
    return;
  soak_say (s, "relay %u gets signal %d for %.1f s", index, number, (double) back / 1e6);
  kill (relay->pid, number);
  relay->disturbed = mr_now ();
  relay->back_at = mr_now () + back;
  relay->stopped = number == SIGSTOP;
}

static void
S_signal_searcher (Soak *s, guint index, int number, MrTime back)
{
  Child *searcher = &s->searchers[index];
  if (searcher->back_at != 0)
    return;
  soak_say (s, "searcher %u gets signal %d for %.1f s", index, number, (double) back / 1e6);
  kill (searcher->pid, number);
  searcher->back_at = mr_now () + back;
  searcher->stopped = number == SIGSTOP;
  if (searcher->stopped)
    return;
  soak_proxy_set_open (s->searcher_proxies[index], FALSE);
  soak_withdraw (s, index);
}

void
soak_note_store (Soak *s)
{
  gboolean disturbed = s->store_back != 0;
  if (disturbed)
    s->evacuation.store_disturbed = s->now;
  for (guint i = 0; i < RELAYS; i++)
    {
      disturbed |= s->proxies_back[i] != 0;
      if (s->proxies_back[i] != 0)
        s->evacuation.path_disturbed[i] = s->now;
    }
  if (disturbed)
    s->loss.store_disturbed = s->now;
}

gboolean
soak_store_tells (const Soak *s)
{
  return s->loss.saved && s->loss.store_disturbed < s->loss.last;
}

void
soak_lose_all (Soak *s)
{
  g_autofree char *held = soak_fetch (soak_first_port + STORE_PORT, "/objects/quarantine");
  s->loss.last = s->now;
  s->loss.saved = strstr (held, "\"quarantined\"") != NULL;
  soak_say (s, "all relays are killed; the store %s what ends searchers",
            s->loss.saved ? "knows" : "does not know");
  for (guint i = 0; i < RELAYS; i++)
    {
      Child *relay = &s->relays[i];
      MrTime back = (MrTime) (g_rand_double_range (s->loss.random, 0.05, 1) * (double) MR_SECOND);
      kill (relay->pid, SIGKILL);
      relay->disturbed = s->now;
      relay->back_at = s->now + back;
      relay->stopped = FALSE;
    }
}

void
soak_note_ends (Soak *s)
{
  for (guint i = 0; i < SEARCHERS; i++)
    {
      Child *searcher = &s->searchers[i];
      if (searcher->back_at != 0)
        continue;
      if (waitpid (searcher->pid, NULL, WNOHANG) != searcher->pid)
        {
          soak_proxy_reopen (s->searcher_proxies[i]);
          continue;
        }
      soak_say (s, "searcher %u has ended", i);
      soak_proxy_set_open (s->searcher_proxies[i], FALSE);
      soak_withdraw (s, i);
      searcher->back_at =
          s->now + (MrTime) (g_rand_double_range (s->crasher.random, 0.5, 2) * (double) MR_SECOND);
      if (++s->crasher.ended == 3)
        s->crasher.third_end = s->now;
    }
}

/* What was sent last may have been held up, or be repeated, until the domain is used again. */
static const MrTime EVACUATED_LAST = 2 * MR_SECOND;

static gboolean
S_is_too_late (gpointer id, gpointer sent, gpointer user)
{
  const Soak *s = user;
  (void) id;
  return ((const SoakEvacuated *) sent)->at > s->now - EVACUATED_LAST;
}

void
soak_evacuate (Soak *s, gboolean begins)
{
  Evacuation *e = &s->evacuation;
  if (begins)
    e->domain = (guint) g_rand_int_range (e->random, 0, RELAYS);
  else
    g_hash_table_foreach_remove (e->sent, S_is_too_late, s);
  g_autofree char *path = g_strdup_printf ("/objects/evacuations/z%u", e->domain);
  soak_tell (soak_first_port + STORE_PORT, begins ? "PUT" : "DELETE", path, "{}");
  soak_say (s, "z%u is %s", e->domain, begins ? "evacuated" : "used again");
  e->since = begins ? s->now : 0;
  double least = begins ? 3 : 0.2;
  double most = begins ? 9 : 4;
  e->next = s->now + (MrTime) (g_rand_double_range (e->random, least, most) * (double) MR_SECOND);
}

static void
S_disturb_proxy (Soak *s, guint index)
{
  SoakProxy *proxy = index < RELAYS ? s->store_proxies[index] : s->searcher_proxies[index - RELAYS];
  guint what = soak_pick (s, PROXY_MODES + 1);
  if (index < RELAYS)
    {
      s->loss.store_disturbed = s->now;
      s->evacuation.path_disturbed[index] = s->now;
    }
  soak_say (s, "proxy %u: fault %u", index, what);
  if (what == 0)
    soak_proxy_reset (proxy);
  else if (what == PROXY_MODES)
    soak_proxy_lose (proxy);
  else
    {
      soak_proxy_set_mode (proxy, (SoakProxyMode) what);
      s->proxies_back[index] = mr_now () + soak_between (s, 300, 4000);
    }
}

static void
S_set_store (Soak *s)
{
  const char *mode = store_modes[soak_pick (s, G_N_ELEMENTS (store_modes))];
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  soak_say (s, "store is %s", mode);
  soak_tell (soak_first_port + STORE_PORT, "PUT", path, "");
  s->store_back = mr_now () + soak_between (s, 500, 4000);
}

static void
S_set_searcher (Soak *s, guint index, const char *mode)
{
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  if (s->searchers[index].back_at != 0)
    return;
  soak_say (s, "searcher %u: %s", index, path);
  soak_tell (soak_first_port + SEARCHER_PORT + (int) index, "PUT", path, "");
}

/* The time of day jumps and stays there until it jumps again. */
static void
S_step_clock (Soak *s, guint index)
{
  if (!s->clocks[index])
    return;
  *s->clocks[index] = soak_between (s, -20000, 20000);
  soak_say (s, "relay %u: time of day is off by %.1f s", index, (double) *s->clocks[index] / 1e6);
}

void
soak_disturb (Soak *s)
{
  if (s->only)
    {
      for (guint i = 0; i < SEARCHERS; i++)
        S_set_searcher (s, i, s->only);
      return;
    }
  switch (soak_pick (s, 11))
    {
    case 0:
      S_signal_relay (s, soak_pick (s, RELAYS), SIGTERM, soak_between (s, 3200, 4500));
      break;
    case 1:
      S_signal_relay (s, soak_pick (s, RELAYS), SIGKILL, soak_between (s, 100, 2000));
      break;
    case 2:
      S_signal_relay (s, soak_pick (s, RELAYS), SIGSTOP, soak_between (s, 200, 3000));
      break;
    case 3:
      S_signal_searcher (s, soak_pick (s, SEARCHERS), SIGKILL, soak_between (s, 100, 3000));
      break;
    case 4:
      S_signal_searcher (s, soak_pick (s, SEARCHERS), SIGSTOP, soak_between (s, 200, 3000));
      break;
    case 5:
      S_set_store (s);
      break;
    case 6:
      soak_configure (s);
      soak_say (s, "version %u, %s", s->version, s->wide ? "three services" : "two services");
      break;
    case 7:
      S_set_searcher (s, soak_pick (s, SEARCHERS),
                      searcher_modes[soak_pick (s, G_N_ELEMENTS (searcher_modes))]);
      break;
    case 8:
      S_step_clock (s, soak_pick (s, RELAYS));
      break;
    default:
      S_disturb_proxy (s, soak_pick (s, RELAYS + SEARCHERS));
      break;
    }
}

void
soak_restore (Soak *s, gboolean all)
{
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      if (s->proxies_back[i] == 0 || (!all && s->now < s->proxies_back[i]))
        continue;
      soak_proxy_set_mode (i < RELAYS ? s->store_proxies[i] : s->searcher_proxies[i - RELAYS],
                           PROXY_OK);
      s->proxies_back[i] = 0;
    }
  if (s->store_back != 0 && (all || s->now >= s->store_back))
    {
      soak_tell (soak_first_port + STORE_PORT, "PUT", "/mode/ok", "");
      s->store_back = 0;
    }
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      Child *child = i < RELAYS ? &s->relays[i] : &s->searchers[i - RELAYS];
      if (child->back_at == 0 || (!all && s->now < child->back_at))
        continue;
      child->back_at = 0;
      child->disturbed = s->now;
      if (child->stopped)
        {
          kill (child->pid, SIGCONT);
          child->stopped = FALSE;
          continue;
        }
      kill (child->pid, SIGKILL);
      waitpid (child->pid, NULL, 0);
      if (i < RELAYS)
        soak_start_relay (s, i);
      else
        soak_start_searcher (s, i - RELAYS);
    }
}
