#include "wire.h"

#include <math.h>
#include <msgpack.h>
#include <zlib.h>

enum
{
  HEADER_FIELD_COUNT = 4,
  /* Members and targets are similar to each other, so that a compressed list takes a quarter
   * of its size and a list of bodies a tenth.  Smaller messages gain little. */
  DEFLATE_MIN_BYTES = 600,
  DEFLATE_LEVEL = 1, /* the fastest; higher levels save less than a tenth more */
};

static int
S_append_output (void *data, const char *bytes, size_t len)
{
  g_string_append_len (data, bytes, (gssize) len);
  return 0;
}

static void
S_pack_text (msgpack_packer *p, MrText text)
{
  msgpack_pack_str (p, text.len);
  if (text.len > 0)
    msgpack_pack_str_body (p, text.data, text.len);
}

static void
S_pack_string (msgpack_packer *p, const char *string)
{
  S_pack_text (p, mr_text (string));
}

/* Starts a message and writes its header; @fields type-specific fields follow. */
static GString *
S_begin (msgpack_packer *p, MrWireType type, const char *sender, guint fields)
{
  GString *message = g_string_new (NULL);
  msgpack_packer_init (p, message, S_append_output);
  msgpack_pack_array (p, HEADER_FIELD_COUNT + fields);
  S_pack_string (p, MR_WIRE_MAGIC);
  msgpack_pack_int (p, MR_WIRE_VERSION);
  msgpack_pack_int (p, (int) type);
  S_pack_string (p, sender);
  return message;
}

static void
S_pack_member (msgpack_packer *p, const MrMember *member)
{
  msgpack_pack_array (p, MR_WIRE_MEMBER_FIELD_COUNT);
  S_pack_string (p, member->name);
  msgpack_pack_uint64 (p, member->incarnation);
  S_pack_string (p, member->ip);
  msgpack_pack_int (p, member->peer_port);
  msgpack_pack_int (p, member->http_port);
  S_pack_string (p, member->domain);
  S_pack_string (p, member->region);
  msgpack_pack_int (p, (int) member->state | (member->busy ? 8 : 0) |
                           (member->platform_unreachable ? 16 : 0));
  msgpack_pack_uint32 (p, member->state_version);
  msgpack_pack_uint32 (p, member->capacity);
  msgpack_pack_uint32 (p, member->load);
}

GString *
mr_wire_heartbeat (const char *sender, const MrHeartbeat *heartbeat)
{
  msgpack_packer p;
  MrWireType type = heartbeat->is_full_list ? MR_WIRE_MEMBERS : MR_WIRE_HEARTBEAT;
  GString *message = S_begin (&p, type, sender, 9);
  msgpack_pack_int (&p, (int) heartbeat->kind | (int) heartbeat->members_request << 1 |
                            (heartbeat->no_updates ? MR_WIRE_FLAG_NO_UPDATES : 0));
  msgpack_pack_uint64 (&p, heartbeat->ping_id);
  msgpack_pack_uint64 (&p, heartbeat->updates_after);
  msgpack_pack_uint64 (&p, heartbeat->updates_upto);
  msgpack_pack_uint64 (&p, heartbeat->updates_acked);
  msgpack_pack_uint64 (&p, heartbeat->registry_digest);
  msgpack_pack_uint64 (&p, heartbeat->members_digest);
  S_pack_member (&p, &heartbeat->from);
  msgpack_pack_array (&p, heartbeat->update_count);
  for (guint i = 0; i < heartbeat->update_count; i++)
    S_pack_member (&p, &heartbeat->updates[i]);
  return message;
}

static void
S_pack_summaries (msgpack_packer *p, const MrObjectSummary *summaries, guint count)
{
  msgpack_pack_array (p, count);
  for (guint i = 0; i < count; i++)
    {
      msgpack_pack_array (p, 3);
      msgpack_pack_int (p, (int) summaries[i].kind);
      S_pack_string (p, summaries[i].name);
      msgpack_pack_uint64 (p, summaries[i].version);
    }
}

GString *
mr_wire_announce (const char *sender, const MrObjectSummary *summaries, guint count)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_ANNOUNCE, sender, 1);
  S_pack_summaries (&p, summaries, count);
  return message;
}

GString *
mr_wire_get (const char *sender, const MrObjectSummary *summaries, guint count)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_GET, sender, 1);
  msgpack_pack_array (&p, count);
  for (guint i = 0; i < count; i++)
    {
      msgpack_pack_array (&p, 2);
      msgpack_pack_int (&p, (int) summaries[i].kind);
      S_pack_string (&p, summaries[i].name);
    }
  return message;
}

GString *
mr_wire_objects (const char *sender, const MrObject *const *objects, guint count)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_OBJECTS, sender, 1);
  msgpack_pack_array (&p, count);
  for (guint i = 0; i < count; i++)
    {
      msgpack_pack_array (&p, 4);
      msgpack_pack_int (&p, (int) objects[i]->kind);
      S_pack_string (&p, objects[i]->name);
      msgpack_pack_uint64 (&p, objects[i]->version);
      S_pack_text (&p, mr_text_of (objects[i]->body));
    }
  return message;
}

static void
S_pack_range (msgpack_packer *p, MrHashRange range)
{
  msgpack_pack_uint64 (p, range.start);
  msgpack_pack_uint32 (p, range.bits);
}

GString *
mr_wire_range_summaries (const char *sender,
                         MrHashRange range,
                         const MrObjectSummary *summaries,
                         guint count)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_RANGE_SUMMARIES, sender, 3);
  S_pack_range (&p, range);
  S_pack_summaries (&p, summaries, count);
  return message;
}

GString *
mr_wire_range_digests (const char *sender,
                       MrHashRange range,
                       const guint64 digests[MR_HASH_RANGE_PARTS])
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_RANGE_DIGESTS, sender, 3);
  S_pack_range (&p, range);
  msgpack_pack_array (&p, MR_HASH_RANGE_PARTS);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS; i++)
    msgpack_pack_uint64 (&p, digests[i]);
  return message;
}

/* The type follows the array header (one byte, or three for more than 15 elements), the magic
 * (a length byte and two letters) and the version (one byte). */
MrWireType
mr_wire_type (const GString *bytes)
{
  gsize array_header_len = (guint8) bytes->str[0] == 0xdc ? 3 : 1;
  return (MrWireType) bytes->str[array_header_len + 4];
}

GString *
mr_wire_batch (const char *sender,
               guint64 root_incarnation,
               const MrBatch *batch,
               gint64 remaining_us)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_BATCH, sender, 13);
  msgpack_pack_uint64 (&p, batch->id);
  msgpack_pack_uint64 (&p, root_incarnation);
  S_pack_string (&p, batch->map->service);
  msgpack_pack_uint64 (&p, batch->map->generation);
  msgpack_pack_int64 (&p, remaining_us);
  msgpack_pack_int (&p, (int) batch->traffic_class);
  msgpack_pack_uint32 (&p, batch->top_k);
  msgpack_pack_double (&p, batch->policy.extra_call_ratio);
  msgpack_pack_double (&p, batch->policy.hedge_quantile);
  msgpack_pack_uint32 (&p, batch->policy.target_limit);
  msgpack_pack_uint32 (&p, batch->policy.owner_count);
  S_pack_text (&p, mr_text_of (batch->payload));
  msgpack_pack_array (&p, batch->shard_count);
  for (guint i = 0; i < batch->shard_count; i++)
    msgpack_pack_uint32 (&p, batch->shards[i]);
  return message;
}

GString *
mr_wire_partial (const char *sender, guint64 root_incarnation, const MrPartial *partial)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_PARTIAL, sender, 9);
  msgpack_pack_uint64 (&p, partial->batch_id);
  msgpack_pack_uint64 (&p, root_incarnation);
  msgpack_pack_int (&p, (int) partial->kind);
  msgpack_pack_int64 (&p, partial->retry_after_ms);
  msgpack_pack_uint32 (&p, partial->call_count);
  msgpack_pack_uint32 (&p, partial->extra_calls);
  msgpack_pack_uint32 (&p, partial->straggler);
  msgpack_pack_array (&p, partial->covered_shard_count);
  for (guint i = 0; i < partial->covered_shard_count; i++)
    msgpack_pack_uint32 (&p, partial->covered_shards[i]);
  msgpack_pack_array (&p, partial->hit_count);
  for (guint i = 0; i < partial->hit_count; i++)
    {
      msgpack_pack_array (&p, 4);
      msgpack_pack_uint32 (&p, partial->hits[i].shard);
      msgpack_pack_double (&p, partial->hits[i].score);
      S_pack_string (&p, partial->hits[i].key);
      S_pack_string (&p, partial->hits[i].data);
    }
  return message;
}

GString *
mr_wire_cancel_batch (const char *sender, guint64 root_incarnation, guint64 batch_id)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_CANCEL_BATCH, sender, 2);
  msgpack_pack_uint64 (&p, root_incarnation);
  msgpack_pack_uint64 (&p, batch_id);
  return message;
}

GString *
mr_wire_order (const char *sender, const MrWireOrder *order)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_ORDER, sender, 6);
  msgpack_pack_uint64 (&p, order->request_id);
  msgpack_pack_uint64 (&p, order->sender_incarnation);
  S_pack_string (&p, order->service);
  S_pack_string (&p, order->ticket);
  msgpack_pack_int64 (&p, order->remaining_ms);
  S_pack_text (&p, order->body);
  return message;
}

GString *
mr_wire_order_result (const char *sender, const MrWireOrderResult *result)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_ORDER_RESULT, sender, 5);
  msgpack_pack_uint64 (&p, result->request_id);
  msgpack_pack_uint64 (&p, result->sender_incarnation);
  msgpack_pack_int (&p, (int) result->result);
  msgpack_pack_int64 (&p, result->retry_after_ms);
  S_pack_text (&p, result->body);
  return message;
}

static guint
S_limit_field_count (MrLimitMessageKind kind)
{
  static const guint counts[] = {
    [MR_LIMIT_ALIVE] = 4,   [MR_LIMIT_ASK] = 7,     [MR_LIMIT_GRANT] = 7,
    [MR_LIMIT_ACQUIRE] = 4, [MR_LIMIT_RELEASE] = 6,
  };
  return counts[kind];
}

static void
S_pack_tokens (msgpack_packer *p, guint tokens)
{
  msgpack_pack_uint32 (p, MIN (tokens, MR_WIRE_LIMIT_TOKENS_MAX));
}

GString *
mr_wire_limit (const char *sender, const MrLimitMessage *message)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_LIMIT, sender, S_limit_field_count (message->kind));
  msgpack_pack_int (&p, (int) message->kind);
  msgpack_pack_uint64 (&p, message->incarnation);
  msgpack_pack_uint64 (&p, message->number);
  S_pack_string (&p, message->kind == MR_LIMIT_ALIVE ? "" : message->organisation);
  if (message->kind == MR_LIMIT_ASK)
    {
      S_pack_tokens (&p, message->wanted);
      S_pack_tokens (&p, message->in_advance);
      S_pack_tokens (&p, message->returned);
    }
  else if (message->kind == MR_LIMIT_GRANT)
    {
      S_pack_tokens (&p, message->granted);
      msgpack_pack_int64 (&p, CLAMP (message->wait_us, 0, MR_WIRE_LIMIT_WAIT_MAX));
      msgpack_pack_int (&p, message->was_counting ? 1 : 0);
    }
  else if (message->kind == MR_LIMIT_RELEASE)
    {
      msgpack_pack_int (&p, message->was_counting ? 1 : 0);
      /* -1 is a refused vote.  fmax () and fmin () also replace a NaN, which would make the
       * receiver reject the message. */
      double tokens = fmin (fmax (message->tokens, -1), MR_WIRE_LIMIT_TOKENS_MAX);
      msgpack_pack_double (&p, tokens < 0 ? -1 : tokens);
    }
  return out;
}

GString *
mr_wire_version_query (const char *sender, const MrWireVersionQuery *query)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_VERSION_QUERY, sender, 3);
  msgpack_pack_uint64 (&p, query->number);
  msgpack_pack_int (&p, (int) query->kind);
  S_pack_string (&p, query->name);
  return message;
}

GString *
mr_wire_version_reply (const char *sender, const MrWireVersionReply *reply)
{
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_VERSION_REPLY, sender, 2);
  msgpack_pack_uint64 (&p, reply->number);
  msgpack_pack_uint64 (&p, reply->version);
  return message;
}

GString *
mr_wire_deflate (const char *sender, GString *bytes)
{
  if (bytes->len < DEFLATE_MIN_BYTES)
    return bytes;
  uLongf len = compressBound (bytes->len);
  g_autofree char *deflated = g_malloc (len);
  if (compress2 ((Bytef *) deflated, &len, (const Bytef *) bytes->str, bytes->len, DEFLATE_LEVEL) !=
          Z_OK ||
      len >= bytes->len)
    return bytes;
  msgpack_packer p;
  GString *message = S_begin (&p, MR_WIRE_DEFLATED, sender, 2);
  msgpack_pack_uint32 (&p, (uint32_t) bytes->len);
  S_pack_text (&p, (MrText){ .data = deflated, .len = len });
  g_string_free (bytes, TRUE);
  return message;
}
