/* Routes with home regions: the targets that their requests go to, and the daemons in address
 * answers. */

#include "entry_plan.h"
#include "log.h"
#include "relay.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  TARGETS = 4, /* two in each region */
};

/* Fails every call, so that each request tries every target it may be sent to. */
typedef struct
{
  MrRelayHost host;
  GPtrArray *called; /* ids of targets */
  GArray *open;      /* ids of calls */
  MrVerdict verdict;
  gboolean may_have_run;
} Caller;

static void
S_on_call (MrRelayHost *host, const MrRelayCall *call)
{
  Caller *c = (Caller *) host;
  g_ptr_array_add (c->called, g_strdup (call->target->id));
  g_array_append_val (c->open, call->id);
}

static void
S_ignore_target (MrRelayHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_ignore_close_call (MrRelayHost *host, guint64 id)
{
  (void) host;
  (void) id;
}

static void
S_on_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  Caller *c = (Caller *) host;
  (void) request;
  c->verdict = result->verdict;
  c->may_have_run = result->may_have_run;
}

static MrConfiguration *
S_configuration (const char *homes)
{
  g_autofree char *json = g_strdup_printf (
      "{\"version\":1,\"limits\":{\"head_bytes\":1,\"body_bytes\":1,\"head_time\":1,"
      "\"idle_time\":1},\"services\":[{\"name\":\"s\",\"connections\":40}],\"routes\":["
      "{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"repeatable\":true,\"time_limit\":1000,"
      "\"aim\":100,\"attempts\":4,\"rank\":0,\"service\":\"s\",\"homes\":%s}]}",
      homes);
  return mr_configuration_parse (mr_text (json));
}

static void
S_list_targets (MrRelay *relay)
{
  for (guint i = 0; i < TARGETS; i++)
    {
      MrTarget target = { .port = 1000 + (int) i, .slots = 4, .connections = 40 };
      g_snprintf (target.id, sizeof target.id, "t%u", i);
      g_snprintf (target.domain, sizeof target.domain, "d%u", i % 2);
      g_strlcpy (target.ip, "10.0.0.1", sizeof target.ip);
      mr_relay_update_target (relay, MR_SECOND, "s", &target, FALSE, 0);
    }
}

/* Guards against calls, including retries, to targets outside a route's home regions. */
static void
test_targets_in_home_regions (void **state)
{
  static const struct
  {
    const char *homes;
    const char *allowed; /* last digits of the targets' ids */
  } cases[] = {
    { "[\"north\"]", "02" }, { "[\"south\"]", "13" }, { "[\"north\",\"south\"]", "0123" },
    { "[]", "0123" },        { "[\"west\"]", "" },
  };
  (void) state;
  g_autoptr (GHashTable) regions = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (regions, "d0", "north");
  g_hash_table_insert (regions, "d1", "south");
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Caller c = {
        .host = { .send_call = S_on_call,
                  .close_call = S_ignore_close_call,
                  .probe = S_ignore_target,
                  .reconnect = S_ignore_target,
                  .request_done = S_on_done },
        .called = g_ptr_array_new_with_free_func (g_free),
        .open = g_array_new (FALSE, FALSE, sizeof (guint64)),
      };
      MrRelayOptions options = { .regions = regions,
                                 .policy = &mr_relay_policy,
                                 .seed = 7,
                                 .budget = { .window = 10 * MR_SECOND,
                                             .ratio = 1,
                                             .allowance = 1000,
                                             .share = 1,
                                             .margin = 1 } };
      MrRelay *relay = mr_relay_new (&c.host, &options);
      MrRelayShares shares = { .connections = 1, .slots = 1, .allowance = 1 };
      mr_relay_set_shares (relay, &shares);
      S_list_targets (relay);
      MrConfiguration *configuration = S_configuration (cases[i].homes);
      assert_non_null (configuration);
      MrRelayRequestParams request = {
        .configuration = configuration,
        .route = mr_configuration_find_route (configuration, MR_TEXT ("h"), MR_TEXT ("/q")),
        .deadline = 3 * MR_SECOND,
      };
      mr_relay_submit (relay, MR_SECOND, &request);
      for (guint n = 0; n < c.open->len; n++)
        mr_relay_call_end (relay, MR_SECOND + n * MR_MS, g_array_index (c.open, guint64, n),
                           MR_CALL_SHED, NULL);
      for (guint n = 0; n < c.called->len; n++)
        {
          const char *id = g_ptr_array_index (c.called, n);
          assert_non_null (strchr (cases[i].allowed, id[1]));
        }
      assert_true (c.called->len >= strlen (cases[i].allowed));
      assert_int_equal (c.verdict, MR_VERDICT_REFUSED);
      assert_false (c.may_have_run);
      mr_configuration_unref (configuration);
      mr_relay_free (relay);
      g_array_unref (c.open);
      g_ptr_array_unref (c.called);
    }
}

/* Guards against an address answer with daemons in regions that are neither a home nor the
 * caller's, while there are others. */
static void
test_entries_in_home_regions (void **state)
{
  enum
  {
    MEMBERS = 12,
  };
  static const struct
  {
    const char *regions[3];
    guint min_count; /* daemons in the answer */
  } cases[] = {
    { { "r0" }, 2 },
    { { "r1", "r2" }, 3 },
    { { "r0", "r1", "r2" }, 6 },
    { { "nowhere" }, 6 },
  };
  MrMember members[MEMBERS] = { 0 };
  (void) state;
  for (guint i = 0; i < MEMBERS; i++)
    {
      members[i].capacity = i < 6 ? 500 : 100;
      members[i].http_port = 80;
      g_snprintf (members[i].name, sizeof members[i].name, "m%02u", i);
      g_snprintf (members[i].domain, sizeof members[i].domain, "d%u", i % 3);
      g_snprintf (members[i].region, sizeof members[i].region, "r%u", i < 6 ? 1 + i % 2 : i % 3);
    }
  MrRoster *roster = mr_roster_new ();
  for (guint i = 0; i < MEMBERS; i++)
    mr_roster_put (roster, &members[i]);
  MrEntryPlan plan = mr_entry_plan_compute (roster, "m00");
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GHashTable) regions = g_hash_table_new (g_str_hash, g_str_equal);
      for (guint n = 0; n < 3 && cases[i].regions[n]; n++)
        g_hash_table_add (regions, (gpointer) cases[i].regions[n]);
      g_autoptr (GPtrArray) answer = mr_entry_plan_for_regions (&plan, roster, regions);
      assert_true (answer->len >= MIN (cases[i].min_count, plan.entries->len));
      for (guint n = 0; n < answer->len; n++)
        assert_true (g_str_equal (cases[i].regions[0], "nowhere") ||
                     g_hash_table_contains (
                         regions, ((const MrMember *) g_ptr_array_index (answer, n))->region));
    }
  mr_entry_plan_clear (&plan);
  mr_roster_free (roster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_targets_in_home_regions),
    cmocka_unit_test (test_entries_in_home_regions),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
