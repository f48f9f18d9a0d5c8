/* Latency histogram in microseconds with bounded memory.
 *
 * Each power of two is divided into 16 linear buckets, so a bucket is at most
 * 6.25 % wide and a quantile, which is read at the middle of a bucket, is within
 * 3.2 % of the true value.  Values above the last bucket's range count in it. */
#pragma once

#include <glib.h>

enum
{
  MR_HISTOGRAM_SUBBUCKETS = 16,
  MR_HISTOGRAM_OCTAVES = 24,
  MR_HISTOGRAM_BUCKETS = MR_HISTOGRAM_SUBBUCKETS * MR_HISTOGRAM_OCTAVES,
};

typedef struct
{
  guint64 count;
  guint64 sum; /* of all values */
  guint32 buckets[MR_HISTOGRAM_BUCKETS];
} MrHistogram;

void mr_histogram_add (MrHistogram *histogram, gint64 value);

/* Value at @quantile (0 to 1); 0 if the histogram is empty. */
gint64 mr_histogram_quantile (const MrHistogram *histogram, double quantile);

/* Number of values up to the end of the bucket that contains @limit. */
guint64 mr_histogram_count_up_to (const MrHistogram *histogram, gint64 limit);

/* Halves all counts, so that recent values dominate a running estimate. */
void mr_histogram_decay (MrHistogram *histogram);

/* Largest value in the range of bucket @index. */
gint64 mr_histogram_bucket_max (guint index);
