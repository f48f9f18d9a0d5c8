#include "peer_link.h"

#include "wire.h"
#include <zmq.h>

enum
{
  SEND_QUEUE_MAX = 2000,
  RECEIVE_QUEUE_MAX = 20000,
  REPLY_QUEUE_MAX = 1, /* a request has one reply; nothing reads what other messages get */
  HEARTBEAT_MS = 2000,
  HEARTBEAT_TIMEOUT_MS = 4000,
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 2000,
  /* A VM that is off does not answer, and the kernel waits a second before it resends the SYN.
   * Two round trips between regions take 80 ms. */
  CONNECT_TIMEOUT_MS = 300,
  MAX_SOCKETS = 4096,
  MAX_PENDING_REQUESTS = 16,
};

static const MrTime IDLE_TIMEOUT = 60 * MR_SECOND;
static const MrTime REPLY_TIMEOUT = 2 * MR_SECOND;
/* A younger connection may already lead to the new process. */
static const MrTime RECONNECT_MIN_AGE = 100 * MR_MS;

typedef struct
{
  void *socket;
  MrTime opened_at;
  MrTime used_at;
} PeerSocket;

struct _MrPeerLink
{
  void *context;
  void *receive_socket;
  GHashTable *send_sockets;    /* "ip:port" -> PeerSocket */
  GHashTable *request_sockets; /* the same, for requests that wait for a reply */
  zmq_msg_t sender_id;         /* ROUTER identity of the sender of the last message; may be empty */
};

static void
S_peer_socket_free (gpointer data)
{
  PeerSocket *peer_socket = data;
  zmq_close (peer_socket->socket);
  g_free (peer_socket);
}

static void
S_set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
S_set_common (void *socket)
{
  S_set_int (socket, ZMQ_LINGER, 0);
  S_set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
  S_set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  const int64_t max_bytes = MR_WIRE_MAX_BYTES;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
}

MrPeerLink *
mr_peer_link_new (const char *ip, int port)
{
  MrPeerLink *link = g_new0 (MrPeerLink, 1);
  link->context = zmq_ctx_new ();
  zmq_ctx_set (link->context, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
  link->send_sockets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_peer_socket_free);
  link->request_sockets =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_peer_socket_free);
  zmq_msg_init (&link->sender_id);
  link->receive_socket = zmq_socket (link->context, ZMQ_ROUTER);
  S_set_common (link->receive_socket);
  S_set_int (link->receive_socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s:%d", ip, port);
  if (zmq_bind (link->receive_socket, endpoint) != 0)
    {
      mr_fail (MR_ERROR_SYSTEM, "cannot listen on %s: %s", endpoint, zmq_strerror (zmq_errno ()));
      mr_peer_link_free (link);
      return NULL;
    }
  return link;
}

void
mr_peer_link_free (MrPeerLink *link)
{
  if (!link)
    return;
  g_hash_table_unref (link->send_sockets);
  g_hash_table_unref (link->request_sockets);
  zmq_msg_close (&link->sender_id);
  zmq_close (link->receive_socket);
  zmq_ctx_term (link->context);
  g_free (link);
}

/* Returns the socket to @ip:@port from @sockets; opens one if there is none. */
static PeerSocket *
S_get_socket (MrPeerLink *link, GHashTable *sockets, MrTime now, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  PeerSocket *peer_socket = g_hash_table_lookup (sockets, key);
  if (peer_socket)
    return peer_socket;
  void *socket = zmq_socket (link->context, ZMQ_DEALER);
  if (!socket)
    return NULL;
  S_set_common (socket);
  S_set_int (socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
  S_set_int (socket, ZMQ_RCVHWM, REPLY_QUEUE_MAX);
  S_set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  S_set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  S_set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", key);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  peer_socket = g_new0 (PeerSocket, 1);
  peer_socket->socket = socket;
  peer_socket->opened_at = now;
  g_hash_table_insert (sockets, g_steal_pointer (&key), peer_socket);
  return peer_socket;
}

static gboolean
S_send (PeerSocket *peer_socket, MrTime now, const GString *bytes)
{
  if (!peer_socket)
    return FALSE;
  peer_socket->used_at = now;
  return zmq_send (peer_socket->socket, bytes->str, bytes->len, ZMQ_DONTWAIT) >= 0;
}

gboolean
mr_peer_link_send (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes)
{
  return S_send (S_get_socket (link, link->send_sockets, now, ip, port), now, bytes);
}

static gboolean
S_is_overdue (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return *(MrTime *) user - ((PeerSocket *) value)->used_at > REPLY_TIMEOUT;
}

gboolean
mr_peer_link_request (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes)
{
  g_hash_table_foreach_remove (link->request_sockets, S_is_overdue, &now);
  if (g_hash_table_size (link->request_sockets) >= MAX_PENDING_REQUESTS)
    return FALSE;
  return S_send (S_get_socket (link, link->request_sockets, now, ip, port), now, bytes);
}

gboolean
mr_peer_link_reply (MrPeerLink *link, const GString *bytes)
{
  if (zmq_msg_size (&link->sender_id) == 0 ||
      zmq_send (link->receive_socket, zmq_msg_data (&link->sender_id),
                zmq_msg_size (&link->sender_id), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return FALSE;
  return zmq_send (link->receive_socket, bytes->str, bytes->len, ZMQ_DONTWAIT) >= 0;
}

void
mr_peer_link_close (MrPeerLink *link, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  g_hash_table_remove (link->send_sockets, key);
}

void
mr_peer_link_reconnect (MrPeerLink *link, MrTime now, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  const PeerSocket *peer_socket = g_hash_table_lookup (link->send_sockets, key);
  if (peer_socket && now - peer_socket->opened_at > RECONNECT_MIN_AGE)
    g_hash_table_remove (link->send_sockets, key);
}

static gboolean
S_is_idle (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return *(MrTime *) user - ((PeerSocket *) value)->used_at > IDLE_TIMEOUT;
}

void
mr_peer_link_close_idle (MrPeerLink *link, MrTime now)
{
  g_hash_table_foreach_remove (link->send_sockets, S_is_idle, &now);
  g_hash_table_foreach_remove (link->request_sockets, S_is_overdue, &now);
}

void
mr_peer_link_wait (MrPeerLink *link, int wake_fd, MrTime timeout)
{
  zmq_pollitem_t items[2 + MAX_PENDING_REQUESTS] = {
    { .socket = link->receive_socket, .events = ZMQ_POLLIN },
    { .fd = wake_fd, .events = ZMQ_POLLIN },
  };
  int count = 2;
  GHashTableIter iter;
  gpointer peer_socket = NULL;
  g_hash_table_iter_init (&iter, link->request_sockets);
  while (g_hash_table_iter_next (&iter, NULL, &peer_socket))
    items[count++] =
        (zmq_pollitem_t){ .socket = ((PeerSocket *) peer_socket)->socket, .events = ZMQ_POLLIN };
  zmq_poll (items, count, (long) ((timeout + MR_MS - 1) / MR_MS));
}

/* Returns the next message of @frame_count frames from @socket, or NULL.  The last frame is the
 * message; the first of two frames is the identity of its sender.  Messages with another number of
 * frames are discarded. */
static GString *
S_receive (MrPeerLink *link, void *socket, int frame_count)
{
  for (;;)
    {
      GString *bytes = NULL;
      int count = 0;
      int more = 1;
      while (more)
        {
          zmq_msg_t frame;
          zmq_msg_init (&frame);
          if (zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
            {
              zmq_msg_close (&frame);
              return NULL;
            }
          more = zmq_msg_more (&frame);
          if (++count == frame_count)
            bytes = g_string_new_len (zmq_msg_data (&frame), (gssize) zmq_msg_size (&frame));
          else if (count == 1)
            zmq_msg_move (&link->sender_id, &frame);
          zmq_msg_close (&frame);
        }
      if (count == frame_count)
        return bytes;
      if (bytes)
        g_string_free (bytes, TRUE);
    }
}

/* Returns the next reply and closes the connection that it arrived on. */
static GString *
S_receive_reply (MrPeerLink *link)
{
  GHashTableIter iter;
  gpointer peer_socket = NULL;
  g_hash_table_iter_init (&iter, link->request_sockets);
  while (g_hash_table_iter_next (&iter, NULL, &peer_socket))
    {
      GString *bytes = S_receive (link, ((PeerSocket *) peer_socket)->socket, 1);
      if (!bytes)
        continue;
      g_hash_table_iter_remove (&iter);
      return bytes;
    }
  return NULL;
}

GString *
mr_peer_link_receive (MrPeerLink *link)
{
  GString *bytes = S_receive (link, link->receive_socket, 2);
  return bytes ? bytes : S_receive_reply (link);
}

guint
mr_peer_link_socket_count (const MrPeerLink *link)
{
  return g_hash_table_size (link->send_sockets) + g_hash_table_size (link->request_sockets);
}
