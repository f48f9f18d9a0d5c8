#include "relay_task_private.h"

#include "log.h"

enum
{
  CALLS_LOGGED_MAX = 24,
};

static void
S_append_call (GString *out, const MrSendRecord *send)
{
  g_string_append_printf (
      out,
      "%s{\"part\":%u,\"target\":\"%s\",\"why\":\"%s\",\"at_us\":%" G_GINT64_FORMAT
      ",\"heard_us\":%" G_GINT64_FORMAT ",\"end\":\"%s\",\"took_us\":%" G_GINT64_FORMAT "}",
      out->len > 1 ? "," : "", send->part_index, send->target, mr_send_reason_name (send->reason),
      send->sent_after, send->last_response_age,
      send->finished ? mr_call_outcome_name (send->outcome) : "open", send->duration);
}

/* Lists the calls that explain the result: hedges, retries, and calls without an answer. */
static GString *
S_format_calls (const GArray *sends)
{
  GString *out = g_string_new ("[");
  guint listed = 0;
  for (guint i = 0; i < sends->len && listed < CALLS_LOGGED_MAX; i++)
    {
      const MrSendRecord *send = &g_array_index (sends, MrSendRecord, i);
      gboolean plain = send->finished && send->outcome == MR_CALL_ANSWER &&
                       send->reason == MR_SEND_FIRST && sends->len > 1;
      if (plain)
        continue;
      S_append_call (out, send);
      listed++;
    }
  return g_string_append_c (out, ']');
}

static gboolean
S_is_routine (const MrRelayResult *result)
{
  return result->verdict <= MR_VERDICT_MERGE && result->missing_parts == 0 &&
         result->sends->len == result->part_count;
}

void
mr_relay_log_result (MrRelayTask *task, const MrRequestLogInfo *info, const MrRelayResult *result)
{
  static const MrEvent events[] = {
    [MR_VERDICT_ANSWER] = MR_EVENT_REQUEST_SERVED,   [MR_VERDICT_MERGE] = MR_EVENT_REQUEST_SERVED,
    [MR_VERDICT_REFUSED] = MR_EVENT_REQUEST_REFUSED, [MR_VERDICT_FAILED] = MR_EVENT_REQUEST_FAILED,
    [MR_VERDICT_TIMEOUT] = MR_EVENT_REQUEST_TIMEOUT,
  };
  if (S_is_routine (result) && task->success_count++ % MR_SUCCESS_LOG_INTERVAL != 0)
    return;
  gboolean served = result->verdict <= MR_VERDICT_MERGE;
  MrEvent event =
      served && result->missing_parts > 0 ? MR_EVENT_REQUEST_PARTIAL : events[result->verdict];
  MrLogLine *line = mr_log_begin (served ? MR_LOG_INFO : MR_LOG_NOTICE, event);
  if (!line)
    return;
  g_autoptr (GString) calls = S_format_calls (result->sends);
  char content[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (info->fingerprint, content);
  mr_log_text (line, "request", mr_text (info->id));
  mr_log_text (line, "content", mr_text (content));
  mr_log_text (line, "route", mr_text (info->route->name));
  if (info->organisation)
    mr_log_text (line, "organisation", mr_text (info->organisation));
  mr_log_number (line, "version", (gint64) info->version);
  mr_log_text (line, "verdict", mr_text (mr_verdict_name (result->verdict)));
  mr_log_text (line, "cause", mr_text (mr_cause_name (result->cause)));
  mr_log_number (line, "status", info->status);
  mr_log_number (line, "took_us", info->took);
  mr_log_number (line, "aim_us", info->route->latency_goal);
  mr_log_number (line, "left_us", info->time_left);
  mr_log_number (line, "parts", result->part_count);
  mr_log_number (line, "missing", result->missing_parts);
  mr_log_number (line, "sends", result->sends->len);
  if (result->verdict == MR_VERDICT_REFUSED)
    {
      if (result->cause == MR_CAUSE_OVERLOAD && info->organisation)
        mr_log_number (line, "over_share", result->over_share ? 1 : 0);
      mr_log_number (line, "expected_wait_us", result->expected_wait);
      mr_log_number (line, "retry_after_us", result->retry_after);
    }
  mr_log_json (line, "calls", mr_text_of (calls));
  mr_log_end (line);
}
