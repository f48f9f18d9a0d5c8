#include "wire.h"

#include <msgpack.h>

enum
{
  HEADER_FIELDS = 4,
};

static int
S_write (void *data, const char *bytes, size_t len)
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

/* Starts a message of @fields fields of its own. */
static GString *
S_begin (msgpack_packer *p, MrWireType type, const char *sender, guint fields)
{
  GString *out = g_string_new (NULL);
  msgpack_packer_init (p, out, S_write);
  msgpack_pack_array (p, HEADER_FIELDS + fields);
  S_pack_string (p, MR_WIRE_MAGIC);
  msgpack_pack_int (p, MR_WIRE_VERSION);
  msgpack_pack_int (p, (int) type);
  S_pack_string (p, sender);
  return out;
}

static void
S_pack_member (msgpack_packer *p, const MrMember *member)
{
  msgpack_pack_array (p, MR_WIRE_MEMBER_FIELDS);
  S_pack_string (p, member->name);
  msgpack_pack_uint64 (p, member->incarnation);
  S_pack_string (p, member->ip);
  msgpack_pack_int (p, member->peer_port);
  msgpack_pack_int (p, member->http_port);
  S_pack_string (p, member->domain);
  S_pack_string (p, member->region);
  msgpack_pack_int (p, (int) member->state | (member->busy ? 8 : 0) | (member->cut_off ? 16 : 0));
  msgpack_pack_uint32 (p, member->refutations);
  msgpack_pack_uint32 (p, member->capacity);
  msgpack_pack_uint32 (p, member->load);
}

GString *
mr_wire_heartbeat (const char *sender, const MrHeartbeat *heartbeat)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_HEARTBEAT, sender, 6);
  msgpack_pack_int (&p, (int) heartbeat->kind | (heartbeat->join ? 2 : 0));
  msgpack_pack_uint64 (&p, heartbeat->number);
  msgpack_pack_uint64 (&p, heartbeat->digest);
  msgpack_pack_uint64 (&p, heartbeat->members);
  S_pack_member (&p, &heartbeat->from);
  msgpack_pack_array (&p, heartbeat->update_count);
  for (guint i = 0; i < heartbeat->update_count; i++)
    S_pack_member (&p, &heartbeat->updates[i]);
  return out;
}

GString *
mr_wire_news (const char *sender, const MrNews *news, guint count)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_NEWS, sender, 1);
  msgpack_pack_array (&p, count);
  for (guint i = 0; i < count; i++)
    {
      msgpack_pack_array (&p, 3);
      msgpack_pack_int (&p, (int) news[i].kind);
      S_pack_string (&p, news[i].name);
      msgpack_pack_uint64 (&p, news[i].version);
    }
  return out;
}

GString *
mr_wire_get (const char *sender, MrObjectKind kind, const char *name)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_GET, sender, 2);
  msgpack_pack_int (&p, (int) kind);
  S_pack_string (&p, name);
  return out;
}

GString *
mr_wire_object (const char *sender, const MrObject *object)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_OBJECT, sender, 4);
  msgpack_pack_int (&p, (int) object->kind);
  S_pack_string (&p, object->name);
  msgpack_pack_uint64 (&p, object->version);
  S_pack_text (&p, mr_text_of (object->body));
  return out;
}

GString *
mr_wire_batch (const char *sender,
               guint64 root_incarnation,
               const MrBatch *batch,
               gint64 remaining_us)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_BATCH, sender, 13);
  msgpack_pack_uint64 (&p, batch->id);
  msgpack_pack_uint64 (&p, root_incarnation);
  S_pack_string (&p, batch->map->service);
  msgpack_pack_uint64 (&p, batch->map->generation);
  msgpack_pack_int64 (&p, remaining_us);
  msgpack_pack_int (&p, (int) batch->traffic_class);
  msgpack_pack_uint32 (&p, batch->top_k);
  msgpack_pack_double (&p, batch->policy.extra_calls);
  msgpack_pack_double (&p, batch->policy.hedge_quantile);
  msgpack_pack_uint32 (&p, batch->policy.target_limit);
  msgpack_pack_uint32 (&p, batch->policy.owners);
  S_pack_text (&p, mr_text_of (batch->query));
  msgpack_pack_array (&p, batch->shard_count);
  for (guint i = 0; i < batch->shard_count; i++)
    msgpack_pack_uint32 (&p, batch->shards[i]);
  return out;
}

GString *
mr_wire_partial (const char *sender, guint64 root_incarnation, const MrPartial *partial)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_PARTIAL, sender, 9);
  msgpack_pack_uint64 (&p, partial->batch_id);
  msgpack_pack_uint64 (&p, root_incarnation);
  msgpack_pack_int (&p, (int) partial->kind);
  msgpack_pack_int64 (&p, partial->retry_after_ms);
  msgpack_pack_uint32 (&p, partial->calls);
  msgpack_pack_uint32 (&p, partial->extra);
  msgpack_pack_uint32 (&p, partial->blame);
  msgpack_pack_array (&p, partial->covered_count);
  for (guint i = 0; i < partial->covered_count; i++)
    msgpack_pack_uint32 (&p, partial->covered[i]);
  msgpack_pack_array (&p, partial->hit_count);
  for (guint i = 0; i < partial->hit_count; i++)
    {
      msgpack_pack_array (&p, 4);
      msgpack_pack_uint32 (&p, partial->hits[i].shard);
      msgpack_pack_double (&p, partial->hits[i].score);
      S_pack_string (&p, partial->hits[i].key);
      S_pack_string (&p, partial->hits[i].data);
    }
  return out;
}

GString *
mr_wire_forget (const char *sender, guint64 root_incarnation, guint64 batch_id)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_FORGET, sender, 2);
  msgpack_pack_uint64 (&p, root_incarnation);
  msgpack_pack_uint64 (&p, batch_id);
  return out;
}

GString *
mr_wire_order (const char *sender, const MrWireOrder *order)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_ORDER, sender, 6);
  msgpack_pack_uint64 (&p, order->request);
  msgpack_pack_uint64 (&p, order->sender_incarnation);
  S_pack_string (&p, order->service);
  S_pack_string (&p, order->ticket);
  msgpack_pack_int64 (&p, order->remaining_ms);
  S_pack_text (&p, order->body);
  return out;
}

GString *
mr_wire_order_result (const char *sender, const MrWireOrderResult *result)
{
  msgpack_packer p;
  GString *out = S_begin (&p, MR_WIRE_ORDER_RESULT, sender, 5);
  msgpack_pack_uint64 (&p, result->request);
  msgpack_pack_uint64 (&p, result->sender_incarnation);
  msgpack_pack_int (&p, (int) result->result);
  msgpack_pack_int64 (&p, result->retry_after_ms);
  S_pack_text (&p, result->body);
  return out;
}
