/* Root's side of a search: one snapshot, one deadline, one merged answer.
 *
 * Pure decisions.  The root cuts the pinned map into cells, sends each cell's
 * shards to an owner (itself or a peer), merges the partial answers and states
 * the coverage of what it merged. */
#pragma once

#include "batch.h"
#include "member.h"
#include "merge.h"
#include "result.h"

typedef struct _MrQuery MrQuery;
typedef struct _MrQueryHost MrQueryHost;

/* Vtable; first member of the task that holds queries. */
struct _MrQueryHost
{
  /* Takes @batch. @owner: borrowed; NULL for this daemon itself. */
  void (*send_batch) (MrQueryHost *host, MrQuery *query, const MrMember *owner, MrBatch *batch);
  /* Ids of batches are unique within the incarnation. */
  guint64 (*next_batch_id) (MrQueryHost *host);
  /* Time of the last message of any kind from @owner. */
  MrTime (*last_heard) (MrQueryHost *host, const char *owner);
  /* @owner stayed silent: hand it nothing until it is heard from. */
  void (*owner_silent) (MrQueryHost *host, const char *owner);
};

typedef struct
{
  MrShardMap *map;
  MrMemberList *members;
  const MrDocument *document;
  const char *self;                   /* this daemon's name */
  const char *const *excluded_owners; /* owners to pass over, NULL-terminated */
  MrTrafficClass traffic_class;
  MrText text;
  guint top_k;
  MrTime deadline;
} MrQueryInfo;

typedef struct
{
  MrResult result;
  gint64 retry_after_ms;
  guint64 covered_weight;
  guint64 total_weight;
  guint covered_shard_count;
  guint call_count;
  guint extra_calls;
} MrQueryAnswer;

MrQuery *mr_query_new (MrQueryHost *host, const MrQueryInfo *info, MrTime now);
void mr_query_free (MrQuery *query);

/* Sends the batches. */
void mr_query_start (MrQuery *query, MrTime now);

/* Takes @partial; one of an unknown batch is passed over. */
void mr_query_add_partial (MrQuery *query, MrTime now, MrPartial *partial);

/* Carries out what is due; returns when to come back. */
MrTime mr_query_tick (MrQuery *query, MrTime now);

gboolean mr_query_ended (const MrQuery *query);

/* Of an ended query. */
MrQueryAnswer mr_query_answer (const MrQuery *query);
const MrMerge *mr_query_merge (const MrQuery *query);
const MrShardMap *mr_query_map (const MrQuery *query);

/* Calls @visit with each batch that was sent and not answered. */
void mr_query_foreach_open_batch (const MrQuery *query,
                                  void (*visit) (guint64 batch, const char *owner, void *user),
                                  void *user);
