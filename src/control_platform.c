#include "control_private.h"

#include "log.h"
#include "metrics.h"

enum
{
  WATCH_WAIT_MS = 10000,
  /* For a relay: the platform charges for each call, and dead connections are detected by TCP
   * keep-alive probes rather than by short watches. */
  RELAY_WATCH_WAIT_MS = 28000,
  /* For the first of all relays that watch. The store never answers a watch that it accepted
   * during an outage. When a change had ended all watches at such a moment, no relay learned
   * of the next change for half a minute. With one short watch it is detected within 6 s, at 11
   * more calls per object kind and 45 s. */
  FIRST_WATCH_WAIT_MS = 4000,
};

static const MrTime VMS_PAUSE = 1 * MR_SECOND;
/* Pause between two target watches of a relay. Each change ends a watch, and each watch is
 * charged for, so the changes during a pause are read together. The pause is bounded because a
 * leaving target has to be known within about 3 s. */
static const MrTime TARGETS_PAUSE = 400 * MR_MS;
/* Except at startup, no request waits for the store's copy of evidence while the store is down. */
static const MrTime EVIDENCE_RETRY = 5 * MR_SECOND;
/* Delay of a controller's actions per rank. */
static const MrTime RANK_DELAY_STEP = 500 * MR_MS;

/* Name of the single object that lists the leaving targets. */
static const char leaving_object_name[] = "leaving";

static const struct
{
  const char *kind;
  MrObjectKind object;
} watch_kinds[WATCH_COUNT] = {
  [WATCH_ACCEPTED] = { "accepted", MR_OBJECT_ACCEPTED },
  [WATCH_SHARD_MAPS] = { "shardmaps", MR_OBJECT_SHARD_MAP },
  [WATCH_DOCUMENTS] = { "documents", 0 },
  [WATCH_VMS] = { "vms", 0 },
  [WATCH_CONFIGURATION] = { "configurations", MR_OBJECT_CONFIGURATION },
  [WATCH_TARGETS] = { "targets", MR_OBJECT_TARGET },
  [WATCH_EVIDENCE] = { "quarantine", MR_OBJECT_EVIDENCE },
  [WATCH_EVACUATIONS] = { "evacuations", MR_OBJECT_EVACUATION },
};

void
mr_control_platform_request (MrControlTask *task, MrPlatformRequest *request)
{
  mr_metrics_add (MR_METRIC_PLATFORM_CALLS, 1);
  request->era = task->store_era;
  mr_mailbox_post (task->platform_mailbox, &request->base);
}

static void
S_on_controller_write (
    MrControllerHost *host, const char *kind, const char *name, guint64 expected, MrText body)
{
  MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_WRITE, kind, name);
  request->expected_version = expected;
  request->body = g_string_new_len (body.data, (gssize) body.len);
  mr_control_platform_request (TASK_OF (host, controller_host), request);
}

static void
S_on_controller_read (MrControllerHost *host, const char *kind, const char *name)
{
  mr_control_platform_request (TASK_OF (host, controller_host),
                               mr_platform_request_new (MR_PLATFORM_READ, kind, name));
}

gboolean
mr_control_is_watcher (const MrControlTask *task)
{
  if (task->reads_alone)
    return TRUE;
  if (task->relay)
    return task->backup_watcher.watches ||
           mr_watch_is_relay_watcher (task->roster, task->settings->name);
  return mr_watch_rank (task->roster, task->settings->name) < MR_WATCHERS_PER_DOMAIN;
}

/* TRUE while a starting relay does not read the store yet, because its peers may be able to
 * supply the objects. */
static gboolean
S_is_bootstrapping (MrControlTask *task, MrTime now, gboolean watcher, MrTime *next)
{
  const MrBootstrapState state = {
    .self = task->settings->name,
    .watcher = watcher,
    .fetching = mr_replication_is_fetching (task->replication, now),
    .synced = mr_replication_is_synced (task->replication),
  };
  MrBootstrapStep step = mr_bootstrap_step (&task->bootstrap, now, task->roster, &state);
  if (step.ask_peer)
    mr_replication_request_list (task->replication, now, step.ask_peer->name);
  *next = MIN (*next, step.next);
  if (!step.read_store)
    return TRUE;
  for (int i = WATCH_CONFIGURATION; i < WATCH_COUNT; i++)
    task->watches[i].reader_count = mr_roster_count (task->roster);
  for (int i = WATCH_CONFIGURATION; i < WATCH_COUNT && !watcher; i++)
    if (!task->watches[i].has_succeeded && state.synced)
      mr_watch_ended (&task->watches[i], now, true, false, g_rand_double (task->random));
  return FALSE;
}

static int
S_watch_wait_ms (const MrControlTask *task, int index)
{
  if (!task->relay)
    return WATCH_WAIT_MS;
  if (mr_control_is_restriction (index))
    return RELAY_WATCH_WAIT_MS; /* daemons announce restrictions to each other */
  return mr_watch_is_first_watcher (task->roster, task->settings->name) ? FIRST_WATCH_WAIT_MS
                                                                        : RELAY_WATCH_WAIT_MS;
}

/* TRUE if this daemon does not make the calls of watch @index. Quarantine evidence and
 * evacuations are replicated between daemons. Among relays they are read by the watchers and
 * by those that start from the store, and by the latter only after the store has answered:
 * otherwise a fleet of 295 VMs that started during an outage asked for evidence as well, which
 * added 1,900 calls on that day. */
static gboolean
S_skips_watch (const MrControlTask *task, int index, gboolean watcher)
{
  if (index == WATCH_DOCUMENTS)
    return task->relay || !watcher;
  if (mr_control_is_restriction (index))
    return task->relay && !watcher && task->deferred_offers->len == 0;
  return task->relay != (index >= WATCH_CONFIGURATION);
}

/* Time until the next call, ms; -1: one is open. */
static gint64
S_due_ms (const MrWatch *watch, MrTime now)
{
  return watch->in_flight ? -1 : MAX (watch->due - now, 0) / MR_MS;
}

static void
S_set_watching (MrControlTask *task, MrTime now, gboolean watcher)
{
  if (watcher == task->watches_platform)
    return;
  task->watches_platform = watcher;
  for (int i = 0; i < WATCH_COUNT; i++)
    mr_watch_set_watching (&task->watches[i], now, watcher);
  mr_metrics_add (MR_METRIC_WATCHER_STARTS, watcher ? 1 : 0);
  MrLogLine *line = mr_log_begin (MR_LOG_INFO, MR_EVENT_WATCHER_ROLE);
  mr_log_number (line, "watches", watcher);
  mr_log_number (line, "configuration_due_ms", S_due_ms (&task->watches[WATCH_CONFIGURATION], now));
  mr_log_number (line, "targets_due_ms", S_due_ms (&task->watches[WATCH_TARGETS], now));
  mr_log_end (line);
}

/* A relay that does not watch calls the platform too rarely to know whether it answers.  An
 * outdated state would delay removals once the relay watches again. */
static void
S_forget_platform_state (MrControlTask *task, MrTime now)
{
  if (task->platform_up)
    return;
  task->platform_up = TRUE;
  task->view_changed = TRUE;
  mr_removal_filter_set_store_up (task->removal_filter, now, TRUE);
  mr_membership_set_platform_unreachable (task->membership, now, FALSE);
}

/* A relay that may have to become a watcher reads the configuration now and then. */
static void
S_tick_backup_watcher (MrControlTask *task, MrTime now, MrTime *next)
{
  gboolean chosen =
      task->reads_alone || mr_watch_is_relay_watcher (task->roster, task->settings->name);
  mr_backup_watcher_update (&task->backup_watcher, now, task->roster, chosen,
                            g_rand_double (task->random));
  if (!task->backup_watcher.needed || task->backup_watcher.watches)
    return;
  MrWatch *watch = &task->watches[WATCH_CONFIGURATION];
  if (!mr_backup_watcher_is_due (&task->backup_watcher, now))
    *next = MIN (*next, task->backup_watcher.try_at);
  else if (!watch->in_flight && watch->due > now)
    {
      watch->due = now;
      mr_metrics_add (MR_METRIC_BACKUP_READS, 1);
    }
}

void
mr_control_platform_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  gboolean watcher = mr_control_is_watcher (task);
  if (task->relay && S_is_bootstrapping (task, now, watcher, next))
    return;
  if (task->relay)
    S_tick_backup_watcher (task, now, next);
  watcher = mr_control_is_watcher (task);
  S_set_watching (task, now, watcher);
  if (task->relay && !watcher)
    S_forget_platform_state (task, now);
  for (int i = 0; i < WATCH_COUNT; i++)
    {
      MrWatch *watch = &task->watches[i];
      if (watch->in_flight || S_skips_watch (task, i, watcher))
        continue;
      if (now < watch->due)
        {
          *next = MIN (*next, watch->due);
          continue;
        }
      MrPlatformAction action = i == WATCH_VMS ? MR_PLATFORM_LIST_VMS : MR_PLATFORM_LIST;
      MrPlatformRequest *request = mr_platform_request_new (action, watch_kinds[i].kind, "");
      request->since_revision = watch->since;
      if (watch->page_after)
        request->after_name =
            g_string_new_len (watch->page_after->str, (gssize) watch->page_after->len);
      if (watcher && watch->has_succeeded && watch->retry_delay == 0 && watch->since > 0)
        request->wait_ms = S_watch_wait_ms (task, i);
      request->watch_call = mr_watch_begin (watch);
      mr_control_platform_request (task, request);
    }
}

/* The store never answers a watch that it accepted during an outage. Watches of other kinds
 * are shorter and reveal that the store is back; the long watch of evacuations is then
 * replaced. */
static void
S_restart_evacuation_watch (MrControlTask *task)
{
  MrWatch *watch = &task->watches[WATCH_EVACUATIONS];
  if (watch->has_succeeded)
    mr_watch_restart (watch);
}

static void
S_set_platform_up (MrControlTask *task, gboolean up)
{
  if (!up)
    mr_metrics_add (MR_METRIC_PLATFORM_FAILURES, 1);
  /* Only watchers announce an outage: from all relays it would be two announcements a member to the
   * whole fleet. */
  if (up == task->platform_up || (!up && task->relay && !task->watches_platform))
    return;
  task->platform_up = up;
  task->view_changed = TRUE;
  if (up)
    S_restart_evacuation_watch (task);
  mr_removal_filter_set_store_up (task->removal_filter, mr_now (), up);
  mr_membership_set_platform_unreachable (task->membership, mr_now (), !up);
  mr_log (up ? MR_LOG_NOTICE : MR_LOG_WARNING,
          up ? MR_EVENT_PLATFORM_REACHABLE : MR_EVENT_PLATFORM_UNREACHABLE,
          up ? "the platform answers again"
             : "the platform does not answer; the objects in force are kept");
}

static void
S_on_listed_document (MrControlTask *task, MrTime now, const MrPlatformObject *object)
{
  guint rank = mr_watch_rank (task->roster, task->settings->name);
  MrText body = object->deleted ? (MrText){ 0 } : mr_text_of (object->body);
  mr_controller_document_changed (task->controller, mr_text (object->name), object->version, body,
                                  now + rank * RANK_DELAY_STEP);
}

/* This platform's versions are consecutive and have to be multiplied by the stride; each of
 * its removals has a version of its own. */
static void
S_on_listed_evacuation (MrControlTask *task, const MrPlatformObject *object)
{
  MrPlatformObject scaled = *object;
  scaled.version = MR_VERSION_STRIDE * object->version;
  mr_control_evacuation_read_from_store (task, FALSE, &scaled);
}

static void
S_on_list (MrControlTask *task, MrTime now, int index, const MrPlatformResult *result)
{
  MrWatch *watch = &task->watches[index];
  for (guint i = 0; i < result->objects->len; i++)
    {
      const MrPlatformObject *object = g_ptr_array_index (result->objects, i);
      if (index == WATCH_DOCUMENTS)
        S_on_listed_document (task, now, object);
      else if (index == WATCH_EVIDENCE)
        mr_control_evidence_read_from_store (task, object);
      else if (index == WATCH_EVACUATIONS)
        S_on_listed_evacuation (task, object);
      else if (!object->deleted)
        mr_replication_offer (task->replication, watch_kinds[index].object, mr_text (object->name),
                              object->version, mr_text_of (object->body), NULL);
    }
  watch->since = MAX (watch->since, result->revision);
}

/* All leaving targets are replicated as one object. Its version is the platform's revision,
 * and a new version is offered only if the list has changed. */
static void
S_offer_leaving_targets (MrControlTask *task, const MrPlatformResult *result)
{
  GString *body = g_string_new ("[");
  for (guint i = 0; i < result->vms->len; i++)
    {
      const MrPlatformVm *vm = &g_array_index (result->vms, MrPlatformVm, i);
      if (!vm->entry && vm->leaving)
        g_string_append_printf (body, "%s\"%s:%d\"", body->len > 1 ? "," : "", vm->ip, vm->port);
    }
  g_string_append_c (body, ']');
  const MrObject *known = mr_registry_get (task->registry, MR_OBJECT_VM, leaving_object_name);
  if (known ? !g_string_equal (known->body, body) : body->len > 2)
    mr_replication_offer (task->replication, MR_OBJECT_VM, mr_text (leaving_object_name),
                          result->revision, mr_text_of (body), NULL);
  g_string_free (body, TRUE);
}

static void
S_on_vms (MrControlTask *task, const MrPlatformResult *result)
{
  g_autoptr (GArray) seeds = g_array_new (FALSE, FALSE, sizeof (MrMember));
  g_array_append_vals (seeds, task->seeds->data, task->seeds->len);
  for (guint i = 0; i < result->vms->len; i++)
    {
      const MrPlatformVm *vm = &g_array_index (result->vms, MrPlatformVm, i);
      if (!vm->entry)
        continue;
      MrMember seed = { .peer_port = vm->port };
      g_strlcpy (seed.ip, vm->ip, sizeof seed.ip);
      g_array_append_val (seeds, seed);
    }
  mr_membership_set_seeds (task->membership, (const MrMember *) (void *) seeds->data, seeds->len);
  S_offer_leaving_targets (task, result);
}

/* Relay: a full listing in pages, followed by changes. */

/* @full: the object is part of a full listing, not a change since the last call. */
static void
S_on_relay_object (
    MrControlTask *task, MrTime now, int index, gboolean full, const MrPlatformObject *object)
{
  if (index == WATCH_EVIDENCE)
    {
      mr_control_evidence_read_from_store (task, object);
      return;
    }
  if (!full)
    mr_control_era_release (task, watch_kinds[index].object, object->name);
  if (index == WATCH_EVACUATIONS)
    {
      mr_control_evacuation_read_from_store (task, full, object);
      return;
    }
  if (object->deleted)
    {
      if (index == WATCH_TARGETS)
        mr_removal_filter_add_removed (task->removal_filter, now, object->name, object->version);
      return;
    }
  if (index == WATCH_TARGETS)
    mr_removal_filter_add_present (task->removal_filter, object->name, object->version);
  if (full && index == WATCH_TARGETS &&
      mr_control_era_hold (task, MR_OBJECT_TARGET, object->name, object->version,
                           mr_text_of (object->body)))
    return;
  mr_control_start_offer (task, watch_kinds[index].object, object);
}

typedef struct
{
  MrControlTask *task;
  MrTime now;
  guint count;
} Unlisted;

static void
S_remove_if_unlisted (const char *id, void *user)
{
  Unlisted *unlisted = user;
  const MrControlTask *task = unlisted->task;
  guint64 version = mr_removal_filter_listing_version (task->removal_filter);
  if (mr_removal_filter_is_listed (task->removal_filter, id) ||
      mr_registry_version (task->registry, MR_OBJECT_TARGET, id) >= version)
    return;
  unlisted->count++;
  mr_removal_filter_add_removed (task->removal_filter, unlisted->now, id, version);
}

/* Reports the known targets that the full listing lacks as removed. */
static void
S_remove_unlisted_targets (MrControlTask *task, MrTime now)
{
  Unlisted unlisted = { .task = task, .now = now };
  mr_target_table_foreach (task->target_table, S_remove_if_unlisted, &unlisted);
  mr_control_era_targets_read (task, unlisted.count);
}

static void
S_report_stalled_listing (int index, const MrPlatformRequest *request)
{
  const GString *after = request->after_name;
  mr_metrics_add (MR_METRIC_LISTINGS_STALLED, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_LISTING_STALLED,
          "the list of %s cannot be read beyond '%s': the next page has no further name that can "
          "be read; what was read is kept, and the list is read again",
          watch_kinds[index].kind, after ? after->str : "");
}

/* Returns FALSE if the listing cannot go on: it is repeated after a pause, as after a failed call,
 * since the objects on the pages not read would otherwise count as removed. */
static gboolean
S_on_relay_list (MrControlTask *task, MrTime now, int index, const MrPlatformResult *result)
{
  MrWatch *watch = &task->watches[index];
  gboolean full = result->request->since_revision == 0;
  mr_removal_filter_set_object_count (task->removal_filter,
                                      mr_target_table_count (task->target_table));
  if (result->history_expired)
    {
      watch->since = 0;
      return TRUE;
    }
  if (full && !result->request->after_name)
    {
      watch->listing_revision = result->revision;
      mr_control_era_release_kind (task, watch_kinds[index].object);
      if (index == WATCH_TARGETS)
        mr_removal_filter_begin_listing (task->removal_filter, result->removed_version);
      if (index == WATCH_EVACUATIONS)
        mr_control_evacuation_begin_listing (task, result->removed_version);
    }
  for (guint i = 0; i < result->objects->len; i++)
    S_on_relay_object (task, now, index, full, g_ptr_array_index (result->objects, i));
  if (full && result->truncated)
    {
      gboolean advances = mr_watch_next_page (watch, result->last_name);
      if (!advances)
        S_report_stalled_listing (index, result->request);
      return advances;
    }
  if (full)
    mr_watch_listing_ended (watch);
  if (full && index == WATCH_TARGETS)
    S_remove_unlisted_targets (task, now);
  if (full && index == WATCH_EVACUATIONS)
    mr_control_evacuation_end_listing (task);
  watch->since = full ? watch->listing_revision : MAX (watch->since, result->revision);
  return TRUE;
}

void
mr_control_platform_apply_removals (MrControlTask *task, MrTime now, MrTime *next)
{
  char *name = NULL;
  guint64 version = 0;
  while (mr_removal_filter_take_due (task->removal_filter, now, &name, &version))
    {
      mr_replication_offer (task->replication, MR_OBJECT_TARGET, mr_text (name), version,
                            (MrText){ 0 }, NULL);
      g_clear_pointer (&name, g_free);
    }
  *next = MIN (*next, mr_removal_filter_next_due (task->removal_filter));
}

static void
S_on_watch_result (MrControlTask *task, MrTime now, int index, const MrPlatformResult *result)
{
  gboolean success = result->status == MR_OK;
  gboolean watcher = task->watches_platform;
  if (success && index == WATCH_VMS)
    S_on_vms (task, result);
  else if (success && task->relay)
    success = S_on_relay_list (task, now, index, result);
  else if (success)
    S_on_list (task, now, index, result);
  mr_watch_ended (&task->watches[index], now, success, watcher, g_rand_double (task->random));
  if (!success && index == WATCH_EVIDENCE && task->configuration)
    task->watches[index].due = now + EVIDENCE_RETRY;
  if (!success && mr_control_is_restriction (index))
    mr_control_start_restriction_failed (task, now, index);
  /* The next page of a full listing, and the first watch after it, are requested at once. */
  gboolean more = task->watches[index].page_after != NULL;
  if (success && task->relay && (more || (watcher && result->request->since_revision == 0)))
    task->watches[index].due = now;
}

static void
S_on_read_result (MrControlTask *task, MrTime now, const MrPlatformResult *result)
{
  const MrPlatformRequest *request = result->request;
  guint64 version = 0;
  MrText body = { 0 };
  if (result->status != MR_OK && result->status != MR_ERROR_NOT_FOUND)
    {
      mr_controller_object_written (task->controller, now, request->kind, mr_text (request->name),
                                    MR_ERROR_UNAVAILABLE, 0);
      return;
    }
  if (result->objects->len > 0)
    {
      const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
      version = object->version;
      body = mr_text_of (object->body);
    }
  mr_controller_object_read (task->controller, now, request->kind, mr_text (request->name), version,
                             body);
}

static void
S_on_write_result (MrControlTask *task, MrTime now, const MrPlatformResult *result)
{
  const MrPlatformRequest *request = result->request;
  if (g_str_equal (request->kind, watch_kinds[WATCH_EVIDENCE].kind))
    {
      mr_control_evidence_written (task, now, result);
      return;
    }
  if (result->status == MR_OK && g_str_equal (request->kind, "accepted"))
    mr_replication_offer (task->replication, MR_OBJECT_ACCEPTED, mr_text (request->name),
                          result->version, mr_text_of (request->body), NULL);
  mr_controller_object_written (task->controller, now, request->kind, mr_text (request->name),
                                (MrStatus) result->status, result->version);
}

/* Returns the watch that @request belongs to, or WATCH_COUNT for a read or a write. */
static int
S_watch_index (const MrPlatformRequest *request)
{
  const char *kind = request->action == MR_PLATFORM_LIST_VMS ? "vms" : request->kind;
  if (request->action != MR_PLATFORM_LIST && request->action != MR_PLATFORM_LIST_VMS)
    return WATCH_COUNT;
  int index = 0;
  while (index < WATCH_COUNT && !g_str_equal (watch_kinds[index].kind, kind))
    index++;
  return index;
}

/* Ends the call without using its answer, which was given in an earlier era of the store. */
static void
S_discard_outdated (MrControlTask *task, MrTime now, int index, MrPlatformResult *result)
{
  if (index < WATCH_COUNT)
    {
      mr_watch_ended (&task->watches[index], now, false, task->watches_platform,
                      g_rand_double (task->random));
      return;
    }
  g_ptr_array_set_size (result->objects, 0);
  result->status = MR_ERROR_OUTCOME_UNKNOWN;
  if (result->request->action == MR_PLATFORM_WRITE)
    S_on_write_result (task, now, result);
}

void
mr_control_platform_result (MrControlTask *task, MrTime now, MrPlatformResult *result)
{
  int index = S_watch_index (result->request);
  gboolean current = mr_control_era_is_current (task, now, result);
  if (index < WATCH_COUNT &&
      !mr_watch_is_current (&task->watches[index], result->request->watch_call))
    return;
  if (!current)
    {
      S_discard_outdated (task, now, index, result);
      return;
    }
  mr_control_era_add_to_versions (task, result);
  gboolean up = result->status == MR_OK || result->status == MR_ERROR_NOT_FOUND ||
                result->status == MR_ERROR_CONFLICT;
  mr_backup_watcher_called (&task->backup_watcher, now, up, g_rand_double (task->random));
  S_set_platform_up (task, up);
  if (result->request->action == MR_PLATFORM_READ)
    S_on_read_result (task, now, result);
  else if (result->request->action == MR_PLATFORM_WRITE)
    S_on_write_result (task, now, result);
  else if (index < WATCH_COUNT)
    S_on_watch_result (task, now, index, result);
}

void
mr_control_platform_init (MrControlTask *task)
{
  task->controller_host = (MrControllerHost){
    .write = S_on_controller_write,
    .read = S_on_controller_read,
  };
  task->watches[WATCH_VMS].call_pause = VMS_PAUSE;
  task->watches[WATCH_TARGETS].call_pause = TARGETS_PAUSE;
}
