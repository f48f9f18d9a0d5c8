/* Guards against answers without end: a faulty target that sends bytes which are no part of the
 * answer to its call must not hold the call, nor take more than a bounded number of bytes, and many
 * answers that are not complete must not take more than a bounded amount of memory together. */

#include "target_client.h"

#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  DESCRIPTORS = 64,
  BACKLOG = 16,
  STEP_BYTES = 1024 * 1024, /* that the target sends in one step of the loop */
  /* What the client may take for a call beside a body, with what the kernel buffers. */
  TAKEN_MAX = 12 * 1024 * 1024,
  BODY_MAX = 8 * 1024 * 1024,
  CALLS_MAX = 32,
  MEMORY_LIMIT = 4 * 1024 * 1024,
  /* Of the process beside the bodies: buffers and the objects of the calls. */
  OTHER_MEMORY_MAX = 512 * 1024,
};

/* Far more than the bounded number of bytes takes. */
static const MrTime END_TIMEOUT = 3 * MR_SECOND;

#define OWN "X-Id: q1\r\nX-Signature: i-1\r\n"
#define OTHER "X-Id: q0\r\nX-Signature: i-1\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define LINE_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

typedef struct
{
  const char *name;
  const char *first; /* sent once */
  const char *unit;  /* sent again and again */
  guint units;       /* 0: without end */
  const char *last;  /* sent after the units */
  MrCallOutcome outcome;
  gsize taken_max;
} Case;

static const Case cases[] = {
  { "head", OK "X-A: ", LINE_64, 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "fields", OK, "X-A: " LINE_64 "\r\n", 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "empty lines", "", "\r\n", 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nX-A: " LINE_64 "\r\n\r\n", 0,
    "", MR_CALL_BROKEN, TAKEN_MAX },
  { "responses to other requests", "", OK OTHER "Content-Length: 64\r\n\r\n" LINE_64, 0, "",
    MR_CALL_BROKEN, TAKEN_MAX },
  { "empty responses to other requests", "", OK OTHER "Content-Length: 0\r\n\r\n", 0, "",
    MR_CALL_BROKEN, TAKEN_MAX },
  { "chunk extension", OK OWN CHUNKED "\r\n1;a=", LINE_64, 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "chunk extensions", OK OWN CHUNKED "\r\n", "1;" LINE_64 "\r\nx\r\n", 0, "", MR_CALL_BROKEN,
    TAKEN_MAX },
  { "tiny chunks", OK OWN CHUNKED "\r\n", "1\r\nx\r\n", 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "chunk sizes with zeros", OK OWN CHUNKED "\r\n", "0000000000000001\r\nx\r\n", 0, "",
    MR_CALL_BROKEN, TAKEN_MAX },
  { "trailer field", OK OWN CHUNKED "\r\n0\r\nX-A: ", LINE_64, 0, "", MR_CALL_BROKEN, TAKEN_MAX },
  { "trailer fields", OK OWN CHUNKED "\r\n0\r\n", "X-A: " LINE_64 "\r\n", 0, "", MR_CALL_BROKEN,
    TAKEN_MAX },
  { "body without a length", OK OWN "\r\n", LINE_64, 0, "", MR_CALL_BROKEN, TAKEN_MAX + BODY_MAX },
  { "chunks", OK OWN CHUNKED "\r\n", "40\r\n" LINE_64 "\r\n", 0, "", MR_CALL_BROKEN,
    TAKEN_MAX + BODY_MAX },
  { "body beyond the limit", OK OWN "Content-Length: 8388609\r\n\r\n", LINE_64, 0, "",
    MR_CALL_BROKEN, TAKEN_MAX },

  /* Answers that are complete, with what may come before and between their bytes. */
  { "late responses to earlier requests", "", OK OTHER "Content-Length: 64\r\n\r\n" LINE_64, 1000,
    OK OWN "Content-Length: 1\r\n\r\nx", MR_CALL_ANSWER, TAKEN_MAX },
  { "a few interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 100,
    OK OWN "Content-Length: 1\r\n\r\nx", MR_CALL_ANSWER, TAKEN_MAX },
  { "empty line first", "", "\r\n", 1, OK OWN "Content-Length: 1\r\n\r\nx", MR_CALL_ANSWER,
    TAKEN_MAX },
  { "small chunks", OK OWN CHUNKED "\r\n", "40;a=b\r\n" LINE_64 "\r\n", 16384,
    "0\r\nX-A: b\r\n\r\n", MR_CALL_ANSWER, TAKEN_MAX },
  { "largest body", OK OWN "Content-Length: 8388608\r\n\r\n", LINE_64, BODY_MAX / 64, "",
    MR_CALL_ANSWER, TAKEN_MAX + BODY_MAX },
};

static const MrDialect dialect = {
  .request_id = "X-Id",
  .signature = "X-Signature",
  .not_run = "X-Not-Run",
};

typedef struct
{
  MrLoopHandler loop_handler;
  MrTargetClientHost client_host;
  MrTargetClient *client;
  gboolean ended[CALLS_MAX]; /* by call id */
  MrCallOutcome outcomes[CALLS_MAX];
  GPtrArray *kept; /* responses that are freed later; NULL: at once */
} Fixture;

static void
S_on_call_ended (MrTargetClientHost *host,
                 guint64 id,
                 MrCallOutcome outcome,
                 MrHttpParser *response)
{
  Fixture *f = (Fixture *) ((char *) host - offsetof (Fixture, client_host));
  assert_false (f->ended[id]);
  f->ended[id] = TRUE;
  f->outcomes[id] = outcome;
  if (f->kept && response)
    g_ptr_array_add (f->kept, response);
  else
    mr_http_parser_free (response);
}

static void
S_on_probed (MrTargetClientHost *host, const char *target, gboolean answered)
{
  (void) host;
  (void) target;
  (void) answered;
}

/* Short interval, so that the target goes on sending. */
static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  const Fixture *f = (const Fixture *) handler;
  return MIN (mr_target_client_tick (f->client, now), now + MR_MS);
}

static int
S_listen (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (bind (listener, (struct sockaddr *) &address, length), 0);
  assert_int_equal (listen (listener, BACKLOG), 0);
  assert_int_equal (getsockname (listener, (struct sockaddr *) &address, &length), 0);
  *port = ntohs (address.sin_port);
  return listener;
}

/* The bytes of a case, sent in the order that it says. */
typedef struct
{
  int fd;
  GString *pending;
  GString *units; /* many units, to send them in large pieces */
  guint left;     /* finite cases: 1 until the bytes are prepared */
  gsize sent;
  gboolean closed; /* by the client */
} Sender;

static void
S_sender_prepare (Sender *sender, const Case *c)
{
  sender->pending = g_string_new (c->first);
  sender->units = g_string_new (NULL);
  for (guint i = 0; i < c->units; i++)
    g_string_append (sender->pending, c->unit);
  g_string_append (sender->pending, c->units > 0 ? c->last : "");
  while (c->units == 0 && sender->units->len < STEP_BYTES)
    g_string_append (sender->units, c->unit);
}

/* Sends as much as the kernel takes, up to STEP_BYTES. */
static void
S_sender_step (Sender *sender)
{
  if (sender->pending->len == 0)
    g_string_append_len (sender->pending, sender->units->str, (gssize) sender->units->len);
  gssize n = send (sender->fd, sender->pending->str, MIN (sender->pending->len, STEP_BYTES),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0)
    {
      sender->sent += (gsize) n;
      g_string_erase (sender->pending, 0, n);
    }
  else if (n < 0 && errno != EAGAIN)
    sender->closed = TRUE;
}

static void
S_sender_clear (Sender *sender)
{
  close (sender->fd);
  g_string_free (sender->pending, TRUE);
  g_string_free (sender->units, TRUE);
}

/* TRUE if the call ends as the case says. */
static gboolean
S_run_case (const Case *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .client_host = { .call_ended = S_on_call_ended, .probed = S_on_probed } };
  MrTarget target = { .id = "i-1", .ip = "127.0.0.1" };
  int listener = S_listen (&target.port);
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.client = mr_target_client_new (&f.client_host, loop, &dialect);
  MrTargetState *state = mr_target_state_new (&target, "127.0.0.1");
  MrTime started_at = mr_now ();
  MrTargetCall call = { .id = 1,
                        .target = state,
                        .request = MR_TEXT ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                        .request_id = MR_TEXT ("q1"),
                        .idempotent = TRUE };
  mr_target_client_call (f.client, started_at, &call);
  Sender sender = { .fd = -1 };
  S_sender_prepare (&sender, c);
  while (!f.ended[1] && mr_now () < started_at + END_TIMEOUT)
    {
      mr_loop_step (loop);
      if (sender.fd < 0)
        sender.fd = accept (listener, NULL, NULL);
      if (sender.fd >= 0)
        S_sender_step (&sender);
    }
  MrTime took = mr_now () - started_at;
  /* The connection of a broken call is closed. */
  for (int i = 0; i < 1000 && f.ended[1] && c->units == 0 && !sender.closed; i++)
    {
      mr_loop_step (loop);
      S_sender_step (&sender);
    }
  gboolean passed = f.ended[1] && f.outcomes[1] == c->outcome && sender.sent <= c->taken_max &&
                    (c->units > 0 || sender.closed);
  if (!passed)
    print_error ("%s: ended %d, outcome %d, expected %d, after %d ms, %zu kB taken, closed %d\n",
                 c->name, f.ended[1], (int) f.outcomes[1], (int) c->outcome, (int) (took / MR_MS),
                 sender.sent / 1024, sender.closed);
  S_sender_clear (&sender);
  close (listener);
  mr_loop_free (loop);
  mr_target_client_free (f.client);
  mr_target_state_free (state);
  return passed;
}

static void
test_answers (void **state)
{
  guint failures = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    failures += S_run_case (&cases[i]) ? 0 : 1;
  assert_int_equal (failures, 0);
}

/* Many incomplete responses at once: @count targets send @bytes of a body that is larger by
 * MORE_BYTES. */
typedef struct
{
  const char *name;
  gboolean complete; /* the first group completes its bodies, and the host keeps the responses until
                      * the second one begins */
  struct
  {
    guint count;
    gsize bytes;
    guint broken_min;
    guint broken_max;
  } groups[2];
} MemoryCase;

static const MemoryCase memory_cases[] = {
  { "within the limit", FALSE, { { 3, 1000000, 0, 0 }, { 4, 1000, 0, 0 } } },
  { "many", FALSE, { { 20, 1000000, 16, 17 }, { 4, 1000, 0, 0 } } },
  { "the largest one ends", FALSE, { { 1, 3000000, 1, 1 }, { 8, 200000, 0, 0 } } },
  { "complete, not freed", TRUE, { { 20, 1000000, 16, 17 }, { 1, 3000000, 0, 0 } } },
  { "one over the limit", FALSE, { { 1, 6000000, 1, 1 }, { 4, 1000, 0, 0 } } },
};

enum
{
  MORE_BYTES = 1000,
};

static gsize
S_allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

/* Steps until the client has read what was sent: nothing more happens within some steps. */
static void
S_settle (MrLoop *loop, gsize *peak)
{
  for (MrTime end = mr_now () + 20 * MR_MS; mr_now () < end;)
    {
      mr_loop_step (loop);
      *peak = MAX (*peak, S_allocated_bytes ());
    }
}

/* Sends @count bytes while the loop runs; stops when the client has closed the connection. */
static void
S_send_all (MrLoop *loop, int fd, const char *bytes, gsize count, gsize *peak)
{
  for (gssize n = 1; count > 0 && (n > 0 || errno == EAGAIN);)
    {
      n = send (fd, bytes, count, MSG_NOSIGNAL | MSG_DONTWAIT);
      count -= n > 0 ? (gsize) n : 0;
      bytes += n > 0 ? n : 0;
      mr_loop_step (loop);
      *peak = MAX (*peak, S_allocated_bytes ());
    }
}

static void
S_response_free (gpointer response)
{
  mr_http_parser_free (response);
}

static void
S_run_memory_case (const MemoryCase *c)
{
  Fixture f = { .loop_handler = { .on_tick = S_on_tick },
                .client_host = { .call_ended = S_on_call_ended, .probed = S_on_probed } };
  MrTarget target = { .id = "i-1", .ip = "127.0.0.1" };
  int listener = S_listen (&target.port);
  int fds[CALLS_MAX];
  guint group_of[CALLS_MAX];
  guint calls = 0;
  MrLoop *loop = mr_loop_new (&f.loop_handler, DESCRIPTORS);
  f.client = mr_target_client_new (&f.client_host, loop, &dialect);
  mr_target_client_set_memory_limit (f.client, MEMORY_LIMIT);
  MrTargetState *state = mr_target_state_new (&target, "127.0.0.1");
  g_autofree char *body = g_malloc0 (BODY_MAX);
  f.kept = c->complete ? g_ptr_array_new_with_free_func (S_response_free) : NULL;
  gsize before = S_allocated_bytes ();
  gsize peak = before;
  for (guint g = 0; g < G_N_ELEMENTS (c->groups); g++)
    for (guint i = 0; i < c->groups[g].count; i++)
      {
        guint id = calls++;
        MrTargetCall call = { .id = id + 1,
                              .target = state,
                              .request = MR_TEXT ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                              .request_id = MR_TEXT ("q1"),
                              .idempotent = TRUE };
        mr_target_client_call (f.client, mr_now (), &call);
        group_of[id] = g;
        for (fds[id] = -1; fds[id] < 0; fds[id] = accept (listener, NULL, NULL))
          mr_loop_step (loop);
      }
  for (guint id = 0; id < calls; id++)
    {
      gsize bytes = c->groups[group_of[id]].bytes;
      gboolean complete = c->complete && group_of[id] == 0;
      if (f.kept && !complete)
        g_ptr_array_set_size (f.kept, 0);
      g_autofree char *head =
          g_strdup_printf (OK OWN "Content-Length: %zu\r\n\r\n", bytes + MORE_BYTES);
      S_send_all (loop, fds[id], head, strlen (head), &peak);
      S_send_all (loop, fds[id], body, bytes + (complete ? MORE_BYTES : 0), &peak);
      if (complete)
        S_settle (loop, &peak);
    }
  S_settle (loop, &peak);
  guint broken[2] = { 0 };
  for (guint id = 0; id < calls; id++)
    broken[group_of[id]] += f.ended[id + 1] && f.outcomes[id + 1] == MR_CALL_BROKEN ? 1 : 0;
  for (guint g = 0; g < G_N_ELEMENTS (c->groups); g++)
    if (broken[g] < c->groups[g].broken_min || broken[g] > c->groups[g].broken_max)
      fail_msg ("%s: %u calls of group %u have ended", c->name, broken[g], g);
  if (peak - before > MEMORY_LIMIT + OTHER_MEMORY_MAX)
    fail_msg ("%s: %zu bytes were allocated", c->name, peak - before);
  assert_int_equal (mr_target_client_counts (f.client).evicted_responses, broken[0] + broken[1]);
  /* The others go on to their end, and are not affected by the calls that have ended. */
  for (guint id = 0; id < calls; id++)
    if (!f.ended[id + 1])
      S_send_all (loop, fds[id], body, MORE_BYTES, &peak);
  S_settle (loop, &peak);
  for (guint id = 0; id < calls; id++)
    {
      if (!f.ended[id + 1])
        fail_msg ("%s: call %u has not ended", c->name, id);
      close (fds[id]);
    }
  close (listener);
  mr_loop_free (loop);
  mr_target_client_free (f.client);
  mr_target_state_free (state);
  if (f.kept)
    g_ptr_array_unref (f.kept);
}

static void
test_memory (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (memory_cases); i++)
    S_run_memory_case (&memory_cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_memory),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
