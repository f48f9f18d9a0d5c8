/* What every daemon process does around its tasks: signals, random bytes,
 * threads. */
#pragma once

#include "control_task.h"
#include "loop.h"
#include "settings.h"
#include <pthread.h>
#include <signal.h>

enum
{
  MR_PROCESS_RANDOM_BYTES = 32,
  MR_PROCESS_LOOPS_MAX = 3,
};

typedef struct
{
  guint8 random_bytes[MR_PROCESS_RANDOM_BYTES];
  sigset_t signals;
  pthread_t threads[MR_PROCESS_LOOPS_MAX + 1];
  guint thread_count;
} MrProcess;

/* What a daemon serves with: its tasks, and what it does on a signal. */
typedef struct
{
  MrControlTask *control;
  MrLoop *loops[MR_PROCESS_LOOPS_MAX]; /* one thread each; in the order of their end */
  void (*stop) (void *user);           /* each SIGTERM or SIGINT; a second changes nothing */
  void (*reload) (void *user);         /* each SIGHUP; may be NULL */
  void *user;
  /* Between the end of serving and that of the threads, for the last heartbeat,
   * which says that this daemon has left. */
  MrTime shutdown_delay;
} MrProcessTasks;

/* Blocks the signals that mr_process_serve () takes; before any thread starts. */
MrStatus mr_process_init (MrProcess *process);

/* Numbers out of the process's random bytes. */
guint64 mr_process_incarnation (const MrProcess *process);
guint32 mr_process_seed (const MrProcess *process);

/* Runs the tasks until mr_process_end (). */
void mr_process_run (MrProcess *process, const MrProcessTasks *tasks, const MrSettings *settings);
/* From any thread. */
void mr_process_quit (void);
