/* Tests of the ZeroMQ connections between daemons, on the loopback interface. */

#include "peer_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  REQUESTERS = 60,
  FIRST_PORT = 27310,
};

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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests),
    cmocka_unit_test (test_no_reply),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
