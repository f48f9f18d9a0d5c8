/* TCP byte streams on a task's loop.
 *
 * libwebsockets polls the descriptors; reads and writes are done here, because
 * a relay has to know what its raw-socket role hides: whether a connection
 * ended in order or was reset, and whether a single byte of a request has left
 * (docs/design/platform.md).  A stream never calls back after it was closed. */
#pragma once

#include "clock.h"
#include "loop.h"
#include "text.h"

typedef struct _MrStream MrStream;
typedef struct _MrStreamHandler MrStreamHandler;
typedef struct _MrListener MrListener;

typedef enum
{
  MR_STREAM_REFUSED, /* the connection was never made; nothing was sent */
  MR_STREAM_EOF,     /* the peer ended its side in order */
  MR_STREAM_RESET,
} MrStreamEnd;

/* Vtable; first member of whoever uses the stream. */
struct _MrStreamHandler
{
  /* A connection that this process opened stands. */
  void (*on_open) (MrStreamHandler *host, MrStream *stream);
  /* @bytes are borrowed. */
  void (*on_data) (MrStreamHandler *host, MrStream *stream, MrText bytes);
  /* Last call; the stream is closed and must not be used again. */
  void (*on_end) (MrStreamHandler *host, MrStream *stream, MrStreamEnd end);
};

/* A connection to a target is made in one round trip and some 6 ms of the target's; one
 * that takes this long meets a dead end. */
#define MR_CONNECT_TIMEOUT (400 * MR_MS)

/* Starts to connect; NULL with a message if the system refuses at once. */
MrStream *mr_stream_connect (MrLoop *loop, MrStreamHandler *host, const char *ip, int port);

/* Hands over who is called back. */
void mr_stream_set_handler (MrStream *stream, MrStreamHandler *host);

/* TRUE if the connection that this process opened has stood, even if it was reset before
 * opened () could be called; to be asked from ended () on as well. */
gboolean mr_stream_was_established (const MrStream *stream);

/* Writes what the kernel takes and buffers the rest. */
void mr_stream_write (MrStream *stream, MrText bytes);

/* Bytes that the kernel has taken so far, and that still wait. */
guint64 mr_stream_sent_bytes (const MrStream *stream);
gsize mr_stream_buffered_bytes (const MrStream *stream);

/* Round trip to the peer, as the kernel has measured it; 0: not known. */
MrTime mr_stream_round_trip (const MrStream *stream);

/* Closes; buffered bytes are dropped. */
void mr_stream_close (MrStream *stream);

/* Listens on @ip:@port; @accepted gets each new stream without a host. */
MrListener *mr_listener_new (MrLoop *loop,
                             const char *ip,
                             int port,
                             void (*accepted) (void *user, MrStream *stream),
                             void *user);
void mr_listener_close (MrListener *listener);
