#include "relay_private.h"

#include "safeguard.h"

static gboolean
S_contains_domain (GHashTable *domains, const char *domain)
{
  return domains && g_hash_table_contains (domains, domain) && MR_SAFEGUARD (MR_GUARD_EVACUATION);
}

gboolean
mr_relay_is_evacuated (const MrRelay *relay, const char *domain)
{
  return S_contains_domain (relay->evacuated, domain);
}

/* Withdraws the calls to the domains of @added of which nothing has been sent; others run to their
 * end. */
static void
S_withdraw_unsent (MrRelay *relay, MrTime now, GHashTable *added)
{
  if (!relay->host->withdraw_call)
    return;
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, relay->calls);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Call *call = item;
      if (S_contains_domain (added, call->target->domain))
        g_array_append_val (ids, call->id);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      guint64 id = g_array_index (ids, guint64, i);
      /* The end of another call may have ended this one. */
      if (!g_hash_table_contains (relay->calls, &id) ||
          !relay->host->withdraw_call (relay->host, id))
        continue;
      relay->counts.withdrawn++;
      mr_relay_call_end (relay, now, id, MR_CALL_WITHDRAWN, NULL);
    }
}

/* The target may have lost its caches: its calls increase step by step. */
static void
S_restore_target (MrRelay *relay, MrTime now, MrTargetState *target)
{
  mr_concurrency_limit_slow_start (&target->limit);
  mr_relay_assume_cold (target, now);
  mr_relay_send_queued_to (relay, now, target);
}

static void
S_send_queued_elsewhere (MrRelay *relay, MrTime now, MrTargetState *target)
{
  for (guint i = 0; i < target->groups->len; i++)
    mr_relay_send_queued (relay, now, g_ptr_array_index (target->groups, i));
}

static gboolean
S_same_domains (GHashTable *known, GHashTable *domains)
{
  GHashTableIter iter;
  gpointer domain = NULL;
  if ((known ? g_hash_table_size (known) : 0) != g_hash_table_size (domains))
    return FALSE;
  g_hash_table_iter_init (&iter, domains);
  while (g_hash_table_iter_next (&iter, &domain, NULL))
    if (!S_contains_domain (known, domain))
      return FALSE;
  return TRUE;
}

/* Replaces the evacuated domains; returns those that are new, with borrowed names. */
static GHashTable *
S_replace_domains (MrRelay *relay, GHashTable *domains)
{
  g_autoptr (GHashTable) previous = g_steal_pointer (&relay->evacuated);
  GHashTable *added = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer domain = NULL;
  relay->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_iter_init (&iter, domains);
  while (g_hash_table_iter_next (&iter, &domain, NULL))
    {
      g_hash_table_add (relay->evacuated, g_strdup (domain));
      if (!S_contains_domain (previous, domain))
        g_hash_table_add (added, domain);
    }
  return added;
}

/* Updates the targets; returns those that have changed. */
static GPtrArray *
S_mark_targets (MrRelay *relay)
{
  GPtrArray *changed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, relay->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrTargetState *target = item;
      gboolean evacuated = S_contains_domain (relay->evacuated, target->domain);
      if (target->evacuated != evacuated)
        g_ptr_array_add (changed, target);
      target->evacuated = evacuated;
    }
  return changed;
}

void
mr_relay_set_evacuated (MrRelay *relay, MrTime now, GHashTable *domains)
{
  if (S_same_domains (relay->evacuated, domains))
    return;
  g_autoptr (GHashTable) added = S_replace_domains (relay, domains);
  /* All targets are marked first, so that withdrawn calls are not sent to another evacuated one. */
  g_autoptr (GPtrArray) changed = S_mark_targets (relay);
  S_withdraw_unsent (relay, now, added);
  for (guint i = 0; i < changed->len; i++)
    {
      MrTargetState *target = g_ptr_array_index (changed, i);
      if (target->evacuated)
        S_send_queued_elsewhere (relay, now, target);
      else
        S_restore_target (relay, now, target);
    }
}
