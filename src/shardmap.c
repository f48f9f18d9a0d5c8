#include "shardmap.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdatomic.h>

enum
{
  DEFAULT_SLOTS = 4,
  DEFAULT_CONNECTIONS = 40,
};

typedef struct
{
  MrShardMap map; /* first, so that a map can be cast to its SharedMap */
  atomic_int reference_count;
} SharedMap;

static MrStatus
S_copy_name (const json_t *object, const char *key, char *out, size_t size)
{
  const char *value = json_string_value (json_object_get (object, key));
  if (!value || value[0] == '\0' || strlen (value) >= size)
    return mr_fail (MR_ERROR_INVALID, "shard map: key '%s': expected a string of 1 to %zu bytes",
                    key, size - 1);
  g_strlcpy (out, value, size);
  return MR_OK;
}

static MrStatus
S_read_count (const json_t *object, const char *key, gint64 default_value, gint64 max, gint64 *out)
{
  const json_t *value = json_object_get (object, key);
  *out = value ? json_integer_value (value) : default_value;
  if ((value && !json_is_integer (value)) || *out < 1 || *out > max)
    return mr_fail (MR_ERROR_INVALID,
                    "shard map: key '%s': expected a whole number from 1 to "
                    "%" G_GINT64_FORMAT,
                    key, max);
  return MR_OK;
}

static MrStatus
S_check_ip (const char *ip)
{
  unsigned char binary_address[sizeof (struct in_addr)];
  return inet_pton (AF_INET, ip, binary_address) == 1
             ? MR_OK
             : mr_fail (MR_ERROR_INVALID, "shard map: key 'ip': '%s' is not an IPv4 address", ip);
}

static MrStatus
S_read_target (const json_t *object, MrTarget *target)
{
  gint64 port = 0;
  gint64 slots = 0;
  gint64 connections = 0;
  if (S_copy_name (object, "id", target->id, sizeof target->id) != MR_OK ||
      S_copy_name (object, "ip", target->ip, sizeof target->ip) != MR_OK ||
      S_copy_name (object, "domain", target->domain, sizeof target->domain) != MR_OK ||
      S_check_ip (target->ip) != MR_OK || S_read_count (object, "port", 0, 65535, &port) != MR_OK ||
      S_read_count (object, "slots", DEFAULT_SLOTS, 10000, &slots) != MR_OK ||
      S_read_count (object, "connections", DEFAULT_CONNECTIONS, 100000, &connections) != MR_OK)
    return MR_ERROR_INVALID;
  target->port = (int) port;
  target->slots = (guint) slots;
  target->connections = (guint) connections;
  return MR_OK;
}

static MrStatus
S_read_replicas (const json_t *list, GHashTable *targets, MrShard *shard)
{
  size_t count = json_array_size (list);
  if (count < 1 || count > MR_REPLICAS_MAX)
    return mr_fail (MR_ERROR_INVALID, "shard map: shard '%s': expected 1 to %d replicas",
                    shard->name, MR_REPLICAS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      const char *id = json_string_value (json_array_get (list, i));
      gpointer index = NULL;
      if (!id || !g_hash_table_lookup_extended (targets, id, NULL, &index))
        return mr_fail (MR_ERROR_INVALID, "shard map: shard '%s': replica '%s' is not a target",
                        shard->name, id ? id : "?");
      for (guint j = 0; j < shard->replica_count; j++)
        if (shard->replicas[j] == GPOINTER_TO_UINT (index))
          return mr_fail (MR_ERROR_INVALID, "shard map: shard '%s': duplicate replica '%s'",
                          shard->name, id);
      shard->replicas[shard->replica_count++] = GPOINTER_TO_UINT (index);
    }
  return MR_OK;
}

static MrStatus
S_read_targets (MrShardMap *map, const json_t *list, GHashTable *targets_by_id)
{
  size_t count = json_array_size (list);
  if (count < 1 || count > MR_TARGETS_MAX)
    return mr_fail (MR_ERROR_INVALID, "shard map: key 'targets': expected 1 to %d targets",
                    MR_TARGETS_MAX);
  map->targets = g_new0 (MrTarget, count);
  for (size_t i = 0; i < count; i++)
    {
      MrTarget *target = &map->targets[map->target_count++];
      if (S_read_target (json_array_get (list, i), target) != MR_OK)
        return MR_ERROR_INVALID;
      if (!g_hash_table_insert (targets_by_id, target->id, GUINT_TO_POINTER ((guint) i)))
        return mr_fail (MR_ERROR_INVALID, "shard map: duplicate target '%s'", target->id);
    }
  return MR_OK;
}

static MrStatus
S_read_shards (MrShardMap *map, const json_t *list, GHashTable *targets)
{
  size_t count = json_array_size (list);
  if (count < 1 || count > MR_SHARDS_MAX)
    return mr_fail (MR_ERROR_INVALID, "shard map: key 'shards': expected 1 to %d shards",
                    MR_SHARDS_MAX);
  map->shards = g_new0 (MrShard, count);
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *object = json_array_get (list, i);
      MrShard *shard = &map->shards[map->shard_count++];
      gint64 weight = 0;
      if (S_copy_name (object, "name", shard->name, sizeof shard->name) != MR_OK ||
          S_read_count (object, "weight", 1, G_GINT64_CONSTANT (1) << 40, &weight) != MR_OK ||
          S_read_replicas (json_object_get (object, "replicas"), targets, shard) != MR_OK)
        return MR_ERROR_INVALID;
      if (!g_hash_table_add (names, shard->name))
        return mr_fail (MR_ERROR_INVALID, "shard map: duplicate shard '%s'", shard->name);
      shard->weight = (guint64) weight;
      map->total_weight += shard->weight;
    }
  return MR_OK;
}

MrShardMap *
mr_shard_map_parse (MrText name, guint64 generation, MrText body)
{
  json_error_t error;
  json_t *root = json_loadb (body.data ? body.data : "", body.len, JSON_REJECT_DUPLICATES, &error);
  if (!root)
    {
      mr_fail (MR_ERROR_INVALID, "shard map: line %d column %d: %s", error.line, error.column,
               error.text);
      return NULL;
    }
  SharedMap *shared = g_new0 (SharedMap, 1);
  atomic_init (&shared->reference_count, 1);
  MrShardMap *map = &shared->map;
  map->generation = generation;
  g_snprintf (map->service, sizeof map->service, "%.*s", (int) name.len, name.data);
  g_autoptr (GHashTable) targets_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  MrStatus status = S_copy_name (root, "snapshot", map->snapshot, sizeof map->snapshot);
  if (status == MR_OK)
    status = S_read_targets (map, json_object_get (root, "targets"), targets_by_id);
  if (status == MR_OK)
    status = S_read_shards (map, json_object_get (root, "shards"), targets_by_id);
  json_decref (root);
  if (status == MR_OK)
    return map;
  mr_shard_map_unref (map);
  return NULL;
}

MrShardMap *
mr_shard_map_ref (MrShardMap *map)
{
  atomic_fetch_add (&((SharedMap *) map)->reference_count, 1);
  return map;
}

void
mr_shard_map_unref (MrShardMap *map)
{
  if (!map || atomic_fetch_sub (&((SharedMap *) map)->reference_count, 1) > 1)
    return;
  g_free (map->targets);
  g_free (map->shards);
  g_free (map);
}

guint
mr_shard_map_cell_count (const MrShardMap *map, guint cell_shards)
{
  return (map->shard_count + cell_shards - 1) / cell_shards;
}
