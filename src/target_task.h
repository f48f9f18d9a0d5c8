/* Task that owns the connections to targets and carries out what the
 * dispatcher decides (docs/TARGET-PROTOCOL.md). */
#pragma once

#include "loop.h"

typedef struct _MrTargetTask MrTargetTask;

typedef struct
{
  const char *name;        /* this daemon's */
  const char *incarnation; /* hex; call ids carry its first digits */
  guint max_connections;   /* to all targets together */
  guint32 seed;
  guint64 content_key; /* of fingerprints */
} MrTargetTaskInfo;

MrTargetTask *mr_target_task_new (const MrTargetTaskInfo *info);
void mr_target_task_free (MrTargetTask *task);
MrLoop *mr_target_task_loop (MrTargetTask *task);

/* Where partials, reports and bytes for peers go; before the loop runs. */
void mr_target_task_connect (MrTargetTask *task, MrMailbox *entry, MrMailbox *control);
