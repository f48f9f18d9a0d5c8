/* Guards against callers that send bytes without end which are no request, or too large a part of
 * one: their connections must be closed, and only a bounded number of bytes be read. */

#include "caller_server.h"

#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  DESCRIPTORS = 64,
  PIECE_BYTES = 1024 * 1024,
  /* What the server may take of a connection, with what the kernel buffers. */
  TAKEN_MAX = 32 * 1024 * 1024,
};

static const MrCallerLimits server_limits = {
  .max_head_bytes = 16384,
  .max_body_bytes = 262144,
  .head_timeout = 300 * MR_MS,
  .idle_timeout = 500 * MR_MS,
};
/* For the longest of the timeouts one after the other: idle, body and close. */
static const MrTime TEST_TIMEOUT = 5 * MR_SECOND;

#define POST "POST /q HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define LINE_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

typedef struct
{
  const char *name;
  const char *first; /* sent once */
  const char *unit;  /* sent again and again; empty: nothing more */
  MrTime interval;   /* 0: as fast as possible; else between two bytes of the unit */
  MrTime closed_after_max;
  const char *response; /* its first bytes; empty: none */
} Case;

static const Case cases[] = {
  { "empty lines", "", "\r\n", 0, 2 * MR_SECOND, "HTTP/1.1 400" },
  { "empty lines, slowly", "", "\r\n", 80 * MR_MS, 2 * MR_SECOND, "" },
  { "head", POST "X-A: ", LINE_64, 0, 2 * MR_SECOND, "HTTP/1.1 431" },
  { "head, slowly", POST "X-A: ", LINE_64, 20 * MR_MS, 2 * MR_SECOND, "HTTP/1.1 408" },
  { "chunks", POST CHUNKED, "40\r\n" LINE_64 "\r\n", 0, 2 * MR_SECOND, "HTTP/1.1 413" },
  { "chunks, slowly", POST CHUNKED, "1\r\nx\r\n", 20 * MR_MS, 3 * MR_SECOND, "HTTP/1.1 408" },
  { "chunk extensions", POST CHUNKED, "1;" LINE_64 "\r\nx\r\n", 0, 2 * MR_SECOND, "HTTP/1.1 400" },
  { "chunk sizes with zeros", POST CHUNKED, "0000000000000000000000000000001\r\nx\r\n", 0,
    2 * MR_SECOND, "HTTP/1.1 400" },
  { "trailer fields", POST CHUNKED "0\r\n", "X-A: " LINE_64 "\r\n", 0, 2 * MR_SECOND,
    "HTTP/1.1 400" },
  { "empty line after a request", "GET /q HTTP/1.1\r\nHost: h\r\n\r\n\r\n", "", 0, 2 * MR_SECOND,
    "HTTP/1.1 200" },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrCallerServerHost host;
  MrCallerServer *server;
} Fixture;

static void
S_on_request (MrCallerServerHost *host,
              MrCaller *caller,
              const MrHttpParser *request,
              MrTime first_byte_at)
{
  (void) host;
  (void) request;
  (void) first_byte_at;
  mr_caller_answer (caller, 200, (MrText){ 0 }, MR_TEXT ("x"));
}

static void
S_on_disconnected (MrCallerServerHost *host, MrCaller *caller)
{
  (void) host;
  (void) caller;
}

/* Short interval, so that the caller goes on sending. */
static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_caller_server_tick (f->server, now), now + MR_MS);
}

/* Returns a connection to a port that was free a moment before, on which the server listens. */
static int
S_start (Fixture *f, MrLoop *loop)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *) &address, length), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &length), 0);
  close (fd);
  f->server = mr_caller_server_new (&f->host, loop, "127.0.0.1", ntohs (address.sin_port));
  assert_non_null (f->server);
  mr_caller_server_set_limits (f->server, &server_limits);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *) &address, length), 0);
  return fd;
}

typedef struct
{
  const Case *test_case;
  int fd;
  GString *pending;
  gsize sent;
  MrTime next_at;
  guint next_byte; /* of the unit */
} Sender;

static void
S_sender_step (Sender *sender, MrTime now)
{
  const Case *c = sender->test_case;
  gboolean slow = c->interval > 0;
  if (sender->pending->len == 0 && slow && now >= sender->next_at && *c->unit)
    {
      g_string_append_c (sender->pending, c->unit[sender->next_byte]);
      sender->next_byte = (sender->next_byte + 1) % strlen (c->unit);
      sender->next_at = now + c->interval;
    }
  while (!slow && *c->unit && sender->pending->len < PIECE_BYTES)
    g_string_append (sender->pending, c->unit);
  gssize n =
      send (sender->fd, sender->pending->str, sender->pending->len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n <= 0)
    return;
  sender->sent += (gsize) n;
  g_string_erase (sender->pending, 0, n);
}

/* TRUE if the connection ends as the case says. */
static gboolean
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .host = { .request = S_on_request, .disconnected = S_on_disconnected } };
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  Sender sender = { .test_case = c, .fd = S_start (&f, loop), .pending = g_string_new (c->first) };
  char response[4096] = "";
  gsize received = 0;
  MrTime started_at = mr_now ();
  MrTime now = started_at;
  gboolean accepted = FALSE;
  gboolean closed = FALSE;
  for (; !closed && now < started_at + TEST_TIMEOUT; now = mr_now ())
    {
      mr_loop_step (loop);
      S_sender_step (&sender, now);
      gssize n =
          recv (sender.fd, response + received, sizeof response - 1 - received, MSG_DONTWAIT);
      received += n > 0 ? (gsize) n : 0;
      accepted |= mr_caller_server_connections (f.server) > 0;
      closed = accepted && mr_caller_server_connections (f.server) == 0;
    }
  gboolean passed = closed && now - started_at <= c->closed_after_max && sender.sent <= TAKEN_MAX &&
                    (*c->response ? g_str_has_prefix (response, c->response) : received == 0);
  if (!passed)
    print_error ("%s: closed %d after %d ms, %zu kB taken, response '%.12s'\n", c->name, closed,
                 (int) ((now - started_at) / MR_MS), sender.sent / 1024, response);
  close (sender.fd);
  g_string_free (sender.pending, TRUE);
  mr_loop_free (loop);
  mr_caller_server_free (f.server);
  return passed;
}

static void
test_requests (void **state)
{
  guint failures = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    failures += S_run_case (&cases[i]) ? 0 : 1;
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
