#include "http_client.h"

enum
{
  KEEP_WARM_SECONDS = 30,
  RECEIVE_BYTES = 8192,
  /* libwebsockets' own limits; users of a call set shorter ones.  Its limit for
   * connecting also runs while a call on a warm connection waits. */
  ANSWER_SECONDS = 120,
  KEEPALIVE_SECONDS = 1,
  KEEPALIVE_PROBES = 1,
  ANSWER_MAX = 4 * 1024 * 1024,
};

/* What the opaque pointer of a connection leads to. */
typedef enum
{
  TAG_CALL,
  TAG_IDLE,
} Tag;

/* A warm connection without a call. */
typedef struct
{
  Tag tag;
  MrHttpClient *client;
  char *key; /* "ip:port/lane" */
} Idle;

struct _MrHttpCall
{
  Tag tag;
  MrHttpClient *client;
  char *key; /* as of Idle */
  struct lws *wsi;
  MrHttpResponseFunc done;
  void *user;
  GString *out; /* request body, NULL if none */
  GString *in;
  int status;
  gboolean connected;
  gboolean finished;
};

struct _MrHttpClient
{
  struct lws_context *context;
  struct lws_protocols protocols[2];
  struct lws_vhost **vhosts;
  guint lanes;
  GHashTable *idle; /* key -> struct lws* */
};

static void
S_call_free (MrHttpCall *call)
{
  if (call->out)
    g_string_free (call->out, TRUE);
  g_string_free (call->in, TRUE);
  g_free (call->key);
  g_free (call);
}

static void
S_note_idle (MrHttpCall *call, struct lws *wsi)
{
  Idle *idle = g_new (Idle, 1);
  *idle = (Idle){ .tag = TAG_IDLE, .client = call->client, .key = g_strdup (call->key) };
  lws_set_opaque_user_data (wsi, idle);
  g_hash_table_replace (call->client->idle, g_strdup (call->key), wsi);
}

/* The warm connection has ended, or a new call has taken it over. */
static void
S_forget_idle (Idle *idle, struct lws *wsi)
{
  if (g_hash_table_lookup (idle->client->idle, idle->key) == wsi)
    g_hash_table_remove (idle->client->idle, idle->key);
  lws_set_opaque_user_data (wsi, NULL);
  g_free (idle->key);
  g_free (idle);
}

/* Detaches the call from its connection and reports, once.  Returns FALSE if the
 * connection is to be closed. */
static gboolean
S_finish (MrHttpCall *call, MrHttpOutcome outcome)
{
  struct lws *wsi = call->wsi;
  if (wsi)
    lws_set_opaque_user_data (wsi, NULL);
  call->wsi = NULL;
  call->finished = TRUE;
  if (!call->done)
    return FALSE; /* still inside mr_http_client_call (), which frees it */
  MrHttpResponse answer = {
    .outcome = outcome,
    .status = call->status,
    .body = mr_text_of (call->in),
  };
  gboolean keep = call->done (call->user, &answer) && outcome == MR_HTTP_OK;
  if (keep && wsi)
    S_note_idle (call, wsi);
  S_call_free (call);
  return keep;
}

static int
S_append_headers (struct lws *wsi, MrHttpCall *call, unsigned char **p, size_t len)
{
  if (!call->out)
    return 0;
  char length[24];
  int n = g_snprintf (length, sizeof length, "%zu", call->out->len);
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
  if (!call->out)
    return 0;
  GString *body = call->out;
  unsigned char *buffer = g_malloc (LWS_PRE + body->len);
  memcpy (buffer + LWS_PRE, body->str, body->len);
  lws_client_http_body_pending (wsi, 0);
  int sent = lws_write (wsi, buffer + LWS_PRE, body->len, LWS_WRITE_HTTP_FINAL);
  int status = sent < (int) body->len ? -1 : 0;
  g_free (buffer);
  g_string_free (body, TRUE);
  call->out = NULL;
  return status;
}

static int
S_receive (struct lws *wsi)
{
  char buffer[LWS_PRE + RECEIVE_BYTES];
  char *data = buffer + LWS_PRE;
  int len = RECEIVE_BYTES;
  return lws_http_client_read (wsi, &data, &len) < 0 ? -1 : 0;
}

static int
S_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  void *opaque = wsi ? lws_get_opaque_user_data (wsi) : NULL;
  if (opaque && *(Tag *) opaque == TAG_IDLE)
    {
      if (reason == LWS_CALLBACK_WSI_DESTROY)
        S_forget_idle (opaque, wsi);
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
  MrHttpCall *call = opaque;
  if (!call)
    {
      /* An aborted call's connection must not be used again: a late answer on
       * it would be taken for the answer to the next call. */
      if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP)
        return -1;
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      /* A request goes out once.  Should the library start it over on another
       * connection, an order would reach its target twice under one dispatch;
       * the call ends as broken instead, which is told as "unknown". */
      if (call->connected)
        return -1;
      call->connected = TRUE;
      return S_append_headers (wsi, call, (unsigned char **) in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return S_write_body (wsi, call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      call->status = (int) lws_http_client_http_response (wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return S_receive (wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      if (call->in->len + len > ANSWER_MAX)
        return -1;
      g_string_append_len (call->in, in, (gssize) len);
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      return S_finish (call, MR_HTTP_OK) ? 0 : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      S_finish (call, call->connected ? MR_HTTP_CONNECTION_LOST : MR_HTTP_CONNECT_FAILED);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      S_finish (call, MR_HTTP_CONNECTION_LOST);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

MrHttpClient *
mr_http_client_new (MrLoop *loop, guint lanes)
{
  MrHttpClient *client = g_new0 (MrHttpClient, 1);
  client->context = mr_loop_context (loop);
  client->lanes = lanes;
  client->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client->vhosts = g_new0 (struct lws_vhost *, lanes);
  client->protocols[0] = (struct lws_protocols){
    .name = "client",
    .callback = S_callback,
    .rx_buffer_size = RECEIVE_BYTES,
  };
  return client;
}

void
mr_http_client_free (MrHttpClient *client)
{
  if (!client)
    return;
  g_hash_table_unref (client->idle);
  g_free (client->vhosts);
  g_free (client);
}

static struct lws_vhost *
S_lane (MrHttpClient *client, guint lane)
{
  if (client->vhosts[lane])
    return client->vhosts[lane];
  char name[24];
  g_snprintf (name, sizeof name, "lane-%u", lane);
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = client->protocols,
    .vhost_name = name,
    .timeout_secs = ANSWER_SECONDS,
    .connect_timeout_secs = ANSWER_SECONDS,
    /* A connection that something on the way has lost goes silent for good; the
     * probes end it after KEEPALIVE_SECONDS * (KEEPALIVE_PROBES + 1). */
    .ka_time = KEEPALIVE_SECONDS,
    .ka_probes = KEEPALIVE_PROBES,
    .ka_interval = KEEPALIVE_SECONDS,
  };
  client->vhosts[lane] = lws_create_vhost (client->context, &info);
  return client->vhosts[lane];
}

static char *
S_key (const char *ip, int port, guint lane)
{
  return g_strdup_printf ("%s:%d/%u", ip, port, lane);
}

MrHttpCall *
mr_http_client_call (MrHttpClient *client, const MrHttpCallInfo *info, gboolean *maybe_sent)
{
  if (maybe_sent)
    *maybe_sent = FALSE;
  g_return_val_if_fail (info->connection_slot < client->lanes, NULL);
  struct lws_vhost *vhost = S_lane (client, info->connection_slot);
  if (!vhost)
    return NULL;
  MrHttpCall *call = g_new0 (MrHttpCall, 1);
  call->tag = TAG_CALL;
  call->client = client;
  call->key = S_key (info->ip, info->port, info->connection_slot);
  call->in = g_string_new (NULL);
  if (info->body.len > 0)
    call->out = g_string_new_len (info->body.data, (gssize) info->body.len);
  struct lws_client_connect_info connect = {
    .context = client->context,
    .address = info->ip,
    .port = info->port,
    .path = info->path,
    /* Without the port: libwebsockets finds a warm connection by comparing the
     * host of its first call with the address of the next. */
    .host = info->ip,
    .origin = info->ip,
    .method = info->method,
    .protocol = "client",
    .local_protocol_name = "client",
    .ssl_connection = info->new_connection ? 0 : LCCSCF_PIPELINE,
    .vhost = vhost,
    .pwsi = &call->wsi,
    .opaque_user_data = call,
    .keep_warm_secs = KEEP_WARM_SECONDS,
  };
  /* A connection error may be reported from within the connect call. */
  struct lws *wsi = lws_client_connect_via_info (&connect);
  if (!wsi || call->finished)
    {
      if (maybe_sent)
        *maybe_sent = call->connected;
      S_call_free (call);
      return NULL;
    }
  call->done = info->on_response;
  call->user = info->user;
  return call;
}

void
mr_http_client_abort (MrHttpCall *call)
{
  if (call->wsi)
    {
      lws_set_opaque_user_data (call->wsi, NULL);
      /* At once: a call that took the lane next would be queued behind this
       * connection and end with it. */
      lws_set_timeout (call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
  S_call_free (call);
}

void
mr_http_client_close_idle (MrHttpClient *client, const char *ip, int port, guint lane)
{
  g_autofree char *key = S_key (ip, port, lane);
  struct lws *wsi = g_hash_table_lookup (client->idle, key);
  if (wsi)
    lws_set_timeout (wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}
