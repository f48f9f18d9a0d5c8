/* Guards against connections that the end of a planned stop overlooks: it ends the process when no
 * connection is left, while one that is established waits to be accepted. */

#include "caller_server.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  DESCRIPTORS = 64,
  PORT = 28120,
};

static void
S_on_request (MrCallerServerHost *host,
              MrCaller *caller,
              const MrHttpParser *request,
              MrTime first_byte_at)
{
  (void) host;
  (void) request;
  (void) first_byte_at;
  mr_caller_answer (caller, 200, (MrText){ 0 }, (MrText){ 0 });
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  (void) handler;
  return now + MR_MS;
}

static void
test_established_connection_counts (void **state)
{
  (void) state;
  MrLoopHandler loop_handler = { .on_tick = S_on_tick };
  MrCallerServerHost host = { .request = S_on_request };
  MrLoop *loop = mr_loop_new (&loop_handler, DESCRIPTORS);
  MrCallerServer *server = mr_caller_server_new (&host, loop, "127.0.0.1", PORT);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (PORT),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_non_null (server);
  assert_int_equal (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  mr_caller_server_drain (server);
  mr_caller_server_close (server);
  assert_int_equal (mr_caller_server_connections (server), 1);
  close (fd);
  mr_loop_free (loop);
  mr_caller_server_free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_established_connection_counts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
