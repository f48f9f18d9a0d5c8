/* Decoding of configurations and shard maps: what is refused, and what numbers count as. */

#include "configuration.h"
#include "shardmap.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ROUTES                                                                                     \
  "[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"time_limit\":9,\"aim\":9,\"attempts\":2,"    \
  "\"rank\":1,\"service\":\"s\"}]"
#define SERVICES "[{\"name\":\"s\",\"connections\":2}]"
#define LIMITS "{\"head_bytes\":9,\"body_bytes\":9,\"head_time\":9,\"idle_time\":9}"

static char *
S_json (const char *version, const char *routes, const char *services, const char *limits)
{
  return g_strdup_printf ("{\"version\":%s,\"routes\":%s,\"services\":%s,\"limits\":%s}", version,
                          routes, services, limits);
}

/* Guards against a number that no later configuration exceeds, and against a configuration without
 * routes because a list has another type. */
static void
test_refused (void **state)
{
  static const struct
  {
    const char *version;
    const char *routes;
    const char *services;
    guint64 number; /* of the configuration; 0: refused */
  } cases[] = {
    { "7", ROUTES, SERVICES, 7 },
    { "7.0", ROUTES, SERVICES, 7 },
    { "7", "[]", "[]", 7 },
    { "9007199254740991", ROUTES, SERVICES, 9007199254740991 },
    { "9007199254740993", ROUTES, SERVICES, 0 },
    { "9223372036854775807", ROUTES, SERVICES, 0 },
    { "1e300", ROUTES, SERVICES, 0 },
    { "-7", ROUTES, SERVICES, 0 },
    { "\"7\"", ROUTES, SERVICES, 0 },
    { "null", ROUTES, SERVICES, 0 },
    { "7", "{}", SERVICES, 0 },
    { "7", "null", SERVICES, 0 },
    { "7", ROUTES, "{\"s\":{}}", 0 },
    { "7", ROUTES, "7", 0 },
    { "7", "[7]", SERVICES, 0 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *json = S_json (cases[i].version, cases[i].routes, cases[i].services, LIMITS);
      MrConfiguration *c = mr_configuration_parse (mr_text (json));
      if ((c ? mr_configuration_version (c) : 0) != cases[i].number)
        fail_msg ("%s: %s", json, c ? "taken" : mr_status_message ());
      if (c)
        assert_int_equal (mr_configuration_read_version (mr_text (json)), cases[i].number);
      mr_configuration_unref (c);
    }
  assert_int_equal (mr_configuration_read_version (MR_TEXT ("{\"version\":1e300}")), 0);
}

/* Guards against times and counts that overflow. */
static void
test_large_numbers (void **state)
{
  const char *route =
      "[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\",\"time_limit\":1e300,\"aim\":1e300,"
      "\"attempts\":1e300,\"rank\":1e300,\"service\":\"s\"}]";
  g_autofree char *json = S_json (
      "7", route, "[{\"name\":\"s\",\"connections\":1e300,\"cold_time\":1e300}]",
      "{\"head_bytes\":1e300,\"body_bytes\":1e300,\"head_time\":1e300,\"idle_time\":1e300}");
  (void) state;
  MrConfiguration *c = mr_configuration_parse (mr_text (json));
  assert_non_null (c);
  const MrRoute *r = mr_configuration_find_route (c, MR_TEXT ("h"), MR_TEXT ("/"));
  const MrCallerLimits *limits = mr_configuration_limits (c);
  const MrServiceInfo *service = mr_configuration_find_service (c, "s");
  const MrTime longest = G_MAXINT32 * MR_MS;
  assert_int_equal (r->time_limit, longest);
  assert_int_equal (r->latency_goal, longest);
  assert_int_equal (r->attempt_limit, G_MAXINT32);
  assert_int_equal (r->priority, G_MAXINT32);
  assert_int_equal (service->max_connections_per_target, G_MAXINT32);
  assert_int_equal (service->cold_time, longest);
  assert_int_equal (limits->max_head_bytes, G_MAXINT32);
  assert_int_equal (limits->max_body_bytes, G_MAXINT32);
  assert_int_equal (limits->head_timeout, longest);
  assert_int_equal (limits->idle_timeout, longest);
  mr_configuration_unref (c);
}

/* Guards against calls to an address that is none. */
static void
test_shard_map_addresses (void **state)
{
  static const struct
  {
    const char *address;
    gboolean taken;
  } cases[] = {
    { "\"ip\":\"10.0.0.1\",\"port\":1", TRUE },
    { "\"ip\":\"10.0.0.1\",\"port\":65536", FALSE },
    { "\"ip\":\"10.0.0.1\",\"port\":0", FALSE },
    { "\"ip\":\"10.0.0.1\",\"port\":1e999", FALSE },
    { "\"ip\":\"host.example\",\"port\":1", FALSE },
    { "\"ip\":\"10.0.0.1 \",\"port\":1", FALSE },
    { "\"ip\":\"\",\"port\":1", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *json =
          g_strdup_printf ("{\"snapshot\":\"s\",\"targets\":[{\"id\":\"t\",%s,\"domain\":\"a\"}],"
                           "\"shards\":[{\"name\":\"h\",\"replicas\":[\"t\"]}]}",
                           cases[i].address);
      MrShardMap *map = mr_shard_map_parse (mr_text ("shop"), 1, mr_text (json));
      if ((map != NULL) != cases[i].taken)
        fail_msg ("%s: %s", cases[i].address, map ? "taken" : mr_status_message ());
      mr_shard_map_unref (map);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refused),
    cmocka_unit_test (test_large_numbers),
    cmocka_unit_test (test_shard_map_addresses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
