#include "loop.h"

#include "log.h"
#include <stdatomic.h>
#include <stdbool.h>

enum
{
  SPARE_DESCRIPTORS = 16,
  HTTP_HEADER_BYTES = 8192,
  HTTP_HEADER_POOL_MAX = 4096,
  /* Limits the delay if a wake-up is lost. */
  MAX_WAIT_MS = 500,
};

struct _MrLoop
{
  MrLoopHandler *handler;
  struct lws_context *context;
  gboolean closing;
  struct lws_vhost *raw_vhost; /* NULL until the first stream is created */
  MrMailbox *mailbox;
  lws_sorted_usec_list_t timer;
  atomic_bool stop;
};

static void
S_wake (void *user)
{
  MrLoop *loop = user;
  lws_cancel_service (loop->context);
}

static void S_tick (MrLoop *loop);

/* libwebsockets runs expired timers and then waits for sockets before lws_service () returns, so
 * the tick has to run in the timer callback and not after that call. */
static void
S_on_timer (lws_sorted_usec_list_t *timer)
{
  S_tick (lws_container_of (timer, MrLoop, timer));
}

static void
S_tick (MrLoop *loop)
{
  MrTime now = mr_now ();
  MrTime next = loop->handler->on_tick (loop->handler, now);
  MrTime wait = CLAMP (next - now, 1, MAX_WAIT_MS * MR_MS);
  lws_sul_schedule (loop->context, 0, &loop->timer, S_on_timer, wait);
}

static void
S_on_library_log (int level, const char *line)
{
  bool error = (level & LLL_ERR) != 0;
  mr_log (error ? MR_LOG_WARNING : MR_LOG_DEBUG, MR_EVENT_LIBRARY_MESSAGE, "%.*s",
          (int) strcspn (line, "\n"), line);
}

MrLoop *
mr_loop_new (MrLoopHandler *handler, guint max_descriptors)
{
  lws_set_log_level (LLL_ERR, S_on_library_log);
  MrLoop *loop = g_new0 (MrLoop, 1);
  loop->handler = handler;
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6,
    .timeout_secs = 120,
    .connect_timeout_secs = 120,
    .fd_limit_per_thread = max_descriptors + SPARE_DESCRIPTORS,
    .max_http_header_data = HTTP_HEADER_BYTES,
    .max_http_header_pool =
        (unsigned short) MIN (max_descriptors + SPARE_DESCRIPTORS, HTTP_HEADER_POOL_MAX),
    .gid = (gid_t) -1,
    .uid = (uid_t) -1,
  };
  loop->context = lws_create_context (&info);
  if (!loop->context)
    {
      g_free (loop);
      mr_fail (MR_ERROR_SYSTEM,
               "cannot create the libwebsockets context: out of descriptors or memory");
      return NULL;
    }
  loop->mailbox = mr_mailbox_new (S_wake, loop);
  return loop;
}

void
mr_loop_free (MrLoop *loop)
{
  if (!loop)
    return;
  loop->closing = TRUE;
  lws_sul_schedule (loop->context, 0, &loop->timer, NULL, LWS_SET_TIMER_USEC_CANCEL);
  lws_context_destroy (loop->context);
  mr_mailbox_free (loop->mailbox);
  g_free (loop);
}

struct lws_context *
mr_loop_context (MrLoop *loop)
{
  return loop->context;
}

static const struct lws_protocols raw_protocols[] = {
  { .name = MR_LOOP_RAW_PROTOCOL, .callback = mr_loop_raw_callback },
  { 0 },
};

struct lws_vhost *
mr_loop_raw_vhost (MrLoop *loop)
{
  if (loop->raw_vhost)
    return loop->raw_vhost;
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = raw_protocols,
    .vhost_name = MR_LOOP_RAW_PROTOCOL,
  };
  loop->raw_vhost = lws_create_vhost (loop->context, &info);
  return loop->raw_vhost;
}

gboolean
mr_loop_is_closing (const MrLoop *loop)
{
  return loop->closing;
}

MrMailbox *
mr_loop_mailbox (MrLoop *loop)
{
  return loop->mailbox;
}

void
mr_loop_step (MrLoop *loop)
{
  for (MrMessage *m = mr_mailbox_take (loop->mailbox); m; m = mr_mailbox_take (loop->mailbox))
    if (loop->handler->on_message)
      loop->handler->on_message (loop->handler, m);
    else
      mr_message_free (m);
  S_tick (loop);
  lws_service (loop->context, 0);
}

void
mr_loop_run (MrLoop *loop)
{
  while (!atomic_load (&loop->stop))
    mr_loop_step (loop);
}

void
mr_loop_stop (MrLoop *loop)
{
  atomic_store (&loop->stop, true);
  lws_cancel_service (loop->context);
}
