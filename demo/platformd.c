/* Stand-in for the platform's object API (docs/PLATFORM-API.md): versioned objects,
 * conditional writes, long-poll watches and a list of VMs that is updated with a delay.
 *
 * PUT /faults sets faults; GET /stats returns call counts.  All data is in memory. */

#include "http_server.h"
#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>

enum
{
  BODY_MAX = 1024 * 1024,
  WAIT_MAX_MS = 30000,
  DESCRIPTORS = 4096,
};

typedef struct
{
  char *name;
  guint64 version;
  GString *body;
  gboolean deleted;
  guint64 old_version; /* returned by a stale read */
  GString *old_body;
} Object;

typedef struct
{
  char *id;
  GString *body;
  MrTime visible_at;
  gboolean removed;
} Vm;

/* A reply that is delayed: a watch without changes yet, or the slow_ms fault. */
typedef struct
{
  guint64 id;
  MrTime due;
  char *kind; /* watched kind; NULL: not a watch */
  guint64 since;
  int status;
  GString *body;
  gboolean drop;
} DelayedReply;

typedef struct
{
  MrLoopHandler loop_handler;
  MrHttpHandler http_handler;
  MrLoop *loop;
  MrHttpServer *server;
  GHashTable *kinds; /* kind -> GHashTable of name -> Object */
  GPtrArray *vms;
  GPtrArray *delayed_replies;
  guint64 revision;
  guint64 calls;
  guint64 writes;
  guint64 watches;
  guint64 conflicts;
  /* Faults. */
  gboolean down;
  gint64 slow_ms;
  gint64 lose_writes; /* number of writes to apply without a reply */
  gboolean stale;
  MrTime vms_lag;
} Platform;

#define PLATFORM_OF(handler)                                                                       \
  ((Platform *) (void *) ((char *) (handler) -offsetof (Platform, http_handler)))

static void
S_object_free (gpointer data)
{
  Object *object = data;
  g_free (object->name);
  g_string_free (object->body, TRUE);
  g_string_free (object->old_body, TRUE);
  g_free (object);
}

static void
S_delayed_reply_free (gpointer data)
{
  DelayedReply *delayed = data;
  g_free (delayed->kind);
  if (delayed->body)
    g_string_free (delayed->body, TRUE);
  g_free (delayed);
}

static GHashTable *
S_objects_of_kind (Platform *p, const char *kind)
{
  GHashTable *objects = g_hash_table_lookup (p->kinds, kind);
  if (objects)
    return objects;
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_object_free);
  g_hash_table_insert (p->kinds, g_strdup (kind), objects);
  return objects;
}

/* Replies at once, or after the delay of the slow_ms fault. */
static void
S_reply (Platform *p, guint64 id, int status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  if (p->slow_ms > 0)
    {
      DelayedReply *delayed = g_new0 (DelayedReply, 1);
      delayed->id = id;
      delayed->due = mr_now () + p->slow_ms * MR_MS;
      delayed->status = status;
      delayed->body = g_string_new (text);
      g_ptr_array_add (p->delayed_replies, delayed);
    }
  else
    {
      MrHttpReply reply = { .status = status, .body = mr_text (text) };
      mr_http_server_reply (p->server, id, &reply);
    }
  free (text);
}

static void
S_reply_error (Platform *p, guint64 id, int status, const char *message)
{
  S_reply (p, id, status, json_pack ("{s:s}", "error", message));
}

static json_t *
S_object_json (const Platform *p, const Object *object)
{
  gboolean stale = p->stale && object->old_version > 0;
  const GString *body = stale ? object->old_body : object->body;
  return json_pack ("{s:s, s:I, s:b, s:s%}", "name", object->name, "version",
                    (json_int_t) (stale ? object->old_version : object->version), "deleted",
                    (int) (object->deleted && !stale), "body", body->str, body->len);
}

static json_t *
S_list_json (Platform *p, const char *kind, guint64 since, guint *count)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer item = NULL;
  *count = 0;
  g_hash_table_iter_init (&iter, S_objects_of_kind (p, kind));
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Object *object = item;
      if (object->version <= since)
        continue;
      json_array_append_new (list, S_object_json (p, object));
      (*count)++;
    }
  return json_pack ("{s:I, s:o}", "revision", (json_int_t) p->revision, "objects", list);
}

static gboolean
S_parse_number_argument (const MrHttpRequest *request,
                         const char *name,
                         guint64 fallback,
                         guint64 *out)
{
  const char *text = mr_http_query_arg (request, name, NULL);
  *out = fallback;
  return !text || mr_text_parse_u64 (mr_text (text), out);
}

static void
S_on_list (Platform *p, const MrHttpRequest *request, const char *kind)
{
  guint64 since = 0;
  guint64 wait_ms = 0;
  if (!S_parse_number_argument (request, "since", 0, &since) ||
      !S_parse_number_argument (request, "wait_ms", 0, &wait_ms) || wait_ms > WAIT_MAX_MS)
    {
      S_reply_error (p, request->id, 400, "since, wait_ms: expected whole numbers");
      return;
    }
  guint count = 0;
  json_t *root = S_list_json (p, kind, since, &count);
  if (count > 0 || wait_ms == 0)
    {
      S_reply (p, request->id, 200, root);
      return;
    }
  json_decref (root);
  p->watches++;
  DelayedReply *delayed = g_new0 (DelayedReply, 1);
  delayed->id = request->id;
  delayed->due = mr_now () + (MrTime) wait_ms * MR_MS;
  delayed->kind = g_strdup (kind);
  delayed->since = since;
  g_ptr_array_add (p->delayed_replies, delayed);
}

static void
S_wake_watches (Platform *p, const char *kind)
{
  for (guint i = 0; i < p->delayed_replies->len; i++)
    {
      DelayedReply *delayed = g_ptr_array_index (p->delayed_replies, i);
      if (delayed->kind && g_str_equal (delayed->kind, kind))
        delayed->due = 0;
    }
}

static void
S_on_read (Platform *p, const MrHttpRequest *request, const char *kind, const char *name)
{
  const Object *object = g_hash_table_lookup (S_objects_of_kind (p, kind), name);
  if (!object || object->deleted)
    S_reply_error (p, request->id, 404, "no such object");
  else
    S_reply (p, request->id, 200, S_object_json (p, object));
}

/* Replies to a write that was applied, or drops the connection instead. */
static void
S_reply_to_write (Platform *p, guint64 id, guint64 version)
{
  if (p->lose_writes > 0)
    {
      p->lose_writes--;
      mr_http_server_drop (p->server, id);
      return;
    }
  S_reply (p, id, 200, json_pack ("{s:I}", "version", (json_int_t) version));
}

static void
S_on_write (Platform *p, const MrHttpRequest *request, const char *kind, const char *name)
{
  guint64 expected = 0;
  const char *version = mr_http_query_arg (request, "version", NULL);
  gboolean delete = mr_text_equal (request->method, MR_TEXT ("DELETE"));
  if (!version || !mr_text_parse_u64 (mr_text (version), &expected))
    {
      S_reply_error (p, request->id, 400, "version: expected the version read, or 0 to create");
      return;
    }
  GHashTable *objects = S_objects_of_kind (p, kind);
  Object *object = g_hash_table_lookup (objects, name);
  guint64 current = object && !object->deleted ? object->version : 0;
  if (expected != current)
    {
      p->conflicts++;
      json_t *root = json_pack ("{s:s, s:I}", "error", "conflict", "version", (json_int_t) current);
      S_reply (p, request->id, 409, root);
      return;
    }
  if (!object)
    {
      object = g_new0 (Object, 1);
      object->name = g_strdup (name);
      object->body = g_string_new (NULL);
      object->old_body = g_string_new (NULL);
      g_hash_table_insert (objects, object->name, object);
    }
  p->writes++;
  object->old_version = object->version;
  g_string_assign (object->old_body, object->body->str);
  object->version = ++p->revision;
  object->deleted = delete;
  g_string_truncate (object->body, 0);
  g_string_append_len (object->body, request->body.data, (gssize) request->body.len);
  S_wake_watches (p, kind);
  S_reply_to_write (p, request->id, object->version);
}

static void
S_on_vms (Platform *p, const MrHttpRequest *request)
{
  MrTime now = mr_now ();
  if (!mr_text_equal (request->method, MR_TEXT ("GET")))
    {
      Vm *vm = g_new0 (Vm, 1);
      vm->id = g_strdup (mr_http_query_arg (request, "id", "?"));
      vm->body = g_string_new_len (request->body.data, (gssize) request->body.len);
      vm->visible_at = now + p->vms_lag;
      vm->removed = mr_text_equal (request->method, MR_TEXT ("DELETE"));
      g_ptr_array_add (p->vms, vm);
      p->revision++;
      S_reply (p, request->id, 200, json_pack ("{s:I}", "version", (json_int_t) p->revision));
      return;
    }
  json_t *visible = json_object ();
  for (guint i = 0; i < p->vms->len; i++)
    {
      const Vm *vm = g_ptr_array_index (p->vms, i);
      if (vm->visible_at > now)
        continue;
      if (vm->removed)
        json_object_del (visible, vm->id);
      else
        json_object_set_new (visible, vm->id, json_loadb (vm->body->str, vm->body->len, 0, NULL));
    }
  json_t *list = json_array ();
  const char *id = NULL;
  json_t *value = NULL;
  json_object_foreach (visible, id, value)
  {
    json_object_set_new (value, "id", json_string (id));
    json_array_append (list, value);
  }
  json_decref (visible);
  S_reply (p, request->id, 200,
           json_pack ("{s:I, s:o}", "revision", (json_int_t) p->revision, "vms", list));
}

static void
S_on_faults (Platform *p, const MrHttpRequest *request)
{
  p->down = atoi (mr_http_query_arg (request, "down", p->down ? "1" : "0")) != 0;
  p->stale = atoi (mr_http_query_arg (request, "stale", p->stale ? "1" : "0")) != 0;
  const char *slow = mr_http_query_arg (request, "slow_ms", NULL);
  const char *lose_writes = mr_http_query_arg (request, "lose_writes", NULL);
  if (slow)
    p->slow_ms = atoll (slow);
  if (lose_writes)
    p->lose_writes = atoll (lose_writes);
  MrHttpReply reply = { .status = 200, .body = MR_TEXT ("{}") };
  mr_http_server_reply (p->server, request->id, &reply);
}

static void
S_on_stats (Platform *p, const MrHttpRequest *request)
{
  g_autofree char *text =
      g_strdup_printf ("{\"calls\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
                       ",\"watches\":%" G_GUINT64_FORMAT ",\"conflicts\":%" G_GUINT64_FORMAT
                       ",\"revision\":%" G_GUINT64_FORMAT "}\n",
                       p->calls, p->writes, p->watches, p->conflicts, p->revision);
  MrHttpReply reply = { .status = 200, .body = mr_text (text) };
  mr_http_server_reply (p->server, request->id, &reply);
}

static void
S_on_object_request (Platform *p, const MrHttpRequest *request, char **parts, guint count)
{
  gboolean get = mr_text_equal (request->method, MR_TEXT ("GET"));
  if (count == 4 && get)
    S_on_list (p, request, parts[3]);
  else if (count == 5 && get)
    S_on_read (p, request, parts[3], parts[4]);
  else if (count == 5 && !mr_text_equal (request->method, MR_TEXT ("POST")))
    S_on_write (p, request, parts[3], parts[4]);
  else
    S_reply_error (p, request->id, 404, "no such path");
}

static void
S_on_request (MrHttpHandler *handler, const MrHttpRequest *request)
{
  Platform *p = PLATFORM_OF (handler);
  g_autofree char *path = mr_text_dup (request->path);
  if (g_str_equal (path, "/faults"))
    {
      S_on_faults (p, request);
      return;
    }
  if (g_str_equal (path, "/stats"))
    {
      S_on_stats (p, request);
      return;
    }
  p->calls++;
  if (p->down)
    {
      mr_http_server_drop (p->server, request->id);
      return;
    }
  g_auto (GStrv) parts = g_strsplit (path, "/", 6);
  if (g_str_equal (path, "/v1/vms"))
    S_on_vms (p, request);
  else if (g_str_has_prefix (path, "/v1/objects/"))
    S_on_object_request (p, request, parts, g_strv_length (parts));
  else
    S_reply_error (p, request->id, 404, "no such path");
}

/* Sends a delayed reply that is due. */
static void
S_send_delayed_reply (Platform *p, DelayedReply *delayed)
{
  if (p->down)
    mr_http_server_drop (p->server, delayed->id);
  else if (delayed->kind)
    {
      guint count = 0;
      S_reply (p, delayed->id, 200, S_list_json (p, delayed->kind, delayed->since, &count));
    }
  else
    {
      MrHttpReply reply = { .status = delayed->status, .body = mr_text_of (delayed->body) };
      mr_http_server_reply (p->server, delayed->id, &reply);
    }
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  Platform *p = (Platform *) handler;
  MrTime next = MR_NEVER;
  for (guint i = p->delayed_replies->len; i > 0; i--)
    {
      DelayedReply *delayed = g_ptr_array_index (p->delayed_replies, i - 1);
      if (delayed->due > now && !p->down)
        {
          next = MIN (next, delayed->due);
          continue;
        }
      delayed = g_ptr_array_steal_index_fast (p->delayed_replies, i - 1);
      S_send_delayed_reply (p, delayed);
      S_delayed_reply_free (delayed);
    }
  return next;
}

static char *opt_ip = "127.0.0.1";
static int opt_port = 7000;
static int opt_lag_ms = 500;

static error_t
S_parse_option (int key, char *arg, struct argp_state *state)
{
  (void) state;
  if (key == 'i')
    opt_ip = arg;
  else if (key == 'p')
    opt_port = atoi (arg);
  else if (key == 'l')
    opt_lag_ms = atoi (arg);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int
main (int argc, char **argv)
{
  const struct argp_option options[] = {
    { .name = "ip", .key = 'i', .arg = "IP", .doc = "Address to listen on" },
    { .name = "port", .key = 'p', .arg = "PORT", .doc = "Port to listen on" },
    { .name = "vms-lag-ms", .key = 'l', .arg = "MS", .doc = "Delay of updates of the list of VMs" },
    { 0 },
  };
  struct argp argp = { .options = options,
                       .parser = S_parse_option,
                       .doc = "Stand-in for the platform." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  signal (SIGPIPE, SIG_IGN);
  Platform p = {
    .loop_handler = { .on_tick = S_on_tick },
    .http_handler = { .on_request = S_on_request },
    .kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify) g_hash_table_unref),
    .vms = g_ptr_array_new (),
    .delayed_replies = g_ptr_array_new (),
    .revision = 100,
    .vms_lag = opt_lag_ms * MR_MS,
  };
  p.loop = mr_loop_new (&p.loop_handler, DESCRIPTORS);
  if (p.loop)
    p.server = mr_http_server_new (p.loop, &p.http_handler, opt_ip, opt_port, BODY_MAX);
  if (!p.server)
    {
      fprintf (stderr, "platformd: %s\n", mr_status_message ());
      return EXIT_FAILURE;
    }
  mr_loop_run (p.loop);
  return EXIT_SUCCESS;
}
