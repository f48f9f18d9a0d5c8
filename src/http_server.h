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

/* Number of requests that were received and whose reply is not completely sent.  The library may
 * still hold the last bytes of others; mr_http_server_unwritten_bytes () counts these. */
guint mr_http_server_pending_count (const MrHttpServer *server);
typedef struct
{
  guint64 id;
  MrTime received_at;
  gboolean answered; /* its reply is being sent */
} MrHttpPendingRequest;
/* @visit may reply. */
void mr_http_server_foreach_pending (MrHttpServer *server,
                                     void (*visit) (const MrHttpPendingRequest *request,
                                                    void *user),
                                     void *user);

/* Ends of a planned stop.  From mr_http_server_drain () on, replies announce the end of their
 * connection.  mr_http_server_close () accepts the connections that are established and stops
 * listening; from then on mr_http_server_tick () closes connections without a request, except
 * those with bytes that were not read yet.  Requests are still received on the others. */
void mr_http_server_drain (MrHttpServer *server);
void mr_http_server_close (MrHttpServer *server);
MrTime mr_http_server_tick (MrHttpServer *server, MrTime now);

/* Number of open connections of all kinds. */
guint mr_http_server_open_count (const MrHttpServer *server);
/* Bytes of replies that the kernel has not accepted yet; those that the library holds count as one
 * for each connection. */
gsize mr_http_server_unwritten_bytes (const MrHttpServer *server);

/* New connections beyond @max_connections are closed at once; 0 means no limit. */
void mr_http_server_set_max_connections (MrHttpServer *server, guint max_connections);
/* Number of connections that have sent a request. */
guint mr_http_server_connection_count (const MrHttpServer *server);

/* Closes the connection of request @id without a reply; for fault injection in test servers. */
void mr_http_server_drop (MrHttpServer *server, guint64 id);

/* Returns the query argument @name of @request, or @fallback if there is none. */
const char *
mr_http_query_arg (const MrHttpRequest *request, const char *name, const char *fallback);
