/* Switches with which tests show that a safeguard is needed.
 *
 * In a normal build MR_SAFEGUARD () is the constant true and costs nothing.  The test library is
 * built with MR_TEST_SAFEGUARDS; its tests switch off one safeguard and expect the property that it
 * protects to be violated. */
#pragma once

#include <stdbool.h>

typedef enum
{
  MR_GUARD_SNAPSHOT,      /* replies from another snapshot are discarded */
  MR_GUARD_REPLY_ID,      /* replies are matched by call id */
  MR_GUARD_COUNT_ONCE,    /* a shard's duplicate partial counts once */
  MR_GUARD_COVERAGE,      /* coverage is computed from what was merged */
  MR_GUARD_LEAVING,       /* leaving targets get no new calls */
  MR_GUARD_NOT_RUN,       /* "not run" only while nothing was sent */
  MR_GUARD_ORDER_RECORD,  /* a ticket is dispatched at most once */
  MR_GUARD_TICKET_OWNER,  /* only the issuing incarnation dispatches */
  MR_GUARD_TICKET_EXPIRY, /* an expired ticket is refused */
  MR_GUARD_MONOTONIC,     /* an object is never replaced by an older version */
  MR_GUARD_VALIDATE,      /* an invalid document is not accepted */
  MR_GUARD_CONDITIONAL,   /* writes to the platform name the version that they replace */
  MR_GUARD_REFUTE,        /* a member refutes a false suspicion */
  MR_GUARD_DRAIN,         /* a planned stop waits for requests in flight */
  MR_GUARD_RESEND_BUDGET, /* hedges and retries draw on a budget */
  MR_GUARD_INCARNATION,   /* the most recently started process of a target wins */
  MR_GUARD_QUARANTINE,    /* contents that crash targets are quarantined */
  MR_GUARD_EVACUATION,    /* targets of an evacuated failure domain get no new calls */
  MR_GUARD_COLD_SHARE,    /* the call rate of a cold target is divided between daemons */
  MR_GUARD_STORE_ERA,     /* what a restored store assigns is above what it assigned before */
  MR_GUARD_CONFIGURATION, /* a configuration is never replaced by one with a lower number */
  MR_GUARD_HOMES,         /* requests go only to targets in their route's home regions */
  MR_GUARD_LIMIT_FENCE,   /* tokens are granted only while enough of the voters answer */
  MR_GUARD_LIMIT_ACQUIRE, /* an organisation is counted only with the votes of a majority */
  MR_GUARD_LIMIT_BALANCE, /* tokens granted in advance are few and expire */
  MR_GUARD_FAIR_SHARE,    /* where room is short, organisations get equal shares */
  MR_GUARD_STOP_ANSWERS,  /* a planned stop answers every request that was read */
  MR_GUARD_COUNT,
} MrGuard;

#ifdef MR_TEST_SAFEGUARDS
extern unsigned mr_guards_off;
#define MR_SAFEGUARD(guard) (!(mr_guards_off & (1U << (guard))))
#else
#define MR_SAFEGUARD(guard) true
#endif
