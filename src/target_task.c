#include "target_task.h"

#include "dispatch.h"
#include "http_client.h"
#include "log.h"
#include "metrics.h"
#include "target_codec.h"
#include "task_message.h"
#include "wire.h"

enum
{
  LANES = 64, /* connections to one target, old ones after a renewal included */
  PREFIX = 8, /* hex digits of the incarnation in call ids */
};

/* A cancelled call that is neither answered nor confirmed by then is closed. */
static const MrTime CANCEL_WAIT = 50 * MR_MS;
static const MrTime PROBE_WAIT = 300 * MR_MS;

/* Connections to one target. */
typedef struct
{
  char *key;
  guint first; /* lane that the current generation of connections starts at */
  gboolean busy[LANES];
} Link;

typedef struct
{
  MrTargetTask *task;
  guint64 id;
  Link *link;
  guint lane;
  MrHttpCall *call;
  MrTime give_up_at; /* MR_NEVER until cancelled */
  char *ip;
  int port;
  gboolean order;
  char *path;
  GString *body; /* of an order */
} Exchange;

/* A probe or a cancellation under way: bounded in time like a call. */
typedef struct
{
  MrTargetTask *task;
  Link *link;
  MrHttpCall *call; /* NULL: not sent yet */
  gboolean probe;
  guint lane; /* of a cancellation */
  MrTime give_up_at;
  char *ip;
  int port;
  char *path;
} Errand;

struct _MrTargetTask
{
  MrLoopHandler loop_host;
  MrDispatchHost dispatch_host;
  MrLoop *loop;
  MrHttpClient *client;
  MrDispatch *dispatch;
  MrMailbox *entry;
  MrMailbox *control;
  char name[MR_NAME_MAX + 1];
  char prefix[PREFIX + 1];
  GHashTable *links;     /* key -> Link */
  GHashTable *exchanges; /* call id -> Exchange */
  GHashTable *origins;   /* local batch id -> MrOrigin */
  GQueue starting;       /* Exchange: to be sent by the next tick */
  GPtrArray *errands;    /* Errand */
  guint64 last_batch;
  GHashTable *leaving; /* as told to the dispatcher */
};

#define TASK_OF_DISPATCH_HOST(host)                                                                \
  ((MrTargetTask *) (void *) ((char *) (host) -offsetof (MrTargetTask, dispatch_host)))

static Link *
S_link (MrTargetTask *task, const char *key)
{
  Link *link = g_hash_table_lookup (task->links, key);
  if (link)
    return link;
  link = g_new0 (Link, 1);
  link->key = g_strdup (key);
  g_hash_table_insert (task->links, link->key, link);
  return link;
}

static void
S_link_free (gpointer data)
{
  Link *link = data;
  g_free (link->key);
  g_free (link);
}

static void
S_exchange_free (gpointer data)
{
  Exchange *exchange = data;
  g_free (exchange->ip);
  g_free (exchange->path);
  if (exchange->body)
    g_string_free (exchange->body, TRUE);
  g_free (exchange);
}

static void
S_errand_free (gpointer data)
{
  Errand *errand = data;
  g_free (errand->ip);
  g_free (errand->path);
  g_free (errand);
}

/* Lowest free lane of the current generation, so that few connections stay
 * warm; LANES if all are busy. */
static guint
S_free_lane (const Link *link)
{
  for (guint i = 0; i < LANES; i++)
    {
      guint lane = (link->first + i) % LANES;
      if (!link->busy[lane])
        return lane;
    }
  return LANES;
}

/* Reports the end of @exchange, which is freed.  FALSE if the answer was not for
 * its call: the connection is out of step and must not be used again. */
static gboolean
S_report (Exchange *exchange, MrCallResult *end)
{
  MrTargetTask *task = exchange->task;
  end->id = exchange->id;
  if (exchange->lane < LANES)
    exchange->link->busy[exchange->lane] = FALSE;
  g_hash_table_remove (task->exchanges, &end->id);
  return mr_dispatch_call_end (task->dispatch, mr_now (), end);
}

static gboolean
S_call_done (void *user, const MrHttpResponse *answer)
{
  Exchange *exchange = user;
  MrTargetReply reply = { 0 };
  mr_target_reply_parse (answer, exchange->order, exchange->task->prefix, &reply);
  gboolean keep = S_report (exchange, &reply.end);
  mr_target_reply_clear (&reply);
  return keep;
}

/* Calls are decided on in the middle of a callback of libwebsockets, where the
 * connection that has just ended a call can't take another yet; they go out in
 * the tick that follows. */
static void
S_start_call (MrDispatchHost *host, const MrShardCall *start)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  Link *link = S_link (task, start->target->key);
  Exchange *exchange = g_new0 (Exchange, 1);
  *exchange = (Exchange){
    .task = task,
    .id = start->id,
    .link = link,
    .lane = LANES,
    .give_up_at = MR_NEVER,
    .ip = g_strdup (start->target->ip),
    .port = start->target->port,
    .order = start->batch->is_order,
    .path = mr_target_call_path (start, task->prefix, mr_now ()),
  };
  if (exchange->order)
    exchange->body =
        g_string_new_len (start->batch->payload->str, (gssize) start->batch->payload->len);
  g_hash_table_insert (task->exchanges, &exchange->id, exchange);
  g_queue_push_tail (&task->starting, exchange);
}

/* Sends @exchange, or reports that it could not be. */
static void
S_send_call (MrTargetTask *task, Exchange *exchange)
{
  gboolean maybe_sent = FALSE;
  exchange->lane = S_free_lane (exchange->link);
  mr_metrics_add (exchange->order ? MR_METRIC_ORDER_CALLS : MR_METRIC_SHARD_CALLS, 1);
  if (exchange->lane < LANES)
    {
      MrHttpCallInfo info = {
        .method = exchange->order ? "POST" : "GET",
        .ip = exchange->ip,
        .port = exchange->port,
        .connection_slot = exchange->lane,
        .path = exchange->path,
        .body = exchange->body ? mr_text_of (exchange->body) : (MrText){ 0 },
        .on_response = S_call_done,
        .user = exchange,
      };
      exchange->call = mr_http_client_call (task->client, &info, &maybe_sent);
    }
  if (exchange->call)
    {
      exchange->link->busy[exchange->lane] = TRUE;
      return;
    }
  MrCallResult end = { .outcome = maybe_sent ? MR_CALL_BROKEN : MR_CALL_NOT_CONNECTED };
  exchange->lane = LANES;
  S_report (exchange, &end);
}

/* Ends @errand, which is freed. */
static void
S_end_errand (Errand *errand, gboolean answered)
{
  MrTargetTask *task = errand->task;
  Link *link = errand->link;
  gboolean probe = errand->probe;
  if (!probe)
    link->busy[errand->lane] = FALSE;
  g_ptr_array_remove_fast (task->errands, errand);
  if (probe)
    mr_dispatch_probe_end (task->dispatch, mr_now (), link->key, answered);
}

static gboolean
S_errand_done (void *user, const MrHttpResponse *answer)
{
  S_end_errand (user, answer->outcome == MR_HTTP_OK && answer->status == 200);
  return TRUE;
}

static void
S_start_errand (MrTargetTask *task, Errand *errand, const char *ip, int port, const char *path)
{
  g_ptr_array_add (task->errands, errand);
  errand->task = task;
  errand->ip = g_strdup (ip);
  errand->port = port;
  errand->path = g_strdup (path);
}

/* FALSE if it could not be sent. */
static gboolean
S_send_errand (MrTargetTask *task, Errand *errand)
{
  MrHttpCallInfo info = {
    .method = "GET",
    .ip = errand->ip,
    .port = errand->port,
    .connection_slot = errand->lane,
    .new_connection = errand->probe,
    .path = errand->path,
    .on_response = S_errand_done,
    .user = errand,
  };
  errand->call = mr_http_client_call (task->client, &info, NULL);
  return errand->call != NULL;
}

/* Asks the target to stop @exchange's work, on another connection; its answer,
 * "cancelled" or whole, then frees the connection for use. */
static void
S_send_cancel (MrTargetTask *task, const Exchange *exchange)
{
  guint lane = S_free_lane (exchange->link);
  if (lane == LANES)
    return;
  exchange->link->busy[lane] = TRUE;
  Errand *errand = g_new0 (Errand, 1);
  errand->link = exchange->link;
  errand->lane = lane;
  errand->give_up_at = mr_now () + CANCEL_WAIT;
  g_autofree char *path =
      g_strdup_printf ("/v1/cancel?id=%s-%" G_GUINT64_FORMAT, task->prefix, exchange->id);
  S_start_errand (task, errand, exchange->ip, exchange->port, path);
}

static void
S_cancel_call (MrDispatchHost *host, guint64 id)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  Exchange *exchange = g_hash_table_lookup (task->exchanges, &id);
  if (!exchange || exchange->give_up_at != MR_NEVER)
    return;
  if (!exchange->call)
    {
      exchange->give_up_at = 0; /* not sent yet: ended by the next tick */
      g_queue_remove (&task->starting, exchange);
      return;
    }
  exchange->give_up_at = mr_now () + CANCEL_WAIT;
  mr_metrics_add (MR_METRIC_CANCELS, 1);
  if (!exchange->order)
    S_send_cancel (task, exchange);
}

static void
S_probe (MrDispatchHost *host, const MrTargetState *target)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  Errand *errand = g_new0 (Errand, 1);
  errand->link = S_link (task, target->key);
  errand->probe = TRUE;
  errand->give_up_at = mr_now () + PROBE_WAIT;
  mr_metrics_add (MR_METRIC_PROBES, 1);
  S_start_errand (task, errand, target->ip, target->port, "/v1/health");
}

/* Old connections may be lost for good without a sign.  Idle ones are closed, or
 * they would count against the target's cap; new calls take lanes not in use
 * before, so each opens a connection. */
static void
S_renew (MrDispatchHost *host, const MrTargetState *target)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  Link *link = S_link (task, target->key);
  for (guint lane = 0; lane < LANES; lane++)
    if (!link->busy[lane])
      mr_http_client_close_idle (task->client, target->ip, target->port, lane);
  link->first = (link->first + mr_concurrency_limit_calls (&target->limit) + 1) % LANES;
  mr_metrics_add (MR_METRIC_RENEWALS, 1);
  mr_log (MR_LOG_NOTICE, MR_EVENT_CONNECTION_SILENT, "target %s: idle connections are replaced",
          target->id);
}

static void
S_done (MrDispatchHost *host, MrPartial *partial)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  MrOrigin *origin = g_hash_table_lookup (task->origins, &partial->batch_id);
  guint64 local_id = partial->batch_id;
  if (!origin)
    {
      mr_partial_free (partial);
      return;
    }
  gboolean last = partial->kind != MR_PARTIAL_IN_PROGRESS;
  partial->batch_id = origin->batch_id;
  if (origin->root[0] == '\0')
    mr_mailbox_post (task->entry, &mr_partial_message_new (partial, "")->base);
  else
    {
      GString *bytes = mr_wire_partial (task->name, origin->incarnation, partial);
      mr_mailbox_post (task->control, &mr_peer_send_message_new (origin->root, bytes)->base);
      mr_partial_free (partial);
    }
  if (last)
    g_hash_table_remove (task->origins, &local_id);
}

static void
S_evidence (MrDispatchHost *host, MrFingerprint content, const MrEvidence *evidence)
{
  mr_mailbox_post (TASK_OF_DISPATCH_HOST (host)->control,
                   &mr_evidence_message_new (content, evidence)->base);
}

static gint64 *
S_local_id_new (guint64 id)
{
  gint64 *copy = g_new (gint64, 1);
  *copy = (gint64) id;
  return copy;
}

/* Batches of several roots share one dispatcher; each gets a number of ours. */
static void
S_on_submit (MrTargetTask *task, MrSubmitMessage *message)
{
  MrBatch *batch = message->batch;
  message->batch = NULL;
  MrOrigin *origin = g_new (MrOrigin, 1);
  *origin = message->origin;
  origin->batch_id = batch->id;
  batch->id = ++task->last_batch;
  g_hash_table_insert (task->origins, S_local_id_new (batch->id), origin);
  mr_metrics_add (MR_METRIC_BATCHES, 1);
  mr_dispatch_submit (task->dispatch, mr_now (), batch);
}

static void
S_on_forget (MrTargetTask *task, const MrCancelBatchMessage *message)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, task->origins);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const MrOrigin *origin = value;
      if (origin->batch_id != message->origin.batch_id ||
          origin->incarnation != message->origin.incarnation ||
          !g_str_equal (origin->root, message->origin.root))
        continue;
      mr_dispatch_abandon_batch (task->dispatch, mr_now (), *(guint64 *) key);
      g_hash_table_iter_remove (&iter);
      return;
    }
}

static void
S_on_view (MrTargetTask *task, const MrView *view)
{
  GHashTableIter iter;
  gpointer key = NULL;
  MrTime now = mr_now ();
  mr_dispatch_set_evacuated (task->dispatch, now, view->evacuated_domains);
  g_hash_table_iter_init (&iter, task->leaving);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (view->leaving_targets, key))
      {
        mr_dispatch_set_target_leaving (task->dispatch, now, key, false);
        g_hash_table_iter_remove (&iter);
      }
  g_hash_table_iter_init (&iter, view->leaving_targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_hash_table_add (task->leaving, g_strdup (key)))
      mr_dispatch_set_target_leaving (task->dispatch, now, key, true);
}

static void
S_add_target_report (const MrTargetState *target, void *user)
{
  GString *text = user;
  if (text->str[text->len - 1] == '}')
    g_string_append_c (text, ',');
  g_string_append_printf (text,
                          "{\"id\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"%s\","
                          "\"in_flight\":%u,"
                          "\"limit\":%u,\"latency_us\":%.0f,\"calls\":%" G_GUINT64_FORMAT
                          ",\"shed\":%" G_GUINT64_FORMAT "}",
                          target->id, target->key, target->domain,
                          mr_health_state_name (target->health.state), target->in_flight,
                          mr_concurrency_limit_calls (&target->limit), target->mean_latency,
                          target->calls, target->shed);
}

static void
S_on_report (MrTargetTask *task, const MrReportMessage *message)
{
  GString *text = g_string_new ("{\"targets\":[");
  mr_dispatch_foreach_target (task->dispatch, S_add_target_report, text);
  g_string_append (text, "]}\n");
  mr_mailbox_post (task->entry, &mr_report_message_new (message->request_id, text)->base);
}

static void
S_on_evidence (MrTargetTask *task, const MrEvidenceMessage *message)
{
  mr_dispatch_merge_evidence (task->dispatch, mr_now (), message->fingerprint,
                              message->forget ? NULL : &message->evidence);
}

static void
S_on_message (MrLoopHandler *host, MrMessage *message)
{
  MrTargetTask *task = (MrTargetTask *) host;
  switch (message->type)
    {
    case MR_MESSAGE_SUBMIT:
      S_on_submit (task, (MrSubmitMessage *) message);
      break;
    case MR_MESSAGE_CANCEL_BATCH:
      S_on_forget (task, (MrCancelBatchMessage *) message);
      break;
    case MR_MESSAGE_VIEW:
      S_on_view (task, ((MrViewMessage *) message)->view);
      break;
    case MR_MESSAGE_REPORT:
      S_on_report (task, (MrReportMessage *) message);
      break;
    case MR_MESSAGE_EVIDENCE:
      S_on_evidence (task, (const MrEvidenceMessage *) message);
      break;
    default:
      break;
    }
  mr_message_free (message);
}

static void
S_send_calls (MrTargetTask *task)
{
  for (Exchange *e = g_queue_pop_head (&task->starting); e; e = g_queue_pop_head (&task->starting))
    S_send_call (task, e);
}

/* Closes cancelled calls that got no answer in time. */
static MrTime
S_close_overdue (MrTargetTask *task, MrTime now)
{
  MrTime next = MR_NEVER;
  g_autoptr (GPtrArray) overdue = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, task->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Exchange *exchange = item;
      if (now >= exchange->give_up_at)
        g_ptr_array_add (overdue, exchange);
      else if (exchange->give_up_at != MR_NEVER)
        next = MIN (next, exchange->give_up_at);
    }
  for (guint i = 0; i < overdue->len; i++)
    {
      Exchange *exchange = g_ptr_array_index (overdue, i);
      MrCallResult end = { .outcome = exchange->call ? MR_CALL_SILENT : MR_CALL_CANCELLED };
      if (exchange->call)
        {
          mr_http_client_abort (exchange->call);
          mr_metrics_add (MR_METRIC_CONNECTIONS_CLOSED, 1);
        }
      S_report (exchange, &end);
    }
  return next;
}

static MrTime
S_tick_errands (MrTargetTask *task, MrTime now)
{
  MrTime next = MR_NEVER;
  for (guint i = task->errands->len; i > 0; i--)
    {
      Errand *errand = g_ptr_array_index (task->errands, i - 1);
      gboolean sent = errand->call || S_send_errand (task, errand);
      if (sent && now < errand->give_up_at)
        {
          next = MIN (next, errand->give_up_at);
          continue;
        }
      if (errand->call)
        mr_http_client_abort (errand->call);
      S_end_errand (errand, FALSE);
    }
  return next;
}

static MrTime
S_on_tick (MrLoopHandler *host, MrTime now)
{
  MrTargetTask *task = (MrTargetTask *) host;
  MrTime overdue = S_close_overdue (task, now);
  MrTime next = mr_dispatch_tick (task->dispatch, now);
  S_send_calls (task);
  MrTime errands = S_tick_errands (task, now);
  mr_metrics_set_dispatch (mr_dispatch_counts (task->dispatch));
  mr_metrics_set_open_batches (mr_dispatch_batch_count (task->dispatch));
  if (!g_queue_is_empty (&task->starting))
    return now;
  return MIN (next, MIN (overdue, errands));
}

MrTargetTask *
mr_target_task_new (const MrTargetTaskInfo *info)
{
  MrTargetTask *task = g_new0 (MrTargetTask, 1);
  task->loop_host = (MrLoopHandler){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->dispatch_host = (MrDispatchHost){
    .start_call = S_start_call,
    .cancel_call = S_cancel_call,
    .probe = S_probe,
    .reconnect = S_renew,
    .deliver_partial = S_done,
    .publish_evidence = S_evidence,
  };
  task->loop = mr_loop_new (&task->loop_host, info->max_connections);
  if (!task->loop)
    {
      g_free (task);
      return NULL;
    }
  task->client = mr_http_client_new (task->loop, LANES);
  MrDispatchInfo dispatch = {
    .seed = info->seed,
    .content_key = info->content_key,
    .unix_offset = g_get_real_time () - mr_now (),
  };
  task->dispatch = mr_dispatch_new (&task->dispatch_host, &dispatch);
  g_strlcpy (task->name, info->name, sizeof task->name);
  g_strlcpy (task->prefix, info->incarnation, sizeof task->prefix);
  task->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_link_free);
  task->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_exchange_free);
  task->origins = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  task->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task->errands = g_ptr_array_new_with_free_func (S_errand_free);
  g_queue_init (&task->starting);
  return task;
}

void
mr_target_task_connect (MrTargetTask *task, MrMailbox *entry, MrMailbox *control)
{
  task->entry = entry;
  task->control = control;
}

void
mr_target_task_free (MrTargetTask *task)
{
  if (!task)
    return;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, task->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (((Exchange *) item)->call)
      mr_http_client_abort (((Exchange *) item)->call);
  for (guint i = 0; i < task->errands->len; i++)
    {
      Errand *errand = g_ptr_array_index (task->errands, i);
      if (errand->call)
        mr_http_client_abort (errand->call);
    }
  g_queue_clear (&task->starting);
  mr_loop_free (task->loop);
  mr_http_client_free (task->client);
  mr_dispatch_free (task->dispatch);
  g_hash_table_unref (task->exchanges);
  g_hash_table_unref (task->origins);
  g_hash_table_unref (task->links);
  g_hash_table_unref (task->leaving);
  g_ptr_array_unref (task->errands);
  g_free (task);
}

MrLoop *
mr_target_task_loop (MrTargetTask *task)
{
  return task->loop;
}
