/* Queue of messages to one task.  Any thread may post; only the receiving task takes.
 *
 * Posting transfers the ownership of the message.  Every message starts with MrMessage, whose free
 * function lets the mailbox free messages that were never taken. */
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

/* @wake is called after each post, in the posting thread. */
MrMailbox *mr_mailbox_new (void (*wake) (void *user), void *user);
void mr_mailbox_free (MrMailbox *mailbox);
void mr_mailbox_post (MrMailbox *mailbox, MrMessage *message);

/* Returns the next message, or NULL without waiting if there is none. */
MrMessage *mr_mailbox_take (MrMailbox *mailbox);

static inline void
mr_message_free (MrMessage *message)
{
  message->free (message);
}
