#include "removal_filter.h"

/* Targets rewrite their entries within about two seconds after the store returns. */
static const MrTime GRACE = 2300 * MR_MS;
/* Removals within BURST_WINDOW that count as the expiry of all entries in an undetected
 * outage: at least BURST_MIN, and at least one in BURST_PART of the known objects. A short
 * outage may end before any call of this daemon fails and still let the entries of all targets
 * expire. A normal replacement of targets removes fewer at a time. Such a burst is delayed
 * too, but for less than GRACE: together with the pause between two reads (0.4 s) the delay
 * has to stay within the 3 s in which a leaving target may still be given work. */
enum
{
  BURST_MIN = 4,
  BURST_PART = 5, /* divisor of the number of known objects */
};
static const MrTime BURST_GRACE = 2100 * MR_MS;
static const MrTime BURST_WINDOW = 500 * MR_MS;

typedef struct
{
  guint64 version;
  MrTime learned_at;
  MrTime due; /* MR_NEVER: learned in an outage that has not ended */
} PendingRemoval;

struct _MrRemovalFilter
{
  GHashTable *listed;   /* names in the current listing */
  GHashTable *removals; /* name -> PendingRemoval */
  guint64 listing_version;
  bool store_up;
  unsigned object_count;
  MrTime store_changed_at; /* last change of store_up; 0: the store has always answered */
  MrTime burst_start;      /* first removal of the current burst */
  guint burst_count;
};

MrRemovalFilter *
mr_removal_filter_new (void)
{
  MrRemovalFilter *filter = g_new0 (MrRemovalFilter, 1);
  filter->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  filter->removals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  filter->store_up = true;
  return filter;
}

void
mr_removal_filter_free (MrRemovalFilter *filter)
{
  if (!filter)
    return;
  g_hash_table_unref (filter->listed);
  g_hash_table_unref (filter->removals);
  g_free (filter);
}

/* No entry can reappear while the store is down, so GRACE for removals learned during the
 * outage starts when the store returns. */
static void
S_start_grace (MrRemovalFilter *filter, MrTime now)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, filter->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (((PendingRemoval *) item)->due == MR_NEVER)
      ((PendingRemoval *) item)->due = now + GRACE;
}

/* Delays the removals of the current burst only. If each burst delayed earlier removals again,
 * a target that has left would be given work for as long as other targets leave. */
static void
S_delay_burst (MrRemovalFilter *filter)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, filter->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      PendingRemoval *removal = item;
      if (removal->learned_at >= filter->burst_start && removal->due != MR_NEVER)
        removal->due = MAX (removal->due, removal->learned_at + BURST_GRACE);
    }
}

void
mr_removal_filter_set_store_up (MrRemovalFilter *filter, MrTime now, bool up)
{
  if (up == filter->store_up)
    return;
  filter->store_up = up;
  filter->store_changed_at = now;
  if (up)
    S_start_grace (filter, now);
}

void
mr_removal_filter_set_restored (MrRemovalFilter *filter, MrTime now)
{
  filter->store_changed_at = now;
}

void
mr_removal_filter_set_object_count (MrRemovalFilter *filter, unsigned object_count)
{
  filter->object_count = object_count;
}

void
mr_removal_filter_begin_listing (MrRemovalFilter *filter, guint64 version)
{
  g_hash_table_remove_all (filter->listed);
  filter->listing_version = version;
}

guint64
mr_removal_filter_listing_version (const MrRemovalFilter *filter)
{
  return filter->listing_version;
}

void
mr_removal_filter_add_present (MrRemovalFilter *filter, const char *name, guint64 version)
{
  const PendingRemoval *removal = g_hash_table_lookup (filter->removals, name);
  if (removal && removal->version < version)
    g_hash_table_remove (filter->removals, name);
  g_hash_table_add (filter->listed, g_strdup (name));
}

bool
mr_removal_filter_is_listed (const MrRemovalFilter *filter, const char *name)
{
  return g_hash_table_contains (filter->listed, name);
}

static MrTime
S_removal_due (MrRemovalFilter *filter, MrTime now)
{
  if (!filter->store_up)
    return MR_NEVER;
  if (filter->store_changed_at != 0 && now < filter->store_changed_at + GRACE)
    return filter->store_changed_at + GRACE;
  if (now - filter->burst_start > BURST_WINDOW)
    {
      filter->burst_start = now;
      filter->burst_count = 0;
    }
  if (++filter->burst_count < MAX (BURST_MIN, filter->object_count / BURST_PART))
    return now;
  S_delay_burst (filter);
  return now + BURST_GRACE;
}

void
mr_removal_filter_add_removed (MrRemovalFilter *filter,
                               MrTime now,
                               const char *name,
                               guint64 version)
{
  const PendingRemoval *known = g_hash_table_lookup (filter->removals, name);
  if (known && known->version >= version)
    return;
  PendingRemoval *removal = g_new (PendingRemoval, 1);
  *removal =
      (PendingRemoval){ .version = version, .learned_at = now, .due = S_removal_due (filter, now) };
  g_hash_table_replace (filter->removals, g_strdup (name), removal);
  g_hash_table_remove (filter->listed, name);
}

bool
mr_removal_filter_take_due (MrRemovalFilter *filter, MrTime now, char **name, guint64 *version)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, filter->removals);
  while (g_hash_table_iter_next (&iter, &key, &item))
    {
      const PendingRemoval *removal = item;
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
mr_removal_filter_next_due (const MrRemovalFilter *filter)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, filter->removals);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    next = MIN (next, ((const PendingRemoval *) item)->due);
  return next;
}
