/* The root's side of a search: one snapshot, one deadline, one merged answer.
 *
 * The root divides the pinned shard map into cells, sends the shards of each cell to an owner (this
 * daemon or a peer), merges the partial answers, and reports which shards the result covers.  The
 * code does no I/O: time is passed as an argument, and batches are sent through a vtable. */
#pragma once

#include "batch.h"
#include "member.h"
#include "merge.h"
#include "result.h"

typedef struct _MrQuery MrQuery;
typedef struct _MrQueryHost MrQueryHost;

/* Vtable; first member of the structure that holds the queries. */
struct _MrQueryHost
{
  /* Takes ownership of @batch.  @owner is borrowed; NULL means this daemon. */
  void (*send_batch) (MrQueryHost *host, MrQuery *query, const MrMember *owner, MrBatch *batch);
  /* Returns a batch id that is unique within the incarnation. */
  guint64 (*next_batch_id) (MrQueryHost *host);
  /* Returns the time of the last message of any kind from @owner, or 0. */
  MrTime (*last_heard) (MrQueryHost *host, const char *owner);
  /* Nothing was received from @owner within its timeout: the host excludes it from new queries
   * for a while, or until a message from it arrives. */
  void (*owner_silent) (MrQueryHost *host, const char *owner);
};

typedef struct
{
  MrShardMap *map;
  MrMemberList *members;
  const MrDocument *document;
  const char *self;                   /* this daemon's name */
  const char *const *excluded_owners; /* NULL-terminated */
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

/* Sends a batch for each cell. */
void mr_query_start (MrQuery *query, MrTime now);

/* Takes ownership of @partial.  Partials of unknown batches are ignored. */
void mr_query_add_partial (MrQuery *query, MrTime now, MrPartial *partial);

/* Checks all timeouts.  Returns the time of the next call, or MR_NEVER once the query has ended. */
MrTime mr_query_tick (MrQuery *query, MrTime now);

/* The query ends by @at at the latest, with what has been merged by then. */
void mr_query_end_by (MrQuery *query, MrTime at);
gboolean mr_query_ended (const MrQuery *query);

/* The answer of a query that has ended. */
MrQueryAnswer mr_query_answer (const MrQuery *query);
const MrMerge *mr_query_merge (const MrQuery *query);
const MrShardMap *mr_query_map (const MrQuery *query);

/* Calls @visit for each batch that has not been answered.  @owner is empty for this daemon. */
void mr_query_foreach_open_batch (const MrQuery *query,
                                  void (*visit) (guint64 batch, const char *owner, void *user),
                                  void *user);
