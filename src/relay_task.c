#include "relay_task_private.h"

#include "log.h"

/* Total CPU cost of one call a second in thousandths of a core (docs/CAPACITY.md).  The load of a
 * daemon is reported in steps from MIN_LOAD_STEP up. */
static const double CALL_CPU_COST = 0.045;
static const guint32 MIN_LOAD_STEP = 16;
static const double LOAD_DECREASE_RATIO = 0.35;
static const MrTime LOAD_INTERVAL = 2 * MR_SECOND;
/* Part of the process' memory that answers of targets may take until they are merged or passed on.
 * The rest is for the state of the fleet, requests of callers, and answers that are written. */
static const double ANSWER_MEMORY_SHARE = 0.25;
/* Applies if the settings do not limit the memory of the process. */
static const int DEFAULT_MEMORY_LIMIT_MB = 256;

gboolean
mr_relay_task_ready (const MrRelayTask *task)
{
  return task->view && task->view->ready && task->view->configuration;
}

/* Views. */

/* Removals first: a process may be listed again under another id. */
static void
S_update_targets (MrRelayTask *task, MrTime now, const GPtrArray *changes)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const MrTargetChange *change = g_ptr_array_index (changes, i);
      if (!change->record)
        mr_relay_remove_target (task->relay, now, change->id);
    }
  for (guint i = 0; i < changes->len; i++)
    {
      const MrTargetRecord *record =
          ((const MrTargetChange *) g_ptr_array_index (changes, i))->record;
      if (record)
        mr_relay_update_target (task->relay, now, record->service, &record->target, record->leaving,
                                record->cold_remaining);
    }
}

static void
S_update_configuration (MrRelayTask *task, const MrView *view)
{
  const MrConfiguration *previous = task->view ? task->view->configuration : NULL;
  if (!view->configuration || view->configuration == previous)
    return;
  mr_log (MR_LOG_NOTICE, MR_EVENT_CONFIGURATION_APPLIED,
          "configuration %" G_GUINT64_FORMAT " is in force here, after %" G_GUINT64_FORMAT,
          mr_configuration_version (view->configuration),
          previous ? mr_configuration_version (previous) : 0);
  mr_caller_server_set_limits (task->caller_server, mr_configuration_limits (view->configuration));
  mr_limits_set_configuration (task->limits, mr_now (), view->configuration);
}

static void
S_announce (MrRelayTask *task)
{
  gboolean ready = mr_relay_task_ready (task);
  if ((ready == task->announced_ready && task->load == task->announced_load) ||
      mr_relay_stop_has_begun (task))
    return;
  task->announced_ready = ready;
  task->announced_load = task->load;
  MrLocalStateMessage *message = mr_local_state_message_new (MR_MEMBER_ALIVE, !ready);
  message->load = task->load;
  mr_mailbox_post (task->control, &message->base);
}

static void
S_set_shares (MrRelayTask *task, MrTime now)
{
  MrRelayShares shares = {
    .connections = task->entry_plan.connection_share,
    .slots = task->entry_plan.slot_share,
    .allowance = task->entry_plan.allowance_share,
    .cold = mr_cold_share_update (task->cold_share, now, task->roster, &task->entry_plan),
  };
  mr_relay_set_shares (task->relay, &shares);
}

static void
S_update_members (MrRelayTask *task, MrTime now, const GArray *members)
{
  mr_entry_plan_clear (&task->entry_plan);
  for (guint i = 0; i < members->len; i++)
    {
      const MrMember *member = &g_array_index (members, MrMember, i);
      mr_roster_put (task->roster, member);
      mr_cold_share_on_member (task->cold_share, now, member);
      mr_limits_on_member (task->limits, now, member);
    }
  task->entry_plan = mr_entry_plan_compute (task->roster, task->settings->base.name);
  mr_limits_set_entries (task->limits, now, task->entry_plan.entries);
  S_set_shares (task, now);
}

static void
S_on_changes (MrRelayTask *task, const MrChangesMessage *changes)
{
  MrTime now = mr_now ();
  if (changes->members->len > 0)
    S_update_members (task, now, changes->members);
  S_update_targets (task, now, changes->targets);
}

static void
S_on_view (MrRelayTask *task, MrView *view)
{
  MrTime now = mr_now ();
  S_update_configuration (task, view);
  mr_relay_set_evacuated (task->relay, now, view->evacuated_domains);
  mr_view_unref (task->view);
  task->view = mr_view_ref (view);
  mr_denial_check_set_version (task->denial_check, now, view->configuration_object_version);
  S_announce (task);
}

/* Measures the load in steps of a factor of two.  The hysteresis between rising and falling makes
 * changes, which are sent to all members, rare. */
static void
S_measure_load (MrRelayTask *task, MrTime now, MrTime *next)
{
  if (now < task->next_load_at)
    {
      *next = MIN (*next, task->next_load_at);
      return;
    }
  guint64 calls = mr_relay_counts (task->relay)->calls;
  double seconds = (double) (now - task->next_load_at + LOAD_INTERVAL) / (double) MR_SECOND;
  double load = (double) (calls - task->calls_at_last_load) * CALL_CPU_COST / seconds;
  guint32 step = MIN_LOAD_STEP;
  while (step < load)
    step *= 2;
  if (load < MIN_LOAD_STEP)
    step = 0;
  if (step > task->load || load < task->load * LOAD_DECREASE_RATIO)
    task->load = step;
  task->calls_at_last_load = calls;
  task->next_load_at = now + LOAD_INTERVAL;
  *next = MIN (*next, task->next_load_at);
  S_announce (task);
  /* The share of the calls to cold targets also changes with time, without changes of members. */
  if (task->entry_plan.entries)
    S_set_shares (task, now);
}

static void
S_on_evidence (MrRelayTask *task, const MrEvidenceMessage *message)
{
  mr_relay_merge_evidence (task->relay, mr_now (), message->fingerprint,
                           message->forget ? NULL : &message->evidence);
}

static void
S_on_version_reply (MrRelayTask *task, const MrVersionReplyMessage *reply)
{
  mr_denial_check_replied (task->denial_check, mr_now (), reply->number, reply->version);
}

static void
S_on_message (MrLoopHandler *handler, MrMessage *message)
{
  MrRelayTask *task = (MrRelayTask *) handler;
  if (message->type == MR_MESSAGE_VIEW)
    S_on_view (task, ((MrViewMessage *) message)->view);
  else if (message->type == MR_MESSAGE_CHANGES)
    S_on_changes (task, (const MrChangesMessage *) message);
  else if (message->type == MR_MESSAGE_EVIDENCE)
    S_on_evidence (task, (const MrEvidenceMessage *) message);
  else if (message->type == MR_MESSAGE_LIMIT)
    mr_relay_limits_receive (task, (const MrLimitTaskMessage *) message);
  else if (message->type == MR_MESSAGE_STOP)
    mr_relay_stop_begin (task);
  else if (message->type == MR_MESSAGE_VERSION_REPLY)
    S_on_version_reply (task, (const MrVersionReplyMessage *) message);
  mr_message_free (message);
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  MrRelayTask *task = (MrRelayTask *) handler;
  MrTime next = mr_caller_server_tick (task->caller_server, now);
  next = MIN (next, mr_caller_server_tick (task->ready_server, now));
  next = MIN (next, mr_caller_server_tick (task->directory_server, now));
  if (task->metrics_server)
    next = MIN (next, mr_caller_server_tick (task->metrics_server, now));
  next = MIN (next, mr_target_client_tick (task->client, now));
  mr_relay_request_flush_early (task, now, &next);
  next = MIN (next, mr_relay_limits_tick (task, now));
  next = MIN (next, mr_denial_check_tick (task->denial_check, now));
  next = MIN (next, mr_relay_tick (task->relay, now));
  S_measure_load (task, now, &next);
  mr_relay_stop_continue (task, now, &next);
  return next;
}

/* Setup. */

static MrStatus
S_listen (MrRelayTask *task)
{
  const MrRelaySettings *settings = task->settings;
  const char *ip = settings->base.ip;
  task->caller_server =
      mr_caller_server_new (&task->caller_host, task->loop, ip, settings->base.http_port);
  if (task->caller_server)
    task->ready_server =
        mr_caller_server_new (&task->ready_pages.host, task->loop, ip, settings->ready_port);
  if (task->ready_server)
    task->directory_server = mr_caller_server_new (&task->directory_pages.host, task->loop, ip,
                                                   settings->directory_port);
  if (!task->directory_server)
    return MR_ERROR_SYSTEM;
  if (settings->metrics_port == 0)
    return MR_OK;
  task->metrics_server =
      mr_caller_server_new (&task->metrics_pages.host, task->loop, ip, settings->metrics_port);
  return task->metrics_server ? MR_OK : MR_ERROR_SYSTEM;
}

/* TRUE if the settings name seeds other than this daemon. */
static gboolean
S_names_other_seeds (const MrSettings *settings)
{
  g_autofree char *self = g_strdup_printf ("%s:%d", settings->ip, settings->peer_port);
  for (char **seed = settings->seeds; seed && *seed; seed++)
    if (!g_str_equal (*seed, self))
      return TRUE;
  return FALSE;
}

static gsize
S_answer_memory (const MrRelaySettings *settings)
{
  int megabytes =
      settings->memory_limit_mb > 0 ? settings->memory_limit_mb : DEFAULT_MEMORY_LIMIT_MB;
  return (gsize) (ANSWER_MEMORY_SHARE * megabytes * 1024 * 1024);
}

MrRelayTask *
mr_relay_task_new (const MrRelayTaskInfo *info)
{
  MrRelayTask *task = g_new0 (MrRelayTask, 1);
  const MrRelaySettings *settings = info->settings;
  task->loop_handler = (MrLoopHandler){ .on_message = S_on_message, .on_tick = S_on_tick };
  task->settings = settings;
  task->dialect = info->dialect;
  task->on_stopped = info->stopped;
  task->user = info->user;
  task->roster = mr_roster_new ();
  task->early_requests = mr_startup_queue_new (mr_now ());
  task->cold_share = mr_cold_share_new (
      settings->base.domain, settings->regions ? g_hash_table_size (settings->regions) : 0);
  task->content_key = mr_settings_content_key_hash (&settings->base);
  mr_relay_request_init (task);
  MrDenialCheckOptions denial_check = {
    .self = settings->base.name,
    .roster = task->roster,
    .first_number = (guint64) mr_now (),
  };
  task->denial_check = mr_denial_check_new (&task->denial_check_host, &denial_check);
  mr_relay_pages_init (task);
  task->loop = mr_loop_new (&task->loop_handler, (guint) settings->max_descriptors);
  if (task->loop && S_listen (task) == MR_OK)
    {
      MrRelayOptions relay = {
        .domain = settings->base.domain,
        .regions = settings->regions,
        .policy = &mr_relay_policy,
        .seed = info->seed,
        .unix_offset = g_get_real_time () - mr_now (),
        .cold_limit = { .rate_factor = settings->cold_factor, .slack = settings->cold_slack },
        .budget = {
          .window = settings->budget_window_ms * MR_MS,
          .ratio = settings->resend_ratio,
          .allowance = settings->resend_slack,
          .margin = MR_RESEND_BUDGET_MARGIN,
          .started_at = mr_now (),
        },
      };
      task->relay = mr_relay_new (&task->relay_host, &relay);
      MrLimitsOptions limits = {
        .self = settings->base.name,
        .incarnation = mr_member_new_incarnation (info->seed),
        .tolerance = settings->limit_tolerance,
        .first_start = settings->base.first_start,
        .has_other_members = S_names_other_seeds (&settings->base),
        .started_at = mr_now (),
      };
      task->limits = mr_limits_new (&task->limits_host, &limits);
      task->client = mr_target_client_new (&task->client_host, task->loop, info->dialect);
      mr_target_client_set_memory_limit (task->client, S_answer_memory (settings));
      return task;
    }
  mr_relay_task_free (task);
  return NULL;
}

void
mr_relay_task_free (MrRelayTask *task)
{
  if (!task)
    return;
  mr_loop_free (task->loop);
  mr_caller_server_free (task->caller_server);
  mr_caller_server_free (task->ready_server);
  mr_caller_server_free (task->directory_server);
  mr_caller_server_free (task->metrics_server);
  mr_target_client_free (task->client);
  mr_relay_free (task->relay);
  mr_relay_limits_clear (task);
  mr_denial_check_free (task->denial_check);
  mr_startup_queue_free (task->early_requests);
  mr_cold_share_free (task->cold_share);
  mr_entry_plan_clear (&task->entry_plan);
  mr_roster_free (task->roster);
  mr_view_unref (task->view);
  g_free (task);
}

void
mr_relay_task_connect (MrRelayTask *task, MrMailbox *control)
{
  task->control = control;
}

MrLoop *
mr_relay_task_loop (MrRelayTask *task)
{
  return task->loop;
}
