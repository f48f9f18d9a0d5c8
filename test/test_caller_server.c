/* Guards against requests and answers that callers lose while a server stops: answers to callers
 * that read slowly, and requests that arrive in the moment in which the listener closes. */

#include "caller_server.h"

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
  SMALL_BODY_BYTES = 1000,
  /* More than the kernel buffers of both ends take. */
  LARGE_BODY_BYTES = 12 * 1024 * 1024,
};

static int port;
static const MrTime TEST_TIMEOUT = 20 * MR_SECOND;
static const char request_text[] = "GET /q HTTP/1.1\r\nHost: h\r\n\r\n";

typedef enum
{
  BEFORE_ACCEPT, /* the caller connects and sends before the server accepts */
  WHILE_IDLE,    /* it sends on an accepted connection before the server reads */
  ANSWERED,      /* its request is answered when the server closes */
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
  { "no request", NEVER, SMALL_BODY_BYTES, 0, 0, FALSE },
  { "answered", ANSWERED, SMALL_BODY_BYTES, 0, 0, TRUE },
  /* Takes longer than the server waits for the caller to close. */
  { "reads slowly", ANSWERED, LARGE_BODY_BYTES, 64 * 1024, 15 * MR_MS, TRUE },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrCallerServerHost host;
  MrCallerServer *server;
  GString *body;
  guint requests;
  guint disconnected;
  gboolean holds;        /* requests stay open until S_answer () */
  gboolean answers_open; /* a request lets the open one be answered */
  MrCaller *caller;      /* of the open request */
  GString *seen;         /* targets of the requests */
} Fixture;

static void
S_answer (Fixture *f)
{
  MrCaller *caller = f->caller;
  f->caller = NULL;
  mr_caller_answer (caller, 200, (MrText){ 0 }, mr_text_of (f->body));
}

static void
S_on_request (MrCallerServerHost *host,
              MrCaller *caller,
              const MrHttpParser *request,
              MrTime first_byte_at)
{
  Fixture *f = (Fixture *) ((char *) host - offsetof (Fixture, host));
  (void) first_byte_at;
  f->requests++;
  if (f->seen)
    g_string_append_len (f->seen, mr_http_parser_target (request).data,
                         (gssize) mr_http_parser_target (request).len);
  if (f->answers_open)
    {
      f->holds = FALSE;
      S_answer (f);
    }
  f->answers_open = FALSE;
  f->caller = caller;
  if (!f->holds)
    S_answer (f);
}

static void
S_on_disconnected (MrCallerServerHost *host, MrCaller *caller)
{
  Fixture *f = (Fixture *) ((char *) host - offsetof (Fixture, host));
  (void) caller;
  f->disconnected++;
}

/* Short interval, so that the caller reads on time. */
static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_caller_server_tick (f->server, now), now + MR_MS);
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
  while (mr_caller_server_connections (f->server) != connections && mr_now () < end)
    mr_loop_step (loop);
  assert_int_equal (mr_caller_server_connections (f->server), connections);
}

/* Reads as the case says until the connection ends; returns the number of bytes. */
static gsize
S_read_all (const Case *c, MrLoop *loop, int fd, gboolean *was_reset)
{
  g_autofree char *buffer = g_malloc (1024 * 1024);
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
          n = recv (fd, buffer, MIN (left, 1024 * 1024), MSG_DONTWAIT);
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

static void
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .host = { .request = S_on_request, .disconnected = S_on_disconnected },
                .body = g_string_new (NULL) };
  gboolean was_reset = FALSE;
  g_string_set_size (f.body, c->body_bytes);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.server = mr_caller_server_new (&f.host, loop, "127.0.0.1", port);
  assert_non_null (f.server);
  int fd = S_connect ();
  if (c->sends != BEFORE_ACCEPT)
    S_await_connections (&f, loop, 1);
  if (c->sends != NEVER)
    S_send_request (fd);
  mr_caller_server_drain (f.server);
  while (c->sends == ANSWERED && f.requests == 0)
    mr_loop_step (loop);
  mr_caller_server_close (f.server);
  gsize received = S_read_all (c, loop, fd, &was_reset);
  gsize expected = c->is_answered ? c->body_bytes : 0;
  if (was_reset || received < expected || (expected == 0 && received > 0) ||
      f.requests != (c->is_answered ? 1 : 0))
    fail_msg ("%s: %zu bytes for %zu, %u requests, reset %d", c->name, received, expected,
              f.requests, was_reset);
  close (fd);
  S_await_connections (&f, loop, 0);
  mr_loop_free (loop);
  mr_caller_server_free (f.server);
  g_string_free (f.body, TRUE);
}

static void
test_close (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

/* Single faults. */

typedef struct
{
  Fixture f;
  MrLoop *loop;
  int fd;
} Connection;

static const MrCallerLimits limits = {
  .max_head_bytes = 4096,
  .max_body_bytes = 1000,
  .head_timeout = MR_SECOND,
  .idle_timeout = 5 * MR_SECOND,
};

static Connection *
S_open (void **state, const MrCallerLimits *caller_limits, gsize body_bytes)
{
  Connection *c = g_new (Connection, 1);
  *state = c;
  *c = (Connection){
    .f = { .loop_handler = { .on_tick = S_on_tick },
           .host = { .request = S_on_request, .disconnected = S_on_disconnected },
           .body = g_string_new (NULL),
           .seen = g_string_new (NULL) },
  };
  g_string_set_size (c->f.body, body_bytes);
  memset (c->f.body->str, '.', body_bytes);
  c->loop = mr_loop_new (&c->f.loop_handler, DESCRIPTORS);
  c->f.server = mr_caller_server_new (&c->f.host, c->loop, "127.0.0.1", port);
  assert_non_null (c->f.server);
  mr_caller_server_set_limits (c->f.server, caller_limits);
  c->fd = S_connect ();
  S_await_connections (&c->f, c->loop, 1);
  return c;
}

static int
S_close (void **state)
{
  Connection *c = *state;
  close (c->fd);
  mr_loop_free (c->loop);
  mr_caller_server_free (c->f.server);
  g_string_free (c->f.body, TRUE);
  g_string_free (c->f.seen, TRUE);
  g_free (c);
  return 0;
}

static void
S_run_for (const Connection *c, MrTime duration)
{
  for (MrTime end = mr_now () + duration; mr_now () < end;)
    mr_loop_step (c->loop);
}

static void
S_send_text (const Connection *c, const char *text)
{
  assert_int_equal (send (c->fd, text, strlen (text), 0), strlen (text));
}

/* Reads until there are @wanted bytes, or the connection ends; returns them. */
static GString *
S_receive (const Connection *c, gsize wanted)
{
  enum
  {
    PIECE = 64 * 1024,
  };
  g_autofree char *buffer = g_malloc (PIECE);
  GString *received = g_string_new (NULL);
  for (MrTime end = mr_now () + TEST_TIMEOUT; received->len < wanted && mr_now () < end;)
    {
      mr_loop_step (c->loop);
      gssize n = recv (c->fd, buffer, PIECE, MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN))
        break;
      g_string_append_len (received, buffer, MAX (n, 0));
    }
  return received;
}

static guint
S_count (const GString *text, const char *part)
{
  guint count = 0;
  for (const char *at = strstr (text->str, part); at; at = strstr (at + 1, part))
    count++;
  return count;
}

/* Guards against a request that arrives while the process is not scheduled and is then lost to the
 * idle timeout. */
static void
test_late_idle_timeout (void **state)
{
  static const MrCallerLimits short_limits = { .max_head_bytes = 4096,
                                               .head_timeout = MR_SECOND,
                                               .idle_timeout = 10 * MR_MS };
  Connection *c = S_open (state, &short_limits, SMALL_BODY_BYTES);
  g_usleep (700 * MR_MS);
  S_send_request (c->fd);
  g_autoptr (GString) answer = S_receive (c, SMALL_BODY_BYTES);
  assert_true (answer->len >= SMALL_BODY_BYTES);
}

/* Guards against pipelined bytes that are parsed after bytes that arrive in the same round of the
 * loop as the answer before them. */
static void
test_in_order (void **state)
{
  Connection *c = S_open (state, &limits, 1);
  int first = c->fd; /* polled first */
  c->fd = S_connect ();
  S_await_connections (&c->f, c->loop, 2);
  c->f.holds = TRUE;
  S_send_text (c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  S_run_for (c, 50 * MR_MS);
  c->f.answers_open = TRUE;
  S_send_text (c, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  assert_int_equal (send (first, request_text, strlen (request_text), 0), strlen (request_text));
  S_run_for (c, 50 * MR_MS);
  assert_string_equal (c->f.seen->str, "/1/q/2/3");
  close (first);
}

/* Guards against an open request that is lost because its caller pipelines many others. */
static void
test_many_pipelined_bytes (void **state)
{
  enum
  {
    COUNT = 4000,
  };
  Connection *c = S_open (state, &limits, 1);
  c->f.holds = TRUE;
  g_autoptr (GString) sent = g_string_new (NULL);
  for (guint i = 0; i < COUNT; i++)
    g_string_append (sent, request_text);
  gsize at = 0;
  for (MrTime end = mr_now () + 300 * MR_MS; mr_now () < end; mr_loop_step (c->loop))
    at +=
        (gsize) MAX (send (c->fd, sent->str + at, sent->len - at, MSG_DONTWAIT | MSG_NOSIGNAL), 0);
  assert_int_equal (c->f.disconnected, 0);
  assert_int_equal (c->f.requests, 1);
  c->f.holds = FALSE;
  S_answer (&c->f);
  for (MrTime end = mr_now () + TEST_TIMEOUT; c->f.requests < COUNT && mr_now () < end;)
    {
      g_string_free (S_receive (c, 1), TRUE);
      if (at < sent->len)
        at += (gsize) MAX (
            send (c->fd, sent->str + at, sent->len - at, MSG_DONTWAIT | MSG_NOSIGNAL), 0);
    }
  assert_int_equal (c->f.requests, COUNT);
}

/* Guards against pipelined requests that were read and are dropped when a stop begins. */
static void
test_pipelined_at_stop (void **state)
{
  Connection *c = S_open (state, &limits, 1);
  c->f.holds = TRUE;
  S_send_text (c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  S_run_for (c, 50 * MR_MS);
  mr_caller_server_drain (c->f.server);
  S_answer (&c->f);
  S_run_for (c, 50 * MR_MS);
  assert_string_equal (c->f.seen->str, "/1/2");
  mr_caller_server_close (c->f.server);
  S_answer (&c->f);
  g_autoptr (GString) answers = S_receive (c, G_MAXSIZE);
  assert_int_equal (S_count (answers, "HTTP/1.1 200"), 2);
  assert_int_equal (S_count (answers, "Connection: close"), 1);
}

/* Guards against an answer that is lost because its caller does not read for longer than the kernel
 * waits by default. */
static void
test_paused_caller (void **state)
{
  Connection *c = S_open (state, &limits, LARGE_BODY_BYTES);
  S_send_request (c->fd);
  S_run_for (c, 4500 * MR_MS);
  g_autoptr (GString) answer = S_receive (c, LARGE_BODY_BYTES);
  assert_true (answer->len >= LARGE_BODY_BYTES);
}

/* Guards against an announced close that resets the connection while the kernel still has bytes of
 * the answer. */
static void
test_bytes_after_close (void **state)
{
  enum
  {
    BODY_BYTES = 1024 * 1024, /* that the kernels of both ends take, the caller's only in part */
  };
  Connection *c = S_open (state, &limits, BODY_BYTES);
  S_send_text (c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  S_run_for (c, 1500 * MR_MS);
  send (c->fd, request_text, strlen (request_text), MSG_NOSIGNAL);
  S_run_for (c, 50 * MR_MS);
  g_autoptr (GString) answer = S_receive (c, BODY_BYTES);
  assert_true (answer->len >= BODY_BYTES);
  assert_int_equal (c->f.requests, 1);
}

/* Guards against a caller that waits for the end of a connection, after its last answer, for as
 * long as the server waits for the caller to close. */
static void
test_end_of_answers (void **state)
{
  Connection *c = S_open (state, &limits, SMALL_BODY_BYTES);
  MrTime began = mr_now ();
  S_send_text (c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  g_autoptr (GString) answer = S_receive (c, G_MAXSIZE);
  assert_true (answer->len >= SMALL_BODY_BYTES);
  assert_true (mr_now () - began < 500 * MR_MS);
}

/* Guards against a kept connection that is closed, without a word, right after a response that its
 * caller took longer to read than the idle timeout. */
static void
test_idle_after_slow_answer (void **state)
{
  static const MrCallerLimits short_limits = { .max_head_bytes = 4096,
                                               .head_timeout = MR_SECOND,
                                               .idle_timeout = 2 * MR_SECOND };
  Connection *c = S_open (state, &short_limits, LARGE_BODY_BYTES);
  S_send_request (c->fd);
  for (gsize received = 0; received < LARGE_BODY_BYTES;)
    {
      g_autoptr (GString) part =
          S_receive (c, MIN (LARGE_BODY_BYTES / 6, LARGE_BODY_BYTES - received));
      received += part->len;
      S_run_for (c, 500 * MR_MS);
    }
  S_run_for (c, 1000 * MR_MS);
  S_send_request (c->fd);
  S_run_for (c, 100 * MR_MS);
  assert_int_equal (c->f.requests, 2);
}

/* Guards against a connection that is kept for ever, as its caller pipelines more than is read and
 * takes no answer. */
static void
test_caller_that_never_reads (void **state)
{
  static const MrCallerLimits short_limits = { .max_head_bytes = 4096,
                                               .head_timeout = MR_SECOND,
                                               .idle_timeout = 300 * MR_MS };
  Connection *c = S_open (state, &short_limits, LARGE_BODY_BYTES);
  for (MrTime end = mr_now () + 200 * MR_MS; mr_now () < end; mr_loop_step (c->loop))
    send (c->fd, request_text, strlen (request_text), MSG_DONTWAIT | MSG_NOSIGNAL);
  g_autoptr (GString) sent = g_string_new (NULL);
  for (guint i = 0; i < 100000; i++)
    g_string_append (sent, request_text);
  send (c->fd, sent->str, sent->len, MSG_DONTWAIT | MSG_NOSIGNAL);
  S_await_connections (&c->f, c->loop, 0);
}

int
main (void)
{
  port = free_port ();
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_close),
    cmocka_unit_test_teardown (test_late_idle_timeout, S_close),
    cmocka_unit_test_teardown (test_in_order, S_close),
    cmocka_unit_test_teardown (test_many_pipelined_bytes, S_close),
    cmocka_unit_test_teardown (test_pipelined_at_stop, S_close),
    cmocka_unit_test_teardown (test_paused_caller, S_close),
    cmocka_unit_test_teardown (test_bytes_after_close, S_close),
    cmocka_unit_test_teardown (test_end_of_answers, S_close),
    cmocka_unit_test_teardown (test_idle_after_slow_answer, S_close),
    cmocka_unit_test_teardown (test_caller_that_never_reads, S_close),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
