#include "target_client.h"

#include "log.h"
#include "prober.h"
#include "stream.h"
#include "timers.h"

#include <xxhash.h>

enum
{
  /* Ids of the latest calls of a connection that are remembered. */
  CARRIED_IDS_MAX = 32,
  /* No response of a search target comes near this; it bounds the memory that a faulty one can
   * take. */
  RESPONSE_BODY_MAX = 8 * 1024 * 1024,
  /* Bytes of a call that are not part of its response.  Late second responses to earlier calls and
   * the framing of a body in small chunks stay far below it. */
  RESPONSE_OVERHEAD_MAX = 1024 * 1024,
};

static const MrHttpLimits response_limits = {
  .max_body_bytes = RESPONSE_BODY_MAX,
  .max_overhead_bytes = RESPONSE_OVERHEAD_MAX,
};

/* Idle connections are closed after this fraction of the keep-alive timeout that the target
 * states: a request that crosses the target's close would be lost. */
static const double IDLE_TIMEOUT_FRACTION = 0.7;
static const MrTime DEFAULT_IDLE_TIMEOUT = 4 * MR_SECOND;
/* A non-idempotent request reuses a connection only if it was in use this recently; otherwise
 * it opens a new one.  If an older connection were reset, it would be unknown whether the
 * request ran. */
static const MrTime NON_IDEMPOTENT_REUSE_WINDOW = 500 * MR_MS;

typedef struct
{
  char *target;
  GQueue idle; /* Connection, most recently used first */
} ConnectionPool;

typedef struct
{
  MrStreamHandler handler;
  MrTargetClient *client;
  MrStream *stream;
  ConnectionPool *pool;
  GList idle_link; /* in pool->idle */
  GList link;      /* in client->connections */
  MrTimer timer;   /* connect timeout or idle timeout */
  gboolean connecting;
  gboolean idle;
  gboolean used;         /* has carried a call */
  guint64 call_id;       /* 0: none */
  guint64 sent_at_start; /* bytes sent on the connection before the call */
  char *request_id;
  guint64 carried_ids[CARRIED_IDS_MAX]; /* hashes of request ids, in turn */
  guint carried_count;                  /* calls carried so far */
  gboolean is_part;
  GString *pending_request; /* the request, until the connection is established */
  MrHttpParser *parser;
  MrTime idle_timeout;
} Connection;

/* A call whose end the next tick reports. */
typedef struct
{
  guint64 id;
  MrCallOutcome outcome;
} EndedCall;

struct _MrTargetClient
{
  MrTargetClientHost *host;
  MrLoop *loop;
  const MrDialect *dialect;
  GHashTable *pools; /* target id -> ConnectionPool */
  GHashTable *calls; /* call id -> Connection */
  GQueue connections;
  /* EndedCall: calls that could not be started, or lost their memory to others; reported by the
   * next tick, never from within mr_target_client_call () or while another response is read. */
  GArray *failed_calls;
  gsize *memory;      /* of all responses that were not freed; g_rc_box */
  gsize memory_limit; /* 0: none */
  MrTimers *timers;
  MrProberHost prober_host;
  MrProber *prober;
  MrTargetClientCounts counts;
};

#define CLIENT_OF_PROBER_HOST(host)                                                                \
  ((MrTargetClient *) (void *) ((char *) (host) -offsetof (MrTargetClient, prober_host)))

static MrHttpParser *
S_parser_new (const MrTargetClient *client)
{
  MrHttpParser *parser = mr_http_parser_new (MR_HTTP_RESPONSE);
  mr_http_parser_set_limits (parser, response_limits);
  mr_http_parser_set_account (parser, client->memory);
  return parser;
}

static void
S_pool_free (gpointer data)
{
  ConnectionPool *pool = data;
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
  client->memory = g_rc_box_new0 (gsize);
  client->failed_calls = g_array_new (FALSE, FALSE, sizeof (EndedCall));
  client->prober_host = (MrProberHost){ .probed = S_probed };
  client->prober = mr_prober_new (&client->prober_host, loop);
  g_queue_init (&client->connections);
  return client;
}

static ConnectionPool *
S_get_pool (MrTargetClient *client, const char *target)
{
  ConnectionPool *pool = g_hash_table_lookup (client->pools, target);
  if (pool)
    return pool;
  pool = g_new0 (ConnectionPool, 1);
  pool->target = g_strdup (target);
  g_queue_init (&pool->idle);
  g_hash_table_insert (client->pools, pool->target, pool);
  return pool;
}

static void
S_remove_from_idle (Connection *c)
{
  if (!c->idle)
    return;
  c->idle = FALSE;
  g_queue_unlink (&c->pool->idle, &c->idle_link);
}

static void
S_connection_free (Connection *c)
{
  S_remove_from_idle (c);
  mr_timers_set (c->client->timers, &c->timer, MR_NEVER);
  g_queue_unlink (&c->client->connections, &c->link);
  if (c->call_id)
    g_hash_table_remove (c->client->calls, &c->call_id);
  if (c->pending_request)
    g_string_free (c->pending_request, TRUE);
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
  g_array_unref (client->failed_calls);
  mr_prober_free (client->prober);
  g_rc_box_release (client->memory);
  g_hash_table_unref (client->calls);
  g_hash_table_unref (client->pools);
  mr_timers_free (client->timers);
  g_free (client);
}

/* Responses. */

static MrTime
S_idle_timeout (const MrHttpParser *response)
{
  MrText value = mr_http_parser_find_field (response, "Keep-Alive", NULL);
  g_autofree char *copy = mr_text_dup (value);
  const char *parameter = strstr (copy, "timeout=");
  if (!parameter)
    return DEFAULT_IDLE_TIMEOUT;
  guint64 seconds = g_ascii_strtoull (parameter + strlen ("timeout="), NULL, 10);
  return (MrTime) (IDLE_TIMEOUT_FRACTION * (double) CLAMP (seconds, 1, 3600) * (double) MR_SECOND);
}

/* TRUE if the target states that it did not run the request. */
static gboolean
S_states_not_run (const MrTargetClient *client, const MrHttpParser *response)
{
  guint count = 0;
  mr_http_parser_find_field (response, client->dialect->not_run, &count);
  return count > 0;
}

/* Callers take these statuses to mean that the request did not run, and may resend it. */
static gboolean
S_implies_not_run (int status)
{
  enum
  {
    REQUEST_TIMEOUT = 408,
    TOO_MANY_REQUESTS = 429,
    UNAVAILABLE = 503,
  };
  return status == REQUEST_TIMEOUT || status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
}

/* TRUE if @response has one signature: visible characters without a comma, which separates
 * signatures in the answer to a search. */
static gboolean
S_is_signed (const MrTargetClient *client, const MrHttpParser *response)
{
  guint count = 0;
  MrText signature = mr_http_parser_find_field (response, client->dialect->signature, &count);
  for (gsize i = 0; i < signature.len; i++)
    if (!g_ascii_isgraph (signature.data[i]) || signature.data[i] == ',')
      return FALSE;
  return count == 1 && signature.len > 0;
}

static MrCallOutcome
S_classify_response (const Connection *c, const MrHttpParser *response)
{
  enum
  {
    MISDIRECTED = 421,
    SUCCESS_FIRST = 200,
    SUCCESS_LAST = 299,
    SERVER_ERRORS = 500,
  };
  int status = mr_http_parser_status (response);
  guint encodings = 0;
  if (status == MISDIRECTED)
    return MR_CALL_MISDIRECTED;
  if (S_states_not_run (c->client, response))
    return MR_CALL_SHED;
  mr_http_parser_find_field (response, "Content-Encoding", &encodings);
  if (status >= SUCCESS_FIRST && status <= SUCCESS_LAST)
    /* A 2xx response that the target has not signed, or with a body that was encoded on the way,
     * cannot be attributed to the target. */
    return S_is_signed (c->client, response) && encodings == 0 ? MR_CALL_ANSWER : MR_CALL_BROKEN;
  if (S_implies_not_run (status))
    return MR_CALL_ERROR;
  return c->is_part || status >= SERVER_ERRORS ? MR_CALL_ERROR : MR_CALL_ANSWER;
}

typedef enum
{
  MATCH_THIS_CALL,
  MATCH_OTHER_CALL, /* e.g. a late second response to an earlier call: skipped */
  MATCH_UNKNOWN,    /* the connection is out of sync */
} ResponseMatch;

/* Finds which call @response belongs to.  On a reused connection a late second response to an
 * earlier call may arrive first; the request id that it echoes tells. */
static ResponseMatch
S_match_response (const Connection *c, const MrHttpParser *response)
{
  guint count = 0;
  MrText echo = mr_http_parser_find_field (response, c->client->dialect->request_id, &count);
  if (count == 1)
    return mr_text_equal (echo, mr_text (c->request_id)) ? MATCH_THIS_CALL : MATCH_OTHER_CALL;
  if (count > 1)
    return MATCH_UNKNOWN;
  /* Without an id: the first response on a connection can only belong to this call, and a refusal
   * has no content that could reach the wrong caller. */
  gboolean refusal = S_classify_response (c, response) == MR_CALL_SHED ||
                     S_classify_response (c, response) == MR_CALL_MISDIRECTED;
  return !c->used || refusal ? MATCH_THIS_CALL : MATCH_UNKNOWN;
}

/* TRUE if a second copy of @response, wherever it arrives on the connection, cannot be taken for
 * the response to a later call.  One without an id could be; and a refused call may be sent to the
 * target again, with the id of the refusal. */
static gboolean
S_copy_is_harmless (const Connection *c, const MrHttpParser *response, MrCallOutcome outcome)
{
  guint ids = 0;
  mr_http_parser_find_field (response, c->client->dialect->request_id, &ids);
  return ids == 1 && outcome != MR_CALL_SHED && outcome != MR_CALL_MISDIRECTED;
}

static void
S_report_malformed (const Connection *c, const char *reason)
{
  c->client->counts.malformed_responses++;
  mr_log (MR_LOG_WARNING, MR_EVENT_RESPONSE_MALFORMED,
          "response of target %s to call %s is invalid: %s", c->pool->target, c->request_id,
          reason);
}

static void
S_make_idle (Connection *c)
{
  c->idle = TRUE;
  c->idle_link.data = c;
  g_queue_push_head_link (&c->pool->idle, &c->idle_link);
  mr_timers_set (c->client->timers, &c->timer, mr_now () + c->idle_timeout);
}

/* The parser holds a complete response, which @trailing bytes follow. */
static void
S_on_response (Connection *c, gsize trailing)
{
  MrHttpParser *response = c->parser;
  c->parser = S_parser_new (c->client);
  MrCallOutcome outcome = S_classify_response (c, response);
  /* A target may respond before it has read the whole request; it would take the remaining bytes
   * for the next request. */
  gboolean in_sync = mr_http_parser_keep_alive (response) && trailing == 0 &&
                     mr_stream_buffered_bytes (c->stream) == 0;
  gboolean keep = in_sync && S_copy_is_harmless (c, response, outcome);
  if (trailing > 0)
    c->client->counts.stray_byte_closes++;
  else if (in_sync && !keep)
    c->client->counts.ambiguous_closes++;
  c->idle_timeout = S_idle_timeout (response);
  c->used = TRUE;
  if (outcome == MR_CALL_BROKEN)
    S_report_malformed (c, "it has not one valid signature, or its body is encoded");
  guint64 id = c->call_id;
  g_hash_table_remove (c->client->calls, &c->call_id);
  c->call_id = 0;
  MrTargetClientHost *host = c->client->host;
  /* Do not pass on a response that cannot be attributed to the target, nor one whose status tells
   * the caller that the request did not run although the target has not stated so: an order that
   * did run would run again. */
  if (outcome == MR_CALL_BROKEN ||
      (outcome == MR_CALL_ERROR && S_implies_not_run (mr_http_parser_status (response))))
    g_clear_pointer (&response, mr_http_parser_free);
  if (keep)
    S_make_idle (c);
  else
    S_close (c);
  host->call_ended (host, id, outcome, response);
}

static void
S_fail_call (Connection *c, MrCallOutcome outcome)
{
  guint64 id = c->call_id;
  MrTargetClientHost *host = c->client->host;
  S_close (c);
  host->call_ended (host, id, outcome, NULL);
}

/* Ends a call whose response is malformed or exceeds a limit. */
static void
S_fail_response (Connection *c)
{
  static const char *const reasons[] = {
    [MR_HTTP_HEAD_TOO_LARGE] = "its head is too large",
    [MR_HTTP_BODY_TOO_LARGE] = "its body is too large",
    [MR_HTTP_OVERHEAD_TOO_LARGE] = "too many bytes that are no part of it",
  };
  MrHttpState state = mr_http_parser_state (c->parser);
  if (state == MR_HTTP_MALFORMED)
    S_report_malformed (c, mr_http_parser_error (c->parser));
  else if (state < G_N_ELEMENTS (reasons) && reasons[state])
    {
      c->client->counts.oversized_responses++;
      mr_log (MR_LOG_WARNING, MR_EVENT_RESPONSE_TOO_LARGE,
              "response of target %s to call %s was given up: %s", c->pool->target, c->request_id,
              reasons[state]);
    }
  S_fail_call (c, MR_CALL_BROKEN);
}

/* Returns the connection with the largest incomplete response, where that of @c will have @memory.
 */
static Connection *
S_largest_response (Connection *c, gsize memory)
{
  Connection *largest = c;
  for (const GList *link = c->client->connections.head; link; link = link->next)
    {
      Connection *other = link->data;
      if (other != c && other->call_id && mr_http_parser_memory (other->parser) > memory)
        {
          largest = other;
          memory = mr_http_parser_memory (other->parser);
        }
    }
  return largest;
}

/* Ends the calls with the largest incomplete responses until @count more bytes can be read for @c;
 * FALSE if the call of @c is one of them. */
static gboolean
S_make_room (Connection *c, gsize count)
{
  MrTargetClient *client = c->client;
  gsize growth = mr_http_parser_memory_after (c->parser, count) - mr_http_parser_memory (c->parser);
  while (client->memory_limit > 0 && *client->memory + growth > client->memory_limit)
    {
      Connection *largest = S_largest_response (c, mr_http_parser_memory (c->parser) + growth);
      EndedCall ended = { .id = largest->call_id, .outcome = MR_CALL_BROKEN };
      client->counts.evicted_responses++;
      mr_log (
          MR_LOG_WARNING, MR_EVENT_RESPONSE_TOO_LARGE,
          "response of target %s to call %s was given up at %zu bytes: responses take %zu bytes "
          "together",
          largest->pool->target, largest->request_id, mr_http_parser_memory (largest->parser),
          *client->memory);
      g_array_append_val (client->failed_calls, ended);
      S_close (largest);
      if (largest == c)
        return FALSE;
    }
  return TRUE;
}

static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  Connection *c = (Connection *) handler;
  (void) stream;
  if (c->call_id == 0)
    {
      c->client->counts.stray_byte_closes++;
      S_close (c);
      return;
    }
  if (!S_make_room (c, bytes.len))
    return;
  while (bytes.len > 0)
    {
      gsize used = mr_http_parser_feed (c->parser, bytes);
      bytes.data += used;
      bytes.len -= used;
      MrHttpState state = mr_http_parser_state (c->parser);
      if (state > MR_HTTP_DONE)
        {
          S_fail_response (c);
          return;
        }
      if (state != MR_HTTP_DONE)
        return;
      ResponseMatch match = S_match_response (c, c->parser);
      if (match == MATCH_THIS_CALL)
        {
          S_on_response (c, bytes.len);
          return;
        }
      if (match == MATCH_UNKNOWN)
        {
          S_fail_call (c, MR_CALL_BROKEN);
          return;
        }
      c->client->counts.unmatched_responses++;
      mr_http_parser_skip (c->parser);
      if (mr_http_parser_state (c->parser) > MR_HTTP_DONE)
        {
          S_fail_response (c);
          return;
        }
    }
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  Connection *c = (Connection *) handler;
  c->connecting = FALSE;
  mr_timers_set (c->client->timers, &c->timer, MR_NEVER);
  mr_stream_write (stream, mr_text_of (c->pending_request));
  g_string_free (c->pending_request, TRUE);
  c->pending_request = NULL;
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  Connection *c = (Connection *) handler;
  if (c->call_id == 0)
    {
      S_connection_free (c);
      return;
    }
  if (end == MR_STREAM_EOF)
    mr_http_parser_finish (c->parser);
  if (mr_http_parser_state (c->parser) == MR_HTTP_DONE &&
      S_match_response (c, c->parser) == MATCH_THIS_CALL)
    {
      S_on_response (c, 0);
      return;
    }
  gboolean sent = mr_stream_sent_bytes (stream) > c->sent_at_start;
  S_fail_call (c, sent ? MR_CALL_BROKEN : MR_CALL_NOT_CONNECTED);
}

static const MrStreamHandler stream_handler = {
  .on_open = S_on_open,
  .on_data = S_on_data,
  .on_end = S_on_end,
};

/* Calls. */

static Connection *
S_connect (MrTargetClient *client, MrTime now, const MrTargetState *target)
{
  Connection *c = g_new0 (Connection, 1);
  c->handler = stream_handler;
  c->client = client;
  c->pool = S_get_pool (client, target->id);
  c->timer.owner = c;
  c->stream = mr_stream_connect (client->loop, &c->handler, target->ip, target->port);
  if (!c->stream)
    {
      mr_log (MR_LOG_WARNING, MR_EVENT_CONNECT_FAILED, "cannot connect to target %s: %s",
              target->id, mr_status_message ());
      g_free (c);
      return NULL;
    }
  c->connecting = TRUE;
  c->parser = S_parser_new (c->client);
  c->link.data = c;
  g_queue_push_tail_link (&client->connections, &c->link);
  mr_timers_set (client->timers, &c->timer, now + MR_CONNECT_TIMEOUT);
  client->counts.connections++;
  return c;
}

static guint64
S_hash_id (MrText id)
{
  return XXH64 (id.data, id.len, 0);
}

static gboolean
S_has_carried (const Connection *c, guint64 id_hash)
{
  for (guint i = 0; i < MIN (c->carried_count, CARRIED_IDS_MAX); i++)
    if (c->carried_ids[i] == id_hash)
      return TRUE;
  return FALSE;
}

/* Takes an idle connection that has not carried a call with this id: a late copy of the response to
 * that call could not be told from the response to this one. */
static Connection *
S_take_idle (MrTargetClient *client, MrTime now, const MrTargetCall *call)
{
  const ConnectionPool *pool = S_get_pool (client, call->target->id);
  guint64 id_hash = S_hash_id (call->request_id);
  const GList *link = pool->idle.head;
  while (link && call->request_id.len > 0 && S_has_carried (link->data, id_hash))
    link = link->next;
  if (!link)
    return NULL;
  Connection *c = link->data;
  MrTime idle_for = now - (c->timer.due - c->idle_timeout);
  if (!call->idempotent && idle_for > NON_IDEMPOTENT_REUSE_WINDOW)
    return NULL;
  S_remove_from_idle (c);
  mr_timers_set (client->timers, &c->timer, MR_NEVER);
  client->counts.reused++;
  return c;
}

/* Opens a new connection; closes an idle one, which leaves room within the target's limit. */
static Connection *
S_replace_idle (MrTargetClient *client, MrTime now, const MrTargetState *target)
{
  ConnectionPool *pool = S_get_pool (client, target->id);
  Connection *least_recent = g_queue_peek_tail (&pool->idle);
  if (least_recent)
    S_close (least_recent);
  return S_connect (client, now, target);
}

void
mr_target_client_set_memory_limit (MrTargetClient *client, gsize bytes)
{
  client->memory_limit = bytes;
}

void
mr_target_client_call (MrTargetClient *client, MrTime now, const MrTargetCall *call)
{
  Connection *c = S_take_idle (client, now, call);
  if (!c)
    c = S_replace_idle (client, now, call->target);
  if (!c)
    {
      EndedCall failed = { .id = call->id, .outcome = MR_CALL_NOT_CONNECTED };
      g_array_append_val (client->failed_calls, failed);
      return;
    }
  c->call_id = call->id;
  c->sent_at_start = mr_stream_sent_bytes (c->stream);
  g_free (c->request_id);
  c->request_id = mr_text_dup (call->request_id);
  c->carried_ids[c->carried_count++ % CARRIED_IDS_MAX] = S_hash_id (call->request_id);
  c->is_part = call->is_part;
  mr_http_parser_reset (c->parser);
  mr_http_parser_set_bodiless (c->parser, call->bodiless);
  g_hash_table_insert (client->calls, &c->call_id, c);
  if (c->connecting)
    c->pending_request = g_string_new_len (call->request.data, (gssize) call->request.len);
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
  if (!c || mr_stream_sent_bytes (c->stream) > c->sent_at_start)
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
  ConnectionPool *pool = S_get_pool (client, target->id);
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
  for (guint count = client->failed_calls->len; count > 0; count--)
    {
      EndedCall ended = g_array_index (client->failed_calls, EndedCall, 0);
      g_array_remove_index (client->failed_calls, 0);
      client->host->call_ended (client->host, ended.id, ended.outcome, NULL);
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
        S_fail_call (c, MR_CALL_NOT_CONNECTED);
      else
        S_close (c);
    }
  MrTime next = mr_prober_tick (client->prober, now);
  return client->failed_calls->len > 0 ? now : MIN (next, mr_timers_next_due (client->timers));
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
