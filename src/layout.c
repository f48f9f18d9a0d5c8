#include "layout.h"

struct _MrLayout
{
  MrShardMap *map;
  char *all_targets_name; /* name of the set of all targets */
  MrRouteService all_targets;
  MrRouteService *shard_sets; /* names of the shards' sets */
  MrTargetState **target_states;
  MrBatchPolicy policy; /* policy that the current target limits were computed from */
  guint use_count;      /* batches that use it */
  gboolean outdated;    /* a newer map of the service is in use */
};

struct _MrLayouts
{
  MrRelay *relay;
  GHashTable *by_name;  /* name of the set of all targets -> MrLayout */
  GHashTable *leaving;  /* keys of leaving targets, whether in a layout or not */
  guint outdated_count; /* number of outdated layouts */
};

static void
S_layout_free (gpointer data)
{
  MrLayout *layout = data;
  for (guint i = 0; i < layout->map->shard_count; i++)
    g_free (layout->shard_sets[i].service);
  g_free (layout->shard_sets);
  g_free (layout->target_states);
  g_free (layout->all_targets_name);
  mr_shard_map_unref (layout->map);
  g_free (layout);
}

MrLayouts *
mr_layouts_new (MrRelay *relay)
{
  MrLayouts *layouts = g_new0 (MrLayouts, 1);
  layouts->relay = relay;
  layouts->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_layout_free);
  layouts->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return layouts;
}

void
mr_layouts_free (MrLayouts *layouts)
{
  if (!layouts)
    return;
  g_hash_table_unref (layouts->by_name);
  g_hash_table_unref (layouts->leaving);
  g_free (layouts);
}

guint
mr_layouts_count (const MrLayouts *layouts)
{
  return g_hash_table_size (layouts->by_name);
}

void
mr_layouts_set_leaving (MrLayouts *layouts, const char *key, gboolean leaving)
{
  if (leaving)
    g_hash_table_add (layouts->leaving, g_strdup (key));
  else
    g_hash_table_remove (layouts->leaving, key);
}

/* Adds target @index of the map to @set. */
static void
S_add_to_set (MrLayouts *layouts, MrTime now, MrLayout *layout, const char *set, guint index)
{
  const MrTarget *target = &layout->map->targets[index];
  char key[64];
  g_snprintf (key, sizeof key, "%s:%d", target->ip, target->port);
  gboolean leaving = g_hash_table_contains (layouts->leaving, key);
  layout->target_states[index] =
      mr_relay_update_target (layouts->relay, now, set, target, leaving, 0);
}

static MrLayout *
S_layout_new (MrLayouts *layouts, MrTime now, MrShardMap *map, char *name)
{
  MrLayout *layout = g_new0 (MrLayout, 1);
  layout->map = mr_shard_map_ref (map);
  layout->all_targets_name = name;
  layout->all_targets = (MrRouteService){ .service = name };
  layout->shard_sets = g_new0 (MrRouteService, map->shard_count + 1);
  layout->target_states = g_new0 (MrTargetState *, map->target_count + 1);
  mr_relay_add_group (layouts->relay, name, map->service);
  for (guint i = 0; i < map->target_count; i++)
    S_add_to_set (layouts, now, layout, name, i);
  for (guint i = 0; i < map->shard_count; i++)
    {
      const MrShard *shard = &map->shards[i];
      layout->shard_sets[i].service = g_strdup_printf ("%s/%s", name, shard->name);
      mr_relay_add_group (layouts->relay, layout->shard_sets[i].service, map->service);
      for (guint r = 0; r < shard->replica_count; r++)
        S_add_to_set (layouts, now, layout, layout->shard_sets[i].service, shard->replicas[r]);
    }
  return layout;
}

static void
S_mark_outdated (MrLayouts *layouts, const MrShardMap *map)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, layouts->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrLayout *layout = item;
      if (layout->map->generation >= map->generation || layout->outdated ||
          !g_str_equal (layout->map->service, map->service))
        continue;
      layout->outdated = TRUE;
      layouts->outdated_count++;
    }
}

void
mr_layouts_remove_unused (MrLayouts *layouts)
{
  GHashTableIter iter;
  gpointer item = NULL;
  if (layouts->outdated_count == 0)
    return;
  g_hash_table_iter_init (&iter, layouts->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const MrLayout *layout = item;
      if (!layout->outdated || layout->use_count > 0)
        continue;
      for (guint i = 0; i < layout->map->shard_count; i++)
        mr_relay_remove_group (layouts->relay, layout->shard_sets[i].service);
      mr_relay_remove_group (layouts->relay, layout->all_targets_name);
      g_hash_table_iter_remove (&iter);
      layouts->outdated_count--;
    }
}

MrLayout *
mr_layouts_get (MrLayouts *layouts, MrTime now, MrShardMap *map)
{
  g_autofree char *name = g_strdup_printf ("%s#%" G_GUINT64_FORMAT, map->service, map->generation);
  MrLayout *layout = g_hash_table_lookup (layouts->by_name, name);
  if (layout)
    return layout;
  layout = S_layout_new (layouts, now, map, g_steal_pointer (&name));
  g_hash_table_insert (layouts->by_name, layout->all_targets_name, layout);
  S_mark_outdated (layouts, map);
  return layout;
}

/* Limits the calls to each target to this daemon's share of its slots. */
static void
S_set_limits (MrLayout *layout, const MrBatchPolicy *policy)
{
  if (layout->policy.owner_count == policy->owner_count &&
      layout->policy.target_limit == policy->target_limit && layout->policy.owner_count > 0)
    return;
  layout->policy = *policy;
  for (guint i = 0; i < layout->map->target_count; i++)
    {
      guint slots = layout->map->targets[i].slots;
      if (policy->target_limit > 0)
        slots = MIN (slots, policy->target_limit);
      mr_concurrency_limit_set_max (&layout->target_states[i]->limit,
                                    (double) slots / MAX (policy->owner_count, 1));
    }
}

void
mr_layout_acquire (MrLayout *layout, const MrBatchPolicy *policy)
{
  layout->use_count++;
  S_set_limits (layout, policy);
}

void
mr_layout_release (MrLayout *layout)
{
  layout->use_count--;
}

const MrRouteService *
mr_layout_shard_set (const MrLayout *layout, guint shard)
{
  return shard == MR_ALL_SHARDS ? &layout->all_targets : &layout->shard_sets[shard];
}

MrTargetState *
mr_layout_target (const MrLayout *layout, guint index)
{
  return layout->target_states[index];
}
