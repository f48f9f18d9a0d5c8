/* Batches of shard calls: what second sends may cost, whose turn it is, maps that
 * follow each other. */

#include "dispatch.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* A daemon's searches on two targets that hold all shards. */
typedef struct
{
  MrDispatchHost host;
  MrDispatch *dispatch;
  MrShardMap *map;
  GQueue *started; /* ids of calls not ended, as MrCallStart */
  guint calls;
  guint covered; /* shards of the latest partial */
  guint64 last;  /* batch that was answered last */
  guint64 searches;
  MrEvidence evidence; /* told last */
} Searches;

static void
S_start_call (MrDispatchHost *host, const MrShardCall *start)
{
  Searches *searches = (Searches *) host;
  searches->calls++;
  g_queue_push_tail (searches->started, g_memdup2 (start, sizeof *start));
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
S_done (MrDispatchHost *host, MrPartial *partial)
{
  Searches *searches = (Searches *) host;
  searches->covered = partial->covered_shard_count;
  searches->last = partial->batch_id;
  mr_partial_free (partial);
}

static void
S_evidence (MrDispatchHost *host, MrFingerprint content, const MrEvidence *evidence)
{
  (void) content;
  ((Searches *) host)->evidence = *evidence;
}

static MrShardMap *
S_two_targets (guint generation, guint shards, guint slots)
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

static Searches
S_begin (guint shards, guint slots)
{
  Searches searches = { .host = { .start_call = S_start_call,
                                  .cancel_call = S_cancel_call,
                                  .probe = S_ignore_target,
                                  .reconnect = S_ignore_target,
                                  .deliver_partial = S_done,
                                  .publish_evidence = S_evidence } };
  searches.started = g_queue_new ();
  searches.map = S_two_targets (1, shards, slots);
  return searches;
}

static void
S_end (Searches *searches)
{
  g_queue_free_full (searches->started, g_free);
  mr_dispatch_free (searches->dispatch);
  mr_shard_map_unref (searches->map);
}

static void
S_search (Searches *searches, MrTime now, MrTrafficClass cls)
{
  guint shards = searches->map->shard_count;
  MrBatch *batch = mr_batch_new (++searches->searches, searches->map, shards);
  MrDispatchInfo info = { .seed = 1 };
  if (!searches->dispatch)
    searches->dispatch = mr_dispatch_new (&searches->host, &info);
  for (guint i = 0; i < shards; i++)
    batch->shards[i] = i;
  batch->traffic_class = cls;
  batch->deadline = now + 10 * MR_SECOND;
  batch->policy =
      (MrBatchPolicy){ .extra_call_ratio = 0.05, .hedge_quantile = 0.95, .owner_count = 1 };
  mr_dispatch_submit (searches->dispatch, now, batch);
}

/* The oldest @count calls break after they were sent. */
static void
S_break (Searches *searches, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (searches->started);
      MrCallResult end = { .id = call->id, .outcome = MR_CALL_BROKEN };
      mr_dispatch_call_end (searches->dispatch, MR_SECOND, &end);
      mr_dispatch_probe_end (searches->dispatch, MR_SECOND, call->target->key, true);
    }
}

static void
S_answer (Searches *searches, MrTime now, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (searches->started);
      MrCallResult end = {
        .id = call->id,
        .outcome = MR_CALL_ANSWER,
        .echoed_id = call->id,
        .echoed_snapshot = mr_text (searches->map->snapshot),
        .echoed_shard = mr_text (searches->map->shards[call->shard].name),
      };
      mr_dispatch_call_end (searches->dispatch, now, &end);
    }
}

/* A caller gets half of an answer, or none: a daemon has served a dozen searches
 * when all its connections to one target go silent.  Each of the twelve shards of
 * the next search needs a second call, and what the first searches have earned
 * pays for eight. */
static void
test_first_savings (void **state)
{
  enum
  {
    SHARDS = 12,
    LATER = 10,
  };
  (void) state;
  Searches searches = S_begin (SHARDS, 50);
  /* All connections to the target that got a call first are gone. */
  S_search (&searches, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
  S_break (&searches, SHARDS);
  assert_int_equal (searches.calls, 2 * SHARDS);
  S_answer (&searches, MR_SECOND, g_queue_get_length (searches.started));
  assert_int_equal (searches.covered, SHARDS);
  /* Still a bound: the searches after it lose their first calls, too. */
  for (guint i = 0; i < LATER; i++)
    {
      S_search (&searches, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      S_break (&searches, SHARDS);
      S_break (&searches, g_queue_get_length (searches.started));
    }
  guint extra = searches.calls - (1 + LATER) * SHARDS;
  assert_in_range (extra, SHARDS, 20 + 0.05 * (1 + LATER) * SHARDS);
  S_end (&searches);
}

/* Members who browse never get an answer: counters ask without a pause, and each
 * call that ends makes room for the next urgent one.  A batch that has waited for
 * longer than its class's lag (400 ms) goes before urgent ones that came later. */
static void
test_no_class_starves (void **state)
{
  enum
  {
    URGENT_GAP_MS = 20,
    BROWSING = 2, /* number of the batch */
  };
  (void) state;
  Searches searches = S_begin (1, 1);
  MrTime now = MR_SECOND;
  S_search (&searches, now, MR_TRAFFIC_CLASS_URGENT);
  S_search (&searches, now, MR_TRAFFIC_CLASS_URGENT);
  searches.searches = BROWSING;
  S_search (&searches, now, MR_TRAFFIC_CLASS_BROWSING);
  MrTime asked = now;
  for (now += URGENT_GAP_MS * MR_MS; searches.last != BROWSING + 1; now += URGENT_GAP_MS * MR_MS)
    {
      assert_true (now - asked < 600 * MR_MS);
      S_search (&searches, now, MR_TRAFFIC_CLASS_URGENT);
      S_answer (&searches, now, 1);
    }
  assert_true (now - asked > 400 * MR_MS); /* urgent ones did overtake until then */
  S_end (&searches);
}

/* Callers see nothing of it, operators a daemon that grows: a new map each minute
 * leaves the queues of all shards of the map before.  They are taken down once the
 * last batch that uses them has ended, and not before. */
static void
test_maps_follow (void **state)
{
  enum
  {
    MAPS = 50,
    SHARDS = 4,
  };
  (void) state;
  Searches searches = S_begin (SHARDS, 50);
  for (guint generation = 2; generation <= MAPS; generation++)
    {
      S_search (&searches, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      mr_shard_map_unref (searches.map);
      searches.map = S_two_targets (generation, SHARDS, 50);
      S_search (&searches, MR_SECOND, MR_TRAFFIC_CLASS_URGENT);
      assert_int_equal (mr_dispatch_map_count (searches.dispatch), 2);
      S_answer (&searches, MR_SECOND, 2 * SHARDS);
      assert_int_equal (searches.covered, SHARDS);
      mr_dispatch_tick (searches.dispatch, MR_SECOND);
      assert_int_equal (mr_dispatch_map_count (searches.dispatch), 1);
    }
  S_end (&searches);
}

/* All open calls break, and their targets are gone. */
static void
S_end_targets (Searches *searches, MrTime now)
{
  guint count = g_queue_get_length (searches->started);
  for (guint i = 0; i < count; i++)
    {
      g_autofree MrShardCall *call = g_queue_pop_head (searches->started);
      MrCallResult end = { .id = call->id, .outcome = MR_CALL_BROKEN };
      mr_dispatch_call_end (searches->dispatch, now, &end);
      mr_dispatch_probe_end (searches->dispatch, now, call->target->key, false);
    }
  mr_dispatch_tick (searches->dispatch, now);
}

/* Both targets take connections again. */
static void
S_revive_targets (Searches *searches, MrTime now)
{
  mr_dispatch_tick (searches->dispatch, now);
  mr_dispatch_probe_end (searches->dispatch, now, "10.0.0.1:80", true);
  mr_dispatch_probe_end (searches->dispatch, now, "10.0.0.2:80", true);
}

/* A search ends each searcher that begins it, and is asked again.  Its parts were sent to
 * the other replica at once, and to both again with each repeat; now one part goes out
 * alone, and after three ends none. */
static void
test_search_that_ends_targets (void **state)
{
  enum
  {
    SHARDS = 6,
    REPEATS = 8,
  };
  (void) state;
  Searches searches = S_begin (SHARDS, 50);
  MrTime now = MR_SECOND;
  S_search (&searches, now, MR_TRAFFIC_CLASS_URGENT);
  S_end_targets (&searches, now);
  assert_true (searches.calls <= SHARDS + 1);
  for (guint i = 0; i < REPEATS; i++)
    {
      while (!g_queue_is_empty (searches.started))
        S_end_targets (&searches, now);
      now += 3 * MR_SECOND;
      S_revive_targets (&searches, now);
      S_search (&searches, now, MR_TRAFFIC_CLASS_URGENT);
      mr_dispatch_tick (searches.dispatch, now);
    }
  assert_int_equal (mr_evidence_standing (&searches.evidence, 4), MR_STANDING_QUARANTINED);
  assert_true (searches.calls <= SHARDS + 3);
  assert_int_equal (searches.covered, 0);
  S_end (&searches);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_savings),
    cmocka_unit_test (test_search_that_ends_targets),
    cmocka_unit_test (test_no_class_starves),
    cmocka_unit_test (test_maps_follow),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
