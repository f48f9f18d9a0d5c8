#include "view.h"

#include <stdatomic.h>

typedef struct
{
  MrView view; /* first, so that an MrView can be cast to it */
  atomic_int reference_count;
} SharedView;

static void
S_service_free (gpointer data)
{
  MrServiceView *service = data;
  mr_shard_map_unref (service->map);
  g_free (service);
}

MrView *
mr_view_new (MrMemberList *members)
{
  SharedView *shared = g_new0 (SharedView, 1);
  atomic_init (&shared->reference_count, 1);
  shared->view.members = members;
  shared->view.services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  shared->view.leaving_targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  shared->view.evacuated_domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &shared->view;
}

MrView *
mr_view_ref (MrView *view)
{
  atomic_fetch_add (&((SharedView *) view)->reference_count, 1);
  return view;
}

void
mr_view_unref (MrView *view)
{
  if (!view || atomic_fetch_sub (&((SharedView *) view)->reference_count, 1) > 1)
    return;
  mr_member_list_unref (view->members);
  g_hash_table_unref (view->services);
  g_hash_table_unref (view->leaving_targets);
  g_hash_table_unref (view->evacuated_domains);
  mr_configuration_unref (view->configuration);
  g_free (view);
}

const MrServiceView *
mr_view_service (const MrView *view, const char *name)
{
  return view ? g_hash_table_lookup (view->services, name) : NULL;
}

void
mr_view_add_service (MrView *view,
                     const MrDocument *document,
                     guint64 document_version,
                     guint64 accepted_version,
                     MrShardMap *map)
{
  MrServiceView *service = g_new0 (MrServiceView, 1);
  service->document = *document;
  service->document_version = document_version;
  service->accepted_version = accepted_version;
  service->map = map ? mr_shard_map_ref (map) : NULL;
  g_hash_table_replace (view->services, service->document.service, service);
}
