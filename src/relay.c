#include "relay_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  SAMPLES_DECAY = 2000,
  SAMPLES_READ = 32, /* the quantiles are read once in so many */
};

static const double MEAN_WEIGHT = 0.05;
/* Before anything is measured: this share of the aim. */
static const double MEAN_FIRST_SHARE = 0.2;
/* Kept back from a route's aim for what its clock counts beside our time: the
 * caller's connection, the way to it and back (about 12 ms), and the merge. */
static const MrTime AIM_RESERVE = 25 * MR_MS;
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
/* When to come back where no target is known to work: a target is probed again
 * within this time. */
static const MrTime RETRY_NO_TARGET = 400 * MR_MS;
static const MrTime RETRY_MIN = 100 * MR_MS;
static const MrTime RETRY_MAX = 2 * MR_SECOND;

/* Smooth weighted round robin: shares are exact over every few requests, with
 * no chance in them. */
typedef struct
{
  guint64 version;
  GArray *credit; /* double, one a part */
} Split;

const char *
mr_cause_name (MrCause cause)
{
  static const char *const names[] = {
    [MR_CAUSE_NONE] = "none",
    [MR_CAUSE_NO_TARGET] = "no-target",
    [MR_CAUSE_OVERLOAD] = "overload",
    [MR_CAUSE_ATTEMPTS] = "attempts",
    [MR_CAUSE_BUDGET] = "budget",
    [MR_CAUSE_BROKEN] = "broken",
    [MR_CAUSE_FEW_SHARDS] = "few-shards",
    [MR_CAUSE_TIME] = "time",
    [MR_CAUSE_SOFT_END] = "soft-end",
  };
  return names[cause];
}

const char *
mr_verdict_name (MrVerdict verdict)
{
  static const char *const names[] = {
    [MR_VERDICT_ANSWER] = "answer",   [MR_VERDICT_MERGE] = "merge",
    [MR_VERDICT_REFUSED] = "refused", [MR_VERDICT_FAILED] = "failed",
    [MR_VERDICT_TIMEOUT] = "timeout",
  };
  return names[verdict];
}

const char *
mr_send_reason_name (MrSendReason reason)
{
  static const char *const names[] = {
    [MR_SEND_FIRST] = "first",
    [MR_SEND_HEDGE] = "hedge",
    [MR_SEND_RETRY] = "retry",
  };
  return names[reason];
}

static void
S_service_free (gpointer data)
{
  Service *service = data;
  g_ptr_array_unref (service->targets);
  g_free (service->name);
  g_free (service);
}

static void
S_split_free (gpointer data)
{
  Split *split = data;
  g_array_unref (split->credit);
  g_free (split);
}

MrRelay *
mr_relay_new (MrRelayHost *host, const MrRelayInfo *info)
{
  MrRelay *r = g_new0 (MrRelay, 1);
  r->host = host;
  r->domain = g_strdup (info->domain);
  r->terms = info->budget;
  r->random = g_rand_new_with_seed (info->seed);
  r->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  r->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->splits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_split_free);
  r->targets = g_hash_table_new (g_str_hash, g_str_equal);
  r->homes = g_hash_table_new (g_str_hash, g_str_equal);
  r->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  r->works = g_hash_table_new (NULL, NULL);
  r->retired = g_ptr_array_new_with_free_func ((GDestroyNotify) mr_target_state_free);
  r->timers = mr_timers_new ();
  return r;
}

static void
S_work_free (MrRelay *r, MrRelayWork *work)
{
  mr_timers_set (r->timers, &work->timer, MR_NEVER);
  for (guint i = 0; i < work->part_count; i++)
    {
      if (work->answers[i])
        r->host->free_answer (work->answers[i]);
      if (work->jobs[i].failure)
        r->host->free_answer (work->jobs[i].failure);
    }
  mr_configuration_unref (work->configuration);
  g_array_unref (work->sends);
  g_free (work->jobs);
  g_free (work->answers);
  g_free (work);
}

void
mr_relay_free (MrRelay *r)
{
  if (!r)
    return;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, r->works);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    S_work_free (r, item);
  g_hash_table_iter_init (&iter, r->calls);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    g_free (item);
  g_hash_table_iter_init (&iter, r->targets);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    mr_target_state_free (item);
  g_hash_table_unref (r->works);
  g_hash_table_unref (r->calls);
  g_hash_table_unref (r->homes);
  g_hash_table_unref (r->targets);
  g_hash_table_unref (r->splits);
  g_hash_table_unref (r->kinds);
  g_hash_table_unref (r->services);
  g_ptr_array_unref (r->retired);
  mr_timers_free (r->timers);
  g_rand_free (r->random);
  g_free (r->domain);
  g_free (r);
}

void
mr_relay_set_share (MrRelay *r, double connections, double allowance)
{
  r->connections = connections;
  r->terms.share = allowance;
}

Service *
mr_relay_service (MrRelay *r, const char *name)
{
  Service *service = g_hash_table_lookup (r->services, name);
  if (service)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->targets = g_ptr_array_new ();
  g_queue_init (&service->waiting);
  g_hash_table_insert (r->services, service->name, service);
  return service;
}

/* Targets. */

static void
S_probe (gpointer owner, const MrTargetState *target)
{
  MrRelayHost *host = ((MrRelay *) owner)->host;
  host->probe (host, target);
}

static void
S_renew (gpointer owner, const MrTargetState *target)
{
  MrRelayHost *host = ((MrRelay *) owner)->host;
  host->renew (host, target);
}

static const MrTargetOps target_ops = { .probe = S_probe, .renew = S_renew };

void
mr_relay_act (MrRelay *r, MrTime now, MrTargetState *target, MrHealthAction action)
{
  Service *service = g_hash_table_lookup (r->homes, target->id);
  mr_target_state_act (target, now, action, &target_ops, r);
  if (service && !g_queue_is_empty (&service->waiting))
    mr_relay_pump (r, now, service);
}

static MrTargetState *
S_add_target (MrRelay *r, MrTime now, const char *service, const MrTarget *target, MrTime cold_for)
{
  char key[64];
  g_snprintf (key, sizeof key, "%s:%d", target->ip, target->port);
  MrTargetState *state = mr_target_state_new (target, key);
  state->cold_until = now + cold_for;
  g_queue_init (&state->open);
  g_hash_table_insert (r->targets, state->id, state);
  Service *home = mr_relay_service (r, service);
  g_hash_table_insert (r->homes, state->id, home);
  g_ptr_array_add (home->targets, state);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_KNOWN, "target %s (%s) of %s in %s, slow for %d ms yet",
          state->id, key, service, state->domain, (int) (cold_for / MR_MS));
  return state;
}

void
mr_relay_target (MrRelay *r,
                 MrTime now,
                 const char *service,
                 const MrTarget *target,
                 gboolean leaving,
                 MrTime cold_for)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, target->id);
  if (!state)
    state = S_add_target (r, now, service, target, cold_for);
  if (leaving && state->health.state != MR_HEALTH_LEAVING)
    {
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: listed as leaving",
              state->id, state->key);
      mr_health_on_leaving (&state->health, now);
    }
  mr_relay_pump (r, now, g_hash_table_lookup (r->homes, state->id));
}

void
mr_relay_target_gone (MrRelay *r, MrTime now, const char *id)
{
  MrTargetState *state = g_hash_table_lookup (r->targets, id);
  if (!state)
    return;
  Service *home = g_hash_table_lookup (r->homes, id);
  mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: no longer listed",
          state->id, state->key);
  mr_health_on_leaving (&state->health, now);
  state->health.leaving_at = now;
  g_ptr_array_remove (home->targets, state);
  g_hash_table_remove (r->targets, state->id);
  r->host->renew (r->host, state);
  mr_relay_pump (r, now, home);
  g_hash_table_remove (r->homes, state->id);
  g_ptr_array_add (r->retired, state);
}

void
mr_relay_probe_end (MrRelay *r, MrTime now, const char *id, gboolean answered)
{
  MrTargetState *target = g_hash_table_lookup (r->targets, id);
  gboolean down = FALSE;
  if (target)
    mr_relay_act (r, now, target, mr_target_state_probed (target, now, answered, &down));
}

/* Admission. */

static Kind *
S_kind (MrRelay *r, const MrRoute *route)
{
  Kind *kind = g_hash_table_lookup (r->kinds, route->name);
  if (kind)
    return kind;
  kind = g_new0 (Kind, 1);
  kind->mean = MEAN_FIRST_SHARE * (double) route->aim;
  kind->aim = route->aim;
  mr_relay_measure (kind);
  g_hash_table_insert (r->kinds, g_strdup (route->name), kind);
  return kind;
}

static guint
S_pick_split (MrRelay *r, const MrConfiguration *configuration, const MrRoute *route)
{
  Split *split = g_hash_table_lookup (r->splits, route->name);
  guint64 version = mr_configuration_version (configuration);
  if (!split || split->version != version || split->credit->len != route->part_count)
    {
      split = g_new (Split, 1);
      *split = (Split){ .version = version, .credit = g_array_new (FALSE, TRUE, sizeof (double)) };
      g_array_set_size (split->credit, route->part_count);
      /* Daemons start at different places, or the fleet's first requests would
       * all go to one part. */
      for (guint i = 0; i < route->part_count; i++)
        g_array_index (split->credit, double, i) =
            g_rand_double (r->random) * route->parts[i].weight;
      g_hash_table_replace (r->splits, g_strdup (route->name), split);
    }
  double total = 0;
  guint best = 0;
  for (guint i = 0; i < route->part_count; i++)
    {
      double *credit = &g_array_index (split->credit, double, i);
      *credit += route->parts[i].weight;
      total += route->parts[i].weight;
      if (*credit > g_array_index (split->credit, double, best))
        best = i;
    }
  g_array_index (split->credit, double, best) -= total;
  return best;
}

static guint
S_needed_shards (const MrRoute *route)
{
  if (route->kind != MR_ROUTE_SHARDS)
    return 1;
  guint needed = 1;
  while (needed < route->part_count && (double) needed / route->part_count < route->least_share)
    needed++;
  return needed;
}

static MrRelayWork *
S_work_new (MrRelay *r,
            MrTime now,
            gpointer request,
            MrConfiguration *configuration,
            const MrRoute *route,
            MrTime deadline)
{
  MrRelayWork *work = g_new0 (MrRelayWork, 1);
  gboolean shards = route->kind == MR_ROUTE_SHARDS;
  *work = (MrRelayWork){
    .timed = TIMED_WORK,
    .timer = { .owner = work },
    .request = request,
    .configuration = mr_configuration_ref (configuration),
    .route = route,
    .kind = S_kind (r, route),
    .arrived = now,
    .deadline = deadline,
    .soft_end = shards ? now + MAX (route->aim - AIM_RESERVE, route->aim / 2) : MR_NEVER,
    .hard_end = MIN (deadline - DEADLINE_RESERVE, now + route->time_limit),
    .part_count = shards ? route->part_count : 1,
    .needed = S_needed_shards (route),
  };
  work->open = work->part_count;
  work->jobs = g_new0 (Job, work->part_count);
  work->answers = g_new0 (gpointer, work->part_count);
  work->sends = g_array_new (FALSE, FALSE, sizeof (MrSendNote));
  guint first = route->kind == MR_ROUTE_SPLIT ? S_pick_split (r, configuration, route) : 0;
  for (guint i = 0; i < work->part_count; i++)
    {
      Service *service = mr_relay_service (r, route->parts[first + i].service);
      work->jobs[i] = (Job){ .work = work, .part = i, .service = service, .hedge_at = MR_NEVER };
      mr_window_budget_request (&service->budget, &r->terms, now);
    }
  return work;
}

/* Load of the shard that decides when the answer is ready: the worst one that may
 * not be left out.  A shard that is slow without being crowded counts for
 * nothing: refusing callers would not make it faster, and a late answer is better
 * than none. */
static double
S_deciding_load (const MrRelayWork *work, MrTime now)
{
  enum
  {
    SPARE_MAX = 8
  };
  double worst[SPARE_MAX + 1] = { 0 };
  guint spare = MIN (work->spare, (guint) SPARE_MAX);
  for (guint i = 0; i < work->part_count; i++)
    {
      double load = 0;
      if (mr_relay_job_crowded (&work->jobs[i]))
        load = mr_relay_job_load (&work->jobs[i], now);
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
S_turn_away (MrRelay *r, const MrRelayWork *work, MrTime now)
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
S_admit (MrRelayWork *work, MrTime now, MrTime *wait)
{
  guint alive = 0;
  guint quick = 0;
  double room = 0;
  *wait = 0;
  if (work->hard_end <= now)
    return MR_CAUSE_TIME;
  MrTime most = (MrTime) (WAIT_SHARE * (double) MIN (work->route->aim, work->hard_end - now));
  for (guint i = 0; i < work->part_count; i++)
    {
      if (mr_relay_usable (work->jobs[i].service, &room) == 0)
        continue;
      alive++;
      MrTime expected = mr_relay_expected_wait (&work->jobs[i]);
      *wait = MAX (*wait, expected);
      if (expected <= most)
        quick++;
    }
  if (alive < work->needed)
    return MR_CAUSE_NO_TARGET;
  work->spare = alive - work->needed;
  return quick < work->needed ? MR_CAUSE_OVERLOAD : MR_CAUSE_NONE;
}

/* FALSE if the work has ended with it. */
static gboolean
S_begin_job (MrRelay *r, MrTime now, Job *job)
{
  if (!mr_relay_leave_out (r, now, job))
    return mr_relay_place (r, now, job, MR_SEND_FIRST);
  MrRelayWork *work = job->work;
  r->counts.left_out++;
  mr_relay_end_job (r, now, job, MR_CAUSE_OVERLOAD);
  return g_hash_table_contains (r->works, work);
}

MrRelayWork *
mr_relay_submit (MrRelay *r,
                 MrTime now,
                 gpointer request,
                 MrConfiguration *configuration,
                 const MrRoute *route,
                 MrTime deadline)
{
  MrRelayWork *work = S_work_new (r, now, request, configuration, route, deadline);
  MrTime wait = 0;
  g_hash_table_add (r->works, work);
  r->counts.requests++;
  work->cause = S_admit (work, now, &wait);
  if (work->cause == MR_CAUSE_NONE && S_turn_away (r, work, now))
    work->cause = MR_CAUSE_OVERLOAD;
  if (work->cause != MR_CAUSE_NONE)
    {
      mr_relay_finish (r, now, work, MR_VERDICT_REFUSED);
      return NULL;
    }
  mr_relay_schedule (r, work);
  /* From a random one on, so that what may be left out is shared by all shards
   * that are loaded. */
  guint count = work->part_count;
  guint first = count > 1 ? (guint) g_rand_int_range (r->random, 0, (gint32) count) : 0;
  for (guint i = 0; i < count; i++)
    if (!S_begin_job (r, now, &work->jobs[(first + i) % count]) &&
        !g_hash_table_contains (r->works, work))
      return NULL;
  return work;
}

/* Ends. */

static MrTime
S_retry_after (const MrRelayWork *work)
{
  MrTime wait = 0;
  for (guint i = 0; i < work->part_count; i++)
    wait = MAX (wait, mr_relay_expected_wait (&work->jobs[i]));
  if (work->cause == MR_CAUSE_NO_TARGET)
    wait = MAX (wait, RETRY_NO_TARGET);
  return CLAMP (wait, RETRY_MIN, RETRY_MAX);
}

static void
S_count (MrRelay *r, MrVerdict verdict, guint missing)
{
  switch (verdict)
    {
    case MR_VERDICT_ANSWER:
    case MR_VERDICT_MERGE:
      r->counts.partial += missing > 0 ? 1 : 0;
      break;
    case MR_VERDICT_REFUSED:
      r->counts.refused++;
      break;
    case MR_VERDICT_FAILED:
      r->counts.failed++;
      break;
    case MR_VERDICT_TIMEOUT:
      r->counts.timeouts++;
      break;
    }
}

static gboolean
S_has_open_call (const MrRelayWork *work)
{
  for (guint i = 0; i < work->part_count; i++)
    if (mr_relay_job_calls (&work->jobs[i]) > 0)
      return TRUE;
  return FALSE;
}

void
mr_relay_finish (MrRelay *r, MrTime now, MrRelayWork *work, MrVerdict verdict)
{
  /* "Not run" is a promise: a call that is still out may yet run. */
  gboolean may_run = (work->ran || S_has_open_call (work)) && MR_SAFEGUARD (MR_GUARD_NOT_RUN);
  if (verdict == MR_VERDICT_REFUSED && may_run)
    verdict = MR_VERDICT_FAILED;
  if (verdict == MR_VERDICT_TIMEOUT && !may_run)
    verdict = MR_VERDICT_REFUSED;
  MrRelayResult result = {
    .verdict = verdict,
    .cause = work->cause,
    .retry_after = verdict == MR_VERDICT_REFUSED ? S_retry_after (work) : 0,
    .part_count = work->part_count,
    .answers = work->answers,
    .missing = work->part_count - work->have,
    .sends = work->sends,
    .expected_wait = verdict == MR_VERDICT_REFUSED ? mr_relay_expected_wait (&work->jobs[0]) : 0,
  };
  S_count (r, verdict, result.missing);
  g_hash_table_remove (r->works, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_unqueue (&work->jobs[i]);
      mr_relay_orphan_calls (r, now, &work->jobs[i], now + mr_relay_linger ());
    }
  r->host->done (r->host, work->request, &result);
  S_work_free (r, work);
}

void
mr_relay_forget (MrRelay *r, MrTime now, MrRelayWork *work)
{
  /* Searchers drop the work of a connection that closes.  A request that may not
   * be repeated is left to finish: its caller wants it done, if not told. */
  MrTime until = work->route->repeatable ? now : work->hard_end;
  g_hash_table_remove (r->works, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_unqueue (&work->jobs[i]);
      mr_relay_orphan_calls (r, now, &work->jobs[i], until);
    }
  for (guint i = 0; i < work->part_count; i++)
    mr_relay_pump (r, now, work->jobs[i].service);
  S_work_free (r, work);
}

/* The last answer that told a failure goes to the caller as it is, rather than
 * an error of ours that says less. */
static gboolean
S_pass_failure_on (MrRelayWork *work)
{
  Job *job = &work->jobs[0];
  if (work->route->kind == MR_ROUTE_SHARDS || !job->failure)
    return FALSE;
  work->answers[0] = g_steal_pointer (&job->failure);
  work->have = 1;
  return TRUE;
}

void
mr_relay_end_job (MrRelay *r, MrTime now, Job *job, MrCause cause)
{
  MrRelayWork *work = job->work;
  if (job->ended)
    return;
  job->ended = TRUE;
  work->open--;
  if (cause != MR_CAUSE_NONE)
    work->cause = cause;
  if (work->have + work->open < work->needed)
    {
      gboolean passed = S_pass_failure_on (work);
      if (!passed && work->route->kind == MR_ROUTE_SHARDS && work->part_count > 1 && work->ran)
        work->cause = MR_CAUSE_FEW_SHARDS;
      mr_relay_finish (r, now, work, passed ? MR_VERDICT_ANSWER : MR_VERDICT_REFUSED);
      return;
    }
  if (work->open > 0)
    {
      if (work->have >= work->needed && now >= work->soft_end)
        mr_relay_finish (r, now, work, MR_VERDICT_MERGE);
      else
        mr_relay_schedule (r, work);
      return;
    }
  gboolean shards = work->route->kind == MR_ROUTE_SHARDS;
  mr_relay_finish (r, now, work, shards ? MR_VERDICT_MERGE : MR_VERDICT_ANSWER);
}

static void
S_note_latency (Kind *kind, MrTargetState *target, MrTime latency)
{
  mr_target_state_add_latency (target, latency);
  mr_target_state_add_relative (target, latency, kind->usual);
  kind->mean += MEAN_WEIGHT * ((double) latency - kind->mean);
  mr_histogram_add (&kind->latency, latency);
  if (kind->latency.total >= SAMPLES_DECAY)
    mr_histogram_decay (&kind->latency);
  if (kind->latency.total % SAMPLES_READ == 0)
    mr_relay_measure (kind);
}

/* What the end of a call says of its target. */
static MrHealthAction
S_note_target (MrRelay *r, MrTime now, MrTargetState *target, MrCallOutcome outcome)
{
  mr_target_state_add_outcome (target, outcome != MR_CALL_ANSWER);
  switch (outcome)
    {
    case MR_CALL_ANSWER:
      mr_limit_on_success (&target->limit);
      return mr_health_on_answer (&target->health, now);
    case MR_CALL_SHED:
      target->shed++;
      mr_limit_on_shed (&target->limit, now);
      mr_health_on_word (&target->health, now);
      return MR_HEALTH_NOTHING;
    case MR_CALL_DRAINING:
    case MR_CALL_MISDIRECTED:
      mr_log (MR_LOG_NOTICE, MR_EVENT_TARGET_LEAVING, "target %s (%s) leaves: its answer was %s",
              target->id, target->key, mr_call_outcome_name (outcome));
      mr_health_on_leaving (&target->health, now);
      r->host->renew (r->host, target);
      return MR_HEALTH_NOTHING;
    case MR_CALL_ERROR:
      mr_health_on_failure (&target->health, now);
      return MR_HEALTH_NOTHING;
    case MR_CALL_NOT_CONNECTED:
    case MR_CALL_BROKEN:
      return mr_health_on_break (&target->health, now);
    case MR_CALL_NO_SNAPSHOT:
    case MR_CALL_CANCELLED:
    case MR_CALL_SILENT:
      return MR_HEALTH_NOTHING;
    }
  return MR_HEALTH_NOTHING;
}

static gboolean
S_not_run (MrCallOutcome outcome)
{
  return outcome == MR_CALL_SHED || outcome == MR_CALL_DRAINING || outcome == MR_CALL_MISDIRECTED ||
         outcome == MR_CALL_NOT_CONNECTED;
}

/* A call that the job waited for has ended without the wanted answer. */
static void
S_settle (MrRelay *r, MrTime now, Job *job, MrCallOutcome outcome, gpointer answer)
{
  MrRelayWork *work = job->work;
  if (outcome == MR_CALL_NOT_CONNECTED)
    job->sends--; /* no target has seen it */
  if (!S_not_run (outcome))
    work->ran = TRUE;
  if (outcome == MR_CALL_ERROR && answer)
    {
      if (job->failure)
        r->host->free_answer (job->failure);
      job->failure = answer;
    }
  else if (answer)
    r->host->free_answer (answer);
  if (mr_relay_job_calls (job) > 0)
    return;
  /* A connection that broke says nothing: the target may have run the request
   * and lost only the answer. */
  if (!work->route->repeatable && !S_not_run (outcome) && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    {
      mr_relay_end_job (r, now, job, MR_CAUSE_BROKEN);
      return;
    }
  mr_relay_place (r, now, job, MR_SEND_RETRY);
}

static void
S_take_answer (MrRelay *r, MrTime now, Job *job, gpointer answer)
{
  MrRelayWork *work = job->work;
  work->answers[job->part] = answer;
  work->ran = TRUE;
  work->have++;
  mr_relay_orphan_calls (r, now, job, now + mr_relay_linger ());
  mr_relay_end_job (r, now, job, MR_CAUSE_NONE);
}

static void
S_note_end (const Call *call, MrTime now, MrCallOutcome outcome)
{
  MrSendNote *note = &g_array_index (call->job->work->sends, MrSendNote, call->note);
  note->ended = TRUE;
  note->outcome = outcome;
  note->took = now - call->started;
}

void
mr_relay_call_end (MrRelay *r, MrTime now, guint64 id, MrCallOutcome outcome, gpointer answer)
{
  Call *call = g_hash_table_lookup (r->calls, &id);
  if (!call)
    {
      if (answer)
        r->host->free_answer (answer);
      return;
    }
  Job *job = call->job;
  MrTargetState *target = call->target;
  if (outcome == MR_CALL_ANSWER)
    S_note_latency (call->kind, target, now - call->started);
  if (job)
    {
      S_note_end (call, now, outcome);
      for (guint i = 0; i < CALLS_OF_JOB; i++)
        if (job->calls[i] == call)
          job->calls[i] = NULL;
    }
  mr_relay_call_free (r, call);
  MrHealthAction action = S_note_target (r, now, target, outcome);
  if (job && outcome == MR_CALL_ANSWER)
    S_take_answer (r, now, job, answer);
  else if (job)
    S_settle (r, now, job, outcome, answer);
  else if (answer)
    r->host->free_answer (answer);
  mr_relay_act (r, now, target, action);
}

const MrRelayCounts *
mr_relay_counts (const MrRelay *r)
{
  return &r->counts;
}

guint
mr_relay_open (const MrRelay *r)
{
  return g_hash_table_size (r->works);
}

static void
S_count_usable (const MrTargetState *target, void *user)
{
  guint *count = user;
  if (mr_health_usable (&target->health))
    (*count)++;
}

guint
mr_relay_usable_targets (const MrRelay *r)
{
  guint count = 0;
  mr_relay_foreach_target (r, S_count_usable, &count);
  return count;
}

void
mr_relay_foreach_target (const MrRelay *r,
                         void (*visit) (const MrTargetState *target, void *user),
                         void *user)
{
  mr_target_state_foreach (r->targets, visit, user);
}
