/* Encodes calls to targets and decodes their responses (docs/TARGET-PROTOCOL.md). */
#pragma once

#include "dispatch.h"
#include "http_client.h"

typedef struct
{
  MrCallResult end;
  void *parsed; /* JSON value that the texts and hits of end refer to */
} MrTargetReply;

/* Returns the path and query string of a call.  @id_prefix: first digits of the incarnation,
 * with which call ids start. */
char *mr_target_call_path (const MrShardCall *call, const char *id_prefix, MrTime now);

/* Decodes a target's response to a call.  A malformed one is MR_CALL_ERROR; for an order it is
 * MR_CALL_BROKEN, as it does not tell whether the order ran. */
void mr_target_reply_parse (const MrHttpResponse *response,
                            gboolean is_order,
                            const char *id_prefix,
                            MrTargetReply *reply);
void mr_target_reply_clear (MrTargetReply *reply);
