/* Guards against batches of other daemons that are lost, or open too long, while this one stops,
 * and against orders that are reported as not run because of an earlier call's refusal. */

#include "target_task.h"

#include "loopback.h"
#include "task_message.h"
#include "wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  CONNECTIONS = 16,
  REQUEST_BYTES_MAX = 4096,
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

static MrMessage *
S_make_batch (const char *root, int port, gboolean is_order)
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
  batch->is_order = is_order;
  batch->payload = g_string_new (is_order ? "{}" : "ripe");
  g_strlcpy (batch->ticket, is_order ? "ticket" : "", sizeof batch->ticket);
  MrOrigin origin = { .incarnation = 7, .batch_id = 1 };
  g_strlcpy (origin.root, root, sizeof origin.root);
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
  int listener = listen_loopback (&port);
  MrTime begun = mr_now ();
  mr_target_task_connect (task, out, out);
  if (c->before_stop)
    mr_mailbox_post (inbox, S_make_batch (c->root, port, FALSE));
  mr_mailbox_post (inbox, &mr_stop_time_message_new (begun + STOP_DELAY, c->refuses)->base);
  if (!c->before_stop)
    mr_mailbox_post (inbox, S_make_batch (c->root, port, FALSE));
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

typedef struct
{
  MrTargetTask *task;
  MrMailbox *out;
  int listener;
  int fds[CONNECTIONS];
  guint connections;
  char request[REQUEST_BYTES_MAX]; /* the latest */
} Target;

/* Waits for a request; returns the index of its connection. */
static guint
S_receive (Target *t)
{
  MrTime end = mr_now () + TEST_TIMEOUT;
  while (mr_now () < end)
    {
      mr_loop_step (mr_target_task_loop (t->task));
      int fd = accept (t->listener, NULL, NULL);
      if (fd >= 0)
        t->fds[t->connections++] = fd;
      for (guint i = 0; i < t->connections; i++)
        {
          ssize_t n = recv (t->fds[i], t->request, sizeof t->request - 1, MSG_DONTWAIT);
          t->request[MAX (n, 0)] = '\0';
          if (n > 0)
            return i;
        }
    }
  fail_msg ("no request arrives");
  return 0;
}

static void
S_respond (const Target *t, guint connection, int status, const char *body)
{
  g_autofree char *response = g_strdup_printf ("HTTP/1.1 %d S\r\nContent-Type: application/json\r\n"
                                               "Content-Length: %zu\r\n\r\n%s",
                                               status, strlen (body), body);
  send (t->fds[connection], response, strlen (response), MSG_NOSIGNAL);
}

static MrOrderOutcome
S_await_order_outcome (const Target *t)
{
  MrTime end = mr_now () + TEST_TIMEOUT;
  while (mr_now () < end)
    {
      mr_loop_step (mr_target_task_loop (t->task));
      for (MrMessage *m = mr_mailbox_take (t->out); m; m = mr_mailbox_take (t->out))
        {
          MrPartialKind kind = S_partial_kind (m);
          MrOrderOutcome outcome = kind == MR_PARTIAL_IN_PROGRESS
                                       ? MR_ORDER_UNKNOWN
                                       : ((const MrPartialMessage *) m)->partial->order_outcome;
          mr_message_free (m);
          if (kind != MR_PARTIAL_IN_PROGRESS)
            return outcome;
        }
    }
  fail_msg ("no partial");
  return MR_ORDER_UNKNOWN;
}

/* A second copy of a search's refusal arrives when an order runs at the target. */
static void
test_late_refusal (void **state)
{
  static const char refusal[] = "{\"error\":\"shed\",\"ran\":false}";
  MrTargetTaskInfo info = {
    .name = "d1", .incarnation = "0123456789abcdef", .max_connections = CONNECTIONS, .seed = 1
  };
  int port = 0;
  (void) state;
  Target t = { .task = mr_target_task_new (&info),
               .out = mr_mailbox_new (S_ignore_wake, NULL),
               .listener = listen_loopback (&port) };
  MrMailbox *inbox = mr_loop_mailbox (mr_target_task_loop (t.task));
  mr_target_task_connect (t.task, t.out, t.out);
  mr_mailbox_post (inbox, S_make_batch ("", port, FALSE));
  guint first = S_receive (&t);
  S_respond (&t, first, 503, refusal);
  S_await_order_outcome (&t);
  mr_mailbox_post (inbox, S_make_batch ("", port, TRUE));
  guint connection = S_receive (&t);
  S_respond (&t, first, 503, refusal);
  for (MrTime end = mr_now () + 5 * MR_MS; mr_now () < end;)
    mr_loop_step (mr_target_task_loop (t.task));
  const char *id = strstr (t.request, "id=");
  g_autofree char *answer =
      g_strdup_printf ("{\"id\":\"%.*s\"}", (int) strcspn (id + 3, "& "), id + 3);
  S_respond (&t, connection, 200, answer);
  assert_int_equal (S_await_order_outcome (&t), MR_ORDER_DONE);
  mr_target_task_free (t.task);
  mr_mailbox_free (t.out);
  for (guint i = 0; i < t.connections; i++)
    close (t.fds[i]);
  close (t.listener);
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
    cmocka_unit_test (test_late_refusal),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
