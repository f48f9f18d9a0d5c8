/* Callers of the relays in tests: `caller SECONDS RATE DIRECTORY_PORT...` sends RATE requests a
 * second.  Some go to an address of the latest address answer, some to one of an answer that is
 * three times as old as its keep time allows, and some use a kept connection as long as it is open.
 *
 * Prints "cut ID PORT AGE_MS BYTES HOW" for each request whose connection ends without a whole
 * answer, or that has none 2 s after its deadline, and a summary with the number of each status. */

#include "http_message.h"
#include "stream.h"
#include "timers.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXIT_USAGE = 2,
  DESCRIPTORS = 4000,
  DEADLINE_MS = 5000,
  STATUS_COUNT = 600,
  MAX_WORK_MS = 1300,
  MIN_WORK_MS = 200,
  LONG_WORK_MS = 3000,
};

static const MrTime ANSWER_TIMEOUT = (DEADLINE_MS + 2000) * MR_MS;
static const MrTime DIRECTORY_INTERVAL = 200 * MR_MS;
/* Three times the time for which an address answer may be kept. */
static const MrTime OLD_ADDRESSES = 3 * MR_SECOND;
/* Four fifths of the idle timeout in the configuration. */
static const MrTime IDLE_MAX = 12 * MR_SECOND;

typedef struct
{
  MrTime at;
  GArray *ports; /* int */
} Addresses;

typedef struct
{
  MrLoopHandler handler;
  MrLoop *loop;
  MrTimers *timers;
  GRand *random;
  char **directories;
  GQueue answers; /* Addresses, the latest first */
  GQueue idle;    /* Caller, the most recently used first */
  MrTime now;
  MrTime end;
  MrTime next_request;
  MrTime next_query;
  MrTime interval;
  guint64 last_id;
  guint open;
  guint sent;
  guint not_connected;
  guint cut;
  guint statuses[STATUS_COUNT];
} Test;

typedef struct
{
  MrStreamHandler handler;
  Test *test;
  MrStream *stream;
  MrHttpParser *parser;
  MrTimer timer; /* of the answer, or of an idle connection */
  int port;
  gboolean open;  /* a request is open */
  gboolean query; /* for addresses */
  char id[32];
  MrTime sent;
  gsize received;
  GString *request; /* until the connection is established */
} Caller;

static void
S_addresses_free (gpointer data)
{
  Addresses *addresses = data;
  g_array_unref (addresses->ports);
  g_free (addresses);
}

static void
S_free (Caller *c)
{
  Test *test = c->test;
  if (c->open)
    test->open--;
  else
    g_queue_remove (&test->idle, c);
  mr_timers_set (test->timers, &c->timer, MR_NEVER);
  mr_http_parser_free (c->parser);
  g_string_free (c->request, TRUE);
  g_free (c);
}

static void
S_report_cut (Caller *c, const char *how)
{
  if (c->query)
    return;
  c->test->cut++;
  printf ("cut %s %d %" G_GINT64_FORMAT " %zu %s\n", c->id, c->port, (mr_now () - c->sent) / MR_MS,
          c->received, how);
}

static void
S_on_addresses (Test *test, MrText body)
{
  static const char host[] = "127.0.0.1:";
  g_autofree char *text = mr_text_dup (body);
  Addresses *addresses = g_new (Addresses, 1);
  *addresses = (Addresses){ .at = mr_now (), .ports = g_array_new (FALSE, FALSE, sizeof (int)) };
  for (const char *at = strstr (text, host); at; at = strstr (at + 1, host))
    {
      int port = atoi (at + strlen (host));
      g_array_append_val (addresses->ports, port);
    }
  g_queue_push_head (&test->answers, addresses);
}

static void
S_on_answer (Caller *c)
{
  Test *test = c->test;
  int status = mr_http_parser_status (c->parser);
  if (c->query && status == 200)
    S_on_addresses (test, mr_http_parser_body (c->parser));
  else if (!c->query)
    test->statuses[CLAMP (status, 0, STATUS_COUNT - 1)]++;
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  Caller *c = (Caller *) handler;
  c->received += bytes.len;
  mr_http_parser_feed (c->parser, bytes);
  MrHttpState state = mr_http_parser_state (c->parser);
  if (c->open && state < MR_HTTP_DONE)
    return;
  if (!c->open || state > MR_HTTP_DONE)
    S_report_cut (c, "malformed");
  else
    S_on_answer (c);
  if (c->query || !c->open || state > MR_HTTP_DONE || !mr_http_parser_keep_alive (c->parser))
    {
      mr_stream_close (stream);
      S_free (c);
      return;
    }
  c->open = FALSE;
  c->test->open--;
  g_queue_push_head (&c->test->idle, c);
  mr_timers_set (c->test->timers, &c->timer, mr_now () + IDLE_MAX);
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  Caller *c = (Caller *) handler;
  c->sent = mr_now ();
  mr_stream_write (stream, mr_text_of (c->request));
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  Caller *c = (Caller *) handler;
  (void) stream;
  if (c->open && end == MR_STREAM_REFUSED && !c->query)
    c->test->not_connected++;
  else if (c->open)
    S_report_cut (c, end == MR_STREAM_EOF ? "closed" : "reset");
  S_free (c);
}

static const MrStreamHandler caller_handler = { .on_open = S_on_open,
                                                .on_data = S_on_data,
                                                .on_end = S_on_end };

static Caller *
S_connect (Test *test, int port)
{
  Caller *c = g_new0 (Caller, 1);
  *c = (Caller){ .handler = caller_handler, .test = test, .port = port, .open = TRUE };
  c->timer.owner = c;
  c->parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  c->request = g_string_new (NULL);
  test->open++;
  c->stream = mr_stream_connect (test->loop, &c->handler, "127.0.0.1", port);
  if (c->stream)
    return c;
  test->not_connected++;
  S_free (c);
  return NULL;
}

static void
S_query_addresses (Test *test)
{
  guint count = g_strv_length (test->directories);
  Caller *c = S_connect (
      test, atoi (test->directories[g_rand_int_range (test->random, 0, (gint32) count)]));
  if (!c)
    return;
  c->query = TRUE;
  g_string_assign (c->request, "GET /resolve?host=h.test HTTP/1.1\r\nHost: d\r\n\r\n");
  mr_timers_set (test->timers, &c->timer, test->now + ANSWER_TIMEOUT);
}

/* An address of the latest answer that is at least @age old; 0 if there is none. */
static int
S_choose_port (Test *test, MrTime age)
{
  for (const GList *link = test->answers.head; link; link = link->next)
    {
      const Addresses *addresses = link->data;
      guint count = addresses->ports->len;
      if (test->now - addresses->at >= age && count > 0)
        return g_array_index (addresses->ports, int,
                              g_rand_int_range (test->random, 0, (gint32) count));
    }
  return 0;
}

/* A quarter each to a new connection by the latest and by old addresses, the rest to kept ones. */
static Caller *
S_choose_connection (Test *test)
{
  gint32 choice = g_rand_int_range (test->random, 0, 4);
  if (choice >= 2 && !g_queue_is_empty (&test->idle))
    {
      Caller *c = choice == 2 ? g_queue_pop_tail (&test->idle) : g_queue_pop_head (&test->idle);
      c->open = TRUE;
      test->open++;
      return c;
    }
  int port = S_choose_port (test, choice == 1 ? OLD_ADDRESSES : 0);
  return port == 0 ? NULL : S_connect (test, port);
}

static void
S_send (Test *test)
{
  static const char *const lines[] = { "GET /one/", "GET /all/", "POST /order/" };
  Caller *c = S_choose_connection (test);
  if (!c)
    return;
  gboolean new_connection = c->request->len == 0;
  gint32 kind = g_rand_int_range (test->random, 0, G_N_ELEMENTS (lines));
  int work = g_rand_int_range (test->random, 0, 20) == 0
                 ? LONG_WORK_MS
                 : g_rand_int_range (test->random, MIN_WORK_MS, MAX_WORK_MS);
  g_snprintf (c->id, sizeof c->id, "c%" G_GUINT64_FORMAT, ++test->last_id);
  g_string_printf (c->request,
                   "%swork-%d HTTP/1.1\r\nHost: h.test\r\nX-Request-Id: %s\r\n"
                   "X-Deadline-Ms: %d\r\n%s\r\n",
                   lines[kind], work, c->id, DEADLINE_MS, kind == 2 ? "Content-Length: 0\r\n" : "");
  mr_http_parser_reset (c->parser);
  c->received = 0;
  c->sent = test->now;
  test->sent++;
  mr_timers_set (test->timers, &c->timer, test->now + ANSWER_TIMEOUT);
  if (!new_connection)
    mr_stream_write (c->stream, mr_text_of (c->request));
}

static void
S_drop_old_addresses (Test *test)
{
  while (test->answers.length > 1 &&
         test->now - ((Addresses *) test->answers.tail->prev->data)->at > OLD_ADDRESSES)
    S_addresses_free (g_queue_pop_tail (&test->answers));
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  Test *test = (Test *) handler;
  test->now = now;
  for (MrTimer *timer = mr_timers_pop (test->timers, now); timer;
       timer = mr_timers_pop (test->timers, now))
    {
      Caller *c = timer->owner;
      if (c->open)
        S_report_cut (c, "silent");
      mr_stream_close (c->stream);
      S_free (c);
    }
  if (now >= test->next_query)
    {
      test->next_query = now + DIRECTORY_INTERVAL;
      S_query_addresses (test);
      S_drop_old_addresses (test);
    }
  for (; now >= test->next_request && now < test->end; test->next_request += test->interval)
    S_send (test);
  if (now >= test->end && test->open == 0)
    mr_loop_stop (test->loop);
  MrTime next = MIN (mr_timers_next_due (test->timers), test->next_query);
  return MIN (next, now < test->end ? test->next_request : now + 10 * MR_MS);
}

static void
S_clear (Test *test)
{
  while (!g_queue_is_empty (&test->idle))
    S_free (g_queue_peek_head (&test->idle));
  g_queue_clear_full (&test->answers, S_addresses_free);
  mr_loop_free (test->loop);
  mr_timers_free (test->timers);
  g_rand_free (test->random);
}

int
main (int argc, char **argv)
{
  if (argc < 4)
    {
      fprintf (stderr, "usage: caller SECONDS RATE DIRECTORY_PORT...\n");
      return EXIT_USAGE;
    }
  MrTime now = mr_now ();
  Test test = {
    .handler = { .on_tick = S_on_tick },
    .timers = mr_timers_new (),
    .random = g_rand_new (),
    .directories = argv + 3,
    .now = now,
    .end = now + atoi (argv[1]) * MR_SECOND,
    .next_request = now + DIRECTORY_INTERVAL,
    .interval = MR_SECOND / MAX (atoi (argv[2]), 1),
  };
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  test.loop = mr_loop_new (&test.handler, DESCRIPTORS);
  if (!test.loop)
    {
      fprintf (stderr, "caller: %s\n", mr_status_message ());
      return EXIT_FAILURE;
    }
  mr_loop_run (test.loop);
  printf ("sent %u, not connected %u, cut %u; answers:", test.sent, test.not_connected, test.cut);
  for (guint i = 0; i < STATUS_COUNT; i++)
    if (test.statuses[i] > 0)
      printf (" %u: %u", i, test.statuses[i]);
  printf ("\n");
  S_clear (&test);
  return EXIT_SUCCESS;
}
