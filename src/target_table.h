/* Targets that are listed, and which of them have changed since that was last asked.
 *
 * Who follows the table takes over the changes alone: what a change costs does not
 * depend on how many targets are listed. */
#pragma once

#include "target_record.h"

typedef struct _MrTargetTable MrTargetTable;

typedef struct
{
  char id[MR_NAME_MAX + 1];
  MrTargetRecord *record; /* NULL: no longer listed */
} MrTargetChange;

void mr_target_change_free (MrTargetChange *change);

MrTargetTable *mr_target_table_new (void);
void mr_target_table_free (MrTargetTable *table);

/* Takes @record, in place of what is held under its id. */
void mr_target_table_put (MrTargetTable *table, MrTargetRecord *record);
void mr_target_table_remove (MrTargetTable *table, const char *id);
guint mr_target_table_count (const MrTargetTable *table);
void mr_target_table_foreach (const MrTargetTable *table,
                              void (*visit) (const char *id, void *user),
                              void *user);

/* MrTargetChange for each id whose record has changed since the last call, as it stands
 * now; new.  NULL: none. */
GPtrArray *mr_target_table_take_changes (MrTargetTable *table);
