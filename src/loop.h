/* Event loop of one task: a libwebsockets context, a mailbox and one timer.
 *
 * The context is kept small: libwebsockets scans its descriptor table on each
 * call, so a table sized to the task's own sockets costs a fifth of one sized
 * to the process limit (docs/design/transport.md). */
#pragma once

#include "clock.h"
#include "mailbox.h"
#include "status.h"
#include <libwebsockets.h>

typedef struct _MrLoop MrLoop;
typedef struct _MrLoopHandler MrLoopHandler;

/* Vtable; first member of the task that runs the loop. */
struct _MrLoopHandler
{
  /* Takes ownership of @message.  NULL: nobody sends it any. */
  void (*on_message) (MrLoopHandler *host, MrMessage *message);
  /* Called after each round; returns when it wants to be called again, or
   * MR_NEVER. */
  MrTime (*on_tick) (MrLoopHandler *host, MrTime now);
};

/* @descriptors: most sockets the task will hold at once. */
MrLoop *mr_loop_new (MrLoopHandler *host, guint descriptors);
void mr_loop_free (MrLoop *loop);
struct lws_context *mr_loop_context (MrLoop *loop);
MrMailbox *mr_loop_mailbox (MrLoop *loop);

/* Where streams (stream.h) live: a vhost whose one protocol is the callback
 * below. */
#define MR_LOOP_RAW_PROTOCOL "stream"
struct lws_vhost *mr_loop_raw_vhost (MrLoop *loop);
/* TRUE inside mr_loop_free (): streams end without telling their hosts. */
gboolean mr_loop_is_closing (const MrLoop *loop);
int mr_loop_raw_callback (
    struct lws *wsi, enum lws_callback_reasons reason, void *session, void *in, size_t len);

/* Runs until mr_loop_stop (); to be called from one thread only. */
void mr_loop_run (MrLoop *loop);

/* One round, for programs that drive the loop themselves. */
void mr_loop_step (MrLoop *loop);

/* From any thread. */
void mr_loop_stop (MrLoop *loop);
