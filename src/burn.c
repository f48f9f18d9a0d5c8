#include "burn.h"

enum
{
  CELLS_MAX = 72,
  BLAME_MINUTES = 5,
  BLAMED_MAX = 256, /* targets of a service */
};

const gint64 mr_burn_window_seconds[MR_BURN_WINDOWS] = { 300, 3600, 21600, 259200 };

/* Seconds of one cell of each window's ring. */
static const gint64 cell_seconds[MR_BURN_WINDOWS] = { 10, 60, 300, 3600 };

typedef struct
{
  gint64 index; /* time divided by the cell's length */
  MrBurnCounts counts;
} Cell;

typedef struct
{
  char domain[MR_NAME_MAX + 1];
  gint64 minute[BLAME_MINUTES];
  guint64 count[BLAME_MINUTES];
} Blamed;

typedef struct
{
  Cell cells[MR_BURN_WINDOWS][CELLS_MAX];
  GHashTable *blamed; /* target -> Blamed */
} TargetGroup;

struct _MrBurn
{
  MrTime started;
  GHashTable *services; /* name -> Service */
};

static void
S_service_free (gpointer data)
{
  TargetGroup *service = data;
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

static TargetGroup *
S_service (MrBurn *burn, const char *name)
{
  TargetGroup *service = g_hash_table_lookup (burn->services, name);
  if (service)
    return service;
  service = g_new0 (TargetGroup, 1);
  service->blamed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (burn->services, g_strdup (name), service);
  return service;
}

static guint
S_cell_count (guint window)
{
  return (guint) (mr_burn_window_seconds[window] / cell_seconds[window]);
}

static void
S_blame (TargetGroup *service, MrTime now, const MrBurnEvent *event)
{
  Blamed *blamed = g_hash_table_lookup (service->blamed, event->target);
  if (!blamed)
    {
      if (g_hash_table_size (service->blamed) >= BLAMED_MAX)
        g_hash_table_remove_all (service->blamed);
      blamed = g_new0 (Blamed, 1);
      g_strlcpy (blamed->domain, event->domain, sizeof blamed->domain);
      g_hash_table_insert (service->blamed, g_strdup (event->target), blamed);
    }
  gint64 minute = now / (60 * MR_SECOND);
  guint place = (guint) (minute % BLAME_MINUTES);
  if (blamed->minute[place] != minute)
    {
      blamed->minute[place] = minute;
      blamed->count[place] = 0;
    }
  blamed->count[place]++;
}

void
mr_burn_add (MrBurn *burn, MrTime now, const char *name, const MrBurnEvent *event)
{
  TargetGroup *service = S_service (burn, name);
  for (guint window = 0; window < MR_BURN_WINDOWS; window++)
    {
      gint64 index = now / MR_SECOND / cell_seconds[window];
      Cell *cell = &service->cells[window][index % S_cell_count (window)];
      if (cell->index != index)
        *cell = (Cell){ .index = index };
      cell->counts.total++;
      cell->counts.slow += event->slow;
      cell->counts.uncovered += event->uncovered;
      cell->counts.refused += event->refused;
    }
  if (event->target && (event->slow || event->uncovered))
    S_blame (service, now, event);
}

MrBurnCounts
mr_burn_counts (const MrBurn *burn, MrTime now, const char *name, guint window)
{
  MrBurnCounts sum = { 0 };
  const TargetGroup *service = g_hash_table_lookup (burn->services, name);
  if (!service)
    return sum;
  gint64 newest = now / MR_SECOND / cell_seconds[window];
  guint count = S_cell_count (window);
  for (guint i = 0; i < count; i++)
    {
      const Cell *cell = &service->cells[window][i];
      if (cell->index <= newest - (gint64) count || cell->index > newest)
        continue;
      sum.total += cell->counts.total;
      sum.slow += cell->counts.slow;
      sum.uncovered += cell->counts.uncovered;
      sum.refused += cell->counts.refused;
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
  const TargetGroup *service = g_hash_table_lookup (burn->services, name);
  if (!service)
    return;
  gint64 minute = now / (60 * MR_SECOND);
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, service->blamed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Blamed *blamed = value;
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
  rate.rate = rate.bad_share / allowed;
  rate.budget_left = 1 - rate.rate;
  if (rate.rate > 0)
    rate.hours_to_empty = MAX (rate.budget_left, 0) * (double) window_seconds / 3600.0 / rate.rate;
  return rate;
}
