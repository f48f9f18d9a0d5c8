#include "control_private.h"

#include "evacuation.h"
#include "log.h"

static void
S_offer_evacuation (MrControlTask *task, const char *domain, guint64 version)
{
  mr_replication_offer (task->replication, MR_OBJECT_EVACUATION, mr_text (domain), version,
                        (MrText){ 0 }, NULL);
}

/* Offers what a full listing says of @domain. A store that has come back from a copy may list an
 * earlier state than the known one until the operators have written theirs again. */
static void
S_offer_listed (MrControlTask *task, const char *domain, guint64 version)
{
  if (!mr_control_era_hold (task, MR_OBJECT_EVACUATION, domain, version, (MrText){ 0 }))
    S_offer_evacuation (task, domain, version);
}

/* The body is ignored: an evacuation is active for as long as its object exists. */
void
mr_control_evacuation_read_from_store (MrControlTask *task,
                                       gboolean full,
                                       const MrPlatformObject *object)
{
  guint64 version = mr_evacuation_version (object->version, object->deleted);
  if (!object->deleted)
    g_hash_table_add (task->listed_evacuations, g_strdup (object->name));
  if (full)
    S_offer_listed (task, object->name, version);
  else
    S_offer_evacuation (task, object->name, version);
}

void
mr_control_evacuation_begin_listing (MrControlTask *task, guint64 version)
{
  g_hash_table_remove_all (task->listed_evacuations);
  task->evacuation_listing_version = version;
}

typedef struct
{
  const MrControlTask *task;
  GPtrArray *ended; /* names */
} Unlisted;

static void
S_add_unlisted (const MrObject *object, void *user)
{
  Unlisted *unlisted = user;
  const MrControlTask *task = unlisted->task;
  if (mr_evacuation_is_active (object->version) &&
      object->version < task->evacuation_listing_version &&
      !g_hash_table_contains (task->listed_evacuations, object->name))
    g_ptr_array_add (unlisted->ended, g_strdup (object->name));
}

void
mr_control_evacuation_end_listing (MrControlTask *task)
{
  Unlisted unlisted = { .task = task, .ended = g_ptr_array_new_with_free_func (g_free) };
  mr_registry_foreach_of_kind (task->registry, MR_OBJECT_EVACUATION, S_add_unlisted, &unlisted);
  for (guint i = 0; i < unlisted.ended->len; i++)
    S_offer_listed (task, g_ptr_array_index (unlisted.ended, i), task->evacuation_listing_version);
  g_ptr_array_unref (unlisted.ended);
  g_hash_table_remove_all (task->listed_evacuations);
}

/* TRUE if a peer still holds an evacuation from an earlier era that the store does not list in the
 * current one. */
static gboolean
S_is_lost (const MrControlTask *task, const MrObject *object)
{
  return task->watches[WATCH_EVACUATIONS].since > 0 && mr_evacuation_is_active (object->version) &&
         !mr_control_era_is_held (task, MR_OBJECT_EVACUATION, object->name) &&
         mr_version_era (object->version) < mr_version_era (task->evacuation_listing_version);
}

void
mr_control_evacuation_updated (MrControlTask *task, const MrObject *object)
{
  gboolean active = mr_evacuation_is_active (object->version);
  mr_log (MR_LOG_NOTICE, MR_EVENT_EVACUATION,
          active ? "failure domain %s is evacuated: its targets get no new work"
                 : "failure domain %s is no longer evacuated",
          object->name);
  if (S_is_lost (task, object))
    {
      g_autofree char *domain = g_strdup (object->name);
      S_offer_listed (task, domain, task->evacuation_listing_version);
    }
}
