/* Versioned objects as one daemon knows them: accepted documents, shard maps
 * the list of VMs, the configuration of routes, and targets.
 *
 * The one rule that makes configuration never revert: an object is replaced
 * only by a higher version, whatever store or peer offers it.  Versions come
 * from the platform, which gives each write a higher one. */
#pragma once

#include "text.h"

typedef struct _MrRegistry MrRegistry;

/* Versions of a platform's objects are multiples of MR_VERSIONS_APART, so that
 * between two of them there is room for what this product makes of the first. */
enum
{
  /* As at that version, but its body was passed over: it came from a process that
   * has been replaced. */
  MR_VERSION_KEPT = 1,
  /* Removed.  A removal has no version that is sure to be its own: its event may
   * carry that of the object's last change, which it follows. */
  MR_VERSION_REMOVED = 2,
  MR_VERSIONS_APART = 4,
};

typedef enum
{
  MR_OBJECT_ACCEPTED = 1, /* a document in force */
  MR_OBJECT_SHARD_MAP = 2,
  MR_OBJECT_VM = 3,
  MR_OBJECT_CONFIGURATION = 4, /* routes and services in force, in one object */
  MR_OBJECT_TARGET = 5,        /* one target; an empty body: it is gone */
} MrObjectKind;

typedef struct
{
  MrObjectKind kind;
  char *name;
  guint64 version;
  GString *body;
  guint64 started; /* of a target: newest start ever named, Unix ms; 0: none */
} MrObject;

typedef enum
{
  MR_OFFER_NEW,  /* taken */
  MR_OFFER_SAME, /* known already */
  MR_OFFER_OLD,  /* older than what is known: not taken */
  MR_OFFER_KEPT, /* the version is taken, the body not: an earlier process wrote it */
} MrOffer;

MrRegistry *mr_registry_new (void);
void mr_registry_free (MrRegistry *registry);

MrOffer mr_registry_offer (
    MrRegistry *registry, MrObjectKind kind, MrText name, guint64 version, MrText body);

/* Borrowed until the next offer; NULL if unknown. */
const MrObject *mr_registry_get (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Version known, or 0. */
guint64 mr_registry_version (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Equal digests mean equal versions of all objects, but for hash collisions;
 * independent of order. */
guint64 mr_registry_digest (const MrRegistry *registry);

guint mr_registry_count (const MrRegistry *registry);

void mr_registry_foreach (const MrRegistry *registry,
                          void (*visit) (const MrObject *object, void *user),
                          void *user);

/* Platform's name of @kind, as in its paths. */
const char *mr_object_kind_name (MrObjectKind kind);
