/* HTTP/1.1 client for targets.
 *
 * Each connection carries one call at a time and is kept for reuse only while both ends agree
 * where the last response ended.
 *
 * A response is limited in its head, its body and the bytes around it, and all of them together in
 * their memory, so that targets that send without end take neither the memory nor the
 * time of the process.
 *
 * Only the complete response to the outstanding call is passed to the host.  A response with
 * another request id is skipped; bytes after a response, or on a connection without a call,
 * close the connection.
 *
 * A faulty target may send a second copy of a response at any later time.  So that it cannot be
 * taken for the response to a later call, a connection is closed after a response that has no
 * request id, or that refuses the call, which may be sent again with the same id; and a call does
 * not use a connection that has carried its id, as far as that is remembered. */
#pragma once

#include "call.h"
#include "clock.h"
#include "dialect.h"
#include "http_message.h"
#include "loop.h"
#include "target.h"

typedef struct _MrTargetClient MrTargetClient;
typedef struct _MrTargetClientHost MrTargetClientHost;

struct _MrTargetClientHost
{
  /* A call has ended.  The host takes ownership of @response, a complete response or NULL. */
  void (*call_ended) (MrTargetClientHost *host,
                      guint64 id,
                      MrCallOutcome outcome,
                      MrHttpParser *response);
  /* A probe has ended.  @answered: TRUE if the target accepts connections. */
  void (*probed) (MrTargetClientHost *host, const char *target, gboolean answered);
};

typedef struct
{
  guint64 id;
  const MrTargetState *target;
  MrText request;    /* serialized request */
  MrText request_id; /* the response must echo it */
  gboolean bodiless; /* HEAD request: the response has no body */
  gboolean idempotent;
  gboolean is_part; /* one shard of a merged answer: any status but 2xx is a failure */
} MrTargetCall;

typedef struct
{
  guint64 connections;         /* opened in total */
  guint64 reused;              /* calls sent on a connection that had carried one before */
  guint64 unmatched_responses; /* responses to other requests, which were skipped */
  guint64 stray_byte_closes;   /* connections closed because of bytes that belong to no call */
  guint64 ambiguous_closes;    /* connections closed after a response of which a late copy could be
                                  taken for the response to a later call */
  guint64 repeated_probes;     /* probes repeated because their connection was reset */
  guint64 oversized_responses; /* calls ended because of the size of their response */
  guint64 malformed_responses; /* calls ended because their response is not valid HTTP or not
                                  signed */
  guint64 evicted_responses;   /* calls ended to free the memory of their response */
} MrTargetClientCounts;

MrTargetClient *
mr_target_client_new (MrTargetClientHost *host, MrLoop *loop, const MrDialect *dialect);
/* To be called after the loop was freed. */
void mr_target_client_free (MrTargetClient *client);

/* Limits the memory of all responses together, from their first byte until the host frees them; 0
 * means no limit.  When it is reached, the call with the largest incomplete one ends as broken. */
void mr_target_client_set_memory_limit (MrTargetClient *client, gsize bytes);

void mr_target_client_call (MrTargetClient *client, MrTime now, const MrTargetCall *call);
/* Closes the connection of call @id; call_ended () is not called. */
void mr_target_client_close_call (MrTargetClient *client, guint64 id);
/* Like mr_target_client_close_call (), but only if no byte of the request has been sent;
 * otherwise returns FALSE, and the call goes on. */
gboolean mr_target_client_withdraw_call (MrTargetClient *client, guint64 id);
void mr_target_client_probe (MrTargetClient *client, MrTime now, const MrTargetState *target);
/* Closes the idle connections to @target. */
void mr_target_client_reconnect (MrTargetClient *client, const MrTargetState *target);
/* Closes the idle connections to @target and cancels its probes without a result, as another
 * process may have the same id by the time they end. */
void mr_target_client_remove_target (MrTargetClient *client, const MrTargetState *target);

/* Reports calls that could not be started or lost their memory and closes connections that have
 * been idle or connecting for too long; returns when to be called next. */
MrTime mr_target_client_tick (MrTargetClient *client, MrTime now);

MrTargetClientCounts mr_target_client_counts (const MrTargetClient *client);
