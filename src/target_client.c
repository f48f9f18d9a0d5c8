#include "target_client.h"

#include "log.h"
#include "prober.h"
#include "stream.h"
#include "timers.h"

enum
{
  /* No answer of a searcher is near this; it bounds what a broken one costs. */
  ANSWER_BYTES_MAX = 8 * 1024 * 1024,
};

/* Idle connections are given up before the target closes them: a request that
 * crosses a close is lost.  Share of the time that the target states. */
static const double IDLE_SHARE = 0.7;
static const MrTime IDLE_DEFAULT = 4 * MR_SECOND;
/* A request that may not be repeated goes out on a connection that was in use
 * this recently, or on a new one: its reset on an old one would leave it open
 * whether it ran. */
static const MrTime FRESH = 500 * MR_MS;

typedef struct
{
  char *target;
  GQueue idle; /* Connection, last used first */
} BudgetPool;

typedef struct
{
  MrStreamHandler host;
  MrTargetClient *client;
  MrStream *stream;
  BudgetPool *pool;
  GList link;     /* in the pool's idle ones */
  GList all_link; /* in the client's connections */
  MrTimer timer;  /* end of connecting, or of idling */
  gboolean connecting;
  gboolean idle;
  gboolean used;       /* has carried a call */
  guint64 call_id;     /* 0: none */
  guint64 sent_before; /* bytes, when the call began */
  char *request_id;
  gboolean bodiless;
  gboolean part;
  GString *waiting; /* the request, until the connection stands */
  MrHttpParser *parser;
  MrTime idle_most;
} Connection;

struct _MrTargetClient
{
  MrTargetClientHost *host;
  MrLoop *loop;
  const MrDialect *dialect;
  GHashTable *pools; /* target -> Pool */
  GHashTable *calls; /* call id -> Connection */
  GQueue connections;
  GArray *failed; /* ids of calls whose end could not be reported from within their begin */
  MrTimers *timers;
  MrProberHost prober_host;
  MrProber *prober;
  MrTargetClientCounts counts;
};

#define CLIENT_OF_PROBER_HOST(host)                                                                \
  ((MrTargetClient *) (void *) ((char *) (host) -offsetof (MrTargetClient, prober_host)))

static void
S_pool_free (gpointer data)
{
  BudgetPool *pool = data;
  g_free (pool->target);
  g_free (pool);
}

static void
S_probed (MrProberHost *host, const char *target, gboolean answered)
{
  MrTargetClient *client = CLIENT_OF_PROBER_HOST (host);
  client->host->probed (client->host, target, answered);
}

MrTargetClient *
mr_target_client_new (MrTargetClientHost *host, MrLoop *loop, const MrDialect *dialect)
{
  MrTargetClient *client = g_new0 (MrTargetClient, 1);
  client->host = host;
  client->loop = loop;
  client->dialect = dialect;
  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_pool_free);
  client->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->timers = mr_timers_new ();
  client->failed = g_array_new (FALSE, FALSE, sizeof (guint64));
  client->prober_host = (MrProberHost){ .probed = S_probed };
  client->prober = mr_prober_new (&client->prober_host, loop);
  g_queue_init (&client->connections);
  return client;
}

static BudgetPool *
S_pool (MrTargetClient *client, const char *target)
{
  BudgetPool *pool = g_hash_table_lookup (client->pools, target);
  if (pool)
    return pool;
  pool = g_new0 (BudgetPool, 1);
  pool->target = g_strdup (target);
  g_queue_init (&pool->idle);
  g_hash_table_insert (client->pools, pool->target, pool);
  return pool;
}

static void
S_leave_idle (Connection *c)
{
  if (!c->idle)
    return;
  c->idle = FALSE;
  g_queue_unlink (&c->pool->idle, &c->link);
}

static void
S_connection_free (Connection *c)
{
  S_leave_idle (c);
  mr_timers_set (c->client->timers, &c->timer, MR_NEVER);
  g_queue_unlink (&c->client->connections, &c->all_link);
  if (c->call_id)
    g_hash_table_remove (c->client->calls, &c->call_id);
  if (c->waiting)
    g_string_free (c->waiting, TRUE);
  mr_http_parser_free (c->parser);
  g_free (c->request_id);
  g_free (c);
}

static void
S_close (Connection *c)
{
  mr_stream_close (c->stream);
  S_connection_free (c);
}

void
mr_target_client_free (MrTargetClient *client)
{
  if (!client)
    return;
  while (client->connections.head)
    S_connection_free (client->connections.head->data);
  g_array_unref (client->failed);
  mr_prober_free (client->prober);
  g_hash_table_unref (client->calls);
  g_hash_table_unref (client->pools);
  mr_timers_free (client->timers);
  g_free (client);
}

/* Answers. */

static MrTime
S_stated_idle (const MrHttpParser *answer)
{
  MrText value = mr_http_parser_find_field (answer, "Keep-Alive", NULL);
  g_autofree char *copy = mr_text_dup (value);
  const char *seconds = strstr (copy, "timeout=");
  if (!seconds)
    return IDLE_DEFAULT;
  guint64 number = g_ascii_strtoull (seconds + strlen ("timeout="), NULL, 10);
  return (MrTime) (IDLE_SHARE * (double) CLAMP (number, 1, 3600) * (double) MR_SECOND);
}

/* The target did not run the request, by its own word. */
static gboolean
S_says_not_run (const MrTargetClient *client, const MrHttpParser *answer)
{
  guint count = 0;
  mr_http_parser_find_field (answer, client->dialect->not_run, &count);
  return count > 0;
}

/* A caller takes these statuses for the word that the request has not run, and may
 * send it again. */
static gboolean
S_reads_as_not_run (int status)
{
  enum
  {
    REQUEST_TIMEOUT = 408,
    TOO_MANY_REQUESTS = 429,
    UNAVAILABLE = 503,
  };
  return status == REQUEST_TIMEOUT || status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
}

static MrCallOutcome
S_outcome (const Connection *c, const MrHttpParser *answer)
{
  enum
  {
    MISDIRECTED = 421,
    SUCCESS_FIRST = 200,
    SUCCESS_LAST = 299,
    SERVER_ERRORS = 500,
  };
  int status = mr_http_parser_status (answer);
  guint signatures = 0;
  guint encodings = 0;
  if (status == MISDIRECTED)
    return MR_CALL_MISDIRECTED;
  if (S_says_not_run (c->client, answer))
    return MR_CALL_SHED;
  mr_http_parser_find_field (answer, c->client->dialect->signature, &signatures);
  mr_http_parser_find_field (answer, "Content-Encoding", &encodings);
  if (status >= SUCCESS_FIRST && status <= SUCCESS_LAST)
    /* A success that the target has not signed, or whose body is not as the
     * target wrote it, is nobody's answer. */
    return signatures == 1 && encodings == 0 ? MR_CALL_ANSWER : MR_CALL_BROKEN;
  if (S_reads_as_not_run (status))
    return MR_CALL_ERROR;
  return c->part || status >= SERVER_ERRORS ? MR_CALL_ERROR : MR_CALL_ANSWER;
}

typedef enum
{
  OWNER_THIS_CALL,
  OWNER_ANOTHER, /* a late second answer to an earlier call: passed over */
  OWNER_UNKNOWN, /* the connection is out of step */
} Owner;

/* Whose answer it is.  On a connection that carried calls before, a late second
 * answer to one of them can come first; the id it echoes tells. */
static Owner
S_owner (const Connection *c, const MrHttpParser *answer)
{
  guint count = 0;
  MrText echo = mr_http_parser_find_field (answer, c->client->dialect->request_id, &count);
  if (count == 1)
    return mr_text_equal (echo, mr_text (c->request_id)) ? OWNER_THIS_CALL : OWNER_ANOTHER;
  if (count > 1)
    return OWNER_UNKNOWN;
  /* Without an id: the first on its connection can only be ours, and a refusal
   * has no content that could reach the wrong caller. */
  gboolean refusal =
      S_outcome (c, answer) == MR_CALL_SHED || S_outcome (c, answer) == MR_CALL_MISDIRECTED;
  return !c->used || refusal ? OWNER_THIS_CALL : OWNER_UNKNOWN;
}

static void
S_make_idle (Connection *c)
{
  c->idle = TRUE;
  c->link.data = c;
  g_queue_push_head_link (&c->pool->idle, &c->link);
  mr_timers_set (c->client->timers, &c->timer, mr_now () + c->idle_most);
}

/* The parser holds a whole answer; @rest are the bytes behind it. */
static void
S_on_answer (Connection *c, gsize rest)
{
  MrHttpParser *answer = c->parser;
  c->parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  mr_http_parser_set_limits (c->parser, (MrHttpLimits){ .max_body_bytes = ANSWER_BYTES_MAX });
  MrCallOutcome outcome = S_outcome (c, answer);
  /* A target may answer before it has read the request; what is left of it would
   * be taken for the next one. */
  gboolean keep =
      mr_http_parser_keep_alive (answer) && rest == 0 && mr_stream_buffered_bytes (c->stream) == 0;
  if (rest > 0)
    c->client->counts.stray_byte_closes++;
  c->idle_most = S_stated_idle (answer);
  c->used = TRUE;
  guint64 id = c->call_id;
  g_hash_table_remove (c->client->calls, &c->call_id);
  c->call_id = 0;
  MrTargetClientHost *host = c->client->host;
  /* Nor is a failure passed on that would tell the caller what the target has not
   * said: an order that ran would run again. */
  if (outcome == MR_CALL_BROKEN ||
      (outcome == MR_CALL_ERROR && S_reads_as_not_run (mr_http_parser_status (answer))))
    g_clear_pointer (&answer, mr_http_parser_free);
  if (keep)
    S_make_idle (c);
  else
    S_close (c);
  host->call_ended (host, id, outcome, answer);
}

static void
S_break (Connection *c, MrCallOutcome outcome)
{
  guint64 id = c->call_id;
  MrTargetClientHost *host = c->client->host;
  S_close (c);
  host->call_ended (host, id, outcome, NULL);
}

static void
S_received (MrStreamHandler *host, MrStream *stream, MrText bytes)
{
  Connection *c = (Connection *) host;
  (void) stream;
  if (c->call_id == 0)
    {
      c->client->counts.stray_byte_closes++;
      S_close (c);
      return;
    }
  while (bytes.len > 0)
    {
      gsize used = mr_http_parser_feed (c->parser, bytes);
      bytes.data += used;
      bytes.len -= used;
      MrHttpState state = mr_http_parser_state (c->parser);
      if (state > MR_HTTP_DONE)
        {
          S_break (c, MR_CALL_BROKEN);
          return;
        }
      if (state != MR_HTTP_DONE)
        return;
      Owner owner = S_owner (c, c->parser);
      if (owner == OWNER_THIS_CALL)
        {
          S_on_answer (c, bytes.len);
          return;
        }
      if (owner == OWNER_UNKNOWN)
        {
          S_break (c, MR_CALL_BROKEN);
          return;
        }
      c->client->counts.unmatched_responses++;
      mr_http_parser_reset (c->parser);
      mr_http_parser_set_bodiless (c->parser, c->bodiless);
    }
}

static void
S_opened (MrStreamHandler *host, MrStream *stream)
{
  Connection *c = (Connection *) host;
  c->connecting = FALSE;
  mr_timers_set (c->client->timers, &c->timer, MR_NEVER);
  mr_stream_write (stream, mr_text_of (c->waiting));
  g_string_free (c->waiting, TRUE);
  c->waiting = NULL;
}

static void
S_ended (MrStreamHandler *host, MrStream *stream, MrStreamEnd end)
{
  Connection *c = (Connection *) host;
  if (c->call_id == 0)
    {
      S_connection_free (c);
      return;
    }
  if (end == MR_STREAM_EOF)
    mr_http_parser_finish (c->parser);
  if (mr_http_parser_state (c->parser) == MR_HTTP_DONE && S_owner (c, c->parser) == OWNER_THIS_CALL)
    {
      S_on_answer (c, 0);
      return;
    }
  gboolean sent = mr_stream_sent_bytes (stream) > c->sent_before;
  S_break (c, sent ? MR_CALL_BROKEN : MR_CALL_NOT_CONNECTED);
}

static const MrStreamHandler stream_host = {
  .on_open = S_opened,
  .on_data = S_received,
  .on_end = S_ended,
};

/* Calls. */

static Connection *
S_connect (MrTargetClient *client, MrTime now, const MrTargetState *target)
{
  Connection *c = g_new0 (Connection, 1);
  c->host = stream_host;
  c->client = client;
  c->pool = S_pool (client, target->id);
  c->timer.owner = c;
  c->stream = mr_stream_connect (client->loop, &c->host, target->ip, target->port);
  if (!c->stream)
    {
      mr_log (MR_LOG_WARNING, MR_EVENT_CONNECT_FAILED, "target %s: %s", target->id,
              mr_status_message ());
      g_free (c);
      return NULL;
    }
  c->connecting = TRUE;
  c->parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  mr_http_parser_set_limits (c->parser, (MrHttpLimits){ .max_body_bytes = ANSWER_BYTES_MAX });
  c->all_link.data = c;
  g_queue_push_tail_link (&client->connections, &c->all_link);
  mr_timers_set (client->timers, &c->timer, now + MR_CONNECT_TIMEOUT);
  client->counts.connections++;
  return c;
}

static Connection *
S_take_idle (MrTargetClient *client, MrTime now, const MrTargetCall *call)
{
  BudgetPool *pool = S_pool (client, call->target->id);
  Connection *c = g_queue_peek_head (&pool->idle);
  if (!c)
    return NULL;
  MrTime idle_for = now - (c->timer.due - c->idle_most);
  if (!call->idempotent && idle_for > FRESH)
    {
      S_close (c); /* it makes room for a new one */
      return NULL;
    }
  S_leave_idle (c);
  mr_timers_set (client->timers, &c->timer, MR_NEVER);
  client->counts.reused++;
  return c;
}

void
mr_target_client_call (MrTargetClient *client, MrTime now, const MrTargetCall *call)
{
  Connection *c = S_take_idle (client, now, call);
  if (!c)
    c = S_connect (client, now, call->target);
  if (!c)
    {
      g_array_append_val (client->failed, call->id);
      return;
    }
  c->call_id = call->id;
  c->sent_before = mr_stream_sent_bytes (c->stream);
  g_free (c->request_id);
  c->request_id = mr_text_dup (call->request_id);
  c->bodiless = call->bodiless;
  c->part = call->is_part;
  mr_http_parser_reset (c->parser);
  mr_http_parser_set_bodiless (c->parser, call->bodiless);
  g_hash_table_insert (client->calls, &c->call_id, c);
  if (c->connecting)
    c->waiting = g_string_new_len (call->request.data, (gssize) call->request.len);
  else
    mr_stream_write (c->stream, call->request);
}

void
mr_target_client_close_call (MrTargetClient *client, guint64 id)
{
  Connection *c = g_hash_table_lookup (client->calls, &id);
  if (c)
    S_close (c);
}

gboolean
mr_target_client_withdraw_call (MrTargetClient *client, guint64 id)
{
  Connection *c = g_hash_table_lookup (client->calls, &id);
  if (!c || mr_stream_sent_bytes (c->stream) > c->sent_before)
    return FALSE;
  S_close (c);
  return TRUE;
}

void
mr_target_client_probe (MrTargetClient *client, MrTime now, const MrTargetState *target)
{
  mr_prober_start (client->prober, now, target);
}

void
mr_target_client_reconnect (MrTargetClient *client, const MrTargetState *target)
{
  BudgetPool *pool = S_pool (client, target->id);
  while (!g_queue_is_empty (&pool->idle))
    S_close (g_queue_peek_head (&pool->idle));
}

void
mr_target_client_remove_target (MrTargetClient *client, const MrTargetState *target)
{
  mr_target_client_reconnect (client, target);
  mr_prober_cancel (client->prober, target->id);
}

static void
S_report_failed (MrTargetClient *client)
{
  for (guint count = client->failed->len; count > 0; count--)
    {
      guint64 id = g_array_index (client->failed, guint64, 0);
      g_array_remove_index (client->failed, 0);
      client->host->call_ended (client->host, id, MR_CALL_NOT_CONNECTED, NULL);
    }
}

MrTime
mr_target_client_tick (MrTargetClient *client, MrTime now)
{
  S_report_failed (client);
  for (MrTimer *timer = mr_timers_pop (client->timers, now); timer;
       timer = mr_timers_pop (client->timers, now))
    {
      Connection *c = timer->owner;
      if (c->call_id)
        S_break (c, MR_CALL_NOT_CONNECTED);
      else
        S_close (c);
    }
  MrTime next = mr_prober_tick (client->prober, now);
  return client->failed->len > 0 ? now : MIN (next, mr_timers_next_due (client->timers));
}

MrTargetClientCounts
mr_target_client_counts (const MrTargetClient *client)
{
  const MrProberCounts *probes = mr_prober_counts (client->prober);
  MrTargetClientCounts counts = client->counts;
  counts.connections += probes->connections;
  counts.repeated_probes = probes->repeated;
  return counts;
}
