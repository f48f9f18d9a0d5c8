/* Eras of the store.
 *
 * A store that comes back from a copy has lost its last seconds: it lists some entries as they
 * were, lacks others and assigns its revisions again, in a new era. Versions carry the era
 * (registry.h), so whatever it assigns now is above what it assigned before. A daemon learns of
 * a new era from any answer of the store, or from a version that a peer has read. Those that
 * watch then list everything again, since a watch from an earlier revision misses changes or is
 * never answered.
 *
 * Operators and targets write again what the store has lost, and the store drops the entries
 * that no target renews. Until then an entry of the copy that contradicts what was known before
 * is held back. */
#include "control_private.h"

#include "evacuation.h"
#include "log.h"
#include "metrics.h"

/* Longer than a target takes to write its entry again, and the store to drop an entry that is
 * not renewed. */
static const MrTime HOLD_TIME = 5 * MR_SECOND;

void
mr_control_era_init (MrControlTask *task)
{
  task->held_entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mr_deferred_offer_free);
}

void
mr_control_era_clear (MrControlTask *task)
{
  g_hash_table_unref (task->held_entries);
}

static gboolean
S_has_read (const MrControlTask *task)
{
  for (int i = 0; i < WATCH_COUNT; i++)
    if (task->watches[i].since > 0)
      return TRUE;
  return FALSE;
}

void
mr_control_era_begin (MrControlTask *task, MrTime now, guint64 era)
{
  guint64 previous = task->store_era;
  task->store_era = era;
  mr_metrics_set_store_era (era);
  if (previous == 0 && !S_has_read (task))
    {
      mr_log (MR_LOG_INFO, MR_EVENT_STORE_ERA, "the store is in era %" G_GUINT64_FORMAT, era);
      return;
    }
  task->reads_again = TRUE;
  mr_metrics_add (MR_METRIC_STORE_ERAS, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_STORE_ERA,
          "the store has come back from a copy: era %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT
          "; everything is read again",
          era, previous);
  g_hash_table_remove_all (task->held_entries);
  mr_control_evidence_forget_saved (task);
  mr_removal_filter_set_restored (task->removal_filter, now);
  for (int i = 0; i < WATCH_COUNT; i++)
    mr_watch_start_over (&task->watches[i], mr_control_is_watcher (task));
}

static gboolean
S_is_versioned_by_store (MrObjectKind kind)
{
  return kind == MR_OBJECT_CONFIGURATION || kind == MR_OBJECT_TARGET ||
         kind == MR_OBJECT_EVACUATION;
}

void
mr_control_era_seen_at_peer (MrControlTask *task, MrObjectKind kind, guint64 version)
{
  if (!task->relay || !S_is_versioned_by_store (kind))
    return;
  guint64 era = mr_version_era (version);
  if (era > task->store_era)
    mr_control_era_begin (task, mr_now (), era);
  if (era == task->store_era)
    task->reads_alone = FALSE;
}

/* Daemons of an earlier build read the store without its era. Once they hold versions from here
 * they take nothing that they read themselves, so this daemon watches for them until another one
 * does. */
static void
S_begin_read_here (MrControlTask *task, MrTime now, guint64 era)
{
  mr_control_era_begin (task, now, era);
  task->reads_alone = task->relay;
}

gboolean
mr_control_era_is_current (MrControlTask *task, MrTime now, const MrPlatformResult *result)
{
  if (result->era > task->store_era)
    S_begin_read_here (task, now, result->era);
  if (result->era == 0 || result->era == task->store_era)
    return TRUE;
  mr_metrics_add (MR_METRIC_ANSWERS_OUTDATED, 1);
  mr_log (MR_LOG_NOTICE, MR_EVENT_ANSWER_OUTDATED,
          "an answer of the store's era %" G_GUINT64_FORMAT
          " is discarded; the current one is %" G_GUINT64_FORMAT,
          result->era, task->store_era);
  return FALSE;
}

void
mr_control_era_add_to_versions (const MrControlTask *task, MrPlatformResult *result)
{
  guint64 era = task->store_era;
  for (guint i = 0; i < result->objects->len; i++)
    {
      MrPlatformObject *object = g_ptr_array_index (result->objects, i);
      object->version = mr_version_in_era (era, object->version);
    }
  result->version = mr_version_in_era (era, result->version);
  result->removed_version = mr_version_in_era (era, result->removed_version);
}

static gboolean
S_is_leaving (const char *name, MrText body)
{
  MrTargetRecord *record = mr_target_record_parse (mr_text (name), body);
  gboolean leaving = record && record->leaving;
  mr_target_record_unref (record);
  return leaving;
}

/* TRUE if the target was known to be removed or leaving, and @body lists it as in use without
 * being a later process. */
static gboolean
S_returns_target (const MrObject *known, MrText body)
{
  gboolean gone = known->body->len == 0 || S_is_leaving (known->name, mr_text_of (known->body));
  return gone && body.len > 0 && mr_target_record_start_time (body) <= known->author_order &&
         !S_is_leaving (known->name, body);
}

static gboolean
S_contradicts (const MrObject *known, guint64 version, MrText body)
{
  if (mr_version_era (known->version) >= mr_version_era (version))
    return FALSE;
  if (known->kind == MR_OBJECT_EVACUATION)
    return mr_evacuation_is_active (known->version) != mr_evacuation_is_active (version);
  return known->kind == MR_OBJECT_TARGET && S_returns_target (known, body);
}

static char *
S_key (MrObjectKind kind, const char *name)
{
  return g_strdup_printf ("%d/%s", (int) kind, name);
}

gboolean
mr_control_era_hold (
    MrControlTask *task, MrObjectKind kind, const char *name, guint64 version, MrText body)
{
  const MrObject *known = mr_registry_get (task->registry, kind, name);
  if (!known || !S_contradicts (known, version, body))
    return FALSE;
  g_autofree char *key = S_key (kind, name);
  const MrDeferredOffer *earlier = g_hash_table_lookup (task->held_entries, key);
  if (earlier && earlier->version >= version)
    return TRUE;
  MrDeferredOffer *held = mr_deferred_offer_new (kind, name, version, body);
  held->due = earlier ? earlier->due : 0; /* set at the next tick */
  g_hash_table_replace (task->held_entries, g_steal_pointer (&key), held);
  mr_metrics_add (MR_METRIC_ENTRIES_HELD, 1);
  mr_log (MR_LOG_NOTICE, MR_EVENT_ENTRY_HELD,
          "%s/%s: the restored store contradicts what was known; held back until it is confirmed",
          mr_object_kind_name (kind), name);
  return TRUE;
}

gboolean
mr_control_era_is_held (const MrControlTask *task, MrObjectKind kind, const char *name)
{
  g_autofree char *key = S_key (kind, name);
  return g_hash_table_contains (task->held_entries, key);
}

void
mr_control_era_release (MrControlTask *task, MrObjectKind kind, const char *name)
{
  g_autofree char *key = S_key (kind, name);
  g_hash_table_remove (task->held_entries, key);
}

void
mr_control_era_targets_read (MrControlTask *task, guint missing)
{
  if (!task->reads_again)
    return;
  task->reads_again = FALSE;
  mr_log (MR_LOG_NOTICE, MR_EVENT_STORE_ERA,
          "read again in era %" G_GUINT64_FORMAT
          ": %u targets known, %u of them not listed, %u entries held back",
          task->store_era, mr_target_table_count (task->target_table), missing,
          g_hash_table_size (task->held_entries));
}

static gboolean
S_is_of_kind (gpointer key, gpointer item, gpointer kind)
{
  (void) key;
  return ((const MrDeferredOffer *) item)->kind == *(const MrObjectKind *) kind;
}

void
mr_control_era_release_kind (MrControlTask *task, MrObjectKind kind)
{
  g_hash_table_foreach_remove (task->held_entries, S_is_of_kind, &kind);
}

/* What a peer has announced of an earlier era is dropped: in the current one the store lists the
 * object in another state, or not at all. */
void
mr_control_era_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, task->held_entries);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrDeferredOffer *held = item;
      if (held->due == 0)
        held->due = now + HOLD_TIME;
      if (now < held->due)
        {
          *next = MIN (*next, held->due);
          continue;
        }
      if (mr_version_era (held->version) == task->store_era)
        mr_replication_offer (task->replication, held->kind, mr_text (held->name), held->version,
                              mr_text_of (held->body), NULL);
      g_hash_table_iter_remove (&iter);
    }
}
