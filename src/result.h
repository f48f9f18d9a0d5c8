/* Result codes that callers see; table in docs/RESULT-CODES.md.
 *
 * The numbers are stable.  1xx: served.  2xx: refused, did not run.  3xx: may have run.  4xx:
 * the request is invalid, did not run. */
#pragma once

#include <stdbool.h>

typedef enum
{
  MR_RESULT_COMPLETE = 100, /* complete answer, coverage 1 */
  MR_RESULT_PARTIAL = 101,  /* the answer states what is missing */
  MR_RESULT_DONE = 102,     /* the order ran exactly once */

  MR_RESULT_OVERLOADED = 200,     /* refused before anything was sent */
  MR_RESULT_DEADLINE = 201,       /* the deadline cannot be met; nothing was sent */
  MR_RESULT_NOT_READY = 202,      /* this daemon has no configuration yet */
  MR_RESULT_LEAVING = 203,        /* this daemon is stopping */
  MR_RESULT_NO_TARGET = 204,      /* no usable target; nothing was sent */
  MR_RESULT_TARGET_REFUSED = 205, /* the target states that it did not run */
  MR_RESULT_TICKET_EXPIRED = 206, /* expired without having been dispatched */
  MR_RESULT_ORDERS_FULL = 207,    /* the table of order records is full; nothing was sent */

  MR_RESULT_UNKNOWN = 300,     /* sent, but not answered: may have run */
  MR_RESULT_HOME_GONE = 301,   /* the ticket's issuer cannot be reached */
  MR_RESULT_IN_FLIGHT = 302,   /* the order of this ticket is in progress */
  MR_RESULT_RECORD_GONE = 303, /* the ticket's record has expired */

  MR_RESULT_BAD_REQUEST = 400,
  MR_RESULT_NO_SERVICE = 401,
  MR_RESULT_NO_TICKET = 402,
  MR_RESULT_BAD_TICKET = 403,
  MR_RESULT_TICKET_REUSED = 404, /* the ticket was used with another body */
  MR_RESULT_NO_PATH = 405,
  MR_RESULT_BAD_METHOD = 406,
  MR_RESULT_TOO_LARGE = 407,
  MR_RESULT_QUARANTINED = 408, /* requests with this content have repeatedly ended targets */
} MrResult;

/* Whether the request ran, as far as the result tells the caller. */
typedef enum
{
  MR_RAN_YES,
  MR_RAN_NO,
  MR_RAN_UNKNOWN,
} MrRan;

const char *mr_result_name (MrResult result);
int mr_result_http_status (MrResult result);
MrRan mr_result_ran (MrResult result);
const char *mr_ran_name (MrRan ran);
