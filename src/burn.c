#include "burn.h"

enum
{
  BUCKETS_MAX = 72,
  BLAME_MINUTES = 5,
  BLAMED_MAX = 256, /* blamed targets kept for each service; all are dropped when one more comes */
};

const gint64 mr_burn_window_seconds[MR_BURN_WINDOW_COUNT] = { 300, 3600, 21600, 259200 };

/* Duration in seconds of one bucket in the ring of each window. */
static const gint64 bucket_seconds[MR_BURN_WINDOW_COUNT] = { 10, 60, 300, 3600 };

typedef struct
{
  gint64 index; /* time divided by the duration of a bucket */
  MrBurnCounts counts;
} Bucket;

typedef struct
{
  char domain[MR_NAME_MAX + 1];
  gint64 minute[BLAME_MINUTES]; /* minute that the count in the same position belongs to */
  guint64 count[BLAME_MINUTES];
} BlameCounts;

typedef struct
{
  Bucket buckets[MR_BURN_WINDOW_COUNT][BUCKETS_MAX];
  GHashTable *blamed; /* target -> BlameCounts */
} ServiceBurn;

struct _MrBurn
{
  MrTime started;
  GHashTable *services; /* name -> ServiceBurn */
};

static void
S_service_free (gpointer data)
{
  ServiceBurn *service = data;
  g_hash_table_unref (service->blamed);
  g_free (service);
}

MrBurn *
mr_burn_new (MrTime now)
{
  MrBurn *burn = g_new0 (MrBurn, 1);
  burn->started = now;
  burn->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_service_free);
  return burn;
}

void
mr_burn_free (MrBurn *burn)
{
  if (!burn)
    return;
  g_hash_table_unref (burn->services);
  g_free (burn);
}

static ServiceBurn *
S_get_service (MrBurn *burn, const char *name)
{
  ServiceBurn *service = g_hash_table_lookup (burn->services, name);
  if (service)
    return service;
  service = g_new0 (ServiceBurn, 1);
  service->blamed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (burn->services, g_strdup (name), service);
  return service;
}

static guint
S_bucket_count (guint window)
{
  return (guint) (mr_burn_window_seconds[window] / bucket_seconds[window]);
}

static void
S_add_blame (ServiceBurn *service, MrTime now, const MrBurnOutcome *outcome)
{
  BlameCounts *blamed = g_hash_table_lookup (service->blamed, outcome->target);
  if (!blamed)
    {
      if (g_hash_table_size (service->blamed) >= BLAMED_MAX)
        g_hash_table_remove_all (service->blamed);
      blamed = g_new0 (BlameCounts, 1);
      g_strlcpy (blamed->domain, outcome->domain, sizeof blamed->domain);
      g_hash_table_insert (service->blamed, g_strdup (outcome->target), blamed);
    }
  gint64 minute = now / (60 * MR_SECOND);
  guint slot = (guint) (minute % BLAME_MINUTES);
  if (blamed->minute[slot] != minute)
    {
      blamed->minute[slot] = minute;
      blamed->count[slot] = 0;
    }
  blamed->count[slot]++;
}

void
mr_burn_add (MrBurn *burn, MrTime now, const char *name, const MrBurnOutcome *outcome)
{
  ServiceBurn *service = S_get_service (burn, name);
  for (guint window = 0; window < MR_BURN_WINDOW_COUNT; window++)
    {
      gint64 index = now / MR_SECOND / bucket_seconds[window];
      Bucket *bucket = &service->buckets[window][index % S_bucket_count (window)];
      if (bucket->index != index)
        *bucket = (Bucket){ .index = index };
      bucket->counts.total++;
      bucket->counts.slow += outcome->slow;
      bucket->counts.uncovered += outcome->uncovered;
      bucket->counts.refused += outcome->refused;
    }
  if (outcome->target && (outcome->slow || outcome->uncovered))
    S_add_blame (service, now, outcome);
}

MrBurnCounts
mr_burn_counts (const MrBurn *burn, MrTime now, const char *name, guint window)
{
  MrBurnCounts sum = { 0 };
  const ServiceBurn *service = g_hash_table_lookup (burn->services, name);
  if (!service)
    return sum;
  gint64 newest = now / MR_SECOND / bucket_seconds[window];
  guint count = S_bucket_count (window);
  for (guint i = 0; i < count; i++)
    {
      const Bucket *bucket = &service->buckets[window][i];
      if (bucket->index <= newest - (gint64) count || bucket->index > newest)
        continue;
      sum.total += bucket->counts.total;
      sum.slow += bucket->counts.slow;
      sum.uncovered += bucket->counts.uncovered;
      sum.refused += bucket->counts.refused;
    }
  return sum;
}

gint64
mr_burn_covered_seconds (const MrBurn *burn, MrTime now, guint window)
{
  return MIN ((now - burn->started) / MR_SECOND, mr_burn_window_seconds[window]);
}

void
mr_burn_foreach_blamed (
    const MrBurn *burn,
    MrTime now,
    const char *name,
    void (*visit) (const char *target, const char *domain, guint64 count, void *user),
    void *user)
{
  const ServiceBurn *service = g_hash_table_lookup (burn->services, name);
  if (!service)
    return;
  gint64 minute = now / (60 * MR_SECOND);
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, service->blamed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const BlameCounts *blamed = value;
      guint64 count = 0;
      for (guint i = 0; i < BLAME_MINUTES; i++)
        if (blamed->minute[i] > minute - BLAME_MINUTES)
          count += blamed->count[i];
      if (count > 0)
        visit (key, blamed->domain, count, user);
    }
}

MrBurnRate
mr_burn_rate (guint64 bad, guint64 total, double allowed, gint64 window_seconds)
{
  MrBurnRate rate = { .budget_left = 1, .hours_to_empty = -1 };
  if (total == 0)
    return rate;
  rate.bad_share = (double) bad / (double) total;
  rate.burn_rate = rate.bad_share / allowed;
  rate.budget_left = 1 - rate.burn_rate;
  if (rate.burn_rate > 0)
    rate.hours_to_empty =
        MAX (rate.budget_left, 0) * (double) window_seconds / 3600.0 / rate.burn_rate;
  return rate;
}
