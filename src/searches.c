#include "searches.h"

#include "log.h"
#include "metrics.h"
#include "query.h"
#include "task_message.h"
#include "wire.h"

/* How long an unresponsive owner gets no batches, unless a message from it arrives earlier. */
static const MrTime OWNER_EXCLUSION_TIME = 2 * MR_SECOND;

typedef struct
{
  MrQuery *query;
  guint64 http_id;
  MrTime received_at;
  MrTrafficClass traffic_class;
  char *request_id;
  char service[MR_NAME_MAX + 1];
  MrTime latency_objective; /* from the service's document */
  guint straggler;          /* map index of the target that delayed the search, if any */
} Search;

struct _MrSearches
{
  MrQueryHost host;
  MrEntryContext *context;
  GHashTable *searches;        /* set of Search */
  GHashTable *by_batch;        /* batch id -> Search */
  GHashTable *by_http;         /* http id -> Search */
  GHashTable *last_heard;      /* owner -> MrTime* */
  GHashTable *excluded_owners; /* owner -> MrTime*, end of the exclusion */
  Search *sending_search;      /* search whose batches are being sent */
};

static void
S_search_free (gpointer data)
{
  Search *search = data;
  mr_query_free (search->query);
  g_free (search->request_id);
  g_free (search);
}

static gint64 *
S_dup_int64 (guint64 value)
{
  gint64 *copy = g_new (gint64, 1);
  *copy = (gint64) value;
  return copy;
}

/* Functions of MrQueryHost. */

static guint64
S_next_batch_id (MrQueryHost *host)
{
  return ++((MrSearches *) host)->context->last_batch_id;
}

static void
S_send_batch (MrQueryHost *host, MrQuery *query, const MrMember *owner, MrBatch *batch)
{
  MrSearches *searches = (MrSearches *) host;
  MrEntryContext *context = searches->context;
  (void) query;
  g_hash_table_insert (searches->by_batch, S_dup_int64 (batch->id), searches->sending_search);
  if (!owner)
    {
      mr_entry_submit_batch (context, batch);
      return;
    }
  gint64 remaining_us = MAX (batch->deadline - mr_now (), 0);
  mr_entry_send_to_member (
      context, owner->name,
      mr_wire_batch (context->settings->name, context->incarnation, batch, remaining_us));
  mr_batch_free (batch);
}

static MrTime
S_last_heard (MrQueryHost *host, const char *owner)
{
  MrTime *last_heard = g_hash_table_lookup (((MrSearches *) host)->last_heard, owner);
  return last_heard ? *last_heard : 0;
}

static void
S_owner_silent (MrQueryHost *host, const char *owner)
{
  MrSearches *searches = (MrSearches *) host;
  g_hash_table_replace (searches->excluded_owners, g_strdup (owner),
                        S_dup_int64 ((guint64) (mr_now () + OWNER_EXCLUSION_TIME)));
  mr_metrics_add (MR_METRIC_OWNER_SILENT, 1);
  mr_log (MR_LOG_NOTICE, MR_EVENT_OWNER_SILENT, "owner %s does not respond; using other owners",
          owner);
}

MrSearches *
mr_searches_new (MrEntryContext *context)
{
  MrSearches *searches = g_new0 (MrSearches, 1);
  searches->host = (MrQueryHost){
    .send_batch = S_send_batch,
    .next_batch_id = S_next_batch_id,
    .last_heard = S_last_heard,
    .owner_silent = S_owner_silent,
  };
  searches->context = context;
  searches->searches = g_hash_table_new_full (NULL, NULL, S_search_free, NULL);
  searches->by_batch = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  searches->by_http = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  searches->last_heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  searches->excluded_owners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return searches;
}

void
mr_searches_free (MrSearches *searches)
{
  if (!searches)
    return;
  g_hash_table_unref (searches->by_batch);
  g_hash_table_unref (searches->by_http);
  g_hash_table_unref (searches->searches);
  g_hash_table_unref (searches->last_heard);
  g_hash_table_unref (searches->excluded_owners);
  g_free (searches);
}

/* Reply. */

static void
S_append_missing (GString *out, const MrQuery *query)
{
  const MrShardMap *map = mr_query_map (query);
  const MrMerge *merge = mr_query_merge (query);
  gboolean first = TRUE;
  g_string_append (out, "\"missing\":[");
  for (guint i = 0; i < map->shard_count; i++)
    {
      if (mr_merge_covers (merge, i))
        continue;
      if (!first)
        g_string_append_c (out, ',');
      mr_json_append_string (out, mr_text (map->shards[i].name));
      first = FALSE;
    }
  g_string_append (out, "]");
}

static void
S_append_hits (GString *out, const MrQuery *query)
{
  guint count = 0;
  const MrHit *hits = mr_merge_hits (mr_query_merge (query), &count);
  const MrShardMap *map = mr_query_map (query);
  g_string_append (out, "\"hits\":[");
  for (guint i = 0; i < count; i++)
    {
      char score[G_ASCII_DTOSTR_BUF_SIZE];
      g_string_append (out, i > 0 ? ",{\"key\":" : "{\"key\":");
      mr_json_append_string (out, mr_text (hits[i].key));
      g_string_append_printf (
          out, ",\"score\":%s,\"shard\":", g_ascii_dtostr (score, sizeof score, hits[i].score));
      mr_json_append_string (out, mr_text (map->shards[hits[i].shard].name));
      g_string_append_printf (out, ",\"data\":%s}", hits[i].data);
    }
  g_string_append (out, "]");
}

static GString *
S_reply_text (const Search *search, const MrQueryAnswer *answer, MrTime now)
{
  const MrShardMap *map = mr_query_map (search->query);
  GString *out = g_string_new (NULL);
  double ratio = answer->total_weight > 0
                     ? (double) answer->covered_weight / (double) answer->total_weight
                     : 0;
  g_string_append_printf (out,
                          "{\"result\":%d,\"name\":\"%s\",\"ran\":\"yes\","
                          "\"service\":\"%s\",\"snapshot\":\"%s\","
                          "\"generation\":%" G_GUINT64_FORMAT ",\"request_id\":",
                          (int) answer->result, mr_result_name (answer->result), search->service,
                          map->snapshot, map->generation);
  mr_json_append_string (out, mr_text (search->request_id));
  g_string_append_printf (out,
                          ",\"coverage\":{\"covered\":%" G_GUINT64_FORMAT
                          ",\"total\":%" G_GUINT64_FORMAT ",\"ratio\":%.6f,\"complete\":%s,",
                          answer->covered_weight, answer->total_weight, ratio,
                          answer->result == MR_RESULT_COMPLETE ? "true" : "false");
  S_append_missing (out, search->query);
  g_string_append (out, "},");
  S_append_hits (out, search->query);
  g_string_append_printf (out, ",\"calls\":%u,\"extra_calls\":%u,\"elapsed_ms\":%.3f}\n",
                          answer->call_count, answer->extra_calls,
                          (double) (now - search->received_at) / MR_MS);
  return out;
}

static void
S_record_outcome (MrSearches *searches,
                  const Search *search,
                  const MrQueryAnswer *answer,
                  MrTime now)
{
  MrEntryContext *context = searches->context;
  const MrShardMap *map = mr_query_map (search->query);
  gboolean refused = mr_result_ran (answer->result) == MR_RAN_NO;
  MrBurnOutcome event = {
    .refused = refused,
    .slow = !refused && now - search->received_at > search->latency_objective,
    .uncovered = answer->result == MR_RESULT_PARTIAL,
  };
  if (search->straggler < map->target_count)
    {
      event.target = map->targets[search->straggler].id;
      event.domain = map->targets[search->straggler].domain;
    }
  mr_burn_add (context->burn, now, search->service, &event);
  if (refused)
    {
      context->window_refused++;
      return;
    }
  context->window_served++;
  mr_histogram_add (&context->latency[search->traffic_class], now - search->received_at);
  mr_metrics_add (answer->result == MR_RESULT_COMPLETE ? MR_METRIC_SEARCHES_COMPLETE
                                                       : MR_METRIC_SEARCHES_PARTIAL,
                  1);
}

/* Cancels a batch whose result is no longer needed, which would otherwise keep slots occupied. */
static void
S_cancel_batch (guint64 batch, const char *owner, void *user)
{
  MrSearches *searches = user;
  MrEntryContext *context = searches->context;
  MrOrigin origin = { .incarnation = context->incarnation, .batch_id = batch };
  g_hash_table_remove (searches->by_batch, &batch);
  if (owner[0] == '\0')
    mr_mailbox_post (context->target_mailbox, &mr_cancel_batch_message_new (&origin)->base);
  else
    mr_entry_send_to_member (
        context, owner,
        mr_wire_cancel_batch (context->settings->name, context->incarnation, batch));
}

static void
S_remove (MrSearches *searches, Search *search)
{
  mr_query_foreach_open_batch (search->query, S_cancel_batch, searches);
  g_hash_table_remove (searches->by_http, &search->http_id);
  g_hash_table_remove (searches->searches, search);
}

static void
S_finish (MrSearches *searches, Search *search)
{
  MrTime now = mr_now ();
  MrQueryAnswer answer = mr_query_answer (search->query);
  S_record_outcome (searches, search, &answer, now);
  if (answer.result != MR_RESULT_COMPLETE && mr_entry_is_cut_short (searches->context, now))
    mr_metrics_add (MR_METRIC_STOP_FAILED, 1);
  if (mr_result_ran (answer.result) == MR_RAN_NO)
    mr_entry_refuse (searches->context, search->http_id, answer.result, answer.retry_after_ms,
                     "the targets' queues are too long for this deadline");
  else
    {
      GString *text = S_reply_text (search, &answer, now);
      MrHttpReply reply = {
        .status = mr_result_http_status (answer.result),
        .body = mr_text_of (text),
      };
      mr_http_server_reply (searches->context->server, search->http_id, &reply);
      g_string_free (text, TRUE);
    }
  S_remove (searches, search);
}

/* Currently excluded owners, as a NULL-terminated array of borrowed names. */
static const char **
S_excluded_owners (MrSearches *searches, MrTime now)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer until = NULL;
  g_hash_table_iter_init (&iter, searches->excluded_owners);
  while (g_hash_table_iter_next (&iter, &key, &until))
    if (now >= *(MrTime *) until)
      g_hash_table_iter_remove (&iter);
    else
      g_ptr_array_add (names, key);
  g_ptr_array_add (names, NULL);
  return (const char **) g_ptr_array_free (names, FALSE);
}

void
mr_searches_begin (MrSearches *searches, const MrEntryRequest *request, MrText text, guint top_k)
{
  MrEntryContext *context = searches->context;
  g_autofree const char **excluded = S_excluded_owners (searches, request->received_at);
  MrQueryInfo info = {
    .map = request->service->map,
    .members = context->view->members,
    .document = &request->service->document,
    .self = context->settings->name,
    .excluded_owners = excluded,
    .traffic_class = request->traffic_class,
    .text = text,
    .top_k = top_k,
    .deadline = request->deadline,
  };
  Search *search = g_new0 (Search, 1);
  *search = (Search){
    .query = mr_query_new (&searches->host, &info, request->received_at),
    .http_id = request->http_id,
    .received_at = request->received_at,
    .traffic_class = request->traffic_class,
    .request_id = g_strdup (request->request_id),
    .latency_objective = request->service->document.objective_latency_ms * MR_MS,
    .straggler = MR_NO_TARGET_INDEX,
  };
  g_strlcpy (search->service, request->service->document.service, sizeof search->service);
  g_hash_table_add (searches->searches, search);
  g_hash_table_insert (searches->by_http, &search->http_id, search);
  mr_metrics_add (MR_METRIC_SEARCHES, 1);
  searches->sending_search = search;
  mr_query_start (search->query, request->received_at);
  searches->sending_search = NULL;
}

gboolean
mr_searches_add_partial (MrSearches *searches, MrPartial *partial, const char *from)
{
  MrTime now = mr_now ();
  if (from[0] != '\0')
    {
      g_hash_table_replace (searches->last_heard, g_strdup (from), S_dup_int64 ((guint64) now));
      g_hash_table_remove (searches->excluded_owners, from);
    }
  guint64 id = partial->batch_id;
  Search *search = g_hash_table_lookup (searches->by_batch, &id);
  if (!search)
    return FALSE;
  if (partial->kind == MR_PARTIAL_IN_PROGRESS)
    {
      mr_partial_free (partial);
      return TRUE;
    }
  g_hash_table_remove (searches->by_batch, &id);
  if (partial->straggler != MR_NO_TARGET_INDEX)
    search->straggler = partial->straggler;
  searches->sending_search = search;
  mr_query_add_partial (search->query, now, partial);
  searches->sending_search = NULL;
  if (mr_query_ended (search->query))
    S_finish (searches, search);
  return TRUE;
}

void
mr_searches_cancel (MrSearches *searches, guint64 http_id)
{
  Search *search = g_hash_table_lookup (searches->by_http, &http_id);
  if (search)
    S_remove (searches, search);
}

MrTime
mr_searches_tick (MrSearches *searches, MrTime now)
{
  MrTime next = MR_NEVER;
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, searches->searches);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      Search *search = item;
      searches->sending_search = search;
      MrTime again = mr_query_tick (search->query, now);
      if (mr_query_ended (search->query))
        g_ptr_array_add (ended, search);
      else
        next = MIN (next, again);
    }
  searches->sending_search = NULL;
  for (guint i = 0; i < ended->len; i++)
    S_finish (searches, g_ptr_array_index (ended, i));
  return next;
}

void
mr_searches_end_by (MrSearches *searches, MrTime at)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, searches->searches);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    mr_query_end_by (((Search *) item)->query, at);
}

guint
mr_searches_count (const MrSearches *searches)
{
  return g_hash_table_size (searches->searches);
}
