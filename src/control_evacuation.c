#include "control_private.h"

#include "evacuation.h"
#include "log.h"

static void
S_offer (MrControlTask *task, const char *domain, guint64 version)
{
  mr_spread_offer (task->spread, MR_OBJECT_EVACUATION, mr_text (domain), version, (MrText){ 0 },
                   NULL);
}

/* What the object says is of no matter: it stands until it is removed. */
void
mr_control_evacuation_stored (MrControlTask *task, const MrPlatformObject *object)
{
  if (!object->deleted)
    g_hash_table_add (task->evacuations_listed, g_strdup (object->name));
  S_offer (task, object->name, mr_evacuation_version (object->version, object->deleted));
}

void
mr_control_evacuation_list (MrControlTask *task, guint64 version)
{
  g_hash_table_remove_all (task->evacuations_listed);
  task->evacuations_version = version;
}

typedef struct
{
  const MrControlTask *task;
  GPtrArray *over; /* names */
} Unlisted;

static void
S_add_unlisted (const MrObject *object, void *user)
{
  Unlisted *unlisted = user;
  const MrControlTask *task = unlisted->task;
  if (mr_evacuation_holds (object->version) && object->version < task->evacuations_version &&
      !g_hash_table_contains (task->evacuations_listed, object->name))
    g_ptr_array_add (unlisted->over, g_strdup (object->name));
}

void
mr_control_evacuation_listed (MrControlTask *task)
{
  Unlisted unlisted = { .task = task, .over = g_ptr_array_new_with_free_func (g_free) };
  mr_registry_foreach_of (task->registry, MR_OBJECT_EVACUATION, S_add_unlisted, &unlisted);
  for (guint i = 0; i < unlisted.over->len; i++)
    S_offer (task, g_ptr_array_index (unlisted.over, i), task->evacuations_version);
  g_ptr_array_unref (unlisted.over);
  g_hash_table_remove_all (task->evacuations_listed);
}

void
mr_control_evacuation_taken (const MrObject *object)
{
  gboolean holds = mr_evacuation_holds (object->version);
  mr_log (MR_LOG_NOTICE, MR_EVENT_EVACUATION,
          holds ? "failure domain %s is evacuated: its targets get no new work"
                : "failure domain %s is no longer evacuated",
          object->name);
}
