/* Registry of the versioned objects that a daemon knows: accepted documents, shard maps, the
 * VM list, the route configuration, targets, quarantine evidence and evacuations.
 *
 * An object is replaced only by a higher version, whichever store or peer offers it. Versions
 * are assigned by the platform, which increases them with each write. Where authors order their
 * writes themselves (the start time of a target, the number of a configuration), a body that is
 * older by that order is not stored either: the version is recorded and the body is kept. A
 * configuration therefore never reverts, even if the platform does. */
#pragma once

#include "safeguard.h"
#include "text.h"

typedef struct _MrRegistry MrRegistry;

/* Versions of platform objects are multiples of MR_VERSION_STRIDE. The values in between
 * encode states that the daemons derive from an object.
 *
 * A store that comes back from a copy assigns the revisions that it has lost again. The upper
 * bits of a version are therefore the store's era, which rises each time: whatever the store
 * assigns now is above all that it assigned before. */
enum
{
  /* The version is recorded, but the body was rejected because it is older by the order of its
   * author. */
  MR_VERSION_BODY_REJECTED = 1,
  /* The object was removed. A removal may not have a version of its own: its event can carry
   * the version of the object's last change, so the removal has to sort right after that. */
  MR_VERSION_REMOVED = 2,
  MR_VERSION_STRIDE = 4,
  MR_VERSION_ERA_SHIFT = 44,
  MR_ERA_MAX = (1 << 19) - 1, /* versions stay positive as signed numbers */
};

static inline guint64
mr_version_in_era (guint64 era, guint64 version)
{
  return MR_SAFEGUARD (MR_GUARD_STORE_ERA) ? era << MR_VERSION_ERA_SHIFT | version : version;
}

static inline guint64
mr_version_era (guint64 version)
{
  return version >> MR_VERSION_ERA_SHIFT;
}

/* Returns the version without its era, as the store knows it. */
static inline guint64
mr_version_without_era (guint64 version)
{
  return version & (((guint64) 1 << MR_VERSION_ERA_SHIFT) - 1);
}

enum
{
  MR_VERSION_TEXT_MAX = 48, /* including the terminating zero */
};

/* Writes a version for a log: "ERA:VERSION", or the version alone if it has no era. */
void mr_version_write (guint64 version, char text[MR_VERSION_TEXT_MAX]);

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
  /* Highest order that an author gave the object: the process start of a target (Unix ms), the
   * number of a configuration; 0: none. */
  guint64 author_order;
  guint64 key_hash; /* hash of kind and name; decides which hash ranges contain the object */
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
  MR_OFFER_BODY_REJECTED, /* version stored, body rejected as older by its author's order */
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
