#include "peer_link.h"

#include "wire.h"
#include <zmq.h>

enum
{
  SEND_QUEUE = 2000,
  RECEIVE_QUEUE = 20000,
  HEARTBEAT_MS = 2000,
  HEARTBEAT_TIMEOUT_MS = 4000,
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 2000,
  /* A VM without power answers nothing, and the system would wait a second before
   * it asks again; two round trips between regions take 80 ms. */
  CONNECT_MS = 300,
  MAX_SOCKETS = 4096,
  QUESTIONS_MAX = 16, /* that are waited for at once */
};

static const MrTime IDLE = 60 * MR_SECOND;
/* An answer is waited for this long. */
static const MrTime ANSWER_WAIT = 2 * MR_SECOND;
/* A connection this young may be to the process that has just been heard of. */
static const MrTime YOUNG = 100 * MR_MS;

typedef struct
{
  void *socket;
  MrTime opened_at;
  MrTime used_at;
} Out;

struct _MrPeerLink
{
  void *context;
  void *in;
  GHashTable *out;       /* "ip:port" -> Out */
  GHashTable *questions; /* the same, of those that wait for an answer */
  zmq_msg_t asker;       /* who sent the message that was received last; may be empty */
};

static void
S_out_free (gpointer data)
{
  Out *out = data;
  zmq_close (out->socket);
  g_free (out);
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
}

MrPeerLink *
mr_peer_link_new (const char *ip, int port)
{
  MrPeerLink *link = g_new0 (MrPeerLink, 1);
  link->context = zmq_ctx_new ();
  zmq_ctx_set (link->context, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
  link->out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_out_free);
  link->questions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_out_free);
  zmq_msg_init (&link->asker);
  link->in = zmq_socket (link->context, ZMQ_ROUTER);
  S_set_common (link->in);
  S_set_int (link->in, ZMQ_RCVHWM, RECEIVE_QUEUE);
  int64_t most = MR_WIRE_MAX_BYTES;
  zmq_setsockopt (link->in, ZMQ_MAXMSGSIZE, &most, sizeof most);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s:%d", ip, port);
  if (zmq_bind (link->in, endpoint) != 0)
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
  g_hash_table_unref (link->out);
  g_hash_table_unref (link->questions);
  zmq_msg_close (&link->asker);
  zmq_close (link->in);
  zmq_ctx_term (link->context);
  g_free (link);
}

/* The socket to @ip:@port in @sockets, opened if there is none. */
static Out *
S_out (MrPeerLink *link, GHashTable *sockets, MrTime now, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  Out *out = g_hash_table_lookup (sockets, key);
  if (out)
    return out;
  void *socket = zmq_socket (link->context, ZMQ_DEALER);
  if (!socket)
    return NULL;
  S_set_common (socket);
  S_set_int (socket, ZMQ_SNDHWM, SEND_QUEUE);
  S_set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  S_set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  S_set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_MS);
  g_autofree char *endpoint = g_strdup_printf ("tcp://%s", key);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  out = g_new0 (Out, 1);
  out->socket = socket;
  out->opened_at = now;
  g_hash_table_insert (sockets, g_steal_pointer (&key), out);
  return out;
}

static gboolean
S_send (Out *out, MrTime now, const GString *bytes)
{
  if (!out)
    return FALSE;
  out->used_at = now;
  return zmq_send (out->socket, bytes->str, bytes->len, ZMQ_DONTWAIT) >= 0;
}

gboolean
mr_peer_link_send (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes)
{
  return S_send (S_out (link, link->out, now, ip, port), now, bytes);
}

static gboolean
S_is_overdue (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return *(MrTime *) user - ((Out *) value)->used_at > ANSWER_WAIT;
}

gboolean
mr_peer_link_request (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes)
{
  g_hash_table_foreach_remove (link->questions, S_is_overdue, &now);
  if (g_hash_table_size (link->questions) >= QUESTIONS_MAX)
    return FALSE;
  return S_send (S_out (link, link->questions, now, ip, port), now, bytes);
}

gboolean
mr_peer_link_reply (MrPeerLink *link, const GString *bytes)
{
  if (zmq_msg_size (&link->asker) == 0 ||
      zmq_send (link->in, zmq_msg_data (&link->asker), zmq_msg_size (&link->asker),
                ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return FALSE;
  return zmq_send (link->in, bytes->str, bytes->len, ZMQ_DONTWAIT) >= 0;
}

void
mr_peer_link_close (MrPeerLink *link, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  g_hash_table_remove (link->out, key);
}

void
mr_peer_link_reconnect (MrPeerLink *link, MrTime now, const char *ip, int port)
{
  g_autofree char *key = g_strdup_printf ("%s:%d", ip, port);
  const Out *out = g_hash_table_lookup (link->out, key);
  if (out && now - out->opened_at > YOUNG)
    g_hash_table_remove (link->out, key);
}

static gboolean
S_is_idle (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return *(MrTime *) user - ((Out *) value)->used_at > IDLE;
}

void
mr_peer_link_close_idle (MrPeerLink *link, MrTime now)
{
  g_hash_table_foreach_remove (link->out, S_is_idle, &now);
  g_hash_table_foreach_remove (link->questions, S_is_overdue, &now);
}

void
mr_peer_link_wait (MrPeerLink *link, int wake_fd, MrTime wait)
{
  zmq_pollitem_t items[2 + QUESTIONS_MAX] = {
    { .socket = link->in, .events = ZMQ_POLLIN },
    { .fd = wake_fd, .events = ZMQ_POLLIN },
  };
  int count = 2;
  GHashTableIter iter;
  gpointer out = NULL;
  g_hash_table_iter_init (&iter, link->questions);
  while (g_hash_table_iter_next (&iter, NULL, &out))
    items[count++] = (zmq_pollitem_t){ .socket = ((Out *) out)->socket, .events = ZMQ_POLLIN };
  zmq_poll (items, count, (long) ((wait + MR_MS - 1) / MR_MS));
}

/* The next message in @socket if it has @frames frames, of which the last are its bytes and
 * the first of two is who sent it.  Others are read to their end and passed over. */
static GString *
S_receive (MrPeerLink *link, void *socket, int frames)
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
          if (++count == frames)
            bytes = g_string_new_len (zmq_msg_data (&frame), (gssize) zmq_msg_size (&frame));
          else if (count == 1)
            zmq_msg_move (&link->asker, &frame);
          zmq_msg_close (&frame);
        }
      if (count == frames)
        return bytes;
      if (bytes)
        g_string_free (bytes, TRUE);
    }
}

/* Its connection is closed with the answer. */
static GString *
S_receive_answer (MrPeerLink *link)
{
  GHashTableIter iter;
  gpointer out = NULL;
  g_hash_table_iter_init (&iter, link->questions);
  while (g_hash_table_iter_next (&iter, NULL, &out))
    {
      GString *bytes = S_receive (link, ((Out *) out)->socket, 1);
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
  GString *bytes = S_receive (link, link->in, 2);
  return bytes ? bytes : S_receive_answer (link);
}

guint
mr_peer_link_socket_count (const MrPeerLink *link)
{
  return g_hash_table_size (link->out) + g_hash_table_size (link->questions);
}
