/* The task that serves callers and operators over HTTP (docs/CALLER-API.md).  It is the root of the
 * searches that this daemon receives, and keeps the tickets that this process has issued. */
#pragma once

#include "loop.h"
#include "settings.h"

typedef struct _MrEntryTask MrEntryTask;

typedef struct
{
  const MrSettings *settings;
  const guint8 *random; /* 32 bytes, for tickets */
  guint64 incarnation;
  guint32 seed;
  void (*stopped) (void *user); /* called once a planned stop is complete */
  void *user;
} MrEntryTaskInfo;

MrEntryTask *mr_entry_task_new (const MrEntryTaskInfo *info);
void mr_entry_task_free (MrEntryTask *task);
MrLoop *mr_entry_task_loop (MrEntryTask *task);
void mr_entry_task_connect (MrEntryTask *task, MrMailbox *targets, MrMailbox *control);

/* The 128-bit incarnation of the process, in hexadecimal. */
const char *mr_entry_task_incarnation (const MrEntryTask *task);
