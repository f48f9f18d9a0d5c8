#include "histogram.h"

/* log2 (MR_HISTOGRAM_SUBBUCKETS) */
enum
{
  SUBBUCKET_BITS = 4
};

static guint
S_bucket_index (gint64 value)
{
  if (value < MR_HISTOGRAM_SUBBUCKETS)
    return value < 0 ? 0 : (guint) value;
  guint top_bit = (guint) g_bit_storage ((gulong) value) - 1;
  guint subbucket = (guint) (value >> (top_bit - SUBBUCKET_BITS)) & (MR_HISTOGRAM_SUBBUCKETS - 1);
  guint index = (top_bit - SUBBUCKET_BITS + 1) * MR_HISTOGRAM_SUBBUCKETS + subbucket;
  return MIN (index, (guint) MR_HISTOGRAM_BUCKETS - 1);
}

/* Smallest value in the range of bucket @index. */
static gint64
S_bucket_min (guint index)
{
  if (index < MR_HISTOGRAM_SUBBUCKETS)
    return index;
  guint shift = index / MR_HISTOGRAM_SUBBUCKETS - 1;
  gint64 subbucket = index % MR_HISTOGRAM_SUBBUCKETS + MR_HISTOGRAM_SUBBUCKETS;
  return subbucket << shift;
}

gint64
mr_histogram_bucket_max (guint index)
{
  return S_bucket_min (index + 1) - 1;
}

void
mr_histogram_add (MrHistogram *histogram, gint64 value)
{
  histogram->buckets[S_bucket_index (value)]++;
  histogram->count++;
  histogram->sum += (guint64) MAX (value, 0);
}

gint64
mr_histogram_quantile (const MrHistogram *histogram, double quantile)
{
  if (histogram->count == 0)
    return 0;
  double rank = quantile * (double) histogram->count;
  guint64 cumulative = 0;
  for (guint i = 0; i < MR_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += histogram->buckets[i];
      if (histogram->buckets[i] > 0 && (double) cumulative >= rank)
        return (S_bucket_min (i) + mr_histogram_bucket_max (i)) / 2;
    }
  return mr_histogram_bucket_max (MR_HISTOGRAM_BUCKETS - 1);
}

guint64
mr_histogram_count_up_to (const MrHistogram *histogram, gint64 limit)
{
  guint64 cumulative = 0;
  guint last = S_bucket_index (limit);
  for (guint i = 0; i <= last; i++)
    cumulative += histogram->buckets[i];
  return cumulative;
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
