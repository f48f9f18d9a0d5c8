#include "control_private.h"

#include "accepted_document.h"
#include "evacuation.h"
#include "log.h"
#include "metrics.h"
#include "traffic.h"
#include <jansson.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  SHARD_MAPS_MAX = 4, /* generations of a service's shard map that batches may refer to */
};

static const MrTime IDLE_WAIT = 500 * MR_MS;
static const MrTime LINK_PRUNE_INTERVAL = 10 * MR_SECOND;
/* Interval of the traffic log lines, each of about 300 bytes. */
static const MrTime TRAFFIC_LOG_INTERVAL = 5 * MR_SECOND;
/* How long a daemon that has read the platform and has met peers waits for one of them to
 * confirm what it read. */
static const MrTime CONFIRM_WAIT = 3 * MR_SECOND;

/* Sending messages */

static gboolean
S_is_control_traffic (MrTrafficKind kind)
{
  return kind != MR_TRAFFIC_SEARCH && kind != MR_TRAFFIC_ORDER && kind != MR_TRAFFIC_LIMIT;
}

/* Returns @bytes as they are sent, and counts them. Takes ownership of @bytes. Search,
 * order and limit messages are not compressed, because callers wait for them. */
static GString *
S_prepare (MrControlTask *task, const MrMember *to, GString *bytes)
{
  MrTrafficKind kind = mr_traffic_kind (mr_wire_type (bytes));
  if (S_is_control_traffic (kind))
    {
      bytes = mr_wire_deflate (task->settings->name, bytes);
      mr_metrics_add (MR_METRIC_PEER_CONTROL_BYTES, bytes->len);
    }
  mr_metrics_add (MR_METRIC_PEER_SENT_BYTES, bytes->len);
  mr_traffic_add (MR_TRAFFIC_SENT, kind, g_str_equal (to->domain, task->settings->domain),
                  bytes->len);
  return bytes;
}

/* Takes ownership of @bytes. */
static void
S_send_to (MrControlTask *task, const MrMember *to, GString *bytes)
{
  g_autoptr (GString) prepared = S_prepare (task, to, bytes);
  mr_peer_link_send (task->link, mr_now (), to->ip, to->peer_port, prepared);
}

void
mr_control_send (MrControlTask *task, const char *name, GString *bytes)
{
  const MrMember *member = mr_membership_find (task->membership, name);
  if (member)
    S_send_to (task, member, bytes);
  else
    g_string_free (bytes, TRUE);
}

static void
S_send_heartbeat (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat)
{
  MrControlTask *task = TASK_OF (host, membership_host);
  GString *bytes = mr_wire_heartbeat (task->settings->name, heartbeat);
  g_autoptr (GString) prepared = S_prepare (task, to, bytes);
  if (heartbeat->kind == MR_HEARTBEAT_PING &&
      heartbeat->members_request == MR_MEMBERS_REQUEST_SAMPLE)
    mr_peer_link_request (task->link, mr_now (), to->ip, to->peer_port, prepared);
  else if (heartbeat->kind == MR_HEARTBEAT_ACK && task->ack_on_connection)
    mr_peer_link_reply (task->link, prepared);
  else
    mr_peer_link_send (task->link, mr_now (), to->ip, to->peer_port, prepared);
}

static void
S_on_member_changed (MrMembershipHost *host, const MrMember *member)
{
  mr_control_view_update_member (TASK_OF (host, membership_host), member);
}

static void
S_send_replication (MrReplicationHost *host, const char *name, GString *bytes)
{
  mr_control_send (TASK_OF (host, replication_host), name, bytes);
}

static guint
S_on_neighbours (MrReplicationHost *host, const char **names)
{
  const MrMember *neighbours[MR_NEIGHBOURS_MAX];
  guint count = mr_membership_neighbours (TASK_OF (host, replication_host)->membership, mr_now (),
                                          neighbours);
  for (guint i = 0; i < count; i++)
    names[i] = neighbours[i]->name;
  return count;
}

/* Objects */

GQueue *
mr_control_shard_maps (MrControlTask *task, const char *service)
{
  GQueue *queue = g_hash_table_lookup (task->shard_maps, service);
  if (queue)
    return queue;
  queue = g_queue_new ();
  g_hash_table_insert (task->shard_maps, g_strdup (service), queue);
  return queue;
}

static void
S_free_shard_maps (gpointer queue)
{
  g_queue_free_full (queue, (GDestroyNotify) mr_shard_map_unref);
}

static void
S_apply_shard_map (MrControlTask *task, const MrObject *object)
{
  MrShardMap *map =
      mr_shard_map_parse (mr_text (object->name), object->version, mr_text_of (object->body));
  if (!map)
    {
      mr_metrics_add (MR_METRIC_ENTRIES_UNUSABLE, 1);
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID,
              "shardmaps/%s version %" G_GUINT64_FORMAT ": %s", object->name, object->version,
              mr_status_message ());
      return;
    }
  GQueue *queue = mr_control_shard_maps (task, object->name);
  g_queue_push_head (queue, map);
  if (queue->length > SHARD_MAPS_MAX)
    mr_shard_map_unref (g_queue_pop_tail (queue));
}

/* If the object cannot be parsed, the previous configuration stays in force. */
static void
S_apply_configuration (MrControlTask *task, const MrObject *object)
{
  MrConfiguration *configuration = mr_configuration_parse (mr_text_of (object->body));
  g_strlcpy (task->configuration_name, object->name, sizeof task->configuration_name);
  task->configuration_object_version = object->version;
  if (!configuration)
    {
      mr_metrics_add (MR_METRIC_ENTRIES_UNUSABLE, 1);
      mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID,
              "configurations/%s version %" G_GUINT64_FORMAT ": %s", object->name, object->version,
              mr_status_message ());
      return;
    }
  /* What is in force stays in force if the store has listed an earlier configuration. */
  gboolean kept =
      (object->version & MR_VERSION_BODY_REJECTED) != 0 && task->configuration &&
      mr_configuration_version (configuration) == mr_configuration_version (task->configuration);
  if (kept)
    {
      mr_configuration_unref (configuration);
      return;
    }
  mr_configuration_unref (task->configuration);
  task->configuration = configuration;
}

/* TRUE if a peer still holds a target from an earlier era that the store does not list in the
 * current one. */
static gboolean
S_is_lost_target (const MrControlTask *task, const MrObject *object)
{
  guint64 listing_version = mr_removal_filter_listing_version (task->removal_filter);
  gboolean listing_complete = task->watches[WATCH_TARGETS].since > 0;
  return listing_complete && mr_version_era (object->version) < mr_version_era (listing_version) &&
         !mr_removal_filter_is_listed (task->removal_filter, object->name);
}

static void
S_apply_target (MrControlTask *task, const MrObject *object)
{
  if (object->body->len == 0)
    {
      mr_target_table_remove (task->target_table, object->name);
      return;
    }
  if (S_is_lost_target (task, object))
    mr_removal_filter_add_removed (task->removal_filter, mr_now (), object->name,
                                   mr_removal_filter_listing_version (task->removal_filter));
  else
    mr_removal_filter_add_present (task->removal_filter, object->name, object->version);
  MrTargetRecord *record =
      mr_target_record_parse (mr_text (object->name), mr_text_of (object->body));
  if (record)
    {
      mr_target_table_put (task->target_table, record);
      return;
    }
  mr_target_table_remove (task->target_table, object->name);
  mr_metrics_add (MR_METRIC_ENTRIES_UNUSABLE, 1);
  mr_log (MR_LOG_ERROR, MR_EVENT_OBJECT_INVALID, "targets/%s version %" G_GUINT64_FORMAT ": %s",
          object->name, object->version, mr_status_message ());
}

static gboolean
S_defers_object (
    MrReplicationHost *host, MrObjectKind kind, MrText name, guint64 version, MrText body)
{
  MrControlTask *task = TASK_OF (host, replication_host);
  g_autofree char *name_string = mr_text_dup (name);
  mr_control_era_seen_at_peer (task, kind, version);
  return mr_control_era_hold (task, kind, name_string, version, body);
}

static void
S_on_object_updated (MrReplicationHost *host, const MrObject *object)
{
  MrControlTask *task = TASK_OF (host, replication_host);
  MrObjectKind kind = object->kind; /* the object may be replaced below */
  char version[MR_VERSION_TEXT_MAX];
  mr_version_write (object->version, version);
  mr_log (MR_LOG_INFO, MR_EVENT_OBJECT_NEW, "%s/%s is now version %s",
          mr_object_kind_name (object->kind), object->name, version);
  if (kind == MR_OBJECT_SHARD_MAP)
    S_apply_shard_map (task, object);
  if (kind == MR_OBJECT_CONFIGURATION)
    S_apply_configuration (task, object);
  if (kind == MR_OBJECT_TARGET)
    S_apply_target (task, object);
  if (kind == MR_OBJECT_ACCEPTED)
    mr_controller_object_read (task->controller, mr_now (), "accepted", mr_text (object->name),
                               object->version, mr_text_of (object->body));
  if (kind == MR_OBJECT_EVACUATION)
    mr_control_evacuation_updated (task, object);
  if (kind == MR_OBJECT_EVIDENCE)
    mr_control_evidence_updated (task, object->name, object->version);
  else if (kind != MR_OBJECT_TARGET)
    task->view_changed = TRUE;
  mr_membership_set_registry_digest (task->membership, mr_registry_digest (task->registry));
}

/* Readiness */

static void
S_set_ready (MrControlTask *task, gboolean read)
{
  task->ready = TRUE;
  task->view_changed = TRUE;
  mr_replication_set_complete (task->replication);
  mr_log (MR_LOG_NOTICE, MR_EVENT_READY, "ready with %u objects from %s",
          mr_registry_count (task->registry), read ? "the platform" : "peers");
}

/* A relay serves with what it has: the store's answers are current, and a peer's objects are
 * at most slightly older.  If the list of targets cannot be read to its end, it serves with those
 * that were read. */
static void
S_check_relay_ready (MrControlTask *task)
{
  const MrWatch *targets = &task->watches[WATCH_TARGETS];
  gboolean read = (targets->since > 0 || targets->stalled) && mr_control_start_is_complete (task);
  if (task->configuration && (read || mr_replication_is_synced (task->replication)))
    S_set_ready (task, read);
}

static void
S_check_ready (MrControlTask *task, MrTime now)
{
  if (task->ready)
    return;
  if (task->relay)
    {
      S_check_relay_ready (task);
      return;
    }
  gboolean read =
      task->watches[WATCH_ACCEPTED].has_succeeded && task->watches[WATCH_SHARD_MAPS].has_succeeded;
  gboolean synced = mr_replication_is_synced (task->replication);
  gboolean alone = !mr_membership_joined (task->membership);
  if (!mr_control_start_may_serve (task, now, synced || read))
    return;
  /* A read of the platform may be stale, and a single peer may be behind. The daemon waits
   * until a peer confirms what it holds, or until it is clear that no peer will. */
  if (!synced && !(read && (now - task->start_time > CONFIRM_WAIT ||
                            (alone && now - task->start_time > CONFIRM_WAIT / 3))))
    return;
  S_set_ready (task, read);
}

/* Event loop */

static void
S_on_message (MrControlTask *task, MrMessage *message)
{
  if (message->type == MR_MESSAGE_PEER_SEND)
    {
      MrPeerSendMessage *send = (MrPeerSendMessage *) message;
      mr_control_send (task, send->to, g_steal_pointer (&send->bytes));
    }
  else if (message->type == MR_MESSAGE_LOCAL_STATE)
    {
      const MrLocalStateMessage *self = (const MrLocalStateMessage *) message;
      mr_membership_set_state (task->membership, mr_now (), self->state);
      mr_membership_set_busy (task->membership, mr_now (), self->busy);
      mr_membership_set_load (task->membership, mr_now (), self->load);
    }
  else if (message->type == MR_MESSAGE_EVIDENCE)
    mr_control_evidence_found (task, (const MrEvidenceMessage *) message);
  else if (message->type == MR_MESSAGE_LIMIT)
    {
      const MrLimitTaskMessage *limit = (const MrLimitTaskMessage *) message;
      mr_control_send (task, limit->peer, mr_wire_limit (task->settings->name, &limit->limit));
    }
  else if (message->type == MR_MESSAGE_PLATFORM_RESULT)
    mr_control_platform_result (task, mr_now (), (MrPlatformResult *) message);
  else if (message->type == MR_MESSAGE_VERSION_QUERY)
    mr_control_send_version_query (task, (const MrVersionQueryMessage *) message);
  mr_message_free (message);
}

static void
S_close_dead_link (const MrMember *member, void *user)
{
  if (member->state >= MR_MEMBER_LEFT)
    mr_peer_link_close (user, member->ip, member->peer_port);
}

static MrTime
S_tick (MrControlTask *task, MrTime now)
{
  MrTime next = now + IDLE_WAIT;
  next = MIN (next, mr_membership_tick (task->membership, now));
  next = MIN (next, mr_controller_tick (task->controller, now));
  mr_control_platform_tick (task, now, &next);
  mr_control_start_tick (task, now, &next);
  mr_control_platform_apply_removals (task, now, &next);
  mr_control_era_tick (task, now, &next);
  mr_control_evidence_tick (task, now, &next);
  next = MIN (next, mr_replication_tick (task->replication, now));
  S_check_ready (task, now);
  mr_control_view_publish (task);
  if (now >= task->next_link_prune)
    {
      task->next_link_prune = now + LINK_PRUNE_INTERVAL;
      mr_membership_foreach (task->membership, S_close_dead_link, task->link);
      mr_peer_link_close_idle (task->link, now);
    }
  if (now >= task->next_traffic_log)
    {
      task->next_traffic_log = now + TRAFFIC_LOG_INTERVAL;
      mr_traffic_log (mr_metrics_get (MR_METRIC_PLATFORM_CALLS));
    }
  return next;
}

void
mr_control_task_run (MrControlTask *task)
{
  while (!atomic_load (&task->stop))
    {
      MrTime now = mr_now ();
      MrTime next = S_tick (task, now);
      mr_peer_link_wait (task->link, task->wake_fd, MAX (next - now, 0));
      guint64 wakes = 0;
      (void) !read (task->wake_fd, &wakes, sizeof wakes);
      for (MrMessage *m = mr_mailbox_take (task->mailbox); m; m = mr_mailbox_take (task->mailbox))
        S_on_message (task, m);
      mr_control_receive (task);
    }
}

void *
mr_control_task_thread (void *task)
{
  mr_control_task_run (task);
  return NULL;
}

static void
S_wake (void *user)
{
  const guint64 one = 1;
  (void) !write (((MrControlTask *) user)->wake_fd, &one, sizeof one);
}

void
mr_control_task_stop (MrControlTask *task)
{
  atomic_store (&task->stop, true);
  S_wake (task);
}

static void
S_read_seeds (MrControlTask *task)
{
  for (char **text = task->settings->seeds; *text; text++)
    {
      char *ip = NULL;
      MrMember seed = { 0 };
      if (mr_settings_split_address (*text, &ip, &seed.peer_port) != MR_OK)
        continue;
      g_strlcpy (seed.ip, ip, sizeof seed.ip);
      g_array_append_val (task->seeds, seed);
      g_free (ip);
    }
  mr_membership_set_seeds (task->membership, (const MrMember *) (void *) task->seeds->data,
                           task->seeds->len);
}

/* @starting: this daemon must not be named to callers yet. */
static MrMember
S_make_self (const MrSettings *settings, guint32 seed, gboolean starting)
{
  MrMember self = {
    /* A later process of the same name has to supersede an earlier one. The clock provides the
     * order; membership.c corrects the incarnation if the clock was wrong. */
    .incarnation = mr_member_new_incarnation (seed),
    .peer_port = settings->peer_port,
    .http_port = settings->http_port,
    .capacity = (guint32) settings->capacity,
    .busy = starting,
  };
  g_strlcpy (self.name, settings->name, sizeof self.name);
  g_strlcpy (self.ip, settings->ip, sizeof self.ip);
  g_strlcpy (self.domain, settings->domain, sizeof self.domain);
  g_strlcpy (self.region, settings->region, sizeof self.region);
  return self;
}

MrControlTask *
mr_control_task_new (const MrControlTaskInfo *info)
{
  MrPeerLink *link = mr_peer_link_new (info->settings->ip, info->settings->peer_port);
  if (!link)
    return NULL;
  MrControlTask *task = g_new0 (MrControlTask, 1);
  task->link = link;
  task->settings = info->settings;
  task->incarnation = info->incarnation;
  task->start_time = mr_now ();
  task->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  task->mailbox = mr_mailbox_new (S_wake, task);
  task->random = g_rand_new_with_seed (info->seed);
  task->platform_up = TRUE;
  task->shard_maps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_free_shard_maps);
  task->seeds = g_array_new (FALSE, FALSE, sizeof (MrMember));
  task->membership_host = (MrMembershipHost){
    .send = S_send_heartbeat,
    .member_changed = S_on_member_changed,
  };
  task->replication_host = (MrReplicationHost){
    .send = S_send_replication,
    .neighbours = S_on_neighbours,
    .defers = S_defers_object,
    .updated = S_on_object_updated,
  };
  task->relay = info->relay;
  task->removal_filter = mr_removal_filter_new ();
  task->target_table = mr_target_table_new ();
  task->roster = mr_roster_new ();
  task->members_to_publish = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mr_control_platform_init (task);
  mr_control_evidence_init (task);
  mr_control_start_init (task);
  mr_control_era_init (task);
  task->listed_evacuations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  MrMember self = S_make_self (info->settings, info->seed, info->relay);
  task->registry = mr_registry_new ();
  task->membership = mr_membership_new (&task->membership_host, &self, info->seed);
  task->replication =
      mr_replication_new (&task->replication_host, task->registry, info->settings->name);
  task->controller = mr_controller_new (&task->controller_host);
  mr_control_view_update_member (task, &self);
  S_read_seeds (task);
  MrBootstrapOptions bootstrap = {
    .first_start = info->settings->first_start,
    .no_other_seeds = task->seeds->len == 0,
    .random = g_rand_double (task->random),
    .capacity = (guint32) info->settings->capacity,
  };
  mr_bootstrap_init (&task->bootstrap, task->start_time, &bootstrap);
  return task;
}

void
mr_control_task_connect (MrControlTask *task,
                         MrMailbox *entry,
                         MrMailbox *targets,
                         MrMailbox *platform)
{
  task->entry_mailbox = entry;
  task->target_mailbox = targets;
  task->platform_mailbox = platform;
}

MrMailbox *
mr_control_task_mailbox (MrControlTask *task)
{
  return task->mailbox;
}

void
mr_control_task_free (MrControlTask *task)
{
  if (!task)
    return;
  mr_controller_free (task->controller);
  mr_control_evidence_clear (task);
  mr_control_start_clear (task);
  mr_control_era_clear (task);
  for (int i = 0; i < WATCH_COUNT; i++)
    mr_watch_clear (&task->watches[i]);
  g_hash_table_unref (task->listed_evacuations);
  mr_removal_filter_free (task->removal_filter);
  mr_configuration_unref (task->configuration);
  mr_target_table_free (task->target_table);
  g_hash_table_unref (task->members_to_publish);
  mr_roster_free (task->roster);
  mr_replication_free (task->replication);
  mr_membership_free (task->membership);
  mr_registry_free (task->registry);
  mr_member_list_unref (task->published_members);
  mr_peer_link_free (task->link);
  mr_mailbox_free (task->mailbox);
  g_hash_table_unref (task->shard_maps);
  g_array_unref (task->seeds);
  g_rand_free (task->random);
  close (task->wake_fd);
  g_free (task);
}
