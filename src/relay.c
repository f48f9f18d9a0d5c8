#include "relay_private.h"

#include "safeguard.h"

/* When to come back where no target is known to work: a target is probed again
 * within this time. */
static const MrTime RETRY_NO_TARGET = 400 * MR_MS;
static const MrTime RETRY_MIN = 100 * MR_MS;
static const MrTime RETRY_MAX = 2 * MR_SECOND;

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

static Pool *
S_pool (MrRelay *r, const char *name)
{
  Pool *pool = g_hash_table_lookup (r->pools, name);
  if (pool)
    return pool;
  pool = g_new0 (Pool, 1);
  pool->terms = r->terms;
  pool->hedge_quantile = r->policy->hedge_quantile;
  g_hash_table_insert (r->pools, g_strdup (name), pool);
  return pool;
}

static void
S_service_free (gpointer data)
{
  Service *service = data;
  g_ptr_array_unref (service->targets);
  g_free (service->name);
  g_free (service);
}

MrRelay *
mr_relay_new (MrRelayHost *host, const MrRelayInfo *info)
{
  MrRelay *r = g_new0 (MrRelay, 1);
  r->host = host;
  r->policy = info->policy;
  r->domain = g_strdup (info->domain);
  r->terms = info->budget;
  r->random = g_rand_new_with_seed (info->seed);
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  r->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->splits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, mr_relay_split_free);
  r->targets = g_hash_table_new (g_str_hash, g_str_equal);
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
  g_hash_table_unref (r->targets);
  g_hash_table_unref (r->splits);
  g_hash_table_unref (r->kinds);
  g_hash_table_unref (r->services);
  g_hash_table_unref (r->pools);
  g_ptr_array_unref (r->retired);
  mr_timers_free (r->timers);
  g_rand_free (r->random);
  g_free (r->domain);
  g_free (r);
}

void
mr_relay_set_shares (MrRelay *r, const MrRelayShares *shares)
{
  GHashTableIter iter;
  gpointer pool = NULL;
  r->shares = *shares;
  r->terms.share = shares->allowance;
  g_hash_table_iter_init (&iter, r->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    ((Pool *) pool)->terms.share = shares->allowance;
}

static Service *
S_add_service (MrRelay *r, const char *name, const char *pool)
{
  Service *service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->pool = S_pool (r, pool);
  service->targets = g_ptr_array_new ();
  service->capped_share = NOT_CAPPED;
  g_queue_init (&service->waiting);
  g_hash_table_insert (r->services, service->name, service);
  return service;
}

Service *
mr_relay_service (MrRelay *r, const char *name)
{
  Service *service = g_hash_table_lookup (r->services, name);
  return service ? service : S_add_service (r, name, name);
}

void
mr_relay_add_set (MrRelay *r, const char *set, const char *pool)
{
  if (!g_hash_table_contains (r->services, set))
    S_add_service (r, set, pool);
}

void
mr_relay_remove_set (MrRelay *r, const char *set)
{
  Service *service = g_hash_table_lookup (r->services, set);
  if (!service)
    return;
  for (guint i = 0; i < service->targets->len; i++)
    g_ptr_array_remove_fast (((MrTargetState *) g_ptr_array_index (service->targets, i))->sets,
                             service);
  g_hash_table_remove (r->services, set);
}

void
mr_relay_set_pool (MrRelay *r, const char *name, double ratio, double hedge_quantile)
{
  Pool *pool = S_pool (r, name);
  pool->terms.ratio = ratio;
  pool->hedge_quantile = hedge_quantile;
}

guint
mr_relay_waiting (const MrRelay *r, const char *name, guint rank)
{
  const Pool *pool = g_hash_table_lookup (r->pools, name);
  guint sum = 0;
  for (guint i = 0; pool && i <= MIN (rank, MR_RANKS - 1U); i++)
    sum += pool->waiting[i];
  return sum;
}

double
mr_relay_mean (const MrRelay *r, const char *name)
{
  const Kind *kind = g_hash_table_lookup (r->kinds, name);
  return kind ? kind->mean : 0;
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
  MrTime linger = mr_relay_linger (r, now);
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
    .may_have_run = may_run,
    .sends = work->sends,
    .expected_wait = verdict == MR_VERDICT_REFUSED ? mr_relay_expected_wait (&work->jobs[0]) : 0,
  };
  S_count (r, verdict, result.missing);
  g_hash_table_remove (r->works, work);
  for (guint i = 0; i < work->part_count; i++)
    {
      mr_relay_unqueue (&work->jobs[i]);
      mr_relay_orphan_calls (r, now, &work->jobs[i], linger);
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
  if (r->policy->linger == MR_NEVER)
    until = MR_NEVER;
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
  if (work->route->kind >= MR_ROUTE_SHARDS || !job->failure)
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
  gboolean merged = work->route->kind >= MR_ROUTE_SHARDS;
  mr_relay_finish (r, now, work, merged ? MR_VERDICT_MERGE : MR_VERDICT_ANSWER);
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

/* A call that lost to a second send would have taken longer than this.  Where it
 * is cancelled nothing else tells; left out, the quantile would sink until half
 * of the second sends went to ordinary calls. */
static void
S_note_lost_calls (const MrRelay *r, MrTime now, const Job *job)
{
  for (guint i = 0; r->host->unwanted && i < CALLS_OF_JOB; i++)
    if (job->calls[i])
      mr_histogram_add (&job->calls[i]->kind->latency, now - job->calls[i]->started);
}

static void
S_take_answer (MrRelay *r, MrTime now, Job *job, gpointer answer)
{
  MrRelayWork *work = job->work;
  work->answers[job->part] = answer;
  work->ran = TRUE;
  work->have++;
  S_note_lost_calls (r, now, job);
  mr_relay_orphan_calls (r, now, job, mr_relay_linger (r, now));
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
  MrTime started = call->started;
  if (outcome == MR_CALL_ANSWER)
    mr_relay_note_latency (call->kind, target, now - started);
  if (job)
    {
      S_note_end (call, now, outcome);
      mr_relay_note_tried (job, target, outcome);
      for (guint i = 0; i < CALLS_OF_JOB; i++)
        if (job->calls[i] == call)
          job->calls[i] = NULL;
    }
  mr_relay_call_free (r, call);
  MrHealthAction action = mr_relay_note_target (r, now, target, outcome, started);
  if (job && outcome == MR_CALL_ANSWER)
    S_take_answer (r, now, job, answer);
  else if (job)
    S_settle (r, now, job, outcome, answer);
  else if (answer)
    r->host->free_answer (answer);
  mr_relay_act (r, now, target, action);
}

gboolean
mr_relay_find_call (const MrRelay *r, guint64 id, MrRelayCall *out)
{
  const Call *call = g_hash_table_lookup (r->calls, &id);
  if (!call)
    return FALSE;
  const Job *job = call->job;
  *out = (MrRelayCall){ .id = id, .target = call->target };
  if (job)
    {
      out->request = job->work->request;
      out->part = job->part;
      out->repeatable = job->work->route->repeatable;
    }
  return TRUE;
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
