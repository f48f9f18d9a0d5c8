/* HTTP/1.1 client on a task's loop, with numbered lanes.
 *
 * A lane is a client vhost.  libwebsockets keeps at most one warm connection
 * to a server for each vhost and queues further calls behind it, so a lane
 * carries one call to one server at a time; whoever uses the client picks a
 * free lane for each call, and the lane is then in effect the connection. */
#pragma once

#include "loop.h"
#include "text.h"

typedef struct _MrHttpClient MrHttpClient;
typedef struct _MrHttpCall MrHttpCall;

typedef enum
{
  MR_HTTP_OK,              /* status and body are whole */
  MR_HTTP_CONNECT_FAILED,  /* no connection: nothing was sent */
  MR_HTTP_CONNECTION_LOST, /* the connection ended before a whole answer */
} MrHttpOutcome;

typedef struct
{
  MrHttpOutcome outcome;
  int status;
  MrText body;
} MrHttpResponse;

/* Returns FALSE to have the connection closed and not used again. */
typedef gboolean (*MrHttpResponseFunc) (void *user, const MrHttpResponse *answer);

typedef struct
{
  const char *method; /* "GET", "POST", "PUT" or "DELETE" */
  const char *ip;
  int port;
  guint connection_slot;
  gboolean new_connection; /* on a connection of its own, closed afterwards */
  const char *path;        /* encoded, with the query string */
  MrText body;
  MrHttpResponseFunc on_response; /* called once, never from within mr_http_client_call () */
  void *user;
} MrHttpCallInfo;

/* @lanes: highest number of lanes; each costs a few kB. */
MrHttpClient *mr_http_client_new (MrLoop *loop, guint lanes);
/* To be called after the loop was freed; open calls end as broken before. */
void mr_http_client_free (MrHttpClient *client);

/* Returns NULL if the call could not be started; @done is then not called, and
 * @maybe_sent, which may be NULL, says whether bytes may have left all the same. */
MrHttpCall *
mr_http_client_call (MrHttpClient *client, const MrHttpCallInfo *info, gboolean *maybe_sent);

/* Closes the call's connection; @done is not called any more.  Not to be called
 * from within @done. */
void mr_http_client_abort (MrHttpCall *call);

/* Closes the lane's warm connection to @ip:@port, if it has one. */
void mr_http_client_close_idle (MrHttpClient *client, const char *ip, int port, guint lane);
