#include "relay_task_private.h"

#include "log.h"

enum
{
  NOTES_LOGGED = 24, /* calls in one line */
};

static void
S_append_note (GString *out, const MrSendRecord *note)
{
  g_string_append_printf (
      out,
      "%s{\"part\":%u,\"target\":\"%s\",\"why\":\"%s\",\"at_us\":%" G_GINT64_FORMAT
      ",\"heard_us\":%" G_GINT64_FORMAT ",\"end\":\"%s\",\"took_us\":%" G_GINT64_FORMAT "}",
      out->len > 1 ? "," : "", note->part_index, note->target, mr_send_reason_name (note->reason),
      note->sent_after, note->last_response_age,
      note->finished ? mr_call_outcome_name (note->outcome) : "open", note->duration);
}

/* Calls that explain the outcome: hedges, retries, and calls without an answer. */
static GString *
S_notes (const GArray *sends)
{
  GString *out = g_string_new ("[");
  guint listed = 0;
  for (guint i = 0; i < sends->len && listed < NOTES_LOGGED; i++)
    {
      const MrSendRecord *note = &g_array_index (sends, MrSendRecord, i);
      gboolean plain = note->finished && note->outcome == MR_CALL_ANSWER &&
                       note->reason == MR_SEND_FIRST && sends->len > 1;
      if (plain)
        continue;
      S_append_note (out, note);
      listed++;
    }
  return g_string_append_c (out, ']');
}

static gboolean
S_is_plain (const MrRelayResult *result)
{
  return result->verdict <= MR_VERDICT_MERGE && result->missing_parts == 0 &&
         result->sends->len == result->part_count;
}

void
mr_relay_log_result (MrRelayTask *task, const MrRequestLogInfo *about, const MrRelayResult *result)
{
  static const MrEvent events[] = {
    [MR_VERDICT_ANSWER] = MR_EVENT_REQUEST_SERVED,   [MR_VERDICT_MERGE] = MR_EVENT_REQUEST_SERVED,
    [MR_VERDICT_REFUSED] = MR_EVENT_REQUEST_REFUSED, [MR_VERDICT_FAILED] = MR_EVENT_REQUEST_FAILED,
    [MR_VERDICT_TIMEOUT] = MR_EVENT_REQUEST_TIMEOUT,
  };
  if (S_is_plain (result) && task->success_count++ % MR_SUCCESS_LOG_INTERVAL != 0)
    return;
  gboolean served = result->verdict <= MR_VERDICT_MERGE;
  MrEvent event =
      served && result->missing_parts > 0 ? MR_EVENT_REQUEST_PARTIAL : events[result->verdict];
  MrLogLine *line = mr_log_begin (served ? MR_LOG_INFO : MR_LOG_NOTICE, event);
  if (!line)
    return;
  g_autoptr (GString) notes = S_notes (result->sends);
  char content[MR_FINGERPRINT_DIGITS + 1];
  mr_fingerprint_write (about->fingerprint, content);
  mr_log_text (line, "request", mr_text (about->id));
  mr_log_text (line, "content", mr_text (content));
  mr_log_text (line, "route", mr_text (about->route->name));
  mr_log_number (line, "version", (gint64) about->version);
  mr_log_text (line, "verdict", mr_text (mr_verdict_name (result->verdict)));
  mr_log_text (line, "cause", mr_text (mr_cause_name (result->cause)));
  mr_log_number (line, "status", about->status);
  mr_log_number (line, "took_us", about->took);
  mr_log_number (line, "aim_us", about->route->latency_goal);
  mr_log_number (line, "left_us", about->time_left);
  mr_log_number (line, "parts", result->part_count);
  mr_log_number (line, "missing", result->missing_parts);
  mr_log_number (line, "sends", result->sends->len);
  if (result->verdict == MR_VERDICT_REFUSED)
    {
      mr_log_number (line, "expected_wait_us", result->expected_wait);
      mr_log_number (line, "retry_after_us", result->retry_after);
    }
  mr_log_json (line, "calls", mr_text_of (notes));
  mr_log_end (line);
}
