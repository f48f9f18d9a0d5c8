#include "relay_daemon.h"

#include "control_task.h"
#include "log.h"
#include "platform_task.h"
#include "process.h"
#include "relay_task.h"
#include "task_message.h"

/* After the last request: time for the other relays and the store to learn what was found out about
 * contents.  relay_stop.c leaves a tenth of the grace period for it. */
static const MrTime SHUTDOWN_DELAY = 150 * MR_MS;

typedef struct
{
  MrProcess process;
  const MrRelaySettings *settings;
  MrRelayTask *relay;
  MrControlTask *control;
  MrPlatformTask *platform;
  void (*reload) (void);
} Daemon;

static void
S_on_stopped (void *user)
{
  (void) user;
  mr_process_quit ();
}

static MrStatus
S_create_tasks (Daemon *d, const MrDialect *dialect, const MrPlatformCodec *codec)
{
  const MrSettings *base = &d->settings->base;
  MrControlTaskInfo control = {
    .settings = base,
    .incarnation = mr_process_incarnation (&d->process),
    .seed = mr_process_seed (&d->process),
    .relay = TRUE,
  };
  d->control = mr_control_task_new (&control);
  if (!d->control)
    return MR_ERROR_SYSTEM;
  MrRelayTaskInfo relay = {
    .settings = d->settings,
    .dialect = dialect,
    .seed = mr_process_seed (&d->process),
    .stopped = S_on_stopped,
  };
  d->relay = mr_relay_task_new (&relay);
  d->platform = mr_platform_task_new (base->platform_ip, base->platform_port, codec,
                                      mr_control_task_mailbox (d->control));
  return d->relay && d->platform ? MR_OK : MR_ERROR_SYSTEM;
}

static void
S_connect (Daemon *d)
{
  MrMailbox *relay = mr_loop_mailbox (mr_relay_task_loop (d->relay));
  mr_relay_task_connect (d->relay, mr_control_task_mailbox (d->control));
  mr_control_task_connect (d->control, relay, NULL,
                           mr_loop_mailbox (mr_platform_task_loop (d->platform)));
}

static void
S_on_stop (void *user)
{
  Daemon *d = user;
  mr_mailbox_post (mr_loop_mailbox (mr_relay_task_loop (d->relay)), mr_stop_message_new ());
}

static void
S_on_reload (void *user)
{
  const Daemon *d = user;
  if (d->reload)
    d->reload ();
}

MrStatus
mr_relay_daemon_run (const MrRelaySettings *settings,
                     const MrDialect *dialect,
                     const MrPlatformCodec *codec,
                     void (*reload) (void))
{
  Daemon d = { .settings = settings, .reload = reload };
  const MrSettings *base = &settings->base;
  mr_log_set_level ((MrLogLevel) base->log_level);
  MrStatus status = mr_process_init (&d.process);
  if (status == MR_OK)
    status = S_create_tasks (&d, dialect, codec);
  if (status == MR_OK)
    {
      S_connect (&d);
      MrProcessTasks tasks = {
        .control = d.control,
        .loops = { mr_relay_task_loop (d.relay), mr_platform_task_loop (d.platform) },
        .stop = S_on_stop,
        .reload = S_on_reload,
        .user = &d,
        .shutdown_delay = SHUTDOWN_DELAY,
      };
      mr_process_run (&d.process, &tasks, base);
    }
  mr_relay_task_free (d.relay);
  mr_platform_task_free (d.platform);
  mr_control_task_free (d.control);
  return status;
}
