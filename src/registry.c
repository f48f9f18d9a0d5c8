#include "registry.h"

#include "configuration.h"
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

/* Returns the order that the author of @body gave it; 0: none. */
static guint64
S_author_order (MrObjectKind kind, MrText body)
{
  if (kind == MR_OBJECT_TARGET)
    return mr_target_record_start_time (body);
  if (kind == MR_OBJECT_CONFIGURATION && MR_SAFEGUARD (MR_GUARD_CONFIGURATION))
    return mr_configuration_read_version (body);
  return 0;
}

/* Detects bodies that are older than the known one by their author's order.
 *
 * Entries of a target's previous process: a target may restart under the same id, and
 * a write that its old process sent to the platform may arrive after the new process's entry.
 * If that write won, callers would be sent to a process that has exited until the entry
 * changes again. The start time in the entry decides, regardless of the order of arrival
 * and of the sender. An entry without a start time, under an id that has had one, does not
 * identify any process.
 *
 * Earlier configurations: a store that comes back from a copy lists one that has been replaced,
 * under a version of its own. */
static gboolean
S_is_outdated_body (const MrObject *known, MrText body, guint64 order)
{
  return known && body.len > 0 && order < known->author_order &&
         MR_SAFEGUARD (MR_GUARD_INCARNATION);
}

/* Returns the body to store in place of a rejected one: the known one, or none if the rejected
 * entry of a target has no start time. */
static MrText
S_retained_body (const MrObject *known, guint64 order)
{
  return known->kind == MR_OBJECT_TARGET && order == 0 ? (MrText){ 0 } : mr_text_of (known->body);
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
  guint64 order = S_author_order (kind, body);
  MrOfferResult result = MR_OFFER_NEW;
  if (S_is_outdated_body (object, body, order))
    {
      result = MR_OFFER_BODY_REJECTED;
      version |= MR_VERSION_BODY_REJECTED;
      body = S_retained_body (object, order);
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
    .author_order = MAX (order, object ? object->author_order : 0),
    .key_hash = XXH64 (key, strlen (key), 0),
  };
  g_hash_table_replace (registry->objects[kind], key, replacement);
  return result;
}

void
mr_version_write (guint64 version, char text[MR_VERSION_TEXT_MAX])
{
  if (mr_version_era (version) > 0)
    g_snprintf (text, MR_VERSION_TEXT_MAX, "%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
                mr_version_era (version), mr_version_without_era (version));
  else
    g_snprintf (text, MR_VERSION_TEXT_MAX, "%" G_GUINT64_FORMAT, version);
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
