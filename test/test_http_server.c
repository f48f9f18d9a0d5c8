/* Guards against requests and answers that callers of the library's HTTP server lose while it
 * stops: answers to callers that read slowly, and requests that arrive in the moment in which the
 * listener closes. */

#include "http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "loopback.h"

enum
{
  DESCRIPTORS = 64,
  RECEIVE_BUFFER_BYTES = 128 * 1024,
  SLOW_READ_BYTES = 64 * 1024,
  READ_BUFFER_BYTES = 1024 * 1024,
  SMALL_BODY_BYTES = 1000,
  /* More than the kernel buffers of both ends take. */
  LARGE_BODY_BYTES = 12 * 1024 * 1024,
};

static int port;
static const MrTime TEST_TIMEOUT = 20 * MR_SECOND;
/* Longer than the server waits for connections without a request. */
static const MrTime HOLD_TIME = 1500 * MR_MS;
static const char request_text[] = "GET /q HTTP/1.1\r\nHost: h\r\n\r\n";

typedef enum
{
  BEFORE_ACCEPT, /* the caller connects and sends before the server accepts */
  WHILE_IDLE,    /* it sends on an accepted connection before the server reads */
  AGAIN,         /* as above, after an earlier request that was answered */
  ANSWERED,      /* its request is answered when the server closes */
  HELD,          /* its request is answered a while after the server has closed */
  NEVER,         /* it sends nothing */
} SendTime;

typedef struct
{
  const char *name;
  SendTime sends;
  gsize body_bytes;     /* of the answer */
  gsize read_bytes;     /* that the caller reads each time; 0: all that there is */
  MrTime read_interval; /* between two reads */
  gboolean is_answered;
} Case;

static const Case cases[] = {
  { "sent before it was accepted", BEFORE_ACCEPT, SMALL_BODY_BYTES, 0, 0, TRUE },
  { "sent on an idle connection", WHILE_IDLE, SMALL_BODY_BYTES, 0, 0, TRUE },
  { "sent again on an idle connection", AGAIN, SMALL_BODY_BYTES, 0, 0, TRUE },
  { "no request", NEVER, SMALL_BODY_BYTES, 0, 0, FALSE },
  { "answered", ANSWERED, SMALL_BODY_BYTES, 0, 0, TRUE },
  { "answered later", HELD, SMALL_BODY_BYTES, 0, 0, TRUE },
  /* Takes longer than the server waits for the caller to close. */
  { "reads slowly", ANSWERED, LARGE_BODY_BYTES, SLOW_READ_BYTES, 15 * MR_MS, TRUE },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrHttpHandler handler;
  MrHttpServer *server;
  GString *body;
  guint requests;
  guint64 held; /* request that waits for its answer; 0: none */
  gboolean hold;
} Fixture;

static void
S_answer (const Fixture *f, guint64 id)
{
  MrHttpReply reply = { .status = 200, .body = mr_text_of (f->body) };
  mr_http_server_reply (f->server, id, &reply);
}

static void
S_on_request (MrHttpHandler *handler, const MrHttpRequest *request)
{
  Fixture *f = (Fixture *) ((char *) handler - offsetof (Fixture, handler));
  f->requests++;
  if (f->hold)
    f->held = request->id;
  else
    S_answer (f, request->id);
}

/* Short interval, so that the caller reads on time. */
static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_http_server_tick (f->server, now), now + MR_MS);
}

static int
S_connect (void)
{
  int fd = connect_loopback (port, RECEIVE_BUFFER_BYTES);
  assert_true (fd >= 0);
  return fd;
}

static void
S_send_request (int fd)
{
  gssize len = (gssize) strlen (request_text);
  assert_int_equal (send (fd, request_text, (size_t) len, 0), len);
}

/* Runs the loop until the server has @connections connections. */
static void
S_await_connections (const Fixture *f, MrLoop *loop, guint connections)
{
  MrTime end = mr_now () + TEST_TIMEOUT;
  while (mr_http_server_open_count (f->server) != connections && mr_now () < end)
    mr_loop_step (loop);
  assert_int_equal (mr_http_server_open_count (f->server), connections);
}

static void
S_step_for (MrLoop *loop, MrTime span)
{
  for (MrTime end = mr_now () + span; mr_now () < end;)
    mr_loop_step (loop);
}

/* Reads as the case says until the connection ends; returns the number of bytes. */
static gsize
S_read_all (const Case *c, MrLoop *loop, int fd, gboolean *was_reset)
{
  g_autofree char *buffer = g_malloc (READ_BUFFER_BYTES);
  gsize total = 0;
  MrTime next = mr_now ();
  for (MrTime end = next + TEST_TIMEOUT; mr_now () < end;)
    {
      mr_loop_step (loop);
      if (mr_now () < next)
        continue;
      next += c->read_interval;
      gsize left = c->read_bytes > 0 ? c->read_bytes : G_MAXSIZE;
      gssize n = 1;
      while (left > 0 && n > 0)
        {
          n = recv (fd, buffer, MIN (left, READ_BUFFER_BYTES), MSG_DONTWAIT);
          total += n > 0 ? (gsize) n : 0;
          left -= n > 0 ? (gsize) n : 0;
        }
      *was_reset = n < 0 && errno != EAGAIN;
      if (n == 0 || *was_reset)
        return total;
    }
  fail_msg ("%s: the connection does not end", c->name);
  return 0;
}

/* Sends a request and receives its answer. */
static void
S_exchange (Fixture *f, MrLoop *loop, int fd)
{
  char buffer[SMALL_BODY_BYTES * 2];
  gsize total = 0;
  S_send_request (fd);
  while (total < f->body->len)
    {
      mr_loop_step (loop);
      gssize n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
      total += n > 0 ? (gsize) n : 0;
    }
  f->requests = 0;
}

static void
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .handler = { .on_request = S_on_request },
                .hold = c->sends == HELD,
                .body = g_string_new (NULL) };
  gboolean was_reset = FALSE;
  g_string_set_size (f.body, c->body_bytes);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.server = mr_http_server_new (loop, &f.handler, "127.0.0.1", port, 1024);
  assert_non_null (f.server);
  int fd = S_connect ();
  if (c->sends != BEFORE_ACCEPT)
    S_await_connections (&f, loop, 1);
  if (c->sends == AGAIN)
    S_exchange (&f, loop, fd);
  if (c->sends != NEVER)
    S_send_request (fd);
  mr_http_server_drain (f.server);
  while ((c->sends == ANSWERED || c->sends == HELD) && f.requests == 0)
    mr_loop_step (loop);
  mr_http_server_close (f.server);
  if (c->sends == HELD)
    {
      S_step_for (loop, HOLD_TIME);
      S_answer (&f, f.held);
    }
  gsize received = S_read_all (c, loop, fd, &was_reset);
  gsize expected = c->is_answered ? c->body_bytes : 0;
  if (was_reset || received < expected || (expected == 0 && received > 0) ||
      f.requests != (c->is_answered ? 1 : 0))
    fail_msg ("%s: %zu bytes for %zu, %u requests, reset %d", c->name, received, expected,
              f.requests, was_reset);
  close (fd);
  S_await_connections (&f, loop, 0);
  mr_loop_free (loop);
  mr_http_server_free (f.server);
  g_string_free (f.body, TRUE);
}

static void
test_close (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

static void
S_count_answered (const MrHttpPendingRequest *request, void *user)
{
  *(guint *) user += request->answered ? 1 : 0;
}

/* Guards against a stop that does not report the reply that its caller does not read. */
static void
test_unwritten_reply (void **state)
{
  (void) state;
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .handler = { .on_request = S_on_request },
                .body = g_string_new (NULL) };
  guint answered = 0;
  g_string_set_size (f.body, LARGE_BODY_BYTES);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.server = mr_http_server_new (loop, &f.handler, "127.0.0.1", port, 1024);
  assert_non_null (f.server);
  int fd = S_connect ();
  S_send_request (fd);
  S_await_connections (&f, loop, 1);
  mr_http_server_close (f.server);
  S_step_for (loop, HOLD_TIME);
  mr_http_server_foreach_pending (f.server, S_count_answered, &answered);
  assert_int_equal (answered, 1);
  assert_int_equal (mr_http_server_pending_count (f.server), 1);
  assert_int_equal (mr_http_server_open_count (f.server), 1);
  assert_true (mr_http_server_unwritten_bytes (f.server) > 0);
  close (fd);
  S_await_connections (&f, loop, 0);
  assert_int_equal (mr_http_server_unwritten_bytes (f.server), 0);
  mr_loop_free (loop);
  mr_http_server_free (f.server);
  g_string_free (f.body, TRUE);
}

int
main (void)
{
  port = free_port ();
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_close),
    cmocka_unit_test (test_unwritten_reply),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
