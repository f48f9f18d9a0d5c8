/* HTTP/1.1 and HTTP/2 server on a task's loop: receives complete requests and sends replies.
 *
 * A reply may be sent later and in any order, by the id of its request.  A reply to a caller that
 * has disconnected is dropped.  Ids are not reused. */
#pragma once

#include "loop.h"
#include "text.h"

typedef struct _MrHttpServer MrHttpServer;
typedef struct _MrHttpHandler MrHttpHandler;

/* A request; valid only during the callback. */
typedef struct
{
  guint64 id;
  MrText method; /* "GET", "POST", "PUT" or "DELETE" */
  MrText path;   /* decoded, without the query string */
  MrText body;
  GHashTable *query_args; /* char* -> char*, decoded query string */
  gboolean first_on_connection;
} MrHttpRequest;

/* Callbacks; embedded in the struct that uses the server. */
struct _MrHttpHandler
{
  void (*on_request) (MrHttpHandler *handler, const MrHttpRequest *request);
  /* The caller of request @id has disconnected before the reply was sent; may be NULL. */
  void (*on_disconnect) (MrHttpHandler *handler, guint64 id);
};

typedef struct
{
  int status;
  const char *content_type;  /* NULL: application/json */
  guint retry_after_seconds; /* 0 sends no Retry-After header */
  MrText body;
} MrHttpReply;

/* Listens on @ip:@port.  Requests with a body over @max_body_bytes get status 413. */
MrHttpServer *mr_http_server_new (
    MrLoop *loop, MrHttpHandler *handler, const char *ip, int port, size_t max_body_bytes);
void mr_http_server_free (MrHttpServer *server);

/* Sends the reply to request @id; may be called from within on_request (). */
void mr_http_server_reply (MrHttpServer *server, guint64 id, const MrHttpReply *reply);

/* Number of requests that were received and whose reply is not completely sent. */
guint mr_http_server_pending_count (const MrHttpServer *server);

/* New connections beyond @max_connections are closed at once; 0 means no limit. */
void mr_http_server_set_max_connections (MrHttpServer *server, guint max_connections);
guint mr_http_server_connection_count (const MrHttpServer *server);

/* Closes the connection of request @id without a reply; for fault injection in test servers. */
void mr_http_server_drop (MrHttpServer *server, guint64 id);

/* Returns the query argument @name of @request, or @fallback if there is none. */
const char *
mr_http_query_arg (const MrHttpRequest *request, const char *name, const char *fallback);
