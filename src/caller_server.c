#include "caller_server.h"

#include "stream.h"
#include "timers.h"

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_TIMEOUT = 408,
  STATUS_BODY_BIG = 413,
  STATUS_HEAD_BIG = 431,
  /* Bytes that a caller may send ahead of its turn, beside one request. */
  AHEAD_MAX = 64 * 1024,
};

/* Until operators' limits are known. */
static const MrCallerLimits default_limits = {
  .max_head_bytes = 16384,
  .max_body_bytes = 262144,
  .head_timeout = 3 * MR_SECOND,
  .idle_timeout = 15 * MR_SECOND,
};
/* A body may take this many times as long as a head: it is up to that much
 * larger, and no setting bounds it. */
static const gint64 BODY_TIMES = 4;
/* A connection that was told to close is closed by us if the caller does not. */
static const MrTime CLOSE_WAIT = 1 * MR_SECOND;
/* Idle connections are kept a little longer than callers are told, so that a
 * request at the last moment does not cross our close. */
static const MrTime IDLE_GRACE = 500 * MR_MS;

struct _MrCaller
{
  MrStreamHandler host;
  MrCallerServer *server;
  MrStream *stream;
  GList link; /* in the server's callers */
  MrHttpParser *parser;
  GString *ahead; /* bytes behind the request that is being served */
  MrTimer timer;
  MrTime began;      /* first byte of the request */
  MrTime round_trip; /* 0: not asked for yet, or not known */
  gboolean busy;     /* a request is with the host */
  gboolean close;    /* after what is being written */
  gboolean continued;
  gpointer user;
};

struct _MrCallerServer
{
  MrCallerServerHost *host;
  MrLoop *loop;
  MrListener *listener;
  MrCallerLimits limits;
  GQueue callers;
  MrTimers *timers;
  gboolean draining;
  gboolean closed;
};

static const char *
S_reason (int status)
{
  static const struct
  {
    int status;
    const char *reason;
  } reasons[] = {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 404, "Not Found" },
    { 408, "Request Timeout" },
    { 413, "Content Too Large" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Status";
}

static void
S_caller_free (MrCaller *c)
{
  mr_timers_set (c->server->timers, &c->timer, MR_NEVER);
  g_queue_unlink (&c->server->callers, &c->link);
  mr_http_parser_free (c->parser);
  g_string_free (c->ahead, TRUE);
  g_free (c);
}

static void
S_close (MrCaller *c)
{
  mr_stream_close (c->stream);
  S_caller_free (c);
}

static gboolean
S_has_no_body (int status, const MrHttpParser *request)
{
  enum
  {
    NO_CONTENT = 204,
    NOT_MODIFIED = 304,
  };
  return status == NO_CONTENT || status == NOT_MODIFIED ||
         mr_text_equal (mr_http_parser_method (request), MR_TEXT ("HEAD"));
}

static void
S_write (MrCaller *c, int status, MrText fields, MrText body)
{
  gboolean no_body = S_has_no_body (status, c->parser);
  GString *out = g_string_sized_new (256 + fields.len + body.len);
  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status, S_reason (status));
  g_string_append_len (out, fields.data, (gssize) fields.len);
  if (!no_body)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body.len);
  if (c->close)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  if (!no_body)
    g_string_append_len (out, body.data, (gssize) body.len);
  mr_stream_write (c->stream, mr_text_of (out));
  g_string_free (out, TRUE);
}

/* A request that can't be read is answered, and its connection ends: nobody
 * knows where the next one would begin. */
static void
S_refuse (MrCaller *c, int status)
{
  c->close = TRUE;
  S_write (c, status, (MrText){ 0 }, (MrText){ 0 });
  mr_timers_set (c->server->timers, &c->timer, mr_now () + CLOSE_WAIT);
}

static void
S_await_request (MrCaller *c, MrTime now)
{
  mr_http_parser_reset (c->parser);
  const MrCallerLimits *limits = &c->server->limits;
  mr_http_parser_set_limits (c->parser, (MrHttpLimits){ .max_head_bytes = limits->max_head_bytes,
                                                        .max_body_bytes = limits->max_body_bytes });
  c->continued = FALSE;
  mr_timers_set (c->server->timers, &c->timer, now + limits->idle_timeout + IDLE_GRACE);
}

/* Acts on what the parser has come to. */
static void
S_on_progress (MrCaller *c, MrTime now, MrHttpState before)
{
  MrHttpState state = mr_http_parser_state (c->parser);
  const MrCallerLimits *limits = &c->server->limits;
  if (before == MR_HTTP_IDLE && state != MR_HTTP_IDLE)
    {
      c->began = now;
      mr_timers_set (c->server->timers, &c->timer, now + limits->head_timeout);
    }
  if (before < MR_HTTP_BODY && state == MR_HTTP_BODY)
    mr_timers_set (c->server->timers, &c->timer, now + limits->head_timeout * BODY_TIMES);
  switch (state)
    {
    case MR_HTTP_IDLE:
    case MR_HTTP_HEAD:
      return;
    case MR_HTTP_BODY:
      if (!c->continued && mr_http_parser_expects_continue (c->parser))
        mr_stream_write (c->stream, MR_TEXT ("HTTP/1.1 100 Continue\r\n\r\n"));
      c->continued = TRUE;
      return;
    case MR_HTTP_MALFORMED:
      S_refuse (c, STATUS_BAD_REQUEST);
      return;
    case MR_HTTP_HEAD_TOO_LARGE:
      S_refuse (c, STATUS_HEAD_BIG);
      return;
    case MR_HTTP_BODY_TOO_LARGE:
      S_refuse (c, STATUS_BODY_BIG);
      return;
    case MR_HTTP_DONE:
      c->busy = TRUE;
      mr_timers_set (c->server->timers, &c->timer, MR_NEVER);
      if (!mr_http_parser_keep_alive (c->parser) || c->server->draining)
        c->close = TRUE;
      c->server->host->request (c->server->host, c, c->parser, c->began);
      return;
    }
}

static void
S_received (MrStreamHandler *host, MrStream *stream, MrText bytes)
{
  MrCaller *c = (MrCaller *) host;
  (void) stream;
  if (c->close && !c->busy)
    return; /* refused; the rest is not read */
  gsize used = 0;
  if (!c->busy)
    {
      MrHttpState before = mr_http_parser_state (c->parser);
      used = mr_http_parser_feed (c->parser, bytes);
      gboolean more = used < bytes.len;
      if (more)
        g_string_append_len (c->ahead, bytes.data + used, (gssize) (bytes.len - used));
      S_on_progress (c, mr_now (), before);
      return;
    }
  g_string_append_len (c->ahead, bytes.data, (gssize) bytes.len);
  if (c->ahead->len > AHEAD_MAX + c->server->limits.max_body_bytes)
    {
      c->server->host->disconnected (c->server->host, c);
      S_close (c);
    }
}

static void
S_ended (MrStreamHandler *host, MrStream *stream, MrStreamEnd end)
{
  MrCaller *c = (MrCaller *) host;
  (void) stream;
  (void) end;
  if (c->busy)
    c->server->host->disconnected (c->server->host, c);
  S_caller_free (c);
}

static const MrStreamHandler stream_host = {
  .on_data = S_received,
  .on_end = S_ended,
};

static void
S_accepted (void *user, MrStream *stream)
{
  MrCallerServer *server = user;
  MrCaller *c = g_new0 (MrCaller, 1);
  c->host = stream_host;
  c->server = server;
  c->stream = stream;
  c->timer.owner = c;
  c->parser = mr_http_parser_new (MR_HTTP_REQUEST);
  c->ahead = g_string_new (NULL);
  c->link.data = c;
  g_queue_push_tail_link (&server->callers, &c->link);
  mr_stream_set_handler (stream, &c->host);
  S_await_request (c, mr_now ());
}

MrTime
mr_caller_round_trip (MrCaller *caller)
{
  if (caller->round_trip == 0)
    caller->round_trip = mr_stream_round_trip (caller->stream);
  return caller->round_trip;
}

MrCallerServer *
mr_caller_server_new (MrCallerServerHost *host, MrLoop *loop, const char *ip, int port)
{
  MrCallerServer *server = g_new0 (MrCallerServer, 1);
  server->host = host;
  server->loop = loop;
  server->limits = default_limits;
  server->timers = mr_timers_new ();
  g_queue_init (&server->callers);
  server->listener = mr_listener_new (loop, ip, port, S_accepted, server);
  if (server->listener)
    return server;
  mr_timers_free (server->timers);
  g_free (server);
  return NULL;
}

void
mr_caller_server_free (MrCallerServer *server)
{
  if (!server)
    return;
  while (server->callers.head)
    S_caller_free (server->callers.head->data);
  mr_timers_free (server->timers);
  g_free (server);
}

void
mr_caller_server_set_limits (MrCallerServer *server, const MrCallerLimits *limits)
{
  server->limits = *limits;
}

void
mr_caller_server_drain (MrCallerServer *server)
{
  server->draining = TRUE;
  for (const GList *link = server->callers.head; link; link = link->next)
    ((MrCaller *) link->data)->close |= ((MrCaller *) link->data)->busy;
}

void
mr_caller_server_close (MrCallerServer *server)
{
  if (server->closed)
    return;
  server->closed = TRUE;
  mr_listener_close (server->listener);
  for (GList *link = server->callers.head; link;)
    {
      MrCaller *c = link->data;
      link = link->next;
      if (!c->busy && mr_http_parser_state (c->parser) == MR_HTTP_IDLE && c->ahead->len == 0 &&
          mr_stream_buffered_bytes (c->stream) == 0)
        S_close (c);
    }
}

guint
mr_caller_server_connections (const MrCallerServer *server)
{
  return server->callers.length;
}

void
mr_caller_set_user (MrCaller *c, gpointer user)
{
  c->user = user;
}

gpointer
mr_caller_user (const MrCaller *c)
{
  return c->user;
}

void
mr_caller_answer (MrCaller *c, int status, MrText fields, MrText body)
{
  if (c->server->draining)
    c->close = TRUE;
  S_write (c, status, fields, body);
  c->busy = FALSE;
  c->user = NULL;
  MrTime now = mr_now ();
  if (c->close)
    {
      mr_timers_set (c->server->timers, &c->timer, now + CLOSE_WAIT);
      return;
    }
  S_await_request (c, now);
  /* What the caller has sent ahead is read by the next tick: the host is in the
   * middle of answering. */
  if (c->ahead->len > 0)
    mr_timers_set (c->server->timers, &c->timer, now);
}

static void
S_read_ahead (MrCaller *c, MrTime now)
{
  GString *ahead = c->ahead;
  c->ahead = g_string_new (NULL);
  gsize used = mr_http_parser_feed (c->parser, mr_text_of (ahead));
  g_string_append_len (c->ahead, ahead->str + used, (gssize) (ahead->len - used));
  g_string_free (ahead, TRUE);
  S_on_progress (c, now, MR_HTTP_IDLE);
}

static void
S_on_timer (MrCaller *c, MrTime now)
{
  if (!c->close && !c->busy && c->ahead->len > 0 &&
      mr_http_parser_state (c->parser) == MR_HTTP_IDLE)
    S_read_ahead (c, now);
  else if (!c->close && mr_http_parser_state (c->parser) != MR_HTTP_IDLE)
    S_refuse (c, STATUS_TIMEOUT);
  else
    S_close (c);
}

MrTime
mr_caller_server_tick (MrCallerServer *server, MrTime now)
{
  for (MrTimer *timer = mr_timers_pop (server->timers, now); timer;
       timer = mr_timers_pop (server->timers, now))
    S_on_timer (timer->owner, now);
  return mr_timers_next_due (server->timers);
}
