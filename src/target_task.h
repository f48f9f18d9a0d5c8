/* Task that owns the connections to targets and sends the calls that the dispatcher decides on
 * (docs/TARGET-PROTOCOL.md). */
#pragma once

#include "loop.h"

typedef struct _MrTargetTask MrTargetTask;

typedef struct
{
  const char *name;        /* of this daemon */
  const char *incarnation; /* hex; call ids start with its first digits */
  guint max_connections;   /* total to all targets */
  guint32 seed;
  guint64 content_key; /* key for content fingerprints */
} MrTargetTaskInfo;

MrTargetTask *mr_target_task_new (const MrTargetTaskInfo *info);
void mr_target_task_free (MrTargetTask *task);
MrLoop *mr_target_task_loop (MrTargetTask *task);

/* Sets the mailboxes that receive partials, reports and messages for peers.  To be called
 * before the loop runs. */
void mr_target_task_connect (MrTargetTask *task, MrMailbox *entry, MrMailbox *control);
