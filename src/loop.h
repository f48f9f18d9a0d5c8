/* Event loop of one task: a libwebsockets context, a mailbox and one timer.
 *
 * The descriptor table of the context is sized for the sockets of the task: libwebsockets scans
 * the table on each call, and one sized for the descriptor limit of the process costs five times
 * as much (docs/design/transport.md). */
#pragma once

#include "clock.h"
#include "mailbox.h"
#include "status.h"
#include <libwebsockets.h>

typedef struct _MrLoop MrLoop;
typedef struct _MrLoopHandler MrLoopHandler;

/* Callbacks; embedded as the first member of the task that runs the loop. */
struct _MrLoopHandler
{
  /* Takes ownership of @message.  NULL if no messages are expected; any are freed. */
  void (*on_message) (MrLoopHandler *handler, MrMessage *message);
  /* Called in each iteration; returns the time of the next call, or MR_NEVER. */
  MrTime (*on_tick) (MrLoopHandler *handler, MrTime now);
};

/* @max_descriptors: the highest number of sockets that the task has open at once. */
MrLoop *mr_loop_new (MrLoopHandler *handler, guint max_descriptors);
void mr_loop_free (MrLoop *loop);
struct lws_context *mr_loop_context (MrLoop *loop);
MrMailbox *mr_loop_mailbox (MrLoop *loop);

/* Vhost of the streams (stream.h); its only protocol calls mr_loop_raw_callback (), which is
 * implemented in stream.c. */
#define MR_LOOP_RAW_PROTOCOL "stream"
struct lws_vhost *mr_loop_raw_vhost (MrLoop *loop);
/* TRUE inside mr_loop_free (): streams are then freed without calling their handlers. */
gboolean mr_loop_is_closing (const MrLoop *loop);
int mr_loop_raw_callback (
    struct lws *wsi, enum lws_callback_reasons reason, void *session, void *in, size_t len);

/* Runs until mr_loop_stop () is called.  Only one thread may run a loop. */
void mr_loop_run (MrLoop *loop);

/* Runs one iteration, for programs that drive the loop themselves. */
void mr_loop_step (MrLoop *loop);

/* May be called from any thread. */
void mr_loop_stop (MrLoop *loop);
