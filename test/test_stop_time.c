/* Guards against requests that a stop of their daemon leaves without a true verdict: "not run" for
 * one that may have run, or none while enough shards have answered. */

#include "relay.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  SHARDS = 2,
  QUEUED = 4, /* more requests than a target with one slot is sent */
};

static const MrTime STARTED = 1000 * MR_SECOND;
static const MrTime NOT_ENDED = -1;

static const char configuration_text[] =
    "{\"version\":1,"
    "\"limits\":{\"head_bytes\":1,\"body_bytes\":1,\"head_time\":1,\"idle_time\":1},"
    "\"services\":[{\"name\":\"s0\",\"connections\":10,\"cold_rate\":0},"
    "{\"name\":\"s1\",\"connections\":10,\"cold_rate\":0}],"
    "\"routes\":["
    "{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\",\"repeatable\":true,\"time_limit\":5000,"
    "\"aim\":800,\"attempts\":1,\"rank\":0,\"service\":\"s0\"},"
    "{\"name\":\"order\",\"host\":\"h\",\"prefix\":\"/order/\",\"repeatable\":false,"
    "\"time_limit\":5000,\"aim\":800,\"attempts\":1,\"rank\":0,\"service\":\"s0\"},"
    "{\"name\":\"all\",\"host\":\"h\",\"prefix\":\"/all/\",\"repeatable\":true,\"time_limit\":5000,"
    "\"aim\":4000,\"attempts\":1,\"rank\":0,\"top_records\":1,\"least_share\":0.5,"
    "\"shards\":[\"s0\",\"s1\"]}]}";

typedef struct
{
  const char *name;
  const char *path;
  guint slots;         /* of each target */
  guint requests;      /* alike; the last one counts */
  MrTime submitted_at; /* after the stop has begun; negative: before */
  guint answers;       /* calls that targets answer, in the order of sending */
  MrVerdict verdict;
  MrTime ended_at; /* after the stop has begun */
} Case;

static const MrTime STOP = 1 * MR_SECOND;

static const Case cases[] = {
  { "sent before the stop", "/one/", 4, 1, -100 * MR_MS, 0, MR_VERDICT_FAILED, STOP },
  { "sent during the stop", "/one/", 4, 1, 100 * MR_MS, 0, MR_VERDICT_FAILED, STOP },
  { "an order in flight", "/order/", 4, 1, -100 * MR_MS, 0, MR_VERDICT_FAILED, STOP },
  { "answered in time", "/one/", 4, 1, -100 * MR_MS, 1, MR_VERDICT_ANSWER, 0 },
  { "queued", "/one/", 1, QUEUED, -100 * MR_MS, 0, MR_VERDICT_REFUSED, STOP },
  /* A call takes 200 ms until others are measured; an order gets at least 700 ms. */
  { "too late", "/one/", 4, 1, 850 * MR_MS, 0, MR_VERDICT_REFUSED, 850 * MR_MS },
  { "not too late", "/one/", 4, 1, 750 * MR_MS, 0, MR_VERDICT_FAILED, STOP },
  { "an order that is too late", "/order/", 4, 1, 400 * MR_MS, 0, MR_VERDICT_REFUSED, 400 * MR_MS },
  { "no shard answered", "/all/", 4, 1, -100 * MR_MS, 0, MR_VERDICT_FAILED, STOP },
  { "enough shards answered", "/all/", 4, 1, -100 * MR_MS, 1, MR_VERDICT_MERGE, STOP },
};

typedef struct
{
  MrRelayHost host;
  MrTime now;
  GArray *calls;    /* guint64: ids of the calls sent */
  gpointer awaited; /* the request that counts */
  MrVerdict verdict;
  MrTime ended_at;
} Fixture;

static void
S_on_send_call (MrRelayHost *host, const MrRelayCall *call)
{
  g_array_append_val (((Fixture *) host)->calls, call->id);
}

static void
S_on_close_call (MrRelayHost *host, guint64 id)
{
  (void) host;
  (void) id;
}

static void
S_on_target (MrRelayHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_on_request_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  Fixture *f = (Fixture *) host;
  if (request != f->awaited)
    return;
  f->verdict = result->verdict;
  f->ended_at = f->now;
}

static void
S_free_answer (gpointer answer)
{
  (void) answer;
}

static void
S_add_targets (MrRelay *relay, guint slots)
{
  for (guint i = 0; i < SHARDS; i++)
    {
      MrTarget target = { .port = 1000 + (int) i, .slots = slots, .connections = 10 };
      char service[8];
      g_snprintf (service, sizeof service, "s%u", i);
      g_snprintf (target.id, sizeof target.id, "t%u", i);
      g_strlcpy (target.ip, "10.0.0.1", sizeof target.ip);
      mr_relay_update_target (relay, STARTED, service, &target, FALSE, 0);
    }
}

static void
S_submit (Fixture *f, MrRelay *relay, MrConfiguration *configuration, const Case *c)
{
  static guint requests[QUEUED];
  for (guint i = 0; i < c->requests; i++)
    {
      MrRelayRequestParams params = {
        .host_request = &requests[i],
        .configuration = configuration,
        .route = mr_configuration_find_route (configuration, MR_TEXT ("h"), mr_text (c->path)),
        .deadline = f->now + 5 * MR_SECOND,
      };
      f->awaited = &requests[i];
      mr_relay_submit (relay, f->now, &params);
    }
}

static void
S_run_until (Fixture *f, MrRelay *relay, MrTime end)
{
  for (; f->now < end; f->now += MR_MS)
    mr_relay_tick (relay, f->now);
}

static void
S_run_case (const Case *c)
{
  Fixture f = {
    .host = { .send_call = S_on_send_call,
              .close_call = S_on_close_call,
              .probe = S_on_target,
              .reconnect = S_on_target,
              .request_done = S_on_request_done,
              .free_answer = S_free_answer },
    .now = STARTED,
    .calls = g_array_new (FALSE, FALSE, sizeof (guint64)),
    .ended_at = NOT_ENDED,
  };
  MrConfiguration *configuration = mr_configuration_parse (mr_text (configuration_text));
  assert_non_null (configuration);
  MrRelayOptions options = {
    .policy = &mr_relay_policy,
    .budget = { .window = 10 * MR_SECOND, .started_at = STARTED },
  };
  MrRelay *relay = mr_relay_new (&f.host, &options);
  const MrRelayShares shares = { .connections = 1, .slots = 1, .allowance = 1, .cold = 1 };
  mr_relay_set_shares (relay, &shares);
  S_add_targets (relay, c->slots);
  MrTime began = STARTED + MR_SECOND;
  S_run_until (&f, relay, MIN (began, began + c->submitted_at));
  if (c->submitted_at < 0)
    S_submit (&f, relay, configuration, c);
  S_run_until (&f, relay, began);
  mr_relay_set_stop_time (relay, began + STOP);
  for (guint i = 0; i < c->answers; i++)
    mr_relay_call_end (relay, f.now, g_array_index (f.calls, guint64, i), MR_CALL_ANSWER, &f);
  S_run_until (&f, relay, began + MAX (c->submitted_at, 0));
  if (c->submitted_at >= 0)
    S_submit (&f, relay, configuration, c);
  S_run_until (&f, relay, began + 2 * STOP);
  if (f.ended_at == NOT_ENDED)
    fail_msg ("%s: no verdict", c->name);
  if (f.verdict != c->verdict || f.ended_at != began + c->ended_at)
    fail_msg ("%s: %s after %d ms, expected %s after %d ms", c->name, mr_verdict_name (f.verdict),
              (int) ((f.ended_at - began) / MR_MS), mr_verdict_name (c->verdict),
              (int) (c->ended_at / MR_MS));
  mr_relay_free (relay);
  mr_configuration_unref (configuration);
  g_array_unref (f.calls);
}

static void
test_verdicts (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_verdicts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
