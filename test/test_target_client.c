/* Probes over real sockets of whether a target still accepts connections.
 *
 * Guards against a crashed target that is considered alive: an exiting process closes the
 * connections of its calls before its listener, and in between the kernel accepts the probe.  The
 * crash then did not count as evidence, and one request could crash up to seven targets of a
 * service, where the limit is three.  Of 300 exiting processes 276 accepted a connection made as
 * soon as the other one broke, and reset it within 0.1 ms, on a busy machine within 6 ms. */

#include "target_client.h"

#include "log.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  DESCRIPTORS = 64,
  BACKLOG = 16,
};

/* Longest time for the result of a probe; well below the time that a request waits for it. */
static const MrTime RESULT_TIMEOUT = 90 * MR_MS;
/* Time for which the test waits for a second, wrong result of the same probe. */
static const MrTime SECOND_RESULT_WAIT = 50 * MR_MS;

typedef enum
{
  TARGET_LISTENS, /* the listener accepts; no data is read */
  TARGET_CLOSED,  /* the listener is closed */
  TARGET_EXITS,   /* the listener is closed some time after the probe began */
  TARGET_RESETS,  /* accepts and resets each connection, and goes on listening */
} Behaviour;

typedef struct
{
  const char *name;
  Behaviour behaviour;
  MrTime closes_after;
  gboolean answered;
} Case;

static const Case cases[] = {
  { "listens", TARGET_LISTENS, MR_NEVER, TRUE },
  { "closed", TARGET_CLOSED, MR_NEVER, FALSE },
  { "exits, accepts for 1 ms more", TARGET_EXITS, 1 * MR_MS, FALSE },
  { "exits on a busy machine", TARGET_EXITS, 6 * MR_MS, FALSE },
  /* A target that is over its connection limit is not dead. */
  { "resets connections over its limit", TARGET_RESETS, MR_NEVER, TRUE },
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrTargetClientHost client_host;
  MrTargetClient *client;
  int listener;
  int port;
  guint results;
  gboolean answered;
} Fixture;

static Fixture *
S_fixture_of_client_host (MrTargetClientHost *host)
{
  return (Fixture *) ((char *) host - offsetof (Fixture, client_host));
}

static void
S_on_call_ended (MrTargetClientHost *host,
                 guint64 id,
                 MrCallOutcome outcome,
                 MrHttpParser *response)
{
  (void) host;
  (void) id;
  (void) outcome;
  mr_http_parser_free (response);
}

static void
S_on_probed (MrTargetClientHost *host, const char *target, gboolean answered)
{
  Fixture *f = S_fixture_of_client_host (host);
  assert_string_equal (target, "i-1");
  f->results++;
  f->answered = answered;
}

/* Short interval, so that the listener is closed on time. */
static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  Fixture *f = (Fixture *) handler;
  return MIN (mr_target_client_tick (f->client, now), now + MR_MS);
}

static void
S_listen (Fixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (bind (f->listener, (struct sockaddr *) &address, length), 0);
  assert_int_equal (listen (f->listener, BACKLOG), 0);
  assert_int_equal (getsockname (f->listener, (struct sockaddr *) &address, &length), 0);
  f->port = ntohs (address.sin_port);
}

static void
S_stop_listening (Fixture *f)
{
  if (f->listener >= 0)
    close (f->listener);
  f->listener = -1;
}

static void
S_reset_accepted (const Fixture *f)
{
  const struct linger at_once = { .l_onoff = 1 };
  int accepted = accept (f->listener, NULL, NULL);
  if (accepted < 0)
    return;
  setsockopt (accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (accepted);
}

static void
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .client_host = { .call_ended = S_on_call_ended, .probed = S_on_probed } };
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.client = mr_target_client_new (&f.client_host, loop, NULL);
  S_listen (&f);
  if (c->behaviour == TARGET_CLOSED)
    S_stop_listening (&f);
  MrTarget target = { .id = "i-1", .ip = "127.0.0.1", .port = f.port };
  MrTargetState *state = mr_target_state_new (&target, "127.0.0.1");
  MrTime started_at = mr_now ();
  MrTime result_at = 0;
  assert_int_equal (mr_health_on_connection_error (&state->health, started_at),
                    MR_HEALTH_ACTION_PROBE);
  mr_target_client_probe (f.client, started_at, state);
  for (MrTime now = started_at;
       now < started_at + RESULT_TIMEOUT || now < result_at + SECOND_RESULT_WAIT; now = mr_now ())
    {
      if (c->behaviour == TARGET_RESETS)
        S_reset_accepted (&f);
      if (c->closes_after != MR_NEVER && now >= started_at + c->closes_after)
        S_stop_listening (&f);
      mr_loop_step (loop);
      result_at = f.results > 0 && result_at == 0 ? mr_now () : result_at;
    }
  if (f.results != 1 || f.answered != c->answered || result_at > started_at + RESULT_TIMEOUT)
    fail_msg ("%s: %u results, answered %d, after %d ms", c->name, f.results, f.answered,
              (int) ((result_at - started_at) / MR_MS));
  S_stop_listening (&f);
  mr_loop_free (loop);
  mr_target_client_free (f.client);
  mr_target_state_free (state);
}

static void
test_probes (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_probes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
