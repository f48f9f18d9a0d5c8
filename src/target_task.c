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
  CONNECTION_SLOTS = 64, /* connections to one target, including old ones after a reconnect */
  ID_PREFIX_LENGTH = 8,  /* hex digits of the incarnation that call ids start with */
};

/* A cancelled call that is neither answered nor confirmed within this time is closed. */
static const MrTime CANCEL_TIMEOUT = 50 * MR_MS;
static const MrTime PROBE_TIMEOUT = 300 * MR_MS;

/* Connections to one target, one for each connection slot of the HTTP client. */
typedef struct
{
  char *key;
  guint first_slot; /* first slot of the connections opened since the last reconnect */
  gboolean busy[CONNECTION_SLOTS];
} SlotSet;

typedef struct
{
  MrTargetTask *task;
  guint64 id;
  SlotSet *slots;
  guint slot;
  MrHttpCall *call;
  MrTime timeout_at; /* MR_NEVER unless cancelled */
  char *ip;
  int port;
  gboolean is_order;
  char *path;
  GString *body; /* of an order */
} Exchange;

/* Auxiliary request in progress: a probe or a cancellation, with a timeout like a call. */
typedef struct
{
  MrTargetTask *task;
  SlotSet *slots;
  MrHttpCall *call; /* NULL: not sent yet */
  gboolean probe;
  guint slot; /* of a cancellation */
  MrTime timeout_at;
  char *ip;
  int port;
  char *path;
} AuxRequest;

struct _MrTargetTask
{
  MrLoopHandler loop_handler;
  MrDispatchHost dispatch_host;
  MrLoop *loop;
  MrHttpClient *client;
  MrDispatch *dispatch;
  MrMailbox *entry;
  MrMailbox *control;
  char name[MR_NAME_MAX + 1];
  char prefix[ID_PREFIX_LENGTH + 1];
  GHashTable *slot_sets;   /* target key -> SlotSet */
  GHashTable *exchanges;   /* call id -> Exchange */
  GHashTable *origins;     /* local batch id -> MrOrigin */
  GQueue send_queue;       /* Exchange, to be sent by the next tick */
  GPtrArray *aux_requests; /* AuxRequest */
  guint64 last_batch_id;
  gboolean refuses_batches;    /* of other daemons */
  GHashTable *leaving_targets; /* set of target keys, as reported to the dispatcher */
};

#define TASK_OF_DISPATCH_HOST(host)                                                                \
  ((MrTargetTask *) (void *) ((char *) (host) -offsetof (MrTargetTask, dispatch_host)))

static SlotSet *
S_get_slots (MrTargetTask *task, const char *key)
{
  SlotSet *slots = g_hash_table_lookup (task->slot_sets, key);
  if (slots)
    return slots;
  slots = g_new0 (SlotSet, 1);
  slots->key = g_strdup (key);
  g_hash_table_insert (task->slot_sets, slots->key, slots);
  return slots;
}

static void
S_slots_free (gpointer data)
{
  SlotSet *slots = data;
  g_free (slots->key);
  g_free (slots);
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
S_aux_free (gpointer data)
{
  AuxRequest *aux = data;
  g_free (aux->ip);
  g_free (aux->path);
  g_free (aux);
}

/* First free connection slot, counted from first_slot, so that calls share few connections and
 * keep them warm; CONNECTION_SLOTS if all are busy. */
static guint
S_find_free_slot (const SlotSet *slots)
{
  for (guint i = 0; i < CONNECTION_SLOTS; i++)
    {
      guint slot = (slots->first_slot + i) % CONNECTION_SLOTS;
      if (!slots->busy[slot])
        return slot;
    }
  return CONNECTION_SLOTS;
}

/* Reports the end of @exchange, which is freed.  Returns FALSE if the response was not for its
 * call: the connection is out of sync and must not be reused. */
static gboolean
S_end_exchange (Exchange *exchange, MrCallResult *result)
{
  MrTargetTask *task = exchange->task;
  result->id = exchange->id;
  if (exchange->slot < CONNECTION_SLOTS)
    exchange->slots->busy[exchange->slot] = FALSE;
  g_hash_table_remove (task->exchanges, &result->id);
  return mr_dispatch_call_end (task->dispatch, mr_now (), result);
}

static gboolean
S_on_call_done (void *user, const MrHttpResponse *response)
{
  Exchange *exchange = user;
  MrTargetReply reply = { 0 };
  mr_target_reply_parse (response, exchange->is_order, exchange->task->prefix, &reply);
  gboolean keep = S_end_exchange (exchange, &reply.end);
  mr_target_reply_clear (&reply);
  return keep;
}

/* The dispatcher may start a call from within a callback of libwebsockets, when the connection
 * whose call has just ended cannot take another yet.  Calls are therefore queued and sent by
 * the next tick. */
static void
S_queue_call (MrDispatchHost *host, const MrShardCall *shard_call)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  SlotSet *slots = S_get_slots (task, shard_call->target->key);
  Exchange *exchange = g_new0 (Exchange, 1);
  *exchange = (Exchange){
    .task = task,
    .id = shard_call->id,
    .slots = slots,
    .slot = CONNECTION_SLOTS,
    .timeout_at = MR_NEVER,
    .ip = g_strdup (shard_call->target->ip),
    .port = shard_call->target->port,
    .is_order = shard_call->batch->is_order,
    .path = mr_target_call_path (shard_call, task->prefix, mr_now ()),
  };
  if (exchange->is_order)
    exchange->body = g_string_new_len (shard_call->batch->payload->str,
                                       (gssize) shard_call->batch->payload->len);
  g_hash_table_insert (task->exchanges, &exchange->id, exchange);
  g_queue_push_tail (&task->send_queue, exchange);
}

/* Sends @exchange, or reports that it could not be sent. */
static void
S_send_call (MrTargetTask *task, Exchange *exchange)
{
  exchange->slot = S_find_free_slot (exchange->slots);
  mr_metrics_add (exchange->is_order ? MR_METRIC_ORDER_CALLS : MR_METRIC_SHARD_CALLS, 1);
  if (exchange->slot < CONNECTION_SLOTS)
    {
      MrHttpCallInfo info = {
        .method = exchange->is_order ? "POST" : "GET",
        .ip = exchange->ip,
        .port = exchange->port,
        .connection_slot = exchange->slot,
        /* A refusal has no id: on a connection that has carried another call, a late copy of one
         * could be taken for the refusal of the order, which would run again elsewhere. */
        .new_connection = exchange->is_order,
        .path = exchange->path,
        .body = exchange->body ? mr_text_of (exchange->body) : (MrText){ 0 },
        .on_response = S_on_call_done,
        .user = exchange,
      };
      exchange->call = mr_http_client_call (task->client, &info);
    }
  if (exchange->call)
    {
      exchange->slots->busy[exchange->slot] = TRUE;
      return;
    }
  MrCallResult result = { .outcome = MR_CALL_NOT_CONNECTED };
  exchange->slot = CONNECTION_SLOTS;
  S_end_exchange (exchange, &result);
}

/* Ends @aux, which is freed. */
static void
S_end_aux (AuxRequest *aux, gboolean answered)
{
  MrTargetTask *task = aux->task;
  SlotSet *slots = aux->slots;
  gboolean probe = aux->probe;
  if (!probe)
    slots->busy[aux->slot] = FALSE;
  g_ptr_array_remove_fast (task->aux_requests, aux);
  if (probe)
    mr_dispatch_probe_end (task->dispatch, mr_now (), slots->key, answered);
}

static gboolean
S_on_aux_done (void *user, const MrHttpResponse *response)
{
  S_end_aux (user, response->outcome == MR_HTTP_OK && response->status == 200);
  return TRUE;
}

static void
S_queue_aux (MrTargetTask *task, AuxRequest *aux, const char *ip, int port, const char *path)
{
  g_ptr_array_add (task->aux_requests, aux);
  aux->task = task;
  aux->ip = g_strdup (ip);
  aux->port = port;
  aux->path = g_strdup (path);
}

/* Returns FALSE if the request could not be sent. */
static gboolean
S_send_aux (MrTargetTask *task, AuxRequest *aux)
{
  MrHttpCallInfo info = {
    .method = "GET",
    .ip = aux->ip,
    .port = aux->port,
    .connection_slot = aux->slot,
    .new_connection = aux->probe,
    .path = aux->path,
    .on_response = S_on_aux_done,
    .user = aux,
  };
  aux->call = mr_http_client_call (task->client, &info);
  return aux->call != NULL;
}

/* Asks the target, on another connection, to stop working on @exchange.  The target then ends
 * the call with "cancelled" or a complete response, after which the connection can be reused. */
static void
S_send_cancel (MrTargetTask *task, const Exchange *exchange)
{
  guint slot = S_find_free_slot (exchange->slots);
  if (slot == CONNECTION_SLOTS)
    return;
  exchange->slots->busy[slot] = TRUE;
  AuxRequest *aux = g_new0 (AuxRequest, 1);
  aux->slots = exchange->slots;
  aux->slot = slot;
  aux->timeout_at = mr_now () + CANCEL_TIMEOUT;
  g_autofree char *path =
      g_strdup_printf ("/v1/cancel?id=%s-%" G_GUINT64_FORMAT, task->prefix, exchange->id);
  S_queue_aux (task, aux, exchange->ip, exchange->port, path);
}

static void
S_cancel_call (MrDispatchHost *host, guint64 id)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  Exchange *exchange = g_hash_table_lookup (task->exchanges, &id);
  if (!exchange || exchange->timeout_at != MR_NEVER)
    return;
  if (!exchange->call)
    {
      exchange->timeout_at = 0; /* not sent yet: the next tick ends it */
      g_queue_remove (&task->send_queue, exchange);
      return;
    }
  exchange->timeout_at = mr_now () + CANCEL_TIMEOUT;
  mr_metrics_add (MR_METRIC_CANCELS, 1);
  if (!exchange->is_order)
    S_send_cancel (task, exchange);
}

static void
S_probe (MrDispatchHost *host, const MrTargetState *target)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  AuxRequest *aux = g_new0 (AuxRequest, 1);
  aux->slots = S_get_slots (task, target->key);
  aux->probe = TRUE;
  aux->timeout_at = mr_now () + PROBE_TIMEOUT;
  mr_metrics_add (MR_METRIC_PROBES, 1);
  S_queue_aux (task, aux, target->ip, target->port, "/v1/health");
}

/* Existing connections may be dead without any sign of it.  Idle ones are closed, as they would
 * count against the connection limit of the target.  New calls take connection slots that were
 * not in use, so that each opens a new connection. */
static void
S_reconnect (MrDispatchHost *host, const MrTargetState *target)
{
  MrTargetTask *task = TASK_OF_DISPATCH_HOST (host);
  SlotSet *slots = S_get_slots (task, target->key);
  for (guint slot = 0; slot < CONNECTION_SLOTS; slot++)
    if (!slots->busy[slot])
      mr_http_client_close_idle (task->client, target->ip, target->port, slot);
  slots->first_slot =
      (slots->first_slot + mr_concurrency_limit_calls (&target->limit) + 1) % CONNECTION_SLOTS;
  mr_metrics_add (MR_METRIC_RENEWALS, 1);
  mr_log (MR_LOG_NOTICE, MR_EVENT_CONNECTION_SILENT, "target %s: replacing idle connections",
          target->id);
}

static void
S_send_partial (MrDispatchHost *host, MrPartial *partial)
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
S_send_evidence (MrDispatchHost *host, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  mr_mailbox_post (TASK_OF_DISPATCH_HOST (host)->control,
                   &mr_evidence_message_new (fingerprint, evidence)->base);
}

static gint64 *
S_local_id_new (guint64 id)
{
  gint64 *copy = g_new (gint64, 1);
  *copy = (gint64) id;
  return copy;
}

/* Each root numbers its own batches, so every batch gets an id that is unique in this task. */
static void
S_on_submit (MrTargetTask *task, MrSubmitMessage *message)
{
  /* The root sends it to another owner. */
  if (task->refuses_batches && message->origin.root[0] != '\0')
    {
      MrPartial *partial = mr_partial_new (message->batch->id, MR_PARTIAL_NO_MAP);
      GString *bytes = mr_wire_partial (task->name, message->origin.incarnation, partial);
      mr_mailbox_post (task->control,
                       &mr_peer_send_message_new (message->origin.root, bytes)->base);
      mr_partial_free (partial);
      return;
    }
  MrBatch *batch = message->batch;
  message->batch = NULL;
  MrOrigin *origin = g_new (MrOrigin, 1);
  *origin = message->origin;
  origin->batch_id = batch->id;
  batch->id = ++task->last_batch_id;
  g_hash_table_insert (task->origins, S_local_id_new (batch->id), origin);
  mr_metrics_add (MR_METRIC_BATCHES, 1);
  mr_dispatch_submit (task->dispatch, mr_now (), batch);
}

static void
S_on_cancel_batch (MrTargetTask *task, const MrCancelBatchMessage *message)
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
  g_hash_table_iter_init (&iter, task->leaving_targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (view->leaving_targets, key))
      {
        mr_dispatch_set_target_leaving (task->dispatch, now, key, false);
        g_hash_table_iter_remove (&iter);
      }
  g_hash_table_iter_init (&iter, view->leaving_targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_hash_table_add (task->leaving_targets, g_strdup (key)))
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
S_on_stop_time (MrTargetTask *task, const MrStopTimeMessage *message)
{
  mr_dispatch_set_stop_time (task->dispatch, message->at);
  task->refuses_batches = message->refuse_batches;
}

static void
S_on_message (MrLoopHandler *handler, MrMessage *message)
{
  MrTargetTask *task = (MrTargetTask *) handler;
  switch (message->type)
    {
    case MR_MESSAGE_SUBMIT:
      S_on_submit (task, (MrSubmitMessage *) message);
      break;
    case MR_MESSAGE_CANCEL_BATCH:
      S_on_cancel_batch (task, (MrCancelBatchMessage *) message);
      break;
    case MR_MESSAGE_VIEW:
      S_on_view (task, ((MrViewMessage *) message)->view);
      break;
    case MR_MESSAGE_REPORT:
      S_on_report (task, (MrReportMessage *) message);
      break;
    case MR_MESSAGE_STOP_TIME:
      S_on_stop_time (task, (const MrStopTimeMessage *) message);
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
  for (Exchange *e = g_queue_pop_head (&task->send_queue); e;
       e = g_queue_pop_head (&task->send_queue))
    S_send_call (task, e);
}

/* Closes cancelled calls that were not answered in time. */
static MrTime
S_close_timed_out (MrTargetTask *task, MrTime now)
{
  MrTime next = MR_NEVER;
  g_autoptr (GPtrArray) timed_out = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, task->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Exchange *exchange = item;
      if (now >= exchange->timeout_at)
        g_ptr_array_add (timed_out, exchange);
      else if (exchange->timeout_at != MR_NEVER)
        next = MIN (next, exchange->timeout_at);
    }
  for (guint i = 0; i < timed_out->len; i++)
    {
      Exchange *exchange = g_ptr_array_index (timed_out, i);
      MrCallResult result = { .outcome = exchange->call ? MR_CALL_SILENT : MR_CALL_CANCELLED };
      if (exchange->call)
        {
          mr_http_client_abort (exchange->call);
          mr_metrics_add (MR_METRIC_CONNECTIONS_CLOSED, 1);
        }
      S_end_exchange (exchange, &result);
    }
  return next;
}

static MrTime
S_tick_aux_requests (MrTargetTask *task, MrTime now)
{
  MrTime next = MR_NEVER;
  for (guint i = task->aux_requests->len; i > 0; i--)
    {
      AuxRequest *aux = g_ptr_array_index (task->aux_requests, i - 1);
      gboolean sent = aux->call || S_send_aux (task, aux);
      if (sent && now < aux->timeout_at)
        {
          next = MIN (next, aux->timeout_at);
          continue;
        }
      if (aux->call)
        mr_http_client_abort (aux->call);
      S_end_aux (aux, FALSE);
    }
  return next;
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  MrTargetTask *task = (MrTargetTask *) handler;
  MrTime next_timeout = S_close_timed_out (task, now);
  MrTime next = mr_dispatch_tick (task->dispatch, now);
  S_send_calls (task);
  MrTime next_aux = S_tick_aux_requests (task, now);
  mr_metrics_set_dispatch (mr_dispatch_counts (task->dispatch));
  mr_metrics_set_open_batches (mr_dispatch_batch_count (task->dispatch));
  if (!g_queue_is_empty (&task->send_queue))
    return now;
  return MIN (next, MIN (next_timeout, next_aux));
}

MrTargetTask *
mr_target_task_new (const MrTargetTaskInfo *info)
{
  MrTargetTask *task = g_new0 (MrTargetTask, 1);
  task->loop_handler = (MrLoopHandler){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->dispatch_host = (MrDispatchHost){
    .start_call = S_queue_call,
    .cancel_call = S_cancel_call,
    .probe = S_probe,
    .reconnect = S_reconnect,
    .deliver_partial = S_send_partial,
    .publish_evidence = S_send_evidence,
  };
  task->loop = mr_loop_new (&task->loop_handler, info->max_connections);
  if (!task->loop)
    {
      g_free (task);
      return NULL;
    }
  task->client = mr_http_client_new (task->loop, CONNECTION_SLOTS);
  MrDispatchInfo dispatch = {
    .seed = info->seed,
    .content_key = info->content_key,
    .unix_offset = g_get_real_time () - mr_now (),
  };
  task->dispatch = mr_dispatch_new (&task->dispatch_host, &dispatch);
  g_strlcpy (task->name, info->name, sizeof task->name);
  g_strlcpy (task->prefix, info->incarnation, sizeof task->prefix);
  task->slot_sets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_slots_free);
  task->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_exchange_free);
  task->origins = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  task->leaving_targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task->aux_requests = g_ptr_array_new_with_free_func (S_aux_free);
  g_queue_init (&task->send_queue);
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
  for (guint i = 0; i < task->aux_requests->len; i++)
    {
      AuxRequest *aux = g_ptr_array_index (task->aux_requests, i);
      if (aux->call)
        mr_http_client_abort (aux->call);
    }
  g_queue_clear (&task->send_queue);
  mr_loop_free (task->loop);
  mr_http_client_free (task->client);
  mr_dispatch_free (task->dispatch);
  g_hash_table_unref (task->exchanges);
  g_hash_table_unref (task->origins);
  g_hash_table_unref (task->slot_sets);
  g_hash_table_unref (task->leaving_targets);
  g_ptr_array_unref (task->aux_requests);
  g_free (task);
}

MrLoop *
mr_target_task_loop (MrTargetTask *task)
{
  return task->loop;
}
