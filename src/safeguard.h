/* Switches by which tests show that a safeguard is needed.
 *
 * In a normal build MR_SAFEGUARD () is the constant true and costs nothing.
 * The test library is built with MR_TEST_SAFEGUARDS; there a test switches one
 * safeguard off and expects its promise to be broken. */
#pragma once

#include <stdbool.h>

typedef enum
{
  MR_GUARD_SNAPSHOT,      /* replies of another snapshot are discarded */
  MR_GUARD_REPLY_ID,      /* replies are matched by call id */
  MR_GUARD_COUNT_ONCE,    /* a shard's duplicate partial counts once */
  MR_GUARD_COVERAGE,      /* coverage is computed from what was merged */
  MR_GUARD_LEAVING,       /* leaving targets get no new calls */
  MR_GUARD_NOT_RUN,       /* "not run" only while nothing was sent */
  MR_GUARD_ORDER_RECORD,  /* a ticket that was dispatched never is again */
  MR_GUARD_TICKET_OWNER,  /* only the issuing incarnation dispatches */
  MR_GUARD_TICKET_EXPIRY, /* an expired ticket is refused */
  MR_GUARD_MONOTONIC,     /* an object never goes back to an older version */
  MR_GUARD_VALIDATE,      /* an invalid document is not accepted */
  MR_GUARD_CONDITIONAL,   /* platform writes name the version they replace */
  MR_GUARD_REFUTE,        /* a member refutes a false suspicion */
  MR_GUARD_DRAIN,         /* a planned stop waits for what is in flight */
  MR_GUARD_RETRY_BUDGET,  /* hedges and retries draw on a budget */
  MR_GUARD_INCARNATION,   /* the newer start of a target wins */
  MR_GUARD_QUARANTINE,    /* contents under which targets ended are held back */
  MR_GUARD_EVACUATION,    /* targets of an evacuated failure domain get no new calls */
  MR_GUARD_COLD_SHARE,    /* what a cold target bears is shared out between daemons */
  MR_GUARD_HOMES,         /* requests go to targets in their route's home regions only */
  MR_GUARD_COUNT,
} MrGuard;

#ifdef MR_TEST_SAFEGUARDS
extern unsigned mr_guards_off;
#define MR_SAFEGUARD(guard) (!(mr_guards_off & (1U << (guard))))
#else
#define MR_SAFEGUARD(guard) true
#endif
