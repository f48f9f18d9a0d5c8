#include "caller_server.h"

#include "log.h"
#include "stream.h"
#include "timers.h"

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_TIMEOUT = 408,
  STATUS_CONTENT_TOO_LARGE = 413,
  STATUS_HEADERS_TOO_LARGE = 431,
  /* Most pipelined bytes of a caller that are read, beside the largest body. */
  PIPELINED_BYTES_MAX = 64 * 1024,
  /* Bytes read after a rejected request, so that its caller can send the rest and read the response
   * before the connection is closed. */
  IGNORED_BYTES_MAX = 16 * 1024 * 1024,
};

/* Used until the operators' limits are known. */
static const MrCallerLimits default_limits = {
  .max_head_bytes = 16384,
  .max_body_bytes = 262144,
  .head_timeout = 3 * MR_SECOND,
  .idle_timeout = 15 * MR_SECOND,
};
/* The timeout for a body, as a multiple of the one for a head: bodies are larger, and no
 * setting bounds their time. */
static const gint64 BODY_TIMEOUT_FACTOR = 4;
/* Time for the caller to close a connection whose end was announced, once the response is written;
 * after that the server closes it. */
static const MrTime CLOSE_TIMEOUT = 1 * MR_SECOND;
/* Interval of checks whether the response before a pipelined request is written. */
static const MrTime PIPELINED_POLL = 20 * MR_MS;
/* Idle connections are kept this much longer than the configured idle timeout, so that a
 * request sent at the last moment does not arrive after the server has closed the connection. */
static const MrTime IDLE_GRACE = 500 * MR_MS;

struct _MrCaller
{
  MrStreamHandler handler;
  MrCallerServer *server;
  MrStream *stream;
  GList link; /* in server->callers */
  MrHttpParser *parser;
  GString *pipelined; /* bytes after the request that is being served */
  MrTimer timer;
  MrTime idle_until;          /* when it is closed if no request has begun */
  MrTime first_byte_at;       /* when the first byte of the request arrived */
  MrTime round_trip;          /* 0: not measured yet, or not known */
  guint64 written_bytes;      /* that the caller had, when they were last seen to increase */
  MrTime written_at;          /* when that was */
  gboolean is_behind;         /* it did not have all bytes at the last check */
  gsize ignored_bytes;        /* after a rejected request */
  gboolean busy;              /* the host is handling a request */
  gboolean close_after_write; /* close the connection once the response is written */
  gboolean paused;            /* too many bytes are pipelined to read more */
  gboolean continue_handled;  /* 100 Continue was sent, or is not needed */
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
  guint64 malformed_requests;
  gboolean draining;
  gboolean closed;
};

static const char *
S_reason_phrase (int status)
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
  g_string_free (c->pipelined, TRUE);
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
S_write_response (MrCaller *c, int status, MrText fields, MrText body)
{
  gboolean no_body = S_has_no_body (status, c->parser);
  GString *out = g_string_sized_new (256 + fields.len + body.len);
  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status, S_reason_phrase (status));
  g_string_append_len (out, fields.data, (gssize) fields.len);
  if (!no_body)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body.len);
  if (c->close_after_write)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  if (!no_body)
    g_string_append_len (out, body.data, (gssize) body.len);
  mr_stream_write (c->stream, mr_text_of (out));
  g_string_free (out, TRUE);
}

/* Once a close is announced, all bytes are read, and dropped: bytes that are unread at the close
 * would reset the connection. */
static void
S_set_paused (MrCaller *c)
{
  gboolean paused = !(c->close_after_write && !c->busy) &&
                    c->pipelined->len > PIPELINED_BYTES_MAX + c->server->limits.max_body_bytes;
  if (paused != c->paused)
    mr_stream_set_reading (c->stream, !paused);
  c->paused = paused;
}

/* The caller learns at once that requests which it has sent since will not be answered. */
static void
S_await_close (MrCaller *c, MrTime now)
{
  mr_stream_end_writing (c->stream);
  S_set_paused (c);
  mr_timers_set (c->server->timers, &c->timer, now + CLOSE_TIMEOUT);
}

/* Responds to a request that cannot be parsed.  Its connection is closed afterwards, as it is
 * unknown where the next request would begin. */
static void
S_reject (MrCaller *c, int status)
{
  c->close_after_write = TRUE;
  S_write_response (c, status, (MrText){ 0 }, (MrText){ 0 });
  S_await_close (c, mr_now ());
}

static void
S_await_request (MrCaller *c, MrTime now)
{
  mr_http_parser_reset (c->parser);
  const MrCallerLimits *limits = &c->server->limits;
  mr_http_parser_set_limits (
      c->parser, (MrHttpLimits){
                     .max_head_bytes = limits->max_head_bytes,
                     .max_body_bytes = limits->max_body_bytes,
                     .max_overhead_bytes = limits->max_head_bytes + limits->max_body_bytes,
                 });
  c->continue_handled = FALSE;
  c->idle_until = now + (c->server->closed ? CLOSE_TIMEOUT : limits->idle_timeout + IDLE_GRACE);
  mr_timers_set (c->server->timers, &c->timer, c->idle_until);
}

/* Acts on the parser's new state. */
static void
S_on_progress (MrCaller *c, MrTime now, MrHttpState previous)
{
  MrHttpState state = mr_http_parser_state (c->parser);
  const MrCallerLimits *limits = &c->server->limits;
  if (previous == MR_HTTP_IDLE && state != MR_HTTP_IDLE)
    {
      c->first_byte_at = now;
      mr_timers_set (c->server->timers, &c->timer, now + limits->head_timeout);
    }
  if (previous < MR_HTTP_BODY && state == MR_HTTP_BODY)
    mr_timers_set (c->server->timers, &c->timer, now + limits->head_timeout * BODY_TIMEOUT_FACTOR);
  switch (state)
    {
    case MR_HTTP_IDLE:
      /* Empty lines are no request, and do not prolong the time for one to begin. */
      mr_timers_set (c->server->timers, &c->timer, c->idle_until);
      return;
    case MR_HTTP_HEAD:
      return;
    case MR_HTTP_BODY:
      if (!c->continue_handled && mr_http_parser_expects_continue (c->parser))
        mr_stream_write (c->stream, MR_TEXT ("HTTP/1.1 100 Continue\r\n\r\n"));
      c->continue_handled = TRUE;
      return;
    case MR_HTTP_MALFORMED:
      c->server->malformed_requests++;
      mr_log (MR_LOG_NOTICE, MR_EVENT_REQUEST_MALFORMED, "a request is not valid HTTP: %s",
              mr_http_parser_error (c->parser));
      S_reject (c, STATUS_BAD_REQUEST);
      return;
    case MR_HTTP_OVERHEAD_TOO_LARGE:
      S_reject (c, STATUS_BAD_REQUEST);
      return;
    case MR_HTTP_HEAD_TOO_LARGE:
      S_reject (c, STATUS_HEADERS_TOO_LARGE);
      return;
    case MR_HTTP_BODY_TOO_LARGE:
      S_reject (c, STATUS_CONTENT_TOO_LARGE);
      return;
    case MR_HTTP_DONE:
      c->busy = TRUE;
      mr_timers_set (c->server->timers, &c->timer, MR_NEVER);
      c->close_after_write = !mr_http_parser_keep_alive (c->parser);
      c->server->host->request (c->server->host, c, c->parser, c->first_byte_at);
      return;
    }
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  MrCaller *c = (MrCaller *) handler;
  (void) stream;
  if (c->close_after_write && !c->busy)
    {
      /* Rejected, or the last response was written. */
      c->ignored_bytes += bytes.len;
      if (c->ignored_bytes > IGNORED_BYTES_MAX)
        S_close (c);
      return;
    }
  /* The next request begins with the pipelined bytes, even if they have not been parsed yet. */
  if (!c->busy && c->pipelined->len == 0)
    {
      MrHttpState previous = mr_http_parser_state (c->parser);
      gsize used = mr_http_parser_feed (c->parser, bytes);
      gboolean more = used < bytes.len;
      if (more)
        g_string_append_len (c->pipelined, bytes.data + used, (gssize) (bytes.len - used));
      S_on_progress (c, mr_now (), previous);
      return;
    }
  g_string_append_len (c->pipelined, bytes.data, (gssize) bytes.len);
  S_set_paused (c);
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  MrCaller *c = (MrCaller *) handler;
  (void) stream;
  (void) end;
  if (c->busy)
    c->server->host->disconnected (c->server->host, c);
  S_caller_free (c);
}

static const MrStreamHandler stream_handler = {
  .on_data = S_on_data,
  .on_end = S_on_end,
};

static void
S_on_accept (void *user, MrStream *stream)
{
  MrCallerServer *server = user;
  MrCaller *c = g_new0 (MrCaller, 1);
  c->handler = stream_handler;
  c->server = server;
  c->stream = stream;
  c->timer.owner = c;
  c->parser = mr_http_parser_new (MR_HTTP_REQUEST);
  c->pipelined = g_string_new (NULL);
  c->link.data = c;
  g_queue_push_tail_link (&server->callers, &c->link);
  mr_stream_set_handler (stream, &c->handler);
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
  server->listener = mr_listener_new (loop, ip, port, S_on_accept, server);
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
}

void
mr_caller_server_close (MrCallerServer *server)
{
  if (server->closed)
    return;
  server->closed = TRUE;
  mr_listener_close (server->listener);
  MrTime now = mr_now ();
  for (GList *link = server->callers.head; link;)
    {
      MrCaller *c = link->data;
      link = link->next;
      if (c->busy || mr_http_parser_state (c->parser) != MR_HTTP_IDLE || c->pipelined->len > 0 ||
          mr_stream_has_unread_bytes (c->stream))
        continue;
      if (mr_stream_buffered_bytes (c->stream) + mr_stream_unacknowledged_bytes (c->stream) == 0)
        S_close (c);
      else
        mr_timers_set (server->timers, &c->timer, now + CLOSE_TIMEOUT);
    }
}

guint64
mr_caller_server_malformed_requests (const MrCallerServer *server)
{
  return server->malformed_requests;
}

guint
mr_caller_server_connections (const MrCallerServer *server)
{
  return server->callers.length;
}

void
mr_caller_server_foreach_open (const MrCallerServer *server, MrOpenRequestFunc visit, gpointer user)
{
  for (const GList *link = server->callers.head; link; link = link->next)
    {
      MrCaller *c = link->data;
      if (c->busy)
        visit (c, c->parser, user);
    }
}

guint
mr_caller_server_open_requests (const MrCallerServer *server)
{
  guint count = 0;
  for (const GList *link = server->callers.head; link; link = link->next)
    count += ((const MrCaller *) link->data)->busy ? 1 : 0;
  return count;
}

gsize
mr_caller_server_unwritten_bytes (const MrCallerServer *server)
{
  gsize bytes = 0;
  for (const GList *link = server->callers.head; link; link = link->next)
    bytes += mr_stream_buffered_bytes (((const MrCaller *) link->data)->stream);
  return bytes;
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
  if (c->server->draining && c->pipelined->len == 0)
    c->close_after_write = TRUE;
  MrTime now = mr_now ();
  c->written_bytes = mr_stream_sent_bytes (c->stream) - mr_stream_unacknowledged_bytes (c->stream);
  c->written_at = now;
  S_write_response (c, status, fields, body);
  c->busy = FALSE;
  c->user = NULL;
  if (c->close_after_write)
    {
      S_await_close (c, now);
      return;
    }
  S_await_request (c, now);
  /* Pipelined bytes are parsed by the next tick, as the host has not finished answering yet. */
  if (c->pipelined->len > 0)
    mr_timers_set (c->server->timers, &c->timer, now);
}

static void
S_read_pipelined (MrCaller *c, MrTime now)
{
  GString *pipelined = c->pipelined;
  c->pipelined = g_string_new (NULL);
  gsize used = mr_http_parser_feed (c->parser, mr_text_of (pipelined));
  g_string_append_len (c->pipelined, pipelined->str + used, (gssize) (pipelined->len - used));
  g_string_free (pipelined, TRUE);
  S_set_paused (c);
  S_on_progress (c, now, MR_HTTP_IDLE);
}

/* TRUE while a caller that reads slowly still takes bytes of its response: at least one in each
 * idle timeout.  Bytes that the kernel still has are lost if others arrive after the close, or if
 * the VM ends after the process. */
static gboolean
S_is_writing (MrCaller *c, MrTime now)
{
  gsize unacknowledged = mr_stream_unacknowledged_bytes (c->stream);
  guint64 written = mr_stream_sent_bytes (c->stream) - unacknowledged;
  gboolean was_behind = c->is_behind;
  c->is_behind = mr_stream_buffered_bytes (c->stream) + unacknowledged > 0;
  if ((c->is_behind || was_behind) && written > c->written_bytes)
    c->written_at = now;
  c->written_bytes = written;
  return c->is_behind && now - c->written_at < c->server->limits.idle_timeout;
}

/* A caller that has read a response slowly gets the idle time from its last byte on. */
static gboolean
S_has_idle_time (const MrCaller *c, MrTime now)
{
  return !c->close_after_write && !c->server->closed &&
         mr_http_parser_state (c->parser) == MR_HTTP_IDLE &&
         now < c->written_at + c->server->limits.idle_timeout;
}

/* Bytes that are unread when a timeout has passed arrived in time, and the process is late, unless
 * reading is paused. */
static void
S_on_timer (MrCaller *c, MrTime now)
{
  if (!c->close_after_write && !c->busy && c->pipelined->len > 0 &&
      mr_http_parser_state (c->parser) == MR_HTTP_IDLE && mr_stream_buffered_bytes (c->stream) == 0)
    S_read_pipelined (c, now);
  else if (S_is_writing (c, now))
    mr_timers_set (c->server->timers, &c->timer,
                   now + (c->pipelined->len > 0 ? PIPELINED_POLL : CLOSE_TIMEOUT));
  else if (S_has_idle_time (c, now))
    mr_timers_set (c->server->timers, &c->timer, now + CLOSE_TIMEOUT);
  else if (!c->close_after_write && !c->paused && mr_stream_has_unread_bytes (c->stream))
    mr_timers_set (c->server->timers, &c->timer, now + MR_MS);
  else if (!c->close_after_write && mr_http_parser_state (c->parser) != MR_HTTP_IDLE)
    S_reject (c, STATUS_TIMEOUT);
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
