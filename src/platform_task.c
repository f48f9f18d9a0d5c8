#include "platform_task.h"

#include "http_client.h"
#include "registry.h"

enum
{
  CONNECTION_SLOTS = 16, /* concurrent calls, including watches */
};

/* Timeout of a call, in addition to the wait that the request itself asks for. */
static const MrTime CALL_TIMEOUT = 2 * MR_SECOND;

typedef struct
{
  MrPlatformTask *task;
  MrPlatformRequest *request;
  MrHttpCall *call;
  guint slot;
  MrTime deadline;
} PendingCall;

struct _MrPlatformTask
{
  MrLoopHandler handler;
  MrLoop *loop;
  MrHttpClient *client;
  const MrPlatformCodec *codec;
  MrMailbox *results;
  char *ip;
  int port;
  PendingCall *calls[CONNECTION_SLOTS];
  GQueue waiting; /* MrPlatformRequest */
};

/* A write without an answer may still have been applied by the platform. */
static MrStatus
S_status_without_answer (const MrPlatformRequest *request, const MrHttpResponse *response)
{
  if (response && response->outcome == MR_HTTP_CONNECT_FAILED)
    return MR_ERROR_UNAVAILABLE;
  return request->action == MR_PLATFORM_WRITE ? MR_ERROR_OUTCOME_UNKNOWN : MR_ERROR_UNAVAILABLE;
}

/* Returns the era that a response states; 0 if it states none. */
static guint64
S_era (const MrHttpResponse *response)
{
  g_autofree char *text = mr_text_dup (response->header);
  guint64 era = 0;
  return g_ascii_string_to_unsigned (text, 10, 0, MR_ERA_MAX, &era, NULL) ? era : 0;
}

static void
S_post (MrPlatformTask *task, MrPlatformRequest *request, const MrHttpResponse *response)
{
  MrPlatformResult *result =
      mr_platform_result_new (request, (int) S_status_without_answer (request, response));
  if (response)
    result->era = S_era (response);
  if (response && response->outcome == MR_HTTP_OK)
    task->codec->decode (result, response->status, response->body);
  mr_mailbox_post (task->results, &result->base);
}

static void
S_finish_call (PendingCall *pending, const MrHttpResponse *response)
{
  MrPlatformTask *task = pending->task;
  task->calls[pending->slot] = NULL;
  S_post (task, pending->request, response);
  g_free (pending);
}

static gboolean
S_on_response (void *user, const MrHttpResponse *response)
{
  S_finish_call (user, response);
  return TRUE;
}

static void
S_start_call (MrPlatformTask *task, MrPlatformRequest *request, guint slot)
{
  MrPlatformCall call = { 0 };
  task->codec->encode (request, &call);
  g_autofree char *path = call.path;
  g_autoptr (GString) body = call.body;
  PendingCall *pending = g_new0 (PendingCall, 1);
  *pending = (PendingCall){
    .task = task,
    .request = request,
    .slot = slot,
    .deadline = mr_now () + CALL_TIMEOUT + request->wait_ms * MR_MS,
  };
  MrHttpCallInfo info = {
    .method = call.method,
    .ip = task->ip,
    .port = task->port,
    .connection_slot = slot,
    .wanted_header = task->codec->era_header,
    .path = path,
    .body = body ? mr_text_of (body) : (MrText){ 0 },
    .on_response = S_on_response,
    .user = pending,
  };
  pending->call = mr_http_client_call (task->client, &info);
  if (pending->call)
    {
      task->calls[slot] = pending;
      return;
    }
  const MrHttpResponse refused = { .outcome = MR_HTTP_CONNECT_FAILED };
  g_free (pending);
  S_post (task, request, &refused);
}

/* Runs in the tick rather than in a callback, where the connection slot of the completed call is
 * not free yet. */
static void
S_send_waiting (MrPlatformTask *task)
{
  for (guint slot = 0; slot < CONNECTION_SLOTS && !g_queue_is_empty (&task->waiting); slot++)
    if (!task->calls[slot])
      S_start_call (task, g_queue_pop_head (&task->waiting), slot);
}

static void
S_on_message (MrLoopHandler *handler, MrMessage *message)
{
  MrPlatformTask *task = (MrPlatformTask *) handler;
  if (message->type != MR_MESSAGE_PLATFORM_REQUEST)
    {
      mr_message_free (message);
      return;
    }
  g_queue_push_tail (&task->waiting, message);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  MrPlatformTask *task = (MrPlatformTask *) handler;
  MrTime next = MR_NEVER;
  S_send_waiting (task);
  for (guint slot = 0; slot < CONNECTION_SLOTS; slot++)
    {
      PendingCall *pending = task->calls[slot];
      if (!pending)
        continue;
      if (now >= pending->deadline)
        {
          mr_http_client_abort (pending->call);
          S_finish_call (pending, NULL);
        }
      else
        next = MIN (next, pending->deadline);
    }
  return next;
}

MrPlatformTask *
mr_platform_task_new (const char *ip, int port, const MrPlatformCodec *codec, MrMailbox *results)
{
  MrPlatformTask *task = g_new0 (MrPlatformTask, 1);
  task->handler = (MrLoopHandler){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->loop = mr_loop_new (&task->handler, CONNECTION_SLOTS);
  if (!task->loop)
    {
      g_free (task);
      return NULL;
    }
  task->client = mr_http_client_new (task->loop, CONNECTION_SLOTS);
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
  for (guint slot = 0; slot < CONNECTION_SLOTS; slot++)
    if (task->calls[slot])
      {
        mr_http_client_abort (task->calls[slot]->call);
        mr_message_free (&task->calls[slot]->request->base);
        g_free (task->calls[slot]);
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
