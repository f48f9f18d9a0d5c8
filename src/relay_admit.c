#include "relay_private.h"

#include <math.h>

/* Kept back from the caller's own deadline for the answer's way. */
static const MrTime DEADLINE_RESERVE = 20 * MR_MS;
/* A request is refused if it would wait for longer than this share of its aim:
 * it would come late, and take room from those that can still be in time. */
static const double WAIT_SHARE = 0.6;
/* Expected time of the deciding shard over the time that an answer in time has,
 * from which some requests are refused, and at which most of those that are.
 * Where a shard that every answer needs is asked for 110 % of its slots, all
 * answers come late (worth a tenth); the few that are refused at once and told
 * when to come back bring the others in time.  Never all: without requests nobody
 * would see that the load has gone. */
static const double TURN_AWAY_FROM = 0.5;
static const double TURN_AWAY_FULL = 0.9;
static const double TURN_AWAY_MOST = 0.9;
/* A kind of request that nobody has made for this long is not the most pressing. */
static const MrTime SHORTEST_KEPT = 10 * MR_SECOND;

/* Smooth weighted round robin: shares are exact over every few requests, with
 * no chance in them. */
typedef struct
{
  guint64 version;
  GArray *credit; /* double, one a part */
} Split;

void
mr_relay_split_free (gpointer data)
{
  Split *split = data;
  g_array_unref (split->credit);
  g_free (split);
}

static RouteStats *
S_kind (MrRelay *r, const MrRoute *route, const BudgetPool *pool)
{
  RouteStats *kind = g_hash_table_lookup (r->route_stats, route->name);
  if (!kind)
    {
      kind = g_new0 (RouteStats, 1);
      kind->policy = r->policy;
      kind->mean = r->policy->initial_mean_fraction * (double) route->latency_goal;
      g_hash_table_insert (r->route_stats, g_strdup (route->name), kind);
    }
  if (kind->latency_goal == route->latency_goal && kind->hedge_quantile == pool->hedge_quantile)
    return kind;
  kind->latency_goal = route->latency_goal;
  kind->hedge_quantile = pool->hedge_quantile;
  mr_relay_update_stats (kind);
  return kind;
}

static guint
S_pick_split (MrRelay *r, const MrConfiguration *configuration, const MrRoute *route)
{
  Split *split = g_hash_table_lookup (r->splits, route->name);
  guint64 version = mr_configuration_version (configuration);
  if (!split || split->version != version || split->credit->len != route->service_count)
    {
      split = g_new (Split, 1);
      *split = (Split){ .version = version, .credit = g_array_new (FALSE, TRUE, sizeof (double)) };
      g_array_set_size (split->credit, route->service_count);
      /* Daemons start at different places, or the fleet's first requests would
       * all go to one part. */
      for (guint i = 0; i < route->service_count; i++)
        g_array_index (split->credit, double, i) =
            g_rand_double (r->random) * route->services[i].weight;
      g_hash_table_replace (r->splits, g_strdup (route->name), split);
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
S_needed_shards (const MrRoute *route)
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
S_note_shortest (BudgetPool *pool, MrTime now, MrTime left)
{
  if (pool->min_time_left_at != 0 && left > pool->min_time_left &&
      now - pool->min_time_left_at < SHORTEST_KEPT)
    return;
  pool->min_time_left = MAX (left, 1);
  pool->min_time_left_at = now;
}

static MrTime
S_patience (const MrRelay *r, const MrRelayRequestParams *request, MrTime arrived)
{
  const MrSoftDeadlineParams terms = {
    .latency_goal = request->route->latency_goal,
    .time_limit = request->route->time_limit,
    .remaining = request->deadline - arrived,
    .round_trip = request->round_trip,
    .response_overhead = mr_response_overhead_estimate (&r->response_overhead),
  };
  return mr_soft_deadline (&terms);
}

static MrActiveRequest *
S_work_new (MrRelay *r, MrTime now, const MrRelayRequestParams *request)
{
  MrActiveRequest *work = g_new0 (MrActiveRequest, 1);
  const MrRoute *route = request->route;
  MrConfiguration *configuration = request->configuration;
  MrTime arrived = request->arrived ? request->arrived : now;
  gboolean shards = route->kind == MR_ROUTE_SHARDS;
  /* A batch's deadline is its root's, which has kept its reserve back already. */
  MrTime reserve = route->kind == MR_ROUTE_BATCH ? 0 : DEADLINE_RESERVE;
  *work = (MrActiveRequest){
    .owner_kind = TIMER_REQUEST,
    .timer = { .owner = work },
    .host_request = request->host_request,
    .configuration = configuration ? mr_configuration_ref (configuration) : NULL,
    .route = route,
    .arrived = arrived,
    .deadline = request->deadline,
    .fingerprint = request->fingerprint,
    .soft_deadline = shards ? arrived + S_patience (r, request, arrived) : MR_NEVER,
    .hard_end = MIN (request->deadline - reserve, arrived + route->time_limit),
    .cancel_at = MR_NEVER,
    .part_count = route->kind >= MR_ROUTE_SHARDS ? route->service_count : 1,
    .needed_parts = S_needed_shards (route),
  };
  work->open_parts = work->part_count;
  work->parts = g_new0 (RequestPart, work->part_count);
  work->answers = g_new0 (gpointer, work->part_count);
  work->sends = g_array_new (FALSE, FALSE, sizeof (MrSendRecord));
  guint first = route->kind == MR_ROUTE_SPLIT ? S_pick_split (r, configuration, route) : 0;
  for (guint i = 0; i < work->part_count; i++)
    {
      TargetGroup *service = mr_relay_get_group (r, route->services[first + i].service);
      work->parts[i] =
          (RequestPart){ .request = work, .index = i, .group = service, .hedge_at = MR_NEVER };
      mr_resend_budget_add_request (&service->pool->budget, &service->pool->terms, now);
      mr_relay_update_limits (r, work, service);
      if (shards)
        S_note_shortest (service->pool, now, work->soft_deadline - arrived);
    }
  work->stats = S_kind (r, route, work->parts[0].group->pool);
  return work;
}

/* Load of the shard that decides when the answer is ready: the worst one that may
 * not be left out.  A shard that is slow without being crowded counts for
 * nothing: refusing callers would not make it faster, and a late answer is better
 * than none.
 *
 * Requests that have more time than the most pressing ones of the service see more
 * load, by the square root of the ratio: left to the others' queue, those with 80 ms
 * would all be refused before those with 200 ms saw any.  Three times the usual load,
 * on the virtual clock: 0.95 and 0.46 of the worth of the two kinds without it, 0.88
 * and 0.68 with it.  By the ratio itself the less urgent kind came first where a shard
 * is over full (0.80 and 0.89). */
static double
S_deciding_load (const MrActiveRequest *work, MrTime now)
{
  double left = (double) (work->soft_deadline - now);
  enum
  {
    SPARE_MAX = 8
  };
  double worst[SPARE_MAX + 1] = { 0 };
  guint spare = MIN (work->omittable_parts, (guint) SPARE_MAX);
  for (guint i = 0; i < work->part_count; i++)
    {
      double load = 0;
      if (mr_relay_part_is_saturated (&work->parts[i], now))
        load = mr_relay_part_load (&work->parts[i], now) *
               sqrt (left / (double) work->parts[i].group->pool->min_time_left);
      for (guint place = 0; place <= spare; place++)
        if (load > worst[place])
          {
            double held = worst[place];
            worst[place] = load;
            load = held;
          }
    }
  return worst[spare];
}

/* TRUE if the request is to be refused so that others are in time. */
static gboolean
S_turn_away (MrRelay *r, const MrActiveRequest *work, MrTime now)
{
  if (work->route->kind != MR_ROUTE_SHARDS)
    return FALSE;
  double load = S_deciding_load (work, now);
  double share =
      CLAMP ((load - TURN_AWAY_FROM) / (TURN_AWAY_FULL - TURN_AWAY_FROM), 0, TURN_AWAY_MOST);
  return share > 0 && g_rand_double (r->random) < share;
}

/* Cause for which the request can't be served; MR_CAUSE_NONE if it can. */
static MrCause
S_admit (MrActiveRequest *work, MrTime now, MrTime *wait)
{
  MrCause none = MR_CAUSE_NO_TARGET;
  guint alive = 0;
  guint quick = 0;
  double room = 0;
  *wait = 0;
  if (work->hard_end <= now)
    return MR_CAUSE_TIME;
  if (work->needed_parts == 0)
    return MR_CAUSE_NONE;
  MrTime most =
      (MrTime) (WAIT_SHARE * (double) MIN (work->route->latency_goal, work->hard_end - now));
  for (guint i = 0; i < work->part_count; i++)
    {
      const TargetGroup *service = work->parts[i].group;
      if (mr_relay_group_capacity (service, now, &room) == 0)
        {
          none = none == MR_CAUSE_EVACUATED ? none : mr_relay_no_target_cause (service);
          continue;
        }
      alive++;
      MrTime expected = mr_relay_expected_wait (&work->parts[i], now);
      *wait = MAX (*wait, expected);
      if (expected <= most)
        quick++;
    }
  if (alive < work->needed_parts)
    return none;
  work->omittable_parts = alive - work->needed_parts;
  return quick < work->needed_parts ? MR_CAUSE_OVERLOAD : MR_CAUSE_NONE;
}

gboolean
mr_relay_begin_part (MrRelay *r, MrTime now, RequestPart *job)
{
  if (!mr_relay_leave_out (r, now, job))
    return mr_relay_send_or_queue (r, now, job, MR_SEND_FIRST);
  MrActiveRequest *work = job->request;
  r->counts.left_out++;
  mr_relay_finish_part (r, now, job, MR_CAUSE_OVERLOAD);
  return g_hash_table_contains (r->requests, work);
}

MrActiveRequest *
mr_relay_submit (MrRelay *r, MrTime now, const MrRelayRequestParams *request)
{
  MrActiveRequest *work = S_work_new (r, now, request);
  MrTime wait = 0;
  g_hash_table_add (r->requests, work);
  r->counts.requests++;
  work->cause = mr_relay_admit_content (r, now, work);
  if (work->cause == MR_CAUSE_NONE)
    work->cause = S_admit (work, now, &wait);
  if (work->cause == MR_CAUSE_NONE && S_turn_away (r, work, now))
    work->cause = MR_CAUSE_OVERLOAD;
  if (work->cause != MR_CAUSE_NONE)
    {
      mr_relay_finish_request (r, now, work, MR_VERDICT_REFUSED);
      return NULL;
    }
  if (work->sequential)
    {
      for (guint i = 0; i < work->part_count; i++)
        mr_relay_hold_part (&work->parts[i]);
      mr_relay_schedule (r, work);
      return work;
    }
  mr_relay_schedule (r, work);
  if (mr_relay_is_staged (r, now, work))
    {
      mr_relay_begin_first_stage (r, now, work);
      return g_hash_table_contains (r->requests, work) ? work : NULL;
    }
  /* From a random one on, so that what may be left out is shared by all shards
   * that are loaded. */
  guint count = work->part_count;
  guint first = count > 1 ? (guint) g_rand_int_range (r->random, 0, (gint32) count) : 0;
  for (guint i = 0; i < count; i++)
    if (!mr_relay_begin_part (r, now, &work->parts[(first + i) % count]) &&
        !g_hash_table_contains (r->requests, work))
      return NULL;
  return work;
}
