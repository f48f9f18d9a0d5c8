/* Tables of cases for the small decision modules, on a virtual clock. */

#include "burn.h"
#include "concurrency_limit.h"
#include "health.h"
#include "histogram.h"
#include "order_records.h"
#include "owner.h"
#include "registry.h"
#include "resend_budget.h"
#include "result.h"
#include "watch.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Quantiles are within 5 % of the true value up to a minute. */
static void
test_histogram (void **state)
{
  (void) state;
  for (gint64 scale = 1; scale < 100000; scale *= 3)
    {
      MrHistogram h = { 0 };
      for (gint64 i = 1; i <= 1000; i++)
        mr_histogram_add (&h, i * scale);
      for (double q = 0.05; q < 1; q += 0.05)
        {
          double expected = q * 1000 * (double) scale;
          double measured = (double) mr_histogram_quantile (&h, q);
          if (expected > 20 && fabs (measured - expected) > 0.05 * expected)
            fail_msg ("scale %" G_GINT64_FORMAT " quantile %.2f: %.0f for %.0f", scale, q, measured,
                      expected);
        }
      mr_histogram_decay (&h);
      assert_true (h.count <= 1000);
    }
}

static void
test_resend_budget (void **state)
{
  (void) state;
  MrResendBudget budget = { 0 };
  MrResendBudgetConfig config = {
    .window = 10 * MR_SECOND,
    .ratio = 0.05,
    .allowance = 20,
    .share = 1,
    .margin = 1,
    .started_at = -10 * MR_SECOND,
  };
  guint spent = 0;
  /* 1,000 requests at 5 % allow 50 resends besides the fixed allowance, however many are asked for.
   */
  for (int i = 0; i < 1000; i++)
    {
      mr_resend_budget_add_request (&budget, &config, MR_SECOND);
      spent += mr_resend_budget_try_spend (&budget, &config, MR_SECOND, 1);
    }
  while (mr_resend_budget_try_spend (&budget, &config, MR_SECOND, 1))
    spent++;
  assert_int_equal (spent, 50 + 20);
  /* Earlier requests allow no later burst: they expire with the window. */
  for (spent = 0; mr_resend_budget_try_spend (&budget, &config, 20 * MR_SECOND, 1); spent++)
    ;
  assert_int_equal (spent, 20);
  /* A service with few requests can still resend occasionally. */
  assert_false (mr_resend_budget_try_spend (&budget, &config, 20 * MR_SECOND, 1));
  assert_false (mr_resend_budget_try_spend (&budget, &config, 29 * MR_SECOND, 1));
  assert_true (mr_resend_budget_try_spend (&budget, &config, 31 * MR_SECOND, 1));
  /* Hedges leave a part of the budget to retries of failed calls. */
  for (spent = 0; mr_resend_budget_try_spend (&budget, &config, 50 * MR_SECOND, 0.75); spent++)
    ;
  assert_int_equal (spent, 15);
}

static void
test_concurrency_limit (void **state)
{
  (void) state;
  MrConcurrencyLimit limit;
  mr_concurrency_limit_init (&limit, 10);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 10);
  mr_concurrency_limit_on_shed (&limit, MR_SECOND);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 7);
  mr_concurrency_limit_on_shed (&limit, MR_SECOND + MR_MS); /* the same overload */
  assert_int_equal (mr_concurrency_limit_calls (&limit), 7);
  for (int i = 0; i < 200; i++)
    mr_concurrency_limit_on_success (&limit);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 10);
  for (MrTime t = 2; t < 60; t++)
    mr_concurrency_limit_on_shed (&limit, t * MR_SECOND);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 1);
  mr_concurrency_limit_init (&limit, 8);
  mr_concurrency_limit_slow_start (&limit);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 1);
  for (int i = 0; i < 3; i++)
    mr_concurrency_limit_on_success (&limit);
  assert_int_equal (mr_concurrency_limit_calls (&limit), 4);
}

/* Health of a target: state and action after each event. */
static void
test_health (void **state)
{
  (void) state;
  typedef enum
  {
    SUCCESS,
    TIMED_OUT,
    CONNECTION_ERROR,
    PROBE_OK,
    PROBE_FAILED,
    FAILURE,
    CONNECTION_LOST,
    LEAVING,
    LIVE,
    TICK,
  } Event;
  static const struct
  {
    Event event;
    MrTime at; /* ms; unresponsive calls were sent 10 ms before */
    MrHealthState state;
    MrHealthAction action;
  } steps[] = {
    { SUCCESS, 100, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    /* It has answered since the call was sent: only the call's connection is in doubt. */
    { TIMED_OUT, 105, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { TIMED_OUT, 200, MR_HEALTH_SUSPECT, MR_HEALTH_ACTION_PROBE },
    { TIMED_OUT, 201, MR_HEALTH_SUSPECT, MR_HEALTH_ACTION_NONE },
    /* The probe succeeds on a new connection: the old connections were lost. */
    { PROBE_OK, 210, MR_HEALTH_UP, MR_HEALTH_ACTION_RECONNECT },
    { CONNECTION_ERROR, 300, MR_HEALTH_SUSPECT, MR_HEALTH_ACTION_PROBE },
    { PROBE_FAILED, 310, MR_HEALTH_DOWN, MR_HEALTH_ACTION_NONE },
    { TICK, 350, MR_HEALTH_DOWN, MR_HEALTH_ACTION_NONE },
    { TICK, 411, MR_HEALTH_DOWN, MR_HEALTH_ACTION_PROBE },
    { PROBE_OK, 420, MR_HEALTH_UP, MR_HEALTH_ACTION_SLOW_START },
    /* Fast failures: down after three in a row, and for longer after each further one. */
    { FAILURE, 430, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { FAILURE, 431, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { FAILURE, 432, MR_HEALTH_DOWN, MR_HEALTH_ACTION_NONE },
    { TICK, 633, MR_HEALTH_DOWN, MR_HEALTH_ACTION_PROBE },
    { PROBE_OK, 640, MR_HEALTH_UP, MR_HEALTH_ACTION_SLOW_START },
    { FAILURE, 650, MR_HEALTH_DOWN, MR_HEALTH_ACTION_NONE },
    { TICK, 1000, MR_HEALTH_DOWN, MR_HEALTH_ACTION_NONE },
    { TICK, 1051, MR_HEALTH_DOWN, MR_HEALTH_ACTION_PROBE },
    { PROBE_OK, 1060, MR_HEALTH_UP, MR_HEALTH_ACTION_SLOW_START },
    { SUCCESS, 1070, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { FAILURE, 1080, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    /* Two connections are lost while others get answers: all are replaced. */
    { SUCCESS, 1085, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { CONNECTION_LOST, 1086, MR_HEALTH_UP, MR_HEALTH_ACTION_NONE },
    { CONNECTION_LOST, 1087, MR_HEALTH_UP, MR_HEALTH_ACTION_RECONNECT },
    { LEAVING, 1100, MR_HEALTH_LEAVING, MR_HEALTH_ACTION_NONE },
    { SUCCESS, 1110, MR_HEALTH_LEAVING, MR_HEALTH_ACTION_NONE },
    /* The list of VMs is delayed, so the target's own notice takes precedence at first. */
    { LIVE, 5000, MR_HEALTH_LEAVING, MR_HEALTH_ACTION_NONE },
    { LIVE, 40000, MR_HEALTH_DOWN, MR_HEALTH_ACTION_PROBE },
    { PROBE_OK, 40010, MR_HEALTH_UP, MR_HEALTH_ACTION_SLOW_START },
  };
  MrHealth h = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      MrTime now = steps[i].at * MR_MS;
      MrHealthAction action = MR_HEALTH_ACTION_NONE;
      switch (steps[i].event)
        {
        case SUCCESS:
          action = mr_health_on_success (&h, now);
          break;
        case TIMED_OUT:
          action = mr_health_on_timeout (&h, now - 10 * MR_MS, now);
          break;
        case CONNECTION_ERROR:
          action = mr_health_on_connection_error (&h, now);
          break;
        case PROBE_OK:
          action = mr_health_on_probe_result (&h, true, now);
          break;
        case PROBE_FAILED:
          action = mr_health_on_probe_result (&h, false, now);
          break;
        case CONNECTION_LOST:
          action = mr_health_on_connection_lost (&h, now - 10 * MR_MS, now);
          break;
        case FAILURE:
          mr_health_on_failure (&h, now);
          break;
        case LEAVING:
          mr_health_on_leaving (&h, now);
          break;
        case LIVE:
          action = mr_health_on_live (&h, now);
          break;
        case TICK:
          action = mr_health_tick (&h, now);
          break;
        }
      if (h.state != steps[i].state || action != steps[i].action)
        fail_msg ("step %zu: state %s action %d", i, mr_health_state_name (h.state), action);
    }
}

static void
test_registry (void **state)
{
  (void) state;
  MrRegistry *a = mr_registry_new ();
  MrRegistry *b = mr_registry_new ();
  const struct
  {
    guint64 version;
    MrOfferResult offer;
  } steps[] = {
    { 5, MR_OFFER_NEW }, { 5, MR_OFFER_SAME }, { 4, MR_OFFER_OLD }, { 6, MR_OFFER_NEW }
  };
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    assert_int_equal (mr_registry_offer (a, MR_OBJECT_ACCEPTED, MR_TEXT ("x"), steps[i].version,
                                         MR_TEXT ("body")),
                      steps[i].offer);
  mr_registry_offer (a, MR_OBJECT_SHARD_MAP, MR_TEXT ("x"), 9, MR_TEXT ("m"));
  mr_registry_offer (b, MR_OBJECT_SHARD_MAP, MR_TEXT ("x"), 9, MR_TEXT ("m"));
  assert_true (mr_registry_digest (a) != mr_registry_digest (b));
  mr_registry_offer (b, MR_OBJECT_ACCEPTED, MR_TEXT ("x"), 6, MR_TEXT ("body"));
  assert_true (mr_registry_digest (a) == mr_registry_digest (b));
  mr_registry_free (a);
  mr_registry_free (b);
}

/* Rendezvous hashing: members of the near domain first, evenly spread, and a lost member moves only
 * the cells that it owned. */
static void
test_cell_owner (void **state)
{
  (void) state;
  enum
  {
    CELLS = 300,
    MEMBERS = 9
  };
  GString *json =
      g_string_new ("{\"snapshot\":\"s\",\"targets\":[{\"id\":\"t\",\"ip\":\"10.0.0.1\","
                    "\"port\":1,\"domain\":\"a\"}],\"shards\":[");
  for (int i = 0; i < CELLS; i++)
    g_string_append_printf (json, "%s{\"name\":\"h%d\",\"weight\":1,\"replicas\":[\"t\"]}",
                            i ? "," : "", i);
  g_string_append (json, "]}");
  MrShardMap *map = mr_shard_map_parse (MR_TEXT ("shop"), 1, mr_text_of (json));
  MrMember members[MEMBERS] = { 0 };
  for (int i = 0; i < MEMBERS; i++)
    {
      g_snprintf (members[i].name, sizeof members[i].name, "d%d", i);
      g_strlcpy (members[i].domain, i < 3 ? "a" : "b", sizeof members[i].domain);
    }
  MrMemberList *all = mr_member_list_new (members, MEMBERS);
  members[0].state = MR_MEMBER_DEAD;
  MrMemberList *remaining = mr_member_list_new (members, MEMBERS);
  guint owned[MEMBERS] = { 0 };
  for (guint cell = 0; cell < CELLS; cell++)
    {
      const MrMember *before[2];
      const MrMember *after[2];
      assert_int_equal (mr_owner_rank (all, map, cell, 1, NULL, before, 2), 2);
      assert_int_equal (mr_owner_rank (remaining, map, cell, 1, NULL, after, 2), 2);
      assert_string_equal (before[0]->domain, "a");
      owned[before[0]->name[1] - '0']++;
      const char *expected =
          g_str_equal (before[0]->name, "d0") ? before[1]->name : before[0]->name;
      assert_string_equal (after[0]->name, expected);
    }
  for (int i = 0; i < 3; i++)
    assert_in_range (owned[i], 70, 130);
  mr_member_list_unref (all);
  mr_member_list_unref (remaining);
  mr_shard_map_unref (map);
  g_string_free (json, TRUE);
}

static void
test_order_records (void **state)
{
  (void) state;
  guint8 random[32] = { 1, 2, 3 };
  MrOrderRecordLimits limits = { 60 * MR_SECOND, 600 * MR_SECOND, 2 };
  MrOrderRecords *orders = mr_order_records_new (mr_ticket_issuer_new ("d1", 0, random), &limits);
  char t[4][MR_TICKET_MAX_LENGTH + 1];
  for (int i = 0; i < 4; i++)
    mr_ticket_issue (mr_order_records_issuer (orders), MR_SECOND, t[i]);
  char forged[MR_TICKET_MAX_LENGTH + 1];
  g_strlcpy (forged, t[0], sizeof forged);
  forged[strlen (forged) - 1] ^= 1;
  const struct
  {
    const char *ticket;
    const char *body;
    MrTime at;
    MrOrderAction decision;
    MrResult result;
    MrResult end; /* of a dispatch; 0: leave it in flight */
  } steps[] = {
    { "", "a", 2, MR_ORDER_ACTION_ANSWER, MR_RESULT_NO_TICKET, 0 },
    { "rubbish", "a", 2, MR_ORDER_ACTION_ANSWER, MR_RESULT_BAD_TICKET, 0 },
    { forged, "a", 2, MR_ORDER_ACTION_ANSWER, MR_RESULT_BAD_TICKET, 0 },
    { "d1.00000000000000000000000000000000.1.1.0000000000000000", "a", 2, MR_ORDER_ACTION_FORWARD,
      0, 0 },
    { t[0], "a", 2, MR_ORDER_ACTION_RUN, 0, MR_RESULT_DONE },
    { t[0], "a", 3, MR_ORDER_ACTION_ANSWER, MR_RESULT_DONE, 0 },
    { t[0], "b", 3, MR_ORDER_ACTION_ANSWER, MR_RESULT_TICKET_REUSED, 0 },
    { t[1], "a", 4, MR_ORDER_ACTION_RUN, 0, MR_RESULT_NO_TARGET },
    { t[1], "a", 5, MR_ORDER_ACTION_RUN, 0, 0 },
    { t[1], "a", 6, MR_ORDER_ACTION_ANSWER, MR_RESULT_IN_FLIGHT, 0 },
    { t[2], "a", 7, MR_ORDER_ACTION_ANSWER, MR_RESULT_ORDERS_FULL, 0 },
    { t[2], "a", 62, MR_ORDER_ACTION_ANSWER, MR_RESULT_TICKET_EXPIRED, 0 },
    { t[0], "a", 600, MR_ORDER_ACTION_ANSWER, MR_RESULT_DONE, 0 },
    { t[0], "a", 662, MR_ORDER_ACTION_ANSWER, MR_RESULT_RECORD_GONE, 0 },
    { t[1], "a", 662, MR_ORDER_ACTION_ANSWER, MR_RESULT_IN_FLIGHT,
      0 }, /* never dropped in flight */
  };
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      MrOrderDecision v =
          mr_order_records_begin (orders, steps[i].at * MR_SECOND, mr_text (steps[i].ticket),
                                  MR_TEXT ("shop"), mr_text (steps[i].body));
      if (v.action != steps[i].decision ||
          (v.action == MR_ORDER_ACTION_ANSWER && v.result != steps[i].result))
        fail_msg ("step %zu: decision %d result %s", i, v.action, mr_result_name (v.result));
      if (steps[i].end)
        mr_order_records_end (orders, v.ticket.sequence, steps[i].end, MR_TEXT ("{}"));
    }
  mr_order_records_free (orders);
}

/* With an objective of 99 %, 2 slow requests of 100 give a burn rate of 2. */
static void
test_burn_rate (void **state)
{
  (void) state;
  MrBurn *burn = mr_burn_new (0);
  MrBurnOutcome slow = { .slow = TRUE, .target = "t1", .domain = "a" };
  MrBurnOutcome good = { 0 };
  for (int i = 0; i < 98; i++)
    mr_burn_add (burn, 1000 * MR_SECOND, "shop", &good);
  mr_burn_add (burn, 1000 * MR_SECOND, "shop", &slow);
  mr_burn_add (burn, 1000 * MR_SECOND, "shop", &slow);
  MrBurnCounts c = mr_burn_counts (burn, 1001 * MR_SECOND, "shop", 0);
  assert_int_equal (c.total, 100);
  assert_int_equal (c.slow, 2);
  MrBurnRate rate = mr_burn_rate (c.slow, c.total, 0.01, 3600);
  assert_true (fabs (rate.burn_rate - 2) < 1e-9);
  assert_true (fabs (rate.budget_left + 1) < 1e-9);
  rate = mr_burn_rate (1, 200, 0.01, 7200);
  assert_true (fabs (rate.burn_rate - 0.5) < 1e-9);
  assert_true (fabs (rate.hours_to_empty - 2) < 1e-9);
  /* No longer in the 5 minutes, still in the hour. */
  assert_int_equal (mr_burn_counts (burn, 1400 * MR_SECOND, "shop", 0).total, 0);
  assert_int_equal (mr_burn_counts (burn, 1400 * MR_SECOND, "shop", 1).total, 100);
  assert_int_equal (mr_burn_covered_seconds (burn, 1400 * MR_SECOND, 1), 1400);
  mr_burn_free (burn);
}

static void
test_watchers (void **state)
{
  (void) state;
  MrMember members[8] = { 0 };
  for (int i = 0; i < 8; i++)
    {
      g_snprintf (members[i].name, sizeof members[i].name, "d%d", i);
      g_strlcpy (members[i].domain, i % 2 ? "a" : "b", sizeof members[i].domain);
    }
  MrRoster *roster = mr_roster_new ();
  for (int i = 0; i < 8; i++)
    mr_roster_put (roster, &members[i]);
  guint watchers = 0;
  for (int i = 0; i < 8; i++)
    watchers += mr_watch_rank (roster, members[i].name) < MR_WATCHERS_PER_DOMAIN;
  assert_int_equal (
      watchers, 2 * MR_WATCHERS_PER_DOMAIN); /* for two domains, whatever the size of the fleet */
  mr_roster_free (roster);
  /* The delay grows with failures; a member that does not watch polls an unavailable store rarely.
   */
  MrWatch watch = { 0 };
  MrTime now = MR_SECOND;
  mr_watch_ended (&watch, now, false, true, 0.5);
  assert_int_equal (watch.due - now, 200 * MR_MS);
  for (int i = 0; i < 20; i++)
    mr_watch_ended (&watch, now, false, true, 0.5);
  assert_int_equal (watch.due - now, 1 * MR_SECOND);
  mr_watch_ended (&watch, now, true, true, 0.5);
  assert_int_equal (watch.due, now);
  mr_watch_ended (&watch, now, false, false, 0.5);
  assert_int_equal (watch.due - now, 180 * MR_SECOND);
}

/* Exactly the results numbered 2xx and 4xx say that the request has not run. */
static void
test_results (void **state)
{
  (void) state;
  for (int code = 100; code < 500; code++)
    {
      const char *name = mr_result_name ((MrResult) code);
      if (g_str_equal (name, "unlisted"))
        continue;
      MrRan ran = mr_result_ran ((MrResult) code);
      assert_int_equal (ran == MR_RAN_NO, code / 100 == 2 || code / 100 == 4);
      assert_int_equal (ran == MR_RAN_UNKNOWN, code / 100 == 3);
      assert_true (mr_result_http_status ((MrResult) code) != 500);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_histogram),         cmocka_unit_test (test_resend_budget),
    cmocka_unit_test (test_concurrency_limit), cmocka_unit_test (test_health),
    cmocka_unit_test (test_registry),          cmocka_unit_test (test_cell_owner),
    cmocka_unit_test (test_order_records),     cmocka_unit_test (test_burn_rate),
    cmocka_unit_test (test_watchers),          cmocka_unit_test (test_results),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
