/* The one task of a relay that carries requests: callers on one side, targets
 * on the other, decisions in relay.h between them.
 *
 * It learns configuration, targets and members from the control task's views
 * and tells it whether this daemon is ready or leaving. */
#pragma once

#include "dialect.h"
#include "loop.h"
#include "relay_settings.h"

enum
{
  /* One plain success in this many has a log line; all else has one each. */
  MR_SUCCESS_LOG_INTERVAL = 50,
};

typedef struct _MrRelayTask MrRelayTask;

typedef struct
{
  const MrRelaySettings *settings;
  const MrDialect *dialect;
  guint32 seed;
  void (*stopped) (void *user); /* a planned stop is complete */
  void *user;
} MrRelayTaskInfo;

/* NULL with a message if an address can't be had. */
MrRelayTask *mr_relay_task_new (const MrRelayTaskInfo *info);
void mr_relay_task_free (MrRelayTask *task);
void mr_relay_task_connect (MrRelayTask *task, MrMailbox *control);
MrLoop *mr_relay_task_loop (MrRelayTask *task);
