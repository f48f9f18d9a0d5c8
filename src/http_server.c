#include "http_server.h"

enum
{
  URI_MAX_BYTES = 4096,
  ARG_MAX_BYTES = 4096,
  /* The connection is closed if a request takes longer than this to arrive. */
  REQUEST_TIMEOUT_SECONDS = 10,
  KEEPALIVE_SECONDS = 60,
  REPLY_HEADER_BYTES = 1024,
};

/* State of one request, allocated by libwebsockets and zeroed for each request.  State of the
 * connection is kept in its opaque pointer instead: the number of requests so far. */
typedef struct
{
  guint64 id; /* 0: no request in progress */
  char method[8];
  GString *path;
  GString *body;
  GHashTable *query_args;
  GString *reply_body;
  int reply_status;
  const char *reply_type;
  guint retry_after_seconds;
  gboolean headers_sent;
  gboolean too_large;
  gboolean dropped;
  size_t reply_offset;
  gboolean first_on_connection;
} Session;

typedef struct
{
  struct lws *wsi;
  Session *session;
} PendingRequest;

struct _MrHttpServer
{
  MrHttpHandler *handler;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  GHashTable *pending; /* guint64 id -> Pending */
  guint64 last_id;
  size_t max_body_bytes;
  guint connections;
  guint max_connections;
};

static void
S_session_reset (Session *s)
{
  if (s->path)
    g_string_free (s->path, TRUE);
  if (s->body)
    g_string_free (s->body, TRUE);
  if (s->reply_body)
    g_string_free (s->reply_body, TRUE);
  if (s->query_args)
    g_hash_table_unref (s->query_args);
  *s = (Session){ 0 };
}

static const struct
{
  enum lws_token_indexes token;
  const char *name;
} methods[] = {
  { WSI_TOKEN_GET_URI, "GET" },         { WSI_TOKEN_POST_URI, "POST" },
  { WSI_TOKEN_PUT_URI, "PUT" },         { WSI_TOKEN_DELETE_URI, "DELETE" },
#if defined(LWS_ROLE_H2)
  { WSI_TOKEN_HTTP_COLON_PATH, "GET" },
#endif
};

static gboolean
S_read_request_line (struct lws *wsi, Session *s)
{
  char uri[URI_MAX_BYTES];
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    {
      int len = lws_hdr_copy (wsi, uri, sizeof uri, methods[i].token);
      if (len <= 0)
        continue;
      g_strlcpy (s->method, methods[i].name, sizeof s->method);
      s->path = g_string_new_len (uri, len);
      return TRUE;
    }
  return FALSE;
}

static void
S_read_query_args (struct lws *wsi, Session *s)
{
  s->query_args = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char arg[ARG_MAX_BYTES];
  for (int i = 0;; i++)
    {
      int len = lws_hdr_copy_fragment (wsi, arg, sizeof arg, WSI_TOKEN_HTTP_URI_ARGS, i);
      if (len < 0)
        return;
      char *equals = memchr (arg, '=', (size_t) len);
      if (!equals)
        continue;
      g_hash_table_replace (s->query_args, g_strndup (arg, (gsize) (equals - arg)),
                            g_strndup (equals + 1, (gsize) (arg + len - equals - 1)));
    }
}

/* Passes a completely received request to the handler. */
static void
S_deliver_request (MrHttpServer *server, struct lws *wsi, Session *s)
{
  s->id = ++server->last_id;
  PendingRequest *pending = g_new (PendingRequest, 1);
  *pending = (PendingRequest){ .wsi = wsi, .session = s };
  g_hash_table_insert (server->pending, &s->id, pending);
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  /* Stops reading until the reply is set: libwebsockets would not consume further input before that
   * and would busy-loop if the caller disconnects or pipelines a request. */
  lws_rx_flow_control (wsi, 0);
  if (s->too_large)
    {
      MrHttpReply reply = {
        .status = 413,
        .body = MR_TEXT ("{\"result\":407,\"name\":\"too-large\",\"ran\":\"not run\"}\n"),
      };
      mr_http_server_reply (server, s->id, &reply);
      return;
    }
  MrHttpRequest request = {
    .id = s->id,
    .method = mr_text (s->method),
    .path = mr_text_of (s->path),
    .body = mr_text_of (s->body),
    .query_args = s->query_args,
    .first_on_connection = s->first_on_connection,
  };
  server->handler->on_request (server->handler, &request);
}

static int
S_on_http (MrHttpServer *server, struct lws *wsi, Session *s)
{
  S_session_reset (s);
  gsize requests = GPOINTER_TO_SIZE (lws_get_opaque_user_data (wsi));
  lws_set_opaque_user_data (wsi, GSIZE_TO_POINTER (requests + 1));
  s->first_on_connection = requests == 0;
  server->connections += requests == 0;
  if (!S_read_request_line (wsi, s))
    {
      lws_return_http_status (wsi, HTTP_STATUS_METHOD_NOT_ALLOWED, NULL);
      return lws_http_transaction_completed (wsi);
    }
  S_read_query_args (wsi, s);
  s->body = g_string_new (NULL);
  char length[24];
  guint64 bytes = 0;
  int len = lws_hdr_copy (wsi, length, sizeof length, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (len > 0 && !mr_text_parse_u64 ((MrText){ length, (size_t) len }, &bytes))
    {
      lws_return_http_status (wsi, HTTP_STATUS_BAD_REQUEST, NULL);
      return lws_http_transaction_completed (wsi);
    }
  s->too_large = bytes > server->max_body_bytes;
  if (bytes == 0 || g_str_equal (s->method, "GET"))
    S_deliver_request (server, wsi, s);
  else
    lws_set_timeout (wsi, PENDING_TIMEOUT_HTTP_CONTENT, REQUEST_TIMEOUT_SECONDS);
  return 0;
}

static int
S_write_headers (struct lws *wsi, Session *s)
{
  unsigned char buffer[LWS_PRE + REPLY_HEADER_BYTES];
  unsigned char *p = buffer + LWS_PRE;
  unsigned char *start = p;
  unsigned char *end = buffer + sizeof buffer - 1;
  const char *type = s->reply_type ? s->reply_type : "application/json";
  if (lws_add_http_common_headers (wsi, (unsigned) s->reply_status, type, s->reply_body->len, &p,
                                   end))
    return -1;
  if (s->retry_after_seconds > 0)
    {
      char seconds[16];
      int n = g_snprintf (seconds, sizeof seconds, "%u", s->retry_after_seconds);
      if (lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_RETRY_AFTER, (unsigned char *) seconds,
                                        n, &p, end))
        return -1;
    }
  return lws_finalize_write_http_header (wsi, start, &p, end);
}

/* Sends the next chunk of the body; lws_write () needs LWS_PRE bytes of headroom before it. */
static int
S_write_body (struct lws *wsi, Session *s)
{
  enum
  {
    CHUNK_BYTES = 32768
  };
  unsigned char chunk[LWS_PRE + CHUNK_BYTES];
  size_t remaining = s->reply_body->len - s->reply_offset;
  size_t len = MIN (remaining, (size_t) CHUNK_BYTES);
  memcpy (chunk + LWS_PRE, s->reply_body->str + s->reply_offset, len);
  enum lws_write_protocol kind = len == remaining ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (lws_write (wsi, chunk + LWS_PRE, len, kind) < (int) len)
    return -1;
  s->reply_offset += len;
  return 0;
}

static int
S_on_writable (MrHttpServer *server, struct lws *wsi, Session *s)
{
  if (s->dropped)
    return -1;
  if (!s->reply_body)
    return 0;
  if (!s->headers_sent)
    {
      if (S_write_headers (wsi, s) < 0)
        return -1;
      s->headers_sent = TRUE;
      if (s->reply_body->len > 0)
        {
          lws_callback_on_writable (wsi);
          return 0;
        }
    }
  else if (S_write_body (wsi, s) < 0)
    return -1;
  if (s->reply_offset < s->reply_body->len)
    {
      lws_callback_on_writable (wsi);
      return 0;
    }
  g_hash_table_remove (server->pending, &s->id);
  S_session_reset (s);
  return lws_http_transaction_completed (wsi) ? -1 : 0;
}

static void
S_on_closed (MrHttpServer *server, Session *s)
{
  if (s->id && g_hash_table_remove (server->pending, &s->id) && server->handler->on_disconnect)
    server->handler->on_disconnect (server->handler, s->id);
  S_session_reset (s);
}

static void
S_on_body (MrHttpServer *server, Session *s, const char *data, size_t len)
{
  if (s->body->len + len > server->max_body_bytes)
    s->too_large = TRUE; /* the rest is read and discarded */
  else
    g_string_append_len (s->body, data, (gssize) len);
}

static int
S_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  struct lws_vhost *vhost = lws_get_vhost (wsi);
  MrHttpServer *server = vhost ? lws_get_vhost_user (vhost) : NULL;
  Session *s = user;
  if (!server)
    return lws_callback_http_dummy (wsi, reason, user, in, len);
  switch (reason)
    {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
      return server->max_connections > 0 && server->connections >= server->max_connections;
    case LWS_CALLBACK_WSI_DESTROY:
      if (lws_get_opaque_user_data (wsi))
        server->connections--;
      lws_set_opaque_user_data (wsi, NULL);
      return 0;
    case LWS_CALLBACK_HTTP:
      return S_on_http (server, wsi, s);
    case LWS_CALLBACK_HTTP_BODY:
      if (s && s->body)
        S_on_body (server, s, in, len);
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (s && s->body && s->id == 0)
        S_deliver_request (server, wsi, s);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return s ? S_on_writable (server, wsi, s) : 0;
    case LWS_CALLBACK_CLOSED_HTTP:
      if (s)
        S_on_closed (server, s);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

MrHttpServer *
mr_http_server_new (
    MrLoop *loop, MrHttpHandler *handler, const char *ip, int port, size_t max_body_bytes)
{
  MrHttpServer *server = g_new0 (MrHttpServer, 1);
  server->handler = handler;
  server->max_body_bytes = max_body_bytes;
  server->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  server->protocols[0] = (struct lws_protocols){
    .name = "http",
    .callback = S_callback,
    .per_session_data_size = sizeof (Session),
  };
  struct lws_context_creation_info info = {
    .port = port,
    .iface = ip,
    .protocols = server->protocols,
    .keepalive_timeout = KEEPALIVE_SECONDS,
    .timeout_secs = REQUEST_TIMEOUT_SECONDS,
    .vhost_name = "server",
    .user = server,
  };
  server->vhost = lws_create_vhost (mr_loop_context (loop), &info);
  if (!server->vhost)
    {
      mr_http_server_free (server);
      mr_fail (MR_ERROR_SYSTEM, "cannot listen on %s:%d", ip, port);
      return NULL;
    }
  return server;
}

void
mr_http_server_free (MrHttpServer *server)
{
  if (!server)
    return;
  g_hash_table_unref (server->pending);
  g_free (server);
}

void
mr_http_server_reply (MrHttpServer *server, guint64 id, const MrHttpReply *reply)
{
  PendingRequest *pending = g_hash_table_lookup (server->pending, &id);
  if (!pending || pending->session->reply_body)
    return;
  Session *s = pending->session;
  s->reply_body = g_string_new_len (reply->body.data, (gssize) reply->body.len);
  s->reply_status = reply->status;
  s->reply_type = reply->content_type;
  s->retry_after_seconds = reply->retry_after_seconds;
  lws_rx_flow_control (pending->wsi, 1);
  lws_callback_on_writable (pending->wsi);
}

guint
mr_http_server_pending_count (const MrHttpServer *server)
{
  return g_hash_table_size (server->pending);
}

void
mr_http_server_drop (MrHttpServer *server, guint64 id)
{
  PendingRequest *pending = g_hash_table_lookup (server->pending, &id);
  if (!pending)
    return;
  pending->session->dropped = TRUE;
  lws_rx_flow_control (pending->wsi, 1);
  lws_callback_on_writable (pending->wsi);
}

void
mr_http_server_set_max_connections (MrHttpServer *server, guint max_connections)
{
  server->max_connections = max_connections;
}

guint
mr_http_server_connection_count (const MrHttpServer *server)
{
  return server->connections;
}

const char *
mr_http_query_arg (const MrHttpRequest *request, const char *name, const char *fallback)
{
  const char *value = g_hash_table_lookup (request->query_args, name);
  return value ? value : fallback;
}
