#include "search_sim.h"

#include <math.h>

enum
{
  HITS_OF_SHARD = 2,
};

static const MrTime LEAVING_GRACE = 3 * MR_SECOND;
static const MrTime NAIVE_RETRY = 2 * MR_MS;

typedef struct _World World;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_WAKE,      /* a daemon's tick */
  EVENT_BATCH,     /* at an owner */
  EVENT_PARTIAL,   /* at a root */
  EVENT_FORGET,    /* at an owner */
  EVENT_CALL_AT,   /* a call reaches its target */
  EVENT_CALL_DONE, /* a target has served it */
  EVENT_CALL_END,  /* the end reaches the owner */
  EVENT_CANCEL_AT, /* a cancellation reaches its target */
  EVENT_PROBE_END,
  EVENT_LEAVING_LISTED,
  EVENT_SWITCH,
  EVENT_NAIVE_SEND,
} EventKind;

typedef struct _Query Query;

typedef struct
{
  guint owner;
  guint64 id; /* the owner's */
  guint target;
  guint shard;
  guint query; /* number; names the hits */
  const MrShardMap *map;
  gboolean running; /* holds a slot */
  gboolean cancelled;
  gboolean ended;
  Query *naive; /* of a naive policy */
} Call;

typedef struct
{
  MrTime at;
  guint64 order;
  EventKind kind;
  guint daemon;
  guint target;
  Call *call;
  MrCallOutcome outcome;
  MrBatch *batch;
  MrPartial *partial;
  guint64 id;
  Query *query;
  guint shard;
} Event;

typedef struct
{
  guint busy;
  MrTime renewed_at; /* connections opened before are lost while silent */
  MrWorldFault fault;
} Target;

typedef struct
{
  MrQueryHost query_host;
  MrDispatchHost dispatch_host;
  World *world;
  guint index;
  char name[16];
  MrDispatch *dispatch;
  GPtrArray *queries;   /* Query being served */
  GHashTable *by_batch; /* root's batch id -> Query */
  GHashTable *origins;  /* owner's batch id -> Origin */
  GHashTable *heard;    /* name -> MrTime* */
  GHashTable *avoided;  /* name -> MrTime* */
  guint64 last_root_batch;
  guint64 last_owner_batch;
  MrTime wake_at;
} Daemon;

typedef struct
{
  guint root;
  guint64 id;
  guint query;
} Origin;

struct _Query
{
  guint number;
  Daemon *root;
  MrQuery *query;
  MrTime arrived;
  MrTime deadline;
  MrTrafficClass traffic_class;
  MrShardMap *map;
  guint started; /* calls begun for it, at any owner */
  /* Of a naive policy. */
  MrMerge *merge;
  gboolean answered;
  guint calls;
};

struct _World
{
  const MrWorldConfig *config;
  MrWorldResult *result;
  MrTime now;
  guint64 order;
  GPtrArray *heap; /* Event, least first */
  GRand *random;
  MrShardMap *maps[2];
  guint map_now;
  MrTime old_dropped_at;
  MrDocument document;
  MrMemberList *members;
  Daemon daemons[MR_WORLD_DAEMONS_MAX];
  Target targets[MR_WORLD_TARGETS_MAX];
  GPtrArray *calls;   /* all, freed at the end */
  GPtrArray *queries; /* all, by number */
  Query *sending;
};

#define DAEMON_OF_DISPATCH(host)                                                                   \
  ((Daemon *) (void *) ((char *) (host) -offsetof (Daemon, dispatch_host)))

/* Events. */

static gboolean
S_before (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
S_push (World *w, MrTime at, Event event)
{
  Event *e = g_new (Event, 1);
  *e = event;
  e->at = MAX (at, w->now);
  e->order = ++w->order;
  g_ptr_array_add (w->heap, e);
  guint i = w->heap->len - 1;
  while (i > 0 && S_before (e, w->heap->pdata[(i - 1) / 2]))
    {
      w->heap->pdata[i] = w->heap->pdata[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->heap->pdata[i] = e;
}

static Event *
S_pop (World *w)
{
  if (w->heap->len == 0)
    return NULL;
  Event *top = w->heap->pdata[0];
  Event *last = g_ptr_array_steal_index_fast (w->heap, w->heap->len - 1);
  guint count = w->heap->len;
  guint i = 0;
  while (count > 0 && 2 * i + 1 < count)
    {
      guint child = 2 * i + 1;
      if (child + 1 < count && S_before (w->heap->pdata[child + 1], w->heap->pdata[child]))
        child++;
      if (!S_before (w->heap->pdata[child], last))
        break;
      w->heap->pdata[i] = w->heap->pdata[child];
      i = child;
    }
  if (count > 0)
    w->heap->pdata[i] = last;
  return top;
}

static gboolean
S_chance (World *w, double share)
{
  return share > 0 && g_rand_double (w->random) < share;
}

static MrTime
S_service_time (World *w, const Target *target)
{
  double u = g_rand_double_range (w->random, 1e-9, 1);
  double v = g_rand_double (w->random);
  double gauss = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double time = w->config->median * exp (w->config->sigma * gauss) * target->fault.slow_factor;
  if (S_chance (w, target->fault.slow_share))
    time *= target->fault.slow_call_factor;
  MrTime cold_until = target->fault.cold_from + target->fault.cold_for;
  if (target->fault.cold_from != MR_NEVER && w->now >= target->fault.cold_from &&
      w->now < cold_until)
    time *= 10;
  return MAX ((MrTime) time, 1);
}

/* The reference: what a shard holds for a query in a snapshot. */

static void
S_reference_hit (const MrShardMap *map, guint shard, guint query, guint i, MrHit *hit)
{
  hit->shard = shard;
  hit->score = (double) ((shard * 7919U + query * 104729U + i * 1299709U) % 1000U);
  hit->key = g_strdup_printf ("%s/%u/%u/%u", map->snapshot, shard, query, i);
  hit->data = g_strdup ("1");
}

static int
S_compare_hits (const void *a, const void *b)
{
  const MrHit *x = a;
  const MrHit *y = b;
  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return strcmp (x->key, y->key);
}

/* Naive merge of the covered shards: all hits, sorted, cut. */
static gboolean
S_matches_reference (const World *w, const Query *query, const MrMerge *merge)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (MrHit));
  for (guint shard = 0; shard < query->map->shard_count; shard++)
    for (guint i = 0; i < HITS_OF_SHARD && mr_merge_covers (merge, shard); i++)
      {
        MrHit hit = { 0 };
        S_reference_hit (query->map, shard, query->number, i, &hit);
        g_array_append_val (all, hit);
      }
  qsort (all->data, all->len, sizeof (MrHit), S_compare_hits);
  guint count = 0;
  const MrHit *hits = mr_merge_hits (merge, &count);
  gboolean same = count == MIN (all->len, w->config->top_k);
  for (guint i = 0; i < all->len; i++)
    {
      MrHit *expected = &g_array_index (all, MrHit, i);
      if (same && i < count)
        same = g_str_equal (expected->key, hits[i].key) && expected->score == hits[i].score;
      mr_hit_clear (expected);
    }
  return same;
}

static guint64
S_reference_weight (const MrShardMap *map, const MrMerge *merge)
{
  guint64 weight = 0;
  for (guint i = 0; i < map->shard_count; i++)
    if (mr_merge_covers (merge, i))
      weight += map->shards[i].weight;
  return weight;
}

/* Answers. */

static void
S_judge (World *w, Query *query, const MrQueryAnswer *answer, const MrMerge *merge)
{
  MrWorldResult *r = w->result;
  r->queries++;
  r->class_queries[query->traffic_class]++;
  if (mr_result_ran (answer->result) == MR_RAN_NO)
    {
      r->refused++;
      if (query->started > 0)
        r->ran_though_not_run++;
      return;
    }
  r->minimum_calls += query->map->shard_count;
  guint64 weight = S_reference_weight (query->map, merge);
  if (answer->covered_weight != weight ||
      (answer->result == MR_RESULT_COMPLETE) != (weight == query->map->total_weight))
    r->bad_coverage++;
  if (!S_matches_reference (w, query, merge))
    r->bad_hits++;
  if (answer->result == MR_RESULT_COMPLETE)
    {
      r->complete++;
      r->class_complete[query->traffic_class]++;
    }
  else
    r->partial++;
  r->coverage += (double) weight / (double) query->map->total_weight;
  mr_histogram_add (&r->latency, w->now - query->arrived);
  if (w->now > query->deadline)
    r->late_answers++;
}

static void
S_forget_batch (guint64 batch, const char *owner, void *user)
{
  Query *query = user;
  World *w = query->root->world;
  g_hash_table_remove (query->root->by_batch, &batch);
  guint index = query->root->index;
  MrTime hop = 0;
  for (guint i = 0; owner[0] != '\0' && i < w->config->daemons; i++)
    if (g_str_equal (w->daemons[i].name, owner))
      {
        index = i;
        hop = w->config->hop;
      }
  Event event = {
    .kind = EVENT_FORGET, .daemon = index, .target = query->root->index, .id = batch
  };
  S_push (w, w->now + hop, event);
}

static void
S_end_query (World *w, Query *query)
{
  MrQueryAnswer answer = mr_query_answer (query->query);
  S_judge (w, query, &answer, mr_query_merge (query->query));
  mr_query_foreach_open_batch (query->query, S_forget_batch, query);
  g_ptr_array_remove_fast (query->root->queries, query);
  mr_query_free (query->query);
  query->query = NULL;
}

/* A daemon as root. */

static void
S_put_time (GHashTable *table, const char *name, MrTime time)
{
  MrTime *copy = g_new (MrTime, 1);
  *copy = time;
  g_hash_table_replace (table, g_strdup (name), copy);
}

static guint64
S_next_id (MrQueryHost *host)
{
  return ++((Daemon *) host)->last_root_batch;
}

static MrTime
S_last_heard (MrQueryHost *host, const char *owner)
{
  const MrTime *heard = g_hash_table_lookup (((Daemon *) host)->heard, owner);
  return heard ? *heard : 0;
}

static void
S_owner_silent (MrQueryHost *host, const char *owner)
{
  Daemon *daemon = (Daemon *) host;
  S_put_time (daemon->avoided, owner, daemon->world->now + 2 * MR_SECOND);
}

static gint64 *
S_number (guint64 value)
{
  gint64 *copy = g_new (gint64, 1);
  *copy = (gint64) value;
  return copy;
}

static void
S_send_batch (MrQueryHost *host, MrQuery *query, const MrMember *owner, MrBatch *batch)
{
  Daemon *root = (Daemon *) host;
  World *w = root->world;
  (void) query;
  g_hash_table_insert (root->by_batch, S_number (batch->id), w->sending);
  guint index = root->index;
  MrTime hop = 0;
  for (guint i = 0; owner && i < w->config->daemons; i++)
    if (g_str_equal (w->daemons[i].name, owner->name))
      {
        index = i;
        hop = w->config->hop;
      }
  Event event = {
    .kind = EVENT_BATCH,
    .daemon = index,
    .target = root->index,
    .batch = batch,
    .query = w->sending,
  };
  S_push (w, w->now + hop, event);
}

static const char **
S_avoided (Daemon *daemon)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer until = NULL;
  g_hash_table_iter_init (&iter, daemon->avoided);
  while (g_hash_table_iter_next (&iter, &key, &until))
    if (*(MrTime *) until > daemon->world->now)
      g_ptr_array_add (names, key);
  g_ptr_array_add (names, NULL);
  return (const char **) g_ptr_array_free (names, FALSE);
}

static void
S_wake (World *w, Daemon *daemon, MrTime at)
{
  if (at == MR_NEVER || (daemon->wake_at <= at && daemon->wake_at > w->now))
    return;
  daemon->wake_at = at;
  S_push (w, at, (Event){ .kind = EVENT_WAKE, .daemon = daemon->index });
}

static void
S_tick (World *w, Daemon *daemon)
{
  MrTime next = mr_dispatch_tick (daemon->dispatch, w->now);
  for (guint i = daemon->queries->len; i > 0; i--)
    {
      Query *query = g_ptr_array_index (daemon->queries, i - 1);
      w->sending = query;
      next = MIN (next, mr_query_tick (query->query, w->now));
      w->sending = NULL;
      if (mr_query_ended (query->query))
        S_end_query (w, query);
    }
  S_wake (w, daemon, next == MR_NEVER ? MR_NEVER : MAX (next, w->now + 1));
}

/* A daemon as owner. */

static void
S_done (MrDispatchHost *host, MrPartial *partial)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  World *w = owner->world;
  Origin *origin = g_hash_table_lookup (owner->origins, &partial->batch_id);
  guint64 local = partial->batch_id;
  gboolean remote = origin->root != owner->index;
  gboolean last = partial->kind != MR_PARTIAL_IN_PROGRESS;
  partial->batch_id = origin->id;
  Event event = {
    .kind = EVENT_PARTIAL,
    .daemon = origin->root,
    .target = owner->index,
    .partial = partial,
  };
  if (remote && S_chance (w, w->config->partial_loss))
    mr_partial_free (partial);
  else
    {
      if (remote && S_chance (w, w->config->partial_double))
        {
          /* The second copy carries nothing new, under the same id. */
          Event copy = event;
          copy.partial = mr_partial_new (partial->batch_id, partial->kind);
          S_push (w, w->now + 3 * w->config->hop, copy);
        }
      S_push (w, w->now + (remote ? w->config->hop : 0), event);
    }
  if (last)
    g_hash_table_remove (owner->origins, &local);
}

static guint
S_target_index (const World *w, const MrTargetState *state)
{
  (void) w;
  return (guint) (state->port - 1);
}

static void
S_start_call (MrDispatchHost *host, const MrShardCall *start)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  World *w = owner->world;
  const Origin *origin = g_hash_table_lookup (owner->origins, &start->batch->id);
  Call *call = g_new0 (Call, 1);
  *call = (Call){
    .owner = owner->index,
    .id = start->id,
    .target = S_target_index (w, start->target),
    .shard = start->shard,
    .query = origin->query,
    .map = start->batch->map,
  };
  g_ptr_array_add (w->calls, call);
  ((Query *) g_ptr_array_index (w->queries, origin->query))->started++;
  w->result->calls++;
  const Target *target = &w->targets[call->target];
  if (target->fault.leaving_from != MR_NEVER &&
      w->now > target->fault.leaving_from + w->config->listed_lag + LEAVING_GRACE)
    w->result->late_calls_to_leaving++;
  S_push (w, w->now + w->config->wire, (Event){ .kind = EVENT_CALL_AT, .call = call });
}

static void
S_end_call (World *w, Call *call, MrCallOutcome outcome, MrTime delay)
{
  if (call->ended)
    return;
  call->ended = TRUE;
  S_push (w, w->now + delay, (Event){ .kind = EVENT_CALL_END, .call = call, .outcome = outcome });
}

static Call *
S_find_call (World *w, guint owner, guint64 id)
{
  for (guint i = w->calls->len; i > 0; i--)
    {
      Call *call = g_ptr_array_index (w->calls, i - 1);
      if (call->owner == owner && call->id == id && !call->naive)
        return call;
    }
  return NULL;
}

static void
S_cancel_call (MrDispatchHost *host, guint64 id)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  World *w = owner->world;
  Call *call = S_find_call (w, owner->index, id);
  S_push (w, w->now + w->config->wire, (Event){ .kind = EVENT_CANCEL_AT, .call = call });
}

static gboolean
S_between (MrTime now, MrTime from, MrTime until)
{
  return now >= from && now < until;
}

static void
S_probe (MrDispatchHost *host, const MrTargetState *state)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  World *w = owner->world;
  guint index = S_target_index (w, state);
  const MrWorldFault *fault = &w->targets[index].fault;
  gboolean dead = S_between (w->now, fault->dead_from, fault->dead_until);
  Event event = { .kind = EVENT_PROBE_END, .daemon = owner->index, .target = index, .id = !dead };
  S_push (w, w->now + w->config->connect + 2 * w->config->wire, event);
}

static void
S_renew (MrDispatchHost *host, const MrTargetState *state)
{
  World *w = DAEMON_OF_DISPATCH (host)->world;
  w->targets[S_target_index (w, state)].renewed_at = w->now;
}

/* Targets. */

static void
S_call_at (World *w, Call *call)
{
  Target *target = &w->targets[call->target];
  const MrWorldFault *fault = &target->fault;
  MrTime wire = w->config->wire;
  if (call->cancelled)
    return;
  if (S_between (w->now, fault->dead_from, fault->dead_until))
    S_end_call (w, call, MR_CALL_NOT_CONNECTED, wire);
  else if (S_between (w->now, fault->silent_from, fault->silent_until) &&
           target->renewed_at < fault->silent_from)
    return; /* swallowed */
  else if (w->now >= fault->leaving_from)
    S_end_call (w, call, MR_CALL_DRAINING, wire);
  else if (call->map == w->maps[0] && w->now >= w->old_dropped_at)
    S_end_call (w, call, MR_CALL_NO_SNAPSHOT, wire);
  else if (target->busy >= w->config->slots)
    {
      w->result->shed++;
      S_end_call (w, call, MR_CALL_SHED, wire);
    }
  else
    {
      call->running = TRUE;
      target->busy++;
      w->result->peak_in_flight = MAX (w->result->peak_in_flight, target->busy);
      S_push (w, w->now + S_service_time (w, target),
              (Event){ .kind = EVENT_CALL_DONE, .call = call });
    }
}

static void
S_call_done (World *w, Call *call)
{
  Target *target = &w->targets[call->target];
  if (!call->running)
    return;
  call->running = FALSE;
  target->busy--;
  gboolean dead = S_between (w->now, target->fault.dead_from, target->fault.dead_until);
  if (dead || S_chance (w, target->fault.broken))
    S_end_call (w, call, MR_CALL_BROKEN, w->config->wire);
  else
    S_end_call (w, call, MR_CALL_ANSWER, w->config->wire);
}

/* A cancellation frees the slot; the call ends as cancelled, or as silent when
 * nothing is heard of it. */
static void
S_cancel_at (World *w, Call *call)
{
  static const MrTime cancel_wait = 50 * MR_MS;
  if (call->ended)
    return;
  if (!call->running)
    {
      call->cancelled = TRUE;
      S_end_call (w, call, MR_CALL_SILENT, cancel_wait);
      return;
    }
  call->running = FALSE;
  w->targets[call->target].busy--;
  S_end_call (w, call, MR_CALL_CANCELLED, w->config->wire);
}

static void
S_fill_hits (Call *call, const MrShardMap *map, MrHit *hits)
{
  for (guint i = 0; i < HITS_OF_SHARD; i++)
    S_reference_hit (map, call->shard, call->query, i, &hits[i]);
}

static void
S_call_end (World *w, Call *call, MrCallOutcome outcome)
{
  Daemon *owner = &w->daemons[call->owner];
  const MrWorldFault *fault = &w->targets[call->target].fault;
  MrHit hits[HITS_OF_SHARD] = { 0 };
  MrCallResult end = {
    .id = call->id,
    .outcome = outcome,
    .echoed_id = call->id,
    .echoed_snapshot = mr_text (call->map->snapshot),
    .echoed_shard = mr_text (call->map->shards[call->shard].name),
  };
  Call other = *call;
  const MrShardMap *content = call->map;
  if (outcome == MR_CALL_ANSWER && S_chance (w, fault->wrong_snapshot))
    {
      content = call->map == w->maps[0] ? w->maps[1] : w->maps[0];
      end.echoed_snapshot = mr_text (content->snapshot);
    }
  if (outcome == MR_CALL_ANSWER && S_chance (w, fault->wrong_id))
    {
      /* A crossed answer: of another query, and perhaps of another shard. */
      other.query += 1;
      other.shard = (other.shard + 1) % content->shard_count;
      end.echoed_id = call->id + 1;
      end.echoed_shard = mr_text (content->shards[other.shard].name);
    }
  if (outcome == MR_CALL_ANSWER)
    {
      S_fill_hits (&other, content, hits);
      end.hits = hits;
      end.hit_count = HITS_OF_SHARD;
    }
  gboolean again = S_chance (w, fault->doubled);
  mr_dispatch_call_end (owner->dispatch, w->now, &end);
  for (guint i = 0; i < HITS_OF_SHARD; i++)
    mr_hit_clear (&hits[i]);
  if (again)
    {
      MrCallResult twice = { .id = call->id, .outcome = MR_CALL_ANSWER, .echoed_id = call->id };
      mr_dispatch_call_end (owner->dispatch, w->now, &twice);
    }
  S_tick (w, owner);
}

/* Naive policies. */

static void
S_naive_send (World *w, Query *query, guint shard, guint copies)
{
  const MrShard *s = &query->map->shards[shard];
  guint first = (guint) g_rand_int_range (w->random, 0, (gint32) s->replica_count);
  for (guint i = 0; i < copies; i++)
    {
      Call *call = g_new0 (Call, 1);
      *call = (Call){
        .target = s->replicas[(first + i) % s->replica_count],
        .shard = shard,
        .query = query->number,
        .map = query->map,
        .naive = query,
      };
      g_ptr_array_add (w->calls, call);
      query->started++;
      w->result->calls++;
      S_push (w, w->now + w->config->wire, (Event){ .kind = EVENT_CALL_AT, .call = call });
    }
}

static void
S_naive_answer (World *w, Query *query)
{
  if (query->answered)
    return;
  query->answered = TRUE;
  guint64 weight = mr_merge_covered_weight (query->merge);
  MrQueryAnswer answer = {
    .covered_weight = weight,
    .total_weight = query->map->total_weight,
    .result = weight == query->map->total_weight ? MR_RESULT_COMPLETE : MR_RESULT_PARTIAL,
  };
  S_judge (w, query, &answer, query->merge);
}

/* Every call that fails is sent again, after a short while, for as long as the
 * caller waits. */
static void
S_naive_end (World *w, Call *call, MrCallOutcome outcome)
{
  Query *query = call->naive;
  if (query->answered || mr_merge_covers (query->merge, call->shard))
    return;
  if (outcome == MR_CALL_ANSWER)
    {
      MrHit hits[HITS_OF_SHARD] = { 0 };
      S_fill_hits (call, call->map, hits);
      mr_merge_add_shard (query->merge, call->shard, hits, HITS_OF_SHARD);
      for (guint i = 0; i < HITS_OF_SHARD; i++)
        mr_hit_clear (&hits[i]);
      if (mr_merge_covered_count (query->merge) == query->map->shard_count)
        S_naive_answer (w, query);
      return;
    }
  Event event = { .kind = EVENT_NAIVE_SEND, .query = query, .shard = call->shard };
  S_push (w, w->now + NAIVE_RETRY, event);
}

static void
S_naive_begin (World *w, Query *query)
{
  query->merge = mr_merge_new (query->map, w->config->top_k);
  guint copies = w->config->policy == MR_WORLD_HEDGE_ALL ? 2 : 1;
  for (guint i = 0; i < query->map->shard_count; i++)
    S_naive_send (w, query, i, copies);
  MrTime wait =
      w->config->policy == MR_WORLD_TIMEOUT ? w->config->fixed_timeout : w->config->deadline;
  Event event = { .kind = EVENT_NAIVE_SEND, .query = query, .shard = G_MAXUINT };
  S_push (w, w->now + wait, event);
}

/* Arrivals. */

static MrTrafficClass
S_pick_class (World *w)
{
  double u = g_rand_double (w->random);
  for (int cls = 0; cls < MR_TRAFFIC_CLASS_COUNT - 1; cls++)
    {
      if (u < w->config->class_share[cls])
        return (MrTrafficClass) cls;
      u -= w->config->class_share[cls];
    }
  return MR_TRAFFIC_CLASS_BROWSING;
}

static void
S_arrive (World *w)
{
  const MrWorldConfig *c = w->config;
  Daemon *root = &w->daemons[g_rand_int_range (w->random, 0, (gint32) c->daemons)];
  Query *query = g_new0 (Query, 1);
  query->number = w->queries->len;
  query->root = root;
  query->arrived = w->now;
  query->deadline = w->now + c->deadline;
  query->traffic_class = S_pick_class (w);
  query->map = w->maps[w->map_now];
  g_ptr_array_add (w->queries, query);
  if (c->policy >= MR_WORLD_WAIT_ALL)
    {
      S_naive_begin (w, query);
      return;
    }
  g_autofree const char **avoid = S_avoided (root);
  MrQueryInfo info = {
    .map = query->map,
    .members = w->members,
    .document = &w->document,
    .self = root->name,
    .excluded_owners = avoid,
    .traffic_class = query->traffic_class,
    .text = MR_TEXT ("q"),
    .top_k = c->top_k,
    .deadline = query->deadline,
  };
  query->query = mr_query_new (&root->query_host, &info, w->now);
  g_ptr_array_add (root->queries, query);
  w->sending = query;
  mr_query_start (query->query, w->now);
  w->sending = NULL;
  S_tick (w, root);
}

static void
S_schedule_arrival (World *w)
{
  double gap = -log (g_rand_double_range (w->random, 1e-9, 1)) / w->config->rate;
  MrTime at = w->now + (MrTime) (gap * (double) MR_SECOND);
  if (at < w->config->duration)
    S_push (w, at, (Event){ .kind = EVENT_ARRIVAL });
}

/* Deliveries. */

static gboolean
S_is_deaf (const World *w, guint daemon)
{
  return daemon == w->config->dead_owner && w->now >= w->config->dead_owner_at;
}

static void
S_on_batch (World *w, const Event *event)
{
  Daemon *owner = &w->daemons[event->daemon];
  if (event->daemon != event->target && S_is_deaf (w, event->daemon))
    {
      mr_batch_free (event->batch);
      return;
    }
  Origin *origin = g_new (Origin, 1);
  *origin = (Origin){
    .root = event->target,
    .id = event->batch->id,
    .query = event->query->number,
  };
  event->batch->id = ++owner->last_owner_batch;
  g_hash_table_insert (owner->origins, S_number (event->batch->id), origin);
  mr_dispatch_submit (owner->dispatch, w->now, event->batch);
  S_tick (w, owner);
}

static void
S_on_partial (World *w, const Event *event)
{
  Daemon *root = &w->daemons[event->daemon];
  if (event->daemon != event->target)
    S_put_time (root->heard, w->daemons[event->target].name, w->now);
  guint64 id = event->partial->batch_id;
  Query *query = g_hash_table_lookup (root->by_batch, &id);
  if (!query || !query->query)
    {
      mr_partial_free (event->partial);
      return;
    }
  w->sending = query;
  mr_query_add_partial (query->query, w->now, event->partial);
  w->sending = NULL;
  if (mr_query_ended (query->query))
    S_end_query (w, query);
}

static void
S_on_forget (World *w, const Event *event)
{
  Daemon *owner = &w->daemons[event->daemon];
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, owner->origins);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Origin *origin = value;
      if (origin->root != event->target || origin->id != event->id)
        continue;
      guint64 id = *(guint64 *) key;
      mr_dispatch_abandon_batch (owner->dispatch, w->now, id);
      g_hash_table_remove (owner->origins, &id);
      break;
    }
}

static void
S_on_event (World *w, const Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      S_arrive (w);
      S_schedule_arrival (w);
      break;
    case EVENT_WAKE:
      if (event->at == w->daemons[event->daemon].wake_at)
        S_tick (w, &w->daemons[event->daemon]);
      break;
    case EVENT_BATCH:
      S_on_batch (w, event);
      break;
    case EVENT_PARTIAL:
      S_on_partial (w, event);
      break;
    case EVENT_FORGET:
      S_on_forget (w, event);
      break;
    case EVENT_CALL_AT:
      S_call_at (w, event->call);
      break;
    case EVENT_CALL_DONE:
      S_call_done (w, event->call);
      break;
    case EVENT_CALL_END:
      if (event->call->naive)
        S_naive_end (w, event->call, event->outcome);
      else
        S_call_end (w, event->call, event->outcome);
      break;
    case EVENT_CANCEL_AT:
      S_cancel_at (w, event->call);
      break;
    case EVENT_PROBE_END:
      {
        char key[32];
        g_snprintf (key, sizeof key, "10.0.0.1:%u", event->target + 1);
        mr_dispatch_probe_end (w->daemons[event->daemon].dispatch, w->now, key, event->id != 0);
        S_tick (w, &w->daemons[event->daemon]);
        break;
      }
    case EVENT_LEAVING_LISTED:
      for (guint i = 0; i < w->config->daemons; i++)
        {
          char key[32];
          g_snprintf (key, sizeof key, "10.0.0.1:%u", event->target + 1);
          mr_dispatch_set_target_leaving (w->daemons[i].dispatch, w->now, key, true);
        }
      break;
    case EVENT_SWITCH:
      w->map_now = 1;
      break;
    case EVENT_NAIVE_SEND:
      if (event->shard == G_MAXUINT)
        S_naive_answer (w, event->query);
      else if (!event->query->answered)
        S_naive_send (w, event->query, event->shard, 1);
      break;
    }
}

/* Set-up. */

static MrShardMap *
S_make_map (const MrWorldConfig *c, guint generation)
{
  GString *json = g_string_new (NULL);
  g_string_append_printf (json, "{\"snapshot\":\"s%u\",\"targets\":[", generation);
  for (guint i = 0; i < c->targets; i++)
    g_string_append_printf (json,
                            "%s{\"id\":\"t%u\",\"ip\":\"10.0.0.1\",\"port\":%u,\"domain\":\"d%u\","
                            "\"slots\":%u,\"connections\":40}",
                            i ? "," : "", i, i + 1, i % 3, c->slots);
  g_string_append (json, "],\"shards\":[");
  for (guint i = 0; i < c->shards; i++)
    {
      g_string_append_printf (json, "%s{\"name\":\"h%u\",\"weight\":%u,\"replicas\":[",
                              i ? "," : "", i, 100 + i % 7);
      /* Repartitioning: the second map places every shard elsewhere. */
      for (guint r = 0; r < c->replicas; r++)
        g_string_append_printf (json, "%s\"t%u\"", r ? "," : "",
                                (i + r + generation - 1) % MAX (c->targets, 1U));
      g_string_append (json, "]}");
    }
  g_string_append (json, "]}");
  MrShardMap *map = mr_shard_map_parse (MR_TEXT ("shop"), generation, mr_text_of (json));
  g_string_free (json, TRUE);
  return map;
}

static void
S_make_daemon (World *w, guint index)
{
  Daemon *daemon = &w->daemons[index];
  daemon->query_host = (MrQueryHost){
    .send_batch = S_send_batch,
    .next_batch_id = S_next_id,
    .last_heard = S_last_heard,
    .owner_silent = S_owner_silent,
  };
  daemon->dispatch_host = (MrDispatchHost){
    .start_call = S_start_call,
    .cancel_call = S_cancel_call,
    .probe = S_probe,
    .reconnect = S_renew,
    .deliver_partial = S_done,
  };
  daemon->world = w;
  daemon->index = index;
  g_snprintf (daemon->name, sizeof daemon->name, "d%u", index);
  MrDispatchInfo info = { .seed = w->config->seed + index };
  daemon->dispatch = mr_dispatch_new (&daemon->dispatch_host, &info);
  daemon->queries = g_ptr_array_new ();
  daemon->by_batch = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  daemon->origins = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  daemon->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  daemon->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
S_make_members (World *w)
{
  MrMember members[MR_WORLD_DAEMONS_MAX] = { 0 };
  for (guint i = 0; i < w->config->daemons; i++)
    {
      g_snprintf (members[i].name, sizeof members[i].name, "d%u", i);
      g_snprintf (members[i].domain, sizeof members[i].domain, "d%u", i % 3);
    }
  w->members = mr_member_list_new (members, w->config->daemons);
}

static void
S_make_document (World *w)
{
  const MrWorldConfig *c = w->config;
  mr_document_parse (MR_TEXT ("shop"), MR_TEXT ("{\"service\":\"shop\"}"), &w->document);
  w->document.cell_shards = c->cell_shards;
  w->document.extra_calls = c->extra_calls;
  w->document.direct = c->policy != MR_WORLD_OWNERS;
  if (c->policy == MR_WORLD_SHARE)
    w->document.target_limit = MAX (c->daemons > 0 ? c->slots / c->daemons : 1, 1);
}

static void
S_start (World *w)
{
  const MrWorldConfig *c = w->config;
  w->maps[0] = S_make_map (c, 1);
  w->maps[1] = S_make_map (c, 2);
  w->old_dropped_at = c->switch_at == MR_NEVER ? MR_NEVER : c->switch_at + c->drop_old_after;
  S_make_document (w);
  S_make_members (w);
  for (guint i = 0; i < c->daemons; i++)
    S_make_daemon (w, i);
  for (guint i = 0; i < c->targets; i++)
    {
      w->targets[i].fault = c->faults[i];
      if (c->faults[i].leaving_from != MR_NEVER)
        S_push (w, c->faults[i].leaving_from + c->listed_lag,
                (Event){ .kind = EVENT_LEAVING_LISTED, .target = i });
    }
  if (c->switch_at != MR_NEVER)
    S_push (w, c->switch_at, (Event){ .kind = EVENT_SWITCH });
  S_schedule_arrival (w);
}

static void
S_clear (World *w)
{
  for (Event *event = S_pop (w); event; event = S_pop (w))
    {
      mr_batch_free (event->batch);
      mr_partial_free (event->partial);
      g_free (event);
    }
  for (guint i = 0; i < w->config->daemons; i++)
    {
      Daemon *daemon = &w->daemons[i];
      mr_dispatch_free (daemon->dispatch);
      g_ptr_array_unref (daemon->queries);
      g_hash_table_unref (daemon->by_batch);
      g_hash_table_unref (daemon->origins);
      g_hash_table_unref (daemon->heard);
      g_hash_table_unref (daemon->avoided);
    }
  for (guint i = 0; i < w->queries->len; i++)
    {
      Query *query = g_ptr_array_index (w->queries, i);
      mr_query_free (query->query);
      mr_merge_free (query->merge);
      g_free (query);
    }
  for (guint i = 0; i < w->calls->len; i++)
    g_free (g_ptr_array_index (w->calls, i));
  g_ptr_array_unref (w->queries);
  g_ptr_array_unref (w->calls);
  g_ptr_array_unref (w->heap);
  mr_member_list_unref (w->members);
  mr_shard_map_unref (w->maps[0]);
  mr_shard_map_unref (w->maps[1]);
  g_rand_free (w->random);
  g_free (w);
}

void
mr_world_run (const MrWorldConfig *config, MrWorldResult *result)
{
  *result = (MrWorldResult){ 0 };
  World *w = g_new0 (World, 1);
  w->config = config;
  w->result = result;
  w->heap = g_ptr_array_new ();
  w->random = g_rand_new_with_seed (config->seed);
  w->calls = g_ptr_array_new ();
  w->queries = g_ptr_array_new ();
  S_start (w);
  /* Past the last arrival every query ends within its deadline. */
  MrTime end = config->duration + config->deadline + MR_SECOND;
  for (Event *event = S_pop (w); event; event = S_pop (w))
    {
      if (event->at > end)
        {
          mr_batch_free (event->batch);
          mr_partial_free (event->partial);
          g_free (event);
          break;
        }
      w->now = event->at;
      S_on_event (w, event);
      g_free (event);
    }
  S_clear (w);
}

static MrWorldConfig
S_defaults (void)
{
  MrWorldConfig config = {
    .seed = 1,
    .policy = MR_WORLD_OWNERS,
    .daemons = 7,
    .hop = 750,
    .wire = 750,
    .connect = 6 * MR_MS,
    .median = 2000,
    .sigma = 0.5,
    .duration = 6 * MR_SECOND,
    .deadline = 150 * MR_MS,
    .fixed_timeout = 50 * MR_MS,
    .class_share = { 0.2, 0.6, 0.2 },
    .extra_calls = 0.05,
    .top_k = 10,
    .cell_shards = 200,
    .switch_at = MR_NEVER,
    .listed_lag = 500 * MR_MS,
    .dead_owner = MR_WORLD_DAEMONS_MAX,
  };
  for (guint i = 0; i < MR_WORLD_TARGETS_MAX; i++)
    config.faults[i] = (MrWorldFault){
      .slow_factor = 1,
      .slow_call_factor = 1,
      .dead_from = MR_NEVER,
      .dead_until = MR_NEVER,
      .silent_from = MR_NEVER,
      .silent_until = MR_NEVER,
      .leaving_from = MR_NEVER,
      .cold_from = MR_NEVER,
    };
  return config;
}

MrWorldConfig
mr_world_today (void)
{
  MrWorldConfig config = S_defaults ();
  config.targets = 3;
  config.slots = 5;
  config.shards = 12;
  config.replicas = 2;
  config.rate = 200;
  return config;
}

MrWorldConfig
mr_world_wide (void)
{
  MrWorldConfig config = S_defaults ();
  config.targets = 300;
  config.slots = 5;
  config.shards = 300;
  config.replicas = 2;
  config.rate = 200;
  config.duration = MR_SECOND;
  return config;
}
