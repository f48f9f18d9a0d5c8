/* Messages between the root of a search and the owner of a cell of shards: a batch of shard calls
 * in one direction, one partial answer in the other.
 *
 * An order is sent as a batch of a single call with is_order set.  Its route is not idempotent, so
 * that the dispatcher never sends it again once it may have run. */
#pragma once

#include "clock.h"
#include "fingerprint.h"
#include "shardmap.h"

typedef enum
{
  MR_TRAFFIC_CLASS_URGENT,
  MR_TRAFFIC_CLASS_INTERACTIVE,
  MR_TRAFFIC_CLASS_BROWSING,
  MR_TRAFFIC_CLASS_COUNT,
} MrTrafficClass;

const char *mr_traffic_class_name (MrTrafficClass traffic_class);
/* Returns MR_TRAFFIC_CLASS_COUNT if @name is not a traffic class. */
MrTrafficClass mr_traffic_class_from_name (MrText name);

typedef struct
{
  guint shard;  /* index in the shard map */
  double score; /* higher is better */
  char *key;    /* identifies the record; unique within its shard */
  char *data;   /* JSON value that is passed through unread; NULL until it is rendered */
  /* Creates `data` from what the codec has parsed.  It is only called for hits that the merge
   * keeps: most hits are dropped there, and rendering those as well took a twentieth of the time
   * of a call. */
  char *(*render) (const void *source);
  const void *render_source;
} MrHit;

/* Settings of the service's document that are sent along with a batch. */
typedef struct
{
  double extra_call_ratio; /* hedges and retries per call */
  double hedge_quantile;
  guint target_limit; /* concurrent calls per target; 0: the target's slots */
  guint owner_count;  /* number of daemons that share a target's slots */
} MrBatchPolicy;

typedef struct
{
  guint64 id;      /* unique within the root's incarnation, never reused */
  MrShardMap *map; /* of the snapshot that the query is pinned to; holds a reference */
  MrTrafficClass traffic_class;
  MrTime deadline; /* on the monotonic clock of the current process */
  guint top_k;
  GString *payload; /* search text, or body of the order */
  MrBatchPolicy policy;
  gboolean is_order;
  char ticket[160]; /* of the order */
  guint shard_count;
  guint *shards; /* indices into the map */
} MrBatch;

typedef enum
{
  MR_PARTIAL_ANSWER,      /* covers the listed shards, perhaps none */
  MR_PARTIAL_REFUSED,     /* overload; no call was sent to any target */
  MR_PARTIAL_DEADLINE,    /* passed before any call was sent to a target */
  MR_PARTIAL_NO_MAP,      /* the owner can't run it: it does not know the snapshot, or it stops */
  MR_PARTIAL_IN_PROGRESS, /* not a result: the owner is alive and still working on the batch */
} MrPartialKind;

typedef enum
{
  MR_ORDER_NOT_RUN, /* certain: no call was sent, or the target has said so */
  MR_ORDER_DONE,
  MR_ORDER_UNKNOWN,
} MrOrderOutcome;

typedef struct
{
  guint64 batch_id;
  MrPartialKind kind;
  gint64 retry_after_ms; /* if refused; 0: not specified */
  guint call_count;      /* calls started at targets */
  guint extra_calls;     /* hedges and retries among these calls */
  guint straggler; /* map index of the target that delayed the batch; see MR_NO_TARGET_INDEX */
  guint covered_shard_count;
  guint *covered_shards; /* indices into the map, without duplicates */
  guint hit_count;
  MrHit *hits;                  /* best first; only of covered shards */
  MrOrderOutcome order_outcome; /* of an order */
  GString *order_reply;         /* of an order that was executed; may be NULL */
} MrPartial;

/* Value of MrPartial.straggler if no target delayed the batch. */
#define MR_NO_TARGET_INDEX G_MAXUINT16

/* Fingerprint of the content of a search or order for @service. */
MrFingerprint
mr_batch_fingerprint (const char *service, gboolean is_order, MrText payload, guint64 content_key);

MrBatch *mr_batch_new (guint64 id, MrShardMap *map, guint shard_count);
void mr_batch_free (MrBatch *batch);
MrPartial *mr_partial_new (guint64 batch_id, MrPartialKind kind);
void mr_partial_free (MrPartial *partial);
void mr_hit_clear (MrHit *hit);
