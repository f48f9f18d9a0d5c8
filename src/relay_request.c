#include "relay_task_private.h"

#include "access.h"
#include "log.h"
#include "merge_records.h"
#include "metrics.h"
#include <xxhash.h>

enum
{
  STATUS_OK = 200,
  STATUS_UNAUTHORIZED = 401,
  STATUS_NOT_FOUND = 404,
  STATUS_TOO_MANY_REQUESTS = 429,
  /* For a quarantined request.  503 and 429 invite the caller to retry, 4xx reports a fault of the
   * caller, and 502 and 504 are for failed attempts. */
  STATUS_QUARANTINED = 500,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
};

/* Period in which only one daemon may try a content: many times the difference between the daemons'
 * clocks. */
static const MrTime TRIAL_TURN = 8 * MR_SECOND;
/* A daemon that has just started has its configuration within this time. */
static const MrTime NOT_READY_RETRY_AFTER = 300 * MR_MS;

typedef struct
{
  MrRelayTask *task;
  MrCaller *caller; /* NULL after the caller disconnected */
  MrActiveRequest *active;
  gboolean awaits_limit; /* for the decision on its organisation's rate limit */
  MrConfiguration *configuration;
  const MrRoute *route;
  const MrOrganisation *organisation; /* NULL: none */
  MrTime arrived; /* start of the route's time limits; 0: when it is submitted */
  MrTime began;
  MrTime deadline;
  char *id;
  MrFingerprint fingerprint;
  gboolean bodiless;
  GString *head; /* request line and header fields to forward */
  GString *body;
} Request;

static void
S_request_free (Request *request)
{
  mr_configuration_unref (request->configuration);
  g_free (request->id);
  g_string_free (request->head, TRUE);
  g_string_free (request->body, TRUE);
  g_free (request);
}

/* Forwarded requests. */

/* Key and organisation concern only callers of a deployment that has organisations; in others these
 * are fields like any other. */
static gboolean
S_is_set_by_relay (const MrDialect *dialect, gboolean has_organisations, MrText name)
{
  return mr_text_equal_nocase (name, dialect->remaining_ms) ||
         mr_text_equal_nocase (name, dialect->expected_id) ||
         (has_organisations && (mr_text_equal_nocase (name, dialect->key) ||
                                mr_text_equal_nocase (name, dialect->organisation)));
}

static void
S_append_field (GString *out, MrHttpField field)
{
  g_string_append_len (out, field.name.data, (gssize) field.name.len);
  g_string_append (out, ": ");
  g_string_append_len (out, field.value.data, (gssize) field.value.len);
  g_string_append (out, "\r\n");
}

static GString *
S_copy_head (const MrDialect *dialect,
             const MrConfiguration *configuration,
             const MrOrganisation *organisation,
             const MrHttpParser *in)
{
  gboolean has_organisations = mr_configuration_organisations (configuration) != NULL;
  MrText method = mr_http_parser_method (in);
  MrText target = mr_http_parser_target (in);
  GString *out = g_string_sized_new (512);
  g_string_append_printf (out, "%.*s %.*s HTTP/1.1\r\n", (int) method.len, method.data,
                          (int) target.len, target.data);
  for (guint i = 0; i < mr_http_parser_field_count (in); i++)
    {
      MrHttpField field = mr_http_parser_field (in, i);
      if (!mr_http_parser_is_hop_by_hop (in, field.name) &&
          !S_is_set_by_relay (dialect, has_organisations, field.name))
        S_append_field (out, field);
    }
  if (organisation)
    g_string_append_printf (out, "%s: %s\r\n", dialect->organisation, organisation->name);
  return out;
}

/* The caller's deadline; the route's time limit if the caller sent none. */
static MrTime
S_deadline (const MrDialect *dialect, const MrHttpParser *in, const MrRoute *route, MrTime began)
{
  guint64 ms = 0;
  MrText text = mr_http_parser_find_field (in, dialect->remaining_ms, NULL);
  if (mr_text_parse_u64 (text, &ms) && ms <= G_MAXINT32)
    return began + (MrTime) ms * MR_MS;
  return began + route->time_limit;
}

/* Covers what the request asks for, without the caller's id and deadline. */
static MrFingerprint
S_fingerprint (const MrRelayTask *task, const MrHttpParser *in)
{
  MrText host_field = mr_http_parser_find_field (in, "Host", NULL);
  g_autofree char *host =
      g_ascii_strdown (host_field.data ? host_field.data : "", (gssize) host_field.len);
  const MrText texts[] = {
    mr_http_parser_method (in),
    mr_text (host),
    mr_http_parser_target (in),
    mr_http_parser_body (in),
  };
  return mr_fingerprint_compute (texts, G_N_ELEMENTS (texts), task->content_key);
}

static void
S_on_send_call (MrRelayHost *host, const MrRelayCall *call)
{
  MrRelayTask *task = RELAY_TASK_OF (host, relay_host);
  const Request *request = call->host_request;
  MrTime now = mr_now ();
  /* Rounded down: with too long a deadline the target would keep working after the caller's. */
  gint64 ms_left = MAX ((call->deadline - now) / MR_MS, 1);
  GString *bytes = g_string_sized_new (request->head->len + request->body->len + 128);
  g_string_append_len (bytes, request->head->str, (gssize) request->head->len);
  g_string_append_printf (bytes, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n",
                          task->dialect->remaining_ms, ms_left, task->dialect->expected_id,
                          call->target->id);
  if (request->body->len > 0 || !call->idempotent)
    g_string_append_printf (bytes, "Content-Length: %zu\r\n", request->body->len);
  g_string_append (bytes, "\r\n");
  g_string_append_len (bytes, request->body->str, (gssize) request->body->len);
  MrTargetCall out = {
    .id = call->id,
    .target = call->target,
    .request = mr_text_of (bytes),
    .request_id = mr_text (request->id),
    .bodiless = request->bodiless,
    .idempotent = call->idempotent,
    .is_part = request->route->kind == MR_ROUTE_SHARDS,
  };
  mr_target_client_call (task->client, now, &out);
  g_string_free (bytes, TRUE);
}

static void
S_on_close_call (MrRelayHost *host, guint64 id)
{
  mr_target_client_close_call (RELAY_TASK_OF (host, relay_host)->client, id);
}

static gboolean
S_on_withdraw_call (MrRelayHost *host, guint64 id)
{
  return mr_target_client_withdraw_call (RELAY_TASK_OF (host, relay_host)->client, id);
}

static void
S_on_probe (MrRelayHost *host, const MrTargetState *target)
{
  mr_target_client_probe (RELAY_TASK_OF (host, relay_host)->client, mr_now (), target);
}

static void
S_on_reconnect (MrRelayHost *host, const MrTargetState *target)
{
  MrTargetClient *client = RELAY_TASK_OF (host, relay_host)->client;
  if (target->health.state == MR_HEALTH_LEAVING)
    mr_target_client_remove_target (client, target);
  else
    mr_target_client_reconnect (client, target);
}

static void
S_on_publish_evidence (MrRelayHost *host, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  mr_mailbox_post (RELAY_TASK_OF (host, relay_host)->control,
                   &mr_evidence_message_new (fingerprint, evidence)->base);
}

/* TRUE if it is this daemon's turn to try the content.  Daemons with the same view agree on one of
 * the entry daemons: two simultaneous trials would cost one more target.  The turn rotates, since
 * the caller of a content may not reach every daemon. */
static gboolean
S_may_try_content (MrRelayHost *host, MrFingerprint fingerprint)
{
  const MrRelayTask *task = RELAY_TASK_OF (host, relay_host);
  guint64 turn = (guint64) (g_get_real_time () / TRIAL_TURN);
  const char *best = "";
  guint64 best_score = 0;
  for (guint i = 0; task->entry_plan.entries && i < task->entry_plan.entries->len; i++)
    {
      const MrMember *member = g_ptr_array_index (task->entry_plan.entries, i);
      guint64 score = XXH64 (member->name, strlen (member->name), fingerprint.low + turn);
      if (score <= best_score)
        continue;
      best = member->name;
      best_score = score;
    }
  return g_str_equal (best, task->settings->base.name);
}

static void
S_free_answer (gpointer answer)
{
  mr_http_parser_free (answer);
}

static void
S_on_call_ended (MrTargetClientHost *host, guint64 id, MrCallOutcome outcome, MrHttpParser *answer)
{
  MrRelayTask *task = RELAY_TASK_OF (host, client_host);
  mr_relay_call_end (task->relay, mr_now (), id, outcome, answer);
}

static void
S_on_probed (MrTargetClientHost *host, const char *target, gboolean answered)
{
  MrRelayTask *task = RELAY_TASK_OF (host, client_host);
  mr_relay_probe_end (task->relay, mr_now (), target, answered);
}

/* Answers. */

static void
S_answer (MrRelayTask *task, MrCaller *caller, int status, MrText fields, MrText body)
{
  task->status_class_counts[CLAMP (status / 100, 0, 5)]++;
  mr_caller_answer (caller, status, fields, body);
}

static void
S_answer_error (
    MrRelayTask *task, MrCaller *caller, int status, const char *reason, MrTime retry_after)
{
  g_autoptr (GString) fields = g_string_new ("Content-Type: application/json\r\n");
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", reason);
  if (retry_after > 0)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double) retry_after / (double) MR_SECOND);
  S_answer (task, caller, status, mr_text_of (fields), mr_text (body));
}

static void
S_forward_answer (const Request *request, const MrHttpParser *answer)
{
  g_autoptr (GString) fields = g_string_new (NULL);
  for (guint i = 0; i < mr_http_parser_field_count (answer); i++)
    {
      MrHttpField field = mr_http_parser_field (answer, i);
      if (!mr_http_parser_is_hop_by_hop (answer, field.name))
        S_append_field (fields, field);
    }
  S_answer (request->task, request->caller, mr_http_parser_status (answer), mr_text_of (fields),
            mr_http_parser_body (answer));
}

static void
S_answer_merged (const Request *request, const MrRelayResult *result)
{
  const MrDialect *dialect = request->task->dialect;
  g_autofree MrText *parts = g_new0 (MrText, result->part_count);
  g_autoptr (GString) fields = g_string_new ("Content-Type: application/octet-stream\r\n");
  guint count = 0;
  g_string_append_printf (fields, "%s: ", dialect->signatures);
  for (guint i = 0; i < result->part_count; i++)
    {
      const MrHttpParser *answer = result->answers[i];
      if (!answer)
        continue;
      MrText signature = mr_http_parser_find_field (answer, dialect->signature, NULL);
      g_string_append_printf (fields, "%s%.*s", count > 0 ? ", " : "", (int) signature.len,
                              signature.data);
      parts[count++] = mr_http_parser_body (answer);
    }
  g_string_append_printf (fields, "\r\n%s: %u\r\n", dialect->missing_parts, result->missing_parts);
  g_autoptr (GString) body = mr_merge_records (parts, count, request->route->top_records);
  S_answer (request->task, request->caller, STATUS_OK, mr_text_of (fields), mr_text_of (body));
}

static int
S_status (const MrRelayResult *result)
{
  switch (result->verdict)
    {
    case MR_VERDICT_ANSWER:
      return mr_http_parser_status (result->answers[0]);
    case MR_VERDICT_MERGE:
      return STATUS_OK;
    case MR_VERDICT_REFUSED:
      return result->cause == MR_CAUSE_QUARANTINED ? STATUS_QUARANTINED : STATUS_UNAVAILABLE;
    case MR_VERDICT_FAILED:
      return STATUS_BAD_GATEWAY;
    case MR_VERDICT_TIMEOUT:
      return STATUS_GATEWAY_TIMEOUT;
    }
  return STATUS_BAD_GATEWAY;
}

static void
S_on_request_done (MrRelayHost *host, gpointer user, const MrRelayResult *result)
{
  MrRelayTask *task = RELAY_TASK_OF (host, relay_host);
  Request *request = user;
  int status = S_status (result);
  MrTime now = mr_now ();
  request->active = NULL;
  if (result->verdict == MR_VERDICT_REFUSED && request->organisation)
    mr_limits_give_back (task->limits, now, request->organisation);
  switch (result->verdict)
    {
    case MR_VERDICT_ANSWER:
      S_forward_answer (request, result->answers[0]);
      break;
    case MR_VERDICT_MERGE:
      S_answer_merged (request, result);
      if (result->soft_deadline != 0)
        mr_relay_record_response_overhead (task->relay, mr_now () - result->soft_deadline);
      break;
    case MR_VERDICT_REFUSED:
    case MR_VERDICT_FAILED:
    case MR_VERDICT_TIMEOUT:
      S_answer_error (task, request->caller, status, mr_cause_name (result->cause),
                      result->retry_after);
      break;
    }
  if (status < 300)
    mr_histogram_add (&task->success_latency, now - request->began);
  MrRequestLogInfo line = {
    .id = request->id,
    .fingerprint = request->fingerprint,
    .route = request->route,
    .organisation = request->organisation ? request->organisation->name : NULL,
    .version = mr_configuration_version (request->configuration),
    .status = status,
    .took = now - request->began,
    .time_left = request->deadline - now,
  };
  mr_relay_log_result (task, &line, result);
  S_request_free (request);
}

/* Incoming requests. */

static void
S_refuse (
    MrRelayTask *task, MrCaller *caller, const MrHttpParser *in, int status, const char *reason)
{
  MrLogLine *line = mr_log_begin (MR_LOG_NOTICE, MR_EVENT_NO_ROUTE);
  const MrConfiguration *configuration = task->view ? task->view->configuration : NULL;
  mr_log_text (line, "request", mr_http_parser_find_field (in, task->dialect->request_id, NULL));
  mr_log_text (line, "host", mr_http_parser_find_field (in, "Host", NULL));
  mr_log_text (line, "target", mr_http_parser_target (in));
  mr_log_number (line, "version",
                 configuration ? (gint64) mr_configuration_version (configuration) : 0);
  mr_log_number (line, "status", status);
  mr_log_text (line, "cause", mr_text (reason));
  mr_log_end (line);
  S_answer_error (task, caller, status, reason,
                  status == STATUS_UNAVAILABLE ? NOT_READY_RETRY_AFTER : 0);
}

static void
S_refuse_not_ready (MrRelayTask *task, MrCaller *caller, const MrHttpParser *in)
{
  S_refuse (task, caller, in, STATUS_UNAVAILABLE, "not-ready");
}

static void
S_submit (Request *request)
{
  MrRelayRequestParams params = {
    .host_request = request,
    .configuration = request->configuration,
    .route = request->route,
    .organisation = request->organisation,
    .arrived = request->arrived,
    .deadline = request->deadline,
    .round_trip = mr_caller_round_trip (request->caller),
    .fingerprint = request->fingerprint,
  };
  MrActiveRequest *active = mr_relay_submit (request->task->relay, mr_now (), &params);
  if (active)
    request->active = active;
}

/* Answers a request that its organisation's rate limit does not admit. */
static void
S_refuse_for_limit (Request *request, MrLimitDecision decision, MrTime retry_after)
{
  gboolean exceeded = decision == MR_LIMIT_EXCEEDED;
  int status = exceeded ? STATUS_TOO_MANY_REQUESTS : STATUS_UNAVAILABLE;
  MrLimitRefusal refusal = {
    .id = request->id,
    .organisation = request->organisation->name,
    .exceeded = exceeded,
    .retry_after = retry_after,
  };
  mr_relay_limits_refused (request->task, &refusal);
  S_answer_error (request->task, request->caller, status, mr_relay_limit_cause (exceeded),
                  retry_after);
  S_request_free (request);
}

static void
S_apply_limit_decision (Request *request, MrLimitDecision decision, MrTime retry_after)
{
  request->awaits_limit = decision == MR_LIMIT_WAITING;
  if (decision == MR_LIMIT_ADMITTED)
    S_submit (request);
  else if (decision != MR_LIMIT_WAITING)
    S_refuse_for_limit (request, decision, retry_after);
}

static void
S_on_limit_decided (MrLimitsHost *host,
                    gpointer request,
                    MrLimitDecision decision,
                    MrTime retry_after)
{
  (void) host;
  S_apply_limit_decision (request, decision, retry_after);
}

static void
S_check_limit (Request *request)
{
  MrTime retry_after = 0;
  MrLimitDecision decision = mr_relay_limits_check (request->task, request->organisation,
                                                    request->deadline, request, &retry_after);
  S_apply_limit_decision (request, decision, retry_after);
}

/* @route: set to the request's route, or NULL if there is none. */
static MrAccess
S_check_access (const MrRelayTask *task, const MrHttpParser *in, const MrRoute **route)
{
  const MrConfiguration *configuration = task->view->configuration;
  guint key_count = 0;
  MrText key = mr_http_parser_find_field (in, task->dialect->key, &key_count);
  *route = mr_configuration_find_route (configuration, mr_http_parser_find_field (in, "Host", NULL),
                                        mr_http_parser_target (in));
  return *route ? mr_access_check (configuration, *route, key, key_count) : (MrAccess){ 0 };
}

static void
S_refuse_denied (MrRelayTask *task, const MrQueuedRequest *denied, MrAccessKind kind)
{
  task->denied_counts[kind]++;
  S_refuse (task, denied->caller, denied->request, STATUS_UNAUTHORIZED, mr_access_name (kind));
}

/* TRUE if a newer configuration may admit a request that is denied with @access. */
static gboolean
S_may_become_known (const MrRelayTask *task, const MrHttpParser *in, MrAccess access)
{
  return access.kind == MR_ACCESS_UNKNOWN_KEY &&
         mr_http_parser_find_field (in, task->dialect->key, NULL).len <= MR_KEY_BYTES_MAX;
}

static void
S_deny (MrRelayTask *task, const MrQueuedRequest *denied, MrAccess access)
{
  if (S_may_become_known (task, denied->request, access))
    mr_denial_check_add (task->denial_check, mr_now (), denied);
  else
    S_refuse_denied (task, denied, access.kind);
}

/* The route's time limits count from @arrived; 0: from now, so that a caller that was slow to send
 * its request gets all of the time. */
static void
S_begin_request (
    MrRelayTask *task, MrCaller *caller, const MrHttpParser *in, MrTime began, MrTime arrived)
{
  MrConfiguration *configuration = task->view->configuration;
  const MrRoute *route = NULL;
  MrAccess access = S_check_access (task, in, &route);
  if (!route)
    {
      S_refuse (task, caller, in, STATUS_NOT_FOUND, "no-route");
      return;
    }
  if (mr_access_is_denied (access))
    {
      MrQueuedRequest denied = { .caller = caller,
                                 .request = in,
                                 .first_byte_at = began,
                                 .received_at = arrived ? arrived : mr_now () };
      S_deny (task, &denied, access);
      return;
    }
  MrText body = mr_http_parser_body (in);
  Request *request = g_new0 (Request, 1);
  *request = (Request){
    .task = task,
    .caller = caller,
    .configuration = mr_configuration_ref (configuration),
    .route = route,
    .organisation = access.organisation,
    .arrived = arrived,
    .began = began,
    .deadline = S_deadline (task->dialect, in, route, began),
    .id = mr_text_dup (mr_http_parser_find_field (in, task->dialect->request_id, NULL)),
    .fingerprint = S_fingerprint (task, in),
    .bodiless = mr_text_equal (mr_http_parser_method (in), MR_TEXT ("HEAD")),
    .head = S_copy_head (task->dialect, configuration, access.organisation, in),
    .body = g_string_new_len (body.data, (gssize) body.len),
  };
  mr_caller_set_user (caller, request);
  S_check_limit (request);
}

/* Requests with unknown keys. */

static void
S_on_version_query (MrDenialCheckHost *host, const char *daemon, guint64 number)
{
  MrRelayTask *task = RELAY_TASK_OF (host, denial_check_host);
  mr_metrics_add (MR_METRIC_DENIAL_QUERIES, 1);
  mr_mailbox_post (task->control, &mr_version_query_message_new (daemon, number)->base);
}

static gboolean
S_on_look_up_again (MrDenialCheckHost *host, const MrQueuedRequest *request)
{
  const MrRelayTask *task = RELAY_TASK_OF (host, denial_check_host);
  const MrRoute *route = NULL;
  return mr_relay_task_ready (task) &&
         S_check_access (task, request->request, &route).kind != MR_ACCESS_UNKNOWN_KEY;
}

static void
S_log_denial_check (const MrRelayTask *task, const MrDenialOutcome *outcome)
{
  MrLogLine *line = mr_log_begin (MR_LOG_INFO, MR_EVENT_DENIAL_CHECK);
  mr_log_text (
      line, "request",
      mr_http_parser_find_field (outcome->request.request, task->dialect->request_id, NULL));
  mr_log_text (line, "result", mr_text (mr_denial_result_name (outcome->result)));
  mr_log_number (line, "waited_us", outcome->waited);
  mr_log_number (line, "queries", outcome->queries);
  mr_log_end (line);
}

static void
S_on_denial_check_ended (MrDenialCheckHost *host, const MrDenialOutcome *outcome)
{
  MrRelayTask *task = RELAY_TASK_OF (host, denial_check_host);
  const MrQueuedRequest *request = &outcome->request;
  gboolean admitted = outcome->result == MR_DENIAL_ADMITTED;
  gboolean denied = mr_denial_is_final (outcome->result);
  S_log_denial_check (task, outcome);
  mr_metrics_add (admitted ? MR_METRIC_DENIAL_ADMITTED
                  : denied ? MR_METRIC_DENIAL_DENIED
                           : MR_METRIC_DENIAL_UNDECIDED,
                  1);
  if (admitted)
    S_begin_request (task, request->caller, request->request, request->first_byte_at,
                     request->received_at);
  else if (denied)
    S_refuse_denied (task, request, MR_ACCESS_UNKNOWN_KEY);
  else
    S_refuse (task, request->caller, request->request, STATUS_UNAVAILABLE,
              mr_denial_result_name (outcome->result));
}

static void
S_on_request (MrCallerServerHost *host, MrCaller *caller, const MrHttpParser *in, MrTime began)
{
  MrRelayTask *task = RELAY_TASK_OF (host, caller_host);
  MrTime now = mr_now ();
  if (mr_relay_stop_has_begun (task))
    task->stop.read_requests++;
  MrQueuedRequest queued = {
    .caller = caller, .request = in, .first_byte_at = began, .received_at = now
  };
  /* Without a configuration an unknown route cannot be distinguished from a known one. */
  if (mr_relay_task_ready (task))
    S_begin_request (task, caller, in, began, 0);
  else if (mr_startup_queue_push (task->early_requests, now, &queued))
    task->early_request_count++;
  else
    S_refuse_not_ready (task, caller, in);
}

void
mr_relay_request_flush_early (MrRelayTask *task, MrTime now, MrTime *next)
{
  gboolean ready = mr_relay_task_ready (task);
  guint count = mr_startup_queue_length (task->early_requests);
  MrQueuedRequest queued;
  if (count == 0)
    return;
  if (!ready && now < mr_startup_queue_deadline (task->early_requests))
    {
      *next = MIN (*next, mr_startup_queue_deadline (task->early_requests));
      return;
    }
  mr_log (MR_LOG_NOTICE, MR_EVENT_EARLY_REQUESTS,
          "%u requests that arrived before this daemon was ready were %s", count,
          ready ? "started" : "refused: neither the store nor a peer has answered");
  while (mr_startup_queue_pop (task->early_requests, &queued))
    if (ready)
      S_begin_request (task, queued.caller, queued.request, queued.first_byte_at,
                       queued.received_at);
    else
      S_refuse_not_ready (task, queued.caller, queued.request);
}

static void
S_on_disconnected (MrCallerServerHost *host, MrCaller *caller)
{
  MrRelayTask *task = RELAY_TASK_OF (host, caller_host);
  Request *request = mr_caller_user (caller);
  if (mr_startup_queue_remove (task->early_requests, caller) ||
      mr_denial_check_remove (task->denial_check, caller) || !request ||
      (!request->active && !request->awaits_limit))
    return;
  MrTime now = mr_now ();
  MrLogLine *line = mr_log_begin (MR_LOG_INFO, MR_EVENT_CALLER_DISCONNECTED);
  mr_log_text (line, "request", mr_text (request->id));
  mr_log_text (line, "route", mr_text (request->route->name));
  mr_log_number (line, "after_us", now - request->began);
  mr_log_end (line);
  if (request->awaits_limit)
    mr_limits_cancel (task->limits, request);
  else
    mr_relay_abandon_request (task->relay, now, request->active);
  S_request_free (request);
}

static void
S_refuse_waiting (MrCaller *caller, const MrHttpParser *in, gpointer user)
{
  MrRelayTask *task = user;
  Request *request = mr_caller_user (caller);
  if (request && !request->awaits_limit)
    return; /* gets the relay's verdict */
  mr_startup_queue_remove (task->early_requests, caller);
  mr_denial_check_remove (task->denial_check, caller);
  if (request)
    {
      mr_limits_cancel (task->limits, request);
      S_request_free (request);
    }
  S_refuse (task, caller, in, STATUS_UNAVAILABLE, mr_cause_name (MR_CAUSE_STOPPING));
}

void
mr_relay_request_refuse_waiting (MrRelayTask *task)
{
  mr_caller_server_foreach_open (task->caller_server, S_refuse_waiting, task);
}

static void
S_log_unanswered (MrCaller *caller, const MrHttpParser *in, gpointer user)
{
  const MrRelayTask *task = user;
  const Request *request = mr_caller_user (caller);
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_REQUEST_UNANSWERED);
  mr_log_text (line, "request", mr_http_parser_find_field (in, task->dialect->request_id, NULL));
  mr_log_number (line, "age_us", request ? mr_now () - request->began : 0);
  mr_log_number (line, "sends",
                 request && request->active ? mr_active_request_sends (request->active) : 0);
  mr_log_end (line);
}

void
mr_relay_request_log_unanswered (MrRelayTask *task)
{
  mr_caller_server_foreach_open (task->caller_server, S_log_unanswered, task);
}

void
mr_relay_request_init (MrRelayTask *task)
{
  task->caller_host =
      (MrCallerServerHost){ .request = S_on_request, .disconnected = S_on_disconnected };
  task->client_host = (MrTargetClientHost){ .call_ended = S_on_call_ended, .probed = S_on_probed };
  mr_relay_limits_init (task, S_on_limit_decided);
  task->denial_check_host = (MrDenialCheckHost){
    .query = S_on_version_query,
    .look_up_again = S_on_look_up_again,
    .ended = S_on_denial_check_ended,
  };
  task->relay_host = (MrRelayHost){
    .send_call = S_on_send_call,
    .close_call = S_on_close_call,
    .withdraw_call = S_on_withdraw_call,
    .probe = S_on_probe,
    .reconnect = S_on_reconnect,
    .request_done = S_on_request_done,
    .free_answer = S_free_answer,
    .publish_evidence = S_on_publish_evidence,
    .may_try_content = S_may_try_content,
  };
}
