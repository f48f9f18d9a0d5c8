#include "http_client.h"

#include "buffer.h"
#include "log.h"
#include "metrics.h"

enum
{
  IDLE_TIMEOUT_SECONDS = 30,
  RECEIVE_BUFFER_BYTES = 8192,
  /* Limit enforced by libwebsockets; users of a call set shorter ones.  It is the limit for
   * connecting too, which libwebsockets also applies while a call on a reused connection waits. */
  RESPONSE_TIMEOUT_SECONDS = 120,
  KEEPALIVE_SECONDS = 1,
  KEEPALIVE_PROBES = 1,
  MAX_RESPONSE_BYTES = 4 * 1024 * 1024,
  /* Bytes after the head that are no part of the body: the framing of chunks. */
  MAX_OVERHEAD_BYTES = 1024 * 1024,
  /* Memory of all incomplete bodies of a client: eight of the largest ones. */
  MAX_MEMORY_BYTES = 8 * MAX_RESPONSE_BYTES,
  HEADER_VALUE_MAX = 64, /* including the terminating zero */
};

/* Type of the struct that the opaque pointer of a connection points to. */
typedef enum
{
  CONNECTION_CALL,
  CONNECTION_IDLE,
} ConnectionState;

/* An open connection without a call. */
typedef struct
{
  ConnectionState state;
  MrHttpClient *client;
  char *key; /* "ip:port/slot" */
} IdleConnection;

struct _MrHttpCall
{
  ConnectionState state;
  MrHttpClient *client;
  char *key; /* as in IdleConnection */
  struct lws *wsi;
  MrHttpResponseFunc on_response;
  void *user;
  GString *request_body; /* NULL if there is none, or once it was sent */
  MrBuffer response_body;
  GList link;       /* in client->calls */
  gboolean evicted; /* the body was freed for others; the connection is being closed */
  gsize received;   /* bytes read after the head */
  int status;
  const char *wanted_header; /* NULL: none */
  char header_value[HEADER_VALUE_MAX];
  gboolean request_started;
  gboolean finished;
};

struct _MrHttpClient
{
  struct lws_context *context;
  struct lws_protocols protocols[2];
  struct lws_vhost **vhosts;
  guint slot_count;
  GQueue calls;                 /* MrHttpCall */
  gsize memory;                 /* of their bodies */
  GHashTable *idle_connections; /* key -> struct lws* */
};

static void
S_report_given_up (const MrHttpCall *call, const char *reason)
{
  mr_metrics_add (MR_METRIC_RESPONSES_GIVEN_UP, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_RESPONSE_TOO_LARGE, "response from %s was given up: %s",
          call->key, reason);
}

static void
S_clear_body (MrHttpCall *call)
{
  call->client->memory -= call->response_body.allocated;
  mr_buffer_clear (&call->response_body);
}

static void
S_call_free (MrHttpCall *call)
{
  if (call->request_body)
    g_string_free (call->request_body, TRUE);
  S_clear_body (call);
  g_queue_unlink (&call->client->calls, &call->link);
  g_free (call->key);
  g_free (call);
}

static void
S_add_idle (MrHttpCall *call, struct lws *wsi)
{
  IdleConnection *idle = g_new (IdleConnection, 1);
  *idle = (IdleConnection){ .state = CONNECTION_IDLE,
                            .client = call->client,
                            .key = g_strdup (call->key) };
  lws_set_opaque_user_data (wsi, idle);
  g_hash_table_replace (call->client->idle_connections, g_strdup (call->key), wsi);
}

/* The connection is closed or used by a new call: removes it from the idle connections. */
static void
S_remove_idle (IdleConnection *idle, struct lws *wsi)
{
  if (g_hash_table_lookup (idle->client->idle_connections, idle->key) == wsi)
    g_hash_table_remove (idle->client->idle_connections, idle->key);
  lws_set_opaque_user_data (wsi, NULL);
  g_free (idle->key);
  g_free (idle);
}

/* Detaches the call from its connection, reports the outcome and frees the call.  Returns FALSE if
 * the connection must be closed. */
static gboolean
S_finish (MrHttpCall *call, MrHttpOutcome outcome)
{
  struct lws *wsi = call->wsi;
  if (wsi)
    lws_set_opaque_user_data (wsi, NULL);
  call->wsi = NULL;
  call->finished = TRUE;
  if (!call->on_response)
    return FALSE; /* still inside mr_http_client_call (), which frees the call */
  MrHttpResponse response = {
    .outcome = outcome,
    .status = call->status,
    .header = mr_text (call->header_value),
    .body = mr_buffer_text (&call->response_body),
  };
  gboolean reuse = call->on_response (call->user, &response) && outcome == MR_HTTP_OK;
  if (reuse && wsi)
    S_add_idle (call, wsi);
  S_call_free (call);
  return reuse;
}

static int
S_append_headers (struct lws *wsi, MrHttpCall *call, unsigned char **p, size_t len)
{
  if (!call->request_body)
    return 0;
  char length[24];
  int n = g_snprintf (length, sizeof length, "%zu", call->request_body->len);
  unsigned char *end = *p + len;
  if (lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, (unsigned char *) length, n,
                                    p, end))
    return -1;
  lws_client_http_body_pending (wsi, 1);
  lws_callback_on_writable (wsi);
  return 0;
}

static int
S_write_body (struct lws *wsi, MrHttpCall *call)
{
  if (!call->request_body)
    return 0;
  GString *body = call->request_body;
  unsigned char *buffer = g_malloc (LWS_PRE + body->len);
  memcpy (buffer + LWS_PRE, body->str, body->len);
  lws_client_http_body_pending (wsi, 0);
  int sent = lws_write (wsi, buffer + LWS_PRE, body->len, LWS_WRITE_HTTP_FINAL);
  int status = sent < (int) body->len ? -1 : 0;
  g_free (buffer);
  g_string_free (body, TRUE);
  call->request_body = NULL;
  return status;
}

/* Reads the status and the wanted header. */
static void
S_read_head (struct lws *wsi, MrHttpCall *call)
{
  call->status = (int) lws_http_client_http_response (wsi);
  if (!call->wanted_header ||
      lws_hdr_custom_copy (wsi, call->header_value, sizeof call->header_value, call->wanted_header,
                           (int) strlen (call->wanted_header)) < 0)
    call->header_value[0] = '\0';
}

/* Ends the calls with the largest incomplete bodies until @call can have an allocation of @bytes;
 * FALSE if it is one of them. */
static gboolean
S_make_room (MrHttpCall *call, gsize bytes)
{
  MrHttpClient *client = call->client;
  while (client->memory - call->response_body.allocated + bytes > MAX_MEMORY_BYTES)
    {
      MrHttpCall *largest = call;
      for (const GList *link = client->calls.head; link; link = link->next)
        {
          MrHttpCall *other = link->data;
          if (other->response_body.allocated >
              (largest == call ? bytes : largest->response_body.allocated))
            largest = other;
        }
      S_report_given_up (largest, "incomplete ones take too much memory together");
      largest->evicted = TRUE;
      S_clear_body (largest);
      if (largest == call)
        return FALSE;
      lws_set_timeout (largest->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
  return TRUE;
}

/* FALSE if the connection must be closed. */
static gboolean
S_append_body (MrHttpCall *call, MrText bytes)
{
  gsize len = call->response_body.len + bytes.len;
  if (len > MAX_RESPONSE_BYTES)
    S_report_given_up (call, "its body is too large");
  if (call->evicted || len > MAX_RESPONSE_BYTES)
    return FALSE;
  gsize allocation = mr_buffer_allocation (&call->response_body, len, MAX_RESPONSE_BYTES);
  if (!S_make_room (call, allocation))
    return FALSE;
  call->client->memory += allocation - call->response_body.allocated;
  mr_buffer_append (&call->response_body, bytes, MAX_RESPONSE_BYTES);
  return TRUE;
}

/* Reads once and passes the content on.  libwebsockets limits heads, but not the framing of chunks:
 * the size of one may have any number of digits. */
static int
S_receive (struct lws *wsi, MrHttpCall *call)
{
  char buffer[LWS_PRE + RECEIVE_BUFFER_BYTES];
  char *start = buffer + LWS_PRE;
  char *data = start;
  int len = RECEIVE_BUFFER_BYTES;
  if (lws_http_client_read (wsi, &data, &len) < 0)
    return -1;
  if (lws_get_opaque_user_data (wsi) != call)
    return 0; /* the response is complete, and the call was freed */
  /* Bytes that arrived together with the head are read from a buffer of libwebsockets. */
  if (data > start && data <= start + RECEIVE_BUFFER_BYTES)
    call->received += (gsize) (data - start);
  if (call->received <= call->response_body.len + MAX_OVERHEAD_BYTES)
    return 0;
  S_report_given_up (call, "too many bytes that are no part of its body");
  return -1;
}

static int
S_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  void *opaque = wsi ? lws_get_opaque_user_data (wsi) : NULL;
  if (opaque && *(ConnectionState *) opaque == CONNECTION_IDLE)
    {
      if (reason == LWS_CALLBACK_WSI_DESTROY)
        S_remove_idle (opaque, wsi);
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
  MrHttpCall *call = opaque;
  if (!call)
    {
      /* The connection of an aborted call must not be reused: a late response would be taken for
       * the response to the next call. */
      if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP)
        return -1;
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      /* A request is sent at most once.  If libwebsockets retried it on another connection, an
       * order would reach its target twice under the same dispatch.  The call ends with
       * MR_HTTP_CONNECTION_LOST instead, and the outcome of the order is reported as unknown. */
      if (call->request_started)
        return -1;
      call->request_started = TRUE;
      return S_append_headers (wsi, call, (unsigned char **) in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return S_write_body (wsi, call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      S_read_head (wsi, call);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return S_receive (wsi, call);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return S_append_body (call, (MrText){ .data = in, .len = len }) ? 0 : -1;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      return S_finish (call, call->evicted ? MR_HTTP_CONNECTION_LOST : MR_HTTP_OK) ? 0 : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      S_finish (call, call->request_started ? MR_HTTP_CONNECTION_LOST : MR_HTTP_CONNECT_FAILED);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      S_finish (call, MR_HTTP_CONNECTION_LOST);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

MrHttpClient *
mr_http_client_new (MrLoop *loop, guint slot_count)
{
  MrHttpClient *client = g_new0 (MrHttpClient, 1);
  client->context = mr_loop_context (loop);
  client->slot_count = slot_count;
  client->idle_connections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client->vhosts = g_new0 (struct lws_vhost *, slot_count);
  client->protocols[0] = (struct lws_protocols){
    .name = "client",
    .callback = S_callback,
    .rx_buffer_size = RECEIVE_BUFFER_BYTES,
  };
  return client;
}

void
mr_http_client_free (MrHttpClient *client)
{
  if (!client)
    return;
  g_hash_table_unref (client->idle_connections);
  g_free (client->vhosts);
  g_free (client);
}

static struct lws_vhost *
S_get_vhost (MrHttpClient *client, guint slot)
{
  if (client->vhosts[slot])
    return client->vhosts[slot];
  char name[24];
  g_snprintf (name, sizeof name, "slot-%u", slot);
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = client->protocols,
    .vhost_name = name,
    .timeout_secs = RESPONSE_TIMEOUT_SECONDS,
    .connect_timeout_secs = RESPONSE_TIMEOUT_SECONDS,
    /* A lost connection stays silent; the keepalive probes close it after
     * KEEPALIVE_SECONDS * (KEEPALIVE_PROBES + 1). */
    .ka_time = KEEPALIVE_SECONDS,
    .ka_probes = KEEPALIVE_PROBES,
    .ka_interval = KEEPALIVE_SECONDS,
  };
  client->vhosts[slot] = lws_create_vhost (client->context, &info);
  return client->vhosts[slot];
}

static char *
S_key (const char *ip, int port, guint slot)
{
  return g_strdup_printf ("%s:%d/%u", ip, port, slot);
}

MrHttpCall *
mr_http_client_call (MrHttpClient *client, const MrHttpCallInfo *info, gboolean *maybe_sent)
{
  if (maybe_sent)
    *maybe_sent = FALSE;
  g_return_val_if_fail (info->connection_slot < client->slot_count, NULL);
  struct lws_vhost *vhost = S_get_vhost (client, info->connection_slot);
  if (!vhost)
    return NULL;
  MrHttpCall *call = g_new0 (MrHttpCall, 1);
  call->state = CONNECTION_CALL;
  call->client = client;
  call->key = S_key (info->ip, info->port, info->connection_slot);
  call->link.data = call;
  g_queue_push_tail_link (&client->calls, &call->link);
  call->wanted_header = info->wanted_header;
  if (info->body.len > 0)
    call->request_body = g_string_new_len (info->body.data, (gssize) info->body.len);
  struct lws_client_connect_info connect = {
    .context = client->context,
    .address = info->ip,
    .port = info->port,
    .path = info->path,
    /* Without the port: libwebsockets looks for an idle connection by comparing the host of its
     * first call with the address of the new call. */
    .host = info->ip,
    .origin = info->ip,
    .method = info->method,
    .protocol = "client",
    .local_protocol_name = "client",
    .ssl_connection = info->new_connection ? 0 : LCCSCF_PIPELINE,
    .vhost = vhost,
    .pwsi = &call->wsi,
    .opaque_user_data = call,
    .keep_warm_secs = IDLE_TIMEOUT_SECONDS,
  };
  /* The connect call may report a connection error from within. */
  struct lws *wsi = lws_client_connect_via_info (&connect);
  if (!wsi || call->finished)
    {
      if (maybe_sent)
        *maybe_sent = call->request_started;
      S_call_free (call);
      return NULL;
    }
  call->on_response = info->on_response;
  call->user = info->user;
  return call;
}

void
mr_http_client_abort (MrHttpCall *call)
{
  if (call->wsi)
    {
      lws_set_opaque_user_data (call->wsi, NULL);
      /* Synchronously: the next call in this slot would otherwise be queued behind this connection
       * and end with it. */
      lws_set_timeout (call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
  S_call_free (call);
}

void
mr_http_client_close_idle (MrHttpClient *client, const char *ip, int port, guint slot)
{
  g_autofree char *key = S_key (ip, port, slot);
  struct lws *wsi = g_hash_table_lookup (client->idle_connections, key);
  if (wsi)
    lws_set_timeout (wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}
