/* Queue of messages into one task; any thread posts, only the owner takes.
 *
 * Ownership of a message passes with it.  A message starts with MrMessage, its
 * vtable, so that the mailbox can free what was never taken. */
#pragma once

#include <glib.h>

typedef struct _MrMessage MrMessage;
typedef struct _MrMailbox MrMailbox;

/* First member of every message struct. */
struct _MrMessage
{
  int type; /* MrMessageType, see task_message.h */
  void (*free) (MrMessage *message);
};

/* @wake is called after each post, from the posting thread. */
MrMailbox *mr_mailbox_new (void (*wake) (void *user), void *user);
void mr_mailbox_free (MrMailbox *box);
void mr_mailbox_post (MrMailbox *box, MrMessage *message);

/* Next message, or NULL at once if there is none. */
MrMessage *mr_mailbox_take (MrMailbox *box);

static inline void
mr_message_free (MrMessage *message)
{
  message->free (message);
}
