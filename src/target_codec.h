/* Requests to and answers of targets, as bytes (docs/TARGET-PROTOCOL.md). */
#pragma once

#include "dispatch.h"
#include "http_client.h"

typedef struct
{
  MrCallResult end;
  void *parsed; /* what end's texts and hits borrow */
} MrTargetReply;

/* Path and query string of a call; @prefix: first digits of the incarnation. */
char *mr_target_call_path (const MrShardCall *start, const char *prefix, MrTime now);

/* Reads a target's answer to a call; anything malformed is MR_CALL_ERROR, for
 * an order MR_CALL_BROKEN, since nothing is known of it then. */
void mr_target_reply_parse (const MrHttpResponse *answer,
                            gboolean order,
                            const char *prefix,
                            MrTargetReply *reply);
void mr_target_reply_clear (MrTargetReply *reply);
