#include "process.h"

#include "log.h"
#include <malloc.h>
#include <sys/random.h>
#include <unistd.h>

enum
{
  /* Allocations from this size on are mapped, and given back to the system when they are freed.
   * Unless it is set, glibc raises it with the largest one that was freed, and the heap keeps the
   * memory of many large answers. */
  MMAP_THRESHOLD_BYTES = 128 * 1024,
};

MrStatus
mr_process_init (MrProcess *process)
{
  *process = (MrProcess){ 0 };
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  if (getrandom (process->random_bytes, sizeof process->random_bytes, 0) !=
      (ssize_t) sizeof process->random_bytes)
    return mr_fail (MR_ERROR_SYSTEM, "cannot read random bytes from the system");
  sigemptyset (&process->signals);
  sigaddset (&process->signals, SIGTERM);
  sigaddset (&process->signals, SIGINT);
  sigaddset (&process->signals, SIGHUP);
  sigaddset (&process->signals, SIGUSR1);
  pthread_sigmask (SIG_BLOCK, &process->signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  return MR_OK;
}

guint64
mr_process_incarnation (const MrProcess *process)
{
  guint64 incarnation = 0;
  memcpy (&incarnation, process->random_bytes, sizeof incarnation);
  return incarnation;
}

guint32
mr_process_seed (const MrProcess *process)
{
  guint32 seed = 0;
  memcpy (&seed, process->random_bytes + sizeof (guint64), sizeof seed);
  return seed;
}

static void
S_start_thread (MrProcess *process, void *(*body) (void *user), void *user)
{
  pthread_create (&process->threads[process->thread_count++], NULL, body, user);
}

static void *
S_loop_thread (void *loop)
{
  mr_loop_run (loop);
  return NULL;
}

static void
S_start_tasks (MrProcess *process, const MrProcessTasks *tasks)
{
  S_start_thread (process, mr_control_task_thread, tasks->control);
  for (guint i = 0; i < MR_PROCESS_MAX_LOOPS && tasks->loops[i]; i++)
    S_start_thread (process, S_loop_thread, tasks->loops[i]);
}

static void
S_handle_signals (const MrProcess *process, const MrProcessTasks *tasks)
{
  int signal_number = 0;
  while (sigwait (&process->signals, &signal_number) == 0 && signal_number != SIGUSR1)
    {
      if (signal_number != SIGHUP)
        tasks->stop (tasks->user);
      else if (tasks->reload)
        tasks->reload (tasks->user);
    }
}

static void
S_stop_tasks (const MrProcess *process, const MrProcessTasks *tasks)
{
  g_usleep ((gulong) tasks->shutdown_delay);
  for (guint i = 0; i < MR_PROCESS_MAX_LOOPS && tasks->loops[i]; i++)
    mr_loop_stop (tasks->loops[i]);
  mr_control_task_stop (tasks->control);
  for (guint i = 0; i < process->thread_count; i++)
    pthread_join (process->threads[i], NULL);
}

void
mr_process_run (MrProcess *process, const MrProcessTasks *tasks, const MrSettings *settings)
{
  S_start_tasks (process, tasks);
  mr_log (MR_LOG_NOTICE, MR_EVENT_STARTED,
          "%s started in domain %s, listening on %s:%d for callers and %s:%d for peers",
          settings->name, settings->domain, settings->ip, settings->http_port, settings->ip,
          settings->peer_port);
  S_handle_signals (process, tasks);
  S_stop_tasks (process, tasks);
  mr_log (MR_LOG_NOTICE, MR_EVENT_STOPPED, "%s stopped", settings->name);
}

/* The main thread waits for signals in S_handle_signals (), which SIGUSR1 ends. */
void
mr_process_quit (void)
{
  kill (getpid (), SIGUSR1);
}
