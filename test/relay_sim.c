#include "relay_sim.h"

#include <math.h>

static const double COLD_FACTOR = 1.5;

enum
{
  ONE_WAY_US = 1500,
  HANDSHAKE_US = 6000,
  LEAVING_US = 3000000, /* a leaving target may be given work for this long */
  RATIO_PERCENT = 20,
  ALLOWANCE = 52,
  WINDOW_US = 10000000,
  SLACK_US = 500000,
  COLD_SLACK = 5,
  CRASHER_CONTENT = 1,
  POPULAR_CONTENT = 2, /* and the numbers that follow, by route */
};

typedef struct World World;
typedef struct Ask Ask;
typedef struct Call Call;

typedef enum
{
  EVENT_ARRIVE,
  EVENT_REACH, /* a call reaches its target */
  EVENT_FINISH,
  EVENT_REPLY,
  EVENT_TICK,
  EVENT_TROUBLE,
  EVENT_GIVE_UP,
  EVENT_PROBED,
  EVENT_CRASHER, /* comes once more */
  EVENT_CRASH,   /* the target of the call ends */
  EVENT_BACK,    /* a target that had ended takes connections again */
  EVENT_NEWS,    /* of evidence against a content */
} EventType;

typedef struct
{
  MrTime at;
  guint64 order;
  EventType type;
  gpointer subject;
  guint index;
} Event;

typedef struct
{
  MrRelayHost host;
  World *world;
  guint index;
  MrRelay *relay;
  MrTime tick_at;
} Daemon;

typedef struct
{
  guint index;
  char id[MR_NAME_MAX + 1];
  guint shard;
  guint busy;
  GQueue queue; /* Call */
  MrTime paused_until;
  MrTime pause_at;
  SimFaultType trouble;
  double factor;
  MrTime leaving_at; /* listed as leaving or gone; 0: not */
  MrTime cold_until;
  GQueue cold_calls; /* MrTime: arrivals in the last second, while it is cold */
} Target;

/* The domain of a target, and of a daemon, is its index modulo WORLD_DOMAINS. */

struct Call
{
  guint64 id;
  Daemon *daemon;
  Target *target;
  Ask *ask;
  MrCallOutcome outcome;
  gboolean dropped;
  MrTime sent_at; /* once its connection stands */
  gboolean running;
  gboolean ran;
  gboolean lost; /* its target has ended */
};

struct Ask
{
  World *world;
  Daemon *daemon;
  guint route;
  MrTime arrived;
  MrTime deadline;
  MrTime gone_at; /* 0: it waits */
  MrActiveRequest *work;
  gboolean ended;
  guint ran; /* calls that ran, of an unsafe request */
  gboolean crasher;
  guint content; /* of a crasher whose contents vary */
  gboolean popular;
  guint repeats; /* that its caller has left */
  guint8 *sends; /* a part */
  /* A part, a bit for each target of its shard: those that were sent to, and of them
   * those that have not refused. */
  guint64 *seen;
  guint64 *held;
};

/* Evidence on its way from one daemon to the others. */
typedef struct
{
  guint from;
  MrFingerprint fingerprint;
  MrEvidence evidence;
} News;

/* Requests and second sends of one shard, by the time they were made. */
typedef struct
{
  GArray *requests;
  GArray *extras;
} Ledger;

struct World
{
  const SimPlan *plan;
  SimResult *result;
  GRand *random;
  GSequence *events;
  guint64 order;
  MrTime now;
  MrTime end;
  MrConfiguration *configuration;
  const MrRoute *routes[SIM_ROUTES_MAX];
  Daemon daemons[SIM_DAEMONS_MAX];
  Target targets[SIM_TARGETS_MAX];
  guint target_count;
  Ledger *ledgers;
  GPtrArray *calls;
  GHashTable *by_id[SIM_DAEMONS_MAX]; /* call id -> Call */
  GPtrArray *asks;
  MrTime third_crash;               /* 0: not yet */
  MrTime evacuated_at[SIM_DOMAINS]; /* 0: it is not */
  GPtrArray *news;
};

static gint
S_compare (gconstpointer a, gconstpointer b, gpointer user)
{
  const Event *x = a;
  const Event *y = b;
  (void) user;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
S_at (World *w, MrTime at, EventType type, gpointer subject, guint index)
{
  Event *event = g_new (Event, 1);
  *event = (Event){ MAX (at, w->now), w->order++, type, subject, index };
  g_sequence_insert_sorted (w->events, event, S_compare, NULL);
}

static MrTime
S_ms (double ms)
{
  return (MrTime) (ms * (double) MR_MS);
}

static double
S_exponential (World *w, double mean)
{
  return -mean * log (1 - g_rand_double (w->random));
}

/* Targets. */

static void
S_start_work (World *w, Target *target, Call *call)
{
  double mean = w->plan->routes[call->ask->route].service_time_ms;
  double work = mean / 2 + S_exponential (w, mean / 2);
  if (target->trouble == SIM_FAULT_SLOW)
    work *= target->factor;
  target->busy++;
  call->running = TRUE;
  call->ran = TRUE;
  call->ask->ran++;
  MrTime begin = MAX (w->now, target->paused_until);
  if (call->ask->crasher)
    S_at (w, begin + S_ms (w->plan->poison.time_to_crash_ms * (0.5 + g_rand_double (w->random))),
          EVENT_CRASH, call, 0);
  else
    S_at (w, begin + S_ms (work), EVENT_FINISH, call, 0);
}

static guint64
S_bit (const World *w, const Target *target)
{
  return G_GUINT64_CONSTANT (1) << (target->index % w->plan->replicas);
}

static void
S_reply (World *w, Call *call, MrCallOutcome outcome)
{
  call->outcome = outcome;
  if (outcome == MR_CALL_SHED)
    call->ask->held[call->target->shard] &= ~S_bit (w, call->target);
  S_at (w, w->now + ONE_WAY_US, EVENT_REPLY, call, 0);
}

/* All connections of the target's process end with it. */
static void
S_end_process (World *w, Target *target)
{
  for (guint i = 0; i < w->calls->len; i++)
    {
      Call *call = g_ptr_array_index (w->calls, i);
      gboolean queued = g_queue_remove (&target->queue, call);
      if (call->target != target || call->lost || !(call->running || queued))
        continue;
      call->lost = TRUE;
      call->running = FALSE;
      if (!call->dropped)
        S_reply (w, call, MR_CALL_BROKEN);
    }
  target->busy = 0;
}

/* The target's entry is removed; all daemons hear of it at once. */
static void
S_withdraw (World *w, const Target *target)
{
  for (guint i = 0; i < w->plan->daemons; i++)
    mr_relay_remove_target (w->daemons[i].relay, w->now, target->id);
}

static void
S_on_crash (World *w, const Call *cause)
{
  Target *target = cause->target;
  if (cause->lost || (cause->dropped && !w->plan->poison.crashes_after_disconnect))
    return;
  target->trouble = SIM_FAULT_REFUSES_CONNECTIONS;
  S_end_process (w, target);
  if (++w->result->poison_crashes == 3)
    w->third_crash = w->now;
  if (w->plan->poison.removes_target)
    {
      S_withdraw (w, target);
      return;
    }
  S_at (w, w->now + S_ms (w->plan->poison.restart_ms), EVENT_BACK, NULL, target->index);
}

static void
S_note_pause (World *w, Target *target)
{
  if (w->plan->pause_ms <= 0 || w->now < target->pause_at)
    return;
  target->paused_until = target->pause_at + S_ms (w->plan->pause_ms);
  while (target->pause_at <= w->now)
    target->pause_at += S_ms (w->plan->pause_interval_ms);
}

static gboolean
S_takes_no_connections (const Target *target)
{
  return target->trouble == SIM_FAULT_REFUSES_CONNECTIONS || target->trouble == SIM_FAULT_REMOVED ||
         target->trouble == SIM_FAULT_CRASHED || target->trouble == SIM_FAULT_CRASHED_AND_REMOVED;
}

/* What a target sees: the first call of a request, or one more. */
static void
S_note_arrival (World *w, const Call *call)
{
  Ask *ask = call->ask;
  guint shard = call->target->shard;
  if (ask->crasher)
    {
      w->result->poison_calls++;
      if (w->third_crash && w->now > w->third_crash + S_ms (SIM_EVIDENCE_SPREAD_MS))
        w->result->poison_calls_late++;
    }
  if (call->target->index % SIM_DOMAINS != call->daemon->index % SIM_DOMAINS)
    w->result->cross_domain_calls++;
  if (ask->sends[shard]++ > 0)
    {
      w->result->extra_calls++;
      g_array_append_val (w->ledgers[shard].extras, w->now);
    }
  else
    w->result->first_calls++;
  guint64 bit = S_bit (w, call->target);
  if (ask->held[shard] & bit)
    w->result->excess_attempts++; /* it has not said that it did not run the one before */
  ask->seen[shard] |= bit;
  ask->held[shard] |= bit;
  if ((guint) __builtin_popcountll (ask->seen[shard]) > w->plan->attempts)
    w->result->excess_attempts++;
}

static void
S_note_cold (World *w, Target *target)
{
  double most = COLD_FACTOR * w->plan->cold_rate + COLD_SLACK;
  MrTime *arrived = g_new (MrTime, 1);
  *arrived = w->now;
  g_queue_push_tail (&target->cold_calls, arrived);
  for (MrTime *first = g_queue_peek_head (&target->cold_calls); w->now - *first >= MR_SECOND;
       first = g_queue_peek_head (&target->cold_calls))
    g_free (g_queue_pop_head (&target->cold_calls));
  if (w->plan->cold_rate > 0 && target->cold_calls.length > most)
    w->result->cold_excess = MAX (w->result->cold_excess, target->cold_calls.length - (guint) most);
}

static void
S_on_reach (World *w, Call *call)
{
  Target *target = call->target;
  MrTime evacuated_at = w->evacuated_at[target->index % SIM_DOMAINS];
  S_note_pause (w, target);
  if (call->dropped)
    return;
  if (evacuated_at != 0 && w->now > evacuated_at + ONE_WAY_US)
    w->result->calls_after_evacuation++;
  if (w->now < target->cold_until)
    S_note_cold (w, target);
  if (target->trouble == SIM_FAULT_UNRESPONSIVE)
    return;
  if (S_takes_no_connections (target))
    {
      S_reply (w, call, MR_CALL_NOT_CONNECTED);
      return;
    }
  S_note_arrival (w, call);
  if (target->trouble == SIM_FAULT_SHEDS && g_rand_double (w->random) < target->factor)
    S_reply (w, call, MR_CALL_SHED);
  else if (target->busy < w->plan->slots)
    S_start_work (w, target, call);
  else if (target->queue.length < w->plan->queue)
    g_queue_push_tail (&target->queue, call);
  else
    S_reply (w, call, MR_CALL_SHED);
}

static void
S_free_slot (World *w, Call *call)
{
  Target *target = call->target;
  target->busy--;
  call->running = FALSE;
  while (target->busy < w->plan->slots && !g_queue_is_empty (&target->queue))
    {
      Call *next = g_queue_pop_head (&target->queue);
      if (!next->dropped)
        S_start_work (w, target, next);
    }
}

static void
S_on_finish (World *w, Call *call)
{
  const Target *target = call->target;
  if (call->lost)
    return;
  S_free_slot (w, call);
  if (call->dropped || target->trouble == SIM_FAULT_UNRESPONSIVE)
    return;
  gboolean bad = g_rand_double (w->random) < target->factor;
  if (target->trouble == SIM_FAULT_ERRORS && bad)
    S_reply (w, call, MR_CALL_ERROR);
  else if (target->trouble == SIM_FAULT_LOSES_RESPONSES && bad)
    S_reply (w, call, MR_CALL_BROKEN);
  else
    S_reply (w, call, MR_CALL_ANSWER);
}

/* Hosts. */

static void
S_wake (Daemon *daemon, MrTime at)
{
  if (at >= daemon->tick_at)
    return;
  daemon->tick_at = at;
  S_at (daemon->world, at, EVENT_TICK, daemon, 0);
}

static void
S_on_call (MrRelayHost *host, const MrRelayCall *out)
{
  Daemon *daemon = (Daemon *) host;
  World *w = daemon->world;
  Ask *ask = out->host_request;
  Target *target = NULL;
  for (guint i = 0; i < w->target_count && !target; i++)
    if (g_str_equal (w->targets[i].id, out->target->id))
      target = &w->targets[i];
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .id = out->id, .daemon = daemon, .target = target, .ask = ask };
  g_ptr_array_add (w->calls, call);
  g_hash_table_insert (w->by_id[daemon->index], &call->id, call);
  if (out->deadline > ask->deadline)
    w->result->deadlines_extended++;
  if (target->leaving_at && w->now > target->leaving_at + LEAVING_US)
    w->result->calls_after_leaving++;
  call->sent_at = w->now + S_ms (w->plan->connect_ms);
  S_at (w, call->sent_at + ONE_WAY_US, EVENT_REACH, call, 0);
}

static gboolean
S_on_take_back (MrRelayHost *host, guint64 id)
{
  const Daemon *daemon = (const Daemon *) host;
  Call *call = g_hash_table_lookup (daemon->world->by_id[daemon->index], &id);
  if (call->sent_at <= daemon->world->now)
    return FALSE;
  call->dropped = TRUE;
  return TRUE;
}

static void
S_on_drop (MrRelayHost *host, guint64 id)
{
  Daemon *daemon = (Daemon *) host;
  Call *call = g_hash_table_lookup (daemon->world->by_id[daemon->index], &id);
  call->dropped = TRUE;
  /* Most targets drop the work of a connection that closes. */
  if (call->ask->crasher && call->running && !daemon->world->plan->poison.crashes_after_disconnect)
    S_free_slot (daemon->world, call);
}

static void
S_on_probe (MrRelayHost *host, const MrTargetState *target)
{
  Daemon *daemon = (Daemon *) host;
  World *w = daemon->world;
  for (guint i = 0; i < w->target_count; i++)
    if (g_str_equal (w->targets[i].id, target->id))
      S_at (w, w->now + 2 * ONE_WAY_US + HANDSHAKE_US, EVENT_PROBED, daemon, i);
}

static void
S_on_renew (MrRelayHost *host, const MrTargetState *target)
{
  (void) host;
  (void) target;
}

static void
S_on_evidence (MrRelayHost *host, MrFingerprint fingerprint, const MrEvidence *evidence)
{
  const Daemon *daemon = (const Daemon *) host;
  World *w = daemon->world;
  News *news = g_new (News, 1);
  *news = (News){ daemon->index, fingerprint, *evidence };
  g_ptr_array_add (w->news, news);
  S_at (w, w->now + S_ms (w->plan->evidence_delay_ms), EVENT_NEWS, news, 0);
}

static void
S_on_news (World *w, const News *news)
{
  for (guint i = 0; i < w->plan->daemons; i++)
    if (i != news->from)
      {
        mr_relay_merge_evidence (w->daemons[i].relay, w->now, news->fingerprint, &news->evidence);
        S_wake (&w->daemons[i], w->now);
      }
}

/* One daemon has the turn to try contents that are on probation. */
static gboolean
S_may_probe (MrRelayHost *host, MrFingerprint fingerprint)
{
  (void) fingerprint;
  return ((const Daemon *) host)->index == 0;
}

/* The crasher earns nothing and isn't missed; its caller may come again at once. */
static void
S_note_crasher (Ask *ask, const MrRelayResult *result)
{
  World *w = ask->world;
  if (result->verdict <= MR_VERDICT_MERGE)
    w->result->poison_served++;
  else if (ask->repeats > 0)
    S_at (w, w->now + 2 * ONE_WAY_US, EVENT_CRASHER, GUINT_TO_POINTER (ask->content),
          ask->repeats - 1);
}

static void
S_score (Ask *ask, const MrRelayResult *result)
{
  World *w = ask->world;
  if (ask->crasher)
    {
      S_note_crasher (ask, result);
      return;
    }
  SimRouteStats *kind = &w->result->routes[ask->route];
  const SimRoute *route = &w->plan->routes[ask->route];
  if (result->cause == MR_CAUSE_QUARANTINED)
    kind->quarantined++;
  MrTime took = w->now - ask->arrived;
  if (result->verdict == MR_VERDICT_REFUSED)
    {
      kind->refused++;
      if (ask->ran > 0)
        w->result->false_not_run++;
      return;
    }
  if (result->verdict > MR_VERDICT_MERGE)
    {
      kind->failed++;
      return;
    }
  guint have = 0;
  for (guint i = 0; i < result->part_count; i++)
    have += result->answers[i] != NULL;
  double share = (double) have / result->part_count;
  if (have + result->missing_parts != result->part_count || share < route->min_coverage)
    w->result->wrong_shard_counts++;
  kind->missing_shards += (double) result->missing_parts / result->part_count;
  /* The caller's clock runs for some 12 ms more: its connection and the way. */
  gboolean in_time = took + 12 * MR_MS <= S_ms (route->latency_goal_ms);
  in_time ? kind->on_time++ : kind->late++;
  kind->utility += share * share * (in_time ? 1 : 0.1);
}

static void
S_on_done (MrRelayHost *host, gpointer request, const MrRelayResult *result)
{
  Ask *ask = request;
  (void) host;
  ask->ended = TRUE;
  ask->work = NULL;
  const MrRoute *route = ask->world->routes[ask->route];
  if (ask->world->now - ask->arrived > route->time_limit + SLACK_US)
    ask->world->result->late_verdicts++;
  S_score (ask, result);
}

static void
S_free_answer (gpointer answer)
{
  (void) answer;
}

/* Callers. */

static void
S_next_arrival (World *w, guint route)
{
  double gap = S_exponential (w, 1e6 / w->plan->routes[route].requests_per_second);
  S_at (w, w->now + (MrTime) gap, EVENT_ARRIVE, NULL, route);
}

static Ask *
S_ask_new (World *w, guint route)
{
  Ask *ask = g_new0 (Ask, 1);
  ask->world = w;
  ask->route = route;
  ask->daemon = &w->daemons[g_rand_int_range (w->random, 0, (gint32) w->plan->daemons)];
  return ask;
}

static MrFingerprint
S_fingerprint (const World *w, const Ask *ask)
{
  if (ask->crasher)
    return (MrFingerprint){ .high = CRASHER_CONTENT, .low = ask->content };
  if (ask->popular)
    return (MrFingerprint){ .high = POPULAR_CONTENT + ask->route };
  return (MrFingerprint){ .low = w->asks->len };
}

static void
S_submit (World *w, Ask *ask)
{
  const SimRoute *route = &w->plan->routes[ask->route];
  ask->arrived = w->now;
  ask->deadline = w->now + S_ms (route->deadline_ms);
  ask->sends = g_new0 (guint8, w->plan->shards);
  ask->seen = g_new0 (guint64, w->plan->shards);
  ask->held = g_new0 (guint64, w->plan->shards);
  g_ptr_array_add (w->asks, ask);
  guint parts = route->min_coverage > 0 ? w->plan->shards : 1;
  for (guint i = 0; i < parts; i++)
    g_array_append_val (w->ledgers[i].requests, w->now);
  MrRelayRequestParams request = {
    .host_request = ask,
    .configuration = w->configuration,
    .route = w->routes[ask->route],
    .deadline = ask->deadline,
    .fingerprint = S_fingerprint (w, ask),
  };
  MrActiveRequest *work = mr_relay_submit (ask->daemon->relay, w->now, &request);
  if (work && !ask->ended)
    ask->work = work;
  S_wake (ask->daemon, w->now);
}

static void
S_on_arrive (World *w, guint index)
{
  const SimRoute *route = &w->plan->routes[index];
  if (w->now >= w->end)
    return;
  S_next_arrival (w, index);
  Ask *ask = S_ask_new (w, index);
  ask->popular = w->plan->popular_ratio > 0 && g_rand_double (w->random) < w->plan->popular_ratio;
  w->result->routes[index].requests++;
  if (g_rand_double (w->random) < w->plan->abandon_ratio)
    S_at (w, w->now + S_ms (route->latency_goal_ms / 2), EVENT_GIVE_UP, ask, 0);
  S_submit (w, ask);
}

static void
S_on_crasher (World *w, guint content, guint repeats)
{
  Ask *ask = S_ask_new (w, w->plan->poison.route);
  ask->crasher = TRUE;
  ask->content = content;
  ask->repeats = repeats;
  S_submit (w, ask);
}

static void
S_on_give_up (World *w, Ask *ask)
{
  if (ask->ended)
    return;
  ask->ended = TRUE;
  ask->gone_at = w->now;
  w->result->routes[ask->route].abandoned++;
  mr_relay_abandon_request (ask->daemon->relay, w->now, ask->work);
}

/* Troubles. */

static void
S_list (World *w, const Target *target, gboolean leaving, MrTime cold_for)
{
  char service[32];
  g_snprintf (service, sizeof service, "s%u", target->shard);
  MrTarget info = { .port = 1000 + (int) target->index, .slots = w->plan->slots };
  info.connections = w->plan->connections;
  g_strlcpy (info.id, target->id, sizeof info.id);
  g_strlcpy (info.ip, "10.0.0.1", sizeof info.ip);
  g_snprintf (info.domain, sizeof info.domain, "d%u", target->index % SIM_DOMAINS);
  for (guint i = 0; i < w->plan->daemons; i++)
    mr_relay_update_target (w->daemons[i].relay, w->now, service, &info, leaving, cold_for);
}

/* All daemons hear of it at once. */
static void
S_evacuate (World *w, const SimFault *event, gboolean begins)
{
  g_autoptr (GHashTable) domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SIM_DOMAINS; i++)
    {
      if (i >= event->first && i <= event->last)
        w->evacuated_at[i] = begins ? w->now : 0;
      if (w->evacuated_at[i] != 0)
        g_hash_table_add (domains, g_strdup_printf ("d%u", i));
    }
  for (guint i = 0; i < w->plan->daemons; i++)
    {
      mr_relay_set_evacuated (w->daemons[i].relay, w->now, domains);
      S_wake (&w->daemons[i], w->now);
    }
}

static void
S_on_trouble (World *w, guint index)
{
  const SimFault *event = &w->plan->faults[index / 2];
  gboolean begins = index % 2 == 0;
  if (event->type == SIM_FAULT_EVACUATED)
    {
      S_evacuate (w, event, begins);
      return;
    }
  for (guint i = event->first; i <= event->last && i < w->target_count; i += MAX (event->stride, 1))
    {
      Target *target = &w->targets[i];
      target->trouble = begins ? event->type : SIM_FAULT_NONE;
      target->factor = begins ? event->factor : 0;
      if (!begins)
        continue;
      if (event->type == SIM_FAULT_CRASHED || event->type == SIM_FAULT_CRASHED_AND_REMOVED)
        S_end_process (w, target);
      if (event->type == SIM_FAULT_COLD && target->leaving_at == 0)
        {
          target->cold_until = S_ms (event->to_ms);
          S_list (w, target, FALSE, target->cold_until - w->now);
        }
      if (event->type == SIM_FAULT_REMOVED || event->type == SIM_FAULT_LEAVING)
        target->leaving_at = w->now;
      if (event->type == SIM_FAULT_LEAVING)
        S_list (w, target, TRUE, 0);
      if (event->type == SIM_FAULT_REMOVED || event->type == SIM_FAULT_CRASHED_AND_REMOVED)
        S_withdraw (w, target);
    }
}

/* Set-up. */

static MrConfiguration *
S_configure (const SimPlan *plan)
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
S_make_daemons (World *w)
{
  static const MrRelayHost host = {
    .send_call = S_on_call,
    .close_call = S_on_drop,
    .withdraw_call = S_on_take_back,
    .probe = S_on_probe,
    .reconnect = S_on_renew,
    .request_done = S_on_done,
    .free_answer = S_free_answer,
    .publish_evidence = S_on_evidence,
    .may_try_content = S_may_probe,
  };
  for (guint i = 0; i < w->plan->daemons; i++)
    {
      Daemon *daemon = &w->daemons[i];
      char domain[8];
      g_snprintf (domain, sizeof domain, "d%u", i % SIM_DOMAINS);
      MrRelayOptions info = {
        .domain = domain,
        .policy = w->plan->policy ? w->plan->policy : &mr_relay_policy,
        .seed = w->plan->seed + i,
        .budget = { .window = WINDOW_US,
                    .ratio = RATIO_PERCENT / 100.0,
                    .allowance = ALLOWANCE,
                    .share = 1.0 / w->plan->daemons,
                    .margin = MR_RESEND_BUDGET_MARGIN,
                    .started_at = 0 },
        .cold_limit = { .rate_factor = COLD_FACTOR, .slack = COLD_SLACK },
      };
      *daemon = (Daemon){ .host = host, .world = w, .index = i, .tick_at = MR_NEVER };
      daemon->relay = mr_relay_new (&daemon->host, &info);
      MrRelayShares shares = {
        .connections = 1 / (1.5 * w->plan->daemons),
        .slots = 1.0 / w->plan->daemons,
        .allowance = 1.0 / w->plan->daemons,
        .cold = 1.0 / w->plan->daemons,
      };
      mr_relay_set_shares (daemon->relay, &shares);
    }
}

static void
S_make_targets (World *w)
{
  w->target_count = w->plan->shards * w->plan->replicas;
  for (guint i = 0; i < w->target_count; i++)
    {
      Target *target = &w->targets[i];
      *target = (Target){ .index = i, .shard = i / w->plan->replicas };
      target->pause_at = S_ms (g_rand_double (w->random) * w->plan->pause_interval_ms);
      g_snprintf (target->id, sizeof target->id, "t%u", i);
      g_queue_init (&target->queue);
      S_list (w, target, FALSE, 0);
    }
}

static void
S_plan_troubles (World *w)
{
  for (guint i = 0; i < G_N_ELEMENTS (w->plan->faults); i++)
    {
      const SimFault *event = &w->plan->faults[i];
      if (event->type == SIM_FAULT_NONE)
        continue;
      S_at (w, S_ms (event->from_ms), EVENT_TROUBLE, NULL, 2 * i);
      if (event->to_ms > 0)
        S_at (w, S_ms (event->to_ms), EVENT_TROUBLE, NULL, 2 * i + 1);
    }
}

static void
S_plan_crasher (World *w)
{
  const SimPoisonRequest *crasher = &w->plan->poison;
  for (guint i = 0; i < crasher->count; i++)
    for (guint copy = 0; copy < MAX (crasher->copies, 1); copy++)
      S_at (w, S_ms (crasher->from_ms + i * crasher->interval_ms), EVENT_CRASHER,
            GUINT_TO_POINTER (crasher->varying_content ? i : 0), crasher->caller_retries);
}

static void
S_on_event (World *w, const Event *event)
{
  Call *call = event->subject;
  Daemon *daemon = event->subject;
  switch (event->type)
    {
    case EVENT_ARRIVE:
      S_on_arrive (w, event->index);
      break;
    case EVENT_REACH:
      S_on_reach (w, call);
      break;
    case EVENT_FINISH:
      S_on_finish (w, call);
      break;
    case EVENT_REPLY:
      if (!call->dropped)
        {
          mr_relay_call_end (call->daemon->relay, w->now, call->id, call->outcome,
                             call->outcome == MR_CALL_ANSWER ? w : NULL);
          S_wake (call->daemon, w->now);
        }
      break;
    case EVENT_TICK:
      if (event->at != daemon->tick_at)
        break; /* an earlier one has replaced it */
      daemon->tick_at = MR_NEVER;
      S_wake (daemon, MAX (mr_relay_tick (daemon->relay, w->now), w->now + 1));
      break;
    case EVENT_TROUBLE:
      S_on_trouble (w, event->index);
      break;
    case EVENT_GIVE_UP:
      S_on_give_up (w, event->subject);
      break;
    case EVENT_CRASHER:
      S_on_crasher (w, GPOINTER_TO_UINT (event->subject), event->index);
      break;
    case EVENT_CRASH:
      S_on_crash (w, call);
      break;
    case EVENT_NEWS:
      S_on_news (w, event->subject);
      break;
    case EVENT_BACK:
      w->targets[event->index].trouble = SIM_FAULT_NONE;
      break;
    case EVENT_PROBED:
      {
        const Target *target = &w->targets[event->index];
        gboolean lives =
            target->trouble != SIM_FAULT_UNRESPONSIVE && !S_takes_no_connections (target);
        mr_relay_probe_end (daemon->relay, w->now, target->id, lives);
        S_wake (daemon, w->now);
        break;
      }
    }
}

/* Checks of the whole run. */

/* How many of @times, which are sorted, lie in the window that ends at @end;
 * @first and @last walk on from call to call. */
static guint
S_in_window (const GArray *times, MrTime end, guint *first, guint *last)
{
  while (*last < times->len && g_array_index (times, MrTime, *last) <= end)
    (*last)++;
  while (*first < *last && g_array_index (times, MrTime, *first) <= end - WINDOW_US)
    (*first)++;
  return *last - *first;
}

/* Most second sends over the bound in any window that ends with one. */
static guint
S_over_budget (const Ledger *ledger)
{
  guint worst = 0;
  guint places[4] = { 0 };
  for (guint i = 0; i < ledger->extras->len; i++)
    {
      MrTime end = g_array_index (ledger->extras, MrTime, i);
      guint extras = S_in_window (ledger->extras, end, &places[0], &places[1]);
      guint requests = S_in_window (ledger->requests, end, &places[2], &places[3]);
      double most = RATIO_PERCENT / 100.0 * requests + ALLOWANCE;
      if (extras > most)
        worst = MAX (worst, (guint) (extras - most));
    }
  return worst;
}

static void
S_check (World *w)
{
  for (guint i = 0; i < w->plan->shards; i++)
    w->result->max_budget_excess =
        MAX (w->result->max_budget_excess, S_over_budget (&w->ledgers[i]));
  for (guint i = 0; i < w->asks->len; i++)
    {
      const Ask *ask = g_ptr_array_index (w->asks, i);
      if (!ask->ended)
        w->result->unanswered++;
      if (w->plan->routes[ask->route].unsafe && ask->ran > 1)
        w->result->ran_twice++;
    }
  for (guint i = 0; i < w->calls->len; i++)
    {
      const Call *call = g_ptr_array_index (w->calls, i);
      if (call->ask->gone_at && !w->plan->routes[call->ask->route].unsafe && !call->dropped &&
          call->outcome == MR_CALL_ANSWER && call->running)
        w->result->calls_after_abandon++;
    }
}

static void
S_ask_free (gpointer data)
{
  Ask *ask = data;
  g_free (ask->sends);
  g_free (ask->seen);
  g_free (ask->held);
  g_free (ask);
}

static void
S_clear (World *w)
{
  for (guint i = 0; i < w->plan->daemons; i++)
    {
      mr_relay_free (w->daemons[i].relay);
      g_hash_table_unref (w->by_id[i]);
    }
  for (guint i = 0; i < w->plan->shards; i++)
    {
      g_array_unref (w->ledgers[i].requests);
      g_array_unref (w->ledgers[i].extras);
    }
  for (guint i = 0; i < w->target_count; i++)
    {
      g_queue_clear (&w->targets[i].queue);
      g_queue_clear_full (&w->targets[i].cold_calls, g_free);
    }
  g_free (w->ledgers);
  g_ptr_array_unref (w->calls);
  g_ptr_array_unref (w->asks);
  g_ptr_array_unref (w->news);
  g_sequence_free (w->events);
  mr_configuration_unref (w->configuration);
  g_rand_free (w->random);
  g_free (w);
}

void
sim_run (const SimPlan *plan, SimResult *result)
{
  World *w = g_new0 (World, 1);
  *result = (SimResult){ 0 };
  w->plan = plan;
  w->result = result;
  w->random = g_rand_new_with_seed (plan->seed);
  w->events = g_sequence_new (g_free);
  w->calls = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < plan->daemons; i++)
    w->by_id[i] = g_hash_table_new (g_int64_hash, g_int64_equal);
  w->asks = g_ptr_array_new_with_free_func (S_ask_free);
  w->news = g_ptr_array_new_with_free_func (g_free);
  w->ledgers = g_new0 (Ledger, plan->shards);
  for (guint i = 0; i < plan->shards; i++)
    w->ledgers[i] = (Ledger){ g_array_new (FALSE, FALSE, sizeof (MrTime)),
                              g_array_new (FALSE, FALSE, sizeof (MrTime)) };
  w->now = MR_SECOND;
  w->end = w->now + (MrTime) (plan->duration_s * (double) MR_SECOND);
  w->configuration = S_configure (plan);
  S_make_daemons (w);
  S_make_targets (w);
  S_plan_troubles (w);
  S_plan_crasher (w);
  for (guint r = 0; r < SIM_ROUTES_MAX && plan->routes[r].requests_per_second > 0; r++)
    {
      char path[8];
      g_snprintf (path, sizeof path, "/%u/", r);
      w->routes[r] = mr_configuration_find_route (w->configuration, MR_TEXT ("h"), mr_text (path));
      S_next_arrival (w, r);
    }
  /* Everything has its verdict within the longest deadline after the last. */
  MrTime stop = w->end + 12 * MR_SECOND;
  for (GSequenceIter *first = g_sequence_get_begin_iter (w->events);
       !g_sequence_iter_is_end (first); first = g_sequence_get_begin_iter (w->events))
    {
      Event event = *(Event *) g_sequence_get (first);
      g_sequence_remove (first);
      if (event.at > stop)
        break;
      w->now = event.at;
      S_on_event (w, &event);
    }
  S_check (w);
  S_clear (w);
}
