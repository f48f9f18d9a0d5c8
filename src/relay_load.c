#include "relay_private.h"

#include <math.h>

/* Load of a shard, as the expected time of its call over the time until the soft deadline: the
 * fraction of requests that do without its part grows from 0 at LEAVE_OUT_LOAD_MIN to 1 at
 * LEAVE_OUT_LOAD_FULL, but not beyond LEAVE_OUT_FRACTION_MAX.  If shards have lost targets until
 * one is asked for 110 % of its slots, sending every part makes every answer late (a tenth of the
 * utility); each part left out costs its answer a fifth and keeps the others in time.  If all parts
 * were left out, the end of the overload would not be detected. */
static const double LEAVE_OUT_LOAD_MIN = 0.45;
static const double LEAVE_OUT_LOAD_FULL = 1.1;
static const double LEAVE_OUT_FRACTION_MAX = 0.85;

/* Calls sent to a target beyond its slots wait there in the order of arrival.  Parts queued here
 * are ordered by priority, are given up when late, and count in the expected wait by which requests
 * are refused.  So all daemons together fill the slots of each target twice, and one daemon may
 * always have two calls.  At three times the usual load, on the virtual clock, with 5 slots and 6
 * daemons, the two kinds of search reach 0.84 and 0.36 of their utility with four calls for each
 * daemon, and 0.95 and 0.46 with two.  One call is too few at normal load (0.98 instead of 1.00).
 */
static const double SLOT_OVERCOMMIT = 2;
static const double DAEMON_CALLS_MIN = 2;

static double
S_call_limit (const MrRelay *relay, const MrTargetState *target, double connections)
{
  double max_calls = floor (connections * relay->shares.connections);
  if (target->slots == 0)
    return max_calls;
  double slots = ceil (target->slots * SLOT_OVERCOMMIT * relay->shares.slots);
  return MIN (max_calls, MAX (slots, DAEMON_CALLS_MIN));
}

/* Calls that this daemon may send to one cold target in MR_COLD_WINDOW. */
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
mr_relay_update_limits (const MrRelay *relay, const MrActiveRequest *request, TargetGroup *group)
{
  if (!request->configuration)
    return; /* the host sets the limits */
  guint64 version = mr_configuration_version (request->configuration);
  if (group->limits_version == version &&
      group->limits_connection_share == relay->shares.connections &&
      group->limits_cold_share == relay->shares.cold)
    return;
  const MrServiceInfo *info = mr_configuration_find_service (request->configuration, group->name);
  group->limits_version = version;
  group->limits_connection_share = relay->shares.connections;
  group->limits_cold_share = relay->shares.cold;
  group->cold_time = info ? info->cold_time : 0;
  guint permits = S_cold_permits (relay, info);
  for (guint i = 0; i < group->targets->len; i++)
    {
      MrTargetState *target = g_ptr_array_index (group->targets, i);
      double max_calls = info ? info->max_connections_per_target : target->connection_limit;
      mr_concurrency_limit_set_max (&target->limit, S_call_limit (relay, target, max_calls));
      target->cold_permits = permits;
    }
}

guint
mr_relay_group_capacity (const TargetGroup *group, MrTime now, double *room)
{
  guint usable = 0;
  *room = 0;
  for (guint i = 0; i < group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (group->targets, i);
      if (!mr_target_state_may_become_usable (target, now))
        continue;
      usable++;
      *room += mr_concurrency_limit_calls (&target->limit);
    }
  return usable;
}

/* Calls of requests with an organisation.  Those of public routes are not limited here, and must
 * not leave organisations without any. */
static guint
S_organisations_calls (const MrTargetState *target)
{
  guint count = 0;
  for (const GList *link = target->open_calls.head; link; link = link->next)
    count += ((const Call *) link->data)->flow ? 1 : 0;
  return count;
}

/* Each daemon may have two calls at each target (DAEMON_CALLS_MIN), which is more than its share
 * where targets have few slots: six daemons may have 144 calls at 12 targets with two slots each,
 * which then wait at the targets, in the order of arrival.  So that they wait here, in the order of
 * fair shares, parts of requests with an organisation are also limited by the slots of the group as
 * a whole, while calls wait at the targets.  Without that condition slots would stay unused where
 * most requests come to one daemon. */
double
mr_relay_shared_room (const TargetGroup *group, MrTime now, double *used)
{
  double slots = 0;
  double room = 0;
  *used = 0;
  for (guint i = 0; i < group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (group->targets, i);
      if (!mr_target_state_may_become_usable (target, now))
        continue;
      slots = target->slots == 0 ? G_MAXINT : slots + target->slots;
      room += mr_concurrency_limit_calls (&target->limit);
      *used += S_organisations_calls (target);
    }
  double share = MAX (ceil (slots * SLOT_OVERCOMMIT * group->shares->slots), DAEMON_CALLS_MIN);
  return MIN (room, share);
}

/* Expected latency of another call at @target. */
static double
S_expected_time (const MrTargetState *target, MrTime now, const RouteStats *stats)
{
  double expected = target->relative_latency * stats->median;
  const Call *oldest = g_queue_peek_head (&((MrTargetState *) target)->open_calls);
  /* A queue that has just built up shows in the age of calls in flight before it shows in answers.
   */
  if (oldest && oldest->part && target->health.last_response_at < oldest->started)
    expected = MAX (expected, (double) (now - oldest->started));
  return expected;
}

gboolean
mr_relay_shared_room_is_used (const RequestPart *part, MrTime now)
{
  double used = 0;
  if (!part->request->flow || !part->request->stats->calls_wait)
    return FALSE;
  double room = mr_relay_shared_room (part->group, now, &used);
  return used >= room;
}

MrTime
mr_relay_expected_wait (const RequestPart *part, MrTime now)
{
  double room = 0;
  double used = 0;
  double ahead = mr_relay_parts_ahead (part, now);
  if (part->request->flow && part->request->stats->calls_wait)
    room = mr_relay_shared_room (part->group, now, &used);
  else
    mr_relay_group_capacity (part->group, now, &room);
  return ahead > 0 && room > 0 ? (MrTime) (ahead * part->request->stats->mean / room) : 0;
}

double
mr_relay_expected_time (const RequestPart *part, MrTime now)
{
  const MrActiveRequest *request = part->request;
  double best = G_MAXDOUBLE;
  if (!mr_relay_stats_are_reliable (request->stats))
    return 0;
  for (guint i = 0; i < part->group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (part->group->targets, i);
      if (mr_target_state_can_take_call (target, now))
        best = MIN (best, S_expected_time (target, now, request->stats));
    }
  if (best == G_MAXDOUBLE)
    return 0;
  return best + (double) mr_relay_expected_wait (part, now);
}

/* Expected time of the part's call over the time until the soft deadline. */
double
mr_relay_part_load (const RequestPart *part, MrTime now)
{
  return mr_relay_expected_time (part, now) / (double) MAX (part->request->soft_deadline - now, 1);
}

gboolean
mr_relay_part_is_saturated (const RequestPart *part, MrTime now)
{
  if (mr_relay_shared_room_is_used (part, now))
    return TRUE;
  for (guint i = 0; i < part->group->targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (part->group->targets, i);
      if (mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target))
        return FALSE;
    }
  return TRUE;
}

gboolean
mr_relay_leave_out (MrRelay *relay, MrTime now, RequestPart *part)
{
  MrActiveRequest *request = part->request;
  if (request->omittable_parts == 0)
    return FALSE;
  double load = mr_relay_part_load (part, now);
  double fraction = CLAMP ((load - LEAVE_OUT_LOAD_MIN) / (LEAVE_OUT_LOAD_FULL - LEAVE_OUT_LOAD_MIN),
                           0, LEAVE_OUT_FRACTION_MAX);
  if (g_rand_double (relay->random) >= fraction)
    return FALSE;
  request->omittable_parts--;
  return TRUE;
}
