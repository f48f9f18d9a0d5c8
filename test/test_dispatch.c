/* Batches of shard calls: the budget for retries, the order of traffic classes, changes of the
 * shard map, searches that crash targets. */

#include "dispatch.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* A dispatcher with two targets, each of which serves all shards. */
typedef struct
{
  MrDispatchHost host;
  MrDispatch *dispatch;
  MrShardMap *map;
  GQueue *open_calls; /* MrShardCall that have not ended, oldest first */
  guint call_count;
  guint covered_shard_count; /* of the last partial */
  guint64 last_batch_id;     /* of the last partial */
  guint64 last_submitted_id; /* id of the last batch submitted */
  MrEvidence evidence;       /* published last */
} Fixture;

static void
S_start_call (MrDispatchHost *host, const MrShardCall *start)
{
  Fixture *fixture = (Fixture *) host;
  fixture->call_count++;
  g_queue_push_tail (fixture->open_calls, g_memdup2 (start, sizeof *start));
}

static void
S_cancel_call (MrDispatchHost *host, guint64 id)
{
  (void) host;
  (void) id;
}

static void
S_ignore_target (MrDispatchHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_deliver_partial (MrDispatchHost *host, MrPartial *partial)
{
  Fixture *fixture = (Fixture *) host;
  fixture->covered_shard_count = partial->covered_shard_count;
  fixture->last_batch_id = partial->batch_id;
  mr_partial_free (partial);
}

static void
S_publish_evidence (MrDispatchHost *host, MrFingerprint content, const MrEvidence *evidence)
{
  (void) content;
  ((Fixture *) host)->evidence = *evidence;
}

static MrShardMap *
S_map_of_two_targets (guint generation, guint shards, guint slots)
{
  g_autoptr (GString) json = g_string_new ("{\"snapshot\":\"s\",\"targets\":[");
  for (guint i = 0; i < 2; i++)
    g_string_append_printf (json,
                            "%s{\"id\":\"t%u\",\"ip\":\"10.0.0.%u\",\"port\":80,"
                            "\"domain\":\"d\",\"slots\":%u,\"connections\":50}",
                            i ? "," : "", i, i + 1, slots);
  g_string_append (json, "],\"shards\":[");
  for (guint i = 0; i < shards; i++)
    g_string_append_printf (json, "%s{\"name\":\"h%u\",\"weight\":1,\"replicas\":[\"t0\",\"t1\"]}",
                            i ? "," : "", i);
  g_string_append (json, "]}");
  MrShardMap *map = mr_shard_map_parse (MR_TEXT ("shop"), generation, mr_text_of (json));
  assert_non_null (map);
  return map;
}

static Fixture
S_set_up (guint shards, guint slots)
{
  Fixture fixture = { .host = { .start_call = S_start_call,
                                .cancel_call = S_cancel_call,
                                .probe = S_ignore_target,
                                .reconnect = S_ignore_target,
                                .deliver_partial = S_deliver_partial,
                                .publish_evidence = S_publish_evidence } };
  fixture.open_calls = g_queue_new ();
  fixture.map = S_map_of_two_targets (1, shards, slots);
  return fixture;
}

static void
S_tear_down (Fixture *fixture)
{
  g_queue_free_full (fixture->open_calls, g_free);
  mr_dispatch_free (fixture->dispatch);
  mr_shard_map_unref (fixture->map);
}

static void
S_search (Fixture *fixture, MrTime now, MrTrafficClass traffic_class)
{
  guint shards = fixture->map->shard_count;
  MrBatch *batch = mr_batch_new (++fixture->last_submitted_id, fixture->map, shards);
  MrDispatchInfo info = { .seed = 1 };
  if (!fixture->dispatch)
    fixture->dispatch = mr_dispatch_new (&fixture->host, &info);
  for (guint i = 0; i < shards; i++)
    batch->shards[i] = i;
  batch->traffic_class = traffic_class;
  batch->deadline = now + 10 * MR_SECOND;
  batch->policy =
      (MrBatchPolicy){ .extra_call_ratio = 0.05, .hedge_quantile = 0.95, .owner_count = 1 };
  mr_dispatch_submit (fixture->dispatch, now, batch);
}

/* Ends the oldest @count calls with broken connections, to targets that are still alive. */
static void
S_break_calls (Fixture *fixture, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (fixture->open_calls);
      MrCallResult result = { .id = call->id, .outcome = MR_CALL_BROKEN };
      mr_dispatch_call_end (fixture->dispatch, MR_SECOND, &result);
      mr_dispatch_probe_end (fixture->dispatch, MR_SECOND, call->target->key, true);
    }
}

static void
S_answer_calls (Fixture *fixture, MrTime now, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (fixture->open_calls);
      MrCallResult result = {
        .id = call->id,
        .outcome = MR_CALL_ANSWER,
        .echoed_id = call->id,
        .echoed_snapshot = mr_text (fixture->map->snapshot),
        .echoed_shard = mr_text (fixture->map->shards[call->shard].name),
      };
      mr_dispatch_call_end (fixture->dispatch, now, &result);
    }
}

/* Guards against partial or empty answers shortly after the start of a daemon.  A daemon had served
 * a dozen searches when all its connections to one target became silent.  Each of the 12 shards of
 * the next search needed a retry, but the share of the first searches' calls only allowed 8. */
static void
test_resend_allowance (void **state)
{
  enum
  {
    SHARDS = 12,
    LATER_SEARCHES = 10,
  };
  (void) state;
  Fixture fixture = S_set_up (SHARDS, 50);
  /* All connections of the first calls break. */
  S_search (&fixture, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
  S_break_calls (&fixture, SHARDS);
  assert_int_equal (fixture.call_count, 2 * SHARDS);
  S_answer_calls (&fixture, MR_SECOND, g_queue_get_length (fixture.open_calls));
  assert_int_equal (fixture.covered_shard_count, SHARDS);
  /* The budget is still limited: the first calls of the later searches break as well. */
  for (guint i = 0; i < LATER_SEARCHES; i++)
    {
      S_search (&fixture, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      S_break_calls (&fixture, SHARDS);
      S_break_calls (&fixture, g_queue_get_length (fixture.open_calls));
    }
  guint extra_calls = fixture.call_count - (1 + LATER_SEARCHES) * SHARDS;
  assert_in_range (extra_calls, SHARDS, 20 + 0.05 * (1 + LATER_SEARCHES) * SHARDS);
  S_tear_down (&fixture);
}

/* Guards against starvation of the browsing class: urgent searches arrive without a pause, and each
 * call that ends makes room for the next urgent one.  A batch that has waited for longer than the
 * delay of its class (400 ms) goes before urgent ones that arrived later. */
static void
test_no_class_starves (void **state)
{
  enum
  {
    URGENT_GAP_MS = 20,
    BROWSING_BATCH = 2, /* the id of the batch is one higher */
  };
  (void) state;
  Fixture fixture = S_set_up (1, 1);
  MrTime now = MR_SECOND;
  S_search (&fixture, now, MR_TRAFFIC_CLASS_URGENT);
  S_search (&fixture, now, MR_TRAFFIC_CLASS_URGENT);
  fixture.last_submitted_id = BROWSING_BATCH;
  S_search (&fixture, now, MR_TRAFFIC_CLASS_BROWSING);
  MrTime sent_at = now;
  for (now += URGENT_GAP_MS * MR_MS; fixture.last_batch_id != BROWSING_BATCH + 1;
       now += URGENT_GAP_MS * MR_MS)
    {
      assert_true (now - sent_at < 600 * MR_MS);
      S_search (&fixture, now, MR_TRAFFIC_CLASS_URGENT);
      S_answer_calls (&fixture, now, 1);
    }
  assert_true (now - sent_at > 400 * MR_MS); /* urgent calls went first until then */
  S_tear_down (&fixture);
}

/* Guards against a memory leak: a service with a new shard map every minute left the queues of all
 * shards of the previous map behind.  They are removed once the last batch that uses them has
 * ended, and not before. */
static void
test_unused_maps_are_removed (void **state)
{
  enum
  {
    MAPS = 50,
    SHARDS = 4,
  };
  (void) state;
  Fixture fixture = S_set_up (SHARDS, 50);
  for (guint generation = 2; generation <= MAPS; generation++)
    {
      S_search (&fixture, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      mr_shard_map_unref (fixture.map);
      fixture.map = S_map_of_two_targets (generation, SHARDS, 50);
      S_search (&fixture, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      assert_int_equal (mr_dispatch_map_count (fixture.dispatch), 2);
      S_answer_calls (&fixture, MR_SECOND, 2 * SHARDS);
      assert_int_equal (fixture.covered_shard_count, SHARDS);
      mr_dispatch_tick (fixture.dispatch, MR_SECOND);
      assert_int_equal (mr_dispatch_map_count (fixture.dispatch), 1);
    }
  S_tear_down (&fixture);
}

/* Ends all open calls with broken connections; the probes of their targets fail. */
static void
S_crash_targets (Fixture *fixture, MrTime now)
{
  guint count = g_queue_get_length (fixture->open_calls);
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (fixture->open_calls);
      MrCallResult result = { .id = call->id, .outcome = MR_CALL_BROKEN };
      mr_dispatch_call_end (fixture->dispatch, now, &result);
      mr_dispatch_probe_end (fixture->dispatch, now, call->target->key, false);
    }
  mr_dispatch_tick (fixture->dispatch, now);
}

/* Makes the probes of both targets succeed. */
static void
S_recover_targets (Fixture *fixture, MrTime now)
{
  mr_dispatch_tick (fixture->dispatch, now);
  mr_dispatch_probe_end (fixture->dispatch, now, "10.0.0.1:80", true);
  mr_dispatch_probe_end (fixture->dispatch, now, "10.0.0.2:80", true);
}

/* Guards against a search that crashes each target that executes it and is repeated by its callers.
 * All its parts were retried at the other replica at once, and sent to both again with each
 * repetition.  After the first crash only one part may be sent at a time, and after the third none.
 */
static void
test_search_that_crashes_targets (void **state)
{
  enum
  {
    SHARDS = 6,
    REPEATS = 8,
  };
  (void) state;
  Fixture fixture = S_set_up (SHARDS, 50);
  MrTime now = MR_SECOND;
  S_search (&fixture, now, MR_TRAFFIC_CLASS_URGENT);
  S_crash_targets (&fixture, now);
  assert_true (fixture.call_count <= SHARDS + 1);
  for (guint i = 0; i < REPEATS; i++)
    {
      while (!g_queue_is_empty (fixture.open_calls))
        S_crash_targets (&fixture, now);
      now += 3 * MR_SECOND;
      S_recover_targets (&fixture, now);
      S_search (&fixture, now, MR_TRAFFIC_CLASS_URGENT);
      mr_dispatch_tick (fixture.dispatch, now);
    }
  assert_int_equal (mr_evidence_standing (&fixture.evidence, 4), MR_STANDING_QUARANTINED);
  assert_true (fixture.call_count <= SHARDS + 3);
  assert_int_equal (fixture.covered_shard_count, 0);
  S_tear_down (&fixture);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_resend_allowance),
    cmocka_unit_test (test_search_that_crashes_targets),
    cmocka_unit_test (test_no_class_starves),
    cmocka_unit_test (test_unused_maps_are_removed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
