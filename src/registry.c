#include "registry.h"

#include "safeguard.h"
#include "target_record.h"
#include <xxhash.h>

struct _MrRegistry
{
  GHashTable *objects[MR_OBJECT_KIND_LAST + 1]; /* per kind: "<kind>/<name>" -> MrObject */
  guint64 digest;
};

const char *
mr_object_kind_name (MrObjectKind kind)
{
  static const char *const names[] = {
    [MR_OBJECT_ACCEPTED] = "accepted",
    [MR_OBJECT_SHARD_MAP] = "shardmaps",
    [MR_OBJECT_VM] = "vms",
    [MR_OBJECT_CONFIGURATION] = "configurations",
    [MR_OBJECT_TARGET] = "targets",
    [MR_OBJECT_EVIDENCE] = "quarantine",
    [MR_OBJECT_EVACUATION] = "evacuations",
  };
  return names[kind];
}

static char *
S_key (MrObjectKind kind, MrText name)
{
  return g_strdup_printf ("%d/%.*s", (int) kind, (int) name.len, name.data);
}

static void
S_object_free (gpointer data)
{
  MrObject *object = data;
  g_free (object->name);
  g_string_free (object->body, TRUE);
  g_free (object);
}

MrRegistry *
mr_registry_new (void)
{
  MrRegistry *registry = g_new0 (MrRegistry, 1);
  for (int kind = 0; kind <= MR_OBJECT_KIND_LAST; kind++)
    registry->objects[kind] =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_object_free);
  return registry;
}

void
mr_registry_free (MrRegistry *registry)
{
  if (!registry)
    return;
  for (int kind = 0; kind <= MR_OBJECT_KIND_LAST; kind++)
    g_hash_table_unref (registry->objects[kind]);
  g_free (registry);
}

/* Returns the object's contribution to the digest. Contributions are combined by XOR, which
 * makes the digest independent of their order. */
static guint64
S_version_digest (const char *key, guint64 version)
{
  return XXH64 (key, strlen (key), version);
}

/* Detects entries of a target's previous process. A target may restart under the same id, and
 * a write that its old process sent to the platform may arrive after the new process's entry.
 * If that write won, callers would be sent to a process that has exited until the entry
 * changes again. The start time in the entry decides, regardless of the order of arrival
 * and of the sender. An entry without a start time, under an id that has had one, does not
 * identify any process. */
static gboolean
S_is_of_earlier_process (const MrObject *known, MrText body, guint64 start)
{
  return known && body.len > 0 && start < known->latest_start &&
         MR_SAFEGUARD (MR_GUARD_INCARNATION);
}

/* Returns the body to store in place of a rejected one: the known one, or none if the rejected
 * entry has no start time. */
static MrText
S_retained_body (const MrObject *known, guint64 start)
{
  return start == 0 ? (MrText){ 0 } : mr_text_of (known->body);
}

MrOfferResult
mr_registry_offer (
    MrRegistry *registry, MrObjectKind kind, MrText name, guint64 version, MrText body)
{
  char *key = S_key (kind, name);
  MrObject *object = g_hash_table_lookup (registry->objects[kind], key);
  if (object && version == object->version)
    {
      g_free (key);
      return MR_OFFER_SAME;
    }
  /* A stale read, a slow peer or a region that was cut off may offer an older version. Storing
   * it would put a replaced configuration back in force. The platform only increases an
   * object's version, so comparing versions is enough. */
  if (object && version < object->version && MR_SAFEGUARD (MR_GUARD_MONOTONIC))
    {
      g_free (key);
      return MR_OFFER_OLD;
    }
  guint64 start = kind == MR_OBJECT_TARGET ? mr_target_record_start_time (body) : 0;
  MrOfferResult result = MR_OFFER_NEW;
  if (S_is_of_earlier_process (object, body, start))
    {
      result = MR_OFFER_BODY_REJECTED;
      version |= MR_VERSION_BODY_REJECTED;
      body = S_retained_body (object, start);
    }
  if (object)
    registry->digest ^= S_version_digest (key, object->version);
  registry->digest ^= S_version_digest (key, version);
  MrObject *replacement = g_new (MrObject, 1);
  *replacement = (MrObject){
    .kind = kind,
    .name = mr_text_dup (name),
    .version = version,
    .body = g_string_new_len (body.data, (gssize) body.len),
    .latest_start = MAX (start, object ? object->latest_start : 0),
    .key_hash = XXH64 (key, strlen (key), 0),
  };
  g_hash_table_replace (registry->objects[kind], key, replacement);
  return result;
}

void
mr_registry_remove (MrRegistry *registry, MrObjectKind kind, const char *name)
{
  g_autofree char *key = S_key (kind, mr_text (name));
  const MrObject *object = g_hash_table_lookup (registry->objects[kind], key);
  if (!object)
    return;
  registry->digest ^= S_version_digest (key, object->version);
  g_hash_table_remove (registry->objects[kind], key);
}

const MrObject *
mr_registry_get (const MrRegistry *registry, MrObjectKind kind, const char *name)
{
  g_autofree char *key = S_key (kind, mr_text (name));
  return g_hash_table_lookup (registry->objects[kind], key);
}

guint64
mr_registry_version (const MrRegistry *registry, MrObjectKind kind, const char *name)
{
  const MrObject *object = mr_registry_get (registry, kind, name);
  return object ? object->version : 0;
}

guint64
mr_registry_digest (const MrRegistry *registry)
{
  return registry->digest;
}

guint
mr_registry_count (const MrRegistry *registry)
{
  guint count = 0;
  for (int kind = 0; kind <= MR_OBJECT_KIND_LAST; kind++)
    count += g_hash_table_size (registry->objects[kind]);
  return count;
}

static void
S_add_range_digests (GHashTable *objects, MrHashRange range, guint64 *digests, guint *counts)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, objects);
  while (g_hash_table_iter_next (&iter, &key, &item))
    {
      const MrObject *object = item;
      if (!mr_hash_range_contains (range, object->key_hash))
        continue;
      guint part = (object->key_hash << range.bits) >> (64 - MR_HASH_RANGE_PART_BITS);
      digests[part] ^= S_version_digest (key, object->version);
      counts[part]++;
    }
}

void
mr_registry_range_digests (const MrRegistry *registry,
                           MrHashRange range,
                           guint64 digests[MR_HASH_RANGE_PARTS],
                           guint counts[MR_HASH_RANGE_PARTS])
{
  memset (digests, 0, MR_HASH_RANGE_PARTS * sizeof *digests);
  memset (counts, 0, MR_HASH_RANGE_PARTS * sizeof *counts);
  for (int kind = 0; kind <= MR_OBJECT_KIND_LAST; kind++)
    S_add_range_digests (registry->objects[kind], range, digests, counts);
}

void
mr_registry_foreach_of_kind (const MrRegistry *registry,
                             MrObjectKind kind,
                             void (*visit) (const MrObject *object, void *user),
                             void *user)
{
  GHashTableIter iter;
  gpointer object = NULL;
  g_hash_table_iter_init (&iter, registry->objects[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &object))
    visit (object, user);
}

void
mr_registry_foreach (const MrRegistry *registry,
                     void (*visit) (const MrObject *object, void *user),
                     void *user)
{
  for (int kind = 0; kind <= MR_OBJECT_KIND_LAST; kind++)
    mr_registry_foreach_of_kind (registry, kind, visit, user);
}
