#include "histogram.h"

/* log2 (MR_HISTOGRAM_STEPS) */
enum
{
  STEP_BITS = 4
};

static guint
S_index (gint64 value)
{
  if (value < MR_HISTOGRAM_SUBBUCKETS)
    return value < 0 ? 0 : (guint) value;
  guint high = (guint) g_bit_storage ((gulong) value) - 1;
  guint step = (guint) (value >> (high - STEP_BITS)) & (MR_HISTOGRAM_SUBBUCKETS - 1);
  guint index = (high - STEP_BITS + 1) * MR_HISTOGRAM_SUBBUCKETS + step;
  return MIN (index, (guint) MR_HISTOGRAM_BUCKETS - 1);
}

/* Smallest value of bucket @index. */
static gint64
S_lower (guint index)
{
  if (index < MR_HISTOGRAM_SUBBUCKETS)
    return index;
  guint shift = index / MR_HISTOGRAM_SUBBUCKETS - 1;
  gint64 step = index % MR_HISTOGRAM_SUBBUCKETS + MR_HISTOGRAM_SUBBUCKETS;
  return step << shift;
}

gint64
mr_histogram_bucket_max (guint index)
{
  return S_lower (index + 1) - 1;
}

void
mr_histogram_add (MrHistogram *histogram, gint64 value)
{
  histogram->buckets[S_index (value)]++;
  histogram->count++;
  histogram->sum += (guint64) MAX (value, 0);
}

gint64
mr_histogram_quantile (const MrHistogram *histogram, double quantile)
{
  if (histogram->count == 0)
    return 0;
  double rank = quantile * (double) histogram->count;
  guint64 seen = 0;
  for (guint i = 0; i < MR_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (histogram->buckets[i] > 0 && (double) seen >= rank)
        return (S_lower (i) + mr_histogram_bucket_max (i)) / 2;
    }
  return mr_histogram_bucket_max (MR_HISTOGRAM_BUCKETS - 1);
}

guint64
mr_histogram_count_up_to (const MrHistogram *histogram, gint64 limit)
{
  guint64 seen = 0;
  guint last = S_index (limit);
  for (guint i = 0; i <= last; i++)
    seen += histogram->buckets[i];
  return seen;
}

void
mr_histogram_decay (MrHistogram *histogram)
{
  histogram->count = 0;
  for (guint i = 0; i < MR_HISTOGRAM_BUCKETS; i++)
    {
      histogram->buckets[i] /= 2;
      histogram->count += histogram->buckets[i];
    }
  histogram->sum /= 2;
}
