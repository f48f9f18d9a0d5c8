#include "stream.h"

#include "status.h"
#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BUFFER_BYTES = 32 * 1024,
  LISTEN_BACKLOG = 512,
  /* A lost idle connection is detected after about KEEPALIVE_IDLE_S + KEEPALIVE_COUNT seconds,
   * well within the few seconds in which a change of configuration or a target that is leaving has
   * to be detected. */
  KEEPALIVE_IDLE_S = 1,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_COUNT = 2,
  /* The connection to a target is lost if sent bytes are not acknowledged for this long. */
  USER_TIMEOUT_MS = 3000,
};

/* First member of the structs that libwebsockets holds as the user data of a descriptor. */
typedef enum
{
  USER_DATA_STREAM,
  USER_DATA_LISTENER,
} UserDataType;

struct _MrStream
{
  UserDataType type;
  MrLoop *loop;
  MrStreamHandler *handler; /* NULL once closed */
  struct lws *wsi;
  int fd;
  gboolean connecting;
  gboolean established;
  gboolean closed;
  gboolean ends_writing; /* once write_buffer is empty */
  GString *write_buffer;
  lws_sorted_usec_list_t flush_timer;
  guint64 sent_bytes;
};

struct _MrListener
{
  UserDataType type;
  MrLoop *loop;
  struct lws *wsi;
  int fd;
  void (*on_accept) (void *user, MrStream *stream); /* NULL: on_socket is set */
  void (*on_socket) (void *user, int fd);
  void *user;
};

/* Connections that are accepted have no user timeout: the kernel ends a connection whose peer has a
 * full receive buffer at two moments that far apart, even if it has read everything in between. */
static void
S_set_options (int fd, gboolean accepted)
{
  const int on = 1;
  const int idle = KEEPALIVE_IDLE_S;
  const int interval = KEEPALIVE_INTERVAL_S;
  const int count = KEEPALIVE_COUNT;
  const unsigned user_timeout = accepted ? 0 : USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout);
}

static gboolean
S_parse_address (const char *ip, int port, struct sockaddr_in *address)
{
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((guint16) port) };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static struct lws *
S_adopt (MrLoop *loop, int fd, void *user_data)
{
  lws_sock_file_fd_type desc = { .filefd = fd };
  struct lws *wsi = lws_adopt_descriptor_vhost (mr_loop_raw_vhost (loop), LWS_ADOPT_RAW_FILE_DESC,
                                                desc, MR_LOOP_RAW_PROTOCOL, NULL);
  if (wsi)
    lws_set_opaque_user_data (wsi, user_data);
  return wsi;
}

/* Takes ownership of @fd. */
static MrStream *
S_stream_new (MrLoop *loop, int fd)
{
  MrStream *stream = g_new0 (MrStream, 1);
  *stream = (MrStream){ .type = USER_DATA_STREAM, .loop = loop, .fd = fd };
  stream->wsi = S_adopt (loop, fd, stream);
  if (!stream->wsi)
    {
      g_free (stream);
      close (fd);
      mr_fail (MR_ERROR_LIMIT, "too many open connections");
      return NULL;
    }
  stream->write_buffer = g_string_new (NULL);
  return stream;
}

MrStream *
mr_stream_connect (MrLoop *loop, MrStreamHandler *handler, const char *ip, int port)
{
  struct sockaddr_in address;
  if (!S_parse_address (ip, port, &address))
    {
      mr_fail (MR_ERROR_INVALID, "address '%s:%d' is not an IPv4 address", ip, port);
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      mr_fail (MR_ERROR_SYSTEM, "socket: %s", g_strerror (errno));
      return NULL;
    }
  S_set_options (fd, FALSE);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) != 0 && errno != EINPROGRESS)
    {
      mr_fail (MR_ERROR_SYSTEM, "connect to %s:%d: %s", ip, port, g_strerror (errno));
      close (fd);
      return NULL;
    }
  MrStream *stream = S_stream_new (loop, fd);
  if (!stream)
    return NULL;
  stream->handler = handler;
  stream->connecting = TRUE;
  lws_callback_on_writable (stream->wsi);
  return stream;
}

void
mr_stream_set_loss_timeout (MrStream *stream, int seconds)
{
  const int count = (seconds - KEEPALIVE_IDLE_S) / KEEPALIVE_INTERVAL_S;
  const unsigned user_timeout = 1000 * (unsigned) seconds;
  setsockopt (stream->fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (stream->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout);
}

void
mr_stream_set_handler (MrStream *stream, MrStreamHandler *handler)
{
  stream->handler = handler;
}

guint64
mr_stream_sent_bytes (const MrStream *stream)
{
  return stream->sent_bytes;
}

gsize
mr_stream_buffered_bytes (const MrStream *stream)
{
  return stream->write_buffer->len;
}

gsize
mr_stream_unacknowledged_bytes (const MrStream *stream)
{
  int bytes = 0;
  if (stream->closed || ioctl (stream->fd, SIOCOUTQ, &bytes) != 0)
    return 0;
  return (gsize) bytes;
}

void
mr_stream_set_reading (MrStream *stream, gboolean reading)
{
  if (!stream->closed)
    lws_rx_flow_control (stream->wsi, reading ? 1 : 0);
}

gboolean
mr_stream_has_unread_bytes (const MrStream *stream)
{
  char byte = 0;
  return !stream->closed && recv (stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

MrTime
mr_stream_round_trip (const MrStream *stream)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;
  if (stream->closed || getsockopt (stream->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return 0;
  return (MrTime) info.tcpi_rtt;
}

gboolean
mr_stream_was_established (const MrStream *stream)
{
  return stream->established;
}

/* The wsi is closed later by the loop, since this may be called from within its callback. */
void
mr_stream_close (MrStream *stream)
{
  if (stream->closed)
    return;
  stream->closed = TRUE;
  stream->handler = NULL;
  lws_set_timeout (stream->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

/* Returns the error of a connection attempt; 0 if it is established.  Also marks a connection that
 * was established and then reset before this process saw it, unlike one that was refused. */
static int
S_connect_error (MrStream *stream)
{
  int error = 0;
  socklen_t len = sizeof error;
  if (getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  stream->established |= error == ECONNRESET || error == EPIPE;
  return error;
}

static void
S_end (MrStream *stream, MrStreamEnd end)
{
  MrStreamHandler *handler = stream->handler;
  if (!handler)
    return;
  if (stream->connecting)
    end = MR_STREAM_REFUSED;
  mr_stream_close (stream);
  handler->on_end (handler, stream, end);
}

/* Returns how many bytes the kernel accepted; -1 if the connection is lost. */
static gssize
S_send (MrStream *stream, MrText bytes)
{
  gssize n = send (stream->fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  stream->sent_bytes += (guint64) n;
  return n;
}

void
mr_stream_write (MrStream *stream, MrText bytes)
{
  if (stream->closed || bytes.len == 0)
    return;
  gssize n = 0;
  if (!stream->connecting && stream->write_buffer->len == 0)
    n = S_send (stream, bytes);
  /* A lost connection is reported at the next read.  Reporting it here would call the handler from
   * within its own write. */
  if (n < 0)
    n = (gssize) bytes.len;
  if ((gsize) n == bytes.len)
    return;
  g_string_append_len (stream->write_buffer, bytes.data + n, (gssize) bytes.len - n);
  lws_callback_on_writable (stream->wsi);
}

static void
S_on_flush_timer (lws_sorted_usec_list_t *timer)
{
  MrStream *stream = lws_container_of (timer, MrStream, flush_timer);
  if (!stream->closed)
    lws_callback_on_writable (stream->wsi);
}

/* Continues in the next iteration of the loop: libwebsockets clears a request for the writable
 * callback that is made from within that callback. */
static void
S_flush_later (MrStream *stream)
{
  lws_sul_schedule (mr_loop_context (stream->loop), 0, &stream->flush_timer, S_on_flush_timer, 1);
}

static void
S_flush (MrStream *stream)
{
  if (stream->write_buffer->len == 0)
    return;
  gssize n = S_send (stream, mr_text_of (stream->write_buffer));
  if (n < 0)
    {
      S_end (stream, MR_STREAM_RESET);
      return;
    }
  g_string_erase (stream->write_buffer, 0, n);
  if (stream->write_buffer->len > 0)
    S_flush_later (stream);
  else if (stream->ends_writing)
    shutdown (stream->fd, SHUT_WR);
}

void
mr_stream_end_writing (MrStream *stream)
{
  stream->ends_writing = TRUE;
  if (!stream->closed && stream->write_buffer->len == 0)
    shutdown (stream->fd, SHUT_WR);
}

static void
S_on_writable (MrStream *stream)
{
  if (stream->closed)
    return;
  if (stream->connecting)
    {
      if (S_connect_error (stream) != 0)
        {
          S_end (stream, MR_STREAM_REFUSED);
          return;
        }
      stream->connecting = FALSE;
      stream->established = TRUE;
      stream->handler->on_open (stream->handler, stream);
    }
  if (!stream->closed)
    S_flush (stream);
}

static void
S_on_readable (MrStream *stream)
{
  char bytes[READ_BUFFER_BYTES];
  if (stream->closed || stream->connecting || !stream->handler)
    return;
  ssize_t n = recv (stream->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n > 0)
    stream->handler->on_data (stream->handler, stream,
                              (MrText){ .data = bytes, .len = (size_t) n });
  else if (n == 0)
    S_end (stream, MR_STREAM_EOF);
  else if (errno != EAGAIN && errno != EINTR)
    S_end (stream, MR_STREAM_RESET);
}

static void
S_stream_free (MrStream *stream)
{
  if (!mr_loop_is_closing (stream->loop))
    {
      if (stream->connecting && !stream->closed)
        S_connect_error (stream);
      S_end (stream, MR_STREAM_RESET);
    }
  lws_sul_schedule (mr_loop_context (stream->loop), 0, &stream->flush_timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  g_string_free (stream->write_buffer, TRUE);
  g_free (stream);
}

/* FALSE if no connection is waiting. */
static gboolean
S_accept (MrListener *listener)
{
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return errno == ECONNABORTED || errno == EINTR;
  if (listener->on_socket)
    {
      listener->on_socket (listener->user, fd);
      return TRUE;
    }
  S_set_options (fd, TRUE);
  MrStream *stream = S_stream_new (listener->loop, fd);
  if (stream)
    listener->on_accept (listener->user, stream);
  return TRUE;
}

static void
S_listener_free (MrListener *listener)
{
  while (!mr_loop_is_closing (listener->loop) && S_accept (listener))
    ;
  g_free (listener);
}

static MrListener *
S_listener_new (const MrListener *info, const char *ip, int port)
{
  struct sockaddr_in address;
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || !S_parse_address (ip, port, &address) ||
      bind (fd, (struct sockaddr *) &address, sizeof address) != 0 ||
      listen (fd, LISTEN_BACKLOG) != 0)
    {
      mr_fail (MR_ERROR_SYSTEM, "cannot listen on %s:%d: %s", ip, port, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  MrListener *listener = g_new (MrListener, 1);
  *listener = *info;
  listener->type = USER_DATA_LISTENER;
  listener->fd = fd;
  listener->wsi = S_adopt (listener->loop, fd, listener);
  if (!listener->wsi)
    {
      mr_fail (MR_ERROR_LIMIT, "cannot listen on %s:%d: too many open connections", ip, port);
      close (fd);
      g_clear_pointer (&listener, g_free);
    }
  return listener;
}

MrListener *
mr_listener_new (MrLoop *loop,
                 const char *ip,
                 int port,
                 void (*on_accept) (void *user, MrStream *stream),
                 void *user)
{
  MrListener info = { .loop = loop, .on_accept = on_accept, .user = user };
  return S_listener_new (&info, ip, port);
}

MrListener *
mr_listener_new_for_sockets (
    MrLoop *loop, const char *ip, int port, void (*on_socket) (void *user, int fd), void *user)
{
  MrListener info = { .loop = loop, .on_socket = on_socket, .user = user };
  return S_listener_new (&info, ip, port);
}

void
mr_listener_close (MrListener *listener)
{
  if (listener)
    lws_set_timeout (listener->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

int
mr_loop_raw_callback (
    struct lws *wsi, enum lws_callback_reasons reason, void *session, void *in, size_t len)
{
  (void) session;
  (void) in;
  (void) len;
  UserDataType *user_data = wsi ? lws_get_opaque_user_data (wsi) : NULL;
  if (!user_data)
    return 0;
  gboolean listener = *user_data == USER_DATA_LISTENER;
  switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
      if (listener)
        S_accept ((MrListener *) (void *) user_data);
      else
        S_on_readable ((MrStream *) (void *) user_data);
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      if (!listener)
        S_on_writable ((MrStream *) (void *) user_data);
      return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      lws_set_opaque_user_data (wsi, NULL);
      if (listener)
        S_listener_free ((MrListener *) (void *) user_data);
      else
        S_stream_free ((MrStream *) (void *) user_data);
      return 0;
    default:
      return 0;
    }
}
