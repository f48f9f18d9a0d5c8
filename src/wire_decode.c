#include "wire.h"

#include <msgpack.h>
#include <zlib.h>

enum
{
  RETRY_AFTER_MAX_MS = 3600000,
};

/* Reading.  A reader walks one array; the first wrong field makes it bad and
 * all later reads give zeros, so that a decoder checks once, at its end. */

typedef struct
{
  const msgpack_object *items;
  guint32 count;
  guint32 next;
  gboolean bad;
} Reader;

static Reader
S_reader (const msgpack_object *object)
{
  if (!object || object->type != MSGPACK_OBJECT_ARRAY)
    return (Reader){ .bad = TRUE };
  return (Reader){ .items = object->via.array.ptr, .count = object->via.array.size };
}

static const msgpack_object *
S_next (Reader *r)
{
  if (r->bad || r->next >= r->count)
    {
      r->bad = TRUE;
      return NULL;
    }
  return &r->items[r->next++];
}

static guint64
S_unsigned (Reader *r, guint64 most)
{
  const msgpack_object *object = S_next (r);
  if (!object || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > most)
    {
      r->bad = TRUE;
      return 0;
    }
  return object->via.u64;
}

static double
S_double (Reader *r, double least, double most)
{
  const msgpack_object *object = S_next (r);
  if (!object ||
      (object->type != MSGPACK_OBJECT_FLOAT64 && object->type != MSGPACK_OBJECT_FLOAT32) ||
      !(object->via.f64 >= least && object->via.f64 <= most))
    {
      r->bad = TRUE;
      return least;
    }
  return object->via.f64;
}

static MrText
S_text (Reader *r)
{
  const msgpack_object *object = S_next (r);
  if (!object || object->type != MSGPACK_OBJECT_STR)
    {
      r->bad = TRUE;
      return (MrText){ 0 };
    }
  return (MrText){ .data = object->via.str.ptr, .len = object->via.str.size };
}

/* Copies a string that must fit and hold no NUL. */
static void
S_string (Reader *r, char *out, size_t size)
{
  MrText text = S_text (r);
  if (text.len >= size || (text.len > 0 && memchr (text.data, '\0', text.len)))
    r->bad = TRUE;
  else
    {
      if (text.len > 0)
        memcpy (out, text.data, text.len);
      out[text.len] = '\0';
    }
}

static Reader
S_array (Reader *r, guint32 most)
{
  Reader inner = S_reader (S_next (r));
  if (inner.bad || inner.count > most)
    {
      r->bad = TRUE;
      inner = (Reader){ .bad = TRUE };
    }
  return inner;
}

static void
S_read_member (Reader *list, MrMember *member)
{
  Reader r = S_array (list, MR_WIRE_MEMBER_FIELD_COUNT);
  S_string (&r, member->name, sizeof member->name);
  member->incarnation = S_unsigned (&r, G_MAXUINT64);
  S_string (&r, member->ip, sizeof member->ip);
  member->peer_port = (int) S_unsigned (&r, 65535);
  member->http_port = (int) S_unsigned (&r, 65535);
  S_string (&r, member->domain, sizeof member->domain);
  S_string (&r, member->region, sizeof member->region);
  guint64 state = S_unsigned (&r, 31);
  member->busy = (state & 8) != 0;
  member->platform_unreachable = (state & 16) != 0;
  member->state = (MrMemberState) (state & 7);
  member->state_version = (guint32) S_unsigned (&r, G_MAXUINT32);
  member->capacity = (guint32) S_unsigned (&r, G_MAXUINT32);
  member->load = (guint32) S_unsigned (&r, G_MAXUINT32);
  if (r.bad || member->state > MR_MEMBER_DEAD || member->name[0] == '\0')
    list->bad = TRUE;
}

static void
S_read_heartbeat (Reader *r, MrWireMessage *m)
{
  MrHeartbeat *heartbeat = &m->heartbeat;
  guint64 kind = S_unsigned (r, MR_WIRE_WATCH_ONLY * 2 - 1);
  heartbeat->is_full_list = m->type == MR_WIRE_MEMBERS;
  heartbeat->kind = (MrHeartbeatKind) (kind & 1);
  heartbeat->members_request = (MrMembersRequest) (kind >> 1 & 3);
  heartbeat->no_updates = (kind & MR_WIRE_WATCH_ONLY) != 0;
  heartbeat->ping_id = S_unsigned (r, G_MAXUINT64);
  heartbeat->updates_after = S_unsigned (r, G_MAXUINT64);
  heartbeat->updates_upto = S_unsigned (r, G_MAXUINT64);
  heartbeat->updates_acked = S_unsigned (r, G_MAXUINT64);
  heartbeat->registry_digest = S_unsigned (r, G_MAXUINT64);
  heartbeat->members_digest = S_unsigned (r, G_MAXUINT64);
  S_read_member (r, &heartbeat->from);
  Reader updates = S_array (r, MR_TARGETS_MAX);
  heartbeat->updates = g_new0 (MrMember, updates.count + 1);
  while (!updates.bad && updates.next < updates.count)
    S_read_member (&updates, &heartbeat->updates[heartbeat->update_count++]);
  r->bad = r->bad || updates.bad;
}

static MrObjectKind
S_read_kind (Reader *r)
{
  guint64 kind = S_unsigned (r, MR_OBJECT_KIND_LAST);
  if (kind == 0)
    r->bad = TRUE;
  return (MrObjectKind) MAX (kind, 1);
}

static void
S_read_name (Reader *item, MrObjectSummary *news)
{
  news->kind = S_read_kind (item);
  S_string (item, news->name, sizeof news->name);
}

/* Objects by kind and name and, with @versions, version. */
static void
S_read_named (Reader *r, MrWireMessage *m, gboolean versions)
{
  Reader list = S_array (r, MR_TARGETS_MAX);
  m->summaries = g_new0 (MrObjectSummary, list.count + 1);
  while (!list.bad && list.next < list.count)
    {
      Reader item = S_array (&list, versions ? 3 : 2);
      MrObjectSummary *news = &m->summaries[m->summary_count++];
      S_read_name (&item, news);
      if (versions)
        news->version = S_unsigned (&item, G_MAXUINT64);
      list.bad = list.bad || item.bad;
    }
  r->bad = r->bad || list.bad;
}

static void
S_read_news (Reader *r, MrWireMessage *m)
{
  S_read_named (r, m, TRUE);
}

static void
S_read_get (Reader *r, MrWireMessage *m)
{
  S_read_named (r, m, FALSE);
}

static void
S_read_objects (Reader *r, MrWireMessage *m)
{
  Reader list = S_array (r, MR_TARGETS_MAX);
  m->objects = g_new0 (MrWireObject, list.count + 1);
  while (!list.bad && list.next < list.count)
    {
      Reader item = S_array (&list, 4);
      MrWireObject *object = &m->objects[m->object_count++];
      S_read_name (&item, &object->summary);
      object->summary.version = S_unsigned (&item, G_MAXUINT64);
      object->body = S_text (&item);
      list.bad = list.bad || item.bad;
    }
  r->bad = r->bad || list.bad;
}

static void
S_read_range (Reader *r, MrWireMessage *m)
{
  m->range.start = S_unsigned (r, G_MAXUINT64);
  m->range.bits = (guint) S_unsigned (r, MR_HASH_RANGE_MAX_BITS);
}

static void
S_read_list (Reader *r, MrWireMessage *m)
{
  S_read_range (r, m);
  S_read_news (r, m);
}

static void
S_read_ranges (Reader *r, MrWireMessage *m)
{
  S_read_range (r, m);
  Reader list = S_array (r, MR_HASH_RANGE_PARTS);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS; i++)
    m->digests[i] = S_unsigned (&list, G_MAXUINT64);
  r->bad = r->bad || list.bad;
}

static guint *
S_read_indices (Reader *r, guint *count)
{
  Reader list = S_array (r, MR_SHARDS_MAX);
  guint *indices = g_new0 (guint, list.count + 1);
  *count = 0;
  while (!list.bad && list.next < list.count)
    indices[(*count)++] = (guint) S_unsigned (&list, MR_SHARDS_MAX - 1);
  r->bad = r->bad || list.bad;
  return indices;
}

static void
S_read_batch (Reader *r, MrWireMessage *m)
{
  MrWireBatch *batch = &m->batch;
  batch->id = S_unsigned (r, G_MAXUINT64);
  batch->root_incarnation = S_unsigned (r, G_MAXUINT64);
  S_string (r, batch->service, sizeof batch->service);
  batch->generation = S_unsigned (r, G_MAXUINT64);
  batch->remaining_us = (gint64) S_unsigned (r, 60 * MR_SECOND);
  batch->traffic_class = (MrTrafficClass) S_unsigned (r, MR_TRAFFIC_CLASS_COUNT - 1);
  batch->top_k = (guint) S_unsigned (r, 1000);
  batch->policy.extra_call_ratio = S_double (r, 0, 1);
  batch->policy.hedge_quantile = S_double (r, 0, 1);
  batch->policy.target_limit = (guint) S_unsigned (r, 10000);
  batch->policy.owner_count = (guint) S_unsigned (r, 64);
  batch->query = S_text (r);
  batch->shards = S_read_indices (r, &batch->shard_count);
}

static void
S_read_hits (Reader *r, MrPartial *partial)
{
  Reader list = S_array (r, MR_SHARDS_MAX);
  partial->hits = g_new0 (MrHit, list.count + 1);
  while (!list.bad && list.next < list.count)
    {
      Reader item = S_array (&list, 4);
      MrHit *hit = &partial->hits[partial->hit_count++];
      hit->shard = (guint) S_unsigned (&item, MR_SHARDS_MAX - 1);
      hit->score = S_double (&item, -G_MAXDOUBLE, G_MAXDOUBLE);
      hit->key = mr_text_dup (S_text (&item));
      hit->data = mr_text_dup (S_text (&item));
      list.bad = list.bad || item.bad;
    }
  r->bad = r->bad || list.bad;
}

static void
S_read_partial (Reader *r, MrWireMessage *m)
{
  guint64 id = S_unsigned (r, G_MAXUINT64);
  m->root_incarnation = S_unsigned (r, G_MAXUINT64);
  MrPartialKind kind = (MrPartialKind) S_unsigned (r, MR_PARTIAL_IN_PROGRESS);
  MrPartial *partial = m->partial = mr_partial_new (id, kind);
  partial->retry_after_ms = (gint64) S_unsigned (r, RETRY_AFTER_MAX_MS);
  partial->call_count = (guint) S_unsigned (r, G_MAXUINT32);
  partial->extra_calls = (guint) S_unsigned (r, G_MAXUINT32);
  partial->straggler = (guint) S_unsigned (r, MR_NO_TARGET_INDEX);
  partial->covered_shards = S_read_indices (r, &partial->covered_shard_count);
  S_read_hits (r, partial);
}

static void
S_read_order (Reader *r, MrWireMessage *m)
{
  MrWireOrder *order = &m->order;
  order->request_id = S_unsigned (r, G_MAXUINT64);
  order->sender_incarnation = S_unsigned (r, G_MAXUINT64);
  S_string (r, order->service, sizeof order->service);
  S_string (r, order->ticket, sizeof order->ticket);
  order->remaining_ms = (gint64) S_unsigned (r, 60000);
  order->body = S_text (r);
}

static void
S_read_order_result (Reader *r, MrWireMessage *m)
{
  MrWireOrderResult *result = &m->order_result;
  result->request_id = S_unsigned (r, G_MAXUINT64);
  result->sender_incarnation = S_unsigned (r, G_MAXUINT64);
  result->result = (MrResult) S_unsigned (r, 999);
  result->retry_after_ms = (gint64) S_unsigned (r, RETRY_AFTER_MAX_MS);
  result->body = S_text (r);
}

static void
S_read_forget (Reader *r, MrWireMessage *m)
{
  m->root_incarnation = S_unsigned (r, G_MAXUINT64);
  m->batch_id = S_unsigned (r, G_MAXUINT64);
}

/* Leaves the message's type as it is, so that a caller sees that there is one inside. */
static void
S_read_deflated (Reader *r, MrWireMessage *m)
{
  uLongf len = (uLongf) S_unsigned (r, MR_WIRE_MAX_BYTES);
  MrText deflated = S_text (r);
  if (r->bad || len == 0)
    {
      r->bad = TRUE;
      return;
    }
  m->inflated = g_string_sized_new (len);
  g_string_set_size (m->inflated, len);
  uLongf found = len;
  r->bad = uncompress ((Bytef *) m->inflated->str, &found, (const Bytef *) deflated.data,
                       deflated.len) != Z_OK ||
           found != len;
}

static void (*const readers[]) (Reader *r, MrWireMessage *m) = {
  [MR_WIRE_HEARTBEAT] = S_read_heartbeat,
  [MR_WIRE_ANNOUNCE] = S_read_news,
  [MR_WIRE_GET] = S_read_get,
  [MR_WIRE_OBJECTS] = S_read_objects,
  [MR_WIRE_BATCH] = S_read_batch,
  [MR_WIRE_PARTIAL] = S_read_partial,
  [MR_WIRE_CANCEL_BATCH] = S_read_forget,
  [MR_WIRE_ORDER] = S_read_order,
  [MR_WIRE_ORDER_RESULT] = S_read_order_result,
  [MR_WIRE_RANGE_SUMMARIES] = S_read_list,
  [MR_WIRE_RANGE_DIGESTS] = S_read_ranges,
  [MR_WIRE_MEMBERS] = S_read_heartbeat,
  [MR_WIRE_DEFLATED] = S_read_deflated,
};

static MrStatus
S_read_message (const msgpack_object *root, MrWireMessage *m)
{
  Reader r = S_reader (root);
  if (!mr_text_equal (S_text (&r), mr_text (MR_WIRE_MAGIC)))
    return mr_fail (MR_ERROR_INVALID, "not a message of ours");
  guint64 version = S_unsigned (&r, G_MAXUINT64);
  if (r.bad || version != MR_WIRE_VERSION)
    return mr_fail (MR_ERROR_INVALID, "message version %" G_GUINT64_FORMAT ", expected %d", version,
                    MR_WIRE_VERSION);
  guint64 type = S_unsigned (&r, MR_WIRE_DEFLATED);
  S_string (&r, m->sender, sizeof m->sender);
  if (r.bad || type == 0)
    return mr_fail (MR_ERROR_INVALID, "no known message type or sender");
  m->type = (MrWireType) type;
  readers[type](&r, m);
  if (r.bad || r.next != r.count)
    return mr_fail (MR_ERROR_INVALID, "message type %d: field %u is wrong", (int) type, r.next);
  return MR_OK;
}

/* Reads a big-endian number of @bytes bytes; FALSE if it is cut short. */
static gboolean
S_take_number (MrText *text, size_t bytes, guint64 *number)
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

/* Head of one item: how many bytes of content follow, and how many items.  Only
 * what we write is known: arrays, strings, numbers. */
static gboolean
S_take_head (MrText *text, guint64 *content, guint64 *items)
{
  guint64 head = 0;
  *content = 0;
  *items = 0;
  if (!S_take_number (text, 1, &head))
    return FALSE;
  if (head <= 0x7f) /* small number */
    return TRUE;
  if (head >= 0x90 && head <= 0x9f) /* small array */
    *items = head & 0x0f;
  else if (head >= 0xa0 && head <= 0xbf) /* small string */
    *content = head & 0x1f;
  else if (head == 0xca || head == 0xcb) /* float, double */
    *content = head == 0xca ? 4 : 8;
  else if (head >= 0xcc && head <= 0xd3) /* numbers of 1, 2, 4 or 8 bytes */
    *content = G_GUINT64_CONSTANT (1) << (head & 3);
  else if (head >= 0xd9 && head <= 0xdb) /* strings */
    return S_take_number (text, (size_t) 1 << (head - 0xd9), content);
  else if (head == 0xdc || head == 0xdd) /* arrays */
    return S_take_number (text, head == 0xdc ? 2 : 4, items);
  else
    return FALSE;
  return TRUE;
}

/* TRUE if every length in @text can be met by the bytes that follow.  The
 * library reserves memory for an array as soon as it reads its length, so five
 * bytes of a hostile message would make it ask for 32 GiB; an item takes at
 * least a byte, which bounds the length by the message. */
static gboolean
S_lengths_fit (MrText text)
{
  guint64 open = 1;
  while (open > 0)
    {
      guint64 content = 0;
      guint64 items = 0;
      if (!S_take_head (&text, &content, &items) || content > text.len)
        return FALSE;
      text.data += content;
      text.len -= content;
      open += items - 1;
      if (open > text.len)
        return FALSE;
    }
  return text.len == 0;
}

/* msgpack objects point into @bytes, but arrays live in the unpacker's zone, so
 * the zone is freed only after all fields were copied or borrowed. */
static MrStatus
S_decode (MrText bytes, MrWireMessage *message)
{
  if (!S_lengths_fit (bytes))
    return mr_fail (MR_ERROR_INVALID, "not a message of ours, or cut short");
  msgpack_zone zone;
  msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
  msgpack_object root;
  size_t offset = 0;
  msgpack_unpack_return done =
      msgpack_unpack (bytes.data ? bytes.data : "", bytes.len, &offset, &zone, &root);
  MrStatus status = done == MSGPACK_UNPACK_SUCCESS && offset <= bytes.len
                        ? S_read_message (&root, message)
                        : mr_fail (MR_ERROR_INVALID, "not msgpack, or cut short");
  msgpack_zone_destroy (&zone);
  return status;
}

/* What was compressed twice is refused: no daemon does so, and each layer could
 * multiply what a short message makes this one hold. */
static MrStatus
S_decode_inflated (MrWireMessage *message)
{
  GString *inflated = message->inflated;
  *message = (MrWireMessage){ 0 };
  MrStatus status = S_decode (mr_text_of (inflated), message);
  if (status == MR_OK && message->type == MR_WIRE_DEFLATED)
    {
      g_string_free (message->inflated, TRUE);
      status = mr_fail (MR_ERROR_INVALID, "a message that was compressed twice");
    }
  message->inflated = inflated;
  return status;
}

MrStatus
mr_wire_decode (MrText bytes, MrWireMessage *message)
{
  *message = (MrWireMessage){ 0 };
  if (bytes.len > MR_WIRE_MAX_BYTES)
    return mr_fail (MR_ERROR_LIMIT, "message of %zu bytes, expected at most %d", bytes.len,
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
