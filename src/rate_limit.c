#include "rate_limit.h"

#include <math.h>
#include <xxhash.h>

struct _MrLimitTable
{
  GHashTable *by_key;  /* MrLimitSubject.key -> MrLimitSubject */
  GHashTable *by_name; /* MrLimitSubject.name -> MrLimitSubject */
};

/* A name that is too long for a message is replaced by its beginning and a hash. */
static void
S_write_key (char key[MR_NAME_MAX + 1], const char *name)
{
  enum
  {
    PREFIX = 40,
  };
  if (strlen (name) <= MR_NAME_MAX)
    g_strlcpy (key, name, MR_NAME_MAX + 1);
  else
    g_snprintf (key, MR_NAME_MAX + 1, "%.*s#%016" G_GINT64_MODIFIER "x", PREFIX, name,
                (guint64) XXH64 (name, strlen (name), 0));
}

MrLimitTable *
mr_limit_table_new (const MrConfiguration *configuration)
{
  const MrOrganisations *organisations = mr_configuration_organisations (configuration);
  guint count = organisations ? mr_organisations_count (organisations) : 0;
  MrLimitTable *table = NULL;
  for (guint i = 0; i < count; i++)
    {
      const MrOrganisation *organisation = mr_organisations_at (organisations, i);
      if (organisation->limit.rate <= 0)
        continue;
      if (!table)
        {
          table = g_new (MrLimitTable, 1);
          table->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
          table->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
        }
      MrLimitSubject *subject = g_new0 (MrLimitSubject, 1);
      char *name = g_strdup (organisation->name);
      S_write_key (subject->key, name);
      subject->name = name;
      subject->limit = organisation->limit;
      subject->limit.burst = MAX (subject->limit.burst, 1);
      g_hash_table_replace (table->by_key, subject->key, subject);
      g_hash_table_replace (table->by_name, name, subject);
    }
  return table;
}

void
mr_limit_table_delay_new (MrLimitTable *table, const MrLimitTable *previous, MrTime time)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      MrLimitSubject *subject = value;
      const MrLimitSubject *known = mr_limit_table_find (previous, subject->key);
      subject->binding_from = known ? known->binding_from : time;
    }
}

void
mr_limit_table_free (MrLimitTable *table)
{
  if (!table)
    return;
  g_hash_table_unref (table->by_key);
  g_hash_table_unref (table->by_name);
  g_free (table);
}

const MrLimitSubject *
mr_limit_table_find (const MrLimitTable *table, const char *key)
{
  return table ? g_hash_table_lookup (table->by_key, key) : NULL;
}

const MrLimitSubject *
mr_limit_table_find_name (const MrLimitTable *table, const char *name)
{
  return table ? g_hash_table_lookup (table->by_name, name) : NULL;
}

double
mr_limit_headroom (const MrRateLimit *limit, const MrLimitTolerance *tolerance)
{
  double window = (double) tolerance->window / (double) MR_SECOND;
  return tolerance->overage * (limit->rate * window + limit->burst) + tolerance->slack;
}

guint
mr_limit_entry_share (const MrRateLimit *limit, const MrLimitTolerance *tolerance, guint entries)
{
  double headroom = mr_limit_headroom (limit, tolerance);
  return entries == 0 ? 0 : (guint) MIN (headroom / (2.0 * entries), G_MAXUINT16);
}

void
mr_token_bucket_fill (MrTokenBucket *bucket, MrTime now, double rate, double capacity)
{
  if (now > bucket->filled)
    {
      bucket->tokens += rate * (double) (now - bucket->filled) / (double) MR_SECOND;
      bucket->filled = now;
    }
  bucket->tokens = MIN (bucket->tokens, capacity);
}

guint
mr_token_bucket_take (MrTokenBucket *bucket, guint wanted, double rest)
{
  /* Rounding errors of many small additions must not withhold a whole token. */
  double available = floor (bucket->tokens - rest + 1e-6);
  if (available <= 0)
    return 0;
  guint taken = available < wanted ? (guint) available : wanted;
  bucket->tokens -= taken;
  return taken;
}
