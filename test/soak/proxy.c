#include "proxy.h"

#include "stream.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static const MrTime DELAY = 150 * MR_MS;
/* An old connection of a server that has started again may end when the new process does
 * not listen yet. */
static const MrTime REOPEN = 300 * MR_MS;

typedef struct Link Link;

/* One end of a proxied connection. */
typedef struct
{
  MrStreamHandler host;
  Link *link;
  MrStream *stream; /* NULL once it has ended */
  GString *waiting; /* to be written to this end */
  MrTimer timer;
} End;

struct Link
{
  SoakProxy *proxy;
  GList node;
  End caller;
  End server;
  gboolean lost;
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
  GQueue links;
};

static void
S_link_free (Link *link)
{
  SoakProxy *proxy = link->proxy;
  End *ends[] = { &link->caller, &link->server };
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      mr_timers_set (proxy->timers, &ends[i]->timer, MR_NEVER);
      if (ends[i]->stream)
        mr_stream_close (ends[i]->stream);
      g_string_free (ends[i]->waiting, TRUE);
    }
  g_queue_unlink (&proxy->links, &link->node);
  g_free (link);
}

static gboolean
S_silent (const End *from)
{
  const Link *link = from->link;
  SoakProxyMode mode = link->proxy->mode;
  gboolean up = from == &link->caller;
  return link->lost || mode == PROXY_SILENT || (up && mode == PROXY_SILENT_UP) ||
         (!up && mode == PROXY_SILENT_DOWN);
}

static void
S_received (MrStreamHandler *host, MrStream *stream, MrText bytes)
{
  End *from = (End *) host;
  Link *link = from->link;
  End *to = from == &link->caller ? &link->server : &link->caller;
  (void) stream;
  if (S_silent (from))
    return; /* swallowed: the connection is out of step for good */
  if (link->proxy->mode != PROXY_DELAY && to->waiting->len == 0)
    {
      mr_stream_write (to->stream, bytes);
      return;
    }
  g_string_append_len (to->waiting, bytes.data, (gssize) bytes.len);
  if (to->timer.heap_index == 0)
    mr_timers_set (link->proxy->timers, &to->timer, mr_now () + DELAY);
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

/* The end of one side is passed on, unless the path is silent.  An ended process refuses
 * connections before anybody hears of it, and so does what stands for it. */
static void
S_ended (MrStreamHandler *host, MrStream *stream, MrStreamEnd end)
{
  End *from = (End *) host;
  Link *link = from->link;
  (void) stream;
  from->stream = NULL;
  if (from == &link->server && end != MR_STREAM_REFUSED && !S_server_listens (link->proxy))
    soak_proxy_set_open (link->proxy, FALSE);
  S_link_free (link);
}

static void
S_opened (MrStreamHandler *host, MrStream *stream)
{
  (void) host;
  (void) stream;
}

static const MrStreamHandler end_host = { .on_open = S_opened,
                                          .on_data = S_received,
                                          .on_end = S_ended };

static void
S_init_end (Link *link, End *end)
{
  end->host = end_host;
  end->link = link;
  end->waiting = g_string_new (NULL);
  end->timer.owner = end;
}

static void
S_accepted (void *user, MrStream *stream)
{
  SoakProxy *proxy = user;
  Link *link = g_new0 (Link, 1);
  link->proxy = proxy;
  link->node.data = link;
  S_init_end (link, &link->caller);
  S_init_end (link, &link->server);
  g_queue_push_tail_link (&proxy->links, &link->node);
  link->caller.stream = stream;
  mr_stream_set_handler (stream, &link->caller.host);
  link->server.stream =
      mr_stream_connect (proxy->loop, &link->server.host, "127.0.0.1", proxy->server_port);
  if (!link->server.stream)
    S_link_free (link);
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
  g_queue_init (&proxy->links);
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
  proxy->listener = mr_listener_new (proxy->loop, "127.0.0.1", proxy->port, S_accepted, proxy);
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
  if (!proxy->listener && mr_now () > proxy->closed_at + REOPEN)
    soak_proxy_set_open (proxy, TRUE);
}

void
soak_proxy_lose (SoakProxy *proxy)
{
  for (GList *node = proxy->links.head; node; node = node->next)
    ((Link *) node->data)->lost = TRUE;
}

void
soak_proxy_reset (SoakProxy *proxy)
{
  while (proxy->links.head)
    S_link_free (proxy->links.head->data);
}

void
soak_proxy_on_timer (MrTimer *timer)
{
  End *end = timer->owner;
  if (end->stream)
    mr_stream_write (end->stream, mr_text_of (end->waiting));
  g_string_truncate (end->waiting, 0);
}
