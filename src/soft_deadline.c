#include "soft_deadline.h"

/* Round trips of a call: one to connect, one for the request and its response. */
static const int ROUND_TRIPS = 2;
static const MrTime ROUND_TRIP_DEFAULT = 6 * MR_MS;
/* Estimate before the first measurement, and limits of later estimates. */
static const MrTime OVERHEAD_DEFAULT = 12 * MR_MS;
static const MrTime OVERHEAD_MIN = 4 * MR_MS;
static const MrTime OVERHEAD_MAX = 30 * MR_MS;
/* Weight of a new sample, and how many deviations the estimate lies above the mean. */
static const double WEIGHT = 0.1;
static const double DEVIATIONS = 2;

void
mr_response_overhead_add (MrResponseOverhead *overhead, MrTime sample)
{
  double sample_us = (double) MAX (sample, 1);
  if (overhead->mean == 0)
    {
      overhead->mean = (double) OVERHEAD_DEFAULT / (1 + DEVIATIONS);
      overhead->deviation = overhead->mean;
    }
  double error = sample_us - overhead->mean;
  overhead->mean += WEIGHT * error;
  overhead->deviation += WEIGHT * (ABS (error) - overhead->deviation);
}

MrTime
mr_response_overhead_estimate (const MrResponseOverhead *overhead)
{
  if (overhead->mean == 0)
    return OVERHEAD_DEFAULT;
  return CLAMP ((MrTime) (overhead->mean + DEVIATIONS * overhead->deviation), OVERHEAD_MIN,
                OVERHEAD_MAX);
}

/* Time that the caller spent before the request arrived: on name resolution, connecting, an
 * earlier attempt.  It is inferred from the deadline, on the assumption that the caller counts
 * down from the route's time limit.  More than half of the latency goal is ignored, since the
 * caller may have chosen a shorter deadline of its own. */
static MrTime
S_time_spent (const MrSoftDeadlineParams *params)
{
  MrTime spent = params->time_limit - params->remaining;
  return spent > 0 && spent <= params->latency_goal / 2 ? spent : 0;
}

MrTime
mr_soft_deadline (const MrSoftDeadlineParams *params)
{
  MrTime round_trip = params->round_trip ? params->round_trip : ROUND_TRIP_DEFAULT;
  MrTime before_and_after = MAX (ROUND_TRIPS * round_trip, S_time_spent (params) + round_trip);
  return MAX (params->latency_goal - before_and_after - params->response_overhead,
              params->latency_goal / 2);
}
