/* Guards against streams that stop writing: a peer that reads slowly gets all bytes, however
 * often the kernel takes only part of them, and however often its receive buffer is full. */

#include "stream.h"

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
  SMALL_BUFFER_BYTES = 16 * 1024,
  READ_BYTES = 64 * 1024,
};

static int port;
static const MrTime TEST_TIMEOUT = 20 * MR_SECOND;
/* The peer's receive buffer is full for long enough that the kernel probes it, and empty for longer
 * than any timeout of the stream. */
static const MrTime FULL_TIME = 600 * MR_MS;
static const MrTime EMPTY_TIME = 3200 * MR_MS;

typedef struct
{
  const char *name;
  gboolean connects; /* the stream is the one that opens the connection */
  gsize bytes;
  guint pauses; /* before which the peer's receive buffer, which is small, is filled */
} Case;

static const Case cases[] = {
  { "accepted, one write", FALSE, 1000, 0 },
  { "accepted, many writes", FALSE, 12 * 1024 * 1024, 0 },
  { "accepted, read with pauses", FALSE, 300000, 2 },
  { "connecting, one write", TRUE, 1000, 0 },
  { "connecting, many writes", TRUE, 12 * 1024 * 1024, 0 },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrStreamHandler stream_handler;
  MrStream *stream;
  gsize bytes;
} Fixture;

static void
S_write (Fixture *f)
{
  g_autofree char *bytes = g_malloc0 (f->bytes);
  mr_stream_write (f->stream, (MrText){ .data = bytes, .len = f->bytes });
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  (void) stream;
  S_write ((Fixture *) ((char *) handler - offsetof (Fixture, stream_handler)));
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  (void) handler;
  (void) stream;
  (void) bytes;
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  Fixture *f = (Fixture *) ((char *) handler - offsetof (Fixture, stream_handler));
  (void) stream;
  (void) end;
  f->stream = NULL;
}

static void
S_on_accept (void *user, MrStream *stream)
{
  Fixture *f = user;
  f->stream = stream;
  mr_stream_set_handler (stream, &f->stream_handler);
  S_write (f);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  (void) handler;
  return now + MR_MS;
}

static int
S_socket (const Case *c)
{
  const int size = c->pauses > 0 ? SMALL_BUFFER_BYTES : RECEIVE_BUFFER_BYTES;
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return fd;
}

/* Returns the peer's socket. */
static int
S_connect_peer (Fixture *f, MrLoop *loop, const Case *c)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = S_socket (c);
  if (!c->connects)
    {
      assert_non_null (mr_listener_new (loop, "127.0.0.1", port, S_on_accept, f));
      connect (fd, (struct sockaddr *) &address, sizeof address);
      return fd;
    }
  assert_int_equal (bind (fd, (struct sockaddr *) &address, sizeof address), 0);
  assert_int_equal (listen (fd, 1), 0);
  f->stream = mr_stream_connect (loop, &f->stream_handler, "127.0.0.1", port);
  int peer = -1;
  for (MrTime end = mr_now () + TEST_TIMEOUT; peer < 0 && mr_now () < end;)
    {
      mr_loop_step (loop);
      peer = accept4 (fd, NULL, NULL, SOCK_NONBLOCK);
    }
  close (fd);
  return peer;
}

static void
S_step_for (MrLoop *loop, MrTime time)
{
  for (MrTime end = mr_now () + time; mr_now () < end;)
    mr_loop_step (loop);
}

/* Returns how many bytes the peer got of those that were written. */
static gsize
S_receive (MrLoop *loop, int peer, const Case *c)
{
  g_autofree char *buffer = g_malloc (READ_BYTES);
  gsize received = 0;
  for (MrTime end = mr_now () + TEST_TIMEOUT; received < c->bytes && mr_now () < end;)
    {
      mr_loop_step (loop);
      gssize n = recv (peer, buffer, READ_BYTES, 0);
      received += n > 0 ? (gsize) n : 0;
    }
  return received;
}

static void
S_run_case (const Case *c)
{
  Fixture f = {
    .loop_handler = { .on_tick = S_on_tick },
    .stream_handler = { .on_open = S_on_open, .on_data = S_on_data, .on_end = S_on_end },
    .bytes = c->bytes,
  };
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  int peer = S_connect_peer (&f, loop, c);
  if (c->pauses > 0)
    S_step_for (loop, FULL_TIME);
  gsize received = S_receive (loop, peer, c);
  for (guint i = 1; i < c->pauses && f.stream; i++)
    {
      S_step_for (loop, EMPTY_TIME);
      S_write (&f);
      S_step_for (loop, FULL_TIME);
      received = S_receive (loop, peer, c);
    }
  if (received != c->bytes)
    fail_msg ("%s: the peer got %zu of %zu bytes", c->name, received, c->bytes);
  close (peer);
  mr_loop_free (loop);
}

static void
test_writes (void **state)
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
    cmocka_unit_test (test_writes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
