/* TCP byte streams on a task's loop.
 *
 * libwebsockets polls the descriptors, but reads and writes are done here, since the relay needs
 * what the raw-socket role of libwebsockets does not tell: whether a connection was closed in order
 * or reset, and whether any byte of a request has been sent (docs/design/platform.md).  A stream
 * makes no callbacks after it was closed. */
#pragma once

#include "clock.h"
#include "loop.h"
#include "text.h"

typedef struct _MrStream MrStream;
typedef struct _MrStreamHandler MrStreamHandler;
typedef struct _MrListener MrListener;

typedef enum
{
  MR_STREAM_REFUSED, /* on_open () was not called; nothing was sent */
  MR_STREAM_EOF,     /* the peer closed its side in order */
  MR_STREAM_RESET,   /* reset or lost */
} MrStreamEnd;

/* Callbacks; embedded as the first member of the struct that uses the stream. */
struct _MrStreamHandler
{
  /* A connection opened by mr_stream_connect () is established. */
  void (*on_open) (MrStreamHandler *handler, MrStream *stream);
  /* @bytes are borrowed. */
  void (*on_data) (MrStreamHandler *handler, MrStream *stream, MrText bytes);
  /* The last callback: the stream is closed and must not be used again. */
  void (*on_end) (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end);
};

/* Connecting to a target takes one round trip plus about 6 ms at the target.  A connection that
 * takes longer than this timeout will not be established. */
#define MR_CONNECT_TIMEOUT (400 * MR_MS)

/* Starts to connect.  NULL with a status message if that fails immediately. */
MrStream *mr_stream_connect (MrLoop *loop, MrStreamHandler *handler, const char *ip, int port);

/* Sets after how many seconds without a sign of the peer the connection ends, 2 or more. */
void mr_stream_set_loss_timeout (MrStream *stream, int seconds);

/* Replaces the handler. */
void mr_stream_set_handler (MrStream *stream, MrStreamHandler *handler);

/* TRUE if a connection opened by mr_stream_connect () was established, even if it was reset before
 * on_open () could be called, in which case it ends with MR_STREAM_REFUSED.  May also be called
 * from within on_end (). */
gboolean mr_stream_was_established (const MrStream *stream);

/* Writes as much as the kernel accepts and buffers the rest. */
void mr_stream_write (MrStream *stream, MrText bytes);

/* Bytes that the kernel has accepted so far, and bytes that are still buffered here. */
guint64 mr_stream_sent_bytes (const MrStream *stream);
gsize mr_stream_buffered_bytes (const MrStream *stream);
/* Bytes that the kernel has accepted and that the peer has not acknowledged. */
gsize mr_stream_unacknowledged_bytes (const MrStream *stream);

/* FALSE: on_data () waits, and so does the peer once the kernel's buffers are full. */
void mr_stream_set_reading (MrStream *stream, gboolean reading);

/* TRUE if the kernel has received bytes that on_data () has not been called with yet. */
gboolean mr_stream_has_unread_bytes (const MrStream *stream);

/* Round-trip time to the peer as measured by the kernel; 0 if unknown. */
MrTime mr_stream_round_trip (const MrStream *stream);

/* Ends the connection in this direction once the buffered bytes are written; nothing may be written
 * afterwards.  on_data () is still called. */
void mr_stream_end_writing (MrStream *stream);

/* Closes the connection and drops the buffered bytes. */
void mr_stream_close (MrStream *stream);

/* Listens on @ip:@port.  @on_accept receives each new stream, which has no handler yet. */
MrListener *mr_listener_new (MrLoop *loop,
                             const char *ip,
                             int port,
                             void (*on_accept) (void *user, MrStream *stream),
                             void *user);
/* As mr_listener_new (), for connections that are no streams: @on_socket takes ownership of each
 * new socket, which is non-blocking. */
MrListener *mr_listener_new_for_sockets (
    MrLoop *loop, const char *ip, int port, void (*on_socket) (void *user, int fd), void *user);
/* Accepts the connections that are established by then, so that none of them is reset. */
void mr_listener_close (MrListener *listener);
