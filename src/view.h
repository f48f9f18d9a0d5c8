/* Snapshot of the objects in force, published by the control task to the other tasks.
 * Immutable and reference-counted.  A relay has thousands of targets and members; these are
 * published as incremental changes instead (MrChangesMessage). */
#pragma once

#include "configuration.h"
#include "document.h"
#include "member.h"
#include "shardmap.h"

typedef struct
{
  MrDocument document;
  guint64 document_version; /* version of the operators' document in force */
  guint64 accepted_version; /* version of the accepted object */
  MrShardMap *map;          /* NULL: none known yet */
} MrServiceView;

typedef struct
{
  MrMemberList *members;          /* NULL in a relay */
  GHashTable *services;           /* name -> MrServiceView */
  GHashTable *leaving_targets;    /* set of "ip:port" */
  GHashTable *evacuated_domains;  /* set of failure domains whose targets get no new work */
  MrConfiguration *configuration; /* of routes; NULL: none known */
  /* Version in the registry of the configuration object that has been applied, or rejected in
   * favour of @configuration; 0: none. */
  guint64 configuration_object_version;
  gboolean ready; /* enough configuration is known to serve */
  gboolean platform_up;
} MrView;

/* Takes ownership of the reference to @members.  The caller fills in the other fields before
 * the view is shared. */
MrView *mr_view_new (MrMemberList *members);
MrView *mr_view_ref (MrView *view);
void mr_view_unref (MrView *view);
const MrServiceView *mr_view_service (const MrView *view, const char *name);

/* Adds a service in force; @map may be NULL. */
void mr_view_add_service (MrView *view,
                          const MrDocument *document,
                          guint64 document_version,
                          guint64 accepted_version,
                          MrShardMap *map);
