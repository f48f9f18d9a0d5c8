/* Best hits of a set of shards, and exactly which shards they come from.
 *
 * Coverage is what was merged, never what was asked for; a shard counts once
 * however often it is answered (hedge, retry, two owners). */
#pragma once

#include "batch.h"

typedef struct _MrMerge MrMerge;

MrMerge *mr_merge_new (MrShardMap *map, guint top_k);
void mr_merge_free (MrMerge *merge);

/* Takes the hits of one shard; FALSE, and nothing taken, if the shard has been
 * counted before.  Hits are moved out of @hits (keys and data set to NULL). */
gboolean mr_merge_add_shard (MrMerge *merge, guint shard, MrHit *hits, guint count);

/* Takes a partial answer; its shards that have been counted before, and their
 * hits, are passed over.  Returns the number of shards newly counted. */
guint mr_merge_add_partial (MrMerge *merge, MrPartial *partial);

gboolean mr_merge_covers (const MrMerge *merge, guint shard);
guint mr_merge_covered_count (const MrMerge *merge);
guint64 mr_merge_covered_weight (const MrMerge *merge);

/* Moves hits and covered shards into @partial. */
void mr_merge_move_into_partial (MrMerge *merge, MrPartial *partial);

/* Borrowed, best first. */
const MrHit *mr_merge_hits (const MrMerge *merge, guint *count);
