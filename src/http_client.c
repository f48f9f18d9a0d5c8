#include "http_client.h"

#include "http_message.h"
#include "log.h"
#include "metrics.h"
#include "stream.h"

enum
{
  MAX_RESPONSE_BYTES = 4 * 1024 * 1024,
  /* Bytes of a response that belong neither to its head nor to its body. */
  MAX_OVERHEAD_BYTES = 1024 * 1024,
  /* Memory of all incomplete responses of a client: eight of the largest ones. */
  MAX_MEMORY_BYTES = 8 * MAX_RESPONSE_BYTES,
  LOSS_TIMEOUT_SECONDS = 2,
};

static const MrTime IDLE_TIMEOUT = 30 * MR_SECOND;

static const MrHttpLimits response_limits = {
  .max_body_bytes = MAX_RESPONSE_BYTES,
  .max_overhead_bytes = MAX_OVERHEAD_BYTES,
};

/* A connection with its call, or without one while it is idle. */
struct _MrHttpCall
{
  MrStreamHandler handler;
  MrHttpClient *client;
  MrStream *stream;
  char *key;  /* "ip:port/slot" */
  GList link; /* in client->calls or client->idle */
  gboolean idle;
  MrTime idle_since;
  gboolean single_use;
  GString *pending_request; /* the request, until the connection is established */
  guint64 sent_at_start;    /* bytes sent on the connection before the call */
  MrHttpParser *parser;
  const char *wanted_header; /* NULL: none */
  MrHttpResponseFunc on_response;
  void *user;
  gboolean *freed; /* set when the connection is freed; NULL: nobody asks */
};

struct _MrHttpClient
{
  MrLoop *loop;
  guint slot_count;
  GQueue calls;            /* MrHttpCall */
  GQueue idle;             /* MrHttpCall, idle for longest first */
  GHashTable *idle_by_key; /* key -> MrHttpCall in `idle` */
  gsize *memory;           /* of all responses; g_rc_box */
};

MrHttpClient *
mr_http_client_new (MrLoop *loop, guint slot_count)
{
  MrHttpClient *client = g_new0 (MrHttpClient, 1);
  client->loop = loop;
  client->slot_count = slot_count;
  client->idle_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  client->memory = g_rc_box_new0 (gsize);
  g_queue_init (&client->calls);
  g_queue_init (&client->idle);
  return client;
}

static char *
S_key (const char *ip, int port, guint slot)
{
  return g_strdup_printf ("%s:%d/%u", ip, port, slot);
}

/* Connections. */

static void
S_remove_from_idle (MrHttpCall *call)
{
  g_hash_table_remove (call->client->idle_by_key, call->key);
  g_queue_unlink (&call->client->idle, &call->link);
  g_queue_push_tail_link (&call->client->calls, &call->link);
  call->idle = FALSE;
}

static void
S_free (MrHttpCall *call)
{
  if (call->idle)
    S_remove_from_idle (call);
  g_queue_unlink (&call->client->calls, &call->link);
  if (call->freed)
    *call->freed = TRUE;
  if (call->pending_request)
    g_string_free (call->pending_request, TRUE);
  mr_http_parser_free (call->parser);
  g_free (call->key);
  g_free (call);
}

static void
S_close (MrHttpCall *call)
{
  mr_stream_close (call->stream);
  S_free (call);
}

/* Keeps the connection for the next call in its slot. */
static void
S_make_idle (MrHttpCall *call)
{
  MrHttpClient *client = call->client;
  MrHttpCall *other = g_hash_table_lookup (client->idle_by_key, call->key);
  if (other)
    S_close (other);
  mr_http_parser_reset (call->parser);
  call->idle = TRUE;
  call->idle_since = mr_now ();
  g_queue_unlink (&client->calls, &call->link);
  g_queue_push_tail_link (&client->idle, &call->link);
  g_hash_table_insert (client->idle_by_key, call->key, call);
}

static void
S_close_expired (MrHttpClient *client, MrTime now)
{
  for (MrHttpCall *oldest = g_queue_peek_head (&client->idle);
       oldest && now - oldest->idle_since > IDLE_TIMEOUT;
       oldest = g_queue_peek_head (&client->idle))
    S_close (oldest);
}

/* Responses. */

static MrText
S_find_wanted_header (const MrHttpCall *call)
{
  guint count = 0;
  MrText value = { 0 };
  if (call->wanted_header)
    value = mr_http_parser_find_field (call->parser, call->wanted_header, &count);
  return count == 1 ? value : (MrText){ 0 };
}

/* Reports the outcome, and frees the call unless its connection is kept. */
static void
S_finish (MrHttpCall *call, MrHttpOutcome outcome, gboolean in_sync)
{
  MrHttpResponse response = { .outcome = outcome };
  if (outcome == MR_HTTP_OK)
    {
      response.status = mr_http_parser_status (call->parser);
      response.header = S_find_wanted_header (call);
      response.body = mr_http_parser_body (call->parser);
    }
  gboolean keep = call->on_response (call->user, &response) && in_sync && !call->single_use &&
                  outcome == MR_HTTP_OK && mr_http_parser_keep_alive (call->parser);
  if (keep)
    S_make_idle (call);
  else
    S_close (call);
}

static void
S_report_given_up (const MrHttpCall *call, const char *reason)
{
  mr_metrics_add (MR_METRIC_RESPONSES_GIVEN_UP, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_RESPONSE_TOO_LARGE, "response from %s was given up: %s",
          call->key, reason);
}

/* Reports a response that is malformed or exceeds a limit. */
static void
S_report_refused (const MrHttpCall *call)
{
  static const char *const reasons[] = {
    [MR_HTTP_HEAD_TOO_LARGE] = "its head is too large",
    [MR_HTTP_BODY_TOO_LARGE] = "its body is too large",
    [MR_HTTP_OVERHEAD_TOO_LARGE] = "too many bytes that are no part of its body",
  };
  MrHttpState state = mr_http_parser_state (call->parser);
  if (state < G_N_ELEMENTS (reasons) && reasons[state])
    {
      S_report_given_up (call, reasons[state]);
      return;
    }
  mr_metrics_add (MR_METRIC_RESPONSES_MALFORMED, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_RESPONSE_MALFORMED, "response from %s is not valid HTTP: %s",
          call->key, mr_http_parser_error (call->parser));
}

/* Returns the call with the largest incomplete response, where that of @call will have @memory. */
static MrHttpCall *
S_largest_response (MrHttpCall *call, gsize memory)
{
  MrHttpCall *largest = call;
  for (const GList *link = call->client->calls.head; link; link = link->next)
    {
      MrHttpCall *other = link->data;
      if (other != call && mr_http_parser_memory (other->parser) > memory)
        {
          largest = other;
          memory = mr_http_parser_memory (other->parser);
        }
    }
  return largest;
}

/* Ends the calls with the largest incomplete responses until @count more bytes can be read for
 * @call; FALSE if it is one of them, or was ended by the user of another one. */
static gboolean
S_make_room (MrHttpCall *call, gsize count)
{
  MrHttpClient *client = call->client;
  gboolean freed = FALSE;
  gsize growth =
      mr_http_parser_memory_after (call->parser, count) - mr_http_parser_memory (call->parser);
  call->freed = &freed;
  while (!freed && *client->memory + growth > MAX_MEMORY_BYTES)
    {
      MrHttpCall *largest =
          S_largest_response (call, mr_http_parser_memory (call->parser) + growth);
      S_report_given_up (largest, "incomplete ones take too much memory together");
      S_finish (largest, MR_HTTP_CONNECTION_LOST, FALSE);
    }
  if (!freed)
    call->freed = NULL;
  return !freed;
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  MrHttpCall *call = (MrHttpCall *) handler;
  mr_stream_write (stream, mr_text_of (call->pending_request));
  g_string_free (call->pending_request, TRUE);
  call->pending_request = NULL;
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  MrHttpCall *call = (MrHttpCall *) handler;
  if (call->idle)
    {
      /* They belong to no call: a late second response would be taken for that to the next one. */
      S_close (call);
      return;
    }
  if (!S_make_room (call, bytes.len))
    return;
  gsize used = mr_http_parser_feed (call->parser, bytes);
  MrHttpState state = mr_http_parser_state (call->parser);
  if (state == MR_HTTP_DONE)
    S_finish (call, MR_HTTP_OK, used == bytes.len && mr_stream_buffered_bytes (stream) == 0);
  else if (state > MR_HTTP_DONE)
    {
      S_report_refused (call);
      S_finish (call, MR_HTTP_CONNECTION_LOST, FALSE);
    }
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  MrHttpCall *call = (MrHttpCall *) handler;
  if (call->idle)
    {
      S_free (call);
      return;
    }
  if (end == MR_STREAM_EOF)
    mr_http_parser_finish (call->parser);
  gboolean sent = mr_stream_sent_bytes (stream) > call->sent_at_start;
  if (mr_http_parser_state (call->parser) == MR_HTTP_DONE)
    S_finish (call, MR_HTTP_OK, FALSE);
  else
    S_finish (call, sent ? MR_HTTP_CONNECTION_LOST : MR_HTTP_CONNECT_FAILED, FALSE);
}

static const MrStreamHandler stream_handler = {
  .on_open = S_on_open,
  .on_data = S_on_data,
  .on_end = S_on_end,
};

/* Calls. */

static GString *
S_format_request (const MrHttpCallInfo *info)
{
  GString *out = g_string_new (NULL);
  g_string_printf (out, "%s %s HTTP/1.1\r\nHost: %s:%d\r\n", info->method, info->path, info->ip,
                   info->port);
  if (info->new_connection)
    g_string_append (out, "Connection: close\r\n");
  if (info->body.len > 0)
    g_string_append_printf (out, "Content-Length: %zu\r\n", info->body.len);
  g_string_append (out, "\r\n");
  g_string_append_len (out, info->body.data, (gssize) info->body.len);
  return out;
}

static MrHttpCall *
S_connect (MrHttpClient *client, const MrHttpCallInfo *info)
{
  MrHttpCall *call = g_new0 (MrHttpCall, 1);
  call->handler = stream_handler;
  call->client = client;
  call->stream = mr_stream_connect (client->loop, &call->handler, info->ip, info->port);
  if (!call->stream)
    {
      g_free (call);
      return NULL;
    }
  mr_stream_set_loss_timeout (call->stream, LOSS_TIMEOUT_SECONDS);
  call->key = S_key (info->ip, info->port, info->connection_slot);
  call->parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  mr_http_parser_set_limits (call->parser, response_limits);
  mr_http_parser_set_account (call->parser, client->memory);
  call->link.data = call;
  g_queue_push_tail_link (&client->calls, &call->link);
  return call;
}

static MrHttpCall *
S_take_idle (MrHttpClient *client, const MrHttpCallInfo *info)
{
  if (info->new_connection)
    return NULL;
  g_autofree char *key = S_key (info->ip, info->port, info->connection_slot);
  MrHttpCall *call = g_hash_table_lookup (client->idle_by_key, key);
  if (call)
    S_remove_from_idle (call);
  return call;
}

MrHttpCall *
mr_http_client_call (MrHttpClient *client, const MrHttpCallInfo *info)
{
  g_return_val_if_fail (info->connection_slot < client->slot_count, NULL);
  S_close_expired (client, mr_now ());
  MrHttpCall *call = S_take_idle (client, info);
  gboolean connected = call != NULL;
  if (!call)
    call = S_connect (client, info);
  if (!call)
    return NULL;
  call->single_use = info->new_connection;
  call->wanted_header = info->wanted_header;
  call->on_response = info->on_response;
  call->user = info->user;
  call->sent_at_start = mr_stream_sent_bytes (call->stream);
  GString *request = S_format_request (info);
  if (!connected)
    {
      call->pending_request = request;
      return call;
    }
  mr_stream_write (call->stream, mr_text_of (request));
  g_string_free (request, TRUE);
  return call;
}

void
mr_http_client_abort (MrHttpCall *call)
{
  S_close (call);
}

void
mr_http_client_close_idle (MrHttpClient *client, const char *ip, int port, guint slot)
{
  g_autofree char *key = S_key (ip, port, slot);
  MrHttpCall *call = g_hash_table_lookup (client->idle_by_key, key);
  if (call)
    S_close (call);
}

void
mr_http_client_free (MrHttpClient *client)
{
  if (!client)
    return;
  /* The loop has freed their streams. */
  while (client->idle.head)
    S_free (client->idle.head->data);
  while (client->calls.head)
    S_free (client->calls.head->data);
  g_hash_table_unref (client->idle_by_key);
  g_rc_box_release (client->memory);
  g_free (client);
}
