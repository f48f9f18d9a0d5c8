#include "order_handler.h"

#include "log.h"
#include "metrics.h"
#include "order_records.h"
#include "safeguard.h"
#include "wire.h"

/* Kept back from a forwarded order's deadline for the way back. */
static const MrTime HOP = 5 * MR_MS;
/* What a caller is told to wait for while its order is in flight. */
static const gint64 IN_FLIGHT_RETRY_MS = 200;
static const gint64 FULL_RETRY_MS = 1000;

/* Who waits for the result of an order: a caller of ours, or a daemon. */
typedef struct
{
  guint64 http_id; /* 0: a daemon */
  char daemon[MR_NAME_MAX + 1];
  guint64 request;
  guint64 incarnation;
} Asker;

/* A dispatch under way. */
typedef struct
{
  Asker asker;
  guint64 sequence;
} Dispatch;

/* A request forwarded to the issuer of its ticket. */
typedef struct
{
  guint64 request;
  guint64 http_id;
  MrTime give_up_at;
} Forward;

struct _MrOrderHandler
{
  MrEntryContext *context;
  MrOrderRecords *orders;
  GHashTable *dispatches; /* batch id -> Dispatch */
  GHashTable *forwards;   /* request -> Forward */
  guint64 last_request;
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
  MrOrderHandler *flow = g_new0 (MrOrderHandler, 1);
  flow->context = context;
  flow->orders =
      mr_order_records_new (mr_ticket_issuer_new (settings->name, mr_now (), random), &limits);
  flow->dispatches = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  flow->forwards = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return flow;
}

void
mr_order_handler_free (MrOrderHandler *flow)
{
  if (!flow)
    return;
  g_hash_table_unref (flow->dispatches);
  g_hash_table_unref (flow->forwards);
  mr_order_records_free (flow->orders);
  g_free (flow);
}

const char *
mr_order_handler_incarnation (const MrOrderHandler *flow)
{
  return mr_ticket_issuer_incarnation (mr_order_records_issuer (flow->orders));
}

void
mr_order_handler_issue_ticket (MrOrderHandler *flow, guint64 http_id)
{
  char ticket[MR_TICKET_MAX_LENGTH + 1];
  mr_ticket_issue (mr_order_records_issuer (flow->orders), mr_now (), ticket);
  g_autofree char *body = g_strdup_printf (
      "{\"ticket\":\"%s\",\"life_ms\":%d,\"record_life_ms\":%d}\n", ticket,
      flow->context->settings->ticket_life_ms, flow->context->settings->record_life_ms);
  MrHttpReply reply = { .status = 200, .body = mr_text (body) };
  mr_http_server_reply (flow->context->server, http_id, &reply);
}

/* Answers. */

static void
S_count (MrResult result)
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
S_message (MrResult result)
{
  switch (result)
    {
    case MR_RESULT_OVERLOADED:
      return "overload; nothing was sent";
    case MR_RESULT_DEADLINE:
      return "no target was free in time; nothing was sent";
    case MR_RESULT_NO_TARGET:
      return "no target took the order; each refused or could not be reached";
    case MR_RESULT_UNKNOWN:
      return "sent to a target and not answered; it may have run";
    case MR_RESULT_HOME_GONE:
      return "the daemon that issued the ticket is gone; it may have run the "
             "order";
    case MR_RESULT_IN_FLIGHT:
      return "the same ticket is being run; ask again for its result";
    case MR_RESULT_RECORD_GONE:
      return "the ticket's record is past its life";
    case MR_RESULT_TICKET_EXPIRED:
      return "the ticket was not presented within its life and never will run";
    case MR_RESULT_ORDERS_FULL:
      return "too many orders are remembered; nothing was sent";
    case MR_RESULT_NO_TICKET:
      return "argument 'ticket' is missing; get one from POST .../tickets";
    case MR_RESULT_BAD_TICKET:
      return "the ticket was not issued by this system";
    case MR_RESULT_TICKET_REUSED:
      return "the ticket was used for another order";
    case MR_RESULT_NO_SERVICE:
      return "no such service, or it takes no orders";
    default:
      return "";
    }
}

static gint64
S_retry_after_ms (MrResult result)
{
  if (result == MR_RESULT_IN_FLIGHT)
    return IN_FLIGHT_RETRY_MS;
  return result == MR_RESULT_ORDERS_FULL ? FULL_RETRY_MS : 0;
}

static void
S_reply_done (MrOrderHandler *flow, guint64 http_id, MrText target_reply)
{
  GString *body = g_string_new ("{\"result\":102,\"name\":\"done\",\"ran\":\"yes\",\"reply\":");
  gboolean any = target_reply.len > 0;
  g_string_append_len (body, any ? target_reply.data : "null",
                       any ? (gssize) target_reply.len : (gssize) 4);
  while (body->len > 0 && g_ascii_isspace (body->str[body->len - 1]))
    g_string_truncate (body, body->len - 1);
  g_string_append (body, "}\n");
  MrHttpReply reply = { .status = 200, .body = mr_text_of (body) };
  mr_http_server_reply (flow->context->server, http_id, &reply);
  g_string_free (body, TRUE);
}

static void
S_answer_caller (
    MrOrderHandler *flow, guint64 http_id, MrResult result, gint64 retry_after_ms, MrText reply)
{
  S_count (result);
  if (result == MR_RESULT_DONE)
    S_reply_done (flow, http_id, reply);
  else
    mr_entry_refuse (flow->context, http_id, result, retry_after_ms, S_message (result));
}

static void
S_answer (
    MrOrderHandler *flow, const Asker *asker, MrResult result, gint64 retry_after_ms, MrText reply)
{
  if (asker->http_id != 0)
    {
      S_answer_caller (flow, asker->http_id, result, retry_after_ms, reply);
      return;
    }
  MrWireOrderResult wire = {
    .request_id = asker->request,
    .sender_incarnation = asker->incarnation,
    .result = result,
    .retry_after_ms = retry_after_ms,
    .body = reply,
  };
  mr_entry_send_to_member (flow->context, asker->daemon,
                           mr_wire_order_result (flow->context->settings->name, &wire));
}

/* Dispatch. */

static void
S_run (MrOrderHandler *flow,
       const Asker *asker,
       const MrServiceView *service,
       const MrOrderDecision *verdict,
       MrText ticket,
       MrText body,
       MrTime deadline)
{
  MrEntryContext *context = flow->context;
  MrBatch *batch = mr_batch_new (++context->last_batch_id, service->map, 1);
  batch->is_order = TRUE;
  batch->traffic_class = MR_TRAFFIC_CLASS_URGENT;
  batch->deadline = deadline;
  batch->top_k = 1;
  batch->policy.target_limit = (guint) service->document.target_limit;
  /* Orders spread over the targets; the index of the first one to try. */
  batch->shards[0] = (guint) (verdict->ticket.sequence % service->map->target_count);
  g_string_append_len (batch->payload, body.data, (gssize) body.len);
  g_snprintf (batch->ticket, sizeof batch->ticket, "%.*s", (int) ticket.len, ticket.data);
  Dispatch *dispatch = g_new (Dispatch, 1);
  *dispatch = (Dispatch){ .asker = *asker, .sequence = verdict->ticket.sequence };
  gint64 *key = g_new (gint64, 1);
  *key = (gint64) batch->id;
  g_hash_table_insert (flow->dispatches, key, dispatch);
  mr_entry_submit_batch (context, batch);
}

static gboolean
S_takes_orders (const MrServiceView *service)
{
  return service && service->map && service->document.orders;
}

/* Decides on an order at the process that it reached; FORWARD is returned. */
static MrOrderDecision
S_decide (MrOrderHandler *flow,
          const Asker *asker,
          const MrServiceView *service,
          MrText ticket,
          MrText body,
          MrTime deadline)
{
  MrOrderDecision verdict = mr_order_records_begin (flow->orders, mr_now (), ticket,
                                                    mr_text (service->document.service), body);
  if (verdict.action == MR_ORDER_ACTION_RUN)
    S_run (flow, asker, service, &verdict, ticket, body, deadline);
  else if (verdict.action == MR_ORDER_ACTION_ANSWER)
    S_answer (flow, asker, verdict.result, S_retry_after_ms (verdict.result), verdict.reply);
  return verdict;
}

static void
S_forward (MrOrderHandler *flow,
           const MrEntryRequest *request,
           const MrTicket *ticket,
           MrText text,
           MrText body)
{
  MrEntryContext *context = flow->context;
  const MrMember *home = mr_member_list_find (context->view->members, ticket->daemon);
  gboolean own_name = g_str_equal (ticket->daemon, context->settings->name);
  if (!home || own_name || home->state >= MR_MEMBER_LEFT)
    {
      S_answer_caller (flow, request->http_id, MR_RESULT_HOME_GONE, 0, (MrText){ 0 });
      return;
    }
  Forward *forward = g_new (Forward, 1);
  *forward = (Forward){
    .request = ++flow->last_request,
    .http_id = request->http_id,
    .give_up_at = request->deadline,
  };
  g_hash_table_insert (flow->forwards, &forward->request, forward);
  MrWireOrder wire = {
    .request_id = forward->request,
    .sender_incarnation = context->incarnation,
    .remaining_ms = MAX ((request->deadline - mr_now () - HOP) / MR_MS, 1),
    .body = body,
  };
  g_strlcpy (wire.service, request->service->document.service, sizeof wire.service);
  g_snprintf (wire.ticket, sizeof wire.ticket, "%.*s", (int) text.len, text.data);
  mr_metrics_add (MR_METRIC_ORDERS_FORWARDED, 1);
  mr_entry_send_to_member (context, home->name, mr_wire_order (context->settings->name, &wire));
}

void
mr_order_handler_begin (MrOrderHandler *flow,
                        const MrEntryRequest *request,
                        MrText ticket,
                        MrText body)
{
  mr_metrics_add (MR_METRIC_ORDERS, 1);
  if (!S_takes_orders (request->service))
    {
      S_answer_caller (flow, request->http_id, MR_RESULT_NO_SERVICE, 0, (MrText){ 0 });
      return;
    }
  Asker asker = { .http_id = request->http_id };
  MrOrderDecision verdict =
      S_decide (flow, &asker, request->service, ticket, body, request->deadline);
  if (verdict.action == MR_ORDER_ACTION_FORWARD)
    S_forward (flow, request, &verdict.ticket, ticket, body);
}

void
mr_order_handler_on_forwarded (MrOrderHandler *flow, const MrOrderMessage *message)
{
  Asker asker = { .request = message->request_id, .incarnation = message->incarnation };
  g_strlcpy (asker.daemon, message->from, sizeof asker.daemon);
  const MrServiceView *service = mr_view_service (flow->context->view, message->service);
  if (!S_takes_orders (service))
    {
      S_answer (flow, &asker, MR_RESULT_NO_SERVICE, 0, (MrText){ 0 });
      return;
    }
  MrTime deadline = mr_now () + message->remaining_ms * MR_MS;
  MrOrderDecision verdict = S_decide (flow, &asker, service, mr_text (message->ticket),
                                      mr_text_of (message->body), deadline);
  /* A ticket of an earlier process of our name: its memory is gone. */
  if (verdict.action == MR_ORDER_ACTION_FORWARD)
    S_answer (flow, &asker, MR_RESULT_HOME_GONE, 0, (MrText){ 0 });
}

void
mr_order_handler_on_result (MrOrderHandler *flow, const MrOrderResultMessage *message)
{
  Forward *forward = g_hash_table_lookup (flow->forwards, &message->request_id);
  if (!forward)
    return;
  S_answer_caller (flow, forward->http_id, message->result, message->retry_after_ms,
                   mr_text_of (message->body));
  g_hash_table_remove (flow->forwards, &message->request_id);
}

static MrResult
S_result (const MrPartial *partial)
{
  if (partial->kind == MR_PARTIAL_REFUSED)
    return MR_RESULT_OVERLOADED;
  if (partial->kind == MR_PARTIAL_DEADLINE)
    return MR_RESULT_DEADLINE;
  if (partial->kind != MR_PARTIAL_ANSWER)
    return MR_RESULT_UNKNOWN; /* "not run" only on the word of an ended batch */
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
mr_order_handler_on_partial (MrOrderHandler *flow, MrPartial *partial)
{
  Dispatch *dispatch = g_hash_table_lookup (flow->dispatches, &partial->batch_id);
  if (!dispatch)
    return FALSE;
  MrResult result = S_result (partial);
  MrText reply = partial->order_reply ? mr_text_of (partial->order_reply) : (MrText){ 0 };
  if (result == MR_RESULT_UNKNOWN)
    mr_log (MR_LOG_WARNING, MR_EVENT_ORDER_UNKNOWN,
            "order %" G_GUINT64_FORMAT " was sent and not answered; told as unknown",
            dispatch->sequence);
  mr_order_records_end (flow->orders, dispatch->sequence, result, reply);
  S_answer (flow, &dispatch->asker, result, partial->retry_after_ms, reply);
  g_hash_table_remove (flow->dispatches, &partial->batch_id);
  mr_partial_free (partial);
  return TRUE;
}

MrTime
mr_order_handler_tick (MrOrderHandler *flow, MrTime now)
{
  MrTime next = MR_NEVER;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, flow->forwards);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Forward *forward = item;
      if (now < forward->give_up_at)
        {
          next = MIN (next, forward->give_up_at);
          continue;
        }
      /* The issuer may be frozen with the order in its hands. */
      S_answer_caller (flow, forward->http_id, MR_RESULT_UNKNOWN, 0, (MrText){ 0 });
      g_hash_table_iter_remove (&iter);
    }
  return next;
}

guint
mr_order_handler_pending_count (const MrOrderHandler *flow)
{
  return g_hash_table_size (flow->dispatches) + g_hash_table_size (flow->forwards);
}
