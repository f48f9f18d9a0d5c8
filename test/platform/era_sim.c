#include "era_sim.h"

#include "adapter.h"
#include "control_private.h"
#include "evacuation.h"

#include <jansson.h>

enum
{
  DAEMONS = 3,
  TARGETS_MAX = 40, /* processes in the whole run */
  DOMAINS = 2,
  STEPS = 60,
  PAGE = 3, /* objects of a page of a listing */
};

/* Targets and operators write again what the store has lost within REWRITE_MAX, and it drops
 * the entries of targets that are gone within EXPIRY_MAX. */
static const MrTime REWRITE_MAX = 2 * MR_SECOND;
static const MrTime EXPIRY_MAX = 4 * MR_SECOND;
static const MrTime CALL_TIMEOUT = 2 * MR_SECOND;
/* After this long without faults all daemons must agree with the store. */
static const MrTime SETTLE_TIME = 45 * MR_SECOND;
static const MrTime FINAL_CHANGE_TIME = 3 * MR_SECOND;
static const double LATE_OFFER_PROBABILITY = 0.2;

static const char *const domain_names[DOMAINS] = { "z", "y" };
static const char *const kind_names[] = { "config", "servers", "evacuations" };

typedef struct
{
  gboolean alive;
  gboolean leaving;
  MrTime write_at; /* when it renews its entry, or its entry expires; MR_NEVER: not scheduled */
} Target;

/* A call of a daemon, and the answer once the store has given one. */
typedef struct
{
  MrPlatformRequest *request;
  MrTime deadline;
  guint64 store_era; /* of the store when it received the call */
  int status;        /* 0: not answered */
  guint64 era;
  char *body;
} Call;

typedef struct
{
  MrControlTask *task;
  MrMailbox *mailbox; /* of its calls */
  GPtrArray *calls;
  guint64 number;                   /* of the configuration in force */
  guint64 keys_checked_at;          /* version of its object when its keys were last checked */
  gboolean known_gone[TARGETS_MAX]; /* has known the target to be leaving or gone */
  guint known_change[DOMAINS];      /* newest change of the evacuation that it has known */
} Daemon;

typedef struct
{
  GRand *random;
  MrTime now;
  guint64 era;
  gint64 revision;
  json_t *kinds;   /* kind -> name -> object */
  json_t *changes; /* [{kind, revision, deleted, object}] */
  json_t *copy;    /* {revision, kinds, changes} */
  Target targets[TARGETS_MAX];
  guint target_count;
  guint evacuation_changes[DOMAINS]; /* odd: evacuated */
  MrTime evacuations_write_at;
  guint64 number; /* of the newest configuration */
  MrTime configuration_write_at;
  gboolean calm; /* answers are prompt, and nothing is lost */
  Daemon daemons[DAEMONS];
  char *violation;
} Sim;

static gboolean
S_chance (Sim *sim, double probability)
{
  return g_rand_double (sim->random) < probability;
}

static MrTime
S_random_time (Sim *sim, MrTime max)
{
  return (MrTime) (g_rand_double (sim->random) * (double) max);
}

/* Store */

static json_t *
S_objects (Sim *sim, const char *kind)
{
  return json_object_get (sim->kinds, kind);
}

/* Writes an object; NULL as @spec removes it. Writes without a change have no effect. */
static void
S_write (Sim *sim, const char *kind, const char *name, json_t *spec)
{
  json_t *objects = S_objects (sim, kind);
  json_t *current = json_object_get (objects, name);
  if (spec ? current && json_equal (json_object_get (current, "spec"), spec) : !current)
    {
      json_decref (spec);
      return;
    }
  gint64 revision = ++sim->revision;
  json_t *object = spec ? json_pack ("{s:{s:s,s:I},s:o}", "meta", "name", name, "revision",
                                     (json_int_t) revision, "spec", spec)
                        : json_incref (current);
  json_array_append_new (sim->changes, json_pack ("{s:s,s:I,s:b,s:O}", "kind", kind, "revision",
                                                  (json_int_t) revision, "deleted", spec == NULL,
                                                  "object", object));
  if (spec)
    json_object_set (objects, name, object);
  else
    json_object_del (objects, name);
  json_decref (object);
}

static json_t *
S_target_spec (gboolean leaving)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service", "s", "address", "10.0.0.1:80",
                    "zone", "z", "version", "v1", "slots", 5, "state",
                    leaving ? "draining" : "ready", "warmup_left_ms", 0, "seq", 1);
}

static void
S_target_name (guint index, char name[16])
{
  g_snprintf (name, 16, "t-%02u", index);
}

/* Brings the target's entry up to date. */
static void
S_write_target (Sim *sim, guint index)
{
  char name[16];
  const Target *target = &sim->targets[index];
  S_target_name (index, name);
  S_write (sim, "servers", name, target->alive ? S_target_spec (target->leaving) : NULL);
}

static char *
S_key_of (guint64 number)
{
  return g_strdup_printf ("key-%" G_GUINT64_FORMAT, number);
}

/* Each configuration replaces the organisation's key. */
static void
S_write_configuration (Sim *sim)
{
  g_autofree char *key = S_key_of (sim->number);
  S_write (sim, "config", "main",
           json_pack ("{s:I,s:[],s:[],s:[{s:s,s:[s]}],s:{s:i,s:i,s:i,s:i}}", "version",
                      (json_int_t) sim->number, "routes", "services", "tenants", "name", "o",
                      "api_keys", key, "limits", "max_header_bytes", 4096, "max_body_bytes", 1000,
                      "header_timeout_ms", 500, "idle_timeout_ms", 15000));
}

static void
S_write_evacuations (Sim *sim)
{
  for (guint i = 0; i < DOMAINS; i++)
    S_write (sim, "evacuations", domain_names[i],
             sim->evacuation_changes[i] % 2 == 1 ? json_object () : NULL);
}

static void
S_take_copy (Sim *sim)
{
  json_decref (sim->copy);
  sim->copy = json_pack ("{s:I,s:o,s:o}", "revision", (json_int_t) sim->revision, "kinds",
                         json_deep_copy (sim->kinds), "changes", json_deep_copy (sim->changes));
}

static void
S_restore (Sim *sim)
{
  if (!sim->copy)
    return;
  json_decref (sim->kinds);
  json_decref (sim->changes);
  sim->era++;
  sim->revision = json_integer_value (json_object_get (sim->copy, "revision"));
  sim->kinds = json_deep_copy (json_object_get (sim->copy, "kinds"));
  sim->changes = json_deep_copy (json_object_get (sim->copy, "changes"));
  for (guint i = 0; i < sim->target_count; i++)
    sim->targets[i].write_at =
        sim->now + S_random_time (sim, sim->targets[i].alive ? REWRITE_MAX : EXPIRY_MAX);
  sim->evacuations_write_at = sim->now + S_random_time (sim, REWRITE_MAX);
  sim->configuration_write_at =
      S_chance (sim, 0.5) ? sim->now + S_random_time (sim, REWRITE_MAX) : MR_NEVER;
}

/* Writes again, after a restore, what is due. */
static void
S_write_again (Sim *sim)
{
  for (guint i = 0; i < sim->target_count; i++)
    if (sim->now >= sim->targets[i].write_at)
      {
        sim->targets[i].write_at = MR_NEVER;
        S_write_target (sim, i);
      }
  if (sim->now >= sim->evacuations_write_at)
    {
      sim->evacuations_write_at = MR_NEVER;
      S_write_evacuations (sim);
    }
  if (sim->now >= sim->configuration_write_at)
    {
      sim->configuration_write_at = MR_NEVER;
      S_write_configuration (sim);
    }
}

static int
S_compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static json_t *
S_list (Sim *sim, const char *kind, const char *after)
{
  json_t *objects = S_objects (sim, kind);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  const char *name = NULL;
  json_t *object = NULL;
  json_object_foreach (objects, name, object)
  {
    if (strcmp (name, after) > 0)
      g_ptr_array_add (names, (gpointer) name);
  }
  if (names->len > 0)
    qsort (names->pdata, names->len, sizeof (gpointer), S_compare_names);
  json_t *items = json_array ();
  for (guint i = 0; i < names->len && i < PAGE; i++)
    json_array_append (items, json_object_get (objects, g_ptr_array_index (names, i)));
  return json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", names->len > PAGE,
                    "store_revision", (json_int_t) sim->revision);
}

static json_t *
S_list_events (Sim *sim, const char *kind, gint64 since)
{
  json_t *events = json_array ();
  size_t i = 0;
  json_t *change = NULL;
  json_array_foreach (sim->changes, i, change)
  {
    if (json_integer_value (json_object_get (change, "revision")) > since &&
        g_str_equal (json_string_value (json_object_get (change, "kind")), kind))
      json_array_append_new (events,
                             json_pack ("{s:O,s:O}", "deleted", json_object_get (change, "deleted"),
                                        "object", json_object_get (change, "object")));
  }
  return events;
}

static const char *
S_store_kind (const MrPlatformRequest *request)
{
  if (g_str_equal (request->kind, "configurations"))
    return kind_names[0];
  return g_str_equal (request->kind, "targets") ? kind_names[1] : kind_names[2];
}

/* Answers @call if the store has something to say: a watch waits for changes, and one that was
 * received before a restore is never answered. */
static void
S_answer (Sim *sim, Call *call)
{
  const MrPlatformRequest *request = call->request;
  json_t *body = NULL;
  if (call->store_era != sim->era)
    return;
  if (g_str_equal (request->kind, "quarantine"))
    body = json_pack ("{s:[],s:b,s:I}", "items", "has_more", 0, "store_revision",
                      (json_int_t) sim->revision);
  else if (request->since_revision == 0)
    body =
        S_list (sim, S_store_kind (request), request->after_name ? request->after_name->str : "");
  else if ((gint64) request->since_revision <= sim->revision)
    {
      json_t *events =
          S_list_events (sim, S_store_kind (request), (gint64) request->since_revision);
      if (json_array_size (events) == 0 && request->wait_ms > 0 &&
          sim->now + CALL_TIMEOUT < call->deadline)
        {
          json_decref (events);
          return;
        }
      body =
          json_pack ("{s:o,s:I}", "events", events, "store_revision", (json_int_t) sim->revision);
    }
  call->status = body ? 200 : 410;
  call->era = sim->era;
  call->body = body ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
}

/* Daemons */

static void
S_wake (void *user)
{
  (void) user;
}

static void
S_call_free (gpointer data)
{
  Call *call = data;
  if (call->request)
    mr_message_free (&call->request->base);
  free (call->body);
  g_free (call);
}

static void
S_start (Daemon *daemon)
{
  static char *const seeds[] = { NULL };
  static const MrSettings settings = {
    .name = (char *) "d",
    .ip = (char *) "127.0.0.1",
    .domain = (char *) "z",
    .region = (char *) "r",
    .seeds = (char **) seeds,
  };
  const MrControlTaskInfo info = {
    .settings = &settings, .incarnation = 1, .seed = 1, .relay = TRUE
  };
  daemon->task = mr_control_task_new (&info);
  daemon->mailbox = mr_mailbox_new (S_wake, NULL);
  daemon->calls = g_ptr_array_new_with_free_func (S_call_free);
  daemon->number = 0;
  daemon->keys_checked_at = 0;
  memset (daemon->known_gone, 0, sizeof daemon->known_gone);
  memset (daemon->known_change, 0, sizeof daemon->known_change);
  mr_control_task_connect (daemon->task, NULL, NULL, daemon->mailbox);
}

static void
S_stop (Daemon *daemon)
{
  g_ptr_array_unref (daemon->calls);
  mr_control_task_free (daemon->task);
  mr_mailbox_free (daemon->mailbox);
}

typedef struct
{
  Sim *sim;
  MrControlTask *to;
} Offers;

/* A version that is older than the receiver's is normally not fetched, but may arrive late. */
static void
S_offer_to_peer (const MrObject *object, void *user)
{
  const Offers *offers = user;
  MrControlTask *to = offers->to;
  guint64 known = mr_registry_version (to->registry, object->kind, object->name);
  if (object->version == known ||
      (object->version < known && !S_chance (offers->sim, LATE_OFFER_PROBABILITY)))
    return;
  mr_control_era_seen_at_peer (to, object->kind, object->version);
  if (!mr_control_era_hold (to, object->kind, object->name, object->version,
                            mr_text_of (object->body)))
    mr_replication_offer (to->replication, object->kind, mr_text (object->name), object->version,
                          mr_text_of (object->body), "peer");
}

static void
S_send_objects (Sim *sim, Daemon *from, Daemon *to)
{
  Offers offers = { .sim = sim, .to = to->task };
  mr_registry_foreach (from->task->registry, S_offer_to_peer, &offers);
}

static void
S_tick (Sim *sim, Daemon *daemon)
{
  MrTime next = MR_NEVER;
  mr_control_platform_tick (daemon->task, sim->now, &next);
  mr_control_start_tick (daemon->task, sim->now, &next);
  mr_control_platform_apply_removals (daemon->task, sim->now, &next);
  mr_control_era_tick (daemon->task, sim->now, &next);
  for (MrMessage *message = mr_mailbox_take (daemon->mailbox); message;
       message = mr_mailbox_take (daemon->mailbox))
    {
      Call *call = g_new0 (Call, 1);
      call->request = (MrPlatformRequest *) message;
      call->deadline = sim->now + CALL_TIMEOUT + call->request->wait_ms * MR_MS;
      call->store_era = sim->era;
      g_ptr_array_add (daemon->calls, call);
    }
}

/* Delivers the answer of @call, or its failure. */
static void
S_deliver (Sim *sim, Daemon *daemon, Call *call)
{
  MrPlatformResult *result =
      mr_platform_result_new (g_steal_pointer (&call->request), MR_ERROR_UNAVAILABLE);
  if (call->status != 0)
    {
      result->era = call->era;
      mr_adapter_store.decode (result, call->status, mr_text (call->body));
    }
  mr_control_platform_result (daemon->task, sim->now, result);
  mr_message_free (&result->base);
}

static void
S_run_calls (Sim *sim, Daemon *daemon)
{
  for (guint i = daemon->calls->len; i > 0; i--)
    {
      Call *call = g_ptr_array_index (daemon->calls, i - 1);
      if (call->status == 0 && (sim->calm || S_chance (sim, 0.7)))
        S_answer (sim, call);
      gboolean failed = sim->now >= call->deadline || (!sim->calm && S_chance (sim, 0.03));
      if (!failed && (call->status == 0 || (!sim->calm && S_chance (sim, 0.2))))
        continue;
      g_ptr_array_steal_index (daemon->calls, i - 1);
      S_deliver (sim, daemon, call);
      S_call_free (call);
    }
}

/* Checks */

static void
S_fail (Sim *sim, const char *what, const char *name, guint daemon)
{
  if (!sim->violation)
    sim->violation = g_strdup_printf ("%s: %s at daemon %u, era %" G_GUINT64_FORMAT, what, name,
                                      daemon, sim->era);
}

typedef enum
{
  USE_NONE,
  USE_LEAVING,
  USE_FULL,
} Use;

/* Returns how the daemon uses a target. */
static Use
S_use (const Daemon *daemon, guint index)
{
  char name[16];
  S_target_name (index, name);
  const MrObject *object = mr_registry_get (daemon->task->registry, MR_OBJECT_TARGET, name);
  if (!object || object->body->len == 0)
    return USE_NONE;
  MrTargetRecord *record = mr_target_record_parse (mr_text (name), mr_text_of (object->body));
  Use use = record->leaving ? USE_LEAVING : USE_FULL;
  mr_target_record_unref (record);
  return use;
}

static Use
S_expected_use (const Target *target)
{
  if (!target->alive)
    return USE_NONE;
  return target->leaving ? USE_LEAVING : USE_FULL;
}

static gboolean
S_is_evacuated (const Daemon *daemon, guint domain)
{
  guint64 version =
      mr_registry_version (daemon->task->registry, MR_OBJECT_EVACUATION, domain_names[domain]);
  return version != 0 && mr_evacuation_is_active (version);
}

/* A daemon never returns to an earlier state of an evacuation than it has known. */
static void
S_check_evacuations (Sim *sim, guint index)
{
  Daemon *daemon = &sim->daemons[index];
  for (guint i = 0; i < DOMAINS; i++)
    {
      gboolean expected = sim->evacuation_changes[i] % 2 == 1;
      if (S_is_evacuated (daemon, i) == expected)
        daemon->known_change[i] = sim->evacuation_changes[i];
      else if (daemon->known_change[i] == sim->evacuation_changes[i] &&
               sim->evacuation_changes[i] > 0)
        S_fail (sim, "returned to an earlier state of an evacuation", domain_names[i], index);
    }
}

/* A key that was removed by a configuration that the daemon has held is never valid there again. */
static void
S_check_keys (Sim *sim, guint index)
{
  Daemon *daemon = &sim->daemons[index];
  const MrConfiguration *configuration = daemon->task->configuration;
  const MrOrganisations *organisations =
      configuration ? mr_configuration_organisations (configuration) : NULL;
  if (!organisations || daemon->keys_checked_at == daemon->task->configuration_object_version)
    return;
  daemon->keys_checked_at = daemon->task->configuration_object_version;
  for (guint64 number = 1; number < daemon->number; number++)
    {
      g_autofree char *key = S_key_of (number);
      if (mr_organisations_find_key (organisations, mr_text (key)))
        S_fail (sim, "serves a removed key", key, index);
    }
}

/* A daemon never returns to an earlier configuration, nor to a target that it has known to be
 * leaving or gone. */
static void
S_check_progress (Sim *sim, guint index)
{
  Daemon *daemon = &sim->daemons[index];
  const MrConfiguration *configuration = daemon->task->configuration;
  guint64 number = configuration ? mr_configuration_version (configuration) : 0;
  S_check_keys (sim, index);
  if (number < daemon->number)
    S_fail (sim, "returned to an earlier configuration", "main", index);
  daemon->number = number;
  S_check_evacuations (sim, index);
  for (guint i = 0; i < sim->target_count; i++)
    {
      char name[16];
      S_target_name (i, name);
      gboolean known = mr_registry_get (daemon->task->registry, MR_OBJECT_TARGET, name) != NULL;
      Use use = S_use (daemon, i);
      Use expected = S_expected_use (&sim->targets[i]);
      if (use == USE_FULL && expected != USE_FULL && daemon->known_gone[i])
        S_fail (sim, "uses a target again that has left", name, index);
      daemon->known_gone[i] =
          daemon->known_gone[i] || (known && use != USE_FULL && use == expected);
    }
}

static void
S_check_agreement (Sim *sim)
{
  for (guint d = 0; d < DAEMONS; d++)
    {
      const Daemon *daemon = &sim->daemons[d];
      if (daemon->number != sim->number)
        S_fail (sim, "the newest configuration is not in force", "main", d);
      for (guint i = 0; i < sim->target_count; i++)
        {
          char name[16];
          S_target_name (i, name);
          if (S_use (daemon, i) != S_expected_use (&sim->targets[i]))
            S_fail (sim, "a target is not used as the store lists it", name, d);
        }
      for (guint i = 0; i < DOMAINS; i++)
        if (S_is_evacuated (daemon, i) != (sim->evacuation_changes[i] % 2 == 1))
          S_fail (sim, "an evacuation is not as the store lists it", domain_names[i], d);
    }
}

/* Schedule */

static void
S_change_target (Sim *sim)
{
  guint index = (guint) g_rand_int_range (sim->random, 0, TARGETS_MAX);
  if (index >= sim->target_count)
    {
      if (sim->target_count == TARGETS_MAX)
        return;
      index = sim->target_count++;
      sim->targets[index] = (Target){ .alive = TRUE, .write_at = MR_NEVER };
    }
  else if (!sim->targets[index].leaving)
    sim->targets[index].leaving = TRUE;
  else
    sim->targets[index].alive = FALSE;
  S_write_target (sim, index);
}

/* Changes an evacuation once all daemons know its state, so that they know each state. */
static void
S_change_evacuation (Sim *sim, guint domain)
{
  for (guint d = 0; d < DAEMONS; d++)
    if (S_is_evacuated (&sim->daemons[d], domain) != (sim->evacuation_changes[domain] % 2 == 1))
      return;
  sim->evacuation_changes[domain]++;
  S_write_evacuations (sim);
}

static void
S_restart (Sim *sim, guint index)
{
  Daemon *daemon = &sim->daemons[index];
  Daemon *peer = &sim->daemons[(index + 1) % DAEMONS];
  S_stop (daemon);
  S_start (daemon);
  S_send_objects (sim, peer, daemon);
  daemon->number = peer->number;
  daemon->task->ready = daemon->task->configuration != NULL;
}

static void
S_change_world (Sim *sim)
{
  double what = g_rand_double (sim->random);
  if (what < 0.35)
    S_change_target (sim);
  else if (what < 0.55)
    {
      sim->number += (guint64) g_rand_int_range (sim->random, 1, 4);
      S_write_configuration (sim);
    }
  else if (what < 0.65)
    {
      S_change_evacuation (sim, (guint) g_rand_int_range (sim->random, 0, DOMAINS));
    }
  else if (what < 0.78)
    S_take_copy (sim);
  else if (what < 0.86)
    S_restore (sim);
  else if (what < 0.90)
    S_restart (sim, (guint) g_rand_int_range (sim->random, 0, DAEMONS));
}

static void
S_step (Sim *sim)
{
  sim->now += sim->calm ? 250 * MR_MS : 20 * MR_MS + S_random_time (sim, 400 * MR_MS);
  S_write_again (sim);
  for (guint d = 0; d < DAEMONS; d++)
    {
      S_tick (sim, &sim->daemons[d]);
      S_run_calls (sim, &sim->daemons[d]);
      S_check_progress (sim, d);
    }
  for (guint d = 0; d < DAEMONS; d++)
    if (sim->calm || S_chance (sim, 0.3))
      {
        S_send_objects (sim, &sim->daemons[d], &sim->daemons[(d + 1) % DAEMONS]);
        S_check_progress (sim, (d + 1) % DAEMONS);
      }
}

static void
S_run_calm (Sim *sim, MrTime span)
{
  for (MrTime end = sim->now + span; sim->now < end;)
    S_step (sim);
}

char *
era_sim_run (guint32 seed)
{
  Sim sim = {
    .random = g_rand_new_with_seed (seed),
    .now = mr_now (),
    .era = 1,
    .kinds = json_pack ("{s:{},s:{},s:{}}", kind_names[0], kind_names[1], kind_names[2]),
    .changes = json_array (),
    .number = 1,
    .evacuations_write_at = MR_NEVER,
    .configuration_write_at = MR_NEVER,
  };
  S_write_configuration (&sim);
  for (guint d = 0; d < DAEMONS; d++)
    S_start (&sim.daemons[d]);
  S_run_calm (&sim, MR_SECOND);
  for (guint i = 0; i < STEPS; i++)
    {
      S_change_world (&sim);
      S_step (&sim);
    }
  sim.calm = TRUE;
  S_run_calm (&sim, SETTLE_TIME);
  sim.number++;
  S_write_configuration (&sim);
  S_run_calm (&sim, FINAL_CHANGE_TIME);
  S_check_agreement (&sim);
  for (guint d = 0; d < DAEMONS; d++)
    S_stop (&sim.daemons[d]);
  json_decref (sim.kinds);
  json_decref (sim.changes);
  json_decref (sim.copy);
  g_rand_free (sim.random);
  return sim.violation;
}
