/* Stand-in for searchers (docs/TARGET-PROTOCOL.md) with a limited number of slots and
 * connections, a cost of new connections and random service times from a seed.
 *
 * One process runs --count searchers on consecutive ports.  Every searcher has all
 * shards of the catalogue; the shard map assigns them.  PUT /control on the port of a
 * searcher sets its faults. */

#include "catalogue.h"
#include "http_server.h"
#include <argp.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>

enum
{
  BODY_MAX = 64 * 1024,
  DESCRIPTORS = 8192,
  COUNT_MAX = 400,
};

typedef struct _Searcher Searcher;

/* A call that occupies a slot. */
typedef struct
{
  guint64 http_id;
  char *call_id;
  MrTime due;
  GString *reply;
  gboolean silent; /* gets no response */
} ActiveCall;

struct _Searcher
{
  MrHttpHandler http_handler;
  MrHttpServer *server;
  guint index;
  GPtrArray *active_calls;
  GHashTable *snapshots; /* set */
  MrTime warm_at;        /* slow until then */
  /* Faults. */
  gboolean draining;
  gboolean dead; /* closes every connection */
  gboolean silent;
  double slow_factor;
  gboolean wrong_snapshot;
  gboolean wrong_id;
  gboolean drop_orders; /* runs an order, then drops the connection */
  /* Counts. */
  guint64 calls;
  guint64 shed;
  guint64 orders;
  guint64 cancelled;
  guint peak_connections;
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrLoop *loop;
  MrCatalogue *catalogue;
  Searcher *searchers;
  GHashTable *ticket_runs; /* ticket -> number of runs, over all searchers */
  MrTime crash_at;         /* MR_NEVER: no crash is scheduled */
  GRand *random;
} Process;

static Process process = { .crash_at = MR_NEVER };

/* Time from the start of a search for --crash-on to the exit of the process. */
static const MrTime CRASH_DELAY = 40 * MR_MS;

static struct
{
  char *ip;
  int port;
  int count;
  int slots;
  int connections;
  int connect_us;
  int service_us;
  int cold_ms;
  double sigma;
  int seed;
  int shards;
  int records;
  char *snapshot;
  char *crash_on;
} opt = {
  .ip = "127.0.0.1",
  .port = 9000,
  .count = 1,
  .slots = 5,
  .connections = 40,
  .connect_us = 1000,
  .service_us = 2000,
  .cold_ms = 0,
  .sigma = 0.5,
  .seed = 1,
  .shards = 12,
  .records = 5000,
  .snapshot = "s1",
};

static void
S_active_call_free (gpointer data)
{
  ActiveCall *call = data;
  g_free (call->call_id);
  g_string_free (call->reply, TRUE);
  g_free (call);
}

static void
S_reply (Searcher *s, guint64 id, int status, const char *text)
{
  MrHttpReply reply = { .status = status, .body = mr_text (text) };
  mr_http_server_reply (s->server, id, &reply);
}

static double
S_random_normal (void)
{
  double u = g_rand_double_range (process.random, 1e-9, 1);
  double v = g_rand_double (process.random);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * v);
}

/* Log-normal with the configured median; ten times slower while cold. */
static MrTime
S_service_time (const Searcher *s, MrTime now)
{
  double time = opt.service_us * exp (opt.sigma * S_random_normal ()) * s->slow_factor;
  return (MrTime) (now < s->warm_at ? time * 10 : time);
}

/* TRUE if a slot is free; otherwise the request has been refused. */
static gboolean
S_take_slot (Searcher *s, guint64 id)
{
  if (s->draining)
    S_reply (s, id, 503, "{\"error\":\"draining\",\"ran\":false}");
  else if (s->active_calls->len >= (guint) opt.slots)
    {
      s->shed++;
      S_reply (s, id, 503, "{\"error\":\"shed\",\"ran\":false}");
    }
  else
    return TRUE;
  return FALSE;
}

/* Occupies a slot for the service time, then sends @reply.  Takes ownership of @reply. */
static void
S_start_call (Searcher *s, const MrHttpRequest *request, GString *reply)
{
  MrTime now = mr_now ();
  ActiveCall *call = g_new0 (ActiveCall, 1);
  call->http_id = request->id;
  call->call_id = g_strdup (mr_http_query_arg (request, "id", ""));
  call->due = now + S_service_time (s, now) + (request->first_on_connection ? opt.connect_us : 0);
  call->reply = reply;
  call->silent = s->silent;
  g_ptr_array_add (s->active_calls, call);
}

static void
S_on_search (Searcher *s, const MrHttpRequest *request)
{
  const char *snapshot = mr_http_query_arg (request, "snapshot", "");
  const char *shard = mr_http_query_arg (request, "shard", "");
  guint index = 0;
  s->calls++;
  if (!g_hash_table_contains (s->snapshots, snapshot))
    {
      S_reply (s, request->id, 409, "{\"error\":\"no-snapshot\",\"ran\":false}");
      return;
    }
  if (!mr_catalogue_find_shard (process.catalogue, shard, &index))
    {
      S_reply (s, request->id, 404, "{\"error\":\"no-shard\",\"ran\":false}");
      return;
    }
  if (!S_take_slot (s, request->id))
    return;
  if (opt.crash_on && g_str_equal (mr_http_query_arg (request, "q", ""), opt.crash_on))
    {
      fprintf (stderr, "searcherd: received the --crash-on query; exiting\n");
      process.crash_at = MIN (process.crash_at, mr_now () + CRASH_DELAY);
      return;
    }
  GString *reply = g_string_new (NULL);
  g_string_append_printf (reply, "{\"id\":\"%s%s\",\"snapshot\":\"%s\",\"shard\":\"%s\",\"hits\":",
                          mr_http_query_arg (request, "id", ""), s->wrong_id ? "9" : "",
                          s->wrong_snapshot ? "s-other" : snapshot, shard);
  mr_catalogue_search (process.catalogue, index, mr_http_query_arg (request, "q", ""),
                       (guint) atoi (mr_http_query_arg (request, "k", "10")), reply);
  g_string_append (reply, "}");
  S_start_call (s, request, reply);
}

static void
S_on_order (Searcher *s, const MrHttpRequest *request)
{
  const char *ticket = mr_http_query_arg (request, "ticket", "");
  if (!S_take_slot (s, request->id))
    return;
  guint times = GPOINTER_TO_UINT (g_hash_table_lookup (process.ticket_runs, ticket)) + 1;
  g_hash_table_replace (process.ticket_runs, g_strdup (ticket), GUINT_TO_POINTER (times));
  s->orders++;
  if (s->drop_orders)
    {
      mr_http_server_drop (s->server, request->id);
      return;
    }
  GString *reply = g_string_new (NULL);
  g_string_append_printf (reply,
                          "{\"id\":\"%s\",\"ticket\":\"%s\",\"order\":\"taken\",\"times\":%u}",
                          mr_http_query_arg (request, "id", ""), ticket, times);
  S_start_call (s, request, reply);
}

static void
S_on_cancel (Searcher *s, const MrHttpRequest *request)
{
  const char *id = mr_http_query_arg (request, "id", "");
  for (guint i = 0; i < s->active_calls->len; i++)
    {
      ActiveCall *call = g_ptr_array_index (s->active_calls, i);
      if (!g_str_equal (call->call_id, id) || call->silent)
        continue;
      s->cancelled++;
      S_reply (s, call->http_id, 499, "{\"error\":\"cancelled\",\"ran\":true}");
      g_ptr_array_remove_index_fast (s->active_calls, i);
      break;
    }
  S_reply (s, request->id, 200, "{}");
}

static void
S_set_flag (const MrHttpRequest *request, const char *name, gboolean *flag)
{
  const char *value = mr_http_query_arg (request, name, NULL);
  if (value)
    *flag = atoi (value) != 0;
}

static void
S_on_control (Searcher *s, const MrHttpRequest *request)
{
  S_set_flag (request, "draining", &s->draining);
  S_set_flag (request, "dead", &s->dead);
  S_set_flag (request, "silent", &s->silent);
  S_set_flag (request, "wrong_snapshot", &s->wrong_snapshot);
  S_set_flag (request, "wrong_id", &s->wrong_id);
  S_set_flag (request, "drop_orders", &s->drop_orders);
  const char *slow = mr_http_query_arg (request, "slow_factor", NULL);
  const char *add = mr_http_query_arg (request, "add_snapshot", NULL);
  const char *drop = mr_http_query_arg (request, "drop_snapshot", NULL);
  if (slow)
    s->slow_factor = atof (slow);
  if (add)
    g_hash_table_add (s->snapshots, g_strdup (add));
  if (drop)
    g_hash_table_remove (s->snapshots, drop);
  if (mr_http_query_arg (request, "cold", NULL))
    s->warm_at = mr_now () + opt.cold_ms * MR_MS;
  S_reply (s, request->id, 200, "{}");
}

static void
S_on_stats (Searcher *s, const MrHttpRequest *request)
{
  guint run_twice = 0;
  GHashTableIter iter;
  gpointer times = NULL;
  g_hash_table_iter_init (&iter, process.ticket_runs);
  while (g_hash_table_iter_next (&iter, NULL, &times))
    run_twice += GPOINTER_TO_UINT (times) > 1;
  g_autofree char *text =
      g_strdup_printf ("{\"calls\":%" G_GUINT64_FORMAT ",\"shed\":%" G_GUINT64_FORMAT
                       ",\"orders\":%" G_GUINT64_FORMAT ",\"cancelled\":%" G_GUINT64_FORMAT
                       ",\"busy\":%u,\"connections\":%u,"
                       "\"peak_connections\":%u,\"tickets\":%u,\"tickets_run_twice\":%u}\n",
                       s->calls, s->shed, s->orders, s->cancelled, s->active_calls->len,
                       mr_http_server_connection_count (s->server), s->peak_connections,
                       g_hash_table_size (process.ticket_runs), run_twice);
  S_reply (s, request->id, 200, text);
}

static const struct
{
  const char *path;
  void (*serve) (Searcher *s, const MrHttpRequest *request);
} routes[] = {
  { "/v1/search", S_on_search }, { "/v1/order", S_on_order }, { "/v1/cancel", S_on_cancel },
  { "/control", S_on_control },  { "/stats", S_on_stats },
};

static void
S_on_request (MrHttpHandler *handler, const MrHttpRequest *request)
{
  Searcher *s = (Searcher *) handler;
  gboolean control = mr_text_equal (request->path, MR_TEXT ("/control")) ||
                     mr_text_equal (request->path, MR_TEXT ("/stats"));
  s->peak_connections = MAX (s->peak_connections, mr_http_server_connection_count (s->server));
  if (s->dead && !control)
    {
      mr_http_server_drop (s->server, request->id);
      return;
    }
  /* Health always reports "up": real health pages are out of date or wrong, so callers must
   * not depend on them. */
  if (mr_text_equal (request->path, MR_TEXT ("/v1/health")) ||
      mr_text_equal (request->path, MR_TEXT ("/v1/load")))
    {
      g_autofree char *text = g_strdup_printf ("{\"status\":\"up\",\"busy\":%u,\"slots\":%d}",
                                               s->active_calls->len, opt.slots);
      S_reply (s, request->id, 200, text);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (mr_text_equal (request->path, mr_text (routes[i].path)))
      {
        routes[i].serve (s, request);
        return;
      }
  S_reply (s, request->id, 404, "{\"error\":\"no such path\"}");
}

static void
S_on_disconnect (MrHttpHandler *handler, guint64 id)
{
  Searcher *s = (Searcher *) handler;
  for (guint i = 0; i < s->active_calls->len; i++)
    if (((ActiveCall *) g_ptr_array_index (s->active_calls, i))->http_id == id)
      {
        g_ptr_array_remove_index_fast (s->active_calls, i);
        return;
      }
}

static MrTime
S_finish_due_calls (Searcher *s, MrTime now)
{
  MrTime next = MR_NEVER;
  for (guint i = s->active_calls->len; i > 0; i--)
    {
      ActiveCall *call = g_ptr_array_index (s->active_calls, i - 1);
      if (call->silent)
        continue;
      if (call->due > now)
        {
          next = MIN (next, call->due);
          continue;
        }
      S_reply (s, call->http_id, 200, call->reply->str);
      g_ptr_array_remove_index_fast (s->active_calls, i - 1);
    }
  return next;
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  (void) handler;
  if (now >= process.crash_at)
    exit (EXIT_SUCCESS);
  MrTime next = process.crash_at;
  for (int i = 0; i < opt.count; i++)
    next = MIN (next, S_finish_due_calls (&process.searchers[i], now));
  return next;
}

static int
S_start_searcher (Searcher *s, guint index)
{
  s->index = index;
  s->http_handler = (MrHttpHandler){ .on_request = S_on_request, .on_disconnect = S_on_disconnect };
  s->active_calls = g_ptr_array_new_with_free_func (S_active_call_free);
  s->snapshots = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->slow_factor = 1;
  s->warm_at = mr_now () + opt.cold_ms * MR_MS;
  g_hash_table_add (s->snapshots, g_strdup (opt.snapshot));
  s->server =
      mr_http_server_new (process.loop, &s->http_handler, opt.ip, opt.port + (int) index, BODY_MAX);
  if (!s->server)
    {
      fprintf (stderr, "searcherd: %s\n", mr_status_message ());
      return -1;
    }
  mr_http_server_set_max_connections (s->server, (guint) opt.connections);
  return 0;
}

static const struct argp_option options[] = {
  { .name = "ip", .key = 'i', .arg = "IP", .doc = "Address to listen on" },
  { .name = "port", .key = 'p', .arg = "PORT", .doc = "First port" },
  { .name = "count", .key = 'n', .arg = "N", .doc = "Searchers, on consecutive ports" },
  { .name = "slots", .key = 's', .arg = "N", .doc = "Calls served at once by each" },
  { .name = "connections", .key = 'c', .arg = "N", .doc = "Connections accepted by each" },
  { .name = "connect-us",
    .key = 'C',
    .arg = "US",
    .doc = "Additional service time of the first call on a connection" },
  { .name = "service-us", .key = 't', .arg = "US", .doc = "Median service time" },
  { .name = "sigma",
    .key = 'g',
    .arg = "X",
    .doc = "Standard deviation of the logarithm of the service time" },
  { .name = "cold-ms",
    .key = 'o',
    .arg = "MS",
    .doc = "Time after a start during which calls are slow" },
  { .name = "seed", .key = 'S', .arg = "N", .doc = "Random seed of service times and catalogue" },
  { .name = "shards", .key = 'h', .arg = "N", .doc = "Number of shards of the catalogue" },
  { .name = "records", .key = 'r', .arg = "N", .doc = "Number of records of the catalogue" },
  { .name = "snapshot", .key = 'v', .arg = "NAME", .doc = "Snapshot loaded at the start" },
  { .name = "crash-on", .key = 'x', .arg = "TEXT", .doc = "A search for TEXT crashes the process" },
  { 0 },
};

static error_t
S_parse_option (int key, char *arg, struct argp_state *state)
{
  const struct
  {
    int key;
    int *place;
  } numbers[] = {
    { 'p', &opt.port },        { 'n', &opt.count },      { 's', &opt.slots },
    { 'c', &opt.connections }, { 'C', &opt.connect_us }, { 't', &opt.service_us },
    { 'o', &opt.cold_ms },     { 'S', &opt.seed },       { 'h', &opt.shards },
    { 'r', &opt.records },
  };
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (numbers[i].key == key)
      {
        *numbers[i].place = atoi (arg);
        return 0;
      }
  if (key == 'i')
    opt.ip = arg;
  else if (key == 'v')
    opt.snapshot = arg;
  else if (key == 'x')
    opt.crash_on = arg;
  else if (key == 'g')
    opt.sigma = atof (arg);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int
main (int argc, char **argv)
{
  struct argp argp = { .options = options,
                       .parser = S_parse_option,
                       .doc = "Stand-in for searchers." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  opt.count = CLAMP (opt.count, 1, COUNT_MAX);
  signal (SIGPIPE, SIG_IGN);
  process.loop_handler = (MrLoopHandler){ .on_tick = S_on_tick };
  process.loop = mr_loop_new (&process.loop_handler, DESCRIPTORS);
  process.catalogue =
      mr_catalogue_new ((guint) opt.records, (guint) opt.shards, (guint32) opt.seed);
  process.searchers = g_new0 (Searcher, opt.count);
  process.ticket_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  process.random = g_rand_new_with_seed ((guint32) opt.seed);
  for (int i = 0; i < opt.count; i++)
    if (S_start_searcher (&process.searchers[i], (guint) i) != 0)
      return EXIT_FAILURE;
  mr_loop_run (process.loop);
  return EXIT_SUCCESS;
}
