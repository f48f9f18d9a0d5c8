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
  MR_VERSION_BODY_REJECTED = 1,
  /* Removed.  A removal has no version that is sure to be its own: its event may
   * carry that of the object's last change, which it follows. */
  MR_VERSION_REMOVED = 2,
  MR_VERSION_STRIDE = 4,
};

typedef enum
{
  MR_OBJECT_ACCEPTED = 1, /* a document in force */
  MR_OBJECT_SHARD_MAP = 2,
  MR_OBJECT_VM = 3,
  MR_OBJECT_CONFIGURATION = 4, /* routes and services in force, in one object */
  MR_OBJECT_TARGET = 5,        /* one target; an empty body: it is gone */
  /* Targets ended under a content: its name is the fingerprint, its version the evidence
   * (quarantine.h), and it has no body. */
  MR_OBJECT_EVIDENCE = 6,
  /* New work at the targets of a failure domain is to end: its name is the domain, its
   * version tells whether that holds (evacuation.h), and it has no body. */
  MR_OBJECT_EVACUATION = 7,
  MR_OBJECT_KIND_LAST = MR_OBJECT_EVACUATION,
} MrObjectKind;

/* TRUE if the version of such an object tells all that there is to know of it. */
static inline bool
mr_object_is_bodiless (MrObjectKind kind)
{
  return kind == MR_OBJECT_EVIDENCE || kind == MR_OBJECT_EVACUATION;
}

typedef struct
{
  MrObjectKind kind;
  char *name;
  guint64 version;
  GString *body;
  guint64 latest_start; /* of a target: newest start ever named, Unix ms; 0: none */
  guint64 key_hash;     /* hash of kind and name: which ranges it is in */
} MrObject;

/* A part of the places that a hash may give an object: those that begin with the
 * upper @bits bits of @start; all with no bits. */
typedef struct
{
  guint64 start;
  guint bits;
} MrHashRange;

enum
{
  MR_HASH_RANGE_PARTS = 32, /* a range divides into this many, by the next 5 bits */
  MR_HASH_RANGE_PART_BITS = 5,
  MR_HASH_RANGE_MAX_BITS = 60, /* a range of more bits is not divided */
};

typedef enum
{
  MR_OFFER_NEW,           /* taken */
  MR_OFFER_SAME,          /* known already */
  MR_OFFER_OLD,           /* older than what is known: not taken */
  MR_OFFER_BODY_REJECTED, /* the version is taken, the body not: an earlier process wrote it */
} MrOfferResult;

MrRegistry *mr_registry_new (void);
void mr_registry_free (MrRegistry *registry);

MrOfferResult mr_registry_offer (
    MrRegistry *registry, MrObjectKind kind, MrText name, guint64 version, MrText body);

/* Forgets the object, as if it had never been offered. */
void mr_registry_remove (MrRegistry *registry, MrObjectKind kind, const char *name);

/* Borrowed until the next offer or removal; NULL if unknown. */
const MrObject *mr_registry_get (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Version known, or 0. */
guint64 mr_registry_version (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Equal digests mean equal versions of all objects, but for hash collisions;
 * independent of order. */
guint64 mr_registry_digest (const MrRegistry *registry);

guint mr_registry_count (const MrRegistry *registry);

/* Digests of the parts of @range, and how many objects are in each. */
void mr_registry_range_digests (const MrRegistry *registry,
                                MrHashRange range,
                                guint64 digests[MR_HASH_RANGE_PARTS],
                                guint counts[MR_HASH_RANGE_PARTS]);

static inline bool
mr_hash_range_contains (MrHashRange range, guint64 place)
{
  return range.bits == 0 || (place ^ range.start) >> (64 - range.bits) == 0;
}

/* Part @index of @range. */
static inline MrHashRange
mr_hash_range_part (MrHashRange range, guint index)
{
  guint bits = range.bits + MR_HASH_RANGE_PART_BITS;
  guint64 kept = range.bits == 0 ? 0 : range.start >> (64 - range.bits) << (64 - range.bits);
  return (MrHashRange){ .start = kept | (guint64) index << (64 - bits), .bits = bits };
}

/* Objects of @kind only. */
void mr_registry_foreach_of_kind (const MrRegistry *registry,
                                  MrObjectKind kind,
                                  void (*visit) (const MrObject *object, void *user),
                                  void *user);

void mr_registry_foreach (const MrRegistry *registry,
                          void (*visit) (const MrObject *object, void *user),
                          void *user);

/* Platform's name of @kind, as in its paths. */
const char *mr_object_kind_name (MrObjectKind kind);
