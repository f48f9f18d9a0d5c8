#include "proxy.h"

#include "stream.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static const MrTime DELAY = 150 * MR_MS;
/* After a restart of the server, one of its old connections may close before the new process
 * listens, which closes the proxy's listener.  It reopens after this delay. */
static const MrTime REOPEN_DELAY = 300 * MR_MS;

typedef struct ProxyConnection ProxyConnection;

/* One end of a proxied connection. */
typedef struct
{
  MrStreamHandler handler;
  ProxyConnection *connection;
  MrStream *stream; /* NULL once it has ended */
  GString *pending; /* delayed bytes to be written to this endpoint */
  MrTimer timer;
} Endpoint;

struct ProxyConnection
{
  SoakProxy *proxy;
  GList node;
  Endpoint caller;
  Endpoint server;
  gboolean silenced;
};

struct _SoakProxy
{
  MrLoop *loop;
  MrTimers *timers;
  int port;
  int server_port;
  MrListener *listener; /* NULL: closed */
  MrTime closed_at;
  SoakProxyMode mode;
  GQueue connections;
};

static void
S_connection_free (ProxyConnection *connection)
{
  SoakProxy *proxy = connection->proxy;
  Endpoint *ends[] = { &connection->caller, &connection->server };
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      mr_timers_set (proxy->timers, &ends[i]->timer, MR_NEVER);
      if (ends[i]->stream)
        mr_stream_close (ends[i]->stream);
      g_string_free (ends[i]->pending, TRUE);
    }
  g_queue_unlink (&proxy->connections, &connection->node);
  g_free (connection);
}

static gboolean
S_is_silenced (const Endpoint *from)
{
  const ProxyConnection *connection = from->connection;
  SoakProxyMode mode = connection->proxy->mode;
  gboolean up = from == &connection->caller;
  return connection->silenced || mode == PROXY_SILENT || (up && mode == PROXY_SILENT_UP) ||
         (!up && mode == PROXY_SILENT_DOWN);
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  Endpoint *from = (Endpoint *) handler;
  ProxyConnection *connection = from->connection;
  Endpoint *to = from == &connection->caller ? &connection->server : &connection->caller;
  (void) stream;
  if (S_is_silenced (from))
    return; /* dropped: the byte stream stays incomplete */
  if (connection->proxy->mode != PROXY_DELAY && to->pending->len == 0)
    {
      mr_stream_write (to->stream, bytes);
      return;
    }
  g_string_append_len (to->pending, bytes.data, (gssize) bytes.len);
  if (to->timer.heap_index == 0)
    mr_timers_set (connection->proxy->timers, &to->timer, mr_now () + DELAY);
}

static gboolean
S_server_listens (const SoakProxy *proxy)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons ((guint16) proxy->server_port),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  gboolean listens = connect (fd, (const struct sockaddr *) &address, sizeof address) == 0;
  close (fd);
  return listens;
}

/* Closes the other side as well.  A process that has ended refuses connections before its
 * callers notice the end, so the proxy closes its listener if the server no longer listens. */
static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  Endpoint *from = (Endpoint *) handler;
  ProxyConnection *connection = from->connection;
  (void) stream;
  from->stream = NULL;
  if (from == &connection->server && end != MR_STREAM_REFUSED &&
      !S_server_listens (connection->proxy))
    soak_proxy_set_open (connection->proxy, FALSE);
  S_connection_free (connection);
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  (void) handler;
  (void) stream;
}

static const MrStreamHandler endpoint_handler = { .on_open = S_on_open,
                                                  .on_data = S_on_data,
                                                  .on_end = S_on_end };

static void
S_init_endpoint (ProxyConnection *connection, Endpoint *end)
{
  end->handler = endpoint_handler;
  end->connection = connection;
  end->pending = g_string_new (NULL);
  end->timer.owner = end;
}

static void
S_on_accept (void *user, MrStream *stream)
{
  SoakProxy *proxy = user;
  ProxyConnection *connection = g_new0 (ProxyConnection, 1);
  connection->proxy = proxy;
  connection->node.data = connection;
  S_init_endpoint (connection, &connection->caller);
  S_init_endpoint (connection, &connection->server);
  g_queue_push_tail_link (&proxy->connections, &connection->node);
  connection->caller.stream = stream;
  mr_stream_set_handler (stream, &connection->caller.handler);
  connection->server.stream =
      mr_stream_connect (proxy->loop, &connection->server.handler, "127.0.0.1", proxy->server_port);
  if (!connection->server.stream)
    S_connection_free (connection);
}

SoakProxy *
soak_proxy_new (MrLoop *loop, MrTimers *timers, int port, int server_port)
{
  SoakProxy *proxy = g_new0 (SoakProxy, 1);
  *proxy = (SoakProxy){
    .loop = loop,
    .timers = timers,
    .port = port,
    .server_port = server_port,
  };
  g_queue_init (&proxy->connections);
  soak_proxy_set_open (proxy, TRUE);
  return proxy;
}

void
soak_proxy_set_open (SoakProxy *proxy, gboolean open)
{
  if (!open)
    {
      g_clear_pointer (&proxy->listener, mr_listener_close);
      proxy->closed_at = mr_now ();
    }
  if (!open || proxy->listener)
    return;
  proxy->listener = mr_listener_new (proxy->loop, "127.0.0.1", proxy->port, S_on_accept, proxy);
  if (proxy->listener)
    return;
  fprintf (stderr, "soak: %s\n", mr_status_message ());
  exit (EXIT_FAILURE);
}

void
soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode)
{
  proxy->mode = mode;
}

void
soak_proxy_reopen (SoakProxy *proxy)
{
  if (!proxy->listener && mr_now () > proxy->closed_at + REOPEN_DELAY)
    soak_proxy_set_open (proxy, TRUE);
}

void
soak_proxy_silence_connections (SoakProxy *proxy)
{
  for (GList *node = proxy->connections.head; node; node = node->next)
    ((ProxyConnection *) node->data)->silenced = TRUE;
}

void
soak_proxy_reset_connections (SoakProxy *proxy)
{
  while (proxy->connections.head)
    S_connection_free (proxy->connections.head->data);
}

void
soak_proxy_on_timer (MrTimer *timer)
{
  Endpoint *end = timer->owner;
  if (end->stream)
    mr_stream_write (end->stream, mr_text_of (end->pending));
  g_string_truncate (end->pending, 0);
}
