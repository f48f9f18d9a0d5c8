/* Registry of the versioned objects that a daemon knows: accepted documents, shard maps, the
 * VM list, the route configuration, targets, quarantine evidence and evacuations.
 *
 * An object is replaced only by a higher version, whichever store or peer offers it, so
 * configuration never reverts. Versions are assigned by the platform, which increases them
 * with each write. */
#pragma once

#include "text.h"

typedef struct _MrRegistry MrRegistry;

/* Versions of platform objects are multiples of MR_VERSION_STRIDE. The values in between
 * encode states that the daemons derive from an object. */
enum
{
  /* The version is recorded, but the body was rejected because a process that has since been
   * replaced wrote it. */
  MR_VERSION_BODY_REJECTED = 1,
  /* The object was removed. A removal may not have a version of its own: its event can carry
   * the version of the object's last change, so the removal has to sort right after that. */
  MR_VERSION_REMOVED = 2,
  MR_VERSION_STRIDE = 4,
};

typedef enum
{
  MR_OBJECT_ACCEPTED = 1, /* document in force */
  MR_OBJECT_SHARD_MAP = 2,
  MR_OBJECT_VM = 3,
  MR_OBJECT_CONFIGURATION = 4, /* all routes and services in force, as one object */
  MR_OBJECT_TARGET = 5,        /* one target; an empty body means that it was removed */
  /* Evidence that a request content makes targets exit. The name is the content's fingerprint,
   * the version encodes the evidence (quarantine.h), and the body is empty. */
  MR_OBJECT_EVIDENCE = 6,
  /* Evacuation of a failure domain, whose targets get no new work. The name is the domain, the
   * version encodes whether the evacuation is active (evacuation.h), and the body is empty. */
  MR_OBJECT_EVACUATION = 7,
  MR_OBJECT_KIND_LAST = MR_OBJECT_EVACUATION,
} MrObjectKind;

/* TRUE if the version encodes the object's whole state, so that no body has to be fetched. */
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
  guint64 latest_start; /* of a target: latest process start seen, Unix ms; 0: none */
  guint64 key_hash;     /* hash of kind and name; decides which hash ranges contain the object */
} MrObject;

/* The key hashes whose upper @bits bits equal those of @start; with 0 bits, all key hashes. */
typedef struct
{
  guint64 start;
  guint bits;
} MrHashRange;

enum
{
  MR_HASH_RANGE_PARTS = 32, /* subranges of a range, selected by the next 5 bits */
  MR_HASH_RANGE_PART_BITS = 5,
  MR_HASH_RANGE_MAX_BITS = 60, /* a range with more prefix bits is not subdivided */
};

typedef enum
{
  MR_OFFER_NEW,           /* stored */
  MR_OFFER_SAME,          /* the same version is already stored */
  MR_OFFER_OLD,           /* older than the stored version; ignored */
  MR_OFFER_BODY_REJECTED, /* version stored, body of an earlier process rejected */
} MrOfferResult;

MrRegistry *mr_registry_new (void);
void mr_registry_free (MrRegistry *registry);

MrOfferResult mr_registry_offer (
    MrRegistry *registry, MrObjectKind kind, MrText name, guint64 version, MrText body);

/* Deletes the object and its version, as if it had never been offered. */
void mr_registry_remove (MrRegistry *registry, MrObjectKind kind, const char *name);

/* Returns the object, borrowed until the next offer or removal, or NULL if it is unknown. */
const MrObject *mr_registry_get (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Returns the stored version, or 0 if the object is unknown. */
guint64 mr_registry_version (const MrRegistry *registry, MrObjectKind kind, const char *name);

/* Returns a digest of all objects' versions, independent of their order. Apart from hash
 * collisions, equal digests mean equal versions. */
guint64 mr_registry_digest (const MrRegistry *registry);

guint mr_registry_count (const MrRegistry *registry);

/* Computes the digest and the object count of each subrange of @range. */
void mr_registry_range_digests (const MrRegistry *registry,
                                MrHashRange range,
                                guint64 digests[MR_HASH_RANGE_PARTS],
                                guint counts[MR_HASH_RANGE_PARTS]);

static inline bool
mr_hash_range_contains (MrHashRange range, guint64 key_hash)
{
  return range.bits == 0 || (key_hash ^ range.start) >> (64 - range.bits) == 0;
}

/* Returns subrange @index of @range. */
static inline MrHashRange
mr_hash_range_part (MrHashRange range, guint index)
{
  guint bits = range.bits + MR_HASH_RANGE_PART_BITS;
  guint64 prefix = range.bits == 0 ? 0 : range.start >> (64 - range.bits) << (64 - range.bits);
  return (MrHashRange){ .start = prefix | (guint64) index << (64 - bits), .bits = bits };
}

/* Visits the objects of @kind. */
void mr_registry_foreach_of_kind (const MrRegistry *registry,
                                  MrObjectKind kind,
                                  void (*visit) (const MrObject *object, void *user),
                                  void *user);

void mr_registry_foreach (const MrRegistry *registry,
                          void (*visit) (const MrObject *object, void *user),
                          void *user);

/* Returns the name of @kind in the platform's paths. */
const char *mr_object_kind_name (MrObjectKind kind);
