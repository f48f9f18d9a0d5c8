/* Guards against requests that a planned stop cuts off because it ends while their connection waits
 * to be accepted. */

#include "adapter.h"

#include "relay_task.h"
#include "task_message.h"
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "../loopback.h"

enum
{
  GRACE_MS = 3000,
  /* After the listener closes, and well before the end of the grace period. */
  LATE_MS = 2200,
};

static int port;
static const char request_text[] = "GET /one/q HTTP/1.1\r\nHost: h.test\r\nX-Request-Id: q\r\n\r\n";

static void
S_wake (void *user)
{
  (void) user;
}

typedef struct
{
  int fd; /* the caller's */
  gboolean stopped;
  gssize received; /* by the caller, when the stop was complete */
} Fixture;

static void
S_on_stopped (void *user)
{
  Fixture *f = user;
  char answer[1024];
  f->stopped = TRUE;
  f->received = recv (f->fd, answer, sizeof answer, MSG_DONTWAIT);
}

static int
S_connect (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* The process is not scheduled while the caller connects and the listener is due to close. */
static void
test_not_accepted_yet (void **state)
{
  (void) state;
  Fixture f = { .fd = -1 };
  MrRelaySettings settings = {
    .base = { .name = "r", .ip = "127.0.0.1", .domain = "z", .region = "", .http_port = port },
    .ready_port = free_port (),
    .directory_port = free_port (),
    .grace_ms = GRACE_MS,
    .budget_window_ms = 10000,
    .max_descriptors = 100,
  };
  MrRelayTaskInfo info = {
    .settings = &settings,
    .dialect = &mr_adapter_dialect,
    .stopped = S_on_stopped,
    .user = &f,
  };
  MrMailbox *control = mr_mailbox_new (S_wake, NULL);
  MrRelayTask *task = mr_relay_task_new (&info);
  assert_non_null (task);
  MrLoop *loop = mr_relay_task_loop (task);
  mr_relay_task_connect (task, control);
  mr_mailbox_post (mr_loop_mailbox (loop), mr_stop_message_new ());
  mr_loop_step (loop);
  g_usleep ((gulong) (LATE_MS * MR_MS));
  f.fd = S_connect ();
  assert_int_equal (send (f.fd, request_text, strlen (request_text), 0), strlen (request_text));
  for (MrTime end = mr_now () + GRACE_MS * MR_MS; !f.stopped && mr_now () < end;)
    mr_loop_step (loop);
  assert_true (f.stopped);
  assert_true (f.received > 0);
  close (f.fd);
  mr_relay_task_free (task);
  mr_mailbox_free (control);
}

int
main (void)
{
  port = free_port ();
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_not_accepted_yet),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
