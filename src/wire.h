/* Messages between daemons, as msgpack arrays: wire.c writes, wire_decode.c reads.
 *
 * [ "mr", version, type, sender, fields... ].  A message of another version, a
 * wrong type or a value out of bounds is refused whole; docs/PEER-PROTOCOL.md
 * lists the fields. */
#pragma once

#include "batch.h"
#include "membership.h"
#include "registry.h"
#include "result.h"

enum
{
  MR_WIRE_VERSION = 4,
  MR_WIRE_MAX_BYTES = 4 * 1024 * 1024, /* bytes of a message, decompressed */
  MR_WIRE_MEMBER_FIELD_COUNT = 11,     /* of a member's entry */
};

/* Beside a heartbeat's kind (1) and what it asks for (2, 4). */
#define MR_WIRE_WATCH_ONLY 8

/* First field of every message. */
#define MR_WIRE_MAGIC "mr"

typedef enum
{
  MR_WIRE_HEARTBEAT = 1,
  MR_WIRE_ANNOUNCE = 2, /* versions of objects that the sender has just taken */
  MR_WIRE_GET = 3,      /* asks for objects' bodies */
  MR_WIRE_OBJECTS = 4,  /* bodies */
  MR_WIRE_BATCH = 5,
  MR_WIRE_PARTIAL = 6,
  MR_WIRE_CANCEL_BATCH = 7, /* a batch whose partial is not needed any more */
  MR_WIRE_ORDER = 8,        /* to the daemon that issued the ticket */
  MR_WIRE_ORDER_RESULT = 9,
  MR_WIRE_RANGE_SUMMARIES = 10, /* versions of all objects that the sender holds in a range */
  MR_WIRE_RANGE_DIGESTS = 11,   /* digests of the parts of a range */
  MR_WIRE_MEMBERS = 12,         /* a heartbeat that carries every member */
  MR_WIRE_DEFLATED = 13,        /* one of the others, compressed */
} MrWireType;

typedef struct
{
  MrObjectKind kind;
  char name[MR_NAME_MAX + 1];
  guint64 version;
} MrObjectSummary;

typedef struct
{
  MrObjectSummary summary; /* what and which version */
  MrText body;
} MrWireObject;

/* An order on its way to the issuer of its ticket. */
typedef struct
{
  guint64 request_id; /* of the sender */
  guint64 sender_incarnation;
  char service[MR_NAME_MAX + 1];
  char ticket[160];
  gint64 remaining_ms;
  MrText body;
} MrWireOrder;

typedef struct
{
  guint64 request_id;
  guint64 sender_incarnation;
  MrResult result;
  gint64 retry_after_ms;
  MrText body;
} MrWireOrderResult;

/* A batch without its map, which the receiver looks up. */
typedef struct
{
  guint64 id;
  guint64 root_incarnation;
  char service[MR_NAME_MAX + 1];
  guint64 generation;
  gint64 remaining_us;
  MrTrafficClass traffic_class;
  guint top_k;
  MrBatchPolicy policy;
  MrText query;
  guint shard_count;
  guint *shards;
} MrWireBatch;

/* One decoded message, never MR_WIRE_DEFLATED; texts are borrowed from its bytes. */
typedef struct
{
  MrWireType type;
  char sender[MR_NAME_MAX + 1];
  MrHeartbeat heartbeat;
  guint summary_count;
  MrObjectSummary *summaries; /* of NEWS and LIST; of GET without versions */
  MrHashRange range;          /* of LIST and RANGES */
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint object_count;
  MrWireObject *objects;
  MrWireBatch batch;
  guint64 root_incarnation; /* of PARTIAL and FORGET */
  guint64 batch_id;         /* of FORGET */
  MrPartial *partial;
  MrWireOrder order;
  MrWireOrderResult order_result;
  GString *inflated; /* what the texts are borrowed from; NULL: from the bytes decoded */
} MrWireMessage;

GString *mr_wire_heartbeat (const char *sender, const MrHeartbeat *heartbeat);
GString *mr_wire_announce (const char *sender, const MrObjectSummary *news, guint count);
/* Asks for the newest version of each of @news. */
GString *mr_wire_get (const char *sender, const MrObjectSummary *news, guint count);
GString *mr_wire_objects (const char *sender, const MrObject *const *objects, guint count);
GString *mr_wire_range_summaries (const char *sender,
                                  MrHashRange range,
                                  const MrObjectSummary *news,
                                  guint count);
GString *mr_wire_range_digests (const char *sender,
                                MrHashRange range,
                                const guint64 digests[MR_HASH_RANGE_PARTS]);
/* @remaining_us: time left until the batch's deadline. */
GString *mr_wire_batch (const char *sender,
                        guint64 root_incarnation,
                        const MrBatch *batch,
                        gint64 remaining_us);
GString *mr_wire_partial (const char *sender, guint64 root_incarnation, const MrPartial *partial);
GString *mr_wire_cancel_batch (const char *sender, guint64 root_incarnation, guint64 batch_id);
GString *mr_wire_order (const char *sender, const MrWireOrder *order);
GString *mr_wire_order_result (const char *sender, const MrWireOrderResult *result);

/* Replaces a message that is large enough to gain by it with one of MR_WIRE_DEFLATED.
 * Takes @bytes. */
GString *mr_wire_deflate (const char *sender, GString *bytes);

/* Type of a message that one of the functions above has made. */
MrWireType mr_wire_type (const GString *bytes);

/* MR_ERROR_INVALID with a message on anything malformed; @message is then
 * empty.  On MR_OK it is cleared with mr_wire_message_clear (). */
MrStatus mr_wire_decode (MrText bytes, MrWireMessage *message);
void mr_wire_message_clear (MrWireMessage *message);
