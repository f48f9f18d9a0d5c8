#include "order_handler.h"

#include "log.h"
#include "metrics.h"
#include "order_records.h"
#include "safeguard.h"
#include "wire.h"

/* Subtracted from the deadline of a forwarded order, so that its result arrives in time. */
static const MrTime FORWARD_MARGIN = 5 * MR_MS;
/* Retry delay that is sent to a caller whose order is in flight. */
static const gint64 IN_FLIGHT_RETRY_MS = 200;
static const gint64 RECORDS_FULL_RETRY_MS = 1000;

/* Who waits for the result of an order: a caller of this daemon, or another daemon. */
typedef struct
{
  guint64 http_id; /* 0 if it is a daemon */
  char daemon[MR_NAME_MAX + 1];
  guint64 request_id;
  guint64 incarnation;
} Requester;

/* An order that was dispatched and has no result yet. */
typedef struct
{
  Requester requester;
  guint64 sequence;
} PendingDispatch;

/* A request that was forwarded to the issuer of its ticket. */
typedef struct
{
  guint64 request_id;
  guint64 http_id;
  MrTime timeout_at;
} PendingForward;

struct _MrOrderHandler
{
  MrEntryContext *context;
  MrOrderRecords *records;
  GHashTable *dispatches; /* batch id -> PendingDispatch */
  GHashTable *forwards;   /* request id -> PendingForward */
  guint64 last_request_id;
  gboolean refuses; /* the process ends before another order could */
};

MrOrderHandler *
mr_order_handler_new (MrEntryContext *context, const guint8 random[32])
{
  const MrSettings *settings = context->settings;
  MrOrderRecordLimits limits = {
    .ticket_life = settings->ticket_life_ms * MR_MS,
    .record_life = settings->record_life_ms * MR_MS,
    .max_records = (guint) settings->max_records,
  };
  MrOrderHandler *handler = g_new0 (MrOrderHandler, 1);
  handler->context = context;
  handler->records =
      mr_order_records_new (mr_ticket_issuer_new (settings->name, mr_now (), random), &limits);
  handler->dispatches = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  handler->forwards = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return handler;
}

void
mr_order_handler_free (MrOrderHandler *handler)
{
  if (!handler)
    return;
  g_hash_table_unref (handler->dispatches);
  g_hash_table_unref (handler->forwards);
  mr_order_records_free (handler->records);
  g_free (handler);
}

const char *
mr_order_handler_incarnation (const MrOrderHandler *handler)
{
  return mr_ticket_issuer_incarnation (mr_order_records_issuer (handler->records));
}

void
mr_order_handler_issue_ticket (MrOrderHandler *handler, guint64 http_id)
{
  char ticket[MR_TICKET_MAX_LENGTH + 1];
  mr_ticket_issue (mr_order_records_issuer (handler->records), mr_now (), ticket);
  g_autofree char *body = g_strdup_printf (
      "{\"ticket\":\"%s\",\"life_ms\":%d,\"record_life_ms\":%d}\n", ticket,
      handler->context->settings->ticket_life_ms, handler->context->settings->record_life_ms);
  MrHttpReply reply = { .status = 200, .body = mr_text (body) };
  mr_http_server_reply (handler->context->server, http_id, &reply);
}

/* Responses. */

static void
S_count_result (MrResult result)
{
  switch (mr_result_ran (result))
    {
    case MR_RAN_YES:
      mr_metrics_add (MR_METRIC_ORDERS_DONE, 1);
      break;
    case MR_RAN_NO:
      mr_metrics_add (MR_METRIC_ORDERS_NOT_RUN, 1);
      break;
    case MR_RAN_UNKNOWN:
      mr_metrics_add (MR_METRIC_ORDERS_UNKNOWN, 1);
      break;
    }
}

static const char *
S_result_message (MrResult result)
{
  switch (result)
    {
    case MR_RESULT_OVERLOADED:
      return "overloaded; nothing was sent";
    case MR_RESULT_DEADLINE:
      return "no target was free in time; nothing was sent";
    case MR_RESULT_LEAVING:
      return "this daemon is stopping; nothing was sent; ask another address";
    case MR_RESULT_NO_TARGET:
      return "no target accepted the order; each refused it or could not be reached";
    case MR_RESULT_UNKNOWN:
      return "sent to a target, but not answered; the order may have run";
    case MR_RESULT_HOME_GONE:
      return "the daemon that issued the ticket cannot be reached; it may have run the order";
    case MR_RESULT_IN_FLIGHT:
      return "the order of this ticket is in progress; retry to get its result";
    case MR_RESULT_RECORD_GONE:
      return "the record of this ticket has expired; the order may have run";
    case MR_RESULT_TICKET_EXPIRED:
      return "the ticket has expired; its order did not run and never will";
    case MR_RESULT_ORDERS_FULL:
      return "the table of order records is full; nothing was sent";
    case MR_RESULT_NO_TICKET:
      return "argument 'ticket' is missing; get one from POST .../tickets";
    case MR_RESULT_BAD_TICKET:
      return "the ticket was not issued by this system";
    case MR_RESULT_TICKET_REUSED:
      return "the ticket was already used for another order";
    case MR_RESULT_NO_SERVICE:
      return "no such service, or it does not accept orders";
    default:
      return "";
    }
}

static gint64
S_retry_after_ms (MrResult result)
{
  if (result == MR_RESULT_IN_FLIGHT)
    return IN_FLIGHT_RETRY_MS;
  if (result == MR_RESULT_LEAVING)
    return 1;
  return result == MR_RESULT_ORDERS_FULL ? RECORDS_FULL_RETRY_MS : 0;
}

static void
S_reply_done (MrOrderHandler *handler, guint64 http_id, MrText target_reply)
{
  GString *body = g_string_new ("{\"result\":102,\"name\":\"done\",\"ran\":\"yes\",\"reply\":");
  gboolean has_reply = target_reply.len > 0;
  g_string_append_len (body, has_reply ? target_reply.data : "null",
                       has_reply ? (gssize) target_reply.len : (gssize) 4);
  while (body->len > 0 && g_ascii_isspace (body->str[body->len - 1]))
    g_string_truncate (body, body->len - 1);
  g_string_append (body, "}\n");
  MrHttpReply reply = { .status = 200, .body = mr_text_of (body) };
  mr_http_server_reply (handler->context->server, http_id, &reply);
  g_string_free (body, TRUE);
}

static void
S_answer_caller (
    MrOrderHandler *handler, guint64 http_id, MrResult result, gint64 retry_after_ms, MrText reply)
{
  S_count_result (result);
  if (result == MR_RESULT_LEAVING)
    mr_metrics_add (MR_METRIC_STOP_REFUSED, 1);
  else if (mr_result_ran (result) == MR_RAN_UNKNOWN &&
           mr_entry_is_cut_short (handler->context, mr_now ()))
    mr_metrics_add (MR_METRIC_STOP_FAILED, 1);
  if (result == MR_RESULT_DONE)
    S_reply_done (handler, http_id, reply);
  else
    mr_entry_refuse (handler->context, http_id, result, retry_after_ms, S_result_message (result));
}

static void
S_answer (MrOrderHandler *handler,
          const Requester *requester,
          MrResult result,
          gint64 retry_after_ms,
          MrText reply)
{
  if (requester->http_id != 0)
    {
      S_answer_caller (handler, requester->http_id, result, retry_after_ms, reply);
      return;
    }
  MrWireOrderResult wire = {
    .request_id = requester->request_id,
    .sender_incarnation = requester->incarnation,
    .result = result,
    .retry_after_ms = retry_after_ms,
    .body = reply,
  };
  mr_entry_send_to_member (handler->context, requester->daemon,
                           mr_wire_order_result (handler->context->settings->name, &wire));
}

/* Dispatch. */

static void
S_dispatch (MrOrderHandler *handler,
            const Requester *requester,
            const MrServiceView *service,
            const MrOrderDecision *decision,
            MrText ticket,
            MrText body,
            MrTime deadline)
{
  MrEntryContext *context = handler->context;
  MrBatch *batch = mr_batch_new (++context->last_batch_id, service->map, 1);
  batch->is_order = TRUE;
  batch->traffic_class = MR_TRAFFIC_CLASS_URGENT;
  batch->deadline = deadline;
  batch->top_k = 1;
  batch->policy.target_limit = (guint) service->document.target_limit;
  /* Index of the first target to try; spreads the orders over the targets. */
  batch->shards[0] = (guint) (decision->ticket.sequence % service->map->target_count);
  g_string_append_len (batch->payload, body.data, (gssize) body.len);
  g_snprintf (batch->ticket, sizeof batch->ticket, "%.*s", (int) ticket.len, ticket.data);
  PendingDispatch *dispatch = g_new (PendingDispatch, 1);
  *dispatch = (PendingDispatch){ .requester = *requester, .sequence = decision->ticket.sequence };
  gint64 *key = g_new (gint64, 1);
  *key = (gint64) batch->id;
  g_hash_table_insert (handler->dispatches, key, dispatch);
  mr_entry_submit_batch (context, batch);
}

static gboolean
S_accepts_orders (const MrServiceView *service)
{
  return service && service->map && service->document.orders;
}

/* Decides on an order that a caller or a daemon has sent here, and carries out the decision
 * unless it is MR_ORDER_ACTION_FORWARD; that one is left to the calling function. */
static MrOrderDecision
S_decide (MrOrderHandler *handler,
          const Requester *requester,
          const MrServiceView *service,
          MrText ticket,
          MrText body,
          MrTime deadline)
{
  MrOrderDecision decision = mr_order_records_begin (handler->records, mr_now (), ticket,
                                                     mr_text (service->document.service), body);
  if (decision.action == MR_ORDER_ACTION_RUN && handler->refuses)
    {
      /* Its ticket is not dispatched any more, here or elsewhere. */
      mr_order_records_end (handler->records, decision.ticket.sequence, MR_RESULT_LEAVING,
                            (MrText){ 0 });
      S_answer (handler, requester, MR_RESULT_LEAVING, S_retry_after_ms (MR_RESULT_LEAVING),
                (MrText){ 0 });
    }
  else if (decision.action == MR_ORDER_ACTION_RUN)
    S_dispatch (handler, requester, service, &decision, ticket, body, deadline);
  else if (decision.action == MR_ORDER_ACTION_ANSWER)
    S_answer (handler, requester, decision.result, S_retry_after_ms (decision.result),
              decision.reply);
  return decision;
}

static void
S_forward (MrOrderHandler *handler,
           const MrEntryRequest *request,
           const MrTicket *ticket,
           MrText text,
           MrText body)
{
  MrEntryContext *context = handler->context;
  /* The issuer may have run it, and cannot be asked any more. */
  if (handler->refuses)
    {
      S_answer_caller (handler, request->http_id, MR_RESULT_UNKNOWN, 0, (MrText){ 0 });
      return;
    }
  const MrMember *issuer = mr_member_list_find (context->view->members, ticket->daemon);
  gboolean is_self = g_str_equal (ticket->daemon, context->settings->name);
  if (!issuer || is_self || issuer->state >= MR_MEMBER_LEFT)
    {
      S_answer_caller (handler, request->http_id, MR_RESULT_HOME_GONE, 0, (MrText){ 0 });
      return;
    }
  PendingForward *forward = g_new (PendingForward, 1);
  *forward = (PendingForward){
    .request_id = ++handler->last_request_id,
    .http_id = request->http_id,
    .timeout_at = request->deadline,
  };
  g_hash_table_insert (handler->forwards, &forward->request_id, forward);
  MrWireOrder wire = {
    .request_id = forward->request_id,
    .sender_incarnation = context->incarnation,
    .remaining_ms = MAX ((request->deadline - mr_now () - FORWARD_MARGIN) / MR_MS, 1),
    .body = body,
  };
  g_strlcpy (wire.service, request->service->document.service, sizeof wire.service);
  g_snprintf (wire.ticket, sizeof wire.ticket, "%.*s", (int) text.len, text.data);
  mr_metrics_add (MR_METRIC_ORDERS_FORWARDED, 1);
  mr_entry_send_to_member (context, issuer->name, mr_wire_order (context->settings->name, &wire));
}

void
mr_order_handler_begin (MrOrderHandler *handler,
                        const MrEntryRequest *request,
                        MrText ticket,
                        MrText body)
{
  mr_metrics_add (MR_METRIC_ORDERS, 1);
  if (!S_accepts_orders (request->service))
    {
      S_answer_caller (handler, request->http_id, MR_RESULT_NO_SERVICE, 0, (MrText){ 0 });
      return;
    }
  Requester requester = { .http_id = request->http_id };
  MrOrderDecision decision =
      S_decide (handler, &requester, request->service, ticket, body, request->deadline);
  if (decision.action == MR_ORDER_ACTION_FORWARD)
    S_forward (handler, request, &decision.ticket, ticket, body);
}

void
mr_order_handler_on_forwarded (MrOrderHandler *handler, const MrOrderMessage *message)
{
  Requester requester = { .request_id = message->request_id, .incarnation = message->incarnation };
  g_strlcpy (requester.daemon, message->from, sizeof requester.daemon);
  const MrServiceView *service = mr_view_service (handler->context->view, message->service);
  if (!S_accepts_orders (service))
    {
      S_answer (handler, &requester, MR_RESULT_NO_SERVICE, 0, (MrText){ 0 });
      return;
    }
  MrTime deadline = MIN (mr_now () + message->remaining_ms * MR_MS, handler->context->stop_at);
  MrOrderDecision decision = S_decide (handler, &requester, service, mr_text (message->ticket),
                                       mr_text_of (message->body), deadline);
  /* Issued by an earlier process with the name of this daemon, whose records no longer exist. */
  if (decision.action == MR_ORDER_ACTION_FORWARD)
    S_answer (handler, &requester, MR_RESULT_HOME_GONE, 0, (MrText){ 0 });
}

void
mr_order_handler_on_result (MrOrderHandler *handler, const MrOrderResultMessage *message)
{
  PendingForward *forward = g_hash_table_lookup (handler->forwards, &message->request_id);
  if (!forward)
    return;
  S_answer_caller (handler, forward->http_id, message->result, message->retry_after_ms,
                   mr_text_of (message->body));
  g_hash_table_remove (handler->forwards, &message->request_id);
}

static MrResult
S_partial_result (const MrPartial *partial)
{
  if (partial->kind == MR_PARTIAL_REFUSED)
    return MR_RESULT_OVERLOADED;
  if (partial->kind == MR_PARTIAL_DEADLINE)
    return MR_RESULT_DEADLINE;
  if (partial->kind == MR_PARTIAL_NO_MAP)
    return MR_RESULT_LEAVING;
  /* Only a partial that ends its batch can tell that the order did not run. */
  if (partial->kind != MR_PARTIAL_ANSWER)
    return MR_RESULT_UNKNOWN;
  switch (partial->order_outcome)
    {
    case MR_ORDER_DONE:
      return MR_RESULT_DONE;
    case MR_ORDER_UNKNOWN:
      return MR_RESULT_UNKNOWN;
    case MR_ORDER_NOT_RUN:
      return MR_RESULT_NO_TARGET;
    }
  return MR_RESULT_UNKNOWN;
}

gboolean
mr_order_handler_on_partial (MrOrderHandler *handler, MrPartial *partial)
{
  PendingDispatch *dispatch = g_hash_table_lookup (handler->dispatches, &partial->batch_id);
  if (!dispatch)
    return FALSE;
  MrResult result = S_partial_result (partial);
  MrText reply = partial->order_reply ? mr_text_of (partial->order_reply) : (MrText){ 0 };
  if (result == MR_RESULT_UNKNOWN)
    mr_log (MR_LOG_WARNING, MR_EVENT_ORDER_UNKNOWN,
            "order %" G_GUINT64_FORMAT " was sent, but not answered; its result is unknown",
            dispatch->sequence);
  mr_order_records_end (handler->records, dispatch->sequence, result, reply);
  S_answer (handler, &dispatch->requester, result, partial->retry_after_ms, reply);
  g_hash_table_remove (handler->dispatches, &partial->batch_id);
  mr_partial_free (partial);
  return TRUE;
}

MrTime
mr_order_handler_tick (MrOrderHandler *handler, MrTime now)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, handler->forwards);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      PendingForward *forward = item;
      if (now < forward->timeout_at)
        {
          next = MIN (next, forward->timeout_at);
          continue;
        }
      /* The issuer may have been paused after it accepted the order. */
      S_answer_caller (handler, forward->http_id, MR_RESULT_UNKNOWN, 0, (MrText){ 0 });
      g_hash_table_iter_remove (&iter);
    }
  return next;
}

void
mr_order_handler_end_by (MrOrderHandler *handler, MrTime at)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, handler->forwards);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      PendingForward *forward = item;
      forward->timeout_at = MIN (forward->timeout_at, at);
    }
}

void
mr_order_handler_refuse (MrOrderHandler *handler)
{
  handler->refuses = TRUE;
}

void
mr_order_handler_end_all (MrOrderHandler *handler)
{
  GHashTableIter iter;
  gpointer item = NULL;
  mr_order_handler_end_by (handler, 0);
  mr_order_handler_tick (handler, mr_now ());
  g_hash_table_iter_init (&iter, handler->dispatches);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const PendingDispatch *dispatch = item;
      mr_order_records_end (handler->records, dispatch->sequence, MR_RESULT_UNKNOWN, (MrText){ 0 });
      S_answer (handler, &dispatch->requester, MR_RESULT_UNKNOWN, 0, (MrText){ 0 });
      g_hash_table_iter_remove (&iter);
    }
}

guint
mr_order_handler_pending_count (const MrOrderHandler *handler)
{
  return g_hash_table_size (handler->dispatches) + g_hash_table_size (handler->forwards);
}
