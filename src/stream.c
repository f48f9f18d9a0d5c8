#include "stream.h"

#include "status.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 32 * 1024,
  BACKLOG = 512,
  /* Idle connections that something on the way has lost are found after about
   * KEEPALIVE_IDLE + KEEPALIVE_COUNT seconds, well inside the few seconds in
   * which a change of configuration or a leaving target has to be known. */
  KEEPALIVE_IDLE_S = 1,
  KEEPALIVE_GAP_S = 1,
  KEEPALIVE_COUNT = 2,
  /* Sent bytes that nobody acknowledges for this long mean a lost path. */
  USER_TIMEOUT_MS = 3000,
};

/* First member of what a descriptor carries in libwebsockets. */
typedef enum
{
  ENTRY_STREAM,
  ENTRY_LISTENER,
} EntryType;

struct _MrStream
{
  EntryType type;
  MrLoop *loop;
  MrStreamHandler *host; /* NULL once closed */
  struct lws *wsi;
  int fd;
  gboolean connecting;
  gboolean accepted;
  gboolean closed;
  GString *out;
  guint64 sent;
};

struct _MrListener
{
  EntryType type;
  MrLoop *loop;
  struct lws *wsi;
  int fd;
  void (*accepted) (void *user, MrStream *stream);
  void *user;
};

static void
S_set_options (int fd)
{
  const int on = 1;
  const int idle = KEEPALIVE_IDLE_S;
  const int gap = KEEPALIVE_GAP_S;
  const int count = KEEPALIVE_COUNT;
  const unsigned timeout = USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap, sizeof gap);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static gboolean
S_address (const char *ip, int port, struct sockaddr_in *address)
{
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((guint16) port) };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static struct lws *
S_adopt (MrLoop *loop, int fd, void *entry)
{
  lws_sock_file_fd_type desc = { .filefd = fd };
  struct lws *wsi = lws_adopt_descriptor_vhost (mr_loop_raw_vhost (loop), LWS_ADOPT_RAW_FILE_DESC,
                                                desc, MR_LOOP_RAW_PROTOCOL, NULL);
  if (wsi)
    lws_set_opaque_user_data (wsi, entry);
  return wsi;
}

/* @fd passes to the stream. */
static MrStream *
S_stream_new (MrLoop *loop, int fd)
{
  MrStream *stream = g_new0 (MrStream, 1);
  *stream = (MrStream){ .type = ENTRY_STREAM, .loop = loop, .fd = fd };
  stream->wsi = S_adopt (loop, fd, stream);
  if (!stream->wsi)
    {
      g_free (stream);
      close (fd);
      mr_fail (MR_ERROR_LIMIT, "no room for another connection");
      return NULL;
    }
  stream->out = g_string_new (NULL);
  return stream;
}

MrStream *
mr_stream_connect (MrLoop *loop, MrStreamHandler *host, const char *ip, int port)
{
  struct sockaddr_in address;
  if (!S_address (ip, port, &address))
    {
      mr_fail (MR_ERROR_INVALID, "address '%s:%d', expected an IPv4 number", ip, port);
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      mr_fail (MR_ERROR_SYSTEM, "socket: %s", g_strerror (errno));
      return NULL;
    }
  S_set_options (fd);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) != 0 && errno != EINPROGRESS)
    {
      mr_fail (MR_ERROR_SYSTEM, "connect to %s:%d: %s", ip, port, g_strerror (errno));
      close (fd);
      return NULL;
    }
  MrStream *stream = S_stream_new (loop, fd);
  if (!stream)
    return NULL;
  stream->host = host;
  stream->connecting = TRUE;
  lws_callback_on_writable (stream->wsi);
  return stream;
}

void
mr_stream_set_handler (MrStream *stream, MrStreamHandler *host)
{
  stream->host = host;
}

guint64
mr_stream_sent_bytes (const MrStream *stream)
{
  return stream->sent;
}

gsize
mr_stream_buffered_bytes (const MrStream *stream)
{
  return stream->out->len;
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
  return stream->accepted;
}

/* The wsi is closed by the loop and not here: it may be the one whose callback
 * is running. */
void
mr_stream_close (MrStream *stream)
{
  if (stream->closed)
    return;
  stream->closed = TRUE;
  stream->host = NULL;
  lws_set_timeout (stream->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

/* The error of the connection that is being made; 0: it stands.  One that stood and was
 * reset before this process looked is told from one that was refused. */
static int
S_connect_error (MrStream *stream)
{
  int error = 0;
  socklen_t len = sizeof error;
  if (getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  stream->accepted |= error == ECONNRESET || error == EPIPE;
  return error;
}

static void
S_end (MrStream *stream, MrStreamEnd end)
{
  MrStreamHandler *host = stream->host;
  if (!host)
    return;
  if (stream->connecting)
    end = MR_STREAM_REFUSED;
  mr_stream_close (stream);
  host->on_end (host, stream, end);
}

/* Returns how many bytes the kernel took; -1 if the connection is lost. */
static gssize
S_send (MrStream *stream, MrText bytes)
{
  gssize n = send (stream->fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  stream->sent += (guint64) n;
  return n;
}

void
mr_stream_write (MrStream *stream, MrText bytes)
{
  if (stream->closed || bytes.len == 0)
    return;
  gssize n = 0;
  if (!stream->connecting && stream->out->len == 0)
    n = S_send (stream, bytes);
  /* A lost connection shows at the next read, which tells the host; ending it
   * here would call back from within the host's own write. */
  if (n < 0)
    n = (gssize) bytes.len;
  if ((gsize) n == bytes.len)
    return;
  g_string_append_len (stream->out, bytes.data + n, (gssize) bytes.len - n);
  lws_callback_on_writable (stream->wsi);
}

static void
S_flush (MrStream *stream)
{
  if (stream->out->len == 0)
    return;
  gssize n = S_send (stream, mr_text_of (stream->out));
  if (n < 0)
    {
      S_end (stream, MR_STREAM_RESET);
      return;
    }
  g_string_erase (stream->out, 0, n);
  if (stream->out->len > 0)
    lws_callback_on_writable (stream->wsi);
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
      stream->accepted = TRUE;
      stream->host->on_open (stream->host, stream);
    }
  if (!stream->closed)
    S_flush (stream);
}

static void
S_on_readable (MrStream *stream)
{
  char bytes[READ_BYTES];
  if (stream->closed || stream->connecting || !stream->host)
    return;
  ssize_t n = recv (stream->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n > 0)
    stream->host->on_data (stream->host, stream, (MrText){ .data = bytes, .len = (size_t) n });
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
  g_string_free (stream->out, TRUE);
  g_free (stream);
}

static void
S_accept (MrListener *listener)
{
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  S_set_options (fd);
  MrStream *stream = S_stream_new (listener->loop, fd);
  if (stream)
    listener->accepted (listener->user, stream);
}

MrListener *
mr_listener_new (MrLoop *loop,
                 const char *ip,
                 int port,
                 void (*accepted) (void *user, MrStream *stream),
                 void *user)
{
  struct sockaddr_in address;
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || !S_address (ip, port, &address) ||
      bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, BACKLOG) != 0)
    {
      mr_fail (MR_ERROR_SYSTEM, "can't listen on %s:%d: %s", ip, port, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  MrListener *listener = g_new0 (MrListener, 1);
  *listener = (MrListener){
    .type = ENTRY_LISTENER,
    .loop = loop,
    .fd = fd,
    .accepted = accepted,
    .user = user,
  };
  listener->wsi = S_adopt (loop, fd, listener);
  if (!listener->wsi)
    {
      mr_fail (MR_ERROR_LIMIT, "no descriptor left to listen on %s:%d", ip, port);
      close (fd);
      g_clear_pointer (&listener, g_free);
    }
  return listener;
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
  EntryType *entry = wsi ? lws_get_opaque_user_data (wsi) : NULL;
  if (!entry)
    return 0;
  gboolean listener = *entry == ENTRY_LISTENER;
  switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
      if (listener)
        S_accept ((MrListener *) (void *) entry);
      else
        S_on_readable ((MrStream *) (void *) entry);
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      if (!listener)
        S_on_writable ((MrStream *) (void *) entry);
      return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      lws_set_opaque_user_data (wsi, NULL);
      if (listener)
        g_free (entry);
      else
        S_stream_free ((MrStream *) (void *) entry);
      return 0;
    default:
      return 0;
    }
}
