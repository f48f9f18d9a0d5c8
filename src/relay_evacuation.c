#include "relay_private.h"

#include "safeguard.h"

static gboolean
S_has (GHashTable *domains, const char *domain)
{
  return domains && g_hash_table_contains (domains, domain) && MR_SAFEGUARD (MR_GUARD_EVACUATION);
}

gboolean
mr_relay_is_evacuated (const MrRelay *r, const char *domain)
{
  return S_has (r->evacuated, domain);
}

/* Takes back the calls to the domains of @added of which nothing has been sent; what has been
 * sent runs out. */
static void
S_withdraw_unsent (MrRelay *r, MrTime now, GHashTable *added)
{
  if (!r->host->withdraw_call)
    return;
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->calls);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Call *call = item;
      if (S_has (added, call->target->domain))
        g_array_append_val (ids, call->id);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      guint64 id = g_array_index (ids, guint64, i);
      /* The end of another may have ended this one. */
      if (!g_hash_table_contains (r->calls, &id) || !r->host->withdraw_call (r->host, id))
        continue;
      r->counts.withdrawn++;
      mr_relay_call_end (r, now, id, MR_CALL_WITHDRAWN, NULL);
    }
}

/* What the target knew of its requests may be lost: work comes back step by step. */
static void
S_return (MrRelay *r, MrTime now, MrTargetState *target)
{
  mr_concurrency_limit_slow_start (&target->limit);
  mr_relay_assume_cold (target, now);
  mr_relay_send_queued_to (r, now, target);
}

static void
S_pump_all (MrRelay *r, MrTime now, MrTargetState *target)
{
  for (guint i = 0; i < target->sets->len; i++)
    mr_relay_send_queued (r, now, g_ptr_array_index (target->sets, i));
}

static gboolean
S_is_same (GHashTable *known, GHashTable *domains)
{
  GHashTableIter iter;
  gpointer domain = NULL;
  if ((known ? g_hash_table_size (known) : 0) != g_hash_table_size (domains))
    return FALSE;
  g_hash_table_iter_init (&iter, domains);
  while (g_hash_table_iter_next (&iter, &domain, NULL))
    if (!S_has (known, domain))
      return FALSE;
  return TRUE;
}

/* Takes over @domains; returns those that were not there before, borrowed. */
static GHashTable *
S_replace (MrRelay *r, GHashTable *domains)
{
  g_autoptr (GHashTable) before = g_steal_pointer (&r->evacuated);
  GHashTable *added = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer domain = NULL;
  r->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_iter_init (&iter, domains);
  while (g_hash_table_iter_next (&iter, &domain, NULL))
    {
      g_hash_table_add (r->evacuated, g_strdup (domain));
      if (!S_has (before, domain))
        g_hash_table_add (added, domain);
    }
  return added;
}

/* Targets for which it is not as before; new. */
static GPtrArray *
S_mark_targets (MrRelay *r)
{
  GPtrArray *changed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrTargetState *target = item;
      gboolean evacuated = S_has (r->evacuated, target->domain);
      if (target->evacuated != evacuated)
        g_ptr_array_add (changed, target);
      target->evacuated = evacuated;
    }
  return changed;
}

void
mr_relay_set_evacuated (MrRelay *r, MrTime now, GHashTable *domains)
{
  if (S_is_same (r->evacuated, domains))
    return;
  g_autoptr (GHashTable) added = S_replace (r, domains);
  /* All first, so that what is taken back goes to none of them. */
  g_autoptr (GPtrArray) changed = S_mark_targets (r);
  S_withdraw_unsent (r, now, added);
  for (guint i = 0; i < changed->len; i++)
    {
      MrTargetState *target = g_ptr_array_index (changed, i);
      if (target->evacuated)
        S_pump_all (r, now, target);
      else
        S_return (r, now, target);
    }
}
