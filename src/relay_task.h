/* The task of a relay that forwards requests from callers to targets, as relay.h decides.
 *
 * It gets configuration, targets and members in views from the control task, and tells the control
 * task whether this daemon is ready or leaving. */
#pragma once

#include "dialect.h"
#include "loop.h"
#include "relay_settings.h"

enum
{
  /* Of the complete answers without hedges or retries, one in this many is logged; all other
   * results are logged. */
  MR_SUCCESS_LOG_INTERVAL = 50,
};

typedef struct _MrRelayTask MrRelayTask;

typedef struct
{
  const MrRelaySettings *settings;
  const MrDialect *dialect;
  guint32 seed;
  void (*stopped) (void *user); /* called when a planned stop is complete */
  void *user;
} MrRelayTaskInfo;

/* NULL with a status message if it cannot listen on one of its ports. */
MrRelayTask *mr_relay_task_new (const MrRelayTaskInfo *info);
void mr_relay_task_free (MrRelayTask *task);
void mr_relay_task_connect (MrRelayTask *task, MrMailbox *control);
MrLoop *mr_relay_task_loop (MrRelayTask *task);
