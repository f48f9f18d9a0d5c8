#include "batch.h"

static const char *const class_names[MR_TRAFFIC_CLASS_COUNT] = {
  [MR_TRAFFIC_CLASS_URGENT] = "urgent",
  [MR_TRAFFIC_CLASS_INTERACTIVE] = "interactive",
  [MR_TRAFFIC_CLASS_BROWSING] = "browsing",
};

const char *
mr_traffic_class_name (MrTrafficClass traffic_class)
{
  return class_names[traffic_class];
}

MrTrafficClass
mr_traffic_class_from_name (MrText name)
{
  for (int i = 0; i < MR_TRAFFIC_CLASS_COUNT; i++)
    if (mr_text_equal (mr_text (class_names[i]), name))
      return (MrTrafficClass) i;
  return MR_TRAFFIC_CLASS_COUNT;
}

MrFingerprint
mr_batch_fingerprint (const char *service, gboolean is_order, MrText payload, guint64 content_key)
{
  const MrText texts[] = { mr_text (is_order ? "order" : "search"), mr_text (service), payload };
  return mr_fingerprint_compute (texts, G_N_ELEMENTS (texts), content_key);
}

MrBatch *
mr_batch_new (guint64 id, MrShardMap *map, guint shard_count)
{
  MrBatch *batch = g_new0 (MrBatch, 1);
  batch->id = id;
  batch->map = mr_shard_map_ref (map);
  batch->payload = g_string_new (NULL);
  batch->shard_count = shard_count;
  batch->shards = g_new0 (guint, shard_count);
  batch->policy.owner_count = 1;
  return batch;
}

void
mr_batch_free (MrBatch *batch)
{
  if (!batch)
    return;
  mr_shard_map_unref (batch->map);
  g_string_free (batch->payload, TRUE);
  g_free (batch->shards);
  g_free (batch);
}

MrPartial *
mr_partial_new (guint64 batch_id, MrPartialKind kind)
{
  MrPartial *partial = g_new0 (MrPartial, 1);
  partial->batch_id = batch_id;
  partial->kind = kind;
  partial->straggler = MR_NO_TARGET_INDEX;
  return partial;
}

void
mr_hit_clear (MrHit *hit)
{
  g_free (hit->key);
  g_free (hit->data);
}

void
mr_partial_free (MrPartial *partial)
{
  if (!partial)
    return;
  for (guint i = 0; i < partial->hit_count; i++)
    mr_hit_clear (&partial->hits[i]);
  g_free (partial->hits);
  g_free (partial->covered_shards);
  if (partial->order_reply)
    g_string_free (partial->order_reply, TRUE);
  g_free (partial);
}
