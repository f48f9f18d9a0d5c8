#include "soft_deadline.h"

/* For the caller's connection, and for the way of the request and of its answer. */
static const int ROUND_TRIPS = 2;
static const MrTime ROUND_TRIP_DEFAULT = 6 * MR_MS;
/* Until something is measured, and bounds for what is. */
static const MrTime RESERVE_FIRST = 12 * MR_MS;
static const MrTime RESERVE_LEAST = 4 * MR_MS;
static const MrTime RESERVE_MOST = 30 * MR_MS;
/* Weight of a new measurement, and how many times the mean deviation are kept. */
static const double WEIGHT = 0.1;
static const double SPREADS = 2;

void
mr_response_overhead_add (MrResponseOverhead *finish, MrTime took)
{
  double us = (double) MAX (took, 1);
  if (finish->mean == 0)
    {
      finish->mean = (double) RESERVE_FIRST / (1 + SPREADS);
      finish->deviation = finish->mean;
    }
  double off = us - finish->mean;
  finish->mean += WEIGHT * off;
  finish->deviation += WEIGHT * (ABS (off) - finish->deviation);
}

MrTime
mr_response_overhead_estimate (const MrResponseOverhead *finish)
{
  if (finish->mean == 0)
    return RESERVE_FIRST;
  return CLAMP ((MrTime) (finish->mean + SPREADS * finish->deviation), RESERVE_LEAST, RESERVE_MOST);
}

/* What the caller has spent: on an address, a connection, an attempt before this one.  More
 * than half of the aim may be another caller's shorter deadline, and says nothing. */
static MrTime
S_spent (const MrSoftDeadlineParams *terms)
{
  MrTime spent = terms->time_limit - terms->remaining;
  return spent > 0 && spent <= terms->latency_goal / 2 ? spent : 0;
}

MrTime
mr_soft_deadline (const MrSoftDeadlineParams *terms)
{
  MrTime round_trip = terms->round_trip ? terms->round_trip : ROUND_TRIP_DEFAULT;
  MrTime ways = MAX (ROUND_TRIPS * round_trip, S_spent (terms) + round_trip);
  return MAX (terms->latency_goal - ways - terms->response_overhead, terms->latency_goal / 2);
}
