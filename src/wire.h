/* Wire format of the messages between daemons, as msgpack arrays.  wire.c encodes them,
 * wire_decode.c decodes them.
 *
 * Layout: [ "mr", version, type, sender, fields... ].  A message with another version, an
 * unknown type or a value out of range is rejected as a whole.  docs/PEER-PROTOCOL.md lists the
 * fields. */
#pragma once

#include "batch.h"
#include "limit_message.h"
#include "membership.h"
#include "registry.h"
#include "result.h"

enum
{
  MR_WIRE_VERSION = 4,
  MR_WIRE_MAX_BYTES = 4 * 1024 * 1024, /* of a message, after decompression */
  MR_WIRE_MEMBER_FIELD_COUNT = 11,     /* elements of an encoded member */
  /* Tokens in one message.  Larger values only make the receiver spend or keep more than any limit
   * of a configuration allows. */
  MR_WIRE_LIMIT_TOKENS_MAX = 1000000000,
};

/* Flag for a heartbeat without updates.  It shares an integer with the heartbeat's kind (bit 0)
 * and its members request (bits 1 and 2). */
#define MR_WIRE_FLAG_NO_UPDATES 8

/* First field of every message. */
#define MR_WIRE_MAGIC "mr"

typedef enum
{
  MR_WIRE_HEARTBEAT = 1,
  MR_WIRE_ANNOUNCE = 2, /* versions of objects that the sender has just stored */
  MR_WIRE_GET = 3,      /* requests the bodies of objects */
  MR_WIRE_OBJECTS = 4,  /* objects with their bodies */
  MR_WIRE_BATCH = 5,
  MR_WIRE_PARTIAL = 6,
  MR_WIRE_CANCEL_BATCH = 7, /* the result of the batch is no longer needed */
  MR_WIRE_ORDER = 8,        /* to the daemon that issued the ticket */
  MR_WIRE_ORDER_RESULT = 9,
  MR_WIRE_RANGE_SUMMARIES = 10, /* versions of all objects of the sender in a hash range */
  MR_WIRE_RANGE_DIGESTS = 11,   /* digests of the subranges of a hash range */
  MR_WIRE_MEMBERS = 12,         /* a heartbeat that lists all members */
  MR_WIRE_DEFLATED = 13,        /* one of the others, compressed */
  MR_WIRE_LIMIT = 14,           /* tokens of rate limits; never compressed */
  MR_WIRE_VERSION_QUERY = 15,   /* asks for the version of an object that the receiver holds */
  MR_WIRE_VERSION_REPLY = 16,
  MR_WIRE_TYPE_LAST = MR_WIRE_VERSION_REPLY,
} MrWireType;

/* Identity and version of an object, without its body. */
typedef struct
{
  MrObjectKind kind;
  char name[MR_NAME_MAX + 1];
  guint64 version;
} MrObjectSummary;

typedef struct
{
  MrObjectSummary summary;
  MrText body;
} MrWireObject;

/* An order that is forwarded to the daemon that issued its ticket. */
typedef struct
{
  guint64 request_id; /* assigned by the sender */
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

typedef struct
{
  guint64 number; /* assigned by the sender of the query; the reply repeats it */
  MrObjectKind kind;
  char name[MR_NAME_MAX + 1];
} MrWireVersionQuery;

typedef struct
{
  guint64 number;
  guint64 version; /* 0: the object is unknown */
} MrWireVersionReply;

/* A batch without its shard map, which the receiver looks up by service and generation. */
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
  MrText payload;
  guint shard_count;
  guint *shards;
} MrWireBatch;

/* Bound on the time that a grant states, in us. */
#define MR_WIRE_LIMIT_WAIT_MAX (3600 * MR_SECOND)

/* A decoded message.  The type is never MR_WIRE_DEFLATED: such messages are decompressed first.
 * Texts point into the decoded bytes. */
typedef struct
{
  MrWireType type;
  char sender[MR_NAME_MAX + 1];
  MrHeartbeat heartbeat;
  guint summary_count;
  MrObjectSummary *summaries; /* of ANNOUNCE and RANGE_SUMMARIES; of GET, without versions */
  MrHashRange range;          /* of RANGE_SUMMARIES and RANGE_DIGESTS */
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint object_count;
  MrWireObject *objects;
  MrWireBatch batch;
  guint64 root_incarnation; /* of PARTIAL and CANCEL_BATCH */
  guint64 batch_id;         /* of CANCEL_BATCH */
  MrPartial *partial;
  MrWireOrder order;
  MrWireOrderResult order_result;
  MrLimitMessage limit;
  MrWireVersionQuery version_query;
  MrWireVersionReply version_reply;
  GString *inflated; /* decompressed bytes that the texts point into; NULL if not compressed */
} MrWireMessage;

GString *mr_wire_heartbeat (const char *sender, const MrHeartbeat *heartbeat);
GString *mr_wire_announce (const char *sender, const MrObjectSummary *summaries, guint count);
/* Requests the newest version of each object in @summaries; their versions are not sent. */
GString *mr_wire_get (const char *sender, const MrObjectSummary *summaries, guint count);
GString *mr_wire_objects (const char *sender, const MrObject *const *objects, guint count);
GString *mr_wire_range_summaries (const char *sender,
                                  MrHashRange range,
                                  const MrObjectSummary *summaries,
                                  guint count);
GString *mr_wire_range_digests (const char *sender,
                                MrHashRange range,
                                const guint64 digests[MR_HASH_RANGE_PARTS]);
/* @remaining_us: time until the deadline of the batch. */
GString *mr_wire_batch (const char *sender,
                        guint64 root_incarnation,
                        const MrBatch *batch,
                        gint64 remaining_us);
GString *mr_wire_partial (const char *sender, guint64 root_incarnation, const MrPartial *partial);
GString *mr_wire_cancel_batch (const char *sender, guint64 root_incarnation, guint64 batch_id);
GString *mr_wire_order (const char *sender, const MrWireOrder *order);
GString *mr_wire_order_result (const char *sender, const MrWireOrderResult *result);
/* Writes only the fields of the message's kind, each reduced to its bound. */
GString *mr_wire_limit (const char *sender, const MrLimitMessage *message);
GString *mr_wire_version_query (const char *sender, const MrWireVersionQuery *query);
GString *mr_wire_version_reply (const char *sender, const MrWireVersionReply *reply);

/* Compresses a message into one of type MR_WIRE_DEFLATED, or returns it unchanged if it is too
 * small or does not shrink.  Takes ownership of @bytes. */
GString *mr_wire_deflate (const char *sender, GString *bytes);

/* Type of a message that was encoded by one of the functions above. */
MrWireType mr_wire_type (const GString *bytes);

/* Fails with MR_ERROR_INVALID on a malformed message and with MR_ERROR_LIMIT on one over
 * MR_WIRE_MAX_BYTES; @message is then empty.  On MR_OK the caller clears @message with
 * mr_wire_message_clear (). */
MrStatus mr_wire_decode (MrText bytes, MrWireMessage *message);
void mr_wire_message_clear (MrWireMessage *message);
