/* HTTP/1.1 server side for callers: one request at a time on a connection,
 * bounded in size and time, closed only where no request can be lost.
 *
 * Requests are handed over whole; the host answers each exactly once, at any
 * time, or hears that its caller has gone. */
#pragma once

#include "configuration.h"
#include "http_message.h"
#include "loop.h"

typedef struct _MrCallerServer MrCallerServer;
typedef struct _MrCallerServerHost MrCallerServerHost;
typedef struct _MrCaller MrCaller;

struct _MrCallerServerHost
{
  /* A whole request; @request is borrowed until it is answered.  @began: when
   * its first byte came. */
  void (*request) (MrCallerServerHost *host,
                   MrCaller *caller,
                   const MrHttpParser *request,
                   MrTime began);
  /* The caller of an unanswered request has gone; it must not be answered. */
  void (*disconnected) (MrCallerServerHost *host, MrCaller *caller);
};

/* NULL with a message if the address can't be had. */
MrCallerServer *
mr_caller_server_new (MrCallerServerHost *host, MrLoop *loop, const char *ip, int port);
/* After the loop was freed. */
void mr_caller_server_free (MrCallerServer *server);

void mr_caller_server_set_limits (MrCallerServer *server, const MrCallerLimits *limits);

/* From now on answers say that the connection closes after them. */
void mr_caller_server_drain (MrCallerServer *server);
/* Accepts nobody any more and closes connections without a request. */
void mr_caller_server_close (MrCallerServer *server);

guint mr_caller_server_connections (const MrCallerServer *server);

/* What the host keeps with the caller's request. */
void mr_caller_set_user (MrCaller *caller, gpointer user);
gpointer mr_caller_user (const MrCaller *caller);

/* Round trip to the caller, as measured when it connected; 0: not known. */
MrTime mr_caller_round_trip (MrCaller *caller);

/* @fields: whole header lines, each with its line end, without framing. */
void mr_caller_answer (MrCaller *caller, int status, MrText fields, MrText body);

/* Carries out what is due; returns when to come back. */
MrTime mr_caller_server_tick (MrCallerServer *server, MrTime now);
