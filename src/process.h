/* Process-wide setup of a daemon: signals, random bytes and one thread per task. */
#pragma once

#include "control_task.h"
#include "loop.h"
#include "settings.h"
#include <pthread.h>
#include <signal.h>

enum
{
  MR_PROCESS_RANDOM_BYTES = 32,
  MR_PROCESS_MAX_LOOPS = 3,
};

typedef struct
{
  guint8 random_bytes[MR_PROCESS_RANDOM_BYTES];
  sigset_t signals;
  pthread_t threads[MR_PROCESS_MAX_LOOPS + 1];
  guint thread_count;
} MrProcess;

/* The tasks of a daemon and its signal handlers. */
typedef struct
{
  MrControlTask *control;
  MrLoop *loops[MR_PROCESS_MAX_LOOPS]; /* one thread each; stopped in this order */
  void (*stop) (void *user);           /* on each SIGTERM or SIGINT; must be idempotent */
  void (*reload) (void *user);         /* on each SIGHUP; may be NULL */
  void *user;
  /* Delay before the threads are stopped, in which peers learn what is new here, such as that this
   * daemon has left. */
  MrTime shutdown_delay;
} MrProcessTasks;

/* Blocks the signals that mr_process_run () handles; to be called before any thread is started. */
MrStatus mr_process_init (MrProcess *process);

/* Numbers derived from the random bytes of the process. */
guint64 mr_process_incarnation (const MrProcess *process);
guint32 mr_process_seed (const MrProcess *process);

/* Runs the tasks until mr_process_quit () is called. */
void mr_process_run (MrProcess *process, const MrProcessTasks *tasks, const MrSettings *settings);
/* Makes mr_process_run () return; may be called from any thread. */
void mr_process_quit (void);
