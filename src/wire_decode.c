#include "wire.h"

#include <msgpack.h>
#include <zlib.h>

enum
{
  RETRY_AFTER_MAX_MS = 3600000,
};

/* Reads the elements of one msgpack array in order.  The first element of the wrong type or out
 * of range marks the reader as invalid, and all later reads return zero values, so that a
 * decoder checks for errors once, after its last field. */
typedef struct
{
  const msgpack_object *elements;
  guint32 count;
  guint32 next;
  gboolean invalid;
} Reader;

static Reader
S_reader_init (const msgpack_object *object)
{
  if (!object || object->type != MSGPACK_OBJECT_ARRAY)
    return (Reader){ .invalid = TRUE };
  return (Reader){ .elements = object->via.array.ptr, .count = object->via.array.size };
}

static const msgpack_object *
S_next_element (Reader *r)
{
  if (r->invalid || r->next >= r->count)
    {
      r->invalid = TRUE;
      return NULL;
    }
  return &r->elements[r->next++];
}

static guint64
S_read_unsigned (Reader *r, guint64 max)
{
  const msgpack_object *object = S_next_element (r);
  if (!object || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    {
      r->invalid = TRUE;
      return 0;
    }
  return object->via.u64;
}

static double
S_read_double (Reader *r, double min, double max)
{
  const msgpack_object *object = S_next_element (r);
  if (!object ||
      (object->type != MSGPACK_OBJECT_FLOAT64 && object->type != MSGPACK_OBJECT_FLOAT32) ||
      !(object->via.f64 >= min && object->via.f64 <= max))
    {
      r->invalid = TRUE;
      return min;
    }
  return object->via.f64;
}

static MrText
S_read_text (Reader *r)
{
  const msgpack_object *object = S_next_element (r);
  if (!object || object->type != MSGPACK_OBJECT_STR)
    {
      r->invalid = TRUE;
      return (MrText){ 0 };
    }
  return (MrText){ .data = object->via.str.ptr, .len = object->via.str.size };
}

/* Copies a string, which must fit into @out and contain no NUL byte. */
static void
S_read_string (Reader *r, char *out, size_t size)
{
  MrText text = S_read_text (r);
  if (text.len >= size || (text.len > 0 && memchr (text.data, '\0', text.len)))
    r->invalid = TRUE;
  else
    {
      if (text.len > 0)
        memcpy (out, text.data, text.len);
      out[text.len] = '\0';
    }
}

static Reader
S_read_array (Reader *r, guint32 max)
{
  Reader inner = S_reader_init (S_next_element (r));
  if (inner.invalid || inner.count > max)
    {
      r->invalid = TRUE;
      inner = (Reader){ .invalid = TRUE };
    }
  return inner;
}

static void
S_read_member (Reader *list, MrMember *member)
{
  Reader r = S_read_array (list, MR_WIRE_MEMBER_FIELD_COUNT);
  S_read_string (&r, member->name, sizeof member->name);
  member->incarnation = S_read_unsigned (&r, G_MAXUINT64);
  S_read_string (&r, member->ip, sizeof member->ip);
  member->peer_port = (int) S_read_unsigned (&r, 65535);
  member->http_port = (int) S_read_unsigned (&r, 65535);
  S_read_string (&r, member->domain, sizeof member->domain);
  S_read_string (&r, member->region, sizeof member->region);
  guint64 state = S_read_unsigned (&r, 31);
  member->busy = (state & 8) != 0;
  member->platform_unreachable = (state & 16) != 0;
  member->state = (MrMemberState) (state & 7);
  member->state_version = (guint32) S_read_unsigned (&r, G_MAXUINT32);
  member->capacity = (guint32) S_read_unsigned (&r, G_MAXUINT32);
  member->load = (guint32) S_read_unsigned (&r, G_MAXUINT32);
  if (r.invalid || member->state > MR_MEMBER_DEAD || member->name[0] == '\0')
    list->invalid = TRUE;
}

static void
S_read_heartbeat (Reader *r, MrWireMessage *m)
{
  MrHeartbeat *heartbeat = &m->heartbeat;
  guint64 kind = S_read_unsigned (r, MR_WIRE_FLAG_NO_UPDATES * 2 - 1);
  heartbeat->is_full_list = m->type == MR_WIRE_MEMBERS;
  heartbeat->kind = (MrHeartbeatKind) (kind & 1);
  heartbeat->members_request = (MrMembersRequest) (kind >> 1 & 3);
  heartbeat->no_updates = (kind & MR_WIRE_FLAG_NO_UPDATES) != 0;
  heartbeat->ping_id = S_read_unsigned (r, G_MAXUINT64);
  heartbeat->updates_after = S_read_unsigned (r, G_MAXUINT64);
  heartbeat->updates_upto = S_read_unsigned (r, G_MAXUINT64);
  heartbeat->updates_acked = S_read_unsigned (r, G_MAXUINT64);
  heartbeat->registry_digest = S_read_unsigned (r, G_MAXUINT64);
  heartbeat->members_digest = S_read_unsigned (r, G_MAXUINT64);
  S_read_member (r, &heartbeat->from);
  Reader updates = S_read_array (r, MR_TARGETS_MAX);
  heartbeat->updates = g_new0 (MrMember, updates.count + 1);
  while (!updates.invalid && updates.next < updates.count)
    S_read_member (&updates, &heartbeat->updates[heartbeat->update_count++]);
  r->invalid = r->invalid || updates.invalid;
}

static MrObjectKind
S_read_kind (Reader *r)
{
  guint64 kind = S_read_unsigned (r, MR_OBJECT_KIND_LAST);
  if (kind == 0)
    r->invalid = TRUE;
  return (MrObjectKind) MAX (kind, 1);
}

static void
S_read_object_name (Reader *item, MrObjectSummary *summary)
{
  summary->kind = S_read_kind (item);
  S_read_string (item, summary->name, sizeof summary->name);
}

/* Reads a list of objects by kind, name and, if @has_versions, version. */
static void
S_read_summaries (Reader *r, MrWireMessage *m, gboolean has_versions)
{
  Reader list = S_read_array (r, MR_TARGETS_MAX);
  m->summaries = g_new0 (MrObjectSummary, list.count + 1);
  while (!list.invalid && list.next < list.count)
    {
      Reader item = S_read_array (&list, has_versions ? 3 : 2);
      MrObjectSummary *summary = &m->summaries[m->summary_count++];
      S_read_object_name (&item, summary);
      if (has_versions)
        summary->version = S_read_unsigned (&item, G_MAXUINT64);
      list.invalid = list.invalid || item.invalid;
    }
  r->invalid = r->invalid || list.invalid;
}

static void
S_read_announce (Reader *r, MrWireMessage *m)
{
  S_read_summaries (r, m, TRUE);
}

static void
S_read_get (Reader *r, MrWireMessage *m)
{
  S_read_summaries (r, m, FALSE);
}

static void
S_read_objects (Reader *r, MrWireMessage *m)
{
  Reader list = S_read_array (r, MR_TARGETS_MAX);
  m->objects = g_new0 (MrWireObject, list.count + 1);
  while (!list.invalid && list.next < list.count)
    {
      Reader item = S_read_array (&list, 4);
      MrWireObject *object = &m->objects[m->object_count++];
      S_read_object_name (&item, &object->summary);
      object->summary.version = S_read_unsigned (&item, G_MAXUINT64);
      object->body = S_read_text (&item);
      list.invalid = list.invalid || item.invalid;
    }
  r->invalid = r->invalid || list.invalid;
}

static void
S_read_range (Reader *r, MrWireMessage *m)
{
  m->range.start = S_read_unsigned (r, G_MAXUINT64);
  m->range.bits = (guint) S_read_unsigned (r, MR_HASH_RANGE_MAX_BITS);
}

static void
S_read_range_summaries (Reader *r, MrWireMessage *m)
{
  S_read_range (r, m);
  S_read_announce (r, m);
}

static void
S_read_range_digests (Reader *r, MrWireMessage *m)
{
  S_read_range (r, m);
  Reader list = S_read_array (r, MR_HASH_RANGE_PARTS);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS; i++)
    m->digests[i] = S_read_unsigned (&list, G_MAXUINT64);
  r->invalid = r->invalid || list.invalid;
}

static guint *
S_read_indices (Reader *r, guint *count)
{
  Reader list = S_read_array (r, MR_SHARDS_MAX);
  guint *indices = g_new0 (guint, list.count + 1);
  *count = 0;
  while (!list.invalid && list.next < list.count)
    indices[(*count)++] = (guint) S_read_unsigned (&list, MR_SHARDS_MAX - 1);
  r->invalid = r->invalid || list.invalid;
  return indices;
}

static void
S_read_batch (Reader *r, MrWireMessage *m)
{
  MrWireBatch *batch = &m->batch;
  batch->id = S_read_unsigned (r, G_MAXUINT64);
  batch->root_incarnation = S_read_unsigned (r, G_MAXUINT64);
  S_read_string (r, batch->service, sizeof batch->service);
  batch->generation = S_read_unsigned (r, G_MAXUINT64);
  batch->remaining_us = (gint64) S_read_unsigned (r, 60 * MR_SECOND);
  batch->traffic_class = (MrTrafficClass) S_read_unsigned (r, MR_TRAFFIC_CLASS_COUNT - 1);
  batch->top_k = (guint) S_read_unsigned (r, 1000);
  batch->policy.extra_call_ratio = S_read_double (r, 0, 1);
  batch->policy.hedge_quantile = S_read_double (r, 0, 1);
  batch->policy.target_limit = (guint) S_read_unsigned (r, 10000);
  batch->policy.owner_count = (guint) S_read_unsigned (r, 64);
  batch->payload = S_read_text (r);
  batch->shards = S_read_indices (r, &batch->shard_count);
}

static void
S_read_hits (Reader *r, MrPartial *partial)
{
  Reader list = S_read_array (r, MR_SHARDS_MAX);
  partial->hits = g_new0 (MrHit, list.count + 1);
  while (!list.invalid && list.next < list.count)
    {
      Reader item = S_read_array (&list, 4);
      MrHit *hit = &partial->hits[partial->hit_count++];
      hit->shard = (guint) S_read_unsigned (&item, MR_SHARDS_MAX - 1);
      hit->score = S_read_double (&item, -G_MAXDOUBLE, G_MAXDOUBLE);
      hit->key = mr_text_dup (S_read_text (&item));
      hit->data = mr_text_dup (S_read_text (&item));
      list.invalid = list.invalid || item.invalid;
    }
  r->invalid = r->invalid || list.invalid;
}

static void
S_read_partial (Reader *r, MrWireMessage *m)
{
  guint64 id = S_read_unsigned (r, G_MAXUINT64);
  m->root_incarnation = S_read_unsigned (r, G_MAXUINT64);
  MrPartialKind kind = (MrPartialKind) S_read_unsigned (r, MR_PARTIAL_IN_PROGRESS);
  MrPartial *partial = m->partial = mr_partial_new (id, kind);
  partial->retry_after_ms = (gint64) S_read_unsigned (r, RETRY_AFTER_MAX_MS);
  partial->call_count = (guint) S_read_unsigned (r, G_MAXUINT32);
  partial->extra_calls = (guint) S_read_unsigned (r, G_MAXUINT32);
  partial->straggler = (guint) S_read_unsigned (r, MR_NO_TARGET_INDEX);
  partial->covered_shards = S_read_indices (r, &partial->covered_shard_count);
  S_read_hits (r, partial);
}

static void
S_read_order (Reader *r, MrWireMessage *m)
{
  MrWireOrder *order = &m->order;
  order->request_id = S_read_unsigned (r, G_MAXUINT64);
  order->sender_incarnation = S_read_unsigned (r, G_MAXUINT64);
  S_read_string (r, order->service, sizeof order->service);
  S_read_string (r, order->ticket, sizeof order->ticket);
  order->remaining_ms = (gint64) S_read_unsigned (r, 60000);
  order->body = S_read_text (r);
}

static void
S_read_order_result (Reader *r, MrWireMessage *m)
{
  MrWireOrderResult *result = &m->order_result;
  result->request_id = S_read_unsigned (r, G_MAXUINT64);
  result->sender_incarnation = S_read_unsigned (r, G_MAXUINT64);
  result->result = (MrResult) S_read_unsigned (r, 999);
  result->retry_after_ms = (gint64) S_read_unsigned (r, RETRY_AFTER_MAX_MS);
  result->body = S_read_text (r);
}

static void
S_read_cancel_batch (Reader *r, MrWireMessage *m)
{
  m->root_incarnation = S_read_unsigned (r, G_MAXUINT64);
  m->batch_id = S_read_unsigned (r, G_MAXUINT64);
}

static void
S_read_limit (Reader *r, MrWireMessage *m)
{
  MrLimitMessage *limit = &m->limit;
  limit->kind = (MrLimitMessageKind) S_read_unsigned (r, MR_LIMIT_RELEASE);
  limit->incarnation = S_read_unsigned (r, G_MAXUINT64);
  limit->number = S_read_unsigned (r, G_MAXUINT64);
  S_read_string (r, limit->organisation, sizeof limit->organisation);
  if (limit->kind == MR_LIMIT_ASK)
    {
      limit->wanted = (guint) S_read_unsigned (r, MR_WIRE_LIMIT_TOKENS_MAX);
      limit->in_advance = (guint) S_read_unsigned (r, MR_WIRE_LIMIT_TOKENS_MAX);
      limit->returned = (guint) S_read_unsigned (r, MR_WIRE_LIMIT_TOKENS_MAX);
    }
  else if (limit->kind == MR_LIMIT_GRANT)
    {
      limit->granted = (guint) S_read_unsigned (r, MR_WIRE_LIMIT_TOKENS_MAX);
      limit->wait_us = (gint64) S_read_unsigned (r, MR_WIRE_LIMIT_WAIT_MAX);
      limit->was_counting = S_read_unsigned (r, 1) != 0;
    }
  else if (limit->kind == MR_LIMIT_RELEASE)
    {
      limit->was_counting = S_read_unsigned (r, 1) != 0;
      limit->tokens = S_read_double (r, -1, MR_WIRE_LIMIT_TOKENS_MAX);
      if (limit->tokens < 0 && limit->tokens != -1)
        r->invalid = TRUE;
    }
  /* Only ALIVE concerns no organisation. */
  if ((limit->kind == MR_LIMIT_ALIVE) != (limit->organisation[0] == '\0'))
    r->invalid = TRUE;
}

static void
S_read_version_query (Reader *r, MrWireMessage *m)
{
  MrWireVersionQuery *query = &m->version_query;
  query->number = S_read_unsigned (r, G_MAXUINT64);
  query->kind = S_read_kind (r);
  S_read_string (r, query->name, sizeof query->name);
}

static void
S_read_version_reply (Reader *r, MrWireMessage *m)
{
  m->version_reply.number = S_read_unsigned (r, G_MAXUINT64);
  m->version_reply.version = S_read_unsigned (r, G_MAXUINT64);
}

/* Decompresses the inner message without decoding it.  The type stays MR_WIRE_DEFLATED, which
 * tells the caller to decode `inflated`. */
static void
S_read_deflated (Reader *r, MrWireMessage *m)
{
  uLongf len = (uLongf) S_read_unsigned (r, MR_WIRE_MAX_BYTES);
  MrText compressed = S_read_text (r);
  if (r->invalid || len == 0)
    {
      r->invalid = TRUE;
      return;
    }
  m->inflated = g_string_sized_new (len);
  g_string_set_size (m->inflated, len);
  uLongf inflated_len = len;
  r->invalid = uncompress ((Bytef *) m->inflated->str, &inflated_len,
                           (const Bytef *) compressed.data, compressed.len) != Z_OK ||
               inflated_len != len;
}

static void (*const field_decoders[]) (Reader *r, MrWireMessage *m) = {
  [MR_WIRE_HEARTBEAT] = S_read_heartbeat,
  [MR_WIRE_ANNOUNCE] = S_read_announce,
  [MR_WIRE_GET] = S_read_get,
  [MR_WIRE_OBJECTS] = S_read_objects,
  [MR_WIRE_BATCH] = S_read_batch,
  [MR_WIRE_PARTIAL] = S_read_partial,
  [MR_WIRE_CANCEL_BATCH] = S_read_cancel_batch,
  [MR_WIRE_ORDER] = S_read_order,
  [MR_WIRE_ORDER_RESULT] = S_read_order_result,
  [MR_WIRE_RANGE_SUMMARIES] = S_read_range_summaries,
  [MR_WIRE_RANGE_DIGESTS] = S_read_range_digests,
  [MR_WIRE_MEMBERS] = S_read_heartbeat,
  [MR_WIRE_DEFLATED] = S_read_deflated,
  [MR_WIRE_LIMIT] = S_read_limit,
  [MR_WIRE_VERSION_QUERY] = S_read_version_query,
  [MR_WIRE_VERSION_REPLY] = S_read_version_reply,
};

static MrStatus
S_read_message (const msgpack_object *root, MrWireMessage *m)
{
  Reader r = S_reader_init (root);
  if (!mr_text_equal (S_read_text (&r), mr_text (MR_WIRE_MAGIC)))
    return mr_fail (MR_ERROR_INVALID, "not a merlinring message");
  guint64 version = S_read_unsigned (&r, G_MAXUINT64);
  if (r.invalid || version != MR_WIRE_VERSION)
    return mr_fail (MR_ERROR_INVALID,
                    "message has protocol version %" G_GUINT64_FORMAT ", expected %d", version,
                    MR_WIRE_VERSION);
  guint64 type = S_read_unsigned (&r, MR_WIRE_TYPE_LAST);
  S_read_string (&r, m->sender, sizeof m->sender);
  if (r.invalid || !field_decoders[type])
    return mr_fail (MR_ERROR_INVALID, "unknown message type, or invalid sender name");
  m->type = (MrWireType) type;
  field_decoders[type](&r, m);
  if (r.invalid || r.next != r.count)
    return mr_fail (MR_ERROR_INVALID, "message of type %d is invalid at element %u", (int) type,
                    r.next);
  return MR_OK;
}

/* Reads a big-endian number of @bytes bytes and advances @text; FALSE if @text is too short. */
static gboolean
S_take_big_endian (MrText *text, size_t bytes, guint64 *number)
{
  if (text->len < bytes)
    return FALSE;
  *number = 0;
  for (size_t i = 0; i < bytes; i++)
    *number = *number << 8 | (guint8) text->data[i];
  text->data += bytes;
  text->len -= bytes;
  return TRUE;
}

/* Reads the header of one msgpack item: how many bytes of content follow it, and how many nested
 * items.  Only the types that wire.c writes are accepted: arrays, strings and numbers. */
static gboolean
S_take_item_header (MrText *text, guint64 *content_len, guint64 *item_count)
{
  guint64 header = 0;
  *content_len = 0;
  *item_count = 0;
  if (!S_take_big_endian (text, 1, &header))
    return FALSE;
  if (header <= 0x7f) /* positive fixint */
    return TRUE;
  if (header >= 0x90 && header <= 0x9f) /* fixarray */
    *item_count = header & 0x0f;
  else if (header >= 0xa0 && header <= 0xbf) /* fixstr */
    *content_len = header & 0x1f;
  else if (header == 0xca || header == 0xcb) /* float32, float64 */
    *content_len = header == 0xca ? 4 : 8;
  else if (header >= 0xcc && header <= 0xd3) /* integers of 1, 2, 4 or 8 bytes */
    *content_len = G_GUINT64_CONSTANT (1) << (header & 3);
  else if (header >= 0xd9 && header <= 0xdb) /* str8, str16, str32 */
    return S_take_big_endian (text, (size_t) 1 << (header - 0xd9), content_len);
  else if (header == 0xdc || header == 0xdd) /* array16, array32 */
    return S_take_big_endian (text, header == 0xdc ? 2 : 4, item_count);
  else
    return FALSE;
  return TRUE;
}

/* TRUE if the bytes that follow are enough for every length in @text.  msgpack allocates an array
 * as soon as it has read its length, so that a hostile message of five bytes would make it
 * request 32 GiB.  Each item takes at least one byte, which bounds the lengths by the size of the
 * message. */
static gboolean
S_lengths_fit_bytes (MrText text)
{
  guint64 pending_items = 1;
  while (pending_items > 0)
    {
      guint64 content_len = 0;
      guint64 item_count = 0;
      if (!S_take_item_header (&text, &content_len, &item_count) || content_len > text.len)
        return FALSE;
      text.data += content_len;
      text.len -= content_len;
      pending_items += item_count - 1;
      if (pending_items > text.len)
        return FALSE;
    }
  return text.len == 0;
}

/* Strings of msgpack objects point into @bytes, but arrays are allocated in the zone, which is
 * therefore freed only after all fields have been read. */
static MrStatus
S_decode (MrText bytes, MrWireMessage *message)
{
  if (!S_lengths_fit_bytes (bytes))
    return mr_fail (MR_ERROR_INVALID, "not a merlinring message, or truncated");
  msgpack_zone zone;
  msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
  msgpack_object root;
  size_t offset = 0;
  msgpack_unpack_return unpacked =
      msgpack_unpack (bytes.data ? bytes.data : "", bytes.len, &offset, &zone, &root);
  MrStatus status = unpacked == MSGPACK_UNPACK_SUCCESS && offset <= bytes.len
                        ? S_read_message (&root, message)
                        : mr_fail (MR_ERROR_INVALID, "not a msgpack message, or truncated");
  msgpack_zone_destroy (&zone);
  return status;
}

/* Rejects a message that was compressed twice: no daemon sends one, and each layer could multiply
 * the memory that a short message takes here. */
static MrStatus
S_decode_inflated (MrWireMessage *message)
{
  GString *inflated = message->inflated;
  *message = (MrWireMessage){ 0 };
  MrStatus status = S_decode (mr_text_of (inflated), message);
  if (status == MR_OK && message->type == MR_WIRE_DEFLATED)
    {
      g_string_free (message->inflated, TRUE);
      status = mr_fail (MR_ERROR_INVALID, "message is compressed twice");
    }
  message->inflated = inflated;
  return status;
}

MrStatus
mr_wire_decode (MrText bytes, MrWireMessage *message)
{
  *message = (MrWireMessage){ 0 };
  if (bytes.len > MR_WIRE_MAX_BYTES)
    return mr_fail (MR_ERROR_LIMIT, "message has %zu bytes, at most %d are allowed", bytes.len,
                    MR_WIRE_MAX_BYTES);
  MrStatus status = S_decode (bytes, message);
  if (status == MR_OK && message->type == MR_WIRE_DEFLATED)
    status = S_decode_inflated (message);
  if (status != MR_OK)
    mr_wire_message_clear (message);
  return status;
}

void
mr_wire_message_clear (MrWireMessage *message)
{
  g_free (message->heartbeat.updates);
  g_free (message->summaries);
  g_free (message->objects);
  if (message->inflated)
    g_string_free (message->inflated, TRUE);
  g_free (message->batch.shards);
  mr_partial_free (message->partial);
  *message = (MrWireMessage){ 0 };
}
