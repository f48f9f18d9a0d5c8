/* Guards against batches of other daemons that are lost, or open too long, while this one stops. */

#include "target_task.h"

#include "task_message.h"
#include "wire.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  CONNECTIONS = 16,
  BACKLOG = 16,
};

static const MrTime STOP_DELAY = 200 * MR_MS;
static const MrTime STOP_TOLERANCE = 1 * MR_SECOND;
static const MrTime TEST_TIMEOUT = 10 * MR_SECOND;

typedef struct
{
  const char *name;
  const char *root;
  gboolean refuses;     /* the stop refuses batches of other daemons */
  gboolean before_stop; /* the batch comes before the stop begins */
  MrPartialKind expected;
} Case;

/* Their target never answers. */
static const Case cases[] = {
  { "of another daemon, refused", "d2", TRUE, FALSE, MR_PARTIAL_NO_MAP },
  { "of another daemon, begun before", "d2", TRUE, TRUE, MR_PARTIAL_ANSWER },
  { "of another daemon, served", "d2", FALSE, FALSE, MR_PARTIAL_ANSWER },
  { "of this daemon", "", TRUE, FALSE, MR_PARTIAL_ANSWER },
};

static void
S_ignore_wake (void *user)
{
  (void) user;
}

/* Listens on a port that it returns in @port; connections are established, but not accepted. */
static int
S_listen (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *) &address, len), 0);
  assert_int_equal (listen (fd, BACKLOG), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &len), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

static MrMessage *
S_make_batch (const Case *c, int port)
{
  g_autofree char *text =
      g_strdup_printf ("{\"snapshot\":\"s\",\"targets\":[{\"id\":\"t\",\"ip\":\"127.0.0.1\","
                       "\"port\":%d,\"domain\":\"d\",\"slots\":1,\"connections\":1}],"
                       "\"shards\":[{\"name\":\"h\",\"weight\":1,\"replicas\":[\"t\"]}]}",
                       port);
  MrShardMap *map = mr_shard_map_parse (MR_TEXT ("shop"), 1, mr_text (text));
  assert_non_null (map);
  MrBatch *batch = mr_batch_new (1, map, 1);
  mr_shard_map_unref (map);
  batch->deadline = mr_now () + 60 * MR_SECOND;
  batch->policy = (MrBatchPolicy){ .hedge_quantile = 0.95, .owner_count = 1 };
  MrOrigin origin = { .incarnation = 7, .batch_id = 1 };
  g_strlcpy (origin.root, c->root, sizeof origin.root);
  return &mr_submit_message_new (batch, &origin)->base;
}

/* Kind of the partial in @message; MR_PARTIAL_IN_PROGRESS if it has none. */
static MrPartialKind
S_partial_kind (const MrMessage *message)
{
  MrPartialKind kind = MR_PARTIAL_IN_PROGRESS;
  if (message->type == MR_MESSAGE_PARTIAL)
    return ((const MrPartialMessage *) message)->partial->kind;
  if (message->type != MR_MESSAGE_PEER_SEND)
    return kind;
  MrWireMessage wire;
  const MrPeerSendMessage *send = (const MrPeerSendMessage *) message;
  assert_int_equal (mr_wire_decode (mr_text_of (send->bytes), &wire), MR_OK);
  if (wire.type == MR_WIRE_PARTIAL)
    kind = wire.partial->kind;
  mr_wire_message_clear (&wire);
  return kind;
}

static void
S_run_case (const Case *c)
{
  MrTargetTaskInfo info = {
    .name = "d1", .incarnation = "0123456789abcdef", .max_connections = CONNECTIONS, .seed = 1
  };
  MrTargetTask *task = mr_target_task_new (&info);
  MrMailbox *inbox = mr_loop_mailbox (mr_target_task_loop (task));
  MrMailbox *out = mr_mailbox_new (S_ignore_wake, NULL);
  MrPartialKind kind = MR_PARTIAL_IN_PROGRESS;
  int port = 0;
  int listener = S_listen (&port);
  MrTime begun = mr_now ();
  mr_target_task_connect (task, out, out);
  if (c->before_stop)
    mr_mailbox_post (inbox, S_make_batch (c, port));
  mr_mailbox_post (inbox, &mr_stop_time_message_new (begun + STOP_DELAY, c->refuses)->base);
  if (!c->before_stop)
    mr_mailbox_post (inbox, S_make_batch (c, port));
  while (kind == MR_PARTIAL_IN_PROGRESS && mr_now () < begun + TEST_TIMEOUT)
    {
      mr_loop_step (mr_target_task_loop (task));
      for (MrMessage *m = mr_mailbox_take (out); m; m = mr_mailbox_take (out))
        {
          kind = kind == MR_PARTIAL_IN_PROGRESS ? S_partial_kind (m) : kind;
          mr_message_free (m);
        }
    }
  if (kind != c->expected || mr_now () > begun + STOP_DELAY + STOP_TOLERANCE)
    fail_msg ("%s: partial of kind %d after %" G_GINT64_FORMAT " ms", c->name, kind,
              (mr_now () - begun) / MR_MS);
  mr_target_task_free (task);
  mr_mailbox_free (out);
  close (listener);
}

static void
test_batches_of_a_stop (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_batches_of_a_stop),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
