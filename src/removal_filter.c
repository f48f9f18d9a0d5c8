#include "removal_filter.h"

/* Entries are back within about two seconds of the store's return. */
static const MrTime GRACE = 2300 * MR_MS;
/* This many removals at once, and this part of all that is known, look like a
 * lapse even if no outage was seen: a silent one may end before any call of ours
 * failed, and lets the entries of all targets lapse.  Ordinary exchanges take
 * fewer, and their targets have left. They are held back too,
 * for less: with the pause between two reads (0.4 s) it has to stay inside the
 * time in which a leaving target may be given work (3 s). */
enum
{
  MANY = 4,
  MANY_PART = 5, /* one in so many */
};
static const MrTime MANY_GRACE = 2100 * MR_MS;
static const MrTime MANY_WINDOW = 500 * MR_MS;

typedef struct
{
  guint64 version;
  MrTime learned;
  MrTime due; /* MR_NEVER: learned in an outage that lasts */
} Removal;

struct _MrRemovalFilter
{
  GHashTable *seen;     /* names in the listing under way */
  GHashTable *removals; /* name -> Removal */
  guint64 version;
  bool up;
  unsigned known;
  MrTime changed_at; /* of the store's state; 0: it has always answered */
  MrTime burst_at;   /* first of the latest removals */
  guint burst;
};

MrRemovalFilter *
mr_removal_filter_new (void)
{
  MrRemovalFilter *listing = g_new0 (MrRemovalFilter, 1);
  listing->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  listing->removals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  listing->up = true;
  return listing;
}

void
mr_removal_filter_free (MrRemovalFilter *listing)
{
  if (!listing)
    return;
  g_hash_table_unref (listing->seen);
  g_hash_table_unref (listing->removals);
  g_free (listing);
}

/* While the store is down no entry can come back, so removals that were learned
 * then wait for GRACE from its return. */
static void
S_begin_wait (MrRemovalFilter *listing, MrTime now)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, listing->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (((Removal *) item)->due == MR_NEVER)
      ((Removal *) item)->due = now + GRACE;
}

/* Holds back the removals of the burst under way, and only those: held anew by
 * each burst, a target that left would be given work for as long as others
 * leave. */
static void
S_hold_burst (MrRemovalFilter *listing)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, listing->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Removal *removal = item;
      if (removal->learned >= listing->burst_at && removal->due != MR_NEVER)
        removal->due = MAX (removal->due, removal->learned + MANY_GRACE);
    }
}

void
mr_removal_filter_set_store_up (MrRemovalFilter *listing, MrTime now, bool up)
{
  if (up == listing->up)
    return;
  listing->up = up;
  listing->changed_at = now;
  if (up)
    S_begin_wait (listing, now);
}

void
mr_removal_filter_set_object_count (MrRemovalFilter *listing, unsigned known)
{
  listing->known = known;
}

void
mr_removal_filter_begin_listing (MrRemovalFilter *listing, guint64 version)
{
  g_hash_table_remove_all (listing->seen);
  listing->version = version;
}

guint64
mr_removal_filter_listing_version (const MrRemovalFilter *listing)
{
  return listing->version;
}

void
mr_removal_filter_add_present (MrRemovalFilter *listing, const char *name, guint64 version)
{
  const Removal *removal = g_hash_table_lookup (listing->removals, name);
  if (removal && removal->version < version)
    g_hash_table_remove (listing->removals, name);
  g_hash_table_add (listing->seen, g_strdup (name));
}

bool
mr_removal_filter_is_listed (const MrRemovalFilter *listing, const char *name)
{
  return g_hash_table_contains (listing->seen, name);
}

static MrTime
S_due (MrRemovalFilter *listing, MrTime now)
{
  if (!listing->up)
    return MR_NEVER;
  if (listing->changed_at != 0 && now < listing->changed_at + GRACE)
    return listing->changed_at + GRACE;
  if (now - listing->burst_at > MANY_WINDOW)
    {
      listing->burst_at = now;
      listing->burst = 0;
    }
  if (++listing->burst < MAX (MANY, listing->known / MANY_PART))
    return now;
  S_hold_burst (listing);
  return now + MANY_GRACE;
}

void
mr_removal_filter_add_removed (MrRemovalFilter *listing,
                               MrTime now,
                               const char *name,
                               guint64 version)
{
  const Removal *known = g_hash_table_lookup (listing->removals, name);
  if (known && known->version >= version)
    return;
  Removal *removal = g_new (Removal, 1);
  *removal = (Removal){ .version = version, .learned = now, .due = S_due (listing, now) };
  g_hash_table_replace (listing->removals, g_strdup (name), removal);
  g_hash_table_remove (listing->seen, name);
}

bool
mr_removal_filter_take_due (MrRemovalFilter *listing, MrTime now, char **name, guint64 *version)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, listing->removals);
  while (g_hash_table_iter_next (&iter, &key, &item))
    {
      const Removal *removal = item;
      if (removal->due > now)
        continue;
      *name = g_strdup (key);
      *version = removal->version;
      g_hash_table_iter_remove (&iter);
      return true;
    }
  return false;
}

MrTime
mr_removal_filter_next_due (const MrRemovalFilter *listing)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, listing->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    next = MIN (next, ((const Removal *) item)->due);
  return next;
}
