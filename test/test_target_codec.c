/* The codec of calls to targets: request paths and decoding of responses. */

#include "target_codec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against a call for another shard, snapshot or order than the one meant, because the name
 * of one contains a delimiter of the query. */
static void
test_paths (void **state)
{
  static const struct
  {
    const char *snapshot;
    const char *shard;
    const char *ticket; /* NULL: a search */
    const char *path;
  } cases[] = {
    { "s-1", "shard.7", NULL,
      "/v1/search?id=ab-9&snapshot=s-1&shard=shard.7&k=3&deadline_ms=5&q=x%26k%3D1" },
    { "s&k=9", "a#b c", NULL,
      "/v1/search?id=ab-9&snapshot=s%26k%3D9&shard=a%23b%20c&k=3&deadline_ms=5&q=x%26k%3D1" },
    { "s", "a\r\nb", NULL,
      "/v1/search?id=ab-9&snapshot=s&shard=a%0D%0Ab&k=3&deadline_ms=5&q=x%26k%3D1" },
    { "s", "a", "d.1.2.3.f", "/v1/order?id=ab-9&ticket=d.1.2.3.f&deadline_ms=5" },
    { "s", "a", "d&id=1", "/v1/order?id=ab-9&ticket=d%26id%3D1&deadline_ms=5" },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrShard shard = { .weight = 1 };
      MrShardMap map = { .shards = &shard, .shard_count = 1 };
      MrBatch batch = { .map = &map,
                        .deadline = 5 * MR_MS,
                        .top_k = 3,
                        .is_order = cases[i].ticket != NULL,
                        .payload = g_string_new ("x&k=1") };
      MrShardCall call = { .id = 9, .batch = &batch };
      g_strlcpy (shard.name, cases[i].shard, sizeof shard.name);
      g_strlcpy (map.snapshot, cases[i].snapshot, sizeof map.snapshot);
      g_strlcpy (batch.ticket, cases[i].ticket ? cases[i].ticket : "", sizeof batch.ticket);
      g_autofree char *path = mr_target_call_path (&call, "ab", 0);
      assert_string_equal (path, cases[i].path);
      g_string_free (batch.payload, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_paths),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
