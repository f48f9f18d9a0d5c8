/* HTTP/1.1 server for callers.
 *
 * A connection carries one request at a time, limited in size and time, and is closed only when
 * no request can be lost by it.  The host gets complete requests and answers each exactly once,
 * at any time, unless disconnected () reports that the caller has closed its connection. */
#pragma once

#include "configuration.h"
#include "http_message.h"
#include "loop.h"

typedef struct _MrCallerServer MrCallerServer;
typedef struct _MrCallerServerHost MrCallerServerHost;
typedef struct _MrCaller MrCaller;

struct _MrCallerServerHost
{
  /* A complete request.  @request remains valid until it is answered.  @first_byte_at: when its
   * first byte arrived. */
  void (*request) (MrCallerServerHost *host,
                   MrCaller *caller,
                   const MrHttpParser *request,
                   MrTime first_byte_at);
  /* The caller of an unanswered request has disconnected; it must not be answered.  A caller that
   * only closes its side of the connection has, too: the two cannot be told apart until something
   * is sent, and the work of callers that have given up has to end. */
  void (*disconnected) (MrCallerServerHost *host, MrCaller *caller);
};

/* Listens on @ip:@port.  Returns NULL and sets the status message on error. */
MrCallerServer *
mr_caller_server_new (MrCallerServerHost *host, MrLoop *loop, const char *ip, int port);
/* To be called after the loop was freed. */
void mr_caller_server_free (MrCallerServer *server);

void mr_caller_server_set_limits (MrCallerServer *server, const MrCallerLimits *limits);

/* Announces from now on that the connection will be closed, in every response that no pipelined
 * bytes follow.  Requests are still read. */
void mr_caller_server_drain (MrCallerServer *server);
/* Accepts the connections that are established, stops listening, and closes connections without a
 * request.  Requests of which the kernel has received bytes are still read. */
void mr_caller_server_close (MrCallerServer *server);

/* Requests that were refused because they are not valid HTTP. */
guint64 mr_caller_server_malformed_requests (const MrCallerServer *server);
guint mr_caller_server_connections (const MrCallerServer *server);
/* Requests that were read and are not answered. */
guint mr_caller_server_open_requests (const MrCallerServer *server);
typedef void (*MrOpenRequestFunc) (MrCaller *caller, const MrHttpParser *request, gpointer user);
/* @visit may answer its caller; @request is valid until then. */
void mr_caller_server_foreach_open (const MrCallerServer *server,
                                    MrOpenRequestFunc visit,
                                    gpointer user);
/* Bytes of answers that the kernel has not accepted yet. */
gsize mr_caller_server_unwritten_bytes (const MrCallerServer *server);

/* The host's data for the caller's current request. */
void mr_caller_set_user (MrCaller *caller, gpointer user);
gpointer mr_caller_user (const MrCaller *caller);

/* Round-trip time to the caller as the kernel has measured it by the first use of this
 * function; 0 if unknown. */
MrTime mr_caller_round_trip (MrCaller *caller);

/* @fields: complete header lines, each with its line end; framing fields are added here. */
void mr_caller_answer (MrCaller *caller, int status, MrText fields, MrText body);

/* Handles what is due; returns when to be called next. */
MrTime mr_caller_server_tick (MrCallerServer *server, MrTime now);
