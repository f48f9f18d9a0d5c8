#include "relay_private.h"

#include <math.h>

/* Load of a shard, as the expected time of a call over the time that an answer
 * has, from which its part is left out of some answers, and at which of most.
 * On a site whose shards lose targets until one is asked for 110 % of its slots,
 * everything sent makes every answer late (worth a tenth); each part left out
 * costs its answer a fifth and brings the rest back in time.  Never all: without
 * calls nobody would see that the load has gone. */
static const double LEAVE_OUT_FROM = 0.45;
static const double LEAVE_OUT_FULL = 1.1;
static const double LEAVE_OUT_MOST = 0.85;

/* Calls that are sent to a target beyond its slots wait there, in the order they
 * came; what waits here goes by rank, is given up in time, and shows in the
 * expected wait by which requests are refused.  The fleet together keeps each
 * target's slots filled twice, one daemon two calls at least.  Three times the
 * usual load, on the virtual clock: four calls a daemon where there are 5 slots
 * and 6 daemons earn 0.84 and 0.36 of the worth of the two kinds of search, two
 * calls 0.95 and 0.46; one call is too few on a calm day (0.98 for 1.00). */
static const double SLOTS_FILLED = 2;
static const double CALLS_MIN = 2;

static double
S_most_calls (const MrRelay *relay, const MrTargetState *target, double connections)
{
  double most = floor (connections * relay->shares.connections);
  if (target->slots == 0)
    return most;
  double slots = ceil (target->slots * SLOTS_FILLED * relay->shares.slots);
  return MIN (most, MAX (slots, CALLS_MIN));
}

/* Calls that this daemon may send to one cold target in a span. */
static guint
S_cold_permits (const MrRelay *relay, const MrServiceInfo *info)
{
  if (!info || info->cold_rate <= 0)
    return MR_COLD_UNLIMITED;
  return mr_cold_share_permits (relay->shares.cold,
                                info->cold_rate * relay->cold_limit.rate_factor +
                                    relay->cold_limit.slack);
}

void
mr_relay_update_limits (const MrRelay *relay, const MrActiveRequest *work, TargetGroup *service)
{
  if (!work->configuration)
    return; /* its host sets the limits */
  guint64 version = mr_configuration_version (work->configuration);
  if (service->limits_version == version &&
      service->limits_connection_share == relay->shares.connections &&
      service->limits_cold_share == relay->shares.cold)
    return;
  const MrServiceInfo *info = mr_configuration_find_service (work->configuration, service->name);
  service->limits_version = version;
  service->limits_connection_share = relay->shares.connections;
  service->limits_cold_share = relay->shares.cold;
  service->cold_time = info ? info->cold_time : 0;
  guint permits = S_cold_permits (relay, info);
  for (guint i = 0; i < service->targets->len; i++)
    {
      MrTargetState *target = g_ptr_array_index (service->targets, i);
      double most = info ? info->max_connections_per_target : target->connection_limit;
      mr_concurrency_limit_set_max (&target->limit, S_most_calls (relay, target, most));
      target->cold_permits = permits;
    }
}

guint
mr_relay_group_capacity (const TargetGroup *service, MrTime now, double *room)
{
  guint usable = 0;
  *room = 0;
  for (guint i = 0; i < service->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (service->targets, i);
      if (!mr_target_state_may_become_usable (target, now))
        continue;
      usable++;
      *room += mr_concurrency_limit_calls (&target->limit);
    }
  return usable;
}

/* Time of one more call at @target. */
static double
S_expected_time (const MrTargetState *target, MrTime now, const RouteStats *kind)
{
  double expected = target->relative_latency * kind->median;
  const Call *oldest = g_queue_peek_head (&((MrTargetState *) target)->open_calls);
  /* A queue that has just built up shows in the calls that are out before it
   * shows in answers. */
  if (oldest && oldest->part && target->health.last_response_at < oldest->started)
    expected = MAX (expected, (double) (now - oldest->started));
  return expected;
}

MrTime
mr_relay_expected_wait (const RequestPart *job, MrTime now)
{
  double room = 0;
  double ahead = 0;
  for (const GList *link = job->group->queue.head; link; link = link->next)
    if (((const RequestPart *) link->data)->request->route->priority <=
        job->request->route->priority)
      ahead++;
  mr_relay_group_capacity (job->group, now, &room);
  return ahead > 0 && room > 0 ? (MrTime) (ahead * job->request->stats->mean / room) : 0;
}

/* Expected time of the job over the time that an answer in time has; 0 if
 * nothing is known to go by, as after a start. */
double
mr_relay_part_load (const RequestPart *job, MrTime now)
{
  const MrActiveRequest *work = job->request;
  double best = G_MAXDOUBLE;
  if (!mr_relay_stats_are_reliable (work->stats))
    return 0;
  for (guint i = 0; i < job->group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (job->group->targets, i);
      if (mr_target_state_can_take_call (target, now))
        best = MIN (best, S_expected_time (target, now, work->stats));
    }
  if (best == G_MAXDOUBLE)
    return 0;
  double expected = best + (double) mr_relay_expected_wait (job, now);
  return expected / (double) MAX (work->soft_deadline - now, 1);
}

gboolean
mr_relay_part_is_saturated (const RequestPart *job, MrTime now)
{
  for (guint i = 0; i < job->group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (job->group->targets, i);
      if (mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target))
        return FALSE;
    }
  return TRUE;
}

gboolean
mr_relay_leave_out (MrRelay *relay, MrTime now, RequestPart *job)
{
  MrActiveRequest *work = job->request;
  if (work->omittable_parts == 0)
    return FALSE;
  double load = mr_relay_part_load (job, now);
  double share =
      CLAMP ((load - LEAVE_OUT_FROM) / (LEAVE_OUT_FULL - LEAVE_OUT_FROM), 0, LEAVE_OUT_MOST);
  if (g_rand_double (relay->random) >= share)
    return FALSE;
  work->omittable_parts--;
  return TRUE;
}
