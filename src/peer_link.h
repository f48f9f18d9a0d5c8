/* ZeroMQ sockets to other daemons: one bound socket to receive, one connected
 * socket to send for each peer in use.  A question to a peer that is no neighbour, and its
 * answer, share a connection that is closed with the answer: all that start together ask
 * the same few, where an open connection takes 28 kB for each asker and 32 kB for each
 * answer that has one of its own.
 *
 * Messages may be lost; nothing here repeats them.  ZeroMQ's own heartbeats
 * replace a connection that has gone silent. */
#pragma once

#include "clock.h"
#include "status.h"
#include "text.h"

typedef struct _MrPeerLink MrPeerLink;

/* Binds @ip:@port; NULL with a message if that fails. */
MrPeerLink *mr_peer_link_new (const char *ip, int port);
void mr_peer_link_free (MrPeerLink *link);

/* Sends without waiting; FALSE if the message was dropped. */
gboolean
mr_peer_link_send (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes);

/* The same, for a message whose answer is awaited: the answer comes back by this connection,
 * which is then closed, or when it does not come. */
gboolean
mr_peer_link_request (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes);

/* Answers the message that was received last, by the connection that it came by. */
gboolean mr_peer_link_reply (MrPeerLink *link, const GString *bytes);

/* Closes the sockets to @ip:@port, and drops what waits in it. */
void mr_peer_link_close (MrPeerLink *link, const char *ip, int port);

/* A new process answers at @ip:@port: closes a socket that was opened for the one
 * before, or that still waits for a VM that was off. */
void mr_peer_link_reconnect (MrPeerLink *link, MrTime now, const char *ip, int port);

/* Closes sockets that were not used for a while. */
void mr_peer_link_close_idle (MrPeerLink *link, MrTime now);

/* Waits for a message or for @wake_fd, at most @wait. */
void mr_peer_link_wait (MrPeerLink *link, int wake_fd, MrTime wait);

/* Next message, or NULL at once; freed by the caller. */
GString *mr_peer_link_receive (MrPeerLink *link);

/* Sockets that are connected to peers. */
guint mr_peer_link_socket_count (const MrPeerLink *link);
