#include "entry_context.h"

#include "metrics.h"
#include "task_message.h"

void
mr_json_append_string (GString *out, MrText text)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char) text.data[i];
      if (c == '"' || c == '\\')
        g_string_append_printf (out, "\\%c", c);
      else if (c < 0x20)
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char) c);
    }
  g_string_append_c (out, '"');
}

void
mr_entry_refuse (MrEntryContext *context,
                 guint64 http_id,
                 MrResult result,
                 gint64 retry_after_ms,
                 const char *message)
{
  GString *body = g_string_new (NULL);
  g_string_append_printf (body, "{\"result\":%d,\"name\":\"%s\",\"ran\":\"%s\"", (int) result,
                          mr_result_name (result), mr_ran_name (mr_result_ran (result)));
  if (retry_after_ms > 0)
    g_string_append_printf (body, ",\"retry_after_ms\":%" G_GINT64_FORMAT, retry_after_ms);
  g_string_append (body, ",\"message\":");
  mr_json_append_string (body, mr_text (message));
  g_string_append (body, "}\n");
  MrHttpReply reply = {
    .status = mr_result_http_status (result),
    .retry_after_seconds = (guint) ((retry_after_ms + 999) / 1000),
    .body = mr_text_of (body),
  };
  mr_http_server_reply (context->server, http_id, &reply);
  g_string_free (body, TRUE);
  if (result >= MR_RESULT_BAD_REQUEST)
    mr_metrics_add (MR_METRIC_BAD_REQUESTS, 1);
  else if (mr_result_ran (result) == MR_RAN_NO)
    mr_metrics_add (MR_METRIC_REFUSED, 1);
}

gboolean
mr_entry_is_cut_short (const MrEntryContext *context, MrTime now)
{
  /* Targets' calls and queries end some time before the requests that need them. */
  const MrTime margin = 100 * MR_MS;
  return now >= context->stop_at - margin;
}

void
mr_entry_refuse_leaving (MrEntryContext *context, guint64 http_id)
{
  mr_metrics_add (MR_METRIC_STOP_REFUSED, 1);
  mr_entry_refuse (context, http_id, MR_RESULT_LEAVING, 1,
                   "this daemon is stopping; ask another address");
}

void
mr_entry_submit_batch (MrEntryContext *context, MrBatch *batch)
{
  MrOrigin origin = { .incarnation = context->incarnation, .batch_id = batch->id };
  mr_mailbox_post (context->target_mailbox, &mr_submit_message_new (batch, &origin)->base);
}

void
mr_entry_send_to_member (MrEntryContext *context, const char *name, GString *bytes)
{
  mr_mailbox_post (context->control_mailbox, &mr_peer_send_message_new (name, bytes)->base);
}
