/* Stand-ins of the users' platform for tests: `standin store PORT` and
 * `standin searcher PORT ID`.
 *
 * The store keeps objects by kind and name in memory, lists them in pages and
 * answers watches.  PUT /raw/KIND/NAME stores bytes as they are, JSON or not, as
 * another writer may.  A searcher answers every request with its signature and the
 * caller's id; its process ends some moments after it has begun a request whose path
 * has "crash" in it, unless the connection closes first.  With "crash-late" that
 * connection closes some moments before the listener, as when a process ends on a busy
 * machine.  Both take faults: PUT /mode/NAME; "slow" and "error" of the store are those of
 * listings of quarantines alone; with "shed" it answers listings of configurations alone. */

#include "http_message.h"
#include "log.h"
#include "stream.h"
#include "timers.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  PAGE = 50,
  RECORD_BYTES = 16,
  RECORDS = 8,
  EXIT_USAGE = 2,
  HUGE_BYTES = 64 * 1024 * 1024,
  HUGE_PIECE = 16 * 1024 * 1024,
};

/* From the begin of a request that ends its searcher to that end. */
static const MrTime CRASH_AFTER = 40 * MR_MS;
/* From the end of its connection to that of its listener, where that is late: as long as
 * was seen on a busy machine. */
static const MrTime LISTENS_ON = 6 * MR_MS;
static const MrTime SLOW = 300 * MR_MS;

typedef enum
{
  MODE_OK,
  MODE_DOWN,   /* 503 */
  MODE_SILENT, /* reads and never answers */
  MODE_GONE,   /* the store has lost its history: 410 */
  MODE_SHED,   /* not run */
  MODE_CUT,    /* half of the answer, then the connection ends */
  MODE_RESET,  /* runs, and the connection is reset */
  MODE_EXTRA,  /* the answer to the request before follows each answer */
  MODE_SLOW,   /* late by SLOW */
  MODE_LATE,   /* the answer to the request before goes ahead of each answer */
  MODE_ERROR,  /* 500, with a signature */
  MODE_BUSY,   /* runs, then 503 with a signature and no word of not having run */
  MODE_HUGE,   /* an answer of HUGE_BYTES */
  MODE_DRIP,   /* the head of an answer, then a byte each 50 ms */
  MODE_COUNT,
} Mode;

static const char *const mode_names[MODE_COUNT] = { "ok",    "down",  "silent", "gone", "shed",
                                                    "cut",   "reset", "extra",  "slow", "late",
                                                    "error", "busy",  "huge",   "drip" };

typedef struct Server Server;

typedef struct
{
  MrStreamHandler host;
  Server *server;
  MrStream *stream;
  MrHttpParser *parser;
  char *last_id; /* of the request answered before */
  MrTimer timer; /* of an answer that waits */
  gboolean dripping;
  gboolean crashing; /* the process ends with the timer */
  gboolean late;     /* and its listener after this connection */
  char *kind;        /* of a watch or a listing that waits */
  gboolean listing;
  gint64 since;
} Peer;

struct Server
{
  MrLoopHandler host;
  MrLoop *loop;
  MrTimers *timers;
  const char *id; /* of a searcher; NULL: the store */
  Mode mode;
  gint64 revision;
  json_t *kinds;      /* kind -> name -> object */
  json_t *changes;    /* [{kind, revision, deleted, object}] */
  GHashTable *runs;   /* request id -> count */
  GPtrArray *watches; /* Peer that waits for a change */
};

static void
S_send (Peer *peer, int status, const char *fields, MrText body)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_string_append_printf (out, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status, fields,
                          body.len);
  g_string_append_len (out, body.data, (gssize) body.len);
  mr_stream_write (peer->stream, mr_text_of (out));
}

/* Content that is no JSON is kept as text behind this mark, in base 64. */
static const char raw_mark[] = "\"@raw:";

/* @text with the content that is no JSON put in. */
static GString *
S_with_raw (const char *text)
{
  GString *out = g_string_new (NULL);
  for (const char *at = strstr (text, raw_mark); at; at = strstr (text, raw_mark))
    {
      const char *begin = at + strlen (raw_mark);
      gsize len = strcspn (begin, "\"");
      g_autofree char *encoded = g_strndup (begin, len);
      gsize count = 0;
      g_autofree guchar *bytes = g_base64_decode (encoded, &count);
      g_string_append_len (out, text, at - text);
      g_string_append_len (out, (const char *) bytes, (gssize) count);
      text = begin + len + 1;
    }
  return g_string_append (out, text);
}

static void
S_send_json (Peer *peer, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  g_autoptr (GString) out = S_with_raw (text);
  S_send (peer, status, "Content-Type: application/json\r\n", mr_text_of (out));
  free (text);
  json_decref (body);
}

static json_t *
S_raw (MrText bytes)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *) bytes.data, bytes.len);
  return json_sprintf ("%s%s", raw_mark + 1, encoded);
}

/* The store. */

static json_t *
S_kind (Server *server, const char *kind)
{
  json_t *objects = json_object_get (server->kinds, kind);
  if (objects)
    return objects;
  objects = json_object ();
  json_object_set_new (server->kinds, kind, objects);
  return objects;
}

static json_t *
S_events (const Server *server, const char *kind, gint64 since)
{
  json_t *events = json_array ();
  size_t i = 0;
  json_t *change = NULL;
  json_array_foreach (server->changes, i, change)
  {
    if (json_integer_value (json_object_get (change, "revision")) > since &&
        g_str_equal (json_string_value (json_object_get (change, "kind")), kind))
      json_array_append_new (events,
                             json_pack ("{s:O,s:O}", "deleted", json_object_get (change, "deleted"),
                                        "object", json_object_get (change, "object")));
  }
  return events;
}

static gboolean
S_answer_watch (Peer *peer, gboolean even_if_empty)
{
  json_t *events = S_events (peer->server, peer->kind, peer->since);
  if (json_array_size (events) == 0 && !even_if_empty)
    {
      json_decref (events);
      return FALSE;
    }
  mr_timers_set (peer->server->timers, &peer->timer, MR_NEVER);
  g_ptr_array_remove (peer->server->watches, peer);
  S_send_json (peer, 200,
               json_pack ("{s:o,s:I}", "events", events, "store_revision",
                          (json_int_t) peer->server->revision));
  return TRUE;
}

static void
S_change (Server *server, const char *kind, const char *name, json_t *spec)
{
  json_t *objects = S_kind (server, kind);
  json_t *before = json_object_get (objects, name);
  gint64 revision = ++server->revision;
  gint64 last = json_integer_value (json_object_get (json_object_get (before, "meta"), "revision"));
  json_t *object =
      json_pack ("{s:{s:s,s:I},s:o}", "meta", "name", name, "revision",
                 (json_int_t) (spec ? revision : last), "spec", spec ? spec : json_null ());
  json_array_append_new (server->changes, json_pack ("{s:s,s:I,s:b,s:O}", "kind", kind, "revision",
                                                     (json_int_t) revision, "deleted", spec == NULL,
                                                     "object", object));
  if (spec)
    json_object_set (objects, name, object);
  else
    json_object_del (objects, name);
  json_decref (object);
  for (guint i = server->watches->len; i > 0; i--)
    S_answer_watch (g_ptr_array_index (server->watches, i - 1), FALSE);
}

static int
S_by_name (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static void
S_list (Peer *peer, const char *kind, const char *after)
{
  json_t *objects = S_kind (peer->server, kind);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  const char *name = NULL;
  json_t *object = NULL;
  json_object_foreach (objects, name, object)
  {
    if (strcmp (name, after) > 0)
      g_ptr_array_add (names, (gpointer) name);
  }
  qsort (names->pdata, names->len, sizeof (gpointer), S_by_name);
  json_t *items = json_array ();
  for (guint i = 0; i < names->len && i < PAGE; i++)
    json_array_append (items, json_object_get (objects, g_ptr_array_index (names, i)));
  S_send_json (peer, 200,
               json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", names->len > PAGE,
                          "store_revision", (json_int_t) peer->server->revision));
}

/* The value of @key in a query; empty if it is not there. */
static char *
S_query (const char *target, const char *key)
{
  g_autofree char *start = g_strdup_printf ("%s=", key);
  const char *at = strchr (target, '?');
  while (at && !g_str_has_prefix (at + 1, start))
    at = strchr (at + 1, '&');
  if (!at)
    return g_strdup ("");
  at += 1 + strlen (start);
  return g_strndup (at, strcspn (at, "&"));
}

/* A write in the store's own form: POST creates, PUT replaces, under the condition that
 * its revision is the object's. */
static void
S_write_object (Peer *peer, const char *method, const char *kind, const json_t *body)
{
  const json_t *meta = json_object_get (body, "meta");
  const char *name = json_string_value (json_object_get (meta, "name"));
  const json_t *expected = json_object_get (meta, "revision");
  json_t *objects = S_kind (peer->server, kind);
  const json_t *before = json_object_get (objects, name);
  gboolean create = g_str_equal (method, "POST");
  if (!create && !before)
    {
      S_send (peer, 404, "", MR_TEXT ("{}"));
      return;
    }
  const json_t *revision = json_object_get (json_object_get (before, "meta"), "revision");
  gboolean conflict = create ? before != NULL : expected && !json_equal (expected, revision);
  if (!conflict)
    S_change (peer->server, kind, name, json_incref (json_object_get (body, "spec")));
  S_send_json (peer, conflict ? 409 : 200, json_incref (json_object_get (objects, name)));
}

static void
S_on_store_request (Peer *peer, const char *method, const char *target)
{
  Server *server = peer->server;
  g_autofree char *path = g_strndup (target, strcspn (target, "?"));
  g_auto (GStrv) parts = g_strsplit (path, "/", -1); /* "", objects, kind, name */
  guint count = g_strv_length (parts);
  if (count < 3 || (server->mode == MODE_SILENT && g_str_equal (method, "GET")))
    return;
  if (server->mode == MODE_DOWN && g_str_equal (method, "GET"))
    {
      S_send (peer, 503, "", (MrText){ 0 });
      return;
    }
  if (!g_str_equal (method, "GET"))
    {
      MrText body = mr_http_parser_body (peer->parser);
      json_t *spec = NULL;
      json_t *object = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
      if (json_object_get (object, "meta"))
        {
          if (server->mode != MODE_SILENT)
            S_write_object (peer, method, parts[2], object);
          json_decref (object);
          return;
        }
      json_decref (object);
      if (g_str_equal (parts[1], "raw"))
        spec = S_raw (body);
      else if (g_str_equal (method, "PUT"))
        spec = json_loadb (body.data, body.len, 0, NULL);
      S_change (server, parts[2], parts[3], spec);
      S_send (peer, 200, "", MR_TEXT ("{}"));
      return;
    }
  g_autofree char *watch = S_query (target, "watch");
  g_autofree char *wait = S_query (target, "wait_ms");
  g_autofree char *after = S_query (target, "after");
  gboolean quarantines = g_str_equal (parts[2], "quarantine");
  if (server->mode == MODE_SHED && !g_str_equal (parts[2], "config"))
    return;
  if (*watch == '\0' && quarantines && server->mode == MODE_ERROR)
    {
      S_send (peer, 503, "", (MrText){ 0 });
      return;
    }
  if (*watch == '\0' && quarantines && server->mode == MODE_SLOW)
    {
      g_free (peer->kind);
      peer->kind = g_strdup (parts[2]);
      peer->listing = TRUE;
      mr_timers_set (server->timers, &peer->timer, mr_now () + SLOW);
      return;
    }
  if (*watch == '\0')
    {
      S_list (peer, parts[2], after);
      return;
    }
  if (server->mode == MODE_GONE)
    {
      server->mode = MODE_OK;
      S_send (peer, 410, "", (MrText){ 0 });
      return;
    }
  g_free (peer->kind);
  peer->kind = g_strdup (parts[2]);
  peer->since = atoll (watch);
  g_ptr_array_add (server->watches, peer);
  if (!S_answer_watch (peer, FALSE))
    mr_timers_set (server->timers, &peer->timer, mr_now () + atoll (wait) * MR_MS);
}

/* A searcher. */

static guint
S_note_run (Server *server, const char *id)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (server->runs, id)) + 1;
  g_hash_table_insert (server->runs, g_strdup (id), GUINT_TO_POINTER (count));
  printf ("run %s\n", id);
  return count;
}

/* Records that tell this searcher's from others, greatest last. */
static GString *
S_records (const Server *server)
{
  GString *body = g_string_new (NULL);
  for (guint i = 0; i < RECORDS; i++)
    {
      g_autofree char *record = g_strdup_printf ("%02u-%-13.13s", i, server->id);
      g_string_append_len (body, record, RECORD_BYTES);
    }
  return body;
}

/* The answer to the request before, once more. */
static void
S_repeat_last (Peer *peer)
{
  g_autofree char *extra = g_strdup_printf ("X-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\n",
                                            peer->last_id, peer->server->id, peer->last_id);
  S_send (peer, 200, extra, MR_TEXT ("not yours"));
}

static int
S_status (Mode mode)
{
  if (mode == MODE_BUSY)
    return 503;
  return mode == MODE_ERROR ? 500 : 200;
}

/* An answer whose end never comes, or only after HUGE_BYTES. */
static void
S_begin_long (Peer *peer, const char *fields)
{
  g_autofree char *head =
      g_strdup_printf ("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", fields,
                       peer->server->mode == MODE_HUGE ? HUGE_BYTES : 1000);
  mr_stream_write (peer->stream, mr_text (head));
  if (peer->server->mode == MODE_HUGE)
    {
      g_autofree char *piece = g_malloc0 (HUGE_PIECE);
      mr_stream_write (peer->stream, (MrText){ .data = piece, .len = HUGE_PIECE });
      return;
    }
  peer->dripping = TRUE;
  mr_timers_set (peer->server->timers, &peer->timer, mr_now () + 50 * MR_MS);
}

static void
S_drip (Peer *peer)
{
  mr_stream_write (peer->stream, MR_TEXT ("."));
  mr_timers_set (peer->server->timers, &peer->timer, mr_now () + 50 * MR_MS);
}

static void
S_answer_run (Peer *peer, const char *id)
{
  Server *server = peer->server;
  g_autofree char *fields = g_strdup_printf (
      "X-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nKeep-Alive: timeout=5\r\n", id, server->id, id);
  g_autoptr (GString) body = S_records (server);
  if (server->mode == MODE_CUT)
    {
      g_autofree char *half =
          g_strdup_printf ("HTTP/1.1 200 OK\r\n%sContent-Length: 1000\r\n\r\nx", fields);
      mr_stream_write (peer->stream, mr_text (half));
      mr_stream_close (peer->stream);
      return;
    }
  if (server->mode == MODE_HUGE || server->mode == MODE_DRIP)
    {
      S_begin_long (peer, fields);
      return;
    }
  if (server->mode == MODE_LATE && peer->last_id)
    S_repeat_last (peer);
  S_send (peer, S_status (server->mode), fields, mr_text_of (body));
  if (server->mode == MODE_EXTRA && peer->last_id)
    S_repeat_last (peer);
}

static void
S_on_searcher_request (Peer *peer, const char *target)
{
  Server *server = peer->server;
  MrText expected = mr_http_parser_find_field (peer->parser, "X-Expect-Instance", NULL);
  g_autofree char *id =
      mr_text_dup (mr_http_parser_find_field (peer->parser, "X-Request-Id", NULL));
  if (g_str_has_prefix (target, "/runs/"))
    {
      g_autofree char *count = g_strdup_printf (
          "%u\n", GPOINTER_TO_UINT (g_hash_table_lookup (server->runs, target + 6)));
      S_send (peer, 200, "", mr_text (count));
      return;
    }
  if (server->mode == MODE_SILENT)
    return;
  if (expected.len > 0 && !mr_text_equal (expected, mr_text (server->id)))
    {
      S_send (peer, 421, "", (MrText){ 0 });
      return;
    }
  if (server->mode == MODE_SHED)
    {
      S_send (peer, 503, "X-Not-Executed: 1\r\n", (MrText){ 0 });
      return;
    }
  S_note_run (server, id);
  if (strstr (target, "crash"))
    {
      peer->crashing = TRUE;
      peer->late = strstr (target, "crash-late") != NULL;
      mr_timers_set (server->timers, &peer->timer, mr_now () + CRASH_AFTER);
      return;
    }
  if (server->mode == MODE_RESET)
    {
      mr_stream_close (peer->stream);
      return;
    }
  if (server->mode == MODE_SLOW)
    {
      g_free (peer->last_id);
      peer->last_id = g_steal_pointer (&id);
      mr_timers_set (server->timers, &peer->timer, mr_now () + SLOW);
      return;
    }
  S_answer_run (peer, id);
  g_free (peer->last_id);
  peer->last_id = g_steal_pointer (&id);
}

/* Both. */

static void
S_on_request (Peer *peer)
{
  g_autofree char *method = mr_text_dup (mr_http_parser_method (peer->parser));
  g_autofree char *target = mr_text_dup (mr_http_parser_target (peer->parser));
  if (g_str_has_prefix (target, "/mode/"))
    {
      for (guint i = 0; i < MODE_COUNT; i++)
        if (g_str_equal (target + strlen ("/mode/"), mode_names[i]))
          peer->server->mode = (Mode) i;
      S_send (peer, 200, "", MR_TEXT ("{}"));
    }
  else if (peer->server->id)
    S_on_searcher_request (peer, target);
  else
    S_on_store_request (peer, method, target);
}

static void
S_received (MrStreamHandler *host, MrStream *stream, MrText bytes)
{
  Peer *peer = (Peer *) host;
  (void) stream;
  while (bytes.len > 0)
    {
      gsize used = mr_http_parser_feed (peer->parser, bytes);
      bytes.data += used;
      bytes.len -= used;
      if (mr_http_parser_state (peer->parser) != MR_HTTP_DONE)
        return;
      S_on_request (peer);
      mr_http_parser_reset (peer->parser);
    }
}

static void
S_ended (MrStreamHandler *host, MrStream *stream, MrStreamEnd end)
{
  Peer *peer = (Peer *) host;
  (void) stream;
  (void) end;
  mr_timers_set (peer->server->timers, &peer->timer, MR_NEVER);
  g_ptr_array_remove (peer->server->watches, peer);
  mr_http_parser_free (peer->parser);
  g_free (peer->last_id);
  g_free (peer->kind);
  g_free (peer);
}

static void
S_accepted (void *user, MrStream *stream)
{
  Peer *peer = g_new0 (Peer, 1);
  *peer = (Peer){
    .host = { .on_data = S_received, .on_end = S_ended },
    .server = user,
    .stream = stream,
    .parser = mr_http_parser_new (MR_HTTP_REQUEST),
  };
  peer->timer.owner = peer;
  mr_stream_set_handler (stream, &peer->host);
}

static void
S_answer_listing (Peer *peer)
{
  peer->listing = FALSE;
  S_list (peer, peer->kind, "");
}

static void
S_crash (Peer *peer, MrTime now)
{
  if (!peer->late)
    exit (EXIT_SUCCESS);
  peer->late = FALSE;
  mr_stream_close (peer->stream);
  mr_timers_set (peer->server->timers, &peer->timer, now + LISTENS_ON);
}

static MrTime
S_on_tick (MrLoopHandler *host, MrTime now)
{
  Server *server = (Server *) host;
  for (MrTimer *timer = mr_timers_pop (server->timers, now); timer;
       timer = mr_timers_pop (server->timers, now))
    {
      Peer *peer = timer->owner;
      if (peer->crashing)
        S_crash (peer, now);
      else if (peer->dripping)
        S_drip (peer);
      else if (server->id)
        S_answer_run (peer, peer->last_id);
      else if (peer->listing)
        S_answer_listing (peer);
      else
        S_answer_watch (peer, TRUE);
    }
  return mr_timers_next_due (server->timers);
}

int
main (int argc, char **argv)
{
  gboolean searcher = argc == 4 && g_str_equal (argv[1], "searcher");
  if (!searcher && !(argc == 3 && g_str_equal (argv[1], "store")))
    {
      fprintf (stderr, "usage: standin store PORT | standin searcher PORT ID\n");
      return EXIT_USAGE;
    }
  Server server = {
    .host = { .on_tick = S_on_tick },
    .timers = mr_timers_new (),
    .id = searcher ? argv[3] : NULL,
    .kinds = json_object (),
    .changes = json_array (),
    .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .watches = g_ptr_array_new (),
  };
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  server.loop = mr_loop_new (&server.host, 500);
  if (!server.loop ||
      !mr_listener_new (server.loop, "127.0.0.1", atoi (argv[2]), S_accepted, &server))
    {
      fprintf (stderr, "standin: %s\n", mr_status_message ());
      return EXIT_FAILURE;
    }
  mr_loop_run (server.loop);
  return EXIT_SUCCESS;
}
