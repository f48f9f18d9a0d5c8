#include "platform_task.h"

#include "http_client.h"

enum
{
  LANES = 16, /* calls at once, watches included */
};

/* Time a call may take over its own waiting time. */
static const MrTime CALL_WAIT = 2 * MR_SECOND;

typedef struct
{
  MrPlatformTask *task;
  MrPlatformRequest *request;
  MrHttpCall *call;
  guint lane;
  MrTime give_up_at;
} Exchange;

struct _MrPlatformTask
{
  MrLoopHost host;
  MrLoop *loop;
  MrHttpClient *client;
  const MrPlatformCodec *codec;
  MrMailbox *results;
  char *ip;
  int port;
  Exchange *lanes[LANES];
  GQueue waiting; /* MrPlatformRequest */
};

/* A write that got no answer may stand at the platform all the same. */
static MrStatus
S_lost_status (const MrPlatformRequest *request, const MrHttpAnswer *answer)
{
  if (answer && answer->outcome == MR_HTTP_REFUSED)
    return MR_ERROR_UNAVAIL;
  return request->action == MR_PLATFORM_WRITE ? MR_ERROR_UNSURE : MR_ERROR_UNAVAIL;
}

static void
S_post (MrPlatformTask *task, MrPlatformRequest *request, const MrHttpAnswer *answer)
{
  MrPlatformResult *result =
      mr_platform_result_new (request, (int) S_lost_status (request, answer));
  if (answer && answer->outcome == MR_HTTP_OK)
    task->codec->decode (result, answer->status, answer->body);
  mr_mailbox_post (task->results, &result->base);
}

static void
S_end (Exchange *exchange, const MrHttpAnswer *answer)
{
  MrPlatformTask *task = exchange->task;
  task->lanes[exchange->lane] = NULL;
  S_post (task, exchange->request, answer);
  g_free (exchange);
}

static gboolean
S_done (void *user, const MrHttpAnswer *answer)
{
  S_end (user, answer);
  return TRUE;
}

static void
S_start (MrPlatformTask *task, MrPlatformRequest *request, guint lane)
{
  MrPlatformCall call = { 0 };
  task->codec->encode (request, &call);
  g_autofree char *path = call.path;
  g_autoptr (GString) body = call.body;
  Exchange *exchange = g_new0 (Exchange, 1);
  *exchange = (Exchange){
    .task = task,
    .request = request,
    .lane = lane,
    .give_up_at = mr_now () + CALL_WAIT + request->wait_ms * MR_MS,
  };
  MrHttpCallInfo info = {
    .method = call.method,
    .ip = task->ip,
    .port = task->port,
    .lane = lane,
    .path = path,
    .body = body ? mr_text_of (body) : (MrText){ 0 },
    .done = S_done,
    .user = exchange,
  };
  gboolean maybe_sent = FALSE;
  exchange->call = mr_http_client_call (task->client, &info, &maybe_sent);
  if (exchange->call)
    {
      task->lanes[lane] = exchange;
      return;
    }
  MrHttpAnswer refused = { .outcome = maybe_sent ? MR_HTTP_BROKEN : MR_HTTP_REFUSED };
  g_free (exchange);
  S_post (task, request, &refused);
}

/* Sends from the tick, not from a callback: there the lane that has just come
 * free can't take another call yet. */
static void
S_send_waiting (MrPlatformTask *task)
{
  for (guint lane = 0; lane < LANES && !g_queue_is_empty (&task->waiting); lane++)
    if (!task->lanes[lane])
      S_start (task, g_queue_pop_head (&task->waiting), lane);
}

static void
S_on_message (MrLoopHost *host, MrMessage *message)
{
  MrPlatformTask *task = (MrPlatformTask *) host;
  if (message->type != MR_MESSAGE_PLATFORM_REQUEST)
    {
      mr_message_free (message);
      return;
    }
  g_queue_push_tail (&task->waiting, message);
}

static MrTime
S_on_tick (MrLoopHost *host, MrTime now)
{
  MrPlatformTask *task = (MrPlatformTask *) host;
  MrTime next = MR_NEVER;
  S_send_waiting (task);
  for (guint lane = 0; lane < LANES; lane++)
    {
      Exchange *exchange = task->lanes[lane];
      if (!exchange)
        continue;
      if (now >= exchange->give_up_at)
        {
          mr_http_client_abort (exchange->call);
          S_end (exchange, NULL);
        }
      else
        next = MIN (next, exchange->give_up_at);
    }
  return next;
}

MrPlatformTask *
mr_platform_task_new (const char *ip, int port, const MrPlatformCodec *codec, MrMailbox *results)
{
  MrPlatformTask *task = g_new0 (MrPlatformTask, 1);
  task->host = (MrLoopHost){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->loop = mr_loop_new (&task->host, LANES);
  if (!task->loop)
    {
      g_free (task);
      return NULL;
    }
  task->client = mr_http_client_new (task->loop, LANES);
  task->results = results;
  task->codec = codec;
  task->ip = g_strdup (ip);
  task->port = port;
  g_queue_init (&task->waiting);
  return task;
}

void
mr_platform_task_free (MrPlatformTask *task)
{
  if (!task)
    return;
  for (guint lane = 0; lane < LANES; lane++)
    if (task->lanes[lane])
      {
        mr_http_client_abort (task->lanes[lane]->call);
        mr_message_free (&task->lanes[lane]->request->base);
        g_free (task->lanes[lane]);
      }
  mr_loop_free (task->loop);
  mr_http_client_free (task->client);
  for (MrMessage *m = g_queue_pop_head (&task->waiting); m; m = g_queue_pop_head (&task->waiting))
    mr_message_free (m);
  g_free (task->ip);
  g_free (task);
}

MrLoop *
mr_platform_task_loop (MrPlatformTask *task)
{
  return task->loop;
}
