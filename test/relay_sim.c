#include "relay_sim.h"

#include <math.h>

static const double COLD_RATE_FACTOR = 1.5;

enum
{
  ONE_WAY_DELAY_US = 1500,
  HANDSHAKE_US = 6000,
  LEAVING_GRACE_US = 3000000, /* a leaving target may be sent calls for this long */
  RESEND_RATIO_PERCENT = 20,
  RESEND_ALLOWANCE = 52,
  RESEND_WINDOW_US = 10000000,
  VERDICT_SLACK_US = 500000,
  COLD_RATE_SLACK = 5,
  POISON_CONTENT = 1,
  POPULAR_CONTENT = 2, /* plus the index of the route */
};

typedef struct Simulation Simulation;
typedef struct Request Request;
typedef struct Call Call;

typedef enum
{
  EVENT_REQUEST_ARRIVES,
  EVENT_CALL_ARRIVES, /* at its target */
  EVENT_CALL_DONE,
  EVENT_RESPONSE,
  EVENT_TICK,
  EVENT_FAULT,
  EVENT_RETRY, /* of a refused request */
  EVENT_ABANDON,
  EVENT_PROBE_DONE,
  EVENT_POISON_REQUEST,
  EVENT_CRASH,    /* of the target of a poison request's call */
  EVENT_RESTART,  /* of a crashed target */
  EVENT_EVIDENCE, /* arrives at the other daemons */
  EVENT_STOP,     /* of the first daemon begins */
  EVENT_STOPPED,
} EventType;

typedef struct
{
  MrTime at;
  guint64 sequence;
  EventType type;
  gpointer object;
  guint index;
} Event;

typedef struct
{
  MrRelayHost host;
  Simulation *sim;
  guint index;
  MrRelay *relay;
  MrTime tick_at;
} Daemon;

typedef struct
{
  guint index;
  char id[MR_NAME_MAX + 1];
  guint shard;
  guint running_calls;
  GQueue queue; /* Call */
  MrTime paused_until;
  MrTime next_pause_at;
  SimFaultType fault;
  double factor;
  MrTime leaving_since; /* when it was listed as leaving or removed; 0: it was not */
  MrTime cold_until;
  GQueue cold_calls; /* MrTime: arrivals in the last second, while it is cold */
} Target;

/* The failure domain of a target or daemon is its index modulo SIM_DOMAINS. */

struct Call
{
  guint64 id;
  Daemon *daemon;
  Target *target;
  Request *request;
  MrCallOutcome outcome;
  gboolean closed;
  MrTime sent_at; /* when its connection is established */
  gboolean running;
  gboolean ran;
  gboolean target_crashed;
};

struct Request
{
  Simulation *sim;
  Daemon *daemon;
  guint route;
  MrTime arrived;
  MrTime deadline;
  MrTime abandoned_at; /* 0: not abandoned */
  MrActiveRequest *active;
  gboolean done;
  guint executions; /* calls that have run */
  gboolean is_poison;
  guint poison_content; /* number of the content of a poison request */
  gboolean is_popular;
  guint organisation;
  gboolean counts;    /* in the statistics of its organisation */
  guint retries_left; /* of its caller */
  guint8 *calls_sent; /* by shard */
  /* By shard, bit sets of its targets: those that were sent a call, and those of them that
   * have not refused it. */
  guint64 *targets_tried;
  guint64 *targets_pending;
};

/* Evidence in transit from one daemon to the others. */
typedef struct
{
  guint from;
  MrFingerprint fingerprint;
  MrEvidence evidence;
} EvidenceMessage;

/* Times of the requests, and of the hedges and retries, of one shard. */
typedef struct
{
  GArray *requests;
  GArray *resends;
} ShardLog;

struct Simulation
{
  const SimPlan *plan;
  SimResult *result;
  GRand *random;
  GSequence *events;
  guint64 sequence;
  MrTime now;
  MrTime end;
  MrConfiguration *configuration;
  const MrRoute *routes[SIM_ROUTES_MAX];
  Daemon daemons[SIM_DAEMONS_MAX];
  Target targets[SIM_TARGETS_MAX];
  guint target_count;
  ShardLog *shard_logs;
  GPtrArray *calls;
  GHashTable *calls_by_id[SIM_DAEMONS_MAX]; /* call id -> Call */
  GPtrArray *requests;
  MrTime third_poison_crash;        /* 0: not yet */
  MrTime evacuated_at[SIM_DOMAINS]; /* 0: not evacuated */
  GPtrArray *messages;
  MrOrganisation organisations[SIM_ORGANISATIONS_MAX];
  double organisation_shares[SIM_ORGANISATIONS_MAX]; /* sums up to and including each */
};

static gint
S_compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  const Event *x = a;
  const Event *y = b;
  (void) user;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
S_schedule (Simulation *sim, MrTime at, EventType type, gpointer object, guint index)
{
  Event *event = g_new (Event, 1);
  *event = (Event){ MAX (at, sim->now), sim->sequence++, type, object, index };
  g_sequence_insert_sorted (sim->events, event, S_compare_events, NULL);
}

static MrTime
S_ms (double ms)
{
  return (MrTime) (ms * (double) MR_MS);
}

static double
S_exponential (Simulation *sim, double mean)
{
  return -mean * log (1 - g_rand_double (sim->random));
}

/* Targets. */

static void
S_start_call (Simulation *sim, Target *target, Call *call)
{
  double mean = sim->plan->routes[call->request->route].service_time_ms;
  double service_time = mean / 2 + S_exponential (sim, mean / 2);
  if (target->fault == SIM_FAULT_SLOW)
    service_time *= target->factor;
  target->running_calls++;
  call->running = TRUE;
  call->ran = TRUE;
  call->request->executions++;
  MrTime start = MAX (sim->now, target->paused_until);
  if (call->request->is_poison)
    S_schedule (sim,
                start +
                    S_ms (sim->plan->poison.time_to_crash_ms * (0.5 + g_rand_double (sim->random))),
                EVENT_CRASH, call, 0);
  else
    S_schedule (sim, start + S_ms (service_time), EVENT_CALL_DONE, call, 0);
}

static guint64
S_bit (const Simulation *sim, const Target *target)
{
  return G_GUINT64_CONSTANT (1) << (target->index % sim->plan->replicas);
}

static void
S_respond (Simulation *sim, Call *call, MrCallOutcome outcome)
{
  call->outcome = outcome;
  if (outcome == MR_CALL_SHED)
    call->request->targets_pending[call->target->shard] &= ~S_bit (sim, call->target);
  S_schedule (sim, sim->now + ONE_WAY_DELAY_US, EVENT_RESPONSE, call, 0);
}

/* Closes all connections of the target. */
static void
S_crash_process (Simulation *sim, Target *target)
{
  for (guint i = 0; i < sim->calls->len; i++)
    {
      Call *call = g_ptr_array_index (sim->calls, i);
      gboolean queued = g_queue_remove (&target->queue, call);
      if (call->target != target || call->target_crashed || !(call->running || queued))
        continue;
      call->target_crashed = TRUE;
      call->running = FALSE;
      if (!call->closed)
        S_respond (sim, call, MR_CALL_BROKEN);
    }
  target->running_calls = 0;
}

/* Removes the target's entry, without delay at all daemons. */
static void
S_remove_target (Simulation *sim, const Target *target)
{
  for (guint i = 0; i < sim->plan->daemons; i++)
    mr_relay_remove_target (sim->daemons[i].relay, sim->now, target->id);
}

static void
S_on_crash (Simulation *sim, const Call *cause)
{
  Target *target = cause->target;
  if (cause->target_crashed || (cause->closed && !sim->plan->poison.crashes_after_disconnect))
    return;
  target->fault = SIM_FAULT_REFUSES_CONNECTIONS;
  S_crash_process (sim, target);
  if (++sim->result->poison_crashes == 3)
    sim->third_poison_crash = sim->now;
  if (sim->plan->poison.removes_target)
    {
      S_remove_target (sim, target);
      return;
    }
  S_schedule (sim, sim->now + S_ms (sim->plan->poison.restart_ms), EVENT_RESTART, NULL,
              target->index);
}

static void
S_update_pause (Simulation *sim, Target *target)
{
  if (sim->plan->pause_ms <= 0 || sim->now < target->next_pause_at)
    return;
  target->paused_until = target->next_pause_at + S_ms (sim->plan->pause_ms);
  while (target->next_pause_at <= sim->now)
    target->next_pause_at += S_ms (sim->plan->pause_interval_ms);
}

static gboolean
S_refuses_connections (const Target *target)
{
  return target->fault == SIM_FAULT_REFUSES_CONNECTIONS || target->fault == SIM_FAULT_REMOVED ||
         target->fault == SIM_FAULT_CRASHED || target->fault == SIM_FAULT_CRASHED_AND_REMOVED;
}

/* Counts a call that has reached its target. */
static void
S_record_call (Simulation *sim, const Call *call)
{
  Request *request = call->request;
  guint shard = call->target->shard;
  if (request->is_poison)
    {
      sim->result->poison_calls++;
      if (sim->third_poison_crash &&
          sim->now > sim->third_poison_crash + S_ms (SIM_EVIDENCE_SPREAD_MS))
        sim->result->poison_calls_late++;
    }
  if (call->target->index % SIM_DOMAINS != call->daemon->index % SIM_DOMAINS)
    sim->result->cross_domain_calls++;
  if (request->calls_sent[shard]++ > 0)
    {
      sim->result->extra_calls++;
      g_array_append_val (sim->shard_logs[shard].resends, sim->now);
    }
  else
    sim->result->first_calls++;
  guint64 bit = S_bit (sim, call->target);
  if (request->targets_pending[shard] & bit)
    sim->result->excess_attempts++; /* it may have run the previous call */
  request->targets_tried[shard] |= bit;
  request->targets_pending[shard] |= bit;
  if ((guint) __builtin_popcountll (request->targets_tried[shard]) > sim->plan->attempts)
    sim->result->excess_attempts++;
}

static void
S_record_cold_call (Simulation *sim, Target *target)
{
  double limit = COLD_RATE_FACTOR * sim->plan->cold_rate + COLD_RATE_SLACK;
  MrTime *arrived = g_new (MrTime, 1);
  *arrived = sim->now;
  g_queue_push_tail (&target->cold_calls, arrived);
  for (MrTime *first = g_queue_peek_head (&target->cold_calls); sim->now - *first >= MR_SECOND;
       first = g_queue_peek_head (&target->cold_calls))
    g_free (g_queue_pop_head (&target->cold_calls));
  if (sim->plan->cold_rate > 0 && target->cold_calls.length > limit)
    sim->result->cold_excess =
        MAX (sim->result->cold_excess, target->cold_calls.length - (guint) limit);
}

static void
S_on_call_arrives (Simulation *sim, Call *call)
{
  Target *target = call->target;
  MrTime evacuated_at = sim->evacuated_at[target->index % SIM_DOMAINS];
  S_update_pause (sim, target);
  if (call->closed)
    return;
  if (evacuated_at != 0 && sim->now > evacuated_at + ONE_WAY_DELAY_US)
    sim->result->calls_after_evacuation++;
  if (sim->now < target->cold_until)
    S_record_cold_call (sim, target);
  if (target->fault == SIM_FAULT_UNRESPONSIVE)
    return;
  if (S_refuses_connections (target))
    {
      S_respond (sim, call, MR_CALL_NOT_CONNECTED);
      return;
    }
  S_record_call (sim, call);
  if (target->fault == SIM_FAULT_SHEDS && g_rand_double (sim->random) < target->factor)
    S_respond (sim, call, MR_CALL_SHED);
  else if (target->running_calls < sim->plan->slots)
    S_start_call (sim, target, call);
  else if (target->queue.length < sim->plan->queue)
    g_queue_push_tail (&target->queue, call);
  else
    S_respond (sim, call, MR_CALL_SHED);
}

static void
S_release_slot (Simulation *sim, Call *call)
{
  Target *target = call->target;
  target->running_calls--;
  call->running = FALSE;
  while (target->running_calls < sim->plan->slots && !g_queue_is_empty (&target->queue))
    {
      Call *next = g_queue_pop_head (&target->queue);
      if (!next->closed)
        S_start_call (sim, target, next);
    }
}

static void
S_on_call_done (Simulation *sim, Call *call)
{
  const Target *target = call->target;
  if (call->target_crashed)
    return;
  S_release_slot (sim, call);
  if (call->closed || target->fault == SIM_FAULT_UNRESPONSIVE)
    return;
  gboolean bad = g_rand_double (sim->random) < target->factor;
  if (target->fault == SIM_FAULT_ERRORS && bad)
    S_respond (sim, call, MR_CALL_ERROR);
  else if (target->fault == SIM_FAULT_LOSES_RESPONSES && bad)
    S_respond (sim, call, MR_CALL_BROKEN);
  else
    S_respond (sim, call, MR_CALL_ANSWER);
}

/* Implementation of MrRelayHost. */

static void
S_schedule_tick (Daemon *daemon, MrTime at)
{
  if (at >= daemon->tick_at)
    return;
  daemon->tick_at = at;
  S_schedule (daemon->sim, at, EVENT_TICK, daemon, 0);
}

static void
S_send_call (MrRelayHost *host, const MrRelayCall *out)
{
  Daemon *daemon = (Daemon *) host;
  Simulation *sim = daemon->sim;
  Request *request = out->host_request;
  Target *target = NULL;
  for (guint i = 0; i < sim->target_count && !target; i++)
    if (g_str_equal (sim->targets[i].id, out->target->id))
      target = &sim->targets[i];
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .id = out->id, .daemon = daemon, .target = target, .request = request };
  g_ptr_array_add (sim->calls, call);
  g_hash_table_insert (sim->calls_by_id[daemon->index], &call->id, call);
  if (out->deadline > request->deadline)
    sim->result->deadlines_extended++;
  if (target->leaving_since && sim->now > target->leaving_since + LEAVING_GRACE_US)
    sim->result->calls_after_leaving++;
  call->sent_at = sim->now + S_ms (sim->plan->connect_ms);
  S_schedule (sim, call->sent_at + ONE_WAY_DELAY_US, EVENT_CALL_ARRIVES, call, 0);
}

static gboolean
S_withdraw_call (MrRelayHost *host, guint64 id)
{
  const Daemon *daemon = (const Daemon *) host;
  Call *call = g_hash_table_lookup (daemon->sim->calls_by_id[daemon->index], &id);
  if (call->sent_at <= daemon->sim->now)
    return FALSE;
  call->closed = TRUE;
  return TRUE;
}

static void
S_close_call (MrRelayHost *host, guint64 id)
{
  Daemon *daemon = (Daemon *) host;
  Call *call = g_hash_table_lookup (daemon->sim->calls_by_id[daemon->index], &id);
  call->closed = TRUE;
  /* Most targets abort a call when its connection is closed. */
  if (call->request->is_poison && call->running &&
      !daemon->sim->plan->poison.crashes_after_disconnect)
    S_release_slot (daemon->sim, call);
}

static void
S_probe (MrRelayHost *host, const MrTargetState *target)
{
  Daemon *daemon = (Daemon *) host;
  Simulation *sim = daemon->sim;
  for (guint i = 0; i < sim->target_count; i++)
    if (g_str_equal (sim->targets[i].id, target->id))
      S_schedule (sim, sim->now + 2 * ONE_WAY_DELAY_US + HANDSHAKE_US, EVENT_PROBE_DONE, daemon, i);
}

static void
S_reconnect (MrRelayHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_publish_evidence (MrRelayHost *host, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  const Daemon *daemon = (const Daemon *) host;
  Simulation *sim = daemon->sim;
  EvidenceMessage *message = g_new (EvidenceMessage, 1);
  *message = (EvidenceMessage){ daemon->index, fingerprint, *evidence };
  g_ptr_array_add (sim->messages, message);
  S_schedule (sim, sim->now + S_ms (sim->plan->evidence_delay_ms), EVENT_EVIDENCE, message, 0);
}

static void
S_on_evidence (Simulation *sim, const EvidenceMessage *message)
{
  for (guint i = 0; i < sim->plan->daemons; i++)
    if (i != message->from)
      {
        mr_relay_merge_evidence (sim->daemons[i].relay, sim->now, message->fingerprint,
                                 &message->evidence);
        S_schedule_tick (&sim->daemons[i], sim->now);
      }
}

/* Only the first daemon may try contents that are on probation. */
static gboolean
S_may_try_content (MrRelayHost *host, MrFingerprint fingerprint)
{
  (void) fingerprint;
  return ((const Daemon *) host)->index == 0;
}

/* Poison requests do not count in the routes' statistics.  Their callers may retry at once. */
static void
S_record_poison_result (Request *request, const MrRelayResult *result)
{
  Simulation *sim = request->sim;
  if (result->verdict <= MR_VERDICT_MERGE)
    sim->result->poison_served++;
  else if (request->retries_left > 0)
    S_schedule (sim, sim->now + 2 * ONE_WAY_DELAY_US, EVENT_POISON_REQUEST,
                GUINT_TO_POINTER (request->poison_content), request->retries_left - 1);
}

static void
S_record_result (Request *request, const MrRelayResult *result)
{
  Simulation *sim = request->sim;
  if (request->is_poison)
    {
      S_record_poison_result (request, result);
      return;
    }
  SimRouteStats *stats = &sim->result->routes[request->route];
  const SimRoute *route = &sim->plan->routes[request->route];
  if (result->cause == MR_CAUSE_QUARANTINED)
    stats->quarantined++;
  MrTime latency = sim->now - request->arrived;
  if (result->verdict == MR_VERDICT_REFUSED)
    {
      stats->refused++;
      sim->result->over_share += result->over_share ? 1 : 0;
      sim->result->organisations[request->organisation].refused += request->counts ? 1 : 0;
      if (request->retries_left > 0)
        S_schedule (sim, sim->now + 2 * ONE_WAY_DELAY_US, EVENT_RETRY, request, 0);
      if (request->executions > 0)
        sim->result->false_not_run++;
      return;
    }
  if (result->verdict > MR_VERDICT_MERGE)
    {
      stats->failed++;
      return;
    }
  guint answered = 0;
  for (guint i = 0; i < result->part_count; i++)
    answered += result->answers[i] != NULL;
  double coverage = (double) answered / result->part_count;
  if (answered + result->missing_parts != result->part_count || coverage < route->min_coverage)
    sim->result->wrong_shard_counts++;
  stats->missing_shards += (double) result->missing_parts / result->part_count;
  /* Connecting and network delay add about 12 ms to the latency that the caller sees. */
  gboolean on_time = latency + 12 * MR_MS <= S_ms (route->latency_goal_ms);
  on_time ? stats->on_time++ : stats->late++;
  if (on_time && request->counts)
    sim->result->organisations[request->organisation].on_time++;
  stats->utility += coverage * coverage * (on_time ? 1 : 0.1);
}

static void
S_request_done (MrRelayHost *host, gpointer host_request, const MrRelayResult *result)
{
  Request *request = host_request;
  (void) host;
  request->done = TRUE;
  request->active = NULL;
  const MrRoute *route = request->sim->routes[request->route];
  if (request->sim->now - request->arrived > route->time_limit + VERDICT_SLACK_US)
    request->sim->result->late_verdicts++;
  S_record_result (request, result);
}

static void
S_free_answer (gpointer answer)
{
  (void) answer;
}

/* Callers. */

/* Usual load of the organisation, as a fraction of all. */
static double
S_usual_share (const Simulation *sim, guint organisation)
{
  return sim->organisation_shares[organisation] -
         (organisation > 0 ? sim->organisation_shares[organisation - 1] : 0);
}

static gboolean
S_is_busy (const Simulation *sim)
{
  const SimOrganisations *plan = &sim->plan->organisations;
  return plan->factor > 0 && sim->now >= S_ms (plan->from_ms) &&
         (plan->to_ms <= 0 || sim->now < S_ms (plan->to_ms));
}

/* Load of the busy organisation in addition to its usual load, as a fraction of the load of all. */
static double
S_excess (const Simulation *sim)
{
  const SimOrganisations *plan = &sim->plan->organisations;
  return S_is_busy (sim) ? (plan->factor - 1) * S_usual_share (sim, plan->busy) : 0;
}

static guint
S_choose_organisation (Simulation *sim)
{
  const SimOrganisations *plan = &sim->plan->organisations;
  double at = g_rand_double (sim->random) * (1 + S_excess (sim));
  guint i = 0;
  if (at >= 1)
    return plan->busy;
  while (i + 1 < plan->count && at >= sim->organisation_shares[i])
    i++;
  return i;
}

static void
S_next_arrival (Simulation *sim, guint route)
{
  double rate = sim->plan->routes[route].requests_per_second * (1 + S_excess (sim));
  double gap = S_exponential (sim, 1e6 / rate);
  S_schedule (sim, sim->now + (MrTime) gap, EVENT_REQUEST_ARRIVES, NULL, route);
}

static Request *
S_request_new (Simulation *sim, guint route)
{
  Request *request = g_new0 (Request, 1);
  request->sim = sim;
  request->route = route;
  request->daemon = &sim->daemons[g_rand_int_range (sim->random, 0, (gint32) sim->plan->daemons)];
  if (sim->plan->first_daemon_ratio > 0 &&
      g_rand_double (sim->random) < sim->plan->first_daemon_ratio)
    request->daemon = &sim->daemons[0];
  if (sim->plan->stop.from_ms > 0 && sim->now >= S_ms (sim->plan->stop.read_ms) &&
      request->daemon == &sim->daemons[0])
    request->daemon = &sim->daemons[sim->plan->daemons - 1];
  return request;
}

static MrFingerprint
S_fingerprint (const Simulation *sim, const Request *request)
{
  if (request->is_poison)
    return (MrFingerprint){ .high = POISON_CONTENT, .low = request->poison_content };
  if (request->is_popular)
    return (MrFingerprint){ .high = POPULAR_CONTENT + request->route };
  return (MrFingerprint){ .low = sim->requests->len };
}

static void
S_submit (Simulation *sim, Request *request)
{
  const SimRoute *route = &sim->plan->routes[request->route];
  request->arrived = sim->now;
  request->deadline = sim->now + S_ms (route->deadline_ms);
  request->calls_sent = g_new0 (guint8, sim->plan->shards);
  request->targets_tried = g_new0 (guint64, sim->plan->shards);
  request->targets_pending = g_new0 (guint64, sim->plan->shards);
  g_ptr_array_add (sim->requests, request);
  guint parts = route->min_coverage > 0 ? sim->plan->shards : 1;
  for (guint i = 0; i < parts; i++)
    g_array_append_val (sim->shard_logs[i].requests, sim->now);
  const SimOrganisations *organisations = &sim->plan->organisations;
  gboolean identified = organisations->count > 0 && !organisations->ignored && !request->is_poison;
  MrRelayRequestParams params = {
    .host_request = request,
    .organisation = identified ? &sim->organisations[request->organisation] : NULL,
    .configuration = sim->configuration,
    .route = sim->routes[request->route],
    .deadline = request->deadline,
    .fingerprint = S_fingerprint (sim, request),
  };
  MrActiveRequest *active = mr_relay_submit (request->daemon->relay, sim->now, &params);
  if (active && !request->done)
    request->active = active;
  S_schedule_tick (request->daemon, sim->now);
}

static void
S_set_organisation (Simulation *sim, Request *request)
{
  const SimOrganisations *plan = &sim->plan->organisations;
  request->organisation = S_choose_organisation (sim);
  request->counts = plan->factor <= 0 || S_is_busy (sim);
  if (request->organisation == plan->busy)
    request->retries_left = plan->retries;
  if (request->counts)
    sim->result->organisations[request->organisation].requests++;
}

/* Sends the request again, to a daemon chosen at random. */
static void
S_on_retry (Simulation *sim, const Request *refused)
{
  Request *request = S_request_new (sim, refused->route);
  request->organisation = refused->organisation;
  request->counts = refused->counts;
  request->retries_left = refused->retries_left - 1;
  sim->result->routes[request->route].requests++;
  S_submit (sim, request);
}

static void
S_on_request_arrives (Simulation *sim, guint index)
{
  const SimRoute *route = &sim->plan->routes[index];
  if (sim->now >= sim->end)
    return;
  S_next_arrival (sim, index);
  Request *request = S_request_new (sim, index);
  request->is_popular =
      sim->plan->popular_ratio > 0 && g_rand_double (sim->random) < sim->plan->popular_ratio;
  sim->result->routes[index].requests++;
  if (sim->plan->organisations.count > 0)
    S_set_organisation (sim, request);
  if (g_rand_double (sim->random) < sim->plan->abandon_ratio)
    S_schedule (sim, sim->now + S_ms (route->latency_goal_ms / 2), EVENT_ABANDON, request, 0);
  S_submit (sim, request);
}

static void
S_on_poison_request (Simulation *sim, guint content, guint retries)
{
  Request *request = S_request_new (sim, sim->plan->poison.route);
  request->is_poison = TRUE;
  request->poison_content = content;
  request->retries_left = retries;
  S_submit (sim, request);
}

static void
S_on_abandon (Simulation *sim, Request *request)
{
  if (request->done)
    return;
  request->done = TRUE;
  request->abandoned_at = sim->now;
  sim->result->routes[request->route].abandoned++;
  mr_relay_abandon_request (request->daemon->relay, sim->now, request->active);
}

/* Faults. */

static void
S_update_listing (Simulation *sim, const Target *target, gboolean leaving, MrTime cold_for)
{
  char service[32];
  g_snprintf (service, sizeof service, "s%u", target->shard);
  MrTarget info = { .port = 1000 + (int) target->index, .slots = sim->plan->slots };
  info.connections = sim->plan->connections;
  g_strlcpy (info.id, target->id, sizeof info.id);
  g_strlcpy (info.ip, "10.0.0.1", sizeof info.ip);
  g_snprintf (info.domain, sizeof info.domain, "d%u", target->index % SIM_DOMAINS);
  for (guint i = 0; i < sim->plan->daemons; i++)
    mr_relay_update_target (sim->daemons[i].relay, sim->now, service, &info, leaving, cold_for);
}

/* Starts or ends an evacuation, without delay at all daemons. */
static void
S_evacuate (Simulation *sim, const SimFault *fault, gboolean starts)
{
  g_autoptr (GHashTable) domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SIM_DOMAINS; i++)
    {
      if (i >= fault->first && i <= fault->last)
        sim->evacuated_at[i] = starts ? sim->now : 0;
      if (sim->evacuated_at[i] != 0)
        g_hash_table_add (domains, g_strdup_printf ("d%u", i));
    }
  for (guint i = 0; i < sim->plan->daemons; i++)
    {
      mr_relay_set_evacuated (sim->daemons[i].relay, sim->now, domains);
      S_schedule_tick (&sim->daemons[i], sim->now);
    }
}

static void
S_on_fault (Simulation *sim, guint index)
{
  const SimFault *fault = &sim->plan->faults[index / 2];
  gboolean starts = index % 2 == 0;
  if (fault->type == SIM_FAULT_EVACUATED)
    {
      S_evacuate (sim, fault, starts);
      return;
    }
  for (guint i = fault->first; i <= fault->last && i < sim->target_count;
       i += MAX (fault->stride, 1))
    {
      Target *target = &sim->targets[i];
      target->fault = starts ? fault->type : SIM_FAULT_NONE;
      target->factor = starts ? fault->factor : 0;
      if (!starts)
        continue;
      if (fault->type == SIM_FAULT_CRASHED || fault->type == SIM_FAULT_CRASHED_AND_REMOVED)
        S_crash_process (sim, target);
      if (fault->type == SIM_FAULT_COLD && target->leaving_since == 0)
        {
          target->cold_until = S_ms (fault->to_ms);
          S_update_listing (sim, target, FALSE, target->cold_until - sim->now);
        }
      if (fault->type == SIM_FAULT_REMOVED || fault->type == SIM_FAULT_LEAVING)
        target->leaving_since = sim->now;
      if (fault->type == SIM_FAULT_LEAVING)
        S_update_listing (sim, target, TRUE, 0);
      if (fault->type == SIM_FAULT_REMOVED || fault->type == SIM_FAULT_CRASHED_AND_REMOVED)
        S_remove_target (sim, target);
    }
}

/* Setup. */

static MrConfiguration *
S_make_configuration (const SimPlan *plan)
{
  GString *json = g_string_new ("{\"version\":1,\"limits\":{\"head_bytes\":1,\"body_bytes\":1,"
                                "\"head_time\":1,\"idle_time\":1},\"services\":[");
  for (guint i = 0; i < plan->shards; i++)
    g_string_append_printf (json, "%s{\"name\":\"s%u\",\"connections\":%u,\"cold_rate\":%f}",
                            i > 0 ? "," : "", i, plan->connections, plan->cold_rate);
  g_string_append (json, "],\"routes\":[");
  for (guint r = 0; r < SIM_ROUTES_MAX && plan->routes[r].requests_per_second > 0; r++)
    {
      const SimRoute *route = &plan->routes[r];
      g_string_append_printf (json,
                              "%s{\"name\":\"r%u\",\"host\":\"h\",\"prefix\":\"/%u/\","
                              "\"repeatable\":%s,\"time_limit\":%f,\"aim\":%f,\"attempts\":%u,"
                              "\"rank\":%u,\"top_records\":5,\"least_share\":%f,",
                              r > 0 ? "," : "", r, r, route->unsafe ? "false" : "true",
                              route->deadline_ms, route->latency_goal_ms, plan->attempts,
                              route->priority, route->min_coverage);
      g_string_append (json, route->min_coverage > 0 ? "\"shards\":[" : "\"service\":\"s0\"}");
      for (guint i = 0; i < plan->shards && route->min_coverage > 0; i++)
        g_string_append_printf (json, "%s\"s%u\"", i > 0 ? "," : "", i);
      if (route->min_coverage > 0)
        g_string_append (json, "]}");
    }
  g_string_append (json, "]}");
  MrConfiguration *configuration = mr_configuration_parse (mr_text_of (json));
  g_string_free (json, TRUE);
  return configuration;
}

static void
S_make_organisations (Simulation *sim)
{
  const SimOrganisations *plan = &sim->plan->organisations;
  double sum = 0;
  for (guint i = 0; i < plan->count; i++)
    {
      sum += pow (i + 1, -plan->exponent);
      sim->organisation_shares[i] = sum;
      sim->organisations[i] = (MrOrganisation){
        .name = g_strdup_printf ("o%u", i),
        .priority = plan->lower_from > 0 && i >= plan->lower_from ? 1 : 0,
      };
    }
  for (guint i = 0; i < plan->count; i++)
    sim->organisation_shares[i] /= sum;
}

static void
S_make_daemons (Simulation *sim)
{
  static const MrRelayHost host = {
    .send_call = S_send_call,
    .close_call = S_close_call,
    .withdraw_call = S_withdraw_call,
    .probe = S_probe,
    .reconnect = S_reconnect,
    .request_done = S_request_done,
    .free_answer = S_free_answer,
    .publish_evidence = S_publish_evidence,
    .may_try_content = S_may_try_content,
  };
  for (guint i = 0; i < sim->plan->daemons; i++)
    {
      Daemon *daemon = &sim->daemons[i];
      char domain[8];
      g_snprintf (domain, sizeof domain, "d%u", i % SIM_DOMAINS);
      MrRelayOptions options = {
        .domain = domain,
        .policy = sim->plan->policy ? sim->plan->policy : &mr_relay_policy,
        .seed = sim->plan->seed + i,
        .budget = { .window = RESEND_WINDOW_US,
                    .ratio = RESEND_RATIO_PERCENT / 100.0,
                    .allowance = RESEND_ALLOWANCE,
                    .share = 1.0 / sim->plan->daemons,
                    .margin = MR_RESEND_BUDGET_MARGIN,
                    .started_at = 0 },
        .cold_limit = { .rate_factor = COLD_RATE_FACTOR, .slack = COLD_RATE_SLACK },
      };
      *daemon = (Daemon){ .host = host, .sim = sim, .index = i, .tick_at = MR_NEVER };
      daemon->relay = mr_relay_new (&daemon->host, &options);
      MrRelayShares shares = {
        .connections = 1 / (1.5 * sim->plan->daemons),
        .slots = 1.0 / sim->plan->daemons,
        .allowance = 1.0 / sim->plan->daemons,
        .cold = 1.0 / sim->plan->daemons,
      };
      mr_relay_set_shares (daemon->relay, &shares);
    }
}

static void
S_make_targets (Simulation *sim)
{
  sim->target_count = sim->plan->shards * sim->plan->replicas;
  for (guint i = 0; i < sim->target_count; i++)
    {
      Target *target = &sim->targets[i];
      *target = (Target){ .index = i, .shard = i / sim->plan->replicas };
      target->next_pause_at = S_ms (g_rand_double (sim->random) * sim->plan->pause_interval_ms);
      g_snprintf (target->id, sizeof target->id, "t%u", i);
      g_queue_init (&target->queue);
      S_update_listing (sim, target, FALSE, 0);
    }
}

static void
S_schedule_faults (Simulation *sim)
{
  for (guint i = 0; i < G_N_ELEMENTS (sim->plan->faults); i++)
    {
      const SimFault *fault = &sim->plan->faults[i];
      if (fault->type == SIM_FAULT_NONE)
        continue;
      S_schedule (sim, S_ms (fault->from_ms), EVENT_FAULT, NULL, 2 * i);
      if (fault->to_ms > 0)
        S_schedule (sim, S_ms (fault->to_ms), EVENT_FAULT, NULL, 2 * i + 1);
    }
}

static void
S_begin_stop (Simulation *sim)
{
  Daemon *daemon = &sim->daemons[0];
  mr_relay_set_stop_time (daemon->relay, S_ms (sim->plan->stop.until_ms));
  S_schedule_tick (daemon, sim->now);
}

static void
S_check_stopped (Simulation *sim)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      const Request *request = g_ptr_array_index (sim->requests, i);
      if (request->daemon == &sim->daemons[0] && !request->done)
        sim->result->cut_by_stop++;
    }
}

static void
S_schedule_stop (Simulation *sim)
{
  if (sim->plan->stop.from_ms <= 0)
    return;
  S_schedule (sim, S_ms (sim->plan->stop.from_ms), EVENT_STOP, NULL, 0);
  S_schedule (sim, S_ms (sim->plan->stop.until_ms) + MR_MS, EVENT_STOPPED, NULL, 0);
}

static void
S_schedule_poison (Simulation *sim)
{
  const SimPoisonRequest *poison = &sim->plan->poison;
  for (guint i = 0; i < poison->count; i++)
    for (guint copy = 0; copy < MAX (poison->copies, 1); copy++)
      S_schedule (sim, S_ms (poison->from_ms + i * poison->interval_ms), EVENT_POISON_REQUEST,
                  GUINT_TO_POINTER (poison->varying_content ? i : 0), poison->caller_retries);
}

static void
S_on_event (Simulation *sim, const Event *event)
{
  Call *call = event->object;
  Daemon *daemon = event->object;
  switch (event->type)
    {
    case EVENT_REQUEST_ARRIVES:
      S_on_request_arrives (sim, event->index);
      break;
    case EVENT_CALL_ARRIVES:
      S_on_call_arrives (sim, call);
      break;
    case EVENT_CALL_DONE:
      S_on_call_done (sim, call);
      break;
    case EVENT_RESPONSE:
      if (!call->closed)
        {
          mr_relay_call_end (call->daemon->relay, sim->now, call->id, call->outcome,
                             call->outcome == MR_CALL_ANSWER ? sim : NULL);
          S_schedule_tick (call->daemon, sim->now);
        }
      break;
    case EVENT_TICK:
      if (event->at != daemon->tick_at)
        break; /* replaced by an earlier tick */
      daemon->tick_at = MR_NEVER;
      S_schedule_tick (daemon, MAX (mr_relay_tick (daemon->relay, sim->now), sim->now + 1));
      break;
    case EVENT_FAULT:
      S_on_fault (sim, event->index);
      break;
    case EVENT_RETRY:
      S_on_retry (sim, event->object);
      break;
    case EVENT_ABANDON:
      S_on_abandon (sim, event->object);
      break;
    case EVENT_POISON_REQUEST:
      S_on_poison_request (sim, GPOINTER_TO_UINT (event->object), event->index);
      break;
    case EVENT_CRASH:
      S_on_crash (sim, call);
      break;
    case EVENT_EVIDENCE:
      S_on_evidence (sim, event->object);
      break;
    case EVENT_STOP:
      S_begin_stop (sim);
      break;
    case EVENT_STOPPED:
      S_check_stopped (sim);
      break;
    case EVENT_RESTART:
      sim->targets[event->index].fault = SIM_FAULT_NONE;
      break;
    case EVENT_PROBE_DONE:
      {
        const Target *target = &sim->targets[event->index];
        gboolean alive = target->fault != SIM_FAULT_UNRESPONSIVE && !S_refuses_connections (target);
        mr_relay_probe_end (daemon->relay, sim->now, target->id, alive);
        S_schedule_tick (daemon, sim->now);
        break;
      }
    }
}

/* Checks at the end of a run. */

/* Counts the elements of @times, which are sorted, in the window that ends at @end.  @first and
 * @last are kept between calls with increasing @end. */
static guint
S_count_in_window (const GArray *times, MrTime end, guint *first, guint *last)
{
  while (*last < times->len && g_array_index (times, MrTime, *last) <= end)
    (*last)++;
  while (*first < *last && g_array_index (times, MrTime, *first) <= end - RESEND_WINDOW_US)
    (*first)++;
  return *last - *first;
}

/* Returns the most hedges and retries over the budget in any window that ends with one. */
static guint
S_budget_excess (const ShardLog *log)
{
  guint max_excess = 0;
  guint positions[4] = { 0 };
  for (guint i = 0; i < log->resends->len; i++)
    {
      MrTime end = g_array_index (log->resends, MrTime, i);
      guint resends = S_count_in_window (log->resends, end, &positions[0], &positions[1]);
      guint requests = S_count_in_window (log->requests, end, &positions[2], &positions[3]);
      double limit = RESEND_RATIO_PERCENT / 100.0 * requests + RESEND_ALLOWANCE;
      if (resends > limit)
        max_excess = MAX (max_excess, (guint) (resends - limit));
    }
  return max_excess;
}

static void
S_check_run (Simulation *sim)
{
  for (guint i = 0; i < sim->plan->shards; i++)
    sim->result->max_budget_excess =
        MAX (sim->result->max_budget_excess, S_budget_excess (&sim->shard_logs[i]));
  for (guint i = 0; i < sim->requests->len; i++)
    {
      const Request *request = g_ptr_array_index (sim->requests, i);
      if (!request->done)
        sim->result->unanswered++;
      if (sim->plan->routes[request->route].unsafe && request->executions > 1)
        sim->result->ran_twice++;
    }
  for (guint i = 0; i < sim->calls->len; i++)
    {
      const Call *call = g_ptr_array_index (sim->calls, i);
      if (call->request->abandoned_at && !sim->plan->routes[call->request->route].unsafe &&
          !call->closed && call->outcome == MR_CALL_ANSWER && call->running)
        sim->result->calls_after_abandon++;
    }
}

static void
S_request_free (gpointer data)
{
  Request *request = data;
  g_free (request->calls_sent);
  g_free (request->targets_tried);
  g_free (request->targets_pending);
  g_free (request);
}

static void
S_simulation_free (Simulation *sim)
{
  for (guint i = 0; i < sim->plan->daemons; i++)
    {
      mr_relay_free (sim->daemons[i].relay);
      g_hash_table_unref (sim->calls_by_id[i]);
    }
  for (guint i = 0; i < sim->plan->shards; i++)
    {
      g_array_unref (sim->shard_logs[i].requests);
      g_array_unref (sim->shard_logs[i].resends);
    }
  for (guint i = 0; i < sim->target_count; i++)
    {
      g_queue_clear (&sim->targets[i].queue);
      g_queue_clear_full (&sim->targets[i].cold_calls, g_free);
    }
  g_free (sim->shard_logs);
  g_ptr_array_unref (sim->calls);
  g_ptr_array_unref (sim->requests);
  g_ptr_array_unref (sim->messages);
  g_sequence_free (sim->events);
  for (guint i = 0; i < sim->plan->organisations.count; i++)
    g_free (sim->organisations[i].name);
  mr_configuration_unref (sim->configuration);
  g_rand_free (sim->random);
  g_free (sim);
}

void
sim_run (const SimPlan *plan, SimResult *result)
{
  Simulation *sim = g_new0 (Simulation, 1);
  *result = (SimResult){ 0 };
  sim->plan = plan;
  sim->result = result;
  sim->random = g_rand_new_with_seed (plan->seed);
  sim->events = g_sequence_new (g_free);
  sim->calls = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < plan->daemons; i++)
    sim->calls_by_id[i] = g_hash_table_new (g_int64_hash, g_int64_equal);
  sim->requests = g_ptr_array_new_with_free_func (S_request_free);
  sim->messages = g_ptr_array_new_with_free_func (g_free);
  sim->shard_logs = g_new0 (ShardLog, plan->shards);
  for (guint i = 0; i < plan->shards; i++)
    sim->shard_logs[i] = (ShardLog){ g_array_new (FALSE, FALSE, sizeof (MrTime)),
                                     g_array_new (FALSE, FALSE, sizeof (MrTime)) };
  sim->now = MR_SECOND;
  sim->end = sim->now + (MrTime) (plan->duration_s * (double) MR_SECOND);
  sim->configuration = S_make_configuration (plan);
  S_make_organisations (sim);
  S_make_daemons (sim);
  S_make_targets (sim);
  S_schedule_faults (sim);
  S_schedule_poison (sim);
  S_schedule_stop (sim);
  for (guint r = 0; r < SIM_ROUTES_MAX && plan->routes[r].requests_per_second > 0; r++)
    {
      char path[8];
      g_snprintf (path, sizeof path, "/%u/", r);
      sim->routes[r] =
          mr_configuration_find_route (sim->configuration, MR_TEXT ("h"), mr_text (path));
      S_next_arrival (sim, r);
    }
  /* All requests must have ended by then: the longest deadline is shorter. */
  MrTime stop = sim->end + 12 * MR_SECOND;
  for (GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
       !g_sequence_iter_is_end (first); first = g_sequence_get_begin_iter (sim->events))
    {
      Event event = *(Event *) g_sequence_get (first);
      g_sequence_remove (first);
      if (event.at > stop)
        break;
      sim->now = event.at;
      S_on_event (sim, &event);
    }
  S_check_run (sim);
  S_simulation_free (sim);
}
