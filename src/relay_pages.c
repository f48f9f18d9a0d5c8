#include "relay_task_private.h"

#include "log.h"
#include "metrics.h"
#include "traffic.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
};

static const char json_content_type[] = "Content-Type: application/json\r\n";
static const char text_type[] = "Content-Type: text/plain; version=0.0.4\r\n";

static void
S_on_ready (MrCallerServerHost *host, MrCaller *caller, const MrHttpParser *in, MrTime began)
{
  const MrRelayTask *task = ((PageHost *) host)->task;
  (void) began;
  gboolean recognized = task->dialect->is_readiness_check (mr_http_parser_target (in));
  gboolean ready = mr_relay_task_ready (task) && !mr_relay_stop_has_begun (task);
  int status = !recognized ? STATUS_NOT_FOUND : ready ? STATUS_OK : STATUS_UNAVAILABLE;
  mr_caller_answer (caller, status, (MrText){ 0 }, (MrText){ 0 });
}

/* A host whose routes have home regions is served by daemons in these regions or in the
 * caller's. */
static GPtrArray *
S_entries_for (const MrRelayTask *task, const MrAddressRequest *request)
{
  const MrView *view = task->view;
  if (!view || !task->entry_plan.entries)
    return g_ptr_array_new ();
  g_autoptr (GHashTable) regions =
      view->configuration ? mr_configuration_home_regions (view->configuration, request->host)
                          : NULL;
  if (!regions)
    return g_ptr_array_ref (task->entry_plan.entries);
  g_autofree char *region = mr_text_dup (request->region);
  g_hash_table_add (regions, region);
  return mr_entry_plan_for_regions (&task->entry_plan, task->roster, regions);
}

static void
S_on_address_query (MrCallerServerHost *host,
                    MrCaller *caller,
                    const MrHttpParser *in,
                    MrTime began)
{
  MrRelayTask *task = ((PageHost *) host)->task;
  MrAddressRequest request = { 0 };
  (void) began;
  if (!task->dialect->parse_address_request (mr_http_parser_target (in), &request))
    {
      mr_caller_answer (caller, STATUS_NOT_FOUND, (MrText){ 0 }, (MrText){ 0 });
      return;
    }
  g_autoptr (GPtrArray) entries = S_entries_for (task, &request);
  g_autoptr (GPtrArray) addresses = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < entries->len; i++)
    {
      const MrMember *member = g_ptr_array_index (entries, i);
      g_ptr_array_add (addresses, g_strdup_printf ("%s:%d", member->ip, member->http_port));
    }
  if (addresses->len == 0)
    {
      mr_caller_answer (caller, STATUS_UNAVAILABLE, (MrText){ 0 }, (MrText){ 0 });
      return;
    }
  const MrRelaySettings *settings = task->settings;
  MrTime ttl = mr_entry_address_ttl ((guint) settings->tolerated_domain_losses,
                                     settings->address_ttl_max_ms * MR_MS);
  g_autoptr (GString) body = task->dialect->format_addresses (addresses, ttl);
  mr_caller_answer (caller, STATUS_OK, mr_text (json_content_type), mr_text_of (body));
}

static void
S_append_metric (GString *out, const char *name, const char *kind, guint64 value)
{
  g_string_append_printf (out, "# TYPE merlinring_%s %s\nmerlinring_%s %" G_GUINT64_FORMAT "\n",
                          name, kind, name, value);
}

static void
S_append_relay_metrics (GString *out, const MrRelayTask *task)
{
  const MrRelayCounts *counts = mr_relay_counts (task->relay);
  MrTargetClientCounts client = mr_target_client_counts (task->client);
  const struct
  {
    const char *name;
    guint64 value;
  } counters[] = {
    { "relay_requests_total", counts->requests },
    { "relay_calls_total", counts->calls },
    { "relay_hedges_total", counts->hedges },
    { "relay_retries_total", counts->retries },
    { "relay_over_budget_total", counts->over_budget },
    { "relay_left_out_total", counts->left_out },
    { "relay_over_share_total", counts->over_share },
    { "relay_partial_total", counts->partial },
    { "relay_refused_total", counts->refused },
    { "relay_failed_total", counts->failed },
    { "relay_timeouts_total", counts->timeouts },
    { "relay_silent_total", counts->silent },
    { "relay_targets_ended_total", counts->targets_crashed },
    { "relay_ends_excused_total", counts->crashes_excused },
    { "relay_staged_total", counts->staged },
    { "relay_trials_total", counts->trials },
    { "relay_withdrawn_total", counts->withdrawn },
    { "relay_quarantined_total", counts->quarantined },
    { "relay_early_requests_total", task->early_request_count },
    { "relay_connections_total", client.connections },
    { "relay_reused_total", client.reused },
    { "relay_skipped_answers_total", client.unmatched_responses },
    { "relay_stray_bytes_total", client.stray_byte_closes },
    { "relay_ambiguous_closes_total", client.ambiguous_closes },
    { "relay_probes_repeated_total", client.repeated_probes },
    { "relay_oversized_answers_total", client.oversized_responses },
    { "relay_malformed_answers_total", client.malformed_responses },
    { "relay_evicted_answers_total", client.evicted_responses },
    { "relay_malformed_requests_total", mr_caller_server_malformed_requests (task->caller_server) },
    { "relay_stop_read_total", task->stop.read_requests },
    { "relay_stop_refused_total", counts->stop_refused },
    { "relay_stop_failed_total", counts->stop_failed },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (counters); i++)
    S_append_metric (out, counters[i].name, "counter", counters[i].value);
  S_append_metric (out, "relay_open_requests", "gauge", mr_relay_request_count (task->relay));
  S_append_metric (out, "relay_usable_targets", "gauge",
                   mr_relay_usable_target_count (task->relay));
  S_append_metric (out, "relay_finish_reserve_us", "gauge",
                   (guint64) mr_relay_response_overhead (task->relay));
  S_append_metric (out, "evacuated_domains", "gauge",
                   task->view ? g_hash_table_size (task->view->evacuated_domains) : 0);
  S_append_metric (out, "relay_caller_connections", "gauge",
                   mr_caller_server_connections (task->caller_server));
  for (guint i = 1; i < G_N_ELEMENTS (task->status_class_counts); i++)
    g_string_append_printf (
        out, "merlinring_relay_answers_total{status=\"%uxx\"} %" G_GUINT64_FORMAT "\n", i,
        task->status_class_counts[i]);
  mr_metrics_write_histogram (out, "relay_latency", "result=\"success\"", &task->success_latency);
}

/* Contents that crashed targets. */

static const char quarantine_path[] = "/v1/quarantine";

static void
S_append_content (MrFingerprint fingerprint, const MrEvidence *evidence, void *user)
{
  GString *list = user;
  char content[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (fingerprint, content);
  g_autofree char *json = mr_evidence_write (evidence, mr_unix_time ());
  g_string_append_printf (list, "%s{\"content\":\"%s\",\"evidence\":%s}",
                          list->str[list->len - 1] == '[' ? "" : ",", content, json);
}

static void
S_answer_list (const MrRelayTask *task, MrCaller *caller)
{
  g_autoptr (GString) list = g_string_new ("{\"contents\":[");
  mr_relay_foreach_suspect_content (task->relay, S_append_content, list);
  g_string_append (list, "]}\n");
  mr_caller_answer (caller, STATUS_OK, mr_text (json_content_type), mr_text_of (list));
}

static void
S_answer_lift (const MrRelayTask *task, MrCaller *caller, MrText content)
{
  MrFingerprint fingerprint = { 0 };
  int status = STATUS_NOT_FOUND;
  if (!mr_fingerprint_read (content, &fingerprint))
    status = STATUS_BAD_REQUEST;
  else if (mr_relay_lift_quarantine (task->relay, mr_now (), fingerprint))
    status = STATUS_OK;
  if (status == STATUS_OK)
    mr_log (MR_LOG_NOTICE, MR_EVENT_QUARANTINE_LIFTED,
            "content %.*s: quarantine lifted by an operator", (int) content.len, content.data);
  MrText body = status == STATUS_OK ? MR_TEXT ("{\"lifted\":true}\n")
                : status == STATUS_NOT_FOUND
                    ? MR_TEXT ("{\"error\":\"nothing is known against it\"}\n")
                    : MR_TEXT ("{\"error\":\"not a fingerprint\"}\n");
  mr_caller_answer (caller, status, mr_text (json_content_type), body);
}

/* GET lists the contents; DELETE with a fingerprint after the path lifts the quarantine of one. */
static void
S_answer_quarantine (const MrRelayTask *task, MrCaller *caller, const MrHttpParser *in)
{
  MrText rest = mr_http_parser_target (in);
  rest.data += strlen (quarantine_path);
  rest.len -= strlen (quarantine_path);
  if (rest.len == 0 && mr_text_equal (mr_http_parser_method (in), MR_TEXT ("GET")))
    S_answer_list (task, caller);
  else if (rest.len > 1 && mr_text_equal (mr_http_parser_method (in), MR_TEXT ("DELETE")))
    S_answer_lift (task, caller, (MrText){ .data = rest.data + 1, .len = rest.len - 1 });
  else
    mr_caller_answer (caller, STATUS_BAD_REQUEST, (MrText){ 0 }, (MrText){ 0 });
}

static void
S_count_standing (MrFingerprint fingerprint, const MrEvidence *evidence, void *user)
{
  guint *counts = user;
  (void) fingerprint;
  counts[mr_evidence_standing (evidence, mr_unix_time ())]++;
}

static void
S_append_standing_metrics (GString *out, const MrRelayTask *task)
{
  guint counts[MR_STANDING_QUARANTINED + 1] = { 0 };
  mr_relay_foreach_suspect_content (task->relay, S_count_standing, counts);
  S_append_metric (out, "relay_suspect_contents", "gauge", counts[MR_STANDING_SUSPECT]);
  S_append_metric (out, "relay_quarantined_contents", "gauge", counts[MR_STANDING_QUARANTINED]);
}

static gboolean
S_is_quarantine_path (MrText target)
{
  gsize len = strlen (quarantine_path);
  return target.len >= len && memcmp (target.data, quarantine_path, len) == 0;
}

static void
S_on_metrics (MrCallerServerHost *host, MrCaller *caller, const MrHttpParser *in, MrTime began)
{
  const MrRelayTask *task = ((PageHost *) host)->task;
  (void) began;
  if (S_is_quarantine_path (mr_http_parser_target (in)))
    {
      S_answer_quarantine (task, caller, in);
      return;
    }
  if (mr_text_equal (mr_http_parser_target (in), MR_TEXT ("/v1/organisations")))
    {
      mr_relay_limits_answer_page (task, caller);
      return;
    }
  g_autoptr (GString) body = g_string_new (NULL);
  mr_metrics_write (body);
  mr_traffic_write_metrics (body);
  S_append_relay_metrics (body, task);
  S_append_standing_metrics (body, task);
  mr_relay_limits_write_metrics (body, task);
  mr_caller_answer (caller, STATUS_OK, mr_text (text_type), mr_text_of (body));
}

static void
S_on_disconnected (MrCallerServerHost *host, MrCaller *caller)
{
  (void) host;
  (void) caller; /* every request is answered at once, so there is no state to free */
}

void
mr_relay_pages_init (MrRelayTask *task)
{
  task->ready_pages = (PageHost){ { S_on_ready, S_on_disconnected }, task };
  task->directory_pages = (PageHost){ { S_on_address_query, S_on_disconnected }, task };
  task->metrics_pages = (PageHost){ { S_on_metrics, S_on_disconnected }, task };
}
