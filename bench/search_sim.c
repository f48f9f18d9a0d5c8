#include "search_sim.h"

#include <math.h>

enum
{
  HITS_PER_SHARD = 2,
};

static const MrTime LEAVING_GRACE = 3 * MR_SECOND;
static const MrTime NAIVE_RETRY_DELAY = 2 * MR_MS;

typedef struct _SearchSim SearchSim;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_TICK,           /* of a daemon */
  EVENT_BATCH,          /* arrives at an owner */
  EVENT_PARTIAL,        /* arrives at a root */
  EVENT_CANCEL_BATCH,   /* arrives at an owner */
  EVENT_CALL_ARRIVES,   /* at its target */
  EVENT_CALL_SERVED,    /* by its target */
  EVENT_CALL_END,       /* the result arrives at the owner */
  EVENT_CANCEL_ARRIVES, /* at the target of the call */
  EVENT_PROBE_END,
  EVENT_LEAVING_LISTED,
  EVENT_SNAPSHOT_SWITCH,
  EVENT_NAIVE_SEND,
} EventKind;

typedef struct _Query Query;

typedef struct
{
  guint owner;
  guint64 id; /* assigned by the owner */
  guint target;
  guint shard;
  guint query; /* its number, which is part of the keys of the hits */
  const MrShardMap *map;
  gboolean running; /* occupies a slot of the target */
  gboolean cancelled;
  gboolean ended;
  Query *naive_query; /* NULL unless the policy is a naive one */
} Call;

typedef struct
{
  MrTime at;
  guint64 sequence;
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
  guint busy_slots;
  MrTime reconnected_at; /* earlier connections get no answers during the silence */
  MrSearchSimFault fault;
} Target;

typedef struct
{
  MrQueryHost query_host;
  MrDispatchHost dispatch_host;
  SearchSim *sim;
  guint index;
  char name[16];
  MrDispatch *dispatch;
  GPtrArray *queries;          /* open Query */
  GHashTable *by_batch;        /* root's batch id -> Query */
  GHashTable *origins;         /* owner's batch id -> Origin */
  GHashTable *last_heard;      /* name -> MrTime* */
  GHashTable *excluded_owners; /* name -> MrTime*, end of the exclusion */
  guint64 last_root_batch;
  guint64 last_owner_batch;
  MrTime next_tick_at;
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
  MrTime arrived_at;
  MrTime deadline;
  MrTrafficClass traffic_class;
  MrShardMap *map;
  guint started_calls; /* calls that were sent for it by any owner */
  /* Only used by naive policies. */
  MrMerge *merge;
  gboolean answered;
  guint calls;
};

struct _SearchSim
{
  const MrSearchSimConfig *config;
  MrSearchSimResult *result;
  MrTime now;
  guint64 sequence;
  GPtrArray *heap; /* Event; binary heap with the earliest first */
  GRand *random;
  MrShardMap *maps[2];
  guint current_map;
  MrTime old_snapshot_dropped_at;
  MrDocument document;
  MrMemberList *members;
  Daemon daemons[MR_SEARCH_SIM_DAEMONS_MAX];
  Target targets[MR_SEARCH_SIM_TARGETS_MAX];
  GPtrArray *calls;   /* all Call; freed at the end */
  GPtrArray *queries; /* all Query, indexed by number */
  Query *sending_query;
};

#define DAEMON_OF_DISPATCH(host)                                                                   \
  ((Daemon *) (void *) ((char *) (host) -offsetof (Daemon, dispatch_host)))

/* Events. */

static gboolean
S_is_before (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
S_push (SearchSim *sim, MrTime at, Event event)
{
  Event *e = g_new (Event, 1);
  *e = event;
  e->at = MAX (at, sim->now);
  e->sequence = ++sim->sequence;
  g_ptr_array_add (sim->heap, e);
  guint i = sim->heap->len - 1;
  while (i > 0 && S_is_before (e, sim->heap->pdata[(i - 1) / 2]))
    {
      sim->heap->pdata[i] = sim->heap->pdata[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap->pdata[i] = e;
}

static Event *
S_pop (SearchSim *sim)
{
  if (sim->heap->len == 0)
    return NULL;
  Event *top = sim->heap->pdata[0];
  Event *last = g_ptr_array_steal_index_fast (sim->heap, sim->heap->len - 1);
  guint count = sim->heap->len;
  guint i = 0;
  while (count > 0 && 2 * i + 1 < count)
    {
      guint child = 2 * i + 1;
      if (child + 1 < count && S_is_before (sim->heap->pdata[child + 1], sim->heap->pdata[child]))
        child++;
      if (!S_is_before (sim->heap->pdata[child], last))
        break;
      sim->heap->pdata[i] = sim->heap->pdata[child];
      i = child;
    }
  if (count > 0)
    sim->heap->pdata[i] = last;
  return top;
}

static gboolean
S_random_event (SearchSim *sim, double share)
{
  return share > 0 && g_rand_double (sim->random) < share;
}

static MrTime
S_service_time (SearchSim *sim, const Target *target)
{
  double u = g_rand_double_range (sim->random, 1e-9, 1);
  double v = g_rand_double (sim->random);
  double gauss = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double time = sim->config->service_time_median * exp (sim->config->service_time_sigma * gauss) *
                target->fault.slow_factor;
  if (S_random_event (sim, target->fault.slow_share))
    time *= target->fault.slow_call_factor;
  MrTime cold_until = target->fault.cold_from + target->fault.cold_for;
  if (target->fault.cold_from != MR_NEVER && sim->now >= target->fault.cold_from &&
      sim->now < cold_until)
    time *= 10;
  return MAX ((MrTime) time, 1);
}

/* Reference results: the hits of a shard for a query in a snapshot. */

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

/* Compares with a simple merge of the covered shards: all hits, sorted and truncated. */
static gboolean
S_matches_reference (const SearchSim *sim, const Query *query, const MrMerge *merge)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (MrHit));
  for (guint shard = 0; shard < query->map->shard_count; shard++)
    for (guint i = 0; i < HITS_PER_SHARD && mr_merge_covers (merge, shard); i++)
      {
        MrHit hit = { 0 };
        S_reference_hit (query->map, shard, query->number, i, &hit);
        g_array_append_val (all, hit);
      }
  qsort (all->data, all->len, sizeof (MrHit), S_compare_hits);
  guint count = 0;
  const MrHit *hits = mr_merge_hits (merge, &count);
  gboolean same = count == MIN (all->len, sim->config->top_k);
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
S_check_answer (SearchSim *sim, Query *query, const MrQueryAnswer *answer, const MrMerge *merge)
{
  MrSearchSimResult *r = sim->result;
  r->queries++;
  r->class_queries[query->traffic_class]++;
  if (mr_result_ran (answer->result) == MR_RAN_NO)
    {
      r->refused++;
      if (query->started_calls > 0)
        r->calls_despite_not_run++;
      return;
    }
  r->minimum_calls += query->map->shard_count;
  guint64 weight = S_reference_weight (query->map, merge);
  if (answer->covered_weight != weight ||
      (answer->result == MR_RESULT_COMPLETE) != (weight == query->map->total_weight))
    r->bad_coverage++;
  if (!S_matches_reference (sim, query, merge))
    r->bad_hits++;
  if (answer->result == MR_RESULT_COMPLETE)
    {
      r->complete++;
      r->class_complete[query->traffic_class]++;
    }
  else
    r->partial++;
  r->coverage += (double) weight / (double) query->map->total_weight;
  mr_histogram_add (&r->latency, sim->now - query->arrived_at);
  if (sim->now > query->deadline)
    r->late_answers++;
}

static void
S_cancel_batch (guint64 batch, const char *owner, void *user)
{
  Query *query = user;
  SearchSim *sim = query->root->sim;
  g_hash_table_remove (query->root->by_batch, &batch);
  guint index = query->root->index;
  MrTime peer_delay = 0;
  for (guint i = 0; owner[0] != '\0' && i < sim->config->daemons; i++)
    if (g_str_equal (sim->daemons[i].name, owner))
      {
        index = i;
        peer_delay = sim->config->peer_delay;
      }
  Event event = {
    .kind = EVENT_CANCEL_BATCH, .daemon = index, .target = query->root->index, .id = batch
  };
  S_push (sim, sim->now + peer_delay, event);
}

static void
S_end_query (SearchSim *sim, Query *query)
{
  MrQueryAnswer answer = mr_query_answer (query->query);
  S_check_answer (sim, query, &answer, mr_query_merge (query->query));
  mr_query_foreach_open_batch (query->query, S_cancel_batch, query);
  g_ptr_array_remove_fast (query->root->queries, query);
  mr_query_free (query->query);
  query->query = NULL;
}

/* A daemon as root. */

static void
S_set_time (GHashTable *table, const char *name, MrTime time)
{
  MrTime *copy = g_new (MrTime, 1);
  *copy = time;
  g_hash_table_replace (table, g_strdup (name), copy);
}

static guint64
S_next_batch_id (MrQueryHost *host)
{
  return ++((Daemon *) host)->last_root_batch;
}

static MrTime
S_last_heard (MrQueryHost *host, const char *owner)
{
  const MrTime *last_heard = g_hash_table_lookup (((Daemon *) host)->last_heard, owner);
  return last_heard ? *last_heard : 0;
}

static void
S_owner_silent (MrQueryHost *host, const char *owner)
{
  Daemon *daemon = (Daemon *) host;
  S_set_time (daemon->excluded_owners, owner, daemon->sim->now + 2 * MR_SECOND);
}

static gint64 *
S_dup_int64 (guint64 value)
{
  gint64 *copy = g_new (gint64, 1);
  *copy = (gint64) value;
  return copy;
}

static void
S_send_batch (MrQueryHost *host, MrQuery *query, const MrMember *owner, MrBatch *batch)
{
  Daemon *root = (Daemon *) host;
  SearchSim *sim = root->sim;
  (void) query;
  g_hash_table_insert (root->by_batch, S_dup_int64 (batch->id), sim->sending_query);
  guint index = root->index;
  MrTime peer_delay = 0;
  for (guint i = 0; owner && i < sim->config->daemons; i++)
    if (g_str_equal (sim->daemons[i].name, owner->name))
      {
        index = i;
        peer_delay = sim->config->peer_delay;
      }
  Event event = {
    .kind = EVENT_BATCH,
    .daemon = index,
    .target = root->index,
    .batch = batch,
    .query = sim->sending_query,
  };
  S_push (sim, sim->now + peer_delay, event);
}

static const char **
S_excluded_owners (Daemon *daemon)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer until = NULL;
  g_hash_table_iter_init (&iter, daemon->excluded_owners);
  while (g_hash_table_iter_next (&iter, &key, &until))
    if (*(MrTime *) until > daemon->sim->now)
      g_ptr_array_add (names, key);
  g_ptr_array_add (names, NULL);
  return (const char **) g_ptr_array_free (names, FALSE);
}

static void
S_schedule_tick (SearchSim *sim, Daemon *daemon, MrTime at)
{
  if (at == MR_NEVER || (daemon->next_tick_at <= at && daemon->next_tick_at > sim->now))
    return;
  daemon->next_tick_at = at;
  S_push (sim, at, (Event){ .kind = EVENT_TICK, .daemon = daemon->index });
}

static void
S_tick (SearchSim *sim, Daemon *daemon)
{
  MrTime next = mr_dispatch_tick (daemon->dispatch, sim->now);
  for (guint i = daemon->queries->len; i > 0; i--)
    {
      Query *query = g_ptr_array_index (daemon->queries, i - 1);
      sim->sending_query = query;
      next = MIN (next, mr_query_tick (query->query, sim->now));
      sim->sending_query = NULL;
      if (mr_query_ended (query->query))
        S_end_query (sim, query);
    }
  S_schedule_tick (sim, daemon, next == MR_NEVER ? MR_NEVER : MAX (next, sim->now + 1));
}

/* A daemon as owner. */

static void
S_deliver_partial (MrDispatchHost *host, MrPartial *partial)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  SearchSim *sim = owner->sim;
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
  if (remote && S_random_event (sim, sim->config->partial_loss_share))
    mr_partial_free (partial);
  else
    {
      if (remote && S_random_event (sim, sim->config->partial_duplicate_share))
        {
          /* The duplicate has the same batch id, and no content. */
          Event copy = event;
          copy.partial = mr_partial_new (partial->batch_id, partial->kind);
          S_push (sim, sim->now + 3 * sim->config->peer_delay, copy);
        }
      S_push (sim, sim->now + (remote ? sim->config->peer_delay : 0), event);
    }
  if (last)
    g_hash_table_remove (owner->origins, &local);
}

static guint
S_target_index (const SearchSim *sim, const MrTargetState *state)
{
  (void) sim;
  return (guint) (state->port - 1);
}

static void
S_start_call (MrDispatchHost *host, const MrShardCall *start)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  SearchSim *sim = owner->sim;
  const Origin *origin = g_hash_table_lookup (owner->origins, &start->batch->id);
  Call *call = g_new0 (Call, 1);
  *call = (Call){
    .owner = owner->index,
    .id = start->id,
    .target = S_target_index (sim, start->target),
    .shard = start->shard,
    .query = origin->query,
    .map = start->batch->map,
  };
  g_ptr_array_add (sim->calls, call);
  ((Query *) g_ptr_array_index (sim->queries, origin->query))->started_calls++;
  sim->result->calls++;
  const Target *target = &sim->targets[call->target];
  if (target->fault.leaving_from != MR_NEVER &&
      sim->now > target->fault.leaving_from + sim->config->leaving_listed_delay + LEAVING_GRACE)
    sim->result->late_calls_to_leaving++;
  S_push (sim, sim->now + sim->config->target_delay,
          (Event){ .kind = EVENT_CALL_ARRIVES, .call = call });
}

static void
S_end_call (SearchSim *sim, Call *call, MrCallOutcome outcome, MrTime delay)
{
  if (call->ended)
    return;
  call->ended = TRUE;
  S_push (sim, sim->now + delay,
          (Event){ .kind = EVENT_CALL_END, .call = call, .outcome = outcome });
}

static Call *
S_find_call (SearchSim *sim, guint owner, guint64 id)
{
  for (guint i = sim->calls->len; i > 0; i--)
    {
      Call *call = g_ptr_array_index (sim->calls, i - 1);
      if (call->owner == owner && call->id == id && !call->naive_query)
        return call;
    }
  return NULL;
}

static void
S_cancel_call (MrDispatchHost *host, guint64 id)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  SearchSim *sim = owner->sim;
  Call *call = S_find_call (sim, owner->index, id);
  S_push (sim, sim->now + sim->config->target_delay,
          (Event){ .kind = EVENT_CANCEL_ARRIVES, .call = call });
}

static gboolean
S_is_within (MrTime now, MrTime from, MrTime until)
{
  return now >= from && now < until;
}

static void
S_probe (MrDispatchHost *host, const MrTargetState *state)
{
  Daemon *owner = DAEMON_OF_DISPATCH (host);
  SearchSim *sim = owner->sim;
  guint index = S_target_index (sim, state);
  const MrSearchSimFault *fault = &sim->targets[index].fault;
  gboolean down = S_is_within (sim->now, fault->down_from, fault->down_until);
  Event event = { .kind = EVENT_PROBE_END, .daemon = owner->index, .target = index, .id = !down };
  S_push (sim, sim->now + sim->config->connect_time + 2 * sim->config->target_delay, event);
}

static void
S_reconnect (MrDispatchHost *host, const MrTargetState *state)
{
  SearchSim *sim = DAEMON_OF_DISPATCH (host)->sim;
  sim->targets[S_target_index (sim, state)].reconnected_at = sim->now;
}

/* Targets. */

static void
S_on_call_arrival (SearchSim *sim, Call *call)
{
  Target *target = &sim->targets[call->target];
  const MrSearchSimFault *fault = &target->fault;
  MrTime target_delay = sim->config->target_delay;
  if (call->cancelled)
    return;
  if (S_is_within (sim->now, fault->down_from, fault->down_until))
    S_end_call (sim, call, MR_CALL_NOT_CONNECTED, target_delay);
  else if (S_is_within (sim->now, fault->silent_from, fault->silent_until) &&
           target->reconnected_at < fault->silent_from)
    return; /* the request is lost */
  else if (sim->now >= fault->leaving_from)
    S_end_call (sim, call, MR_CALL_DRAINING, target_delay);
  else if (call->map == sim->maps[0] && sim->now >= sim->old_snapshot_dropped_at)
    S_end_call (sim, call, MR_CALL_NO_SNAPSHOT, target_delay);
  else if (target->busy_slots >= sim->config->slots)
    {
      sim->result->shed++;
      S_end_call (sim, call, MR_CALL_SHED, target_delay);
    }
  else
    {
      call->running = TRUE;
      target->busy_slots++;
      sim->result->peak_in_flight = MAX (sim->result->peak_in_flight, target->busy_slots);
      S_push (sim, sim->now + S_service_time (sim, target),
              (Event){ .kind = EVENT_CALL_SERVED, .call = call });
    }
}

static void
S_on_call_served (SearchSim *sim, Call *call)
{
  Target *target = &sim->targets[call->target];
  if (!call->running)
    return;
  call->running = FALSE;
  target->busy_slots--;
  gboolean down = S_is_within (sim->now, target->fault.down_from, target->fault.down_until);
  if (down || S_random_event (sim, target->fault.broken_share))
    S_end_call (sim, call, MR_CALL_BROKEN, sim->config->target_delay);
  else
    S_end_call (sim, call, MR_CALL_ANSWER, sim->config->target_delay);
}

/* Cancelling a running call frees its slot.  A call that is not running ends as silent, since its
 * target does not confirm the cancellation. */
static void
S_on_cancel_arrival (SearchSim *sim, Call *call)
{
  static const MrTime cancel_wait = 50 * MR_MS;
  if (call->ended)
    return;
  if (!call->running)
    {
      call->cancelled = TRUE;
      S_end_call (sim, call, MR_CALL_SILENT, cancel_wait);
      return;
    }
  call->running = FALSE;
  sim->targets[call->target].busy_slots--;
  S_end_call (sim, call, MR_CALL_CANCELLED, sim->config->target_delay);
}

static void
S_fill_hits (Call *call, const MrShardMap *map, MrHit *hits)
{
  for (guint i = 0; i < HITS_PER_SHARD; i++)
    S_reference_hit (map, call->shard, call->query, i, &hits[i]);
}

static void
S_on_call_end (SearchSim *sim, Call *call, MrCallOutcome outcome)
{
  Daemon *owner = &sim->daemons[call->owner];
  const MrSearchSimFault *fault = &sim->targets[call->target].fault;
  MrHit hits[HITS_PER_SHARD] = { 0 };
  MrCallResult result = {
    .id = call->id,
    .outcome = outcome,
    .echoed_id = call->id,
    .echoed_snapshot = mr_text (call->map->snapshot),
    .echoed_shard = mr_text (call->map->shards[call->shard].name),
  };
  Call answered_call = *call;
  const MrShardMap *answered_map = call->map;
  if (outcome == MR_CALL_ANSWER && S_random_event (sim, fault->wrong_snapshot_share))
    {
      answered_map = call->map == sim->maps[0] ? sim->maps[1] : sim->maps[0];
      result.echoed_snapshot = mr_text (answered_map->snapshot);
    }
  if (outcome == MR_CALL_ANSWER && S_random_event (sim, fault->wrong_id_share))
    {
      /* A misrouted answer, which belongs to another query and possibly another shard. */
      answered_call.query += 1;
      answered_call.shard = (answered_call.shard + 1) % answered_map->shard_count;
      result.echoed_id = call->id + 1;
      result.echoed_shard = mr_text (answered_map->shards[answered_call.shard].name);
    }
  if (outcome == MR_CALL_ANSWER)
    {
      S_fill_hits (&answered_call, answered_map, hits);
      result.hits = hits;
      result.hit_count = HITS_PER_SHARD;
    }
  gboolean duplicate = S_random_event (sim, fault->duplicate_share);
  mr_dispatch_call_end (owner->dispatch, sim->now, &result);
  for (guint i = 0; i < HITS_PER_SHARD; i++)
    mr_hit_clear (&hits[i]);
  if (duplicate)
    {
      MrCallResult duplicate_result = { .id = call->id,
                                        .outcome = MR_CALL_ANSWER,
                                        .echoed_id = call->id };
      mr_dispatch_call_end (owner->dispatch, sim->now, &duplicate_result);
    }
  S_tick (sim, owner);
}

/* Naive policies. */

static void
S_naive_send (SearchSim *sim, Query *query, guint shard, guint copies)
{
  const MrShard *s = &query->map->shards[shard];
  guint first = (guint) g_rand_int_range (sim->random, 0, (gint32) s->replica_count);
  for (guint i = 0; i < copies; i++)
    {
      Call *call = g_new0 (Call, 1);
      *call = (Call){
        .target = s->replicas[(first + i) % s->replica_count],
        .shard = shard,
        .query = query->number,
        .map = query->map,
        .naive_query = query,
      };
      g_ptr_array_add (sim->calls, call);
      query->started_calls++;
      sim->result->calls++;
      S_push (sim, sim->now + sim->config->target_delay,
              (Event){ .kind = EVENT_CALL_ARRIVES, .call = call });
    }
}

static void
S_naive_answer (SearchSim *sim, Query *query)
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
  S_check_answer (sim, query, &answer, query->merge);
}

/* Naive policies retry each failed call after a short delay until the caller gets its answer. */
static void
S_naive_end (SearchSim *sim, Call *call, MrCallOutcome outcome)
{
  Query *query = call->naive_query;
  if (query->answered || mr_merge_covers (query->merge, call->shard))
    return;
  if (outcome == MR_CALL_ANSWER)
    {
      MrHit hits[HITS_PER_SHARD] = { 0 };
      S_fill_hits (call, call->map, hits);
      mr_merge_add_shard (query->merge, call->shard, hits, HITS_PER_SHARD);
      for (guint i = 0; i < HITS_PER_SHARD; i++)
        mr_hit_clear (&hits[i]);
      if (mr_merge_covered_count (query->merge) == query->map->shard_count)
        S_naive_answer (sim, query);
      return;
    }
  Event event = { .kind = EVENT_NAIVE_SEND, .query = query, .shard = call->shard };
  S_push (sim, sim->now + NAIVE_RETRY_DELAY, event);
}

static void
S_naive_begin (SearchSim *sim, Query *query)
{
  query->merge = mr_merge_new (query->map, sim->config->top_k);
  guint copies = sim->config->policy == MR_SEARCH_SIM_HEDGE_ALL ? 2 : 1;
  for (guint i = 0; i < query->map->shard_count; i++)
    S_naive_send (sim, query, i, copies);
  MrTime wait = sim->config->policy == MR_SEARCH_SIM_TIMEOUT ? sim->config->fixed_timeout
                                                             : sim->config->deadline;
  Event event = { .kind = EVENT_NAIVE_SEND, .query = query, .shard = G_MAXUINT };
  S_push (sim, sim->now + wait, event);
}

/* Arrivals. */

static MrTrafficClass
S_pick_class (SearchSim *sim)
{
  double u = g_rand_double (sim->random);
  for (int cls = 0; cls < MR_TRAFFIC_CLASS_COUNT - 1; cls++)
    {
      if (u < sim->config->class_share[cls])
        return (MrTrafficClass) cls;
      u -= sim->config->class_share[cls];
    }
  return MR_TRAFFIC_CLASS_BROWSING;
}

static void
S_start_query (SearchSim *sim)
{
  const MrSearchSimConfig *c = sim->config;
  Daemon *root = &sim->daemons[g_rand_int_range (sim->random, 0, (gint32) c->daemons)];
  Query *query = g_new0 (Query, 1);
  query->number = sim->queries->len;
  query->root = root;
  query->arrived_at = sim->now;
  query->deadline = sim->now + c->deadline;
  query->traffic_class = S_pick_class (sim);
  query->map = sim->maps[sim->current_map];
  g_ptr_array_add (sim->queries, query);
  if (c->policy >= MR_SEARCH_SIM_WAIT_ALL)
    {
      S_naive_begin (sim, query);
      return;
    }
  g_autofree const char **excluded = S_excluded_owners (root);
  MrQueryInfo info = {
    .map = query->map,
    .members = sim->members,
    .document = &sim->document,
    .self = root->name,
    .excluded_owners = excluded,
    .traffic_class = query->traffic_class,
    .text = MR_TEXT ("q"),
    .top_k = c->top_k,
    .deadline = query->deadline,
  };
  query->query = mr_query_new (&root->query_host, &info, sim->now);
  g_ptr_array_add (root->queries, query);
  sim->sending_query = query;
  mr_query_start (query->query, sim->now);
  sim->sending_query = NULL;
  S_tick (sim, root);
}

static void
S_schedule_arrival (SearchSim *sim)
{
  double gap = -log (g_rand_double_range (sim->random, 1e-9, 1)) / sim->config->rate;
  MrTime at = sim->now + (MrTime) (gap * (double) MR_SECOND);
  if (at < sim->config->duration)
    S_push (sim, at, (Event){ .kind = EVENT_ARRIVAL });
}

/* Deliveries. */

static gboolean
S_is_unreachable (const SearchSim *sim, guint daemon)
{
  return daemon == sim->config->unreachable_daemon && sim->now >= sim->config->unreachable_from;
}

static void
S_on_batch (SearchSim *sim, const Event *event)
{
  Daemon *owner = &sim->daemons[event->daemon];
  if (event->daemon != event->target && S_is_unreachable (sim, event->daemon))
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
  g_hash_table_insert (owner->origins, S_dup_int64 (event->batch->id), origin);
  mr_dispatch_submit (owner->dispatch, sim->now, event->batch);
  S_tick (sim, owner);
}

static void
S_on_partial (SearchSim *sim, const Event *event)
{
  Daemon *root = &sim->daemons[event->daemon];
  if (event->daemon != event->target)
    S_set_time (root->last_heard, sim->daemons[event->target].name, sim->now);
  guint64 id = event->partial->batch_id;
  Query *query = g_hash_table_lookup (root->by_batch, &id);
  if (!query || !query->query)
    {
      mr_partial_free (event->partial);
      return;
    }
  sim->sending_query = query;
  mr_query_add_partial (query->query, sim->now, event->partial);
  sim->sending_query = NULL;
  if (mr_query_ended (query->query))
    S_end_query (sim, query);
}

static void
S_on_cancel_batch (SearchSim *sim, const Event *event)
{
  Daemon *owner = &sim->daemons[event->daemon];
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
      mr_dispatch_abandon_batch (owner->dispatch, sim->now, id);
      g_hash_table_remove (owner->origins, &id);
      break;
    }
}

static void
S_on_event (SearchSim *sim, const Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      S_start_query (sim);
      S_schedule_arrival (sim);
      break;
    case EVENT_TICK:
      if (event->at == sim->daemons[event->daemon].next_tick_at)
        S_tick (sim, &sim->daemons[event->daemon]);
      break;
    case EVENT_BATCH:
      S_on_batch (sim, event);
      break;
    case EVENT_PARTIAL:
      S_on_partial (sim, event);
      break;
    case EVENT_CANCEL_BATCH:
      S_on_cancel_batch (sim, event);
      break;
    case EVENT_CALL_ARRIVES:
      S_on_call_arrival (sim, event->call);
      break;
    case EVENT_CALL_SERVED:
      S_on_call_served (sim, event->call);
      break;
    case EVENT_CALL_END:
      if (event->call->naive_query)
        S_naive_end (sim, event->call, event->outcome);
      else
        S_on_call_end (sim, event->call, event->outcome);
      break;
    case EVENT_CANCEL_ARRIVES:
      S_on_cancel_arrival (sim, event->call);
      break;
    case EVENT_PROBE_END:
      {
        char key[32];
        g_snprintf (key, sizeof key, "10.0.0.1:%u", event->target + 1);
        mr_dispatch_probe_end (sim->daemons[event->daemon].dispatch, sim->now, key, event->id != 0);
        S_tick (sim, &sim->daemons[event->daemon]);
        break;
      }
    case EVENT_LEAVING_LISTED:
      for (guint i = 0; i < sim->config->daemons; i++)
        {
          char key[32];
          g_snprintf (key, sizeof key, "10.0.0.1:%u", event->target + 1);
          mr_dispatch_set_target_leaving (sim->daemons[i].dispatch, sim->now, key, true);
        }
      break;
    case EVENT_SNAPSHOT_SWITCH:
      sim->current_map = 1;
      break;
    case EVENT_NAIVE_SEND:
      if (event->shard == G_MAXUINT)
        S_naive_answer (sim, event->query);
      else if (!event->query->answered)
        S_naive_send (sim, event->query, event->shard, 1);
      break;
    }
}

/* Set-up. */

static MrShardMap *
S_make_map (const MrSearchSimConfig *c, guint generation)
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
      /* The second map repartitions: it moves every shard to other targets. */
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
S_make_daemon (SearchSim *sim, guint index)
{
  Daemon *daemon = &sim->daemons[index];
  daemon->query_host = (MrQueryHost){
    .send_batch = S_send_batch,
    .next_batch_id = S_next_batch_id,
    .last_heard = S_last_heard,
    .owner_silent = S_owner_silent,
  };
  daemon->dispatch_host = (MrDispatchHost){
    .start_call = S_start_call,
    .cancel_call = S_cancel_call,
    .probe = S_probe,
    .reconnect = S_reconnect,
    .deliver_partial = S_deliver_partial,
  };
  daemon->sim = sim;
  daemon->index = index;
  g_snprintf (daemon->name, sizeof daemon->name, "d%u", index);
  MrDispatchInfo info = { .seed = sim->config->seed + index };
  daemon->dispatch = mr_dispatch_new (&daemon->dispatch_host, &info);
  daemon->queries = g_ptr_array_new ();
  daemon->by_batch = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  daemon->origins = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  daemon->last_heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  daemon->excluded_owners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
S_make_members (SearchSim *sim)
{
  MrMember members[MR_SEARCH_SIM_DAEMONS_MAX] = { 0 };
  for (guint i = 0; i < sim->config->daemons; i++)
    {
      g_snprintf (members[i].name, sizeof members[i].name, "d%u", i);
      g_snprintf (members[i].domain, sizeof members[i].domain, "d%u", i % 3);
    }
  sim->members = mr_member_list_new (members, sim->config->daemons);
}

static void
S_make_document (SearchSim *sim)
{
  const MrSearchSimConfig *c = sim->config;
  mr_document_parse (MR_TEXT ("shop"), MR_TEXT ("{\"service\":\"shop\"}"), &sim->document);
  sim->document.cell_shards = c->cell_shards;
  sim->document.extra_calls = c->extra_calls;
  sim->document.direct = c->policy != MR_SEARCH_SIM_OWNERS;
  if (c->policy == MR_SEARCH_SIM_DIRECT_SHARE)
    sim->document.target_limit = MAX (c->daemons > 0 ? c->slots / c->daemons : 1, 1);
}

static void
S_set_up (SearchSim *sim)
{
  const MrSearchSimConfig *c = sim->config;
  sim->maps[0] = S_make_map (c, 1);
  sim->maps[1] = S_make_map (c, 2);
  sim->old_snapshot_dropped_at = c->snapshot_switch_at == MR_NEVER
                                     ? MR_NEVER
                                     : c->snapshot_switch_at + c->old_snapshot_drop_delay;
  S_make_document (sim);
  S_make_members (sim);
  for (guint i = 0; i < c->daemons; i++)
    S_make_daemon (sim, i);
  for (guint i = 0; i < c->targets; i++)
    {
      sim->targets[i].fault = c->faults[i];
      if (c->faults[i].leaving_from != MR_NEVER)
        S_push (sim, c->faults[i].leaving_from + c->leaving_listed_delay,
                (Event){ .kind = EVENT_LEAVING_LISTED, .target = i });
    }
  if (c->snapshot_switch_at != MR_NEVER)
    S_push (sim, c->snapshot_switch_at, (Event){ .kind = EVENT_SNAPSHOT_SWITCH });
  S_schedule_arrival (sim);
}

static void
S_tear_down (SearchSim *sim)
{
  for (Event *event = S_pop (sim); event; event = S_pop (sim))
    {
      mr_batch_free (event->batch);
      mr_partial_free (event->partial);
      g_free (event);
    }
  for (guint i = 0; i < sim->config->daemons; i++)
    {
      Daemon *daemon = &sim->daemons[i];
      mr_dispatch_free (daemon->dispatch);
      g_ptr_array_unref (daemon->queries);
      g_hash_table_unref (daemon->by_batch);
      g_hash_table_unref (daemon->origins);
      g_hash_table_unref (daemon->last_heard);
      g_hash_table_unref (daemon->excluded_owners);
    }
  for (guint i = 0; i < sim->queries->len; i++)
    {
      Query *query = g_ptr_array_index (sim->queries, i);
      mr_query_free (query->query);
      mr_merge_free (query->merge);
      g_free (query);
    }
  for (guint i = 0; i < sim->calls->len; i++)
    g_free (g_ptr_array_index (sim->calls, i));
  g_ptr_array_unref (sim->queries);
  g_ptr_array_unref (sim->calls);
  g_ptr_array_unref (sim->heap);
  mr_member_list_unref (sim->members);
  mr_shard_map_unref (sim->maps[0]);
  mr_shard_map_unref (sim->maps[1]);
  g_rand_free (sim->random);
  g_free (sim);
}

void
mr_search_sim_run (const MrSearchSimConfig *config, MrSearchSimResult *result)
{
  *result = (MrSearchSimResult){ 0 };
  SearchSim *sim = g_new0 (SearchSim, 1);
  sim->config = config;
  sim->result = result;
  sim->heap = g_ptr_array_new ();
  sim->random = g_rand_new_with_seed (config->seed);
  sim->calls = g_ptr_array_new ();
  sim->queries = g_ptr_array_new ();
  S_set_up (sim);
  /* After the last arrival, every query ends within its deadline. */
  MrTime end = config->duration + config->deadline + MR_SECOND;
  for (Event *event = S_pop (sim); event; event = S_pop (sim))
    {
      if (event->at > end)
        {
          mr_batch_free (event->batch);
          mr_partial_free (event->partial);
          g_free (event);
          break;
        }
      sim->now = event->at;
      S_on_event (sim, event);
      g_free (event);
    }
  S_tear_down (sim);
}

static MrSearchSimConfig
S_defaults (void)
{
  MrSearchSimConfig config = {
    .seed = 1,
    .policy = MR_SEARCH_SIM_OWNERS,
    .daemons = 7,
    .peer_delay = 750,
    .target_delay = 750,
    .connect_time = 6 * MR_MS,
    .service_time_median = 2000,
    .service_time_sigma = 0.5,
    .duration = 6 * MR_SECOND,
    .deadline = 150 * MR_MS,
    .fixed_timeout = 50 * MR_MS,
    .class_share = { 0.2, 0.6, 0.2 },
    .extra_calls = 0.05,
    .top_k = 10,
    .cell_shards = 200,
    .snapshot_switch_at = MR_NEVER,
    .leaving_listed_delay = 500 * MR_MS,
    .unreachable_daemon = MR_SEARCH_SIM_DAEMONS_MAX,
  };
  for (guint i = 0; i < MR_SEARCH_SIM_TARGETS_MAX; i++)
    config.faults[i] = (MrSearchSimFault){
      .slow_factor = 1,
      .slow_call_factor = 1,
      .down_from = MR_NEVER,
      .down_until = MR_NEVER,
      .silent_from = MR_NEVER,
      .silent_until = MR_NEVER,
      .leaving_from = MR_NEVER,
      .cold_from = MR_NEVER,
    };
  return config;
}

MrSearchSimConfig
mr_search_sim_shop_config (void)
{
  MrSearchSimConfig config = S_defaults ();
  config.targets = 3;
  config.slots = 5;
  config.shards = 12;
  config.replicas = 2;
  config.rate = 200;
  return config;
}

MrSearchSimConfig
mr_search_sim_wide_config (void)
{
  MrSearchSimConfig config = S_defaults ();
  config.targets = 300;
  config.slots = 5;
  config.shards = 300;
  config.replicas = 2;
  config.rate = 200;
  config.duration = MR_SECOND;
  return config;
}
