/* Fault soak: a store, searchers and relays as separate processes on loopback,
 * faults from outside them in overlapping series, promises checked from what
 * callers and searchers see.
 *
 *     soak BUILD SEED SECONDS FIRST-PORT
 *
 * Everything that is drawn comes from SEED.  Promises:
 *   own      an answer belongs to its request, whole, from a searcher that ran it
 *   merged   parts are of this request, one a service, of one version's set; the
 *            body is the greatest records of the parts that are named
 *   once     an order runs at most once
 *   not run  what was refused never ran
 *   asked    searchers run only what callers sent
 *   answered a relay that was left alone answers within the route's time
 *   heals    after the last fault every relay serves whole answers from the
 *            newest version */

#include "merge_records.h"
#include "proxy.h"
#include "stream.h"

#include "http_message.h"
#include "log.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  /* Beside the first port, which is given. */
  STORE_PORT = 0,
  STORE_PROXY = 10, /* one a relay */
  SEARCHER_PORT = 100,
  SEARCHER_PROXY = 200, /* one a searcher: the address that is listed */
  RELAY_PORT = 300,     /* ten a relay: front, ready, directory, control */
  SERVICES = 3,
  SEARCHERS = 6, /* two a service */
  RELAYS = 3,
  REQUESTS_PER_SECOND = 80,
  RECORDS = 8,
  TOP = 4,
  EXIT_USAGE = 2,
  ID_BYTES = 24,
};

/* Route's time limit in the configuration below, and what a caller allows beyond. */
static const MrTime TIME_LIMIT = 1500 * MR_MS;
static const MrTime TIME_SLACK = 1200 * MR_MS;
/* After a relay was disturbed its callers expect nothing for this long. */
static const MrTime SETTLE = 4 * MR_SECOND;
static const MrTime HEAL = 12 * MR_SECOND;
/* Callers use kept connections for four fifths of the idle time that they are
 * told, not longer. */
static const MrTime IDLE_MOST = 12 * MR_SECOND;

typedef struct Soak Soak;

typedef struct
{
  pid_t pid;
  MrTime disturbed; /* last signal, start or fault on its way */
  MrTime back_at;   /* when it is continued or started again; 0: it runs */
  gboolean stopped; /* by SIGSTOP */
  guint generation; /* of a searcher */
} Child;

typedef enum
{
  ASK_ALL,
  ASK_ONE,
  ASK_ORDER,
  ASK_KINDS,
} AskKind;

/* One caller's connection, with or without a request. */
typedef struct
{
  MrStreamHost host;
  Soak *soak;
  MrStream *stream;
  MrHttpParser *parser;
  MrTimer timer;
  guint relay;
  AskKind kind;
  char id[ID_BYTES]; /* empty: idle */
  MrTime sent;
  MrTime last_used;
  GString *waiting;
} Caller;

/* What became of an order. */
typedef enum
{
  ORDER_OPEN,
  ORDER_DONE,
  ORDER_REFUSED,
  ORDER_UNKNOWN,
} OrderEnd;

struct Soak
{
  MrLoopHost host;
  MrLoop *loop;
  MrTimers *timers; /* Caller */
  MrTimers *proxy_timers;
  GRand *random;
  const char *build;
  const char *only; /* one mode of searchers in place of all faults */
  char *folder;
  Child store;
  Child searchers[SEARCHERS];
  Child relays[RELAYS];
  SoakProxy *store_proxies[RELAYS];
  SoakProxy *searcher_proxies[SEARCHERS];
  MrTime proxies_back[RELAYS + SEARCHERS];
  GQueue idle[RELAYS]; /* Caller */
  GHashTable *orders;  /* id -> OrderEnd */
  GHashTable *sent;    /* set of ids */
  guint64 last_id;
  guint version;
  gboolean wide; /* the version names three services */
  MrTime now;
  MrTime start;
  MrTime next_request;
  MrTime next_fault;
  MrTime faults_end;
  MrTime end;
  MrTime store_back;
  guint answered;
  guint served;
  guint broken; /* promises */
  gboolean healing_checked;
  guint healed[RELAYS];
};

static int first_port;

static void S_broken (Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
S_broken (Soak *s, const char *format, ...)
{
  va_list args;
  s->broken++;
  printf ("%8.3f BROKEN ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

static void S_say (const Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
S_say (const Soak *s, const char *format, ...)
{
  va_list args;
  printf ("%8.3f ", (double) (mr_now () - s->start) / (double) MR_SECOND);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

static guint
S_pick (Soak *s, guint below)
{
  return (guint) g_rand_int_range (s->random, 0, (gint32) below);
}

static MrTime
S_between (Soak *s, double least_ms, double most_ms)
{
  return (MrTime) (g_rand_double_range (s->random, least_ms, most_ms) * (double) MR_MS);
}

/* Processes. */

static pid_t
S_spawn (const Soak *s, const char *log, char *const *argv)
{
  g_autofree char *path = g_build_filename (s->folder, log, NULL);
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL); /* nothing is left behind if the soak is ended */
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (argv[0], argv);
  _exit (EXIT_FAILURE);
}

static void
S_start_standin (Soak *s, Child *child, const char *role, int port, const char *id, const char *log)
{
  g_autofree char *program = g_build_filename (s->build, "test", "standin", NULL);
  g_autofree char *number = g_strdup_printf ("%d", port);
  char *argv[] = { program, (char *) role, number, (char *) id, NULL };
  child->pid = S_spawn (s, log, argv);
  child->disturbed = mr_now ();
}

/* A short HTTP exchange of the operator's with a stand-in; waits for it. */
static void
S_tell (int port, const char *method, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d%s", port, path);
  char *argv[] = { "/usr/bin/curl",
                   "-sS",
                   "--max-time",
                   "2",
                   "--retry",
                   "20",
                   "--retry-connrefused",
                   "-o",
                   "/dev/null",
                   "-X",
                   (char *) method,
                   "--data-binary",
                   (char *) body,
                   "--retry-delay",
                   "1",
                   url,
                   NULL };
  pid_t pid = fork ();
  if (pid == 0)
    {
      int null = open ("/dev/null", O_WRONLY);
      dup2 (null, STDERR_FILENO);
      execv (argv[0], argv);
      _exit (EXIT_FAILURE);
    }
  waitpid (pid, NULL, 0);
}

static void
S_searcher_id (const Soak *s, guint index, char *id)
{
  g_snprintf (id, ID_BYTES, "s%u-%u", index, s->searchers[index].generation);
}

static void
S_announce (Soak *s, guint index, const char *state)
{
  char id[ID_BYTES];
  S_searcher_id (s, index, id);
  g_autofree char *path = g_strdup_printf ("/objects/servers/%s", id);
  g_autofree char *body = g_strdup_printf (
      "{\"service\":\"%c\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%u\",\"slots\":5,"
      "\"state\":\"%s\",\"warmup_left_ms\":0}",
      'a' + (int) (index / 2), first_port + SEARCHER_PROXY + (int) index, index % RELAYS, state);
  S_tell (first_port + STORE_PORT, state ? "PUT" : "DELETE", path, body);
}

static void
S_withdraw (Soak *s, guint index)
{
  char id[ID_BYTES];
  S_searcher_id (s, index, id);
  g_autofree char *path = g_strdup_printf ("/objects/servers/%s", id);
  S_tell (first_port + STORE_PORT, "DELETE", path, "");
}

static void
S_start_searcher (Soak *s, guint index)
{
  char id[ID_BYTES];
  g_autofree char *log = g_strdup_printf ("searcher%u.log", index);
  s->searchers[index].generation++;
  S_searcher_id (s, index, id);
  S_start_standin (s, &s->searchers[index], "searcher", first_port + SEARCHER_PORT + (int) index,
                   id, log);
  S_announce (s, index, "ready");
}

static void
S_start_relay (Soak *s, guint index)
{
  const char *name = getenv ("SOAK_RELAY"); /* another build, whose safeguards are off */
  g_autofree char *program = g_build_filename (s->build, name ? name : "merlinring-relay", NULL);
  g_autofree char *log = g_strdup_printf ("relay%u.log", index);
  g_autofree char *settings = g_strdup_printf ("%s/relay%u.json", s->folder, index);
  int base = first_port + RELAY_PORT + 10 * (int) index;
  g_autofree char *text = g_strdup_printf (
      "{\"node_name\":\"r%u\",\"ip\":\"127.0.0.1\",\"zone\":\"z%u\",\"region\":\"reg\","
      "\"seeds\":[\"127.0.0.1:%d\",\"127.0.0.1:%d\"],\"listen\":{\"front\":\"127.0.0.1:%d\","
      "\"ready\":\"127.0.0.1:%d\",\"directory\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"},"
      "\"limits\":{\"cpu_share\":0.25,\"cores\":1,\"max_fds\":1000,\"link_mbps\":1000},"
      "\"bounds\":{\"grace_s\":3,\"budget_window_s\":10,\"retry_budget_ratio\":0.2,"
      "\"retry_budget_slack\":100},\"platform\":{\"address\":\"127.0.0.1:%d\"}}",
      index, index, first_port + RELAY_PORT + 3, first_port + RELAY_PORT + 13, base, base + 1,
      base + 2, base + 3, first_port + STORE_PROXY + (int) index);
  g_file_set_contents (settings, text, -1, NULL);
  setenv ("MERLINRING_CONFIG", settings, 1);
  char *argv[] = { program, NULL };
  s->relays[index].pid = S_spawn (s, log, argv);
  s->relays[index].disturbed = mr_now ();
}

static void
S_configure (Soak *s)
{
  s->wide = S_pick (s, 2) == 0;
  s->version++;
  g_autofree char *body = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"all\",\"host\":\"h\",\"path_prefix\":\"/all/\",\"kind\":\"safe\","
      "\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":1,\"gather\":[%s],"
      "\"max_attempts\":2,\"top_k\":%d,\"min_shard_share\":0.5},"
      "{\"name\":\"one\",\"host\":\"h\",\"path_prefix\":\"/one/\",\"kind\":\"safe\","
      "\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":0,\"service\":\"a\","
      "\"max_attempts\":2},{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":0,"
      "\"service\":\"b\",\"max_attempts\":2}],\"services\":[{\"name\":\"a\",\"max_conns\":40},"
      "{\"name\":\"b\",\"max_conns\":40},{\"name\":\"c\",\"max_conns\":40}],\"limits\":{"
      "\"max_header_bytes\":4096,\"max_body_bytes\":4096,\"header_timeout_ms\":1000,"
      "\"idle_timeout_ms\":15000}}",
      s->version, s->wide ? "\"a\",\"b\",\"c\"" : "\"a\",\"b\"", TOP);
  S_tell (first_port + STORE_PORT, "PUT", "/objects/config/main", body);
}

/* Answers. */

static GString *
S_records_of (const char *id)
{
  GString *body = g_string_new (NULL);
  for (guint i = 0; i < RECORDS; i++)
    {
      g_autofree char *record = g_strdup_printf ("%02u-%-13.13s", i, id);
      g_string_append_len (body, record, MR_RECORD_BYTES);
    }
  return body;
}

/* Splits "SEARCHER.REQUEST"; FALSE if the signature is of another request. */
static gboolean
S_read_signature (const char *signature, const char *request, char *searcher)
{
  const char *dot = strrchr (signature, '.');
  if (!dot || !g_str_equal (dot + 1, request) || dot - signature >= ID_BYTES)
    return FALSE;
  g_strlcpy (searcher, signature, (gsize) (dot - signature) + 1);
  return searcher[0] == 's' && g_ascii_isdigit (searcher[1]);
}

static void
S_check_one (Caller *c)
{
  char searcher[ID_BYTES];
  g_autofree char *signature =
      mr_text_dup (mr_http_parser_find (c->parser, "X-Server-Stamp", NULL));
  if (!S_read_signature (signature, c->id, searcher))
    {
      S_broken (c->soak, "own: request %s got signature '%s'", c->id, signature);
      return;
    }
  g_autoptr (GString) expected = S_records_of (searcher);
  if (!mr_text_equal (mr_http_parser_body (c->parser), mr_text_of (expected)))
    S_broken (c->soak, "own: request %s got another body", c->id);
}

static void
S_check_all (Caller *c)
{
  g_autofree char *list = mr_text_dup (mr_http_parser_find (c->parser, "X-Part-Stamps", NULL));
  g_autofree char *missing = mr_text_dup (mr_http_parser_find (c->parser, "X-Missing-Parts", NULL));
  g_auto (GStrv) parts = g_strsplit (list, ", ", -1);
  guint count = g_strv_length (parts);
  guint seen = 0;
  GString *bodies[SERVICES] = { NULL };
  MrText texts[SERVICES];
  for (guint i = 0; i < count && i < SERVICES; i++)
    {
      char searcher[ID_BYTES];
      guint service = 0;
      if (S_read_signature (parts[i], c->id, searcher))
        service = 1U << ((guint) (searcher[1] - '0') / 2);
      if (service == 0 || (seen & service))
        S_broken (c->soak, "merged: request %s got part '%s' of '%s'", c->id, parts[i], list);
      seen |= service;
      bodies[i] = S_records_of (service ? searcher : "");
      texts[i] = mr_text_of (bodies[i]);
    }
  guint total = count + (guint) atoi (missing);
  if (count == 0 || count > SERVICES || total < 2 || total > SERVICES || (total == 2 && (seen & 4)))
    S_broken (c->soak, "merged: request %s has %u parts and %s missing", c->id, count, missing);
  g_autoptr (GString) expected = mr_merge_records (texts, MIN (count, SERVICES), TOP);
  if (!mr_text_equal (mr_http_parser_body (c->parser), mr_text_of (expected)))
    S_broken (c->soak, "merged: request %s has other records than its parts", c->id);
  for (guint i = 0; i < SERVICES; i++)
    if (bodies[i])
      g_string_free (bodies[i], TRUE);
  guint wanted = c->soak->wide ? SERVICES : 2;
  if (c->soak->now > c->soak->faults_end && count == wanted && total == wanted)
    c->soak->healed[c->relay]++;
}

static void
S_end_order (Soak *s, const char *id, OrderEnd end)
{
  g_hash_table_replace (s->orders, g_strdup (id), GINT_TO_POINTER (end));
}

static void
S_on_answer (Caller *c)
{
  Soak *s = c->soak;
  int status = mr_http_parser_status (c->parser);
  s->answered++;
  if (c->kind == ASK_ORDER)
    S_end_order (s, c->id,
                 status == 200   ? ORDER_DONE
                 : status == 503 ? ORDER_REFUSED
                                 : ORDER_UNKNOWN);
  if (status == 200)
    {
      s->served++;
      if (c->kind == ASK_ALL)
        S_check_all (c);
      else
        S_check_one (c);
    }
  else if (status != 500 && status != 502 && status != 503 && status != 504)
    S_broken (s, "own: request %s got status %d", c->id, status);
}

/* Callers. */

static void
S_caller_free (Caller *c)
{
  mr_timers_set (c->soak->timers, &c->timer, MR_NEVER);
  g_queue_remove (&c->soak->idle[c->relay], c);
  mr_http_parser_free (c->parser);
  if (c->waiting)
    g_string_free (c->waiting, TRUE);
  g_free (c);
}

/* TRUE if nothing was done to the relay that would excuse it. */
static gboolean
S_left_alone (const Caller *c)
{
  const Child *relay = &c->soak->relays[c->relay];
  return c->sent > relay->disturbed + SETTLE && relay->back_at == 0;
}

static void
S_end_unanswered (Caller *c, const char *how)
{
  if (c->kind == ASK_ORDER)
    S_end_order (c->soak, c->id, ORDER_UNKNOWN);
  if (S_left_alone (c))
    S_broken (c->soak, "answered: request %s at relay %u, %s after %.3f s", c->id, c->relay, how,
              (double) (mr_now () - c->sent) / (double) MR_SECOND);
}

static void
S_received (MrStreamHost *host, MrStream *stream, MrText bytes)
{
  Caller *c = (Caller *) host;
  (void) stream;
  gsize used = mr_http_parser_feed (c->parser, bytes);
  MrHttpState state = mr_http_parser_state (c->parser);
  if (c->id[0] == '\0' || state > MR_HTTP_DONE || used < bytes.len)
    {
      S_broken (c->soak, "own: bytes that belong to no answer, after request '%s'", c->id);
      mr_stream_close (c->stream);
      S_caller_free (c);
      return;
    }
  if (state != MR_HTTP_DONE)
    return;
  S_on_answer (c);
  gboolean keep = mr_http_parser_keep_alive (c->parser) && S_pick (c->soak, 10) < 8;
  c->id[0] = '\0';
  mr_timers_set (c->soak->timers, &c->timer, MR_NEVER);
  mr_http_parser_reset (c->parser);
  c->last_used = mr_now ();
  if (keep)
    {
      g_queue_push_tail (&c->soak->idle[c->relay], c);
      return;
    }
  mr_stream_close (c->stream);
  S_caller_free (c);
}

static void
S_ended (MrStreamHost *host, MrStream *stream, MrStreamEnd end)
{
  Caller *c = (Caller *) host;
  gboolean refused = end == MR_STREAM_REFUSED;
  (void) stream;
  if (c->id[0] != '\0' && refused && c->kind == ASK_ORDER)
    S_end_order (c->soak, c->id, ORDER_UNKNOWN);
  else if (c->id[0] != '\0' && !refused)
    S_end_unanswered (c, "its connection ended");
  S_caller_free (c);
}

static void
S_opened (MrStreamHost *host, MrStream *stream)
{
  Caller *c = (Caller *) host;
  c->sent = mr_now ();
  mr_stream_write (stream, mr_text_of (c->waiting));
}

static const MrStreamHost caller_host = { .opened = S_opened,
                                          .received = S_received,
                                          .ended = S_ended };

/* A kept connection, or a new one. */
static Caller *
S_caller (Soak *s, guint relay)
{
  Caller *c = g_queue_pop_head (&s->idle[relay]);
  while (c && s->now > c->last_used + IDLE_MOST)
    {
      mr_stream_close (c->stream);
      S_caller_free (c);
      c = g_queue_pop_head (&s->idle[relay]);
    }
  if (c)
    return c;
  c = g_new0 (Caller, 1);
  c->host = caller_host;
  c->soak = s;
  c->relay = relay;
  c->timer.owner = c;
  c->parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  c->stream = mr_stream_connect (s->loop, &c->host, "127.0.0.1",
                                 first_port + RELAY_PORT + 10 * (int) relay);
  if (c->stream)
    return c;
  mr_http_parser_free (c->parser);
  g_free (c);
  return NULL;
}

static void
S_ask (Soak *s)
{
  static const char *const lines[ASK_KINDS] = { "GET /all/q", "GET /one/q", "POST /order/q" };
  Caller *c = S_caller (s, S_pick (s, RELAYS));
  if (!c)
    return;
  gboolean fresh = !c->waiting;
  c->kind = (AskKind) S_pick (s, ASK_KINDS);
  g_snprintf (c->id, sizeof c->id, "q%" G_GUINT64_FORMAT, ++s->last_id);
  g_hash_table_add (s->sent, g_strdup (c->id));
  if (c->kind == ASK_ORDER)
    S_end_order (s, c->id, ORDER_OPEN);
  if (fresh)
    c->waiting = g_string_new (NULL);
  g_string_printf (c->waiting,
                   "%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s\r\n",
                   lines[c->kind], c->id, c->kind == ASK_ORDER ? "Content-Length: 0\r\n" : "");
  c->sent = mr_now ();
  mr_timers_set (s->timers, &c->timer, c->sent + TIME_LIMIT + TIME_SLACK);
  if (!fresh)
    mr_stream_write (c->stream, mr_text_of (c->waiting));
}

/* Faults. */

static const char *const searcher_modes[] = { "ok",    "ok",    "ok",   "shed",  "cut",
                                              "reset", "extra", "slow", "error", "silent" };
static const char *const store_modes[] = { "down", "silent", "gone" };

/* Relays that a fault on their way to the store, or on their targets, touches
 * must still answer; only signals excuse them. */
static void
S_signal_relay (Soak *s, guint index, int number, MrTime back)
{
  Child *relay = &s->relays[index];
  if (relay->back_at != 0)
    return;
  S_say (s, "relay %u gets signal %d for %.1f s", index, number, (double) back / 1e6);
  kill (relay->pid, number);
  relay->disturbed = mr_now ();
  relay->back_at = mr_now () + back;
  relay->stopped = number == SIGSTOP;
}

static void
S_signal_searcher (Soak *s, guint index, int number, MrTime back)
{
  Child *searcher = &s->searchers[index];
  if (searcher->back_at != 0)
    return;
  S_say (s, "searcher %u gets signal %d for %.1f s", index, number, (double) back / 1e6);
  kill (searcher->pid, number);
  searcher->back_at = mr_now () + back;
  searcher->stopped = number == SIGSTOP;
  if (!searcher->stopped)
    S_withdraw (s, index);
}

static void
S_disturb_proxy (Soak *s, guint index)
{
  SoakProxy *proxy = index < RELAYS ? s->store_proxies[index] : s->searcher_proxies[index - RELAYS];
  guint what = S_pick (s, PROXY_MODES + 1);
  S_say (s, "proxy %u: fault %u", index, what);
  if (what == 0)
    soak_proxy_reset (proxy);
  else if (what == PROXY_MODES)
    soak_proxy_lose (proxy);
  else
    {
      soak_proxy_set_mode (proxy, (SoakProxyMode) what);
      s->proxies_back[index] = mr_now () + S_between (s, 300, 4000);
    }
}

static void
S_set_store (Soak *s)
{
  const char *mode = store_modes[S_pick (s, G_N_ELEMENTS (store_modes))];
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  S_say (s, "store is %s", mode);
  S_tell (first_port + STORE_PORT, "PUT", path, "");
  s->store_back = mr_now () + S_between (s, 500, 4000);
}

static void
S_set_searcher (Soak *s, guint index, const char *mode)
{
  g_autofree char *path = g_strdup_printf ("/mode/%s", mode);
  if (s->searchers[index].back_at != 0)
    return;
  S_say (s, "searcher %u: %s", index, path);
  S_tell (first_port + SEARCHER_PORT + (int) index, "PUT", path, "");
}

/* Draws one fault; with SOAK_ONLY set, always that mode of all searchers. */
static void
S_disturb (Soak *s)
{
  if (s->only)
    {
      for (guint i = 0; i < SEARCHERS; i++)
        S_set_searcher (s, i, s->only);
      return;
    }
  switch (S_pick (s, 10))
    {
    case 0:
      S_signal_relay (s, S_pick (s, RELAYS), SIGTERM, S_between (s, 3200, 4500));
      break;
    case 1:
      S_signal_relay (s, S_pick (s, RELAYS), SIGKILL, S_between (s, 100, 2000));
      break;
    case 2:
      S_signal_relay (s, S_pick (s, RELAYS), SIGSTOP, S_between (s, 200, 3000));
      break;
    case 3:
      S_signal_searcher (s, S_pick (s, SEARCHERS), SIGKILL, S_between (s, 100, 3000));
      break;
    case 4:
      S_signal_searcher (s, S_pick (s, SEARCHERS), SIGSTOP, S_between (s, 200, 3000));
      break;
    case 5:
      S_set_store (s);
      break;
    case 6:
      S_configure (s);
      S_say (s, "version %u, %s", s->version, s->wide ? "three services" : "two services");
      break;
    case 7:
      S_set_searcher (s, S_pick (s, SEARCHERS),
                      searcher_modes[S_pick (s, G_N_ELEMENTS (searcher_modes))]);
      break;
    default:
      S_disturb_proxy (s, S_pick (s, RELAYS + SEARCHERS));
      break;
    }
}

/* Ends what is due, or everything. */
static void
S_restore (Soak *s, gboolean all)
{
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      if (s->proxies_back[i] == 0 || (!all && s->now < s->proxies_back[i]))
        continue;
      soak_proxy_set_mode (i < RELAYS ? s->store_proxies[i] : s->searcher_proxies[i - RELAYS],
                           PROXY_OK);
      s->proxies_back[i] = 0;
    }
  if (s->store_back != 0 && (all || s->now >= s->store_back))
    {
      S_tell (first_port + STORE_PORT, "PUT", "/mode/ok", "");
      s->store_back = 0;
    }
  for (guint i = 0; i < RELAYS + SEARCHERS; i++)
    {
      Child *child = i < RELAYS ? &s->relays[i] : &s->searchers[i - RELAYS];
      if (child->back_at == 0 || (!all && s->now < child->back_at))
        continue;
      child->back_at = 0;
      child->disturbed = s->now;
      if (child->stopped)
        {
          kill (child->pid, SIGCONT);
          child->stopped = FALSE;
          continue;
        }
      kill (child->pid, SIGKILL);
      waitpid (child->pid, NULL, 0);
      if (i < RELAYS)
        S_start_relay (s, i);
      else
        S_start_searcher (s, i - RELAYS);
    }
}

/* The run. */

static void
S_begin_healing (Soak *s)
{
  s->healing_checked = TRUE;
  S_restore (s, TRUE);
  for (guint i = 0; i < SEARCHERS; i++)
    S_tell (first_port + SEARCHER_PORT + (int) i, "PUT", "/mode/ok", "");
  S_configure (s);
  s->now = mr_now ();
  s->faults_end = s->now + HEAL / 2;
  s->end = s->now + HEAL;
  S_say (s, "faults end, version %u", s->version);
}

static void
S_on_message (MrLoopHost *host, MrMessage *message)
{
  (void) host;
  mr_message_free (message);
}

static MrTime
S_on_tick (MrLoopHost *host, MrTime now)
{
  Soak *s = (Soak *) host;
  s->now = now;
  for (MrTimer *t = mr_timers_pop (s->proxy_timers, now); t;
       t = mr_timers_pop (s->proxy_timers, now))
    soak_proxy_on_timer (t);
  for (MrTimer *t = mr_timers_pop (s->timers, now); t; t = mr_timers_pop (s->timers, now))
    {
      Caller *c = t->owner;
      S_end_unanswered (c, "no answer");
      mr_stream_close (c->stream);
      S_caller_free (c);
    }
  while (now >= s->next_request)
    {
      s->next_request += S_between (s, 0, 2000.0 / REQUESTS_PER_SECOND);
      S_ask (s);
    }
  S_restore (s, FALSE);
  if (!s->healing_checked && now >= s->faults_end)
    S_begin_healing (s);
  else if (!s->healing_checked && now >= s->next_fault)
    {
      s->next_fault = now + S_between (s, 200, 1500);
      S_disturb (s);
    }
  MrTime next = MIN (s->next_request, MIN (s->next_fault, now + 50 * MR_MS));
  return MIN (next, MIN (mr_timers_next (s->timers), mr_timers_next (s->proxy_timers)));
}

/* What the searchers ran, from their logs: lines "run ID". */
static void
S_check_runs (Soak *s)
{
  g_autoptr (GHashTable) runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < SEARCHERS; i++)
    {
      g_autofree char *text = NULL;
      g_autofree char *path = g_strdup_printf ("%s/searcher%u.log", s->folder, i);
      g_file_get_contents (path, &text, NULL, NULL);
      g_auto (GStrv) lines = g_strsplit (text ? text : "", "\n", -1);
      for (char **line = lines; *line; line++)
        if (g_str_has_prefix (*line, "run "))
          {
            const char *id = *line + 4;
            guint count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id)) + 1;
            g_hash_table_replace (runs, g_strdup (id), GUINT_TO_POINTER (count));
          }
    }
  GHashTableIter iter;
  gpointer id = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      gpointer end = NULL;
      if (!g_hash_table_contains (s->sent, id))
        S_broken (s, "asked: '%s' ran and no caller sent it", (const char *) id);
      if (!g_hash_table_lookup_extended (s->orders, id, NULL, &end))
        continue;
      if (GPOINTER_TO_UINT (value) > 1)
        S_broken (s, "once: order %s ran %u times", (const char *) id, GPOINTER_TO_UINT (value));
      if (GPOINTER_TO_INT (end) == ORDER_REFUSED)
        S_broken (s, "not run: order %s was refused and ran", (const char *) id);
    }
}

static void
S_start_all (Soak *s)
{
  S_start_standin (s, &s->store, "store", first_port + STORE_PORT, NULL, "store.log");
  S_configure (s);
  for (guint i = 0; i < SEARCHERS; i++)
    {
      s->searcher_proxies[i] =
          soak_proxy_new (s->loop, s->proxy_timers, first_port + SEARCHER_PROXY + (int) i,
                          first_port + SEARCHER_PORT + (int) i);
      S_start_searcher (s, i);
    }
  for (guint i = 0; i < RELAYS; i++)
    {
      s->store_proxies[i] = soak_proxy_new (
          s->loop, s->proxy_timers, first_port + STORE_PROXY + (int) i, first_port + STORE_PORT);
      S_start_relay (s, i);
    }
}

static void
S_stop_all (Soak *s)
{
  Child *children[RELAYS + SEARCHERS + 1] = { &s->store };
  for (guint i = 0; i < RELAYS; i++)
    children[1 + i] = &s->relays[i];
  for (guint i = 0; i < SEARCHERS; i++)
    children[1 + RELAYS + i] = &s->searchers[i];
  for (guint i = 0; i < G_N_ELEMENTS (children); i++)
    {
      kill (children[i]->pid, SIGKILL);
      waitpid (children[i]->pid, NULL, 0);
    }
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "usage: soak BUILD SEED SECONDS FIRST-PORT\n");
      return EXIT_USAGE;
    }
  first_port = atoi (argv[4]);
  mr_log_set_level (MR_LOG_ERROR);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  Soak s = {
    .host = { .on_message = S_on_message, .on_tick = S_on_tick },
    .timers = mr_timers_new (),
    .proxy_timers = mr_timers_new (),
    .random = g_rand_new_with_seed ((guint32) atoi (argv[2])),
    .build = argv[1],
    .only = getenv ("SOAK_ONLY"),
    .folder = g_dir_make_tmp ("soak-XXXXXX", NULL),
    .orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  s.loop = mr_loop_new (&s.host, 2000);
  s.start = mr_now ();
  S_start_all (&s);
  s.now = mr_now ();
  s.next_request = s.now + 2 * MR_SECOND;
  s.next_fault = s.now + 4 * MR_SECOND;
  s.faults_end = s.now + 4 * MR_SECOND + atoi (argv[3]) * MR_SECOND;
  s.end = MR_NEVER;
  while (mr_now () < s.end)
    mr_loop_step (s.loop);
  S_stop_all (&s);
  S_check_runs (&s);
  for (guint i = 0; i < RELAYS; i++)
    if (s.healed[i] == 0)
      S_broken (&s, "heals: relay %u gave no whole answer of the newest version", i);
  printf ("seed %s: %u answers, %u served, %u orders, %u promises broken; logs in %s\n", argv[2],
          s.answered, s.served, g_hash_table_size (s.orders), s.broken, s.folder);
  return s.broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
