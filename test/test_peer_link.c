/* Tests of the ZeroMQ connections between daemons, on the loopback interface. */

#include "peer_link.h"

#include "wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include <cmocka.h>

enum
{
  REQUESTERS = 60,
  FIRST_PORT = 27310,
  MESSAGES_SENT_MAX = 100,
  /* In the queues of both ends and the buffers of the kernel. */
  MESSAGES_TAKEN_MAX = 10,
};

#define PEER_PORT 27400

static const char ip[] = "127.0.0.1";
static const MrTime TIMEOUT = 10 * MR_SECOND;

typedef struct
{
  MrPeerLink *seed;
  MrPeerLink *requesters[REQUESTERS];
  guint requests_received;
  guint replies_received;
  int wake_fd;
} Peers;

static void
S_run_once (Peers *peers)
{
  mr_peer_link_wait (peers->seed, peers->wake_fd, 5 * MR_MS);
  for (GString *request_text = mr_peer_link_receive (peers->seed); request_text;
       request_text = mr_peer_link_receive (peers->seed))
    {
      peers->requests_received++;
      g_string_append (request_text, ", answered");
      assert_true (mr_peer_link_reply (peers->seed, request_text));
      g_string_free (request_text, TRUE);
    }
  for (guint i = 0; i < REQUESTERS; i++)
    {
      g_autofree char *expected = g_strdup_printf ("request %u, answered", i);
      g_autoptr (GString) reply = mr_peer_link_receive (peers->requesters[i]);
      if (!reply)
        continue;
      assert_string_equal (reply->str, expected);
      peers->replies_received++;
    }
}

/* Guards against sockets that stay open after a request: when all daemons start at once, all send
 * requests to the same few seeds.  A socket per requester that was kept open for a minute made a
 * seed of 985 daemons use 92 MB; with 1,970 daemons a small VM would run out of memory. */
static void
test_requests (void **state)
{
  Peers peers = { .wake_fd = eventfd (0, EFD_NONBLOCK) };
  (void) state;
  peers.seed = mr_peer_link_new (ip, FIRST_PORT);
  assert_non_null (peers.seed);
  for (guint i = 0; i < REQUESTERS; i++)
    {
      peers.requesters[i] = mr_peer_link_new (ip, FIRST_PORT + 1 + (int) i);
      assert_non_null (peers.requesters[i]);
      g_autoptr (GString) request = g_string_new (NULL);
      g_string_printf (request, "request %u", i);
      assert_true (mr_peer_link_request (peers.requesters[i], mr_now (), ip, FIRST_PORT, request));
      assert_int_equal (mr_peer_link_socket_count (peers.requesters[i]), 1);
    }
  MrTime end = mr_now () + TIMEOUT;
  while (peers.replies_received < REQUESTERS && mr_now () < end)
    S_run_once (&peers);
  assert_int_equal (peers.requests_received, REQUESTERS);
  assert_int_equal (peers.replies_received, REQUESTERS);
  assert_int_equal (mr_peer_link_socket_count (peers.seed), 0);
  for (guint i = 0; i < REQUESTERS; i++)
    {
      assert_int_equal (mr_peer_link_socket_count (peers.requesters[i]), 0);
      mr_peer_link_free (peers.requesters[i]);
    }
  mr_peer_link_free (peers.seed);
  close (peers.wake_fd);
}

/* The sockets of requests to a seed that is down must be closed. */
static void
test_no_reply (void **state)
{
  (void) state;
  MrPeerLink *requester = mr_peer_link_new (ip, FIRST_PORT);
  g_autoptr (GString) request = g_string_new ("request");
  MrTime now = MR_SECOND;
  assert_non_null (requester);
  assert_true (mr_peer_link_request (requester, now, ip, FIRST_PORT + 1, request));
  assert_true (mr_peer_link_request (requester, now + MR_SECOND, ip, FIRST_PORT + 1, request));
  assert_int_equal (mr_peer_link_socket_count (requester), 1);
  mr_peer_link_close_idle (requester, now + 4 * MR_SECOND);
  assert_int_equal (mr_peer_link_socket_count (requester), 0);
  mr_peer_link_free (requester);
}

/* A peer that is not a daemon of this build: sends messages as the test says. */
static void *
S_peer_new (void *context)
{
  const int wait_ms = 2000;
  const int mandatory = 1;
  const int queue = 1;
  const int linger_ms = 0;
  void *peer = zmq_socket (context, ZMQ_ROUTER);
  zmq_setsockopt (peer, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  zmq_setsockopt (peer, ZMQ_RCVTIMEO, &wait_ms, sizeof wait_ms);
  zmq_setsockopt (peer, ZMQ_ROUTER_MANDATORY, &mandatory, sizeof mandatory);
  zmq_setsockopt (peer, ZMQ_SNDHWM, &queue, sizeof queue);
  assert_int_equal (zmq_bind (peer, "tcp://127.0.0.1:" G_STRINGIFY (PEER_PORT)), 0);
  return peer;
}

/* FALSE if the peer's queue is full or the connection has ended. */
static gboolean
S_peer_send (void *peer, const char *identity, gsize identity_len, const char *bytes, gsize len)
{
  return zmq_send (peer, identity, identity_len, ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
         zmq_send (peer, bytes, len, ZMQ_DONTWAIT) >= 0;
}

/* Guards against messages of a faulty peer that take the memory of the process: replies beyond the
 * largest message, and messages on a connection that only sends. */
static void
test_large_messages (void **state)
{
  static const struct
  {
    const char *name;
    gboolean request; /* else the connection only sends */
    gsize bytes;
    gboolean received;
  } cases[] = {
    { "small reply", TRUE, 100, TRUE },
    { "largest reply", TRUE, MR_WIRE_MAX_BYTES, TRUE },
    { "reply beyond the limit", TRUE, MR_WIRE_MAX_BYTES + 1, FALSE },
    { "messages that nobody reads", FALSE, MR_WIRE_MAX_BYTES, FALSE },
  };
  (void) state;
  g_autofree char *bytes = g_malloc0 (MR_WIRE_MAX_BYTES + 1);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char identity[256];
      guint taken = 0;
      gboolean received = FALSE;
      void *context = zmq_ctx_new ();
      void *peer = S_peer_new (context);
      MrPeerLink *link = mr_peer_link_new (ip, FIRST_PORT);
      g_autoptr (GString) message = g_string_new ("message");
      int wake_fd = eventfd (0, EFD_NONBLOCK);
      assert_true (cases[i].request ? mr_peer_link_request (link, mr_now (), ip, PEER_PORT, message)
                                    : mr_peer_link_send (link, mr_now (), ip, PEER_PORT, message));
      int identity_len = zmq_recv (peer, identity, sizeof identity, 0);
      assert_true (identity_len > 0);
      assert_int_equal (zmq_recv (peer, bytes, MR_WIRE_MAX_BYTES, 0), message->len);
      for (MrTime end = mr_now () + 500 * MR_MS; mr_now () < end && taken < MESSAGES_SENT_MAX;)
        {
          if ((taken == 0 || !cases[i].request) &&
              S_peer_send (peer, identity, (gsize) identity_len, bytes, cases[i].bytes))
            taken++;
          mr_peer_link_wait (link, wake_fd, MR_MS);
          GString *reply = mr_peer_link_receive (link);
          received |= reply != NULL;
          if (reply)
            g_string_free (reply, TRUE);
        }
      if (received != cases[i].received || taken > MESSAGES_TAKEN_MAX)
        fail_msg ("%s: received %d, %u messages were taken", cases[i].name, received, taken);
      mr_peer_link_free (link);
      zmq_close (peer);
      zmq_ctx_term (context);
      close (wake_fd);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests),
    cmocka_unit_test (test_no_reply),
    cmocka_unit_test (test_large_messages),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
