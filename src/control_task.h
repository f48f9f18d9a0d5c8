/* Control task: members, replication of the objects in force, the platform's watches, and
 * messages to and from other daemons.
 *
 * It publishes a view to the entry and target tasks whenever the view changes; those tasks
 * never request one. */
#pragma once

#include "mailbox.h"
#include "settings.h"

typedef struct _MrControlTask MrControlTask;

typedef struct
{
  const MrSettings *settings;
  guint64 incarnation; /* of the process, as in messages between daemons */
  guint32 seed;
  gboolean relay; /* follows routes and targets instead of documents */
} MrControlTaskInfo;

MrControlTask *mr_control_task_new (const MrControlTaskInfo *info);
void mr_control_task_free (MrControlTask *task);
MrMailbox *mr_control_task_mailbox (MrControlTask *task);

/* Sets the mailboxes of the other tasks. To be called before the task runs. */
void mr_control_task_connect (MrControlTask *task,
                              MrMailbox *entry,
                              MrMailbox *targets,
                              MrMailbox *platform);

/* Runs the task until mr_control_task_stop () is called. */
void mr_control_task_run (MrControlTask *task);
/* Thread function that calls mr_control_task_run (). */
void *mr_control_task_thread (void *task);
void mr_control_task_stop (MrControlTask *task);
