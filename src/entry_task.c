#include "entry_task.h"

#include "entry_stop.h"
#include "log.h"
#include "metrics.h"
#include "operator_pages.h"
#include "task_message.h"

enum
{
  BODY_MAX = 64 * 1024,
  QUERY_MAX = 1024,
  REQUEST_ID_MAX = 128,
  ADDRESSES_DEFAULT = 3,
  ADDRESSES_MAX = 16,
  /* This daemon marks itself busy if the refused share of the requests of an interval is above the
   * first limit, and no longer busy if it is at or below the second. */
  BUSY_START_PERCENT = 20,
  BUSY_END_PERCENT = 5,
};

static const MrTime LOAD_CHECK_INTERVAL = 1 * MR_SECOND;
struct _MrEntryTask
{
  MrLoopHandler loop_handler;
  MrHttpHandler http_handler;
  MrEntryContext context;
  MrLoop *loop;
  MrSearches *searches;
  MrOrderHandler *orders;
  GRand *random;
  MrEntryStop *stop;
  MrTime next_load_check;
  gboolean busy;
  void (*stopped) (void *user);
  void *user;
};

#define TASK_OF_HTTP_HANDLER(handler)                                                              \
  ((MrEntryTask *) (void *) ((char *) (handler) -offsetof (MrEntryTask, http_handler)))

static void
S_reply_text (MrEntryTask *task, guint64 id, const char *type, GString *text)
{
  MrHttpReply reply = { .status = 200, .content_type = type, .body = mr_text_of (text) };
  mr_http_server_reply (task->context.server, id, &reply);
  g_string_free (text, TRUE);
}

/* Filter chain for the requests of callers.  A filter returns TRUE to pass the request on, or
 * replies itself and returns FALSE. */

typedef struct
{
  MrEntryTask *task;
  const MrHttpRequest *http;
  const char *service_name;
  MrEntryRequest request;
} Chain;

typedef gboolean (*Filter) (Chain *chain);

static gboolean
S_refuse (Chain *chain, MrResult result, gint64 retry_after_ms, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

static gboolean
S_refuse (Chain *chain, MrResult result, gint64 retry_after_ms, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *message = g_strdup_vprintf (format, args);
  va_end (args);
  mr_entry_refuse (&chain->task->context, chain->http->id, result, retry_after_ms, message);
  return FALSE;
}

static gboolean
S_filter_ready (Chain *chain)
{
  const MrView *view = chain->task->context.view;
  if (!view || !view->ready)
    return S_refuse (chain, MR_RESULT_NOT_READY, 1000,
                     "no configuration yet: neither the platform nor a peer has answered");
  return TRUE;
}

static gboolean
S_filter_service (Chain *chain)
{
  chain->request.service = mr_view_service (chain->task->context.view, chain->service_name);
  if (!chain->request.service)
    return S_refuse (chain, MR_RESULT_NO_SERVICE, 0, "service '%s' has no document in force",
                     chain->service_name);
  if (!chain->request.service->map)
    return S_refuse (chain, MR_RESULT_NOT_READY, 1000, "service '%s' has no shard map yet",
                     chain->service_name);
  return TRUE;
}

static gboolean
S_parse_int_arg (Chain *chain, const char *name, gint64 default_value, gint64 max, gint64 *out)
{
  const char *text = mr_http_query_arg (chain->http, name, NULL);
  guint64 number = (guint64) default_value;
  if (text &&
      (!mr_text_parse_u64 (mr_text (text), &number) || number < 1 || number > (guint64) max))
    return S_refuse (chain, MR_RESULT_BAD_REQUEST, 0,
                     "argument '%s': value '%.40s', expected a whole number "
                     "from 1 to %" G_GINT64_FORMAT,
                     name, text, max);
  *out = (gint64) number;
  return TRUE;
}

static gboolean
S_filter_deadline (Chain *chain)
{
  const MrDocument *document = &chain->request.service->document;
  gboolean is_order = g_str_has_suffix (chain->http->path.data, "/orders");
  gint64 default_value = is_order ? document->order_timeout_ms : document->deadline_ms;
  gint64 max = is_order ? 60000 : document->max_deadline_ms;
  gint64 deadline_ms = 0;
  if (!S_parse_int_arg (chain, "deadline_ms", default_value, max, &deadline_ms))
    return FALSE;
  chain->request.deadline =
      MIN (chain->request.received_at + deadline_ms * MR_MS, chain->task->context.stop_at);
  return TRUE;
}

static gboolean
S_filter_class (Chain *chain)
{
  const char *name = mr_http_query_arg (chain->http, "class", "interactive");
  chain->request.traffic_class = mr_traffic_class_from_name (mr_text (name));
  if (chain->request.traffic_class == MR_TRAFFIC_CLASS_COUNT)
    return S_refuse (chain, MR_RESULT_BAD_REQUEST, 0,
                     "argument 'class': value '%.40s', expected urgent, "
                     "interactive or browsing",
                     name);
  return TRUE;
}

static gboolean
S_filter_request_id (Chain *chain)
{
  chain->request.request_id = mr_http_query_arg (chain->http, "request_id", "");
  if (strlen (chain->request.request_id) > REQUEST_ID_MAX ||
      !g_utf8_validate (chain->request.request_id, -1, NULL))
    return S_refuse (chain, MR_RESULT_BAD_REQUEST, 0,
                     "argument 'request_id': expected at most %d bytes of UTF-8", REQUEST_ID_MAX);
  return TRUE;
}

static gboolean
S_filter_admission (Chain *chain)
{
  MrEntryTask *task = chain->task;
  guint max = (guint) task->context.settings->max_requests;
  if (mr_http_server_pending_count (task->context.server) <= max)
    return TRUE;
  task->context.window_refused++;
  return S_refuse (chain, MR_RESULT_OVERLOADED, 100, "this daemon already serves %u requests", max);
}

/* Orders pass, as an order of the same ticket may have run: "not run" would be false. */
static gboolean
S_filter_stop (Chain *chain)
{
  if (!mr_entry_stop_refuses (chain->task->stop) ||
      g_str_has_suffix (chain->http->path.data, "/orders"))
    return TRUE;
  mr_entry_refuse_leaving (&chain->task->context, chain->http->id);
  return FALSE;
}

static const Filter filters[] = {
  S_filter_stop,     S_filter_ready, S_filter_service,    S_filter_admission,
  S_filter_deadline, S_filter_class, S_filter_request_id,
};

static gboolean
S_run_filters (Chain *chain)
{
  for (size_t i = 0; i < G_N_ELEMENTS (filters); i++)
    if (!filters[i](chain))
      return FALSE;
  return TRUE;
}

/* Refuses a quarantined search.  A search that is due for probation passes, since the owners try it
 * at one target.  Orders are not checked, since there may already be a result for their ticket. */
static gboolean
S_check_quarantine (Chain *chain, MrText content)
{
  const MrEntryContext *context = &chain->task->context;
  MrFingerprint fingerprint =
      mr_batch_fingerprint (chain->service_name, FALSE, content, context->content_key);
  MrEvidence evidence = mr_quarantine_get (context->quarantine, fingerprint);
  if (mr_evidence_standing (&evidence, mr_unix_time ()) != MR_STANDING_QUARANTINED ||
      mr_evidence_is_probation_due (&evidence, mr_unix_time ()))
    return TRUE;
  return S_refuse (chain, MR_RESULT_QUARANTINED, 0,
                   "this search has crashed %u targets and is quarantined",
                   mr_evidence_crash_count (&evidence));
}

/* Requests that have passed the filters. */

static void
S_search (Chain *chain)
{
  const MrDocument *document = &chain->request.service->document;
  const char *text = mr_http_query_arg (chain->http, "q", NULL);
  gint64 top_k = 0;
  if (!text || text[0] == '\0' || strlen (text) > QUERY_MAX || !g_utf8_validate (text, -1, NULL))
    {
      S_refuse (chain, MR_RESULT_BAD_REQUEST, 0, "argument 'q': expected 1 to %d bytes of UTF-8",
                QUERY_MAX);
      return;
    }
  if (S_parse_int_arg (chain, "k", document->top_k, document->max_top_k, &top_k) &&
      S_check_quarantine (chain, mr_text (text)))
    mr_searches_begin (chain->task->searches, &chain->request, mr_text (text), (guint) top_k);
}

static void
S_order (Chain *chain)
{
  const char *ticket = mr_http_query_arg (chain->http, "ticket", "");
  if (chain->http->body.len == 0)
    S_refuse (chain, MR_RESULT_BAD_REQUEST, 0, "the order has no body");
  else
    mr_order_handler_begin (chain->task->orders, &chain->request, mr_text (ticket),
                            chain->http->body);
}

static void
S_ticket (Chain *chain)
{
  if (!chain->request.service->document.orders)
    S_refuse (chain, MR_RESULT_NO_SERVICE, 0, "service '%s' takes no orders", chain->service_name);
  else
    mr_order_handler_issue_ticket (chain->task->orders, chain->http->id);
}

static const struct
{
  const char *action;
  const char *method;
  void (*serve) (Chain *chain);
} service_routes[] = {
  { "search", "GET", S_search },
  { "orders", "POST", S_order },
  { "tickets", "POST", S_ticket },
};

/* "/v1/services/<name>/<action>" */
static void
S_on_service_request (MrEntryTask *task, const MrHttpRequest *request, char **parts)
{
  Chain chain = {
    .task = task,
    .http = request,
    .service_name = parts[3],
    .request = { .http_id = request->id, .received_at = mr_now () },
  };
  mr_entry_stop_count_request (task->stop, chain.request.received_at);
  for (size_t i = 0; i < G_N_ELEMENTS (service_routes); i++)
    {
      if (!g_str_equal (service_routes[i].action, parts[4]))
        continue;
      if (!mr_text_equal (request->method, mr_text (service_routes[i].method)))
        S_refuse (&chain, MR_RESULT_BAD_METHOD, 0, "expected %s", service_routes[i].method);
      else if (S_run_filters (&chain))
        service_routes[i].serve (&chain);
      return;
    }
  S_refuse (&chain, MR_RESULT_NO_PATH, 0, "no such path");
}

/* Pages for operators. */

static void
S_page_addresses (MrEntryTask *task, const MrHttpRequest *request)
{
  Chain chain = { .task = task, .http = request };
  gint64 count = 0;
  if (S_filter_ready (&chain) &&
      S_parse_int_arg (&chain, "count", ADDRESSES_DEFAULT, ADDRESSES_MAX, &count))
    S_reply_text (task, request->id, NULL,
                  mr_page_addresses (&task->context, mr_http_query_arg (request, "domain", NULL),
                                     (guint) count, task->random));
}

static void
S_page_status (MrEntryTask *task, const MrHttpRequest *request)
{
  MrEntryActivity counts = {
    .searches = mr_searches_count (task->searches),
    .orders = mr_order_handler_pending_count (task->orders),
    .leaving = mr_entry_stop_has_begun (task->stop),
  };
  S_reply_text (task, request->id, NULL, mr_page_status (&task->context, &counts));
}

static void
S_page_members (MrEntryTask *task, const MrHttpRequest *request)
{
  S_reply_text (task, request->id, NULL, mr_page_members (&task->context));
}

static void
S_page_burn (MrEntryTask *task, const MrHttpRequest *request)
{
  S_reply_text (task, request->id, NULL, mr_page_burn (&task->context, mr_now ()));
}

static void
S_page_metrics (MrEntryTask *task, const MrHttpRequest *request)
{
  S_reply_text (task, request->id, "text/plain; version=0.0.4", mr_page_metrics (&task->context));
}

static void
S_page_targets (MrEntryTask *task, const MrHttpRequest *request)
{
  mr_mailbox_post (task->context.target_mailbox, &mr_report_message_new (request->id, NULL)->base);
}

static void
S_page_ready (MrEntryTask *task, const MrHttpRequest *request)
{
  Chain chain = { .task = task, .http = request };
  if (S_filter_stop (&chain) && S_filter_ready (&chain))
    S_reply_text (task, request->id, NULL, g_string_new ("{\"ready\":true}\n"));
}

static const struct
{
  const char *path;
  void (*serve) (MrEntryTask *task, const MrHttpRequest *request);
} pages[] = {
  { "/v1/addresses", S_page_addresses }, { "/v1/status", S_page_status },
  { "/v1/members", S_page_members },     { "/v1/targets", S_page_targets },
  { "/v1/burn", S_page_burn },           { "/v1/ready", S_page_ready },
  { "/metrics", S_page_metrics },
};

static void
S_on_request (MrHttpHandler *handler, const MrHttpRequest *request)
{
  MrEntryTask *task = TASK_OF_HTTP_HANDLER (handler);
  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    if (mr_text_equal (request->path, mr_text (pages[i].path)))
      {
        pages[i].serve (task, request);
        return;
      }
  g_autofree char *path = mr_text_dup (request->path);
  g_auto (GStrv) parts = g_strsplit (path, "/", 6);
  if (g_strv_length (parts) == 5 && g_str_has_prefix (path, "/v1/services/"))
    S_on_service_request (task, request, parts);
  else
    mr_entry_refuse (&task->context, request->id, MR_RESULT_NO_PATH, 0, "no such path");
}

static void
S_on_disconnect (MrHttpHandler *handler, guint64 id)
{
  mr_searches_cancel (TASK_OF_HTTP_HANDLER (handler)->searches, id);
}

/* The task. */

static void
S_publish_local_state (MrEntryTask *task, MrMemberState state)
{
  mr_mailbox_post (task->context.control_mailbox,
                   &mr_local_state_message_new (state, task->busy)->base);
}

static void
S_begin_leaving (MrEntryTask *task)
{
  if (mr_entry_stop_has_begun (task->stop))
    return;
  mr_entry_stop_begin (task->stop, mr_now ());
  S_publish_local_state (task, MR_MEMBER_LEAVING);
}

static void
S_on_partial (MrEntryTask *task, MrPartialMessage *message)
{
  MrPartial *partial = g_steal_pointer (&message->partial);
  if (mr_searches_add_partial (task->searches, partial, message->from))
    return;
  if (!mr_order_handler_on_partial (task->orders, partial))
    mr_partial_free (partial);
}

static void
S_on_evidence (MrEntryTask *task, const MrEvidenceMessage *message)
{
  MrQuarantine *quarantine = task->context.quarantine;
  if (message->forget)
    mr_quarantine_remove (quarantine, message->fingerprint);
  else
    mr_quarantine_merge (quarantine, message->fingerprint, &message->evidence, mr_unix_time (),
                         NULL);
}

static void
S_on_message (MrLoopHandler *handler, MrMessage *message)
{
  MrEntryTask *task = (MrEntryTask *) handler;
  switch (message->type)
    {
    case MR_MESSAGE_VIEW:
      mr_view_unref (task->context.view);
      task->context.view = mr_view_ref (((MrViewMessage *) message)->view);
      break;
    case MR_MESSAGE_PARTIAL:
      S_on_partial (task, (MrPartialMessage *) message);
      break;
    case MR_MESSAGE_ORDER:
      mr_order_handler_on_forwarded (task->orders, (MrOrderMessage *) message);
      break;
    case MR_MESSAGE_ORDER_RESULT:
      mr_order_handler_on_result (task->orders, (MrOrderResultMessage *) message);
      break;
    case MR_MESSAGE_REPORT:
      S_reply_text (task, ((MrReportMessage *) message)->request_id, NULL,
                    g_steal_pointer (&((MrReportMessage *) message)->text));
      break;
    case MR_MESSAGE_EVIDENCE:
      S_on_evidence (task, (const MrEvidenceMessage *) message);
      break;
    case MR_MESSAGE_STOP:
      S_begin_leaving (task);
      break;
    default:
      break;
    }
  mr_message_free (message);
}

/* Marks this daemon busy while it refuses many requests, so that callers are given other addresses.
 */
static void
S_update_busy (MrEntryTask *task, MrTime now)
{
  if (now < task->next_load_check)
    return;
  task->next_load_check = now + LOAD_CHECK_INTERVAL;
  guint refused = task->context.window_refused;
  guint total = refused + task->context.window_served;
  task->context.window_refused = 0;
  task->context.window_served = 0;
  guint percent = total > 0 ? refused * 100 / total : 0;
  gboolean busy = task->busy ? percent > BUSY_END_PERCENT : percent > BUSY_START_PERCENT;
  if (busy == task->busy || mr_entry_stop_has_begun (task->stop))
    return;
  task->busy = busy;
  S_publish_local_state (task, MR_MEMBER_ALIVE);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  MrEntryTask *task = (MrEntryTask *) handler;
  MrTime next = mr_searches_tick (task->searches, now);
  next = MIN (next, mr_order_handler_tick (task->orders, now));
  S_update_busy (task, now);
  if (mr_entry_stop_continue (task->stop, now, &next))
    {
      S_publish_local_state (task, MR_MEMBER_LEFT);
      task->stopped (task->user);
    }
  return next;
}

MrEntryTask *
mr_entry_task_new (const MrEntryTaskInfo *info)
{
  MrEntryTask *task = g_new0 (MrEntryTask, 1);
  task->loop_handler = (MrLoopHandler){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->http_handler =
      (MrHttpHandler){ .on_request = S_on_request, .on_disconnect = S_on_disconnect };
  task->context.settings = info->settings;
  task->context.incarnation = info->incarnation;
  task->context.burn = mr_burn_new (mr_now ());
  task->context.quarantine = mr_quarantine_new ();
  task->context.content_key = mr_settings_content_key_hash (info->settings);
  task->random = g_rand_new_with_seed (info->seed);
  task->stopped = info->stopped;
  task->user = info->user;
  task->searches = mr_searches_new (&task->context);
  task->orders = mr_order_handler_new (&task->context, info->random);
  task->stop = mr_entry_stop_new (&task->context, task->searches, task->orders);
  task->loop = mr_loop_new (&task->loop_handler, (guint) info->settings->max_requests * 2);
  if (task->loop)
    task->context.server = mr_http_server_new (task->loop, &task->http_handler, info->settings->ip,
                                               info->settings->http_port, BODY_MAX);
  if (!task->context.server)
    {
      mr_entry_task_free (task);
      return NULL;
    }
  return task;
}

void
mr_entry_task_connect (MrEntryTask *task, MrMailbox *targets, MrMailbox *control)
{
  task->context.target_mailbox = targets;
  task->context.control_mailbox = control;
}

void
mr_entry_task_free (MrEntryTask *task)
{
  if (!task)
    return;
  mr_loop_free (task->loop);
  mr_http_server_free (task->context.server);
  mr_searches_free (task->searches);
  mr_order_handler_free (task->orders);
  mr_entry_stop_free (task->stop);
  mr_view_unref (task->context.view);
  mr_burn_free (task->context.burn);
  mr_quarantine_free (task->context.quarantine);
  g_rand_free (task->random);
  g_free (task);
}

MrLoop *
mr_entry_task_loop (MrEntryTask *task)
{
  return task->loop;
}

const char *
mr_entry_task_incarnation (const MrEntryTask *task)
{
  return mr_order_handler_incarnation (task->orders);
}
