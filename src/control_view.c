#include "control_private.h"

#include "accepted_document.h"
#include "evacuation.h"
#include "log.h"
#include "metrics.h"
#include <jansson.h>

static void
S_add_leaving (MrView *view, const MrObject *object)
{
  json_t *root = json_loadb (object->body->str, object->body->len, 0, NULL);
  size_t i = 0;
  json_t *item = NULL;
  json_array_foreach (root, i, item)
  {
    if (json_is_string (item))
      g_hash_table_add (view->leaving_targets, g_strdup (json_string_value (item)));
  }
  json_decref (root);
}

typedef struct
{
  MrControlTask *task;
  MrView *view;
} ViewBuild;

static void
S_add_leaving_targets (const MrObject *object, void *user)
{
  S_add_leaving (((ViewBuild *) user)->view, object);
}

static void
S_add_evacuation (const MrObject *object, void *user)
{
  if (mr_evacuation_is_active (object->version))
    g_hash_table_add (((ViewBuild *) user)->view->evacuated_domains, g_strdup (object->name));
}

static void
S_add_service (const MrObject *object, void *user)
{
  ViewBuild *build = user;
  MrAcceptedDocument accepted;
  MrDocument document;
  if (mr_accepted_document_parse (mr_text_of (object->body), &accepted) != MR_OK)
    {
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID, "accepted/%s: %s", object->name,
              mr_status_message ());
      return;
    }
  if (!accepted.deleted &&
      mr_document_parse (mr_text (object->name), mr_text (accepted.document), &document) == MR_OK)
    mr_view_add_service (build->view, &document, accepted.document_version, object->version,
                         g_queue_peek_head (mr_control_shard_maps (build->task, object->name)));
  mr_accepted_document_clear (&accepted);
}

void
mr_control_view_update_member (MrControlTask *task, const MrMember *member)
{
  mr_roster_put (task->roster, member);
  if (task->relay)
    g_hash_table_add (task->members_to_publish, g_strdup (member->name));
  else
    task->members_changed = TRUE;
}

/* Returns the current state of the members that have changed, or NULL if none has. A member
 * that is no longer known was published as dead a minute earlier. */
static GArray *
S_take_changed_members (MrControlTask *task)
{
  if (g_hash_table_size (task->members_to_publish) == 0)
    return NULL;
  GArray *members = g_array_new (FALSE, FALSE, sizeof (MrMember));
  GHashTableIter iter;
  gpointer name = NULL;
  g_hash_table_iter_init (&iter, task->members_to_publish);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const MrMember *self = mr_membership_self (task->membership);
      const MrMember *member =
          g_str_equal (name, self->name) ? self : mr_membership_find (task->membership, name);
      if (member)
        g_array_append_vals (members, member, 1);
    }
  g_hash_table_remove_all (task->members_to_publish);
  return members;
}

/* Changes are posted before the view, because the view may state that this daemon is ready. */
static void
S_publish_changes (MrControlTask *task)
{
  GPtrArray *targets = mr_target_table_take_changes (task->target_table);
  GArray *members = S_take_changed_members (task);
  if (targets || members)
    mr_mailbox_post (task->entry_mailbox, &mr_changes_message_new (targets, members)->base);
}

static MrView *
S_build_view (MrControlTask *task)
{
  MrView *view = mr_view_new (task->relay ? NULL : mr_member_list_ref (task->published_members));
  ViewBuild build = { .task = task, .view = view };
  view->ready = task->ready;
  view->platform_up = task->platform_up;
  mr_registry_foreach_of_kind (task->registry, MR_OBJECT_VM, S_add_leaving_targets, &build);
  mr_registry_foreach_of_kind (task->registry, MR_OBJECT_EVACUATION, S_add_evacuation, &build);
  mr_registry_foreach_of_kind (task->registry, MR_OBJECT_ACCEPTED, S_add_service, &build);
  if (task->configuration)
    view->configuration = mr_configuration_ref (task->configuration);
  view->configuration_object_version = task->configuration_object_version;
  return view;
}

void
mr_control_view_publish (MrControlTask *task)
{
  S_publish_changes (task);
  if (!task->view_changed && !task->members_changed)
    return;
  if (task->members_changed)
    {
      mr_member_list_unref (task->published_members);
      task->published_members = mr_membership_list (task->membership);
    }
  task->view_changed = FALSE;
  task->members_changed = FALSE;
  MrView *view = S_build_view (task);
  mr_mailbox_post (task->entry_mailbox, &mr_view_message_new (view)->base);
  if (task->target_mailbox)
    mr_mailbox_post (task->target_mailbox, &mr_view_message_new (view)->base);
  mr_view_unref (view);
  mr_metrics_add (MR_METRIC_VIEWS, 1);
}
