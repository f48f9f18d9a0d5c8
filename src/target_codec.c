#include "target_codec.h"

#include <jansson.h>

enum
{
  HITS_MAX = 1000
};

char *
mr_target_call_path (const MrShardCall *call, const char *id_prefix, MrTime now)
{
  const MrBatch *batch = call->batch;
  gint64 remaining_ms = MAX ((batch->deadline - now) / MR_MS, 1);
  g_autofree char *ticket = g_uri_escape_string (batch->ticket, NULL, FALSE);
  if (batch->is_order)
    return g_strdup_printf ("/v1/order?id=%s-%" G_GUINT64_FORMAT
                            "&ticket=%s&deadline_ms=%" G_GINT64_FORMAT,
                            id_prefix, call->id, ticket, remaining_ms);
  const MrShardMap *map = batch->map;
  g_autofree char *snapshot = g_uri_escape_string (map->snapshot, NULL, FALSE);
  g_autofree char *shard = g_uri_escape_string (map->shards[call->shard].name, NULL, FALSE);
  g_autofree char *query = g_uri_escape_string (batch->payload->str, NULL, FALSE);
  return g_strdup_printf ("/v1/search?id=%s-%" G_GUINT64_FORMAT
                          "&snapshot=%s&shard=%s&k=%u&deadline_ms=%" G_GINT64_FORMAT "&q=%s",
                          id_prefix, call->id, snapshot, shard, batch->top_k, remaining_ms, query);
}

static guint64
S_parse_call_id (const json_t *root, const char *id_prefix)
{
  MrText id = mr_text (json_string_value (json_object_get (root, "id")));
  size_t len = strlen (id_prefix);
  guint64 number = 0;
  if (id.len <= len + 1 || memcmp (id.data, id_prefix, len) != 0 || id.data[len] != '-')
    return 0;
  MrText digits = { .data = id.data + len + 1, .len = id.len - len - 1 };
  return mr_text_parse_u64 (digits, &number) ? number : 0;
}

static char *
S_render_json (const void *source)
{
  char *text = source ? json_dumps (source, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  char *copy = g_strdup (text ? text : "null");
  free (text);
  return copy;
}

static gboolean
S_parse_hit (const json_t *item, MrHit *hit)
{
  const char *key = json_string_value (json_object_get (item, "key"));
  const json_t *score = json_object_get (item, "score");
  if (!key || !json_is_number (score))
    return FALSE;
  hit->key = g_strdup (key);
  hit->score = json_number_value (score);
  hit->render = S_render_json;
  hit->render_source = json_object_get (item, "data");
  return TRUE;
}

static void
S_parse_hits (const json_t *root, MrTargetReply *reply)
{
  const json_t *list = json_object_get (root, "hits");
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count > HITS_MAX)
    {
      reply->end.outcome = MR_CALL_ERROR;
      return;
    }
  reply->end.hits = g_new0 (MrHit, count + 1);
  for (size_t i = 0; i < count; i++)
    if (S_parse_hit (json_array_get (list, i), &reply->end.hits[reply->end.hit_count]))
      reply->end.hit_count++;
    else
      reply->end.outcome = MR_CALL_ERROR;
}

/* Outcome of a response other than 200.  An order counts as not run only if the target states
 * so. */
static MrCallOutcome
S_classify_refusal (const json_t *root, gboolean is_order)
{
  static const struct
  {
    const char *error;
    MrCallOutcome outcome;
  } refusals[] = {
    { "shed", MR_CALL_SHED },
    { "draining", MR_CALL_DRAINING },
    { "no-snapshot", MR_CALL_NO_SNAPSHOT },
    { "no-shard", MR_CALL_NO_SNAPSHOT },
    { "cancelled", MR_CALL_CANCELLED },
  };
  const char *error = json_string_value (json_object_get (root, "error"));
  if (is_order && !json_is_false (json_object_get (root, "ran")))
    return MR_CALL_BROKEN;
  for (size_t i = 0; error && i < G_N_ELEMENTS (refusals); i++)
    if (g_str_equal (refusals[i].error, error))
      return refusals[i].outcome;
  return is_order ? MR_CALL_BROKEN : MR_CALL_ERROR;
}

void
mr_target_reply_parse (const MrHttpResponse *response,
                       gboolean is_order,
                       const char *id_prefix,
                       MrTargetReply *reply)
{
  if (response->outcome != MR_HTTP_OK)
    {
      bool refused = response->outcome == MR_HTTP_CONNECT_FAILED;
      reply->end.outcome = refused ? MR_CALL_NOT_CONNECTED : MR_CALL_BROKEN;
      return;
    }
  json_t *root = json_loadb (response->body.data, response->body.len, 0, NULL);
  reply->end.outcome = is_order ? MR_CALL_BROKEN : MR_CALL_ERROR;
  reply->parsed = root;
  if (!json_is_object (root))
    return;
  if (response->status != 200)
    reply->end.outcome = S_classify_refusal (root, is_order);
  else
    {
      reply->end.outcome = MR_CALL_ANSWER;
      reply->end.echoed_id = S_parse_call_id (root, id_prefix);
      reply->end.echoed_snapshot = mr_text (json_string_value (json_object_get (root, "snapshot")));
      reply->end.echoed_shard = mr_text (json_string_value (json_object_get (root, "shard")));
      if (is_order)
        reply->end.order_reply = response->body;
      else
        S_parse_hits (root, reply);
    }
}

void
mr_target_reply_clear (MrTargetReply *reply)
{
  for (guint i = 0; i < reply->end.hit_count; i++)
    mr_hit_clear (&reply->end.hits[i]);
  g_free (reply->end.hits);
  json_decref (reply->parsed);
  *reply = (MrTargetReply){ 0 };
}
