/* ZeroMQ sockets to other daemons: one bound socket that receives, and one connected socket per
 * peer in use that sends.
 *
 * A request to a peer that is not a ring neighbour uses a short-lived connection, which carries
 * the reply too and is closed after it.  When many daemons start at once, all of them send requests
 * to the same few seeds, where an open connection takes 28 kB per requester, and a separate
 * connection for the reply 32 kB more.
 *
 * Messages may be lost and are not resent here.  ZeroMQ's heartbeats detect a connection that no
 * longer responds and replace it. */
#pragma once

#include "clock.h"
#include "status.h"
#include "text.h"

typedef struct _MrPeerLink MrPeerLink;

/* Binds to @ip:@port.  NULL with a status message on failure. */
MrPeerLink *mr_peer_link_new (const char *ip, int port);
void mr_peer_link_free (MrPeerLink *link);

/* Sends without blocking; FALSE if the message was dropped. */
gboolean
mr_peer_link_send (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes);

/* Sends a request.  The reply arrives over the same connection, which is closed after the reply or
 * after a timeout. */
gboolean
mr_peer_link_request (MrPeerLink *link, MrTime now, const char *ip, int port, const GString *bytes);

/* Replies to the last message of the bound socket, over the connection that it arrived on. */
gboolean mr_peer_link_reply (MrPeerLink *link, const GString *bytes);

/* Closes the sending socket to @ip:@port and drops its queued messages.  Pending requests are not
 * affected. */
void mr_peer_link_close (MrPeerLink *link, const char *ip, int port);

/* To be called when a new process runs at @ip:@port.  Closes the sending socket if it was opened
 * for the previous process, or while the VM was off and the socket still waits to reconnect. */
void mr_peer_link_reconnect (MrPeerLink *link, MrTime now, const char *ip, int port);

/* Closes idle sending sockets, and requests whose reply is overdue. */
void mr_peer_link_close_idle (MrPeerLink *link, MrTime now);

/* Waits until a message arrives, @wake_fd is readable or @timeout has passed. */
void mr_peer_link_wait (MrPeerLink *link, int wake_fd, MrTime timeout);

/* Returns the next message, or NULL without waiting if there is none.  The caller frees it. */
GString *mr_peer_link_receive (MrPeerLink *link);

/* Number of connected sockets, those of pending requests included. */
guint mr_peer_link_socket_count (const MrPeerLink *link);
