#include "merge.h"

#include "safeguard.h"

struct _MrMerge
{
  MrShardMap *map;
  guint top_k;
  guint8 *covered; /* boolean for each shard of the map */
  guint covered_count;
  guint64 covered_weight;
  guint hit_count;
  MrHit *hits; /* best first; allocated for top_k hits */
};

MrMerge *
mr_merge_new (MrShardMap *map, guint top_k)
{
  MrMerge *merge = g_new0 (MrMerge, 1);
  merge->map = mr_shard_map_ref (map);
  merge->top_k = top_k;
  merge->covered = g_new0 (guint8, map->shard_count);
  merge->hits = g_new0 (MrHit, top_k);
  return merge;
}

void
mr_merge_free (MrMerge *merge)
{
  if (!merge)
    return;
  for (guint i = 0; i < merge->hit_count; i++)
    mr_hit_clear (&merge->hits[i]);
  g_free (merge->hits);
  g_free (merge->covered);
  mr_shard_map_unref (merge->map);
  g_free (merge);
}

/* Total order of hits, so that the result does not depend on the order in which answers arrive. */
static int
S_compare_hits (const MrHit *a, const MrHit *b)
{
  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  int keys = strcmp (a->key, b->key);
  return keys != 0 ? keys : (int) a->shard - (int) b->shard;
}

/* Moves @hit to its position in the sorted array and drops the worst hit if the array is full. */
static void
S_insert_hit (MrMerge *merge, MrHit *hit)
{
  guint position = merge->hit_count;
  while (position > 0 && S_compare_hits (hit, &merge->hits[position - 1]) < 0)
    position--;
  if (position == merge->top_k)
    return;
  if (merge->hit_count == merge->top_k)
    mr_hit_clear (&merge->hits[--merge->hit_count]);
  memmove (&merge->hits[position + 1], &merge->hits[position],
           (merge->hit_count - position) * sizeof *merge->hits);
  if (!hit->data && hit->render)
    hit->data = hit->render (hit->render_source);
  merge->hits[position] = *hit;
  merge->hit_count++;
  hit->key = NULL;
  hit->data = NULL;
}

/* Marks @shard as covered.  Returns FALSE if it already is: counting the answer of a hedge or of a
 * second owner again would state more coverage than was read, and could hide a missing shard. */
static gboolean
S_add_coverage (MrMerge *merge, guint shard)
{
  if (shard >= merge->map->shard_count)
    return FALSE;
  if (merge->covered[shard] && MR_SAFEGUARD (MR_GUARD_COUNT_ONCE))
    return FALSE;
  merge->covered[shard] = 1;
  merge->covered_count++;
  merge->covered_weight += merge->map->shards[shard].weight;
  return TRUE;
}

gboolean
mr_merge_add_shard (MrMerge *merge, guint shard, MrHit *hits, guint count)
{
  if (!S_add_coverage (merge, shard))
    return FALSE;
  for (guint i = 0; i < count; i++)
    {
      hits[i].shard = shard;
      S_insert_hit (merge, &hits[i]);
    }
  return TRUE;
}

guint
mr_merge_add_partial (MrMerge *merge, MrPartial *partial)
{
  g_autofree guint8 *newly_covered = g_new0 (guint8, merge->map->shard_count);
  guint count = 0;
  for (guint i = 0; i < partial->covered_shard_count; i++)
    if (S_add_coverage (merge, partial->covered_shards[i]))
      {
        newly_covered[partial->covered_shards[i]] = 1;
        count++;
      }
  for (guint i = 0; i < partial->hit_count; i++)
    {
      guint shard = partial->hits[i].shard;
      if (shard < merge->map->shard_count && newly_covered[shard])
        S_insert_hit (merge, &partial->hits[i]);
    }
  return count;
}

gboolean
mr_merge_covers (const MrMerge *merge, guint shard)
{
  return merge->covered[shard];
}

guint
mr_merge_covered_count (const MrMerge *merge)
{
  return merge->covered_count;
}

guint64
mr_merge_covered_weight (const MrMerge *merge)
{
  return merge->covered_weight;
}

void
mr_merge_move_into_partial (MrMerge *merge, MrPartial *partial)
{
  partial->covered_shards = g_new (guint, merge->covered_count);
  for (guint i = 0; i < merge->map->shard_count; i++)
    if (merge->covered[i] && partial->covered_shard_count < merge->covered_count)
      partial->covered_shards[partial->covered_shard_count++] = i;
  partial->hits = merge->hits;
  partial->hit_count = merge->hit_count;
  merge->hits = NULL;
  merge->hit_count = 0;
}

const MrHit *
mr_merge_hits (const MrMerge *merge, guint *count)
{
  *count = merge->hit_count;
  return merge->hits;
}
