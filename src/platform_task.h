/* Task that calls the platform's object API (docs/PLATFORM-API.md).
 *
 * It takes MrPlatformRequest messages and posts one MrPlatformResult for each. It makes no
 * decisions; a slow or unreachable platform delays only the calls of this task. */
#pragma once

#include "loop.h"
#include "platform_codec.h"

typedef struct _MrPlatformTask MrPlatformTask;

/* @results: mailbox for the results. */
MrPlatformTask *
mr_platform_task_new (const char *ip, int port, const MrPlatformCodec *codec, MrMailbox *results);
void mr_platform_task_free (MrPlatformTask *task);
MrLoop *mr_platform_task_loop (MrPlatformTask *task);
