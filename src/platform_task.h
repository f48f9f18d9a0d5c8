/* Task that speaks to the platform's object API (docs/PLATFORM-API.md).
 *
 * Takes MrPlatformRequest messages and posts one MrPlatformResult for each. It
 * decides nothing; a slow or dead platform stalls only this task's calls. */
#pragma once

#include "loop.h"
#include "platform_codec.h"

typedef struct _MrPlatformTask MrPlatformTask;

/* @results: where results go. */
MrPlatformTask *
mr_platform_task_new (const char *ip, int port, const MrPlatformCodec *codec, MrMailbox *results);
void mr_platform_task_free (MrPlatformTask *task);
MrLoop *mr_platform_task_loop (MrPlatformTask *task);
