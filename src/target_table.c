#include "target_table.h"

struct _MrTargetTable
{
  GHashTable *records; /* id -> MrTargetRecord */
  GHashTable *changed; /* set of ids */
};

void
mr_target_change_free (MrTargetChange *change)
{
  mr_target_record_unref (change->record);
  g_free (change);
}

MrTargetTable *
mr_target_table_new (void)
{
  MrTargetTable *table = g_new0 (MrTargetTable, 1);
  table->records = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify) mr_target_record_unref);
  table->changed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

void
mr_target_table_free (MrTargetTable *table)
{
  if (!table)
    return;
  g_hash_table_unref (table->records);
  g_hash_table_unref (table->changed);
  g_free (table);
}

void
mr_target_table_put (MrTargetTable *table, MrTargetRecord *record)
{
  g_hash_table_add (table->changed, g_strdup (record->target.id));
  g_hash_table_replace (table->records, record->target.id, record);
}

void
mr_target_table_remove (MrTargetTable *table, const char *id)
{
  if (!g_hash_table_contains (table->records, id))
    return;
  g_hash_table_add (table->changed, g_strdup (id));
  g_hash_table_remove (table->records, id);
}

guint
mr_target_table_count (const MrTargetTable *table)
{
  return g_hash_table_size (table->records);
}

void
mr_target_table_foreach (const MrTargetTable *table,
                         void (*visit) (const char *id, void *user),
                         void *user)
{
  GHashTableIter iter;
  gpointer id = NULL;
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    visit (id, user);
}

GPtrArray *
mr_target_table_take_changes (MrTargetTable *table)
{
  if (g_hash_table_size (table->changed) == 0)
    return NULL;
  GPtrArray *changes = g_ptr_array_new_full (g_hash_table_size (table->changed),
                                             (GDestroyNotify) mr_target_change_free);
  GHashTableIter iter;
  gpointer id = NULL;
  g_hash_table_iter_init (&iter, table->changed);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      MrTargetChange *change = g_new0 (MrTargetChange, 1);
      MrTargetRecord *record = g_hash_table_lookup (table->records, id);
      g_strlcpy (change->id, id, sizeof change->id);
      change->record = record ? mr_target_record_ref (record) : NULL;
      g_ptr_array_add (changes, change);
    }
  /* Start a new set: the old one would keep the capacity that it needed for all targets at
   * startup. */
  g_hash_table_unref (table->changed);
  table->changed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return changes;
}
