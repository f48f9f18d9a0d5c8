#include "relay_private.h"

#include <math.h>

/* Subtracted from the caller's own deadline, for sending the answer. */
static const MrTime DEADLINE_RESERVE = 20 * MR_MS;
/* A request is refused if its queueing delay would exceed this fraction of its latency goal: its
 * answer would be late, and it would take capacity from requests that can still be in time. */
static const double WAIT_FRACTION_MAX = 0.6;
/* Load shedding by the load of the critical shard, which is the expected time of its call over the
 * time until the soft deadline: the refused fraction grows from 0 at SHED_LOAD_MIN to 1 at
 * SHED_LOAD_FULL, but not beyond SHED_FRACTION_MAX.  Where a shard that every answer needs is asked
 * for 110 % of its slots, all answers are late and have a tenth of their utility; refusing a few
 * requests at once, with a Retry-After, keeps the others in time.  If all were refused, the end of
 * the overload would not be detected. */
static const double SHED_LOAD_MIN = 0.5;
static const double SHED_LOAD_FULL = 0.9;
static const double SHED_FRACTION_MAX = 0.9;
/* Time that the latency goal must leave beyond the usual time of a call, as a fraction of that, for
 * requests of organisations to a single service to be shed. */
static const double SPARE_TIME_MIN = 0.25;
/* How long the least time left of a pool is kept if no request confirms it. */
static const MrTime MIN_TIME_LEFT_TTL = 10 * MR_SECOND;

/* Smooth weighted round robin: the shares are exact over every few requests, without randomness. */
typedef struct
{
  guint64 version;
  GArray *credit; /* double, one for each service */
} SplitState;

void
mr_relay_split_free (gpointer data)
{
  SplitState *split = data;
  g_array_unref (split->credit);
  g_free (split);
}

static RouteStats *
S_get_route_stats (MrRelay *relay, const MrRoute *route, const BudgetPool *pool)
{
  RouteStats *stats = g_hash_table_lookup (relay->route_stats, route->name);
  if (!stats)
    {
      stats = g_new0 (RouteStats, 1);
      stats->policy = relay->policy;
      stats->mean = relay->policy->initial_mean_fraction * (double) route->latency_goal;
      g_hash_table_insert (relay->route_stats, g_strdup (route->name), stats);
    }
  if (stats->latency_goal == route->latency_goal && stats->hedge_quantile == pool->hedge_quantile)
    return stats;
  stats->latency_goal = route->latency_goal;
  stats->hedge_quantile = pool->hedge_quantile;
  mr_relay_update_stats (stats);
  return stats;
}

static guint
S_choose_split_service (MrRelay *relay, const MrConfiguration *configuration, const MrRoute *route)
{
  SplitState *split = g_hash_table_lookup (relay->splits, route->name);
  guint64 version = mr_configuration_version (configuration);
  if (!split || split->version != version || split->credit->len != route->service_count)
    {
      split = g_new (SplitState, 1);
      *split =
          (SplitState){ .version = version, .credit = g_array_new (FALSE, TRUE, sizeof (double)) };
      g_array_set_size (split->credit, route->service_count);
      /* Random start values: otherwise the first requests of all daemons would go to the same
       * service. */
      for (guint i = 0; i < route->service_count; i++)
        g_array_index (split->credit, double, i) =
            g_rand_double (relay->random) * route->services[i].weight;
      g_hash_table_replace (relay->splits, g_strdup (route->name), split);
    }
  double total = 0;
  guint best = 0;
  for (guint i = 0; i < route->service_count; i++)
    {
      double *credit = &g_array_index (split->credit, double, i);
      *credit += route->services[i].weight;
      total += route->services[i].weight;
      if (*credit > g_array_index (split->credit, double, best))
        best = i;
    }
  g_array_index (split->credit, double, best) -= total;
  return best;
}

static guint
S_needed_parts (const MrRoute *route)
{
  if (route->kind == MR_ROUTE_BATCH)
    return 0;
  if (route->kind != MR_ROUTE_SHARDS)
    return 1;
  guint needed = 1;
  while (needed < route->service_count &&
         (double) needed / route->service_count < route->min_coverage)
    needed++;
  return needed;
}

static void
S_record_min_time_left (BudgetPool *pool, MrTime now, MrTime time_left)
{
  if (pool->min_time_left_at != 0 && time_left > pool->min_time_left &&
      now - pool->min_time_left_at < MIN_TIME_LEFT_TTL)
    return;
  pool->min_time_left = MAX (time_left, 1);
  pool->min_time_left_at = now;
}

static MrTime
S_time_to_soft_deadline (const MrRelay *relay, const MrRelayRequestParams *params, MrTime arrived)
{
  const MrSoftDeadlineParams soft_deadline_params = {
    .latency_goal = params->route->latency_goal,
    .time_limit = params->route->time_limit,
    .remaining = params->deadline - arrived,
    .round_trip = params->round_trip,
    .response_overhead = mr_response_overhead_estimate (&relay->response_overhead),
  };
  return mr_soft_deadline (&soft_deadline_params);
}

static MrActiveRequest *
S_request_new (MrRelay *relay, MrTime now, const MrRelayRequestParams *params)
{
  MrActiveRequest *request = g_new0 (MrActiveRequest, 1);
  const MrRoute *route = params->route;
  MrConfiguration *configuration = params->configuration;
  MrTime arrived = params->arrived ? params->arrived : now;
  gboolean shards = route->kind == MR_ROUTE_SHARDS;
  /* The deadline of a batch comes from the root of its query, which has subtracted the reserve. */
  MrTime reserve = route->kind == MR_ROUTE_BATCH ? 0 : DEADLINE_RESERVE;
  *request = (MrActiveRequest){
    .owner_kind = TIMER_REQUEST,
    .timer = { .owner = request },
    .host_request = params->host_request,
    .configuration = configuration ? mr_configuration_ref (configuration) : NULL,
    .route = route,
    .arrived = arrived,
    .deadline = params->deadline,
    .fingerprint = params->fingerprint,
    .soft_deadline =
        shards ? MIN (arrived + S_time_to_soft_deadline (relay, params, arrived), relay->stop_at)
               : MR_NEVER,
    .hard_deadline =
        MIN (MIN (params->deadline - reserve, arrived + route->time_limit), relay->stop_at),
    .cancel_at = MR_NEVER,
    .part_count = route->kind >= MR_ROUTE_SHARDS ? route->service_count : 1,
    .needed_parts = S_needed_parts (route),
  };
  request->open_parts = request->part_count;
  request->parts = g_new0 (RequestPart, request->part_count);
  request->answers = g_new0 (gpointer, request->part_count);
  request->sends = g_array_new (FALSE, FALSE, sizeof (MrSendRecord));
  guint first =
      route->kind == MR_ROUTE_SPLIT ? S_choose_split_service (relay, configuration, route) : 0;
  for (guint i = 0; i < request->part_count; i++)
    {
      TargetGroup *group = mr_relay_get_group (relay, route->services[first + i].service);
      request->parts[i] =
          (RequestPart){ .request = request, .index = i, .group = group, .hedge_at = MR_NEVER };
      mr_resend_budget_add_request (&group->pool->budget, &group->pool->terms, now);
      mr_relay_update_limits (relay, request, group);
      if (shards)
        S_record_min_time_left (group->pool, now, request->soft_deadline - arrived);
    }
  request->stats = S_get_route_stats (relay, route, request->parts[0].group->pool);
  mr_relay_set_organisation (now, request, params->organisation);
  return request;
}

/* Load of the critical shard, which decides when the answer is ready: the most loaded one after the
 * parts that may be left out.  A shard that is slow but not saturated counts as 0: refusing callers
 * would not make it faster, and a late answer is better than none.
 *
 * A request with more time left than the most urgent ones of the pool sees a load that is higher by
 * the square root of the ratio.  Otherwise requests with 80 ms left would all be refused because of
 * the queue of those with 200 ms before any of the latter is.  At three times the usual load, on
 * the virtual clock, the two kinds of requests reach 0.95 and 0.46 of their utility without this
 * factor, and 0.88 and 0.68 with it.  With the plain ratio, the less urgent kind got the lower
 * utility where a shard was over capacity (0.80 and 0.89). */
static double
S_critical_shard_load (const MrActiveRequest *request, MrTime now)
{
  double time_left = (double) (request->soft_deadline - now);
  enum
  {
    OMITTABLE_MAX = 8
  };
  double worst[OMITTABLE_MAX + 1] = { 0 };
  guint omittable = MIN (request->omittable_parts, (guint) OMITTABLE_MAX);
  for (guint i = 0; i < request->part_count; i++)
    {
      double load = 0;
      if (mr_relay_part_is_saturated (&request->parts[i], now))
        load = mr_relay_part_load (&request->parts[i], now) *
               sqrt (time_left / (double) request->parts[i].group->pool->min_time_left);
      for (guint rank = 0; rank <= omittable; rank++)
        if (load > worst[rank])
          {
            double displaced = worst[rank];
            worst[rank] = load;
            load = displaced;
          }
    }
  return worst[omittable];
}

/* Load of a single service that is short of capacity: the time that calls take beyond their usual
 * time, over the time that the latency goal leaves for that.  Targets have calls from several
 * daemons waiting, so that at the daemons' queues the shortage shows late or not at all.  0 if the
 * goal is missed without any load as well: a late answer is better than none. */
static double
S_service_load (const MrActiveRequest *request, MrTime now)
{
  const RequestPart *part = &request->parts[0];
  double usual = request->stats->lowest_median;
  double spare = (double) (request->arrived + request->route->latency_goal - now) - usual;
  if (spare < SPARE_TIME_MIN * usual || !request->stats->calls_wait)
    return 0;
  return MAX (mr_relay_expected_time (part, now) - usual, 0) / spare;
}

static double
S_load (const MrActiveRequest *request, MrTime now)
{
  if (request->route->kind == MR_ROUTE_SHARDS)
    return S_critical_shard_load (request, now);
  return request->flow ? S_service_load (request, now) : 0;
}

/* TRUE if the request is to be refused so that others are in time. */
static gboolean
S_should_shed (MrRelay *relay, MrActiveRequest *request, MrTime now)
{
  double load = S_load (request, now);
  double fraction =
      CLAMP ((load - SHED_LOAD_MIN) / (SHED_LOAD_FULL - SHED_LOAD_MIN), 0, SHED_FRACTION_MAX);
  if (fraction <= 0)
    return FALSE;
  double random = g_rand_double (relay->random);
  if (request->flow)
    return mr_relay_should_refuse (now, request, fraction, SHED_FRACTION_MAX, random);
  return random < fraction;
}

/* TRUE if this daemon stops before the request's call would end, with @wait before it.  The caller
 * can still be served by another daemon; later it would only learn that this one gave up.  A
 * request that is not idempotent cannot be repeated then, so that nearly all of its calls must end
 * by it. */
static gboolean
S_stops_before_end (const MrRelay *relay, const MrActiveRequest *request, MrTime now, MrTime wait)
{
  MrTime call = request->route->idempotent ? request->stats->hedge_delay
                                           : mr_relay_silence_timeout (request->stats);
  return request->hard_deadline == relay->stop_at && now + wait + call > relay->stop_at;
}

/* Why the request cannot be served; MR_CAUSE_NONE if it can.  Also sets the parts that may be left
 * out. */
static MrCause
S_check_capacity (const MrRelay *relay, MrActiveRequest *request, MrTime now, MrTime *wait)
{
  MrCause no_target_cause = MR_CAUSE_NO_TARGET;
  guint usable_groups = 0;
  guint timely_groups = 0;
  double room = 0;
  *wait = 0;
  if (request->hard_deadline <= now)
    return mr_relay_time_cause (relay, request);
  if (request->needed_parts == 0)
    return MR_CAUSE_NONE;
  MrTime max_wait = (MrTime) (WAIT_FRACTION_MAX * (double) MIN (request->route->latency_goal,
                                                                request->hard_deadline - now));
  for (guint i = 0; i < request->part_count; i++)
    {
      const TargetGroup *group = request->parts[i].group;
      if (mr_relay_group_capacity (group, now, &room) == 0)
        {
          no_target_cause = no_target_cause == MR_CAUSE_EVACUATED
                                ? no_target_cause
                                : mr_relay_no_target_cause (group);
          continue;
        }
      usable_groups++;
      MrTime expected = mr_relay_expected_wait (&request->parts[i], now);
      *wait = MAX (*wait, expected);
      if (expected <= max_wait)
        timely_groups++;
    }
  if (usable_groups < request->needed_parts)
    return no_target_cause;
  request->omittable_parts = usable_groups - request->needed_parts;
  if (S_stops_before_end (relay, request, now, *wait))
    return MR_CAUSE_STOPPING;
  if (timely_groups >= request->needed_parts)
    return MR_CAUSE_NONE;
  request->over_share =
      request->flow &&
      mr_fair_share_is_above_mean (request->parts[0].group->fair_share, now, request->flow);
  return MR_CAUSE_OVERLOAD;
}

gboolean
mr_relay_begin_part (MrRelay *relay, MrTime now, RequestPart *part)
{
  if (!mr_relay_leave_out (relay, now, part))
    return mr_relay_send_or_queue (relay, now, part, MR_SEND_FIRST);
  MrActiveRequest *request = part->request;
  relay->counts.left_out++;
  mr_relay_finish_part (relay, now, part, MR_CAUSE_OVERLOAD);
  return g_hash_table_contains (relay->requests, request);
}

MrActiveRequest *
mr_relay_submit (MrRelay *relay, MrTime now, const MrRelayRequestParams *params)
{
  MrActiveRequest *request = S_request_new (relay, now, params);
  MrTime wait = 0;
  g_hash_table_add (relay->requests, request);
  relay->counts.requests++;
  request->cause = mr_relay_admit_content (relay, now, request);
  if (request->cause == MR_CAUSE_NONE)
    request->cause = S_check_capacity (relay, request, now, &wait);
  if (request->cause == MR_CAUSE_NONE && S_should_shed (relay, request, now))
    request->cause = MR_CAUSE_OVERLOAD;
  if (request->cause != MR_CAUSE_NONE)
    {
      mr_relay_finish_request (relay, now, request, MR_VERDICT_REFUSED);
      return NULL;
    }
  if (request->sequential)
    {
      for (guint i = 0; i < request->part_count; i++)
        mr_relay_hold_part (&request->parts[i]);
      mr_relay_schedule (relay, request);
      return request;
    }
  mr_relay_schedule (relay, request);
  if (mr_relay_is_staged (relay, now, request))
    {
      mr_relay_begin_first_stage (relay, now, request);
      return g_hash_table_contains (relay->requests, request) ? request : NULL;
    }
  /* Starts at a random part, so that all loaded shards have the same chance to be left out. */
  guint count = request->part_count;
  guint first = count > 1 ? (guint) g_rand_int_range (relay->random, 0, (gint32) count) : 0;
  for (guint i = 0; i < count; i++)
    if (!mr_relay_begin_part (relay, now, &request->parts[(first + i) % count]) &&
        !g_hash_table_contains (relay->requests, request))
      return NULL;
  return request;
}
