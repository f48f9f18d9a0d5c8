#include "metrics.h"

#include <stdatomic.h>

static atomic_ullong counters[MR_METRIC_COUNT];

static atomic_uint open_batches;
static atomic_ullong store_era;

static const struct
{
  const char *name;
  const char *help;
} descriptions[MR_METRIC_COUNT] = {
  [MR_METRIC_SEARCHES] = { "searches", "searches received" },
  [MR_METRIC_SEARCHES_COMPLETE] = { "searches_complete", "answers with full coverage" },
  [MR_METRIC_SEARCHES_PARTIAL] = { "searches_partial", "answers that state missing shards" },
  [MR_METRIC_REFUSED] = { "refused", "requests refused, not run" },
  [MR_METRIC_ORDERS] = { "orders", "orders received from callers" },
  [MR_METRIC_ORDERS_DONE] = { "orders_done", "orders answered as done" },
  [MR_METRIC_ORDERS_NOT_RUN] = { "orders_not_run", "orders answered as not run" },
  [MR_METRIC_ORDERS_UNKNOWN] = { "orders_unknown", "orders answered as unknown" },
  [MR_METRIC_ORDERS_FORWARDED] = { "orders_forwarded", "orders sent to the ticket's issuer" },
  [MR_METRIC_BAD_REQUESTS] = { "bad_requests", "requests that break a rule" },
  [MR_METRIC_STOP_READ] = { "stop_read", "requests received during a planned stop" },
  [MR_METRIC_STOP_REFUSED] = { "stop_refused", "requests refused because of a planned stop" },
  [MR_METRIC_STOP_FAILED] = { "stop_failed", "requests that a planned stop ended incomplete" },
  [MR_METRIC_BATCHES] = { "batches", "batches of shard calls worked on" },
  [MR_METRIC_BATCHES_REMOTE] = { "batches_remote", "of these, for another root" },
  [MR_METRIC_SHARD_CALLS] = { "shard_calls", "shard calls started" },
  [MR_METRIC_ORDER_CALLS] = { "order_calls", "order calls started" },
  [MR_METRIC_HEDGES] = { "hedges", "shard calls doubled for slowness" },
  [MR_METRIC_RETRIES] = { "retries", "shard calls repeated after a failure" },
  [MR_METRIC_SHED] = { "shed", "answers of targets that refused for load" },
  [MR_METRIC_DISCARDED] = { "discarded", "answers of another id, snapshot or shard" },
  [MR_METRIC_SILENT] = { "silent", "calls unanswered past their limit" },
  [MR_METRIC_CANCELS] = { "cancels", "calls cancelled" },
  [MR_METRIC_PROBES] = { "probes", "probes of suspect targets" },
  [MR_METRIC_RENEWALS] = { "renewals", "times a target's connections were replaced" },
  [MR_METRIC_CONNECTIONS_CLOSED] = { "connections_closed", "connections closed as silent" },
  [MR_METRIC_OWNER_SILENT] = { "owner_silent", "owners passed over for silence" },
  [MR_METRIC_PEER_SENT_BYTES] = { "peer_sent_bytes", "bytes sent to other daemons" },
  [MR_METRIC_PEER_RECEIVED_BYTES] = { "peer_received_bytes", "bytes from other daemons" },
  [MR_METRIC_PEER_CONTROL_BYTES] = { "peer_control_bytes", "bytes sent for control" },
  [MR_METRIC_PEER_BAD] = { "peer_bad", "messages of other daemons refused" },
  [MR_METRIC_PEER_STALE] = { "peer_stale", "answers to an earlier process of this name" },
  [MR_METRIC_PLATFORM_CALLS] = { "platform_calls", "calls to the platform" },
  [MR_METRIC_PLATFORM_FAILURES] = { "platform_failures", "of these, failed" },
  [MR_METRIC_ENTRIES_UNUSABLE] = { "entries_unusable",
                                   "entries of the store or of a peer that were refused" },
  [MR_METRIC_LISTINGS_STALLED] = { "listings_stalled",
                                   "lists that could not be read to their end" },
  [MR_METRIC_STORE_ERAS] = { "store_eras", "times the store came back from a copy" },
  [MR_METRIC_ANSWERS_OUTDATED] = { "answers_outdated", "answers of an earlier era discarded" },
  [MR_METRIC_ENTRIES_HELD] = { "entries_held", "entries of a restored store held back" },
  [MR_METRIC_WATCHER_STARTS] = { "watcher_starts",
                                 "times this daemon began to watch the platform" },
  [MR_METRIC_BACKUP_READS] = { "backup_reads",
                               "calls to find out whether the platform can be reached" },
  [MR_METRIC_RESPONSES_GIVEN_UP] = { "responses_given_up", "responses too large to be taken" },
  [MR_METRIC_RESPONSES_MALFORMED] = { "responses_malformed", "responses that are not valid HTTP" },
  [MR_METRIC_VIEWS] = { "views", "views published by the control task" },
  [MR_METRIC_DENIAL_QUERIES] = { "denial_queries", "daemons asked before a key was denied" },
  [MR_METRIC_DENIAL_ADMITTED] = { "denial_admitted", "unknown keys found in a newer version" },
  [MR_METRIC_DENIAL_DENIED] = { "denial_denied", "requests with an unknown key answered 401" },
  [MR_METRIC_DENIAL_UNDECIDED] = { "denial_undecided", "unknown keys not decided: 503" },
};

void
mr_metrics_add (MrMetric metric, guint64 amount)
{
  atomic_fetch_add_explicit (&counters[metric], amount, memory_order_relaxed);
}

guint64
mr_metrics_get (MrMetric metric)
{
  return atomic_load_explicit (&counters[metric], memory_order_relaxed);
}

static void
S_set_counter (MrMetric metric, guint64 value)
{
  atomic_store_explicit (&counters[metric], value, memory_order_relaxed);
}

void
mr_metrics_set_dispatch (const MrDispatchCounts *counts)
{
  S_set_counter (MR_METRIC_HEDGES, counts->hedges);
  S_set_counter (MR_METRIC_RETRIES, counts->retries);
  S_set_counter (MR_METRIC_SHED, counts->shed);
  S_set_counter (MR_METRIC_DISCARDED, counts->discarded);
  S_set_counter (MR_METRIC_SILENT, counts->silent);
}

void
mr_metrics_set_open_batches (guint count)
{
  atomic_store (&open_batches, count);
}

guint
mr_metrics_open_batches (void)
{
  return atomic_load (&open_batches);
}

void
mr_metrics_set_store_era (guint64 era)
{
  atomic_store (&store_era, era);
}

void
mr_metrics_write (GString *out)
{
  for (int i = 0; i < MR_METRIC_COUNT; i++)
    g_string_append_printf (out,
                            "# HELP merlinring_%s_total %s\n# TYPE merlinring_%s_total counter\n"
                            "merlinring_%s_total %" G_GUINT64_FORMAT "\n",
                            descriptions[i].name, descriptions[i].help, descriptions[i].name,
                            descriptions[i].name, mr_metrics_get ((MrMetric) i));
  g_string_append_printf (out,
                          "# HELP merlinring_store_era era of the platform's store\n"
                          "# TYPE merlinring_store_era gauge\n"
                          "merlinring_store_era %llu\n",
                          atomic_load (&store_era));
}

void
mr_metrics_write_histogram (GString *out,
                            const char *name,
                            const char *label,
                            const MrHistogram *histogram)
{
  guint64 cumulative_count = 0;
  for (guint i = 0; i < MR_HISTOGRAM_BUCKETS; i++)
    {
      if (histogram->buckets[i] == 0)
        continue;
      cumulative_count += histogram->buckets[i];
      g_string_append_printf (
          out, "merlinring_%s_seconds_bucket{%s,le=\"%.6f\"} %" G_GUINT64_FORMAT "\n", name, label,
          (double) mr_histogram_bucket_max (i) / 1e6, cumulative_count);
    }
  g_string_append_printf (out,
                          "merlinring_%s_seconds_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
                          "merlinring_%s_seconds_sum{%s} %.6f\n"
                          "merlinring_%s_seconds_count{%s} %" G_GUINT64_FORMAT "\n",
                          name, label, cumulative_count, name, label, (double) histogram->sum / 1e6,
                          name, label, cumulative_count);
}
