/* Probes of targets over real sockets: who still takes connections.
 *
 * What callers saw: a request that ends its targets ended up to seven of one service, where
 * three are the bound.  A process that ends closes its calls' connections before its
 * listener.  The probe that follows a broken call at once was still accepted, by the kernel
 * on behalf of the ending process, so that the target passed for a living one and its end
 * was no evidence against the request.  Proof: of 300 processes that ended, 276 accepted a
 * connection that was made as soon as the other one broke, and reset it within 0.1 ms; on
 * a busy machine within 6 ms. */

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

/* A probe has its result well before a request that waits for it goes on without. */
static const MrTime RESULT_MOST = 90 * MR_MS;
/* How long a second result of the same probe is waited for. */
static const MrTime QUIET = 50 * MR_MS;

typedef enum
{
  TARGET_LIVES,  /* its listener accepts; nobody reads */
  TARGET_GONE,   /* nobody listens */
  TARGET_ENDS,   /* its listener is closed some time after the probe began */
  TARGET_AT_CAP, /* accepts and resets each connection, and listens on */
} Behaviour;

typedef struct
{
  const char *name;
  Behaviour behaviour;
  MrTime closes_after;
  gboolean answered;
} Case;

static const Case cases[] = {
  { "it lives", TARGET_LIVES, MR_NEVER, TRUE },
  { "it is gone", TARGET_GONE, MR_NEVER, FALSE },
  { "it ends, and accepts a moment longer", TARGET_ENDS, 1 * MR_MS, FALSE },
  { "the same on a busy machine", TARGET_ENDS, 6 * MR_MS, FALSE },
  /* One that has too many connections is no dead one. */
  { "it resets connections over its cap", TARGET_AT_CAP, MR_NEVER, TRUE },
};

typedef struct
{
  MrLoopHandler loop_host;
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
S_on_ended (MrTargetClientHost *host, guint64 id, MrCallOutcome outcome, MrHttpParser *answer)
{
  (void) host;
  (void) id;
  (void) outcome;
  mr_http_parser_free (answer);
}

static void
S_on_probed (MrTargetClientHost *host, const char *target, gboolean answered)
{
  Fixture *f = S_fixture_of_client_host (host);
  assert_string_equal (target, "i-1");
  f->results++;
  f->answered = answered;
}

/* Often enough that the listener is closed on time. */
static MrTime
S_on_tick (MrLoopHandler *host, MrTime now)
{
  Fixture *f = (Fixture *) host;
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
S_play (const Case *c)
{
  Fixture f = { .loop_host = { .on_tick = S_on_tick },
                .client_host = { .call_ended = S_on_ended, .probed = S_on_probed } };
  MrLoop *loop = mr_loop_new (&f.loop_host, DESCRIPTORS);
  f.client = mr_target_client_new (&f.client_host, loop, NULL);
  S_listen (&f);
  if (c->behaviour == TARGET_GONE)
    S_stop_listening (&f);
  MrTarget target = { .id = "i-1", .ip = "127.0.0.1", .port = f.port };
  MrTargetState *state = mr_target_state_new (&target, "127.0.0.1");
  MrTime begun = mr_now ();
  MrTime told = 0;
  assert_int_equal (mr_health_on_connection_error (&state->health, begun), MR_HEALTH_ACTION_PROBE);
  mr_target_client_probe (f.client, begun, state);
  for (MrTime now = begun; now < begun + RESULT_MOST || now < told + QUIET; now = mr_now ())
    {
      if (c->behaviour == TARGET_AT_CAP)
        S_reset_accepted (&f);
      if (c->closes_after != MR_NEVER && now >= begun + c->closes_after)
        S_stop_listening (&f);
      mr_loop_step (loop);
      told = f.results > 0 && told == 0 ? mr_now () : told;
    }
  if (f.results != 1 || f.answered != c->answered || told > begun + RESULT_MOST)
    fail_msg ("%s: %u results, answered %d, after %d ms", c->name, f.results, f.answered,
              (int) ((told - begun) / MR_MS));
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
    S_play (&cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_probes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
