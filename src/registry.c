#include "registry.h"

#include "safeguard.h"
#include <xxhash.h>

struct _MrRegistry
{
  GHashTable *objects; /* "<kind>/<name>" -> MrObject */
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
  registry->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_object_free);
  return registry;
}

void
mr_registry_free (MrRegistry *registry)
{
  if (!registry)
    return;
  g_hash_table_unref (registry->objects);
  g_free (registry);
}

/* An object's share of the digest; XOR makes it independent of order. */
static guint64
S_fingerprint (const char *key, guint64 version)
{
  return XXH64 (key, strlen (key), version);
}

MrOffer
mr_registry_offer (
    MrRegistry *registry, MrObjectKind kind, MrText name, guint64 version, MrText body)
{
  char *key = S_key (kind, name);
  MrObject *object = g_hash_table_lookup (registry->objects, key);
  if (object && version == object->version)
    {
      g_free (key);
      return MR_OFFER_SAME;
    }
  /* A stale read, a slow peer or a healed region offers an older version; taken
   * up, it would put a replaced configuration back in force.  The platform's
   * versions of an object only grow, so the comparison is enough. */
  if (object && version < object->version && MR_SAFEGUARD (MR_GUARD_MONOTONIC))
    {
      g_free (key);
      return MR_OFFER_OLD;
    }
  if (object)
    registry->digest ^= S_fingerprint (key, object->version);
  registry->digest ^= S_fingerprint (key, version);
  MrObject *replacement = g_new (MrObject, 1);
  *replacement = (MrObject){
    .kind = kind,
    .name = mr_text_dup (name),
    .version = version,
    .body = g_string_new_len (body.data, (gssize) body.len),
  };
  g_hash_table_replace (registry->objects, key, replacement);
  return MR_OFFER_NEW;
}

const MrObject *
mr_registry_get (const MrRegistry *registry, MrObjectKind kind, const char *name)
{
  g_autofree char *key = S_key (kind, mr_text (name));
  return g_hash_table_lookup (registry->objects, key);
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
  return g_hash_table_size (registry->objects);
}

void
mr_registry_foreach (const MrRegistry *registry,
                     void (*visit) (const MrObject *object, void *user),
                     void *user)
{
  GHashTableIter iter;
  gpointer object = NULL;
  g_hash_table_iter_init (&iter, registry->objects);
  while (g_hash_table_iter_next (&iter, NULL, &object))
    visit (object, user);
}
