/* Soft deadline of a search: once enough shards have answered, how long to wait for the rest.
 *
 * It is set so that the response reaches the caller within the route's latency goal.  From the
 * goal are subtracted the time that the caller spent before the request arrived, the network
 * time of the response, and the response overhead, which each daemon measures itself.  No
 * function here reads a clock. */
#pragma once

#include "clock.h"

/* Running estimate of the time from the decision to respond until the last byte is written to
 * the socket, in microseconds. */
typedef struct
{
  double mean;      /* 0: nothing measured yet */
  double deviation; /* mean absolute deviation */
} MrResponseOverhead;

void mr_response_overhead_add (MrResponseOverhead *overhead, MrTime sample);
/* An upper estimate, which most responses stay within. */
MrTime mr_response_overhead_estimate (const MrResponseOverhead *overhead);

typedef struct
{
  MrTime latency_goal;
  MrTime time_limit;        /* of the route; the caller's default deadline */
  MrTime remaining;         /* until the caller's deadline, when the request arrived */
  MrTime round_trip;        /* to the caller; 0: unknown */
  MrTime response_overhead; /* estimate */
} MrSoftDeadlineParams;

/* Returns the time from the request's arrival to the soft deadline, at least half of the
 * latency goal. */
MrTime mr_soft_deadline (const MrSoftDeadlineParams *params);
