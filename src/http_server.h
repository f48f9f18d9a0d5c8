/* HTTP/1.1 and HTTP/2 server on a task's loop: whole requests in, replies out.
 *
 * A reply may be given later, in any order, by the request's id; a reply to a
 * caller that has gone is dropped.  Ids are not reused. */
#pragma once

#include "loop.h"
#include "text.h"

typedef struct _MrHttpServer MrHttpServer;
typedef struct _MrHttpHandler MrHttpHandler;

/* One request; borrowed for the length of the callback. */
typedef struct
{
  guint64 id;
  MrText method; /* "GET", "POST", "PUT" or "DELETE" */
  MrText path;   /* decoded, without the query string */
  MrText body;
  GHashTable *query_args;       /* char* -> char*, decoded query string */
  gboolean first_on_connection; /* first request of its connection */
} MrHttpRequest;

/* Vtable; the server's user embeds it. */
struct _MrHttpHandler
{
  void (*on_request) (MrHttpHandler *host, const MrHttpRequest *request);
  /* The caller of @id has gone before its reply; may be NULL. */
  void (*on_disconnect) (MrHttpHandler *host, guint64 id);
};

typedef struct
{
  int status;
  const char *content_type;  /* content type; NULL: application/json */
  guint retry_after_seconds; /* seconds; 0 sends no such header */
  MrText body;
} MrHttpReply;

/* Listens on @ip:@port. Bodies over @max_body bytes are answered 413. */
MrHttpServer *
mr_http_server_new (MrLoop *loop, MrHttpHandler *host, const char *ip, int port, size_t max_body);
void mr_http_server_free (MrHttpServer *server);

/* Answers request @id; may be called from within on_request. */
void mr_http_server_reply (MrHttpServer *server, guint64 id, const MrHttpReply *reply);

/* Requests that were read and have no reply sent yet. */
guint mr_http_server_pending_count (const MrHttpServer *server);

/* Connections over @most are closed as they arrive; 0: no bound. */
void mr_http_server_set_max_connections (MrHttpServer *server, guint most);
guint mr_http_server_connection_count (const MrHttpServer *server);

/* Closes the connection of @id without a reply; for stand-ins' faults. */
void mr_http_server_drop (MrHttpServer *server, guint64 id);

/* Argument @name of @request, or @fallback. */
const char *
mr_http_query_arg (const MrHttpRequest *request, const char *name, const char *fallback);
