/* Shard map of one service: the snapshot, its shards, and the targets that serve them.
 *
 * A shard map is written by the program that builds the index.  It describes one snapshot; its
 * generation is the version of the object at the platform.  Maps are immutable, and tasks share
 * them by reference counting. */
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
  guint slots;       /* concurrent calls */
  guint connections; /* connections that it accepts in total */
  guint64 started;   /* start of its current process, Unix ms; 0: unknown */
} MrTarget;

typedef struct
{
  char name[MR_NAME_MAX + 1];
  guint64 weight; /* number of records, or another measure of its share of the data */
  guint replica_count;
  guint replicas[MR_REPLICAS_MAX]; /* indices into MrShardMap.targets */
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

/* Returns NULL and sets the error message if @body is invalid. */
MrShardMap *mr_shard_map_parse (MrText name, guint64 generation, MrText body);
MrShardMap *mr_shard_map_ref (MrShardMap *map);
void mr_shard_map_unref (MrShardMap *map);

/* Number of cells, each of which consists of @cell_shards consecutive shards (the last one may have
 * fewer). */
guint mr_shard_map_cell_count (const MrShardMap *map, guint cell_shards);
