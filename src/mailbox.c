#include "mailbox.h"

#include <pthread.h>

struct _MrMailbox
{
  pthread_mutex_t lock;
  GQueue queue;
  void (*wake) (void *user);
  void *user;
};

MrMailbox *
mr_mailbox_new (void (*wake) (void *user), void *user)
{
  MrMailbox *mailbox = g_new0 (MrMailbox, 1);
  pthread_mutex_init (&mailbox->lock, NULL);
  g_queue_init (&mailbox->queue);
  mailbox->wake = wake;
  mailbox->user = user;
  return mailbox;
}

void
mr_mailbox_free (MrMailbox *mailbox)
{
  if (!mailbox)
    return;
  for (MrMessage *m = mr_mailbox_take (mailbox); m; m = mr_mailbox_take (mailbox))
    mr_message_free (m);
  pthread_mutex_destroy (&mailbox->lock);
  g_free (mailbox);
}

void
mr_mailbox_post (MrMailbox *mailbox, MrMessage *message)
{
  pthread_mutex_lock (&mailbox->lock);
  g_queue_push_tail (&mailbox->queue, message);
  pthread_mutex_unlock (&mailbox->lock);
  mailbox->wake (mailbox->user);
}

MrMessage *
mr_mailbox_take (MrMailbox *mailbox)
{
  pthread_mutex_lock (&mailbox->lock);
  MrMessage *message = g_queue_pop_head (&mailbox->queue);
  pthread_mutex_unlock (&mailbox->lock);
  return message;
}
