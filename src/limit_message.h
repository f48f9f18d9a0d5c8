/* Messages between daemons about the rate limits of organisations (docs/PEER-PROTOCOL.md, type
 * 14). */
#pragma once

#include "document.h"

typedef enum
{
  MR_LIMIT_ALIVE,   /* the sender speaks this protocol and its event loop runs */
  MR_LIMIT_ASK,     /* an entry asks the counter for tokens */
  MR_LIMIT_GRANT,   /* the counter's reply */
  MR_LIMIT_ACQUIRE, /* asks a voter for its vote to count the organisation */
  MR_LIMIT_RELEASE, /* a voter's reply to ACQUIRE, or a vote returned to it */
} MrLimitMessageKind;

typedef struct
{
  MrLimitMessageKind kind;
  guint64 incarnation; /* of the sender; rises with each start, unless its clock was set back */
  guint64 number;      /* of ASK and ACQUIRE; the reply repeats it */
  char organisation[MR_NAME_MAX + 1];
  guint wanted;     /* of ASK: tokens */
  guint in_advance; /* of ASK: how many of @wanted no request waits for */
  guint returned;   /* of ASK: tokens of requests that did not run */
  guint granted;    /* of GRANT: tokens, at most as many as wanted */
  gint64 wait_us;   /* of GRANT: time until the next free token, if fewer than wanted */
  gboolean
      was_counting; /* GRANT: the sender counts it; RELEASE: TRUE returns a vote, FALSE replies */
  double tokens;    /* of RELEASE: left in the bucket; below 0: vote refused, or never used */
} MrLimitMessage;
