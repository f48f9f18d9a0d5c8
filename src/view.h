/* What the control task tells the other tasks of what is in force, as of one moment.
 * Immutable, shared by reference count.  Targets and members of a relay, of which there
 * are thousands, are told by their changes (MrChangesMessage). */
#pragma once

#include "configuration.h"
#include "document.h"
#include "member.h"
#include "shardmap.h"

typedef struct
{
  MrDocument document;
  guint64 document_version; /* version of the operators' document in force */
  guint64 accepted_version; /* of the accepted object */
  MrShardMap *map;          /* NULL: none known yet */
} MrServiceView;

typedef struct
{
  MrMemberList *members;          /* NULL of a relay */
  GHashTable *services;           /* name -> MrServiceView */
  GHashTable *leaving_targets;    /* set of "ip:port" of targets */
  GHashTable *evacuated_domains;  /* set of failure domains whose targets get no new work */
  MrConfiguration *configuration; /* of routes; NULL: none known */
  gboolean ready;                 /* configuration is known well enough to serve */
  gboolean platform_up;
} MrView;

/* Takes the reference to @members; services and leaving are filled by the caller
 * before the view is shared. */
MrView *mr_view_new (MrMemberList *members);
MrView *mr_view_ref (MrView *view);
void mr_view_unref (MrView *view);
const MrServiceView *mr_view_service (const MrView *view, const char *name);

/* Adds a service in force; @map may be NULL. */
void mr_view_add_service (
    MrView *view, const MrDocument *document, guint64 source, guint64 version, MrShardMap *map);
