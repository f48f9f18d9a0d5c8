/* How long enough parts of a search are waited for the rest, so that the answer is with its
 * caller in time: from the route's aim goes what the caller had spent before the request
 * arrived, the answer's way back, and what lies between the decision to answer and the last
 * byte, which each daemon measures by itself.  Pure decisions. */
#pragma once

#include "clock.h"

/* Time from when an answer is due to its last byte at the socket. */
typedef struct
{
  double mean; /* us; 0: nothing measured yet */
  double deviation;
} MrResponseOverhead;

void mr_response_overhead_add (MrResponseOverhead *finish, MrTime took);
/* What most answers keep within. */
MrTime mr_response_overhead_estimate (const MrResponseOverhead *finish);

typedef struct
{
  MrTime latency_goal;
  MrTime time_limit; /* of the route, which a caller who keeps to it counts down from */
  MrTime remaining;  /* until the caller's deadline, when the request arrived */
  MrTime round_trip; /* to the caller; 0: not known */
  MrTime response_overhead;
} MrSoftDeadlineParams;

/* From the arrival; half of the aim at least. */
MrTime mr_soft_deadline (const MrSoftDeadlineParams *terms);
