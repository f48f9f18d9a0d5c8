/* Latency histogram in microseconds, bounded memory.
 *
 * Sixteen linear steps for each power of two, so a bucket is at most 6.25 %
 * wide and a quantile read at its middle is within 3.2 % of the true value.
 * Values over MR_HISTOGRAM_MAX count in the last bucket. */
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

/* Values at or under @limit, to the resolution of a bucket. */
guint64 mr_histogram_count_up_to (const MrHistogram *histogram, gint64 limit);

/* Halves every bucket, so that old values fade out of a running estimate. */
void mr_histogram_decay (MrHistogram *histogram);

/* Largest value that falls into bucket @index. */
gint64 mr_histogram_bucket_max (guint index);
