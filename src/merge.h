/* Merges the hits of shards and records which shards the result covers.
 *
 * Coverage counts the shards whose answers were merged, not the shards that were queried.  A shard
 * counts once, even if a hedge, a retry or a second owner answers for it again. */
#pragma once

#include "batch.h"

typedef struct _MrMerge MrMerge;

MrMerge *mr_merge_new (MrShardMap *map, guint top_k);
void mr_merge_free (MrMerge *merge);

/* Merges the hits of one shard.  Hits that are kept are moved out of @hits: their key and data are
 * set to NULL.  Returns FALSE, without merging anything, if the shard is already covered. */
gboolean mr_merge_add_shard (MrMerge *merge, guint shard, MrHit *hits, guint count);

/* Merges a partial answer, except for the shards that are already covered.  Returns the number of
 * newly covered shards.  The caller still owns @partial. */
guint mr_merge_add_partial (MrMerge *merge, MrPartial *partial);

gboolean mr_merge_covers (const MrMerge *merge, guint shard);
guint mr_merge_covered_count (const MrMerge *merge);
guint64 mr_merge_covered_weight (const MrMerge *merge);

/* Moves the hits, and copies the covered shards, into @partial. */
void mr_merge_move_into_partial (MrMerge *merge, MrPartial *partial);

/* The merged hits, best first.  Borrowed. */
const MrHit *mr_merge_hits (const MrMerge *merge, guint *count);
