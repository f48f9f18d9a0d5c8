#include "control_private.h"

#include "log.h"
#include "metrics.h"
#include "traffic.h"
#include "wire.h"

enum
{
  RECEIVE_BURST = 256, /* messages read per iteration of the event loop */
};

static MrShardMap *
S_find_map (MrControlTask *task, const char *service, guint64 generation)
{
  for (GList *link = mr_control_shard_maps (task, service)->head; link; link = link->next)
    if (((MrShardMap *) link->data)->generation == generation)
      return link->data;
  return NULL;
}

static void
S_refuse_batch (MrControlTask *task, const MrWireMessage *message)
{
  MrPartial *partial = mr_partial_new (message->batch.id, MR_PARTIAL_NO_MAP);
  mr_control_send (
      task, message->sender,
      mr_wire_partial (task->settings->name, message->batch.root_incarnation, partial));
  mr_partial_free (partial);
}

static void
S_on_batch (MrControlTask *task, const MrWireMessage *message)
{
  const MrWireBatch *wire = &message->batch;
  MrShardMap *map = S_find_map (task, wire->service, wire->generation);
  gboolean fits = map != NULL;
  for (guint i = 0; fits && i < wire->shard_count; i++)
    fits = wire->shards[i] < map->shard_count;
  if (!fits)
    {
      S_refuse_batch (task, message);
      return;
    }
  MrBatch *batch = mr_batch_new (wire->id, map, wire->shard_count);
  memcpy (batch->shards, wire->shards, wire->shard_count * sizeof *wire->shards);
  batch->traffic_class = wire->traffic_class;
  batch->top_k = wire->top_k;
  batch->policy = wire->policy;
  batch->deadline = mr_now () + wire->remaining_us;
  g_string_append_len (batch->payload, wire->payload.data, (gssize) wire->payload.len);
  MrOrigin origin = { .incarnation = wire->root_incarnation };
  g_strlcpy (origin.root, message->sender, sizeof origin.root);
  mr_metrics_add (MR_METRIC_BATCHES_REMOTE, 1);
  mr_mailbox_post (task->target_mailbox, &mr_submit_message_new (batch, &origin)->base);
}

static void
S_on_partial (MrControlTask *task, MrWireMessage *message)
{
  /* Each process numbers its batches from the start again, so a partial for an earlier process
   * of this daemon must not be matched to one of its current batches. */
  if (message->root_incarnation != task->incarnation)
    {
      mr_metrics_add (MR_METRIC_PEER_STALE, 1);
      return;
    }
  MrPartial *partial = g_steal_pointer (&message->partial);
  mr_mailbox_post (task->entry_mailbox, &mr_partial_message_new (partial, message->sender)->base);
}

static void
S_on_cancel_batch (MrControlTask *task, const MrWireMessage *message)
{
  MrOrigin origin = { .incarnation = message->root_incarnation, .batch_id = message->batch_id };
  g_strlcpy (origin.root, message->sender, sizeof origin.root);
  mr_mailbox_post (task->target_mailbox, &mr_cancel_batch_message_new (&origin)->base);
}

static void
S_on_order (MrControlTask *task, const MrWireMessage *message)
{
  const MrWireOrder *wire = &message->order;
  MrOrderMessage *order = mr_order_message_new ();
  g_strlcpy (order->from, message->sender, sizeof order->from);
  g_strlcpy (order->service, wire->service, sizeof order->service);
  order->incarnation = wire->sender_incarnation;
  order->request_id = wire->request_id;
  order->ticket = g_strdup (wire->ticket);
  order->remaining_ms = wire->remaining_ms;
  order->body = g_string_new_len (wire->body.data, (gssize) wire->body.len);
  mr_mailbox_post (task->entry_mailbox, &order->base);
}

static void
S_on_order_result (MrControlTask *task, const MrWireMessage *message)
{
  const MrWireOrderResult *wire = &message->order_result;
  if (wire->sender_incarnation != task->incarnation)
    return;
  MrOrderResultMessage *result = mr_order_result_message_new ();
  result->request_id = wire->request_id;
  result->result = wire->result;
  result->retry_after_ms = wire->retry_after_ms;
  result->body = g_string_new_len (wire->body.data, (gssize) wire->body.len);
  mr_mailbox_post (task->entry_mailbox, &result->base);
}

/* The limits themselves decide about messages of unknown members and of earlier processes: a daemon
 * may count requests before its heartbeats have arrived everywhere. */
static void
S_on_limit (MrControlTask *task, const MrWireMessage *message)
{
  if (task->relay)
    mr_mailbox_post (task->entry_mailbox,
                     &mr_limit_task_message_new (message->sender, &message->limit)->base);
}

void
mr_control_send_version_query (MrControlTask *task, const MrVersionQueryMessage *query)
{
  MrWireVersionQuery wire = { .number = query->number, .kind = MR_OBJECT_CONFIGURATION };
  g_strlcpy (wire.name, task->configuration_name, sizeof wire.name);
  mr_control_send (task, query->to, mr_wire_version_query (task->settings->name, &wire));
}

static void
S_on_version_query (MrControlTask *task, const MrWireMessage *message)
{
  const MrWireVersionQuery *query = &message->version_query;
  MrWireVersionReply reply = {
    .number = query->number,
    .version = mr_registry_version (task->registry, query->kind, query->name),
  };
  mr_control_send (task, message->sender, mr_wire_version_reply (task->settings->name, &reply));
}

/* A newer version is fetched as if the sender had announced it. */
static void
S_on_version_reply (MrControlTask *task, MrTime now, const MrWireMessage *message)
{
  const MrWireVersionReply *reply = &message->version_reply;
  MrObjectSummary summary = { .kind = MR_OBJECT_CONFIGURATION, .version = reply->version };
  MrWireMessage announcement = {
    .type = MR_WIRE_ANNOUNCE,
    .summary_count = 1,
    .summaries = &summary,
  };
  /* Only a relay that has a configuration asks. */
  if (!task->relay || task->configuration_name[0] == '\0')
    return;
  g_strlcpy (summary.name, task->configuration_name, sizeof summary.name);
  g_strlcpy (announcement.sender, message->sender, sizeof announcement.sender);
  mr_replication_receive (task->replication, now, &announcement);
  mr_mailbox_post (task->entry_mailbox,
                   &mr_version_reply_message_new (reply->number, reply->version)->base);
}

/* A connection that was opened to a process that has exited, or while its VM was off, would
 * delay the answer to the new process by a second. */
static void
S_reconnect_if_restarted (MrControlTask *task, MrTime now, const MrHeartbeat *heartbeat)
{
  const MrMember *from = &heartbeat->from;
  const MrMember *known = mr_membership_find (task->membership, from->name);
  if (heartbeat->kind == MR_HEARTBEAT_PING && (!known || known->incarnation < from->incarnation))
    mr_peer_link_reconnect (task->link, now, from->ip, from->peer_port);
}

static void
S_on_peer_message (MrControlTask *task, MrTime now, MrWireMessage *message)
{
  switch (message->type)
    {
    case MR_WIRE_HEARTBEAT:
    case MR_WIRE_MEMBERS:
      S_reconnect_if_restarted (task, now, &message->heartbeat);
      task->ack_on_connection = message->heartbeat.kind == MR_HEARTBEAT_PING &&
                                message->heartbeat.members_request == MR_MEMBERS_REQUEST_SAMPLE;
      mr_membership_receive (task->membership, now, &message->heartbeat);
      task->ack_on_connection = FALSE;
      mr_replication_receive_digest (task->replication, now, message->sender,
                                     message->heartbeat.registry_digest,
                                     task->relay && message->heartbeat.from.busy);
      break;
    case MR_WIRE_ANNOUNCE:
    case MR_WIRE_GET:
    case MR_WIRE_OBJECTS:
    case MR_WIRE_RANGE_SUMMARIES:
    case MR_WIRE_RANGE_DIGESTS:
      mr_replication_receive (task->replication, now, message);
      break;
    case MR_WIRE_BATCH:
      S_on_batch (task, message);
      break;
    case MR_WIRE_PARTIAL:
      S_on_partial (task, message);
      break;
    case MR_WIRE_CANCEL_BATCH:
      S_on_cancel_batch (task, message);
      break;
    case MR_WIRE_ORDER:
      S_on_order (task, message);
      break;
    case MR_WIRE_ORDER_RESULT:
      S_on_order_result (task, message);
      break;
    case MR_WIRE_LIMIT:
      S_on_limit (task, message);
      break;
    case MR_WIRE_VERSION_QUERY:
      S_on_version_query (task, message);
      break;
    case MR_WIRE_VERSION_REPLY:
      S_on_version_reply (task, now, message);
      break;
    case MR_WIRE_DEFLATED:
      break; /* mr_wire_decode () returns the inflated message */
    }
}

/* A sender that is not known yet counts as a member of another domain. */
static void
S_count_received (MrControlTask *task, const MrWireMessage *message, gsize bytes)
{
  const MrMember *from = mr_membership_find (task->membership, message->sender);
  mr_traffic_add (MR_TRAFFIC_RECEIVED, mr_traffic_kind (message->type),
                  from && g_str_equal (from->domain, task->settings->domain), bytes);
}

void
mr_control_receive (MrControlTask *task)
{
  for (int i = 0; i < RECEIVE_BURST; i++)
    {
      GString *bytes = mr_peer_link_receive (task->link);
      if (!bytes)
        return;
      MrWireMessage message;
      mr_metrics_add (MR_METRIC_PEER_RECEIVED_BYTES, bytes->len);
      if (mr_wire_decode (mr_text_of (bytes), &message) == MR_OK)
        {
          S_count_received (task, &message, bytes->len);
          S_on_peer_message (task, mr_now (), &message);
          mr_wire_message_clear (&message);
        }
      else
        {
          mr_metrics_add (MR_METRIC_PEER_BAD, 1);
          mr_log (MR_LOG_WARNING, MR_EVENT_PEER_MESSAGE_INVALID,
                  "rejected a peer message of %zu bytes: %s", bytes->len, mr_status_message ());
        }
      g_string_free (bytes, TRUE);
    }
}
