#include "fair_share.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* The sorted demands are recomputed at most once in this time, and for each organisation this much
 * longer: sorting 20,000 of them takes about 3 ms, which is then 1.5 % of the time. */
static const MrTime SNAPSHOT_TTL = 10 * MR_MS;
static const MrTime SNAPSHOT_TTL_EACH = 10;
static const MrTime SWEEP_INTERVAL = 2 * MR_SECOND;
/* Weight of a call in the cost ratio of its organisation, and bounds of the ratio: one call that
 * hangs must not make all requests of its organisation look expensive. */
static const double COST_WEIGHT = 0.05;
static const double COST_RATIO_MIN = 0.1;
static const double COST_RATIO_MAX = 10;

/* Share of the work served that each priority but the first may have if it asks for it, so that it
 * does not starve.  The order of queues gives it as much (relay_fair.c). */
static const double PRIORITY_RESERVE = 0.1;

enum
{
  QUEUE_SWEEP_MIN = 64, /* entries */
};

struct _MrFairFlow
{
  gint references;
  guint64 id; /* hash of the name: the same organisation has one id in all queues */
  guint priority;
  MrTime used_at;
  MrTime decayed_at;
  double work;
  double refused;
  double cost_ratio;
};

/* Demands of one priority, as of the last update. */
typedef struct
{
  GArray *demands; /* double, falling */
  GArray *sums;    /* of the demands up to and including this one */
  double total;
} Level;

struct _MrFairShare
{
  GHashTable *flows; /* name -> MrFairFlow */
  Level levels[MR_FAIR_PRIORITIES];
  double total;
  MrTime expires_at; /* of the levels */
  MrTime next_sweep;
};

typedef struct
{
  guint64 id;
  double finish; /* tag */
} QueueEntry;

struct _MrFairQueue
{
  double virtual_time;
  double last_finish;  /* the highest finish tag */
  GHashTable *entries; /* id of the flow -> QueueEntry */
  guint sweep_count;   /* entries at which those that have no effect are removed */
};

/* Flows. */

MrFairFlow *
mr_fair_flow_ref (MrFairFlow *flow)
{
  flow->references++;
  return flow;
}

void
mr_fair_flow_unref (MrFairFlow *flow)
{
  if (flow && --flow->references == 0)
    g_free (flow);
}

static void
S_flow_unref (gpointer flow)
{
  mr_fair_flow_unref (flow);
}

static double
S_decay (const MrFairFlow *flow, MrTime now)
{
  MrTime age = MAX (now - flow->decayed_at, 0);
  return exp (-(double) age / (double) MR_FAIR_DECAY);
}

static void
S_apply_decay (MrFairFlow *flow, MrTime now)
{
  double decay = S_decay (flow, now);
  flow->work *= decay;
  flow->refused *= decay;
  flow->decayed_at = MAX (now, flow->decayed_at);
  flow->used_at = flow->decayed_at;
}

void
mr_fair_flow_add_work (MrFairFlow *flow, MrTime now, double expected, double slot_time)
{
  S_apply_decay (flow, now);
  flow->work += slot_time;
  if (expected <= 0)
    return;
  double ratio = CLAMP (slot_time / expected, COST_RATIO_MIN, COST_RATIO_MAX);
  flow->cost_ratio += COST_WEIGHT * (ratio - flow->cost_ratio);
}

void
mr_fair_flow_add_refused (MrFairFlow *flow, MrTime now, double expected)
{
  S_apply_decay (flow, now);
  flow->refused += expected * flow->cost_ratio;
}

double
mr_fair_flow_demand (const MrFairFlow *flow, MrTime now)
{
  return (flow->work + flow->refused) * S_decay (flow, now);
}

double
mr_fair_flow_cost_ratio (const MrFairFlow *flow)
{
  return flow->cost_ratio;
}

/* Shares. */

MrFairShare *
mr_fair_share_new (void)
{
  MrFairShare *share = g_new0 (MrFairShare, 1);
  share->flows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_flow_unref);
  for (guint i = 0; i < MR_FAIR_PRIORITIES; i++)
    {
      share->levels[i].demands = g_array_new (FALSE, FALSE, sizeof (double));
      share->levels[i].sums = g_array_new (FALSE, FALSE, sizeof (double));
    }
  return share;
}

void
mr_fair_share_free (MrFairShare *share)
{
  if (!share)
    return;
  for (guint i = 0; i < MR_FAIR_PRIORITIES; i++)
    {
      g_array_unref (share->levels[i].demands);
      g_array_unref (share->levels[i].sums);
    }
  g_hash_table_unref (share->flows);
  g_free (share);
}

static gboolean
S_is_idle (gpointer name, gpointer data, gpointer now)
{
  const MrFairFlow *flow = data;
  (void) name;
  return flow->references == 1 && *(const MrTime *) now - flow->used_at > MR_FAIR_IDLE_TTL;
}

static void
S_sweep (MrFairShare *share, MrTime now)
{
  if (now < share->next_sweep)
    return;
  share->next_sweep = now + SWEEP_INTERVAL;
  g_hash_table_foreach_remove (share->flows, S_is_idle, &now);
}

MrFairFlow *
mr_fair_share_get (MrFairShare *share, MrTime now, const char *name, guint priority)
{
  S_sweep (share, now);
  MrFairFlow *flow = g_hash_table_lookup (share->flows, name);
  if (!flow)
    {
      flow = g_new (MrFairFlow, 1);
      *flow = (MrFairFlow){
        .references = 1,
        .id = XXH64 (name, strlen (name), 0),
        .decayed_at = now,
        .cost_ratio = 1,
      };
      g_hash_table_insert (share->flows, g_strdup (name), flow);
    }
  /* A new version of the configuration may have changed the priority. */
  flow->priority = MIN (priority, MR_FAIR_PRIORITIES - 1U);
  flow->used_at = now;
  return mr_fair_flow_ref (flow);
}

guint
mr_fair_share_count (const MrFairShare *share)
{
  return g_hash_table_size (share->flows);
}

static gint
S_compare_falling (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;
  return x > y ? -1 : x < y;
}

static void
S_add_sums (Level *level)
{
  g_array_sort (level->demands, S_compare_falling);
  level->total = 0;
  for (guint i = 0; i < level->demands->len; i++)
    {
      level->total += g_array_index (level->demands, double, i);
      g_array_append_val (level->sums, level->total);
    }
}

static void
S_update_levels (MrFairShare *share, MrTime now)
{
  if (now < share->expires_at)
    return;
  GHashTableIter iter;
  gpointer item = NULL;
  S_sweep (share, now);
  for (guint i = 0; i < MR_FAIR_PRIORITIES; i++)
    {
      g_array_set_size (share->levels[i].demands, 0);
      g_array_set_size (share->levels[i].sums, 0);
    }
  g_hash_table_iter_init (&iter, share->flows);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const MrFairFlow *flow = item;
      double demand = mr_fair_flow_demand (flow, now);
      if (demand > 0)
        g_array_append_val (share->levels[flow->priority].demands, demand);
    }
  share->total = 0;
  for (guint i = 0; i < MR_FAIR_PRIORITIES; i++)
    {
      S_add_sums (&share->levels[i]);
      share->total += share->levels[i].total;
    }
  share->expires_at =
      now + MAX (SNAPSHOT_TTL, SNAPSHOT_TTL_EACH * (MrTime) mr_fair_share_count (share));
}

/* Work refused if the @count + 1 largest demands are reduced to the last of them. */
static double
S_refused_above (const Level *level, guint count)
{
  return g_array_index (level->sums, double, count) -
         (count + 1) * g_array_index (level->demands, double, count);
}

/* The level to which the largest demands are reduced so that @refused is refused. */
static double
S_find_level (const Level *level, double refused)
{
  guint low = 0; /* the demands up to this one are above the level */
  guint high = level->demands->len;
  while (high - low > 1)
    {
      guint middle = low + (high - low) / 2;
      if (S_refused_above (level, middle) < refused)
        low = middle;
      else
        high = middle;
    }
  return (g_array_index (level->sums, double, low) - refused) / (low + 1);
}

/* The most work of a priority that is refused for the sake of more urgent ones. */
static double
S_max_refused (const MrFairShare *share, guint priority, double fraction, double max_fraction)
{
  double total = share->levels[priority].total;
  double reserve = priority > 0 ? PRIORITY_RESERVE * (1 - fraction) * share->total : 0;
  return MIN (max_fraction * total, MAX (total - reserve, 0));
}

double
mr_fair_share_refused_fraction (
    MrFairShare *share, MrTime now, const MrFairFlow *flow, double fraction, double max_fraction)
{
  S_update_levels (share, now);
  if (share->total <= 0)
    return MIN (fraction, max_fraction);
  const Level *level = &share->levels[flow->priority];
  double refused = fraction * share->total;
  for (guint i = MR_FAIR_PRIORITIES - 1; i > flow->priority; i--)
    refused -= S_max_refused (share, i, fraction, max_fraction);
  if (refused <= 0 || level->total <= 0)
    return 0;
  double common = S_find_level (
      level, MIN (refused, S_max_refused (share, flow->priority, fraction, max_fraction)));
  double demand = mr_fair_flow_demand (flow, now);
  return demand > common ? 1 - common / demand : 0;
}

gboolean
mr_fair_share_is_above_mean (MrFairShare *share, MrTime now, const MrFairFlow *flow)
{
  S_update_levels (share, now);
  return mr_fair_flow_demand (flow, now) * mr_fair_share_count (share) > share->total;
}

/* Queues. */

MrFairQueue *
mr_fair_queue_new (void)
{
  MrFairQueue *queue = g_new (MrFairQueue, 1);
  *queue = (MrFairQueue){
    .entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free),
    .sweep_count = QUEUE_SWEEP_MIN,
  };
  return queue;
}

void
mr_fair_queue_free (MrFairQueue *queue)
{
  if (!queue)
    return;
  g_hash_table_unref (queue->entries);
  g_free (queue);
}

double
mr_fair_queue_virtual_time (const MrFairQueue *queue)
{
  return queue->virtual_time;
}

guint
mr_fair_queue_count (const MrFairQueue *queue)
{
  return g_hash_table_size (queue->entries);
}

double
mr_fair_queue_next_tag (const MrFairQueue *queue, const MrFairFlow *flow)
{
  const QueueEntry *entry = g_hash_table_lookup (queue->entries, &flow->id);
  return entry ? MAX (entry->finish, queue->virtual_time) : queue->virtual_time;
}

/* An entry whose finish tag has passed is the same as none. */
static gboolean
S_has_passed (gpointer id, gpointer data, gpointer user)
{
  (void) id;
  return ((const QueueEntry *) data)->finish <= ((const MrFairQueue *) user)->virtual_time;
}

static void
S_sweep_queue (MrFairQueue *queue)
{
  if (mr_fair_queue_count (queue) < queue->sweep_count)
    return;
  g_hash_table_foreach_remove (queue->entries, S_has_passed, queue);
  queue->sweep_count = MAX (2 * mr_fair_queue_count (queue), (guint) QUEUE_SWEEP_MIN);
}

double
mr_fair_queue_add (MrFairQueue *queue, const MrFairFlow *flow, double cost)
{
  double tag = mr_fair_queue_next_tag (queue, flow);
  QueueEntry *entry = g_hash_table_lookup (queue->entries, &flow->id);
  if (!entry)
    {
      S_sweep_queue (queue);
      entry = g_new (QueueEntry, 1);
      entry->id = flow->id;
      g_hash_table_insert (queue->entries, &entry->id, entry);
    }
  entry->finish = tag + cost;
  queue->last_finish = MAX (queue->last_finish, entry->finish);
  return tag;
}

void
mr_fair_queue_serve (MrFairQueue *queue, double tag)
{
  queue->virtual_time = MAX (queue->virtual_time, tag);
}

void
mr_fair_queue_correct (MrFairQueue *queue, const MrFairFlow *flow, double difference)
{
  QueueEntry *entry = g_hash_table_lookup (queue->entries, &flow->id);
  if (!entry)
    return;
  entry->finish += difference;
  queue->last_finish = MAX (queue->last_finish, entry->finish);
}

void
mr_fair_queue_on_empty (MrFairQueue *queue)
{
  queue->virtual_time = MAX (queue->virtual_time, queue->last_finish);
  g_hash_table_remove_all (queue->entries);
  queue->sweep_count = QUEUE_SWEEP_MIN;
}
