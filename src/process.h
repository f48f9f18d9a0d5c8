/* What every daemon process does around its tasks: signals, random bytes,
 * threads. */
#pragma once

#include "loop.h"
#include <pthread.h>
#include <signal.h>

enum
{
  MR_PROCESS_RANDOM_BYTES = 32,
  MR_PROCESS_THREADS_MAX = 4,
  /* Before the threads end, for the last heartbeat, which says that this daemon
   * has left. */
  MR_PROCESS_FAREWELL_US = 300 * 1000,
};

typedef struct
{
  guint8 random[MR_PROCESS_RANDOM_BYTES];
  sigset_t signals;
  pthread_t threads[MR_PROCESS_THREADS_MAX];
  guint thread_count;
} MrProcess;

/* Blocks the signals that mr_process_wait () takes; before any thread starts. */
MrStatus mr_process_init (MrProcess *process);

/* Numbers out of the process's random bytes. */
guint64 mr_process_incarnation (const MrProcess *process);
guint32 mr_process_seed (const MrProcess *process);

void mr_process_run (MrProcess *process, void *(*body) (void *user), void *user);
/* Body of a thread that runs an MrLoop. */
void *mr_process_run_loop (void *loop);

/* Waits until mr_process_end (); each SIGTERM or SIGINT before calls @stop, so
 * that a second one changes nothing, each SIGHUP @reload, which may be NULL. */
void mr_process_wait (MrProcess *process,
                      void (*stop) (void *user),
                      void (*reload) (void *user),
                      void *user);
/* From any thread. */
void mr_process_end (void);
void mr_process_join (MrProcess *process);
