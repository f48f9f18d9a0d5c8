/* Guards against requests to the library's HTTP server whose body is lost, cut short or taken for
 * the next request, and against a server that one caller keeps busy. */

#include "http_server.h"

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
  BUFFER_BYTES = 128 * 1024,
  /* Ends the test if the loop does not return. */
  TEST_TIMEOUT_S = 20,
};

static const MrTime CASE_TIME = 100 * MR_MS;
static int port;

typedef struct
{
  MrLoopHandler loop_handler;
  MrHttpHandler handler;
  MrHttpServer *server;
  guint requests;
} Fixture;

static void
S_on_request (MrHttpHandler *handler, const MrHttpRequest *request)
{
  Fixture *f = (Fixture *) ((char *) handler - offsetof (Fixture, handler));
  MrHttpReply reply = { .status = 200, .body = MR_TEXT ("{}") };
  f->requests++;
  mr_http_server_reply (f->server, request->id, &reply);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_http_server_tick (f->server, now), now + MR_MS);
}

static void
S_step_for (MrLoop *loop, MrTime span)
{
  for (MrTime end = mr_now () + span; mr_now () < end;)
    mr_loop_step (loop);
}

/* What becomes of a request whose body has no unambiguous length. */
typedef struct
{
  const char *name;
  const char *text;
  guint requests;     /* that reach the handler */
  const char *status; /* of the first reply */
} FramingCase;

#define POST "POST /q HTTP/1.1\r\nHost: h\r\n"

static const FramingCase framing_cases[] = {
  { "a length", POST "Content-Length: 2\r\n\r\nab", 1, "200" },
  { "no body", POST "\r\n", 1, "200" },
  { "length of other characters", POST "Content-Length: 2x\r\n\r\nab", 0, "400" },
  { "signed length", POST "Content-Length: +2\r\n\r\nab", 0, "400" },
  { "two lengths", POST "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 0, "400" },
  { "list of lengths", POST "Content-Length: 2, 2\r\n\r\nab", 0, "400" },
  { "chunks", POST "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0, "411" },
  { "chunks and a length",
    POST "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0, "411" },
  { "unknown coding", POST "Transfer-Encoding: gzip\r\n\r\nab", 0, "411" },
  { "a request inside a refused one",
    POST "Content-Length: 2x\r\n\r\n" POST "Content-Length: 0\r\n\r\n", 0, "400" },
  { "a request inside chunks", POST "Transfer-Encoding: chunked\r\n\r\n" POST "\r\n", 0, "411" },
  { "two requests", POST "Content-Length: 2\r\n\r\nab" POST "Content-Length: 1\r\n\r\nc", 2,
    "200" },
};

static void
S_run_framing_case (const FramingCase *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .handler = { .on_request = S_on_request } };
  char reply[4096] = "";
  gssize len = (gssize) strlen (c->text);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.server = mr_http_server_new (loop, &f.handler, "127.0.0.1", port, 1024);
  assert_non_null (f.server);
  int fd = connect_loopback (port, BUFFER_BYTES);
  assert_true (fd >= 0);
  assert_int_equal (send (fd, c->text, (size_t) len, 0), len);
  S_step_for (loop, CASE_TIME);
  gssize n = recv (fd, reply, sizeof reply - 1, MSG_DONTWAIT);
  g_autofree char *expected = g_strdup_printf ("HTTP/1.1 %s ", c->status);
  if (f.requests != c->requests || n <= 0 || !g_str_has_prefix (reply, expected))
    fail_msg ("%s: %u requests, reply %zd bytes: %.20s", c->name, f.requests, n, reply);
  if (c->requests == 0 && recv (fd, reply, sizeof reply - 1, MSG_DONTWAIT) != 0 && errno == EAGAIN)
    fail_msg ("%s: the connection stays open", c->name);
  close (fd);
  mr_loop_free (loop);
  mr_http_server_free (f.server);
}

/* Guards against an order that runs without its body, or with a part of it, and against bytes of a
 * body that are taken for the next request. */
static void
test_framing (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (framing_cases); i++)
    S_run_framing_case (&framing_cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_framing),
  };
  port = free_port ();
  alarm (TEST_TIMEOUT_S);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
