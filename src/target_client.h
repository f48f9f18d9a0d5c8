/* HTTP/1.1 connections to targets: one call at a time on each, kept for reuse
 * only while both ends agree where the last message ended.
 *
 * Whatever a target sends that is not the whole answer to the call that is out
 * is never handed on: an answer with another id is passed over, bytes behind an
 * answer or without a call close the connection. */
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
  /* A call has ended; @answer, a whole response or NULL, passes to the host. */
  void (*call_ended) (MrTargetClientHost *host,
                      guint64 id,
                      MrCallOutcome outcome,
                      MrHttpParser *answer);
  void (*probed) (MrTargetClientHost *host, const char *target, gboolean answered);
};

typedef struct
{
  guint64 id;
  const MrTargetState *target;
  MrText request;    /* the whole request */
  MrText request_id; /* that the answer has to echo */
  gboolean bodiless; /* the answer has no body (HEAD) */
  gboolean idempotent;
  gboolean is_part; /* of a merged answer: anything but a success is a failure */
} MrTargetCall;

typedef struct
{
  guint64 connections;         /* opened, ever */
  guint64 reused;              /* calls on a connection that had carried one before */
  guint64 unmatched_responses; /* answers to other requests */
  guint64 stray_byte_closes;   /* connections closed for bytes that belong to no call */
  guint64 repeated_probes;     /* probes made again, since their connection was reset */
} MrTargetClientCounts;

MrTargetClient *
mr_target_client_new (MrTargetClientHost *host, MrLoop *loop, const MrDialect *dialect);
/* After the loop was freed. */
void mr_target_client_free (MrTargetClient *client);

void mr_target_client_call (MrTargetClient *client, MrTime now, const MrTargetCall *call);
/* Closes the call's connection; ended () is not called. */
void mr_target_client_close_call (MrTargetClient *client, guint64 id);
/* The same, if nothing of the call has been sent; FALSE if it stays out. */
gboolean mr_target_client_withdraw_call (MrTargetClient *client, guint64 id);
void mr_target_client_probe (MrTargetClient *client, MrTime now, const MrTargetState *target);
/* Closes the idle connections to @target. */
void mr_target_client_reconnect (MrTargetClient *client, const MrTargetState *target);
/* Those, and the probes that are out, whose end is not reported: another process
 * may have the id by then. */
void mr_target_client_remove_target (MrTargetClient *client, const MrTargetState *target);

/* Reports what ended at once, closes what has been idle or connecting for too
 * long; returns when to come back. */
MrTime mr_target_client_tick (MrTargetClient *client, MrTime now);

MrTargetClientCounts mr_target_client_counts (const MrTargetClient *client);
