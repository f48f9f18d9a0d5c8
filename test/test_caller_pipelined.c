/* Guards against requests that are read out of order: a caller that pipelines and reads a large
 * answer slowly has the rest of its next request read before the beginning. */

#include "caller_server.h"

#include <arpa/inet.h>
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
  READ_BYTES = 1024 * 1024,
};

static int port;
static const MrTime TEST_TIMEOUT = 10 * MR_SECOND;
/* Many rounds of the loop, and less than any timeout of the server. */
static const MrTime PAUSE = 100 * MR_MS;

typedef struct
{
  const char *name;
  gsize body_bytes;    /* of the first answer */
  const char *with;    /* sent while the first request is served */
  const char *after;   /* sent PAUSE after its answer was begun; the caller reads later */
  const char *targets; /* of the requests that the host gets, in order */
} Case;

static const Case cases[] = {
  { "whole request, small answer", SMALL_BODY_BYTES, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /c HTTP/1.1\r\nHost: h\r\n\r\n", "/a /b /c " },
  { "whole request, large answer", LARGE_BODY_BYTES, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /c HTTP/1.1\r\nHost: h\r\n\r\n", "/a /b /c " },
  { "request in two pieces, large answer", LARGE_BODY_BYTES,
    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 29\r\n\r\n",
    "GET /body HTTP/1.1\r\nHost: h\r\n\r\n", "/a /b " },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrCallerServerHost host;
  MrCallerServer *server;
  MrCaller *first; /* whose first request is not answered yet */
  GString *targets;
} Fixture;

static void
S_on_request (MrCallerServerHost *host,
              MrCaller *caller,
              const MrHttpParser *request,
              MrTime first_byte_at)
{
  Fixture *f = (Fixture *) ((char *) host - offsetof (Fixture, host));
  gboolean is_first = f->targets->len == 0;
  MrText target = mr_http_parser_target (request);
  (void) first_byte_at;
  g_string_append_len (f->targets, target.data, (gssize) target.len);
  g_string_append_c (f->targets, ' ');
  if (is_first)
    f->first = caller;
  else
    mr_caller_answer (caller, 200, (MrText){ 0 }, MR_TEXT ("ok"));
}

static void
S_on_disconnected (MrCallerServerHost *host, MrCaller *caller)
{
  (void) host;
  (void) caller;
}

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
S_send (int fd, const char *text)
{
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL), (gssize) strlen (text));
}

static void
S_run_for (MrLoop *loop, MrTime duration)
{
  for (MrTime end = mr_now () + duration; mr_now () < end;)
    mr_loop_step (loop);
}

/* Reads until the host has the expected requests, or others. */
static void
S_read_until (const Fixture *f, const Case *c, MrLoop *loop, int fd)
{
  g_autofree char *buffer = g_malloc (READ_BYTES);
  gssize n = 1;
  for (MrTime end = mr_now () + TEST_TIMEOUT; mr_now () < end && n != 0;)
    {
      mr_loop_step (loop);
      n = recv (fd, buffer, READ_BYTES, MSG_DONTWAIT);
      if (strlen (c->targets) <= f->targets->len)
        return;
    }
}

static void
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .host = { .request = S_on_request, .disconnected = S_on_disconnected },
                .targets = g_string_new (NULL) };
  g_autoptr (GString) body = g_string_new (NULL);
  g_string_set_size (body, c->body_bytes);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.server = mr_caller_server_new (&f.host, loop, "127.0.0.1", port);
  assert_non_null (f.server);
  int fd = S_connect ();
  S_send (fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  for (MrTime end = mr_now () + TEST_TIMEOUT; !f.first && mr_now () < end;)
    mr_loop_step (loop);
  assert_non_null (f.first);
  S_send (fd, c->with);
  S_run_for (loop, PAUSE);
  mr_caller_answer (f.first, 200, (MrText){ 0 }, mr_text_of (body));
  S_run_for (loop, PAUSE);
  S_send (fd, c->after);
  S_run_for (loop, PAUSE);
  S_read_until (&f, c, loop, fd);
  if (!g_str_equal (f.targets->str, c->targets))
    fail_msg ("%s: the requests were '%s', not '%s'", c->name, f.targets->str, c->targets);
  close (fd);
  mr_loop_free (loop);
  mr_caller_server_free (f.server);
  g_string_free (f.targets, TRUE);
}

static void
test_order (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

int
main (void)
{
  port = free_port ();
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
