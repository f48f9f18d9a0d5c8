#include "layout.h"

struct _MrLayout
{
  MrShardMap *map;
  char *all; /* name of the set of all targets */
  MrRouteService everything;
  MrRouteService *shards; /* names of the shards' sets */
  MrTargetState **states;
  MrPolicy policy; /* that the targets' limits were set by */
  guint open;      /* batches that use it */
  gboolean old;    /* a newer map of the service is in use */
};

struct _MrLayouts
{
  MrRelay *relay;
  GHashTable *by_set;  /* set of all -> MrLayout */
  GHashTable *leaving; /* keys listed as leaving, seen in use or not */
  guint old;           /* layouts */
};

static void
S_layout_free (gpointer data)
{
  MrLayout *layout = data;
  for (guint i = 0; i < layout->map->shard_count; i++)
    g_free (layout->shards[i].service);
  g_free (layout->shards);
  g_free (layout->states);
  g_free (layout->all);
  mr_shard_map_unref (layout->map);
  g_free (layout);
}

MrLayouts *
mr_layouts_new (MrRelay *relay)
{
  MrLayouts *layouts = g_new0 (MrLayouts, 1);
  layouts->relay = relay;
  layouts->by_set = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_layout_free);
  layouts->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return layouts;
}

void
mr_layouts_free (MrLayouts *layouts)
{
  if (!layouts)
    return;
  g_hash_table_unref (layouts->by_set);
  g_hash_table_unref (layouts->leaving);
  g_free (layouts);
}

guint
mr_layouts_count (const MrLayouts *layouts)
{
  return g_hash_table_size (layouts->by_set);
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
  layout->states[index] = mr_relay_update_target (layouts->relay, now, set, target, leaving, 0);
}

static MrLayout *
S_layout_new (MrLayouts *layouts, MrTime now, MrShardMap *map, char *all)
{
  MrLayout *layout = g_new0 (MrLayout, 1);
  layout->map = mr_shard_map_ref (map);
  layout->all = all;
  layout->everything = (MrRouteService){ .service = all };
  layout->shards = g_new0 (MrRouteService, map->shard_count + 1);
  layout->states = g_new0 (MrTargetState *, map->target_count + 1);
  mr_relay_add_group (layouts->relay, all, map->service);
  for (guint i = 0; i < map->target_count; i++)
    S_add_to_set (layouts, now, layout, all, i);
  for (guint i = 0; i < map->shard_count; i++)
    {
      const MrShard *shard = &map->shards[i];
      layout->shards[i].service = g_strdup_printf ("%s/%s", all, shard->name);
      mr_relay_add_group (layouts->relay, layout->shards[i].service, map->service);
      for (guint r = 0; r < shard->replica_count; r++)
        S_add_to_set (layouts, now, layout, layout->shards[i].service, shard->replicas[r]);
    }
  return layout;
}

static void
S_retire_older (MrLayouts *layouts, const MrShardMap *map)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, layouts->by_set);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      MrLayout *layout = item;
      if (layout->map->generation >= map->generation || layout->old ||
          !g_str_equal (layout->map->service, map->service))
        continue;
      layout->old = TRUE;
      layouts->old++;
    }
}

void
mr_layouts_remove_unused (MrLayouts *layouts)
{
  GHashTableIter iter;
  gpointer item = NULL;
  if (layouts->old == 0)
    return;
  g_hash_table_iter_init (&iter, layouts->by_set);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const MrLayout *layout = item;
      if (!layout->old || layout->open > 0)
        continue;
      for (guint i = 0; i < layout->map->shard_count; i++)
        mr_relay_remove_group (layouts->relay, layout->shards[i].service);
      mr_relay_remove_group (layouts->relay, layout->all);
      g_hash_table_iter_remove (&iter);
      layouts->old--;
    }
}

MrLayout *
mr_layouts_get (MrLayouts *layouts, MrTime now, MrShardMap *map)
{
  g_autofree char *all = g_strdup_printf ("%s#%" G_GUINT64_FORMAT, map->service, map->generation);
  MrLayout *layout = g_hash_table_lookup (layouts->by_set, all);
  if (layout)
    return layout;
  layout = S_layout_new (layouts, now, map, g_steal_pointer (&all));
  g_hash_table_insert (layouts->by_set, layout->all, layout);
  S_retire_older (layouts, map);
  return layout;
}

/* Our share of each target's slots. */
static void
S_set_limits (MrLayout *layout, const MrPolicy *policy)
{
  if (layout->policy.owners == policy->owners &&
      layout->policy.target_limit == policy->target_limit && layout->policy.owners > 0)
    return;
  layout->policy = *policy;
  for (guint i = 0; i < layout->map->target_count; i++)
    {
      guint slots = layout->map->targets[i].slots;
      if (policy->target_limit > 0)
        slots = MIN (slots, policy->target_limit);
      mr_concurrency_limit_set_max (&layout->states[i]->limit,
                                    (double) slots / MAX (policy->owners, 1));
    }
}

void
mr_layout_acquire (MrLayout *layout, const MrPolicy *policy)
{
  layout->open++;
  S_set_limits (layout, policy);
}

void
mr_layout_release (MrLayout *layout)
{
  layout->open--;
}

const MrRouteService *
mr_layout_shard_set (const MrLayout *layout, guint shard)
{
  return shard == MR_ALL_SHARDS ? &layout->everything : &layout->shards[shard];
}

MrTargetState *
mr_layout_target (const MrLayout *layout, guint index)
{
  return layout->states[index];
}
