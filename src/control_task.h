/* Task of the controllers: members, objects in force and their spread, the
 * platform's watches, and the traffic with other daemons.
 *
 * It publishes a view to the entry and target tasks whenever something in it
 * changes; they never ask. */
#pragma once

#include "mailbox.h"
#include "settings.h"

typedef struct _MrControlTask MrControlTask;

typedef struct
{
  const MrSettings *settings;
  guint64 incarnation; /* of the process, as in messages between daemons */
  guint32 seed;
  gboolean relay; /* routes and targets are followed, not documents */
} MrControlTaskInfo;

MrControlTask *mr_control_task_new (const MrControlTaskInfo *info);
void mr_control_task_free (MrControlTask *task);
MrMailbox *mr_control_task_mailbox (MrControlTask *task);

/* Where messages for the other tasks go; before the task runs. */
void mr_control_task_connect (MrControlTask *task,
                              MrMailbox *entry,
                              MrMailbox *targets,
                              MrMailbox *platform);

/* Runs until mr_control_task_stop (). */
void mr_control_task_run (MrControlTask *task);
/* The same as the body of a thread. */
void *mr_control_task_thread (void *task);
void mr_control_task_stop (MrControlTask *task);
