#include "soak.h"

#include "merge_records.h"

#include <stdlib.h>

/* Route's time limit in the configuration, and what a caller allows beyond. */
static const MrTime TIME_LIMIT = 1500 * MR_MS;
static const MrTime TIME_SLACK = 1200 * MR_MS;
/* After a relay was disturbed its callers expect nothing for this long. */
static const MrTime SETTLE = 4 * MR_SECOND;
/* After a time of silence relays find out within this that their watches were swallowed. */
static const MrTime STORE_SETTLE = 7 * MR_SECOND;
/* An evacuation is in force on all relays within this. */
static const MrTime EVACUATED_KNOWN = 1 * MR_SECOND;
/* Callers use kept connections for four fifths of the idle time that they are
 * told, not longer. */
static const MrTime IDLE_MOST = 12 * MR_SECOND;

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
  MrStreamHandler host;
  Soak *soak;
  MrStream *stream;
  MrHttpParser *parser;
  MrTimer timer;
  guint relay;
  AskKind kind;
  gboolean crasher;
  char id[ID_BYTES]; /* empty: idle */
  MrTime sent;
  MrTime last_used;
  GString *waiting;
} Caller;

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
      mr_text_dup (mr_http_parser_find_field (c->parser, "X-Server-Stamp", NULL));
  if (!S_read_signature (signature, c->id, searcher))
    {
      soak_broken (c->soak, "own: request %s got signature '%s'", c->id, signature);
      return;
    }
  g_autoptr (GString) expected = S_records_of (searcher);
  if (!mr_text_equal (mr_http_parser_body (c->parser), mr_text_of (expected)))
    soak_broken (c->soak, "own: request %s got another body", c->id);
}

static void
S_check_all (Caller *c)
{
  g_autofree char *list =
      mr_text_dup (mr_http_parser_find_field (c->parser, "X-Part-Stamps", NULL));
  g_autofree char *missing =
      mr_text_dup (mr_http_parser_find_field (c->parser, "X-Missing-Parts", NULL));
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
        soak_broken (c->soak, "merged: request %s got part '%s' of '%s'", c->id, parts[i], list);
      seen |= service;
      bodies[i] = S_records_of (service ? searcher : "");
      texts[i] = mr_text_of (bodies[i]);
    }
  guint total = count + (guint) atoi (missing);
  if (count == 0 || count > SERVICES || total < 2 || total > SERVICES || (total == 2 && (seen & 4)))
    soak_broken (c->soak, "merged: request %s has %u parts and %s missing", c->id, count, missing);
  g_autoptr (GString) expected = mr_merge_records (texts, MIN (count, SERVICES), TOP);
  if (!mr_text_equal (mr_http_parser_body (c->parser), mr_text_of (expected)))
    soak_broken (c->soak, "merged: request %s has other records than its parts", c->id);
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

/* What ends searchers is never served, and nothing else is blocked for it. */
static void
S_check_blocked (const Caller *c, int status)
{
  MrText body = mr_http_parser_body (c->parser);
  gboolean blocked = status == 500 && g_strstr_len (body.data, (gssize) body.len, "quarantined");
  if (c->crasher && status < 500)
    soak_broken (c->soak, "crasher: request %s got status %d", c->id, status);
  if (!c->crasher && blocked)
    soak_broken (c->soak, "blocked: request %s is quarantined", c->id);
}

static void
S_on_answer (Caller *c)
{
  Soak *s = c->soak;
  int status = mr_http_parser_status (c->parser);
  s->answered++;
  S_check_blocked (c, status);
  if (c->crasher)
    return;
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
    soak_broken (s, "own: request %s got status %d", c->id, status);
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
    soak_broken (c->soak, "answered: request %s at relay %u, %s after %.3f s", c->id, c->relay, how,
                 (double) (mr_now () - c->sent) / (double) MR_SECOND);
}

static void
S_received (MrStreamHandler *host, MrStream *stream, MrText bytes)
{
  Caller *c = (Caller *) host;
  (void) stream;
  gsize used = mr_http_parser_feed (c->parser, bytes);
  MrHttpState state = mr_http_parser_state (c->parser);
  if (c->id[0] == '\0' || state > MR_HTTP_DONE || used < bytes.len)
    {
      soak_broken (c->soak, "own: bytes that belong to no answer, after request '%s'", c->id);
      mr_stream_close (c->stream);
      S_caller_free (c);
      return;
    }
  if (state != MR_HTTP_DONE)
    return;
  S_on_answer (c);
  gboolean keep = mr_http_parser_keep_alive (c->parser) && soak_pick (c->soak, 10) < 8;
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
S_ended (MrStreamHandler *host, MrStream *stream, MrStreamEnd end)
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
S_opened (MrStreamHandler *host, MrStream *stream)
{
  Caller *c = (Caller *) host;
  c->sent = mr_now ();
  mr_stream_write (stream, mr_text_of (c->waiting));
}

static const MrStreamHandler caller_host = { .on_open = S_opened,
                                             .on_data = S_received,
                                             .on_end = S_ended };

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
                                 soak_first_port + RELAY_PORT + 10 * (int) relay);
  if (c->stream)
    return c;
  mr_http_parser_free (c->parser);
  g_free (c);
  return NULL;
}

static void
S_send (Caller *c, const char *line)
{
  Soak *s = c->soak;
  gboolean fresh = !c->waiting;
  g_snprintf (c->id, sizeof c->id, "q%" G_GUINT64_FORMAT, ++s->last_id);
  g_hash_table_add (s->sent, g_strdup (c->id));
  if (c->kind == ASK_ORDER)
    S_end_order (s, c->id, ORDER_OPEN);
  if (fresh)
    c->waiting = g_string_new (NULL);
  g_string_printf (c->waiting,
                   "%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s\r\n",
                   line, c->id, c->kind == ASK_ORDER ? "Content-Length: 0\r\n" : "");
  c->sent = mr_now ();
  mr_timers_set (s->timers, &c->timer, c->sent + TIME_LIMIT + TIME_SLACK);
  if (!fresh)
    mr_stream_write (c->stream, mr_text_of (c->waiting));
}

/* TRUE if a relay was there to hear of the evacuation from the store, which was in order. */
static gboolean
S_was_heard (const Soak *s)
{
  const Evacuation *e = &s->evacuation;
  if (e->since == 0 || e->since < e->store_disturbed + STORE_SETTLE)
    return FALSE;
  for (guint i = 0; i < RELAYS; i++)
    if (s->relays[i].back_at == 0 && e->since > s->relays[i].disturbed + SETTLE &&
        e->since > e->path_disturbed[i] + STORE_SETTLE)
      return TRUE;
  return FALSE;
}

/* Keeps the request if its relay has to know of the evacuation. */
static void
S_note_evacuation (const Caller *c)
{
  Soak *s = c->soak;
  const Evacuation *e = &s->evacuation;
  if (!S_was_heard (s) || s->now < e->since + EVACUATED_KNOWN || !S_left_alone (c))
    return;
  SoakEvacuated *sent = g_new (SoakEvacuated, 1);
  *sent = (SoakEvacuated){ .domain = e->domain, .at = s->now };
  g_hash_table_insert (s->evacuation.sent, g_strdup (c->id), sent);
}

void
soak_ask (Soak *s)
{
  static const char *const lines[ASK_KINDS] = { "GET /all/q", "GET /one/q", "POST /order/q" };
  Caller *c = S_caller (s, soak_pick (s, RELAYS));
  if (!c)
    return;
  c->kind = (AskKind) soak_pick (s, ASK_KINDS);
  c->crasher = FALSE;
  S_send (c, lines[c->kind]);
  S_note_evacuation (c);
}

void
soak_ask_crasher (Soak *s)
{
  Caller *c = S_caller (s, (guint) g_rand_int_range (s->crasher.random, 0, RELAYS));
  if (!c)
    return;
  c->kind = ASK_ALL;
  c->crasher = TRUE;
  S_send (c, "GET /all/crash");
  if (s->crasher.third_end != 0 && s->now > s->crasher.third_end + SETTLE &&
      (S_left_alone (c) || soak_store_tells (s)))
    g_hash_table_add (s->crasher.late, g_strdup (c->id));
}

void
soak_caller_overdue (MrTimer *timer)
{
  Caller *c = timer->owner;
  S_end_unanswered (c, "no answer");
  mr_stream_close (c->stream);
  S_caller_free (c);
}
