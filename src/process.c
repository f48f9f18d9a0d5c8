#include "process.h"

#include <sys/random.h>
#include <unistd.h>

MrStatus
mr_process_init (MrProcess *process)
{
  *process = (MrProcess){ 0 };
  if (getrandom (process->random, sizeof process->random, 0) != (ssize_t) sizeof process->random)
    return mr_fail (MR_ERROR_SYSTEM, "no random bytes from the system");
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
  guint64 number = 0;
  memcpy (&number, process->random, sizeof number);
  return number;
}

guint32
mr_process_seed (const MrProcess *process)
{
  guint32 seed = 0;
  memcpy (&seed, process->random + sizeof (guint64), sizeof seed);
  return seed;
}

void
mr_process_run (MrProcess *process, void *(*body) (void *user), void *user)
{
  pthread_create (&process->threads[process->thread_count++], NULL, body, user);
}

void *
mr_process_run_loop (void *loop)
{
  mr_loop_run (loop);
  return NULL;
}

void
mr_process_wait (MrProcess *process,
                 void (*stop) (void *user),
                 void (*reload) (void *user),
                 void *user)
{
  int number = 0;
  while (sigwait (&process->signals, &number) == 0 && number != SIGUSR1)
    {
      if (number != SIGHUP)
        stop (user);
      else if (reload)
        reload (user);
    }
}

/* The main thread waits for signals; the end is one more. */
void
mr_process_end (void)
{
  kill (getpid (), SIGUSR1);
}

void
mr_process_join (MrProcess *process)
{
  for (guint i = 0; i < process->thread_count; i++)
    pthread_join (process->threads[i], NULL);
}
