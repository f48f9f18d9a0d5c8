#include "http_server.h"

enum
{
  URI_MAX = 4096,
  ARG_MAX = 4096,
  /* A sender slower than this for a whole request is cut off. */
  BODY_TIMEOUT_SECONDS = 10,
  KEEPALIVE_SECONDS = 60,
  HEADER_SPACE = 1024,
};

/* State of one request, held by libwebsockets, which zeroes it for each
 * request.  What belongs to the connection is its opaque pointer: the number
 * of requests so far. */
typedef struct
{
  guint64 id; /* 0: no request being served */
  char method[8];
  GString *path;
  GString *body;
  GHashTable *args;
  GString *out; /* reply body to send */
  int out_status;
  const char *out_type;
  guint out_retry_after;
  gboolean headers_sent;
  gboolean too_large;
  gboolean drop;
  size_t out_offset;
  gboolean first; /* request of its connection */
} Session;

typedef struct
{
  struct lws *wsi;
  Session *session;
} Pending;

struct _MrHttpServer
{
  MrHttpHandler *host;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  GHashTable *pending; /* guint64 id -> Pending */
  guint64 last_id;
  size_t max_body;
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
  if (s->out)
    g_string_free (s->out, TRUE);
  if (s->args)
    g_hash_table_unref (s->args);
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
S_read_line (struct lws *wsi, Session *s)
{
  char uri[URI_MAX];
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
S_read_args (struct lws *wsi, Session *s)
{
  s->args = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char arg[ARG_MAX];
  for (int i = 0;; i++)
    {
      int len = lws_hdr_copy_fragment (wsi, arg, sizeof arg, WSI_TOKEN_HTTP_URI_ARGS, i);
      if (len < 0)
        return;
      char *equals = memchr (arg, '=', (size_t) len);
      if (!equals)
        continue;
      g_hash_table_replace (s->args, g_strndup (arg, (gsize) (equals - arg)),
                            g_strndup (equals + 1, (gsize) (arg + len - equals - 1)));
    }
}

/* Hands a wholly read request to the host. */
static void
S_deliver (MrHttpServer *server, struct lws *wsi, Session *s)
{
  s->id = ++server->last_id;
  Pending *pending = g_new (Pending, 1);
  *pending = (Pending){ .wsi = wsi, .session = s };
  g_hash_table_insert (server->pending, &s->id, pending);
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  /* Until the reply nothing more is read: libwebsockets takes no input then,
   * and would spin on a caller that hangs up or sends ahead. */
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
    .query_args = s->args,
    .first_on_connection = s->first,
  };
  server->host->on_request (server->host, &request);
}

static int
S_on_http (MrHttpServer *server, struct lws *wsi, Session *s)
{
  S_session_reset (s);
  gsize requests = GPOINTER_TO_SIZE (lws_get_opaque_user_data (wsi));
  lws_set_opaque_user_data (wsi, GSIZE_TO_POINTER (requests + 1));
  s->first = requests == 0;
  server->connections += requests == 0;
  if (!S_read_line (wsi, s))
    {
      lws_return_http_status (wsi, HTTP_STATUS_METHOD_NOT_ALLOWED, NULL);
      return lws_http_transaction_completed (wsi);
    }
  S_read_args (wsi, s);
  s->body = g_string_new (NULL);
  char length[24];
  guint64 bytes = 0;
  int len = lws_hdr_copy (wsi, length, sizeof length, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (len > 0 && !mr_text_parse_u64 ((MrText){ length, (size_t) len }, &bytes))
    {
      lws_return_http_status (wsi, HTTP_STATUS_BAD_REQUEST, NULL);
      return lws_http_transaction_completed (wsi);
    }
  s->too_large = bytes > server->max_body;
  if (bytes == 0 || g_str_equal (s->method, "GET"))
    S_deliver (server, wsi, s);
  else
    lws_set_timeout (wsi, PENDING_TIMEOUT_HTTP_CONTENT, BODY_TIMEOUT_SECONDS);
  return 0;
}

static int
S_write_headers (struct lws *wsi, Session *s)
{
  unsigned char buffer[LWS_PRE + HEADER_SPACE];
  unsigned char *p = buffer + LWS_PRE;
  unsigned char *start = p;
  unsigned char *end = buffer + sizeof buffer - 1;
  const char *type = s->out_type ? s->out_type : "application/json";
  if (lws_add_http_common_headers (wsi, (unsigned) s->out_status, type, s->out->len, &p, end))
    return -1;
  if (s->out_retry_after > 0)
    {
      char seconds[16];
      int n = g_snprintf (seconds, sizeof seconds, "%u", s->out_retry_after);
      if (lws_add_http_header_by_token (wsi, WSI_TOKEN_HTTP_RETRY_AFTER, (unsigned char *) seconds,
                                        n, &p, end))
        return -1;
    }
  return lws_finalize_write_http_header (wsi, start, &p, end);
}

/* The body is sent in pieces, each with LWS_PRE bytes of head room. */
static int
S_write_body (struct lws *wsi, Session *s)
{
  enum
  {
    PIECE = 32768
  };
  unsigned char piece[LWS_PRE + PIECE];
  size_t left = s->out->len - s->out_offset;
  size_t len = MIN (left, (size_t) PIECE);
  memcpy (piece + LWS_PRE, s->out->str + s->out_offset, len);
  enum lws_write_protocol kind = len == left ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (lws_write (wsi, piece + LWS_PRE, len, kind) < (int) len)
    return -1;
  s->out_offset += len;
  return 0;
}

static int
S_on_writeable (MrHttpServer *server, struct lws *wsi, Session *s)
{
  if (s->drop)
    return -1;
  if (!s->out)
    return 0;
  if (!s->headers_sent)
    {
      if (S_write_headers (wsi, s) < 0)
        return -1;
      s->headers_sent = TRUE;
      if (s->out->len > 0)
        {
          lws_callback_on_writable (wsi);
          return 0;
        }
    }
  else if (S_write_body (wsi, s) < 0)
    return -1;
  if (s->out_offset < s->out->len)
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
  if (s->id && g_hash_table_remove (server->pending, &s->id) && server->host->on_disconnect)
    server->host->on_disconnect (server->host, s->id);
  S_session_reset (s);
}

static void
S_on_body (MrHttpServer *server, Session *s, const char *data, size_t len)
{
  if (s->body->len + len > server->max_body)
    s->too_large = TRUE; /* read on, but keep nothing more */
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
        S_deliver (server, wsi, s);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return s ? S_on_writeable (server, wsi, s) : 0;
    case LWS_CALLBACK_CLOSED_HTTP:
      if (s)
        S_on_closed (server, s);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

MrHttpServer *
mr_http_server_new (MrLoop *loop, MrHttpHandler *host, const char *ip, int port, size_t max_body)
{
  MrHttpServer *server = g_new0 (MrHttpServer, 1);
  server->host = host;
  server->max_body = max_body;
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
    .timeout_secs = BODY_TIMEOUT_SECONDS,
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
  Pending *pending = g_hash_table_lookup (server->pending, &id);
  if (!pending || pending->session->out)
    return;
  Session *s = pending->session;
  s->out = g_string_new_len (reply->body.data, (gssize) reply->body.len);
  s->out_status = reply->status;
  s->out_type = reply->content_type;
  s->out_retry_after = reply->retry_after_seconds;
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
  Pending *pending = g_hash_table_lookup (server->pending, &id);
  if (!pending)
    return;
  pending->session->drop = TRUE;
  lws_rx_flow_control (pending->wsi, 1);
  lws_callback_on_writable (pending->wsi);
}

void
mr_http_server_set_max_connections (MrHttpServer *server, guint most)
{
  server->max_connections = most;
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
