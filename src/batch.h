/* Messages of a search between the root of a query and the owner of targets:
 * a batch of shard calls one way, one partial answer back.
 *
 * An order travels as a batch of one job with `order` set; the rules that make
 * it run at most once are in dispatch.c. */
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

const char *mr_traffic_class_name (MrTrafficClass cls);
/* MR_TRAFFIC_CLASS_COUNT if @name is none. */
MrTrafficClass mr_traffic_class_from_name (MrText name);

typedef struct
{
  guint shard;  /* index in the shard map */
  double score; /* higher is better */
  char *key;    /* names the record; unique within its shard */
  char *data;   /* JSON value, opaque to us; NULL until it is rendered */
  /* Writes `data` out of what a codec has read; most hits of a search are
   * dropped in the merge, and writing them too was a twentieth of a call. */
  char *(*render) (const void *source);
  const void *render_source;
} MrHit;

/* Policy that travels with a batch, from the service's document. */
typedef struct
{
  double extra_call_ratio;
  double hedge_quantile;
  guint target_limit; /* 0: the target's slots */
  guint owner_count;  /* daemons that share a target's slots */
} MrBatchPolicy;

typedef struct
{
  guint64 id;      /* unique within the root's incarnation, never reused */
  MrShardMap *map; /* the pinned snapshot; a reference */
  MrTrafficClass traffic_class;
  MrTime deadline; /* on the clock of the process that holds the batch */
  guint top_k;
  GString *payload; /* search text, or an order's body */
  MrBatchPolicy policy;
  gboolean is_order;
  char ticket[160]; /* of an order */
  guint shard_count;
  guint *shards; /* indices in the map */
} MrBatch;

typedef enum
{
  MR_PARTIAL_ANSWER,      /* covers what it lists; may be nothing */
  MR_PARTIAL_REFUSED,     /* overload; nothing was sent to any target */
  MR_PARTIAL_DEADLINE,    /* can't be met; nothing was sent to any target */
  MR_PARTIAL_NO_MAP,      /* this owner does not know the snapshot */
  MR_PARTIAL_IN_PROGRESS, /* not a result yet: the owner lives and works on it */
} MrPartialKind;

typedef enum
{
  MR_ORDER_NOT_RUN, /* provably: nothing left, or the target says so */
  MR_ORDER_DONE,
  MR_ORDER_UNKNOWN,
} MrOrderOutcome;

typedef struct
{
  guint64 batch_id;
  MrPartialKind kind;
  gint64 retry_after_ms; /* of a refusal; 0: no advice */
  guint call_count;      /* calls started at targets */
  guint extra_calls;     /* of these, hedges and retries */
  guint straggler;       /* target index in the map that ended last or is missing */
  guint covered_shard_count;
  guint *covered_shards; /* shard indices, each once */
  guint hit_count;
  MrHit *hits;                  /* best first, only of covered shards */
  MrOrderOutcome order_outcome; /* of an order */
  GString *order_reply;         /* of an order that ran; may be NULL */
} MrPartial;

/* No target to blame. */
#define MR_NO_TARGET_INDEX G_MAXUINT16

/* Fingerprint of what a search of @service asks for, or an order. */
MrFingerprint
mr_batch_fingerprint (const char *service, gboolean order, MrText query, guint64 content_key);

MrBatch *mr_batch_new (guint64 id, MrShardMap *map, guint shard_count);
void mr_batch_free (MrBatch *batch);
MrPartial *mr_partial_new (guint64 batch_id, MrPartialKind kind);
void mr_partial_free (MrPartial *partial);
void mr_hit_clear (MrHit *hit);
