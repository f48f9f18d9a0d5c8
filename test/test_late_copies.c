/* Guards against an order that runs twice, or is refused though it runs, and against answers to
 * other requests: a late second copy of a target's response must not be taken for the response to a
 * later call on the connection, whether it has the id of another request, the same id, or none. */

#include "target_client.h"

#include "loopback.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  DESCRIPTORS = 64,
  CONNECTIONS_MAX = 8,
  CALLS_MAX = 4,
  REQUEST_BYTES_MAX = 4096,
  OTHERS_MANY = 40,
};

static const MrTime TEST_TIMEOUT = 3 * MR_SECOND;

#define SIGNED "X-Signature: i-1\r\nContent-Length: 2\r\n\r\n"

typedef struct
{
  const char *name;
  const char *format; /* of the response to the first request, whose id it may contain */
  MrCallOutcome outcome;
} FirstResponse;

static const FirstResponse first_responses[] = {
  { "answer", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" SIGNED "q1", MR_CALL_ANSWER },
  { "refusal", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    MR_CALL_SHED },
  { "refusal without an id", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    MR_CALL_SHED },
  { "misdirected", "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
    MR_CALL_MISDIRECTED },
  { "misdirected without an id", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    MR_CALL_MISDIRECTED },
  { "too many requests", "HTTP/1.1 429 Later\r\nX-Id: %s\r\n" SIGNED "no", MR_CALL_ERROR },
  { "too many requests without an id", "HTTP/1.1 429 Later\r\n" SIGNED "no", MR_CALL_ERROR },
  { "503 that does not refuse", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\n" SIGNED "no", MR_CALL_ERROR },
  { "refusal with a body",
    "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
    MR_CALL_SHED },
  { "error", "HTTP/1.1 500 Error\r\nX-Id: %s\r\n" SIGNED "no", MR_CALL_ERROR },
  { "error without an id", "HTTP/1.1 500 Error\r\n" SIGNED "no", MR_CALL_ERROR },
};

typedef enum
{
  COPY_AT_ONCE,     /* in the same segment as the response */
  COPY_WHILE_IDLE,  /* before the next call */
  COPY_BEFORE_NEXT, /* where the response to the next call on the connection is expected */
  COPY_BEFORE_LAST, /* the same, after another call on it */
  COPY_AFTER_MANY,  /* the same, after more calls than a connection remembers ids of */
  COPY_TIMES,
} CopyTime;

static const char *const copy_times[COPY_TIMES] = { "at once", "while idle", "before the next",
                                                    "before the last", "after many calls" };

typedef struct
{
  const char *name;
  const char *id; /* that of the first call is "q1" */
  gboolean idempotent;
  gboolean is_part;
} LaterCall;

static const LaterCall later_calls[] = {
  { "search", "q3", TRUE, FALSE },          { "search with the same id", "q1", TRUE, FALSE },
  { "part of a search", "q3", TRUE, TRUE }, { "part with the same id", "q1", TRUE, TRUE },
  { "order", "q3", FALSE, FALSE },          { "order with the same id", "q1", FALSE, FALSE },
};

static const MrDialect dialect = {
  .request_id = "X-Id",
  .signature = "X-Signature",
  .not_run = "X-Not-Run",
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrTargetClientHost client_host;
  MrTargetClient *client;
  MrLoop *loop;
  MrTargetState *target;
  int listener;
  int fds[CONNECTIONS_MAX];
  guint connections;
  gboolean ended[CALLS_MAX]; /* by call id */
  MrCallOutcome outcomes[CALLS_MAX];
  char *bodies[CALLS_MAX]; /* NULL: none */
} Fixture;

static void
S_on_call_ended (MrTargetClientHost *host,
                 guint64 id,
                 MrCallOutcome outcome,
                 MrHttpParser *response)
{
  Fixture *f = (Fixture *) ((char *) host - offsetof (Fixture, client_host));
  assert_false (f->ended[id]);
  f->ended[id] = TRUE;
  f->outcomes[id] = outcome;
  if (response)
    f->bodies[id] = mr_text_dup (mr_http_parser_body (response));
  mr_http_parser_free (response);
}

static void
S_on_probed (MrTargetClientHost *host, const char *target, gboolean answered)
{
  (void) host;
  (void) target;
  (void) answered;
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_target_client_tick (f->client, now), now + MR_MS);
}

static void
S_step (Fixture *f)
{
  mr_loop_step (f->loop);
  int fd = accept4 (f->listener, NULL, NULL, SOCK_NONBLOCK);
  if (fd < 0)
    return;
  assert_true (f->connections < CONNECTIONS_MAX);
  f->fds[f->connections++] = fd;
}

static void
S_call (Fixture *f, guint64 number, const char *id, const LaterCall *kind)
{
  MrTargetCall call = { .id = number,
                        .target = f->target,
                        .request = MR_TEXT ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
                        .request_id = mr_text (id),
                        .idempotent = kind->idempotent,
                        .is_part = kind->is_part };
  mr_target_client_call (f->client, mr_now (), &call);
}

/* Waits until a request arrives; returns the index of its connection. */
static guint
S_receive (Fixture *f)
{
  char bytes[REQUEST_BYTES_MAX];
  MrTime end = mr_now () + TEST_TIMEOUT;
  while (mr_now () < end)
    {
      S_step (f);
      for (guint i = 0; i < f->connections; i++)
        if (recv (f->fds[i], bytes, sizeof bytes, MSG_DONTWAIT) > 0)
          return i;
    }
  fail_msg ("no request arrives");
  return 0;
}

/* A connection that the client has closed takes nothing. */
static void
S_send (const Fixture *f, guint connection, const char *bytes)
{
  send (f->fds[connection], bytes, strlen (bytes), MSG_NOSIGNAL);
}

static void
S_await_end (Fixture *f, guint64 number)
{
  MrTime end = mr_now () + TEST_TIMEOUT;
  while (!f->ended[number] && mr_now () < end)
    S_step (f);
  assert_true (f->ended[number]);
}

/* Longer than the loopback takes to deliver bytes. */
static void
S_settle (Fixture *f)
{
  for (MrTime end = mr_now () + 3 * MR_MS; mr_now () < end;)
    S_step (f);
}

/* A call between the first one and the last one, without a fault. */
static void
S_make_other_call (Fixture *f, guint index)
{
  g_autofree char *id = g_strdup_printf ("other-%u", index);
  g_autofree char *answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Id: %s\r\n" SIGNED "ok", id);
  f->ended[2] = FALSE;
  g_clear_pointer (&f->bodies[2], g_free);
  S_call (f, 2, id, &later_calls[0]);
  guint connection = S_receive (f);
  S_send (f, connection, answer);
  S_await_end (f, 2);
}

static void
S_fixture_init (Fixture *f)
{
  MrTarget target = { .id = "i-1", .ip = "127.0.0.1" };
  *f = (Fixture){ .loop_handler = { .on_tick = S_on_tick },
                  .client_host = { .call_ended = S_on_call_ended, .probed = S_on_probed } };
  f->listener = listen_loopback (&target.port);
  assert_true (f->listener >= 0);
  f->loop = mr_loop_new (&f->loop_handler, DESCRIPTORS);
  f->client = mr_target_client_new (&f->client_host, f->loop, &dialect);
  f->target = mr_target_state_new (&target, "127.0.0.1");
}

static void
S_fixture_clear (Fixture *f)
{
  for (guint i = 0; i < f->connections; i++)
    close (f->fds[i]);
  close (f->listener);
  for (guint i = 0; i < CALLS_MAX; i++)
    g_free (f->bodies[i]);
  mr_loop_free (f->loop);
  mr_target_client_free (f->client);
  mr_target_state_free (f->target);
}

/* TRUE if the later call gets its own response, or ends as broken behind a part of a copy. */
static gboolean
S_run_case (const FirstResponse *first, CopyTime copy_time, gboolean whole, const LaterCall *later)
{
  Fixture f;
  S_fixture_init (&f);
  g_autofree char *response = g_strdup_printf (first->format, "q1");
  gsize half = strlen (response) / 2;
  g_autofree char *copy = g_strndup (response, whole ? 2 * half + 1 : half);
  g_autofree char *twice = g_strconcat (response, copy, NULL);
  S_call (&f, 1, "q1", later);
  guint first_connection = S_receive (&f);
  S_send (&f, first_connection, copy_time == COPY_AT_ONCE ? twice : response);
  S_await_end (&f, 1);
  assert_int_equal (f.outcomes[1], first->outcome);
  if (copy_time == COPY_WHILE_IDLE)
    S_send (&f, first_connection, copy);
  S_settle (&f);
  guint others = copy_time == COPY_AFTER_MANY ? OTHERS_MANY : copy_time == COPY_BEFORE_LAST;
  for (guint i = 0; i < others; i++)
    S_make_other_call (&f, i);
  S_call (&f, 3, later->id, later);
  guint connection = S_receive (&f);
  if (copy_time >= COPY_BEFORE_NEXT)
    S_send (&f, first_connection, copy);
  S_settle (&f);
  g_autofree char *answer =
      g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Id: %s\r\n" SIGNED "ok", later->id);
  S_send (&f, connection, answer);
  S_await_end (&f, 3);
  gboolean passed = f.outcomes[3] == MR_CALL_ANSWER ? g_str_equal (f.bodies[3], "ok")
                                                    : !whole && f.outcomes[3] == MR_CALL_BROKEN;
  if (!passed)
    print_error ("%s, %s copy %s, then %s: outcome %s\n", first->name, whole ? "whole" : "cut",
                 copy_times[copy_time], later->name, mr_call_outcome_name (f.outcomes[3]));
  S_fixture_clear (&f);
  return passed;
}

/* Ids are remembered of the latest calls only; a refused call may come again at any time. */
static gboolean
S_is_recognised (const FirstResponse *first, CopyTime copy_time, const LaterCall *later)
{
  gboolean refused = first->outcome == MR_CALL_SHED || first->outcome == MR_CALL_MISDIRECTED;
  return copy_time != COPY_AFTER_MANY || refused || !g_str_equal (later->id, "q1");
}

static void
test_copies (void **state)
{
  guint failures = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (first_responses); i++)
    for (CopyTime time = 0; time < COPY_TIMES; time++)
      for (int whole = 0; whole <= 1; whole++)
        for (gsize k = 0; k < G_N_ELEMENTS (later_calls); k++)
          if (S_is_recognised (&first_responses[i], time, &later_calls[k]))
            failures += S_run_case (&first_responses[i], time, whole, &later_calls[k]) ? 0 : 1;
  assert_int_equal (failures, 0);
}

/* Searches go on using the connection of an answer; with ids that are used again, the number of
 * connections stays the same. */
static void
test_reuse (void **state)
{
  Fixture f;
  (void) state;
  S_fixture_init (&f);
  S_make_other_call (&f, 0);
  S_make_other_call (&f, 1);
  assert_int_equal (f.connections, 1);
  assert_int_equal (mr_target_client_counts (f.client).reused, 1);
  S_make_other_call (&f, 0);
  S_settle (&f);
  assert_int_equal (f.connections, 2);
  assert_int_equal (recv (f.fds[0], (char[1]){ 0 }, 1, MSG_DONTWAIT), 0);
  S_fixture_clear (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_copies),
    cmocka_unit_test (test_reuse),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
