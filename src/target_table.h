/* Table of the listed targets that also keeps which of them have changed since the last query.
 *
 * A subscriber processes the changes only, so the cost of a change does not depend on how many
 * targets are listed. */
#pragma once

#include "target_record.h"

typedef struct _MrTargetTable MrTargetTable;

typedef struct
{
  char id[MR_NAME_MAX + 1];
  MrTargetRecord *record; /* NULL if no longer listed */
} MrTargetChange;

void mr_target_change_free (MrTargetChange *change);

MrTargetTable *mr_target_table_new (void);
void mr_target_table_free (MrTargetTable *table);

/* Takes ownership of @record, which replaces any record with the same id. */
void mr_target_table_put (MrTargetTable *table, MrTargetRecord *record);
void mr_target_table_remove (MrTargetTable *table, const char *id);
guint mr_target_table_count (const MrTargetTable *table);
void mr_target_table_foreach (const MrTargetTable *table,
                              void (*visit) (const char *id, void *user),
                              void *user);

/* Returns a new array with an MrTargetChange for each id whose record has changed since the
 * last call, with its current record; NULL if none has. */
GPtrArray *mr_target_table_take_changes (MrTargetTable *table);
