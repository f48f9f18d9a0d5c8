#include "daemon.h"

#include "control_task.h"
#include "entry_task.h"
#include "log.h"
#include "platform_task.h"
#include "process.h"
#include "target_task.h"
#include "task_message.h"

/* After the entry task has stopped: time to send the last heartbeat, which announces to the other
 * daemons that this one has left. */
static const MrTime SHUTDOWN_DELAY = 300 * MR_MS;

typedef struct
{
  MrProcess process;
  const MrSettings *settings;
  MrEntryTask *entry;
  MrTargetTask *targets;
  MrControlTask *control;
  MrPlatformTask *platform;
} Daemon;

static void
S_on_stopped (void *user)
{
  (void) user;
  mr_process_quit ();
}

static MrStatus
S_create_tasks (Daemon *d)
{
  const MrSettings *settings = d->settings;
  MrControlTaskInfo control = {
    .settings = settings,
    .incarnation = mr_process_incarnation (&d->process),
    .seed = mr_process_seed (&d->process),
  };
  d->control = mr_control_task_new (&control);
  if (!d->control)
    return MR_ERROR_SYSTEM;
  MrEntryTaskInfo entry = {
    .settings = settings,
    .random = d->process.random_bytes,
    .incarnation = mr_process_incarnation (&d->process),
    .seed = mr_process_seed (&d->process),
    .stopped = S_on_stopped,
  };
  d->entry = mr_entry_task_new (&entry);
  if (!d->entry)
    return MR_ERROR_SYSTEM;
  MrTargetTaskInfo targets = {
    .name = settings->name,
    .incarnation = mr_entry_task_incarnation (d->entry),
    .max_connections = (guint) settings->max_connections,
    .seed = mr_process_seed (&d->process),
    .content_key = mr_settings_content_key_hash (settings),
  };
  d->targets = mr_target_task_new (&targets);
  d->platform = mr_platform_task_new (settings->platform_ip, settings->platform_port,
                                      &mr_platform_codec, mr_control_task_mailbox (d->control));
  return d->targets && d->platform ? MR_OK : MR_ERROR_SYSTEM;
}

static void
S_connect (Daemon *d)
{
  MrMailbox *entry = mr_loop_mailbox (mr_entry_task_loop (d->entry));
  MrMailbox *targets = mr_loop_mailbox (mr_target_task_loop (d->targets));
  MrMailbox *platform = mr_loop_mailbox (mr_platform_task_loop (d->platform));
  MrMailbox *control = mr_control_task_mailbox (d->control);
  mr_entry_task_connect (d->entry, targets, control);
  mr_target_task_connect (d->targets, entry, control);
  mr_control_task_connect (d->control, entry, targets, platform);
}

static void
S_on_stop (void *user)
{
  Daemon *d = user;
  mr_mailbox_post (mr_loop_mailbox (mr_entry_task_loop (d->entry)), mr_stop_message_new ());
}

static void
S_clear (Daemon *d)
{
  mr_target_task_free (d->targets);
  mr_platform_task_free (d->platform);
  mr_entry_task_free (d->entry);
  mr_control_task_free (d->control);
}

MrStatus
mr_daemon_run (const MrSettings *settings)
{
  Daemon d = { .settings = settings };
  mr_log_set_level ((MrLogLevel) settings->log_level);
  MrStatus status = mr_process_init (&d.process);
  if (status == MR_OK)
    status = S_create_tasks (&d);
  if (status == MR_OK)
    {
      S_connect (&d);
      MrProcessTasks tasks = {
        .control = d.control,
        .loops = { mr_entry_task_loop (d.entry), mr_target_task_loop (d.targets),
                   mr_platform_task_loop (d.platform) },
        .stop = S_on_stop,
        .user = &d,
        .shutdown_delay = SHUTDOWN_DELAY,
      };
      mr_process_run (&d.process, &tasks, settings);
    }
  S_clear (&d);
  return status;
}
