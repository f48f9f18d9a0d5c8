#include "http_server.h"

#include "stream.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <unistd.h>

enum
{
  URI_MAX_BYTES = 4096,
  ARG_MAX_BYTES = 4096,
  /* The connection is closed if a request takes longer than this to arrive. */
  REQUEST_TIMEOUT_SECONDS = 10,
  KEEPALIVE_SECONDS = 60,
  REPLY_HEADER_BYTES = 1024,
};

/* Time for the first request of a connection that was accepted as the listener closed, and for a
 * caller to close after a reply that announced the end of the connection. */
static const MrTime CLOSE_TIMEOUT = 1 * MR_SECOND;
static const MrTime CLOSE_CHECK_INTERVAL = 20 * MR_MS;

/* State of one request, allocated by libwebsockets and zeroed for each request. */
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
  gboolean closes; /* its reply announces the end of the connection */
  gboolean too_large;
  gboolean dropped;
  size_t reply_offset;
  gboolean first_on_connection;
  gboolean counted; /* in the open requests of its connection */
} Session;

typedef struct
{
  struct lws *wsi;
  Session *session;
  MrTime received_at;
} PendingRequest;

/* A connection, which carries several requests at once with HTTP/2.  It is kept in the opaque
 * pointer of the network connection, as libwebsockets chooses among the vhosts of a loop by their
 * names. */
typedef struct
{
  MrHttpServer *server;
  gsize request_count;
  MrTime idle_since; /* MR_NEVER while it receives or answers requests */
  guint open_requests;
  gboolean closing; /* its end was announced */
} Connection;

struct _MrHttpServer
{
  MrHttpHandler *handler;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  MrListener *listener;    /* NULL once closed */
  GHashTable *connections; /* struct lws * of the network connection -> Connection */
  GHashTable *pending;     /* guint64 id -> PendingRequest */
  guint64 last_id;
  size_t max_body_bytes;
  guint served_connections; /* that have sent a request */
  guint max_connections;
  gboolean draining;
  gboolean closed;
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

/* NULL until the connection belongs to a server. */
static Connection *
S_connection (struct lws *wsi)
{
  return lws_get_opaque_user_data (lws_get_network_wsi (wsi));
}

static void
S_begin_request (Connection *connection, Session *s)
{
  s->first_on_connection = connection->request_count == 0;
  s->counted = TRUE;
  connection->request_count++;
  connection->open_requests++;
  connection->idle_since = MR_NEVER;
  connection->server->served_connections += s->first_on_connection;
}

static void
S_end_request (Connection *connection, Session *s)
{
  connection->closing |= s->closes;
  if (s->counted && --connection->open_requests == 0)
    connection->idle_since = mr_now ();
  s->counted = FALSE;
}

/* Passes a completely received request to the handler. */
static void
S_deliver_request (MrHttpServer *server, struct lws *wsi, Session *s)
{
  s->id = ++server->last_id;
  PendingRequest *pending = g_new (PendingRequest, 1);
  *pending = (PendingRequest){ .wsi = wsi, .session = s, .received_at = mr_now () };
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
  S_end_request (S_connection (wsi), s);
  S_session_reset (s);
  S_begin_request (S_connection (wsi), s);
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

/* HTTP/2 has no header for the end of a connection. */
static gboolean
S_closes_after_reply (const MrHttpServer *server, struct lws *wsi)
{
  return server->draining && lws_get_network_wsi (wsi) == wsi;
}

static int
S_write_headers (const MrHttpServer *server, struct lws *wsi, Session *s)
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
  s->closes = S_closes_after_reply (server, wsi);
  if (s->closes && lws_add_http_header_by_token (wsi, WSI_TOKEN_CONNECTION,
                                                 (const unsigned char *) "close", 5, &p, end))
    return -1;
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
      if (S_write_headers (server, wsi, s) < 0)
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
  gboolean closes = s->closes;
  g_hash_table_remove (server->pending, &s->id);
  S_end_request (S_connection (wsi), s);
  S_session_reset (s);
  /* The library sends what it has buffered, and the end of the connection after it. */
  if (closes)
    return -1;
  return lws_http_transaction_completed (wsi) ? -1 : 0;
}

static void
S_on_closed (MrHttpServer *server, struct lws *wsi, Session *s)
{
  S_end_request (S_connection (wsi), s);
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

static void
S_on_destroy (struct lws *wsi)
{
  const Connection *connection = lws_get_opaque_user_data (wsi);
  if (!connection || g_hash_table_lookup (connection->server->connections, wsi) != connection)
    return;
  lws_set_opaque_user_data (wsi, NULL);
  connection->server->served_connections -= connection->request_count > 0;
  g_hash_table_remove (connection->server->connections, wsi);
}

static int
S_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len)
{
  const Connection *connection = wsi ? S_connection (wsi) : NULL;
  Session *s = user;
  if (!connection)
    return lws_callback_http_dummy (wsi, reason, user, in, len);
  MrHttpServer *server = connection->server;
  switch (reason)
    {
    case LWS_CALLBACK_WSI_DESTROY:
      S_on_destroy (wsi);
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
        S_on_closed (server, wsi, s);
      return 0;
    default:
      return lws_callback_http_dummy (wsi, reason, user, in, len);
    }
}

/* Takes ownership of @fd. */
static void
S_on_socket (void *user, int fd)
{
  MrHttpServer *server = user;
  if (server->max_connections > 0 && server->served_connections >= server->max_connections)
    {
      close (fd);
      return;
    }
  const int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct lws *wsi = lws_adopt_socket_vhost (server->vhost, fd);
  if (!wsi)
    return;
  Connection *connection = g_new0 (Connection, 1);
  connection->server = server;
  connection->idle_since = mr_now ();
  lws_set_opaque_user_data (wsi, connection);
  g_hash_table_replace (server->connections, wsi, connection);
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
    .port = CONTEXT_PORT_NO_LISTEN_SERVER,
    .protocols = server->protocols,
    .keepalive_timeout = KEEPALIVE_SECONDS,
    .timeout_secs = REQUEST_TIMEOUT_SECONDS,
    .vhost_name = "server",
  };
  server->connections = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  server->vhost = lws_create_vhost (mr_loop_context (loop), &info);
  if (server->vhost)
    server->listener = mr_listener_new_for_sockets (loop, ip, port, S_on_socket, server);
  else
    mr_fail (MR_ERROR_SYSTEM, "cannot listen on %s:%d", ip, port);
  if (server->listener)
    return server;
  if (server->vhost)
    lws_vhost_destroy (server->vhost);
  mr_http_server_free (server);
  return NULL;
}

void
mr_http_server_free (MrHttpServer *server)
{
  if (!server)
    return;
  g_hash_table_unref (server->pending);
  g_hash_table_unref (server->connections);
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
mr_http_server_foreach_pending (MrHttpServer *server,
                                void (*visit) (const MrHttpPendingRequest *request, void *user),
                                void *user)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, server->pending);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const PendingRequest *pending = item;
      MrHttpPendingRequest request = { .id = pending->session->id,
                                       .received_at = pending->received_at,
                                       .answered = pending->session->reply_body != NULL };
      visit (&request, user);
    }
}

void
mr_http_server_drain (MrHttpServer *server)
{
  server->draining = TRUE;
}

void
mr_http_server_close (MrHttpServer *server)
{
  server->draining = TRUE;
  server->closed = TRUE;
  mr_listener_close (g_steal_pointer (&server->listener));
}

static gboolean
S_has_unread_bytes (struct lws *wsi)
{
  int bytes = 0;
  return ioctl (lws_get_socket_fd (wsi), FIONREAD, &bytes) == 0 && bytes > 0;
}

/* A connection whose reply announced its end is left to the caller to close. */
static gboolean
S_can_close (struct lws *wsi, const Connection *connection, MrTime now)
{
  if (connection->idle_since == MR_NEVER || S_has_unread_bytes (wsi) || lws_partial_buffered (wsi))
    return FALSE;
  return (connection->request_count > 0 && !connection->closing) ||
         now >= connection->idle_since + CLOSE_TIMEOUT;
}

MrTime
mr_http_server_tick (MrHttpServer *server, MrTime now)
{
  if (!server->closed)
    return MR_NEVER;
  g_autoptr (GPtrArray) idle = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer wsi = NULL;
  gpointer connection = NULL;
  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &wsi, &connection))
    if (S_can_close (wsi, connection, now))
      g_ptr_array_add (idle, wsi);
  for (guint i = 0; i < idle->len; i++)
    lws_set_timeout (g_ptr_array_index (idle, i), PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_SYNC);
  return now + CLOSE_CHECK_INTERVAL;
}

guint
mr_http_server_open_count (const MrHttpServer *server)
{
  return g_hash_table_size (server->connections);
}

gsize
mr_http_server_unwritten_bytes (const MrHttpServer *server)
{
  gsize bytes = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, server->pending);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Session *s = ((const PendingRequest *) item)->session;
      bytes += s->reply_body ? s->reply_body->len - s->reply_offset : 0;
    }
  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    bytes += lws_partial_buffered (item) ? 1 : 0;
  return bytes;
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
  return server->served_connections;
}

const char *
mr_http_query_arg (const MrHttpRequest *request, const char *name, const char *fallback)
{
  const char *value = g_hash_table_lookup (request->query_args, name);
  return value ? value : fallback;
}
