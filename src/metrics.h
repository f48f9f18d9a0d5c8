/* Counters of this process, in the Prometheus text format.
 *
 * Counters are atomic and may be incremented by any task.  A histogram is not: only the task that
 * owns it may write it. */
#pragma once

#include "dispatch.h"
#include "histogram.h"

typedef enum
{
  MR_METRIC_SEARCHES,
  MR_METRIC_SEARCHES_COMPLETE,
  MR_METRIC_SEARCHES_PARTIAL,
  MR_METRIC_REFUSED,
  MR_METRIC_ORDERS,
  MR_METRIC_ORDERS_DONE,
  MR_METRIC_ORDERS_NOT_RUN,
  MR_METRIC_ORDERS_UNKNOWN,
  MR_METRIC_ORDERS_FORWARDED,
  MR_METRIC_BAD_REQUESTS,
  MR_METRIC_STOP_READ,
  MR_METRIC_STOP_REFUSED,
  MR_METRIC_STOP_FAILED,
  MR_METRIC_BATCHES,
  MR_METRIC_BATCHES_REMOTE,
  MR_METRIC_SHARD_CALLS,
  MR_METRIC_ORDER_CALLS,
  MR_METRIC_HEDGES,
  MR_METRIC_RETRIES,
  MR_METRIC_SHED,
  MR_METRIC_DISCARDED,
  MR_METRIC_SILENT,
  MR_METRIC_CANCELS,
  MR_METRIC_PROBES,
  MR_METRIC_RENEWALS,
  MR_METRIC_CONNECTIONS_CLOSED,
  MR_METRIC_OWNER_SILENT,
  MR_METRIC_PEER_SENT_BYTES,
  MR_METRIC_PEER_RECEIVED_BYTES,
  MR_METRIC_PEER_CONTROL_BYTES, /* of the bytes sent, all but searches, orders and limits */
  MR_METRIC_PEER_BAD,
  MR_METRIC_PEER_STALE,
  MR_METRIC_PLATFORM_CALLS,
  MR_METRIC_PLATFORM_FAILURES,
  MR_METRIC_ENTRIES_UNUSABLE,
  MR_METRIC_LISTINGS_STALLED,
  MR_METRIC_STORE_ERAS,
  MR_METRIC_ANSWERS_OUTDATED,
  MR_METRIC_ENTRIES_HELD,
  MR_METRIC_WATCHER_STARTS,
  MR_METRIC_BACKUP_READS,
  MR_METRIC_RESPONSES_GIVEN_UP,
  MR_METRIC_RESPONSES_MALFORMED,
  MR_METRIC_VIEWS,
  MR_METRIC_DENIAL_QUERIES,
  MR_METRIC_DENIAL_ADMITTED,
  MR_METRIC_DENIAL_DENIED,
  MR_METRIC_DENIAL_UNDECIDED,
  MR_METRIC_COUNT,
} MrMetric;

void mr_metrics_add (MrMetric metric, guint64 amount);
guint64 mr_metrics_get (MrMetric metric);

/* Copies the counters of the dispatcher. */
void mr_metrics_set_dispatch (const MrDispatchCounts *counts);

/* Number of batches, for any root, that this daemon is processing. */
void mr_metrics_set_open_batches (guint count);
guint mr_metrics_open_batches (void);

/* Era of the platform's store; 0: none is known. */
void mr_metrics_set_store_era (guint64 era);

/* Appends all counters and the store's era to @out. */
void mr_metrics_write (GString *out);

/* Appends one histogram in seconds to @out; @label has the form `key="value"`. */
void mr_metrics_write_histogram (GString *out,
                                 const char *name,
                                 const char *label,
                                 const MrHistogram *histogram);
