/* Targets that are restarted under the same id. */

#include "registry.h"
#include "relay.h"
#include "target_record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  OLD_START = 1000, /* start times, Unix ms */
  NEW_START = 2000,
};

static char *
S_entry (guint64 started)
{
  MrTargetRecord record = { .service = "s",
                            .target = { .ip = "10.0.0.1", .port = 80, .slots = 2 } };
  record.target.started = started;
  return mr_target_record_to_json (&record);
}

typedef struct
{
  guint revision; /* 0: end of the list */
  guint64 started;
  gboolean removed;
} Offer;

/* Guards against calls to an address where nothing listens while the shard's running process gets
 * none.  A target is restarted, and a delayed write of its old process reaches the store after the
 * entry of the new one.  The more recently started process wins among the entries that
 * are applied; a lower revision that arrives after a higher one is ignored. */
static void
test_newest_process_wins (void **state)
{
  static const struct
  {
    const char *name;
    Offer offers[4];
    guint64 started; /* of the entry that is kept; 0: none */
  } cases[] = {
    { "new after old", { { 1, OLD_START, FALSE }, { 2, NEW_START, FALSE } }, NEW_START },
    { "old after new", { { 1, NEW_START, FALSE }, { 2, OLD_START, FALSE } }, NEW_START },
    { "old after new, received in reverse",
      { { 2, OLD_START, FALSE }, { 1, NEW_START, FALSE } },
      OLD_START },
    { "new again",
      { { 1, NEW_START, FALSE }, { 2, OLD_START, FALSE }, { 3, NEW_START, FALSE } },
      NEW_START },
    { "old after the new one's removal",
      { { 1, NEW_START, FALSE }, { 1, 0, TRUE }, { 2, OLD_START, FALSE } },
      0 },
    { "added again after a removal",
      { { 1, NEW_START, FALSE }, { 1, 0, TRUE }, { 2, NEW_START, FALSE } },
      NEW_START },
    { "new after the old one's removal",
      { { 1, OLD_START, FALSE }, { 2, NEW_START, FALSE }, { 1, 0, TRUE } },
      NEW_START },
    { "an entry without a start time", { { 1, NEW_START, FALSE }, { 2, 0, FALSE } }, 0 },
    { "a start time after none", { { 1, 0, FALSE }, { 2, NEW_START, FALSE } }, NEW_START },
    { "removed after all",
      { { 1, NEW_START, FALSE }, { 2, OLD_START, FALSE }, { 2, 0, TRUE } },
      0 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrRegistry *registry = mr_registry_new ();
      for (const Offer *offer = cases[i].offers; offer->revision != 0; offer++)
        {
          g_autofree char *body = offer->removed ? NULL : S_entry (offer->started);
          guint64 version = MR_VERSION_STRIDE * (guint64) offer->revision +
                            (offer->removed ? MR_VERSION_REMOVED : 0);
          mr_registry_offer (registry, MR_OBJECT_TARGET, MR_TEXT ("i-1"), version, mr_text (body));
        }
      const MrObject *object = mr_registry_get (registry, MR_OBJECT_TARGET, "i-1");
      if (mr_target_record_start_time (mr_text_of (object->body)) != cases[i].started)
        fail_msg ("%s: kept %s", cases[i].name, object->body->str);
      mr_registry_free (registry);
    }
}

/* Two daemons read the store at different times: one read the new entry and then the old one that
 * replaced it, the other only the old one.  The entry of the first is newer, so the second accepts
 * it. */
static void
test_daemons_agree (void **state)
{
  (void) state;
  g_autofree char *old = S_entry (OLD_START);
  g_autofree char *new = S_entry (NEW_START);
  MrRegistry *read_both = mr_registry_new ();
  MrRegistry *read_last = mr_registry_new ();
  mr_registry_offer (read_both, MR_OBJECT_TARGET, MR_TEXT ("i-1"), 4, mr_text (new));
  assert_int_equal (
      mr_registry_offer (read_both, MR_OBJECT_TARGET, MR_TEXT ("i-1"), 8, mr_text (old)),
      MR_OFFER_BODY_REJECTED);
  mr_registry_offer (read_last, MR_OBJECT_TARGET, MR_TEXT ("i-1"), 8, mr_text (old));
  assert_true (mr_registry_digest (read_both) != mr_registry_digest (read_last));
  const MrObject *kept = mr_registry_get (read_both, MR_OBJECT_TARGET, "i-1");
  assert_int_equal (mr_registry_offer (read_last, MR_OBJECT_TARGET, MR_TEXT ("i-1"), kept->version,
                                       mr_text_of (kept->body)),
                    MR_OFFER_NEW);
  assert_int_equal (mr_registry_digest (read_both), mr_registry_digest (read_last));
  mr_registry_free (read_both);
  mr_registry_free (read_last);
}

/* A host that records the calls made to it. */
typedef struct
{
  MrRelayHost host;
  guint calls;
  guint64 last_call;
  char last_target[MR_NAME_MAX + 1];
  guint64 last_started; /* of that target */
  guint closed_calls;
  guint done;
  guint refused;
  MrRelayResult result;
} Host;

static void
S_on_call (MrRelayHost *host, const MrRelayCall *call)
{
  Host *h = (Host *) host;
  h->calls++;
  h->last_call = call->id;
  g_strlcpy (h->last_target, call->target->id, sizeof h->last_target);
  h->last_started = call->target->started;
}

static void
S_on_close_call (MrRelayHost *host, guint64 id)
{
  (void) id;
  ((Host *) host)->closed_calls++;
}

static void
S_ignore_target (MrRelayHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_on_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  Host *h = (Host *) host;
  (void) request;
  h->done++;
  h->refused += result->verdict == MR_VERDICT_REFUSED;
  h->result = *result;
}

static MrRelay *
S_relay (Host *host)
{
  *host = (Host){
    .host = { .send_call = S_on_call,
              .close_call = S_on_close_call,
              .probe = S_ignore_target,
              .reconnect = S_ignore_target,
              .request_done = S_on_done,
              .free_answer = g_free },
  };
  MrRelayOptions options = {
    .policy = &mr_relay_policy,
    .budget = { .window = 10 * MR_SECOND,
                .ratio = 0.2,
                .allowance = 50,
                .margin = 1,
                .started_at = -10 * MR_SECOND },
    .seed = 1,
  };
  MrRelay *relay = mr_relay_new (&host->host, &options);
  MrRelayShares shares = { .connections = 1, .slots = 1, .allowance = 1 };
  mr_relay_set_shares (relay, &shares);
  return relay;
}

static const MrRouteService part = { .service = "s", .weight = 1 };

static void
S_update_target (MrRelay *relay, MrTime now, guint64 started, gboolean leaving)
{
  MrTarget target = { .id = "i-1", .ip = "10.0.0.1", .port = 80, .domain = "d", .slots = 4 };
  target.connections = 4;
  target.started = started;
  mr_relay_update_target (relay, now, "s", &target, leaving, 0);
}

static MrRoute
S_route (gboolean idempotent)
{
  return (MrRoute){
    .name = "r",
    .kind = MR_ROUTE_SERVICE,
    .idempotent = idempotent,
    .time_limit = 2 * MR_SECOND,
    .latency_goal = 400 * MR_MS,
    .attempt_limit = 2,
    .services = (MrRouteService *) &part,
    .service_count = 1,
  };
}

static void
S_submit (MrRelay *relay, MrTime now, Host *host, const MrRoute *route)
{
  MrRelayRequestParams request = { .host_request = host,
                                   .route = route,
                                   .deadline = 2 * MR_SECOND };
  mr_relay_submit (relay, now, &request);
}

/* Guards against a search that waits until its deadline, and an order whose outcome is unknown
 * until then.  The target crashes with their calls in flight and is restarted at the same address.
 * No reset reports this; the new entry does. */
static void
test_calls_in_flight (void **state)
{
  static const struct
  {
    const char *name;
    gboolean idempotent;
    guint calls; /* in total */
    guint verdicts;
  } cases[] = {
    { "a search is resent", TRUE, 2, 0 },
    { "an order may have run", FALSE, 1, 1 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Host host;
      MrRelay *relay = S_relay (&host);
      MrRoute route = S_route (cases[i].idempotent);
      S_update_target (relay, 0, OLD_START, FALSE);
      MrTarget other = { .id = "i-2", .ip = "10.0.0.2", .port = 80, .domain = "d", .slots = 4 };
      other.connections = 4;
      S_submit (relay, 10, &host, &route);
      assert_int_equal (host.calls, 1);
      mr_relay_update_target (relay, 15, "s", &other, FALSE, 0);
      S_update_target (relay, 20, NEW_START, FALSE);
      assert_int_equal (host.closed_calls, 1);
      if (host.calls != cases[i].calls || host.done != cases[i].verdicts)
        fail_msg ("%s: %u calls, %u verdicts", cases[i].name, host.calls, host.done);
      if (!cases[i].idempotent)
        assert_int_equal (host.result.verdict, MR_VERDICT_FAILED);
      mr_relay_free (relay);
    }
}

/* Guards against requests to a shard that are refused for seconds although its target is back: that
 * the old process was leaving, down, slow or overloaded does not hold for the new one. */
static void
test_state_is_reset (void **state)
{
  (void) state;
  Host host;
  MrRelay *relay = S_relay (&host);
  MrRoute route = S_route (TRUE);
  S_update_target (relay, 0, OLD_START, FALSE);
  S_update_target (relay, 5, OLD_START, TRUE);
  S_submit (relay, 10, &host, &route);
  assert_int_equal (host.calls, 0); /* the target is leaving */
  assert_int_equal (host.result.verdict, MR_VERDICT_REFUSED);
  S_update_target (relay, 20, NEW_START, FALSE);
  S_submit (relay, 30, &host, &route);
  assert_int_equal (host.calls, 1);
  assert_int_equal (host.last_started, NEW_START);
  for (guint i = 0; i < 3; i++)
    {
      mr_relay_call_end (relay, 40 + i, host.last_call, MR_CALL_ERROR, NULL);
      S_submit (relay, 40 + i, &host, &route);
    }
  guint before = host.calls;
  S_submit (relay, 50, &host, &route);
  assert_int_equal (host.calls, before); /* down, after three failures */
  S_update_target (relay, 60, NEW_START + 1, FALSE);
  S_submit (relay, 70, &host, &route);
  assert_int_equal (host.calls, before + 1);
  assert_int_equal (host.last_started, NEW_START + 1);
  mr_relay_free (relay);
}

/* Guards against requests that are refused although the shard's only target is back and idle.  They
 * wait for a slot when the target is restarted.  If the old process were removed before the new one
 * is added, there would be no target to wait for. */
static void
test_waiting_for_the_only_target (void **state)
{
  enum
  {
    REQUESTS = 6,
  };
  (void) state;
  Host host;
  MrRelay *relay = S_relay (&host);
  MrRoute route = S_route (TRUE);
  S_update_target (relay, 0, OLD_START, FALSE);
  for (guint i = 0; i < REQUESTS; i++)
    S_submit (relay, 10, &host, &route);
  guint initial_calls = host.calls;
  assert_true (initial_calls < REQUESTS);
  assert_int_equal (host.done, 0);
  S_update_target (relay, 20, NEW_START, FALSE);
  assert_int_equal (host.refused, 0);
  assert_true (host.calls > initial_calls);
  assert_int_equal (host.last_started, NEW_START);
  mr_relay_free (relay);
}

/* An unchanged entry that is reported again, as after it expired, does not affect calls in
 * flight. */
static void
test_same_process (void **state)
{
  (void) state;
  Host host;
  MrRelay *relay = S_relay (&host);
  MrRoute route = S_route (FALSE);
  S_update_target (relay, 0, NEW_START, FALSE);
  S_submit (relay, 10, &host, &route);
  S_update_target (relay, 20, NEW_START, FALSE);
  assert_int_equal (host.closed_calls, 0);
  assert_int_equal (host.done, 0);
  mr_relay_call_end (relay, 30, host.last_call, MR_CALL_ANSWER, g_strdup ("x"));
  assert_int_equal (host.result.verdict, MR_VERDICT_ANSWER);
  mr_relay_free (relay);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_newest_process_wins),
    cmocka_unit_test (test_daemons_agree),
    cmocka_unit_test (test_calls_in_flight),
    cmocka_unit_test (test_state_is_reset),
    cmocka_unit_test (test_waiting_for_the_only_target),
    cmocka_unit_test (test_same_process),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
