#include "task_message.h"

/* Allocates a zeroed message struct of @size bytes and sets its type and free function. */
static gpointer
S_message_new (gsize size, MrMessageType type, void (*free_message) (MrMessage *message))
{
  MrMessage *message = g_malloc0 (size);
  message->type = (int) type;
  message->free = free_message;
  return message;
}

static void
S_free_string (GString *string)
{
  if (string)
    g_string_free (string, TRUE);
}

static void
S_free_struct (MrMessage *message)
{
  g_free (message);
}

static void
S_free_view (MrMessage *message)
{
  mr_view_unref (((MrViewMessage *) message)->view);
  g_free (message);
}

MrViewMessage *
mr_view_message_new (MrView *view)
{
  MrViewMessage *message = S_message_new (sizeof *message, MR_MESSAGE_VIEW, S_free_view);
  message->view = mr_view_ref (view);
  return message;
}

static void
S_free_changes (MrMessage *message)
{
  MrChangesMessage *changes = (MrChangesMessage *) message;
  g_ptr_array_unref (changes->targets);
  g_array_unref (changes->members);
  g_free (message);
}

MrChangesMessage *
mr_changes_message_new (GPtrArray *targets, GArray *members)
{
  MrChangesMessage *message = S_message_new (sizeof *message, MR_MESSAGE_CHANGES, S_free_changes);
  message->targets = targets ? targets : g_ptr_array_new ();
  message->members = members ? members : g_array_new (FALSE, FALSE, sizeof (MrMember));
  return message;
}

static void
S_free_submit (MrMessage *message)
{
  mr_batch_free (((MrSubmitMessage *) message)->batch);
  g_free (message);
}

MrSubmitMessage *
mr_submit_message_new (MrBatch *batch, const MrOrigin *origin)
{
  MrSubmitMessage *message = S_message_new (sizeof *message, MR_MESSAGE_SUBMIT, S_free_submit);
  message->batch = batch;
  message->origin = *origin;
  return message;
}

MrCancelBatchMessage *
mr_cancel_batch_message_new (const MrOrigin *origin)
{
  MrCancelBatchMessage *message =
      S_message_new (sizeof *message, MR_MESSAGE_CANCEL_BATCH, S_free_struct);
  message->origin = *origin;
  return message;
}

static void
S_free_partial (MrMessage *message)
{
  mr_partial_free (((MrPartialMessage *) message)->partial);
  g_free (message);
}

MrPartialMessage *
mr_partial_message_new (MrPartial *partial, const char *from)
{
  MrPartialMessage *message = S_message_new (sizeof *message, MR_MESSAGE_PARTIAL, S_free_partial);
  message->partial = partial;
  g_strlcpy (message->from, from, sizeof message->from);
  return message;
}

static void
S_free_send (MrMessage *message)
{
  S_free_string (((MrPeerSendMessage *) message)->bytes);
  g_free (message);
}

MrPeerSendMessage *
mr_peer_send_message_new (const char *to, GString *bytes)
{
  MrPeerSendMessage *message = S_message_new (sizeof *message, MR_MESSAGE_PEER_SEND, S_free_send);
  g_strlcpy (message->to, to, sizeof message->to);
  message->bytes = bytes;
  return message;
}

static void
S_free_order (MrMessage *message)
{
  MrOrderMessage *order = (MrOrderMessage *) message;
  g_free (order->ticket);
  S_free_string (order->body);
  g_free (order);
}

MrOrderMessage *
mr_order_message_new (void)
{
  return S_message_new (sizeof (MrOrderMessage), MR_MESSAGE_ORDER, S_free_order);
}

static void
S_free_order_result (MrMessage *message)
{
  S_free_string (((MrOrderResultMessage *) message)->body);
  g_free (message);
}

MrOrderResultMessage *
mr_order_result_message_new (void)
{
  return S_message_new (sizeof (MrOrderResultMessage), MR_MESSAGE_ORDER_RESULT,
                        S_free_order_result);
}

MrLocalStateMessage *
mr_local_state_message_new (MrMemberState state, gboolean busy)
{
  MrLocalStateMessage *message =
      S_message_new (sizeof *message, MR_MESSAGE_LOCAL_STATE, S_free_struct);
  message->state = state;
  message->busy = busy;
  return message;
}

static void
S_free_platform_request (MrMessage *message)
{
  MrPlatformRequest *request = (MrPlatformRequest *) message;
  S_free_string (request->after_name);
  S_free_string (request->body);
  g_free (request);
}

MrPlatformRequest *
mr_platform_request_new (MrPlatformAction action, const char *kind, const char *name)
{
  MrPlatformRequest *request =
      S_message_new (sizeof *request, MR_MESSAGE_PLATFORM_REQUEST, S_free_platform_request);
  request->action = action;
  g_strlcpy (request->kind, kind, sizeof request->kind);
  g_strlcpy (request->name, name, sizeof request->name);
  return request;
}

static void
S_free_platform_object (gpointer data)
{
  MrPlatformObject *object = data;
  S_free_string (object->body);
  g_free (object);
}

static void
S_free_platform_result (MrMessage *message)
{
  MrPlatformResult *result = (MrPlatformResult *) message;
  mr_message_free (&result->request->base);
  S_free_string (result->last_name);
  g_ptr_array_unref (result->objects);
  g_array_unref (result->vms);
  g_free (result);
}

MrPlatformResult *
mr_platform_result_new (MrPlatformRequest *request, int status)
{
  MrPlatformResult *result =
      S_message_new (sizeof *result, MR_MESSAGE_PLATFORM_RESULT, S_free_platform_result);
  result->request = request;
  result->status = status;
  result->objects = g_ptr_array_new_with_free_func (S_free_platform_object);
  result->vms = g_array_new (FALSE, FALSE, sizeof (MrPlatformVm));
  return result;
}

void
mr_platform_result_add (
    MrPlatformResult *result, MrText name, guint64 version, gboolean deleted, MrText body)
{
  MrPlatformObject *object = g_new0 (MrPlatformObject, 1);
  g_snprintf (object->name, sizeof object->name, "%.*s", (int) name.len, name.data);
  object->version = version;
  object->deleted = deleted;
  object->body = g_string_new_len (body.data, (gssize) body.len);
  g_ptr_array_add (result->objects, object);
}

static void
S_free_report (MrMessage *message)
{
  S_free_string (((MrReportMessage *) message)->text);
  g_free (message);
}

MrReportMessage *
mr_report_message_new (guint64 request_id, GString *text)
{
  MrReportMessage *message = S_message_new (sizeof *message, MR_MESSAGE_REPORT, S_free_report);
  message->request_id = request_id;
  message->text = text;
  return message;
}

MrEvidenceMessage *
mr_evidence_message_new (MrFingerprint fingerprint, const MrEvidence *evidence)
{
  MrEvidenceMessage *message = S_message_new (sizeof *message, MR_MESSAGE_EVIDENCE, S_free_struct);
  message->fingerprint = fingerprint;
  message->forget = !evidence;
  if (evidence)
    message->evidence = *evidence;
  return message;
}

MrLimitTaskMessage *
mr_limit_task_message_new (const char *peer, const MrLimitMessage *limit)
{
  MrLimitTaskMessage *message = S_message_new (sizeof *message, MR_MESSAGE_LIMIT, S_free_struct);
  g_strlcpy (message->peer, peer, sizeof message->peer);
  message->limit = *limit;
  return message;
}

MrMessage *
mr_stop_message_new (void)
{
  return S_message_new (sizeof (MrMessage), MR_MESSAGE_STOP, S_free_struct);
}

MrStopTimeMessage *
mr_stop_time_message_new (MrTime at, gboolean refuse_batches)
{
  MrStopTimeMessage *message = S_message_new (sizeof *message, MR_MESSAGE_STOP_TIME, S_free_struct);
  message->at = at;
  message->refuse_batches = refuse_batches;
  return message;
}

MrVersionQueryMessage *
mr_version_query_message_new (const char *to, guint64 number)
{
  MrVersionQueryMessage *message =
      S_message_new (sizeof *message, MR_MESSAGE_VERSION_QUERY, S_free_struct);
  g_strlcpy (message->to, to, sizeof message->to);
  message->number = number;
  return message;
}

MrVersionReplyMessage *
mr_version_reply_message_new (guint64 number, guint64 version)
{
  MrVersionReplyMessage *message =
      S_message_new (sizeof *message, MR_MESSAGE_VERSION_REPLY, S_free_struct);
  message->number = number;
  message->version = version;
  return message;
}
