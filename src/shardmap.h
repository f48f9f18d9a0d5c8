/* Shard map of one service: the snapshot, its shards and who serves them.
 *
 * Written by whoever builds the index, read by us.  One map names one
 * snapshot; the platform's version of the object is its generation.  Maps are
 * immutable and shared by reference count between tasks. */
#pragma once

#include "document.h"
#include "status.h"
#include "text.h"

enum
{
  MR_REPLICAS_MAX = 8,
  MR_SHARDS_MAX = 16384,
  MR_TARGETS_MAX = 16384,
};

typedef struct
{
  char id[MR_NAME_MAX + 1];
  char ip[46];
  int port;
  char domain[MR_NAME_MAX + 1];
  guint slots;       /* calls it serves at once */
  guint connections; /* connections it accepts in all */
  guint64 started;   /* of the process that has the id now, Unix ms; 0: not told */
} MrTarget;

typedef struct
{
  char name[MR_NAME_MAX + 1];
  guint64 weight; /* records, or any measure of its share of the data */
  guint replica_count;
  guint replicas[MR_REPLICAS_MAX]; /* indices into targets */
} MrShard;

typedef struct
{
  char service[MR_NAME_MAX + 1];
  char snapshot[MR_NAME_MAX + 1];
  guint64 generation;
  guint64 total_weight;
  guint target_count;
  MrTarget *targets;
  guint shard_count;
  MrShard *shards;
} MrShardMap;

/* NULL with a message on bad input. */
MrShardMap *mr_shard_map_parse (MrText name, guint64 generation, MrText body);
MrShardMap *mr_shard_map_ref (MrShardMap *map);
void mr_shard_map_unref (MrShardMap *map);

/* Shards are cut into cells of @cell_shards consecutive ones. */
guint mr_shard_map_cell_count (const MrShardMap *map, guint cell_shards);
