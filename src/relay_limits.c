#include "relay_task_private.h"

#include "log.h"
#include <jansson.h>
#include <stdlib.h>

enum
{
  IDS_PER_LINE = 24,   /* requests that a log line names */
  ID_BYTES_MAX = 64,   /* longer ids are not named; a whole line has at most 4,096 bytes */
  IDS_PER_SECOND = 500 /* named in all lines of one second together */
};

/* Interval of the log lines of one organisation. */
static const MrTime LOG_INTERVAL = MR_SECOND;

/* A request waits for the decision on its rate limit at most this long, and at most this fraction
 * of the time that its caller has left.  A counter's reply takes one round trip, at most 2 ms
 * between the failure domains of a region; the longer time only passes while no counter is known,
 * as after a start.  What is left is enough for another attempt of the caller. */
static const MrTime WAIT_MAX = 700 * MR_MS;
static const double WAIT_FRACTION_MAX = 0.4;

static void
S_on_send (MrLimitsHost *host, const char *daemon, const MrLimitMessage *message)
{
  mr_mailbox_post (RELAY_TASK_OF (host, limits_host)->control,
                   &mr_limit_task_message_new (daemon, message)->base);
}

void
mr_relay_limits_init (MrRelayTask *task, MrLimitDecidedFunc decided)
{
  task->limits_host = (MrLimitsHost){ .send = S_on_send, .decided = decided };
}

void
mr_relay_limits_receive (MrRelayTask *task, const MrLimitTaskMessage *message)
{
  mr_limits_receive (task->limits, mr_now (), message->peer, &message->limit);
}

MrLimitDecision
mr_relay_limits_check (MrRelayTask *task,
                       const MrOrganisation *organisation,
                       MrTime deadline,
                       gpointer request,
                       MrTime *retry_after)
{
  MrTime now = mr_now ();
  MrTime max_wait = MIN (WAIT_MAX, (MrTime) (WAIT_FRACTION_MAX * (double) MAX (deadline - now, 0)));
  if (!organisation || organisation->limit.rate <= 0)
    return MR_LIMIT_ADMITTED;
  return mr_limits_check (task->limits, now, organisation, max_wait, request, retry_after);
}

/* Log lines: one per organisation, cause and second. */

/* Escaping at most doubles the length of such an id, so that a line with all ids fits. */
static gboolean
S_may_name (const char *id)
{
  for (const char *at = id; *at; at++)
    if (!g_ascii_isprint (*at))
      return FALSE;
  return strlen (id) <= ID_BYTES_MAX;
}

/* Requests of one organisation that were refused for one cause since the last log lines. */
typedef struct
{
  char *organisation;
  gboolean exceeded;
  guint count;
  MrTime retry_after; /* of the last one */
  json_t *ids;
} Refusals;

static void
S_refusals_free (gpointer data)
{
  Refusals *refusals = data;
  json_decref (refusals->ids);
  g_free (refusals->organisation);
  g_free (refusals);
}

static Refusals *
S_get_refusals (MrRelayTask *task, const char *organisation, gboolean exceeded)
{
  GHashTable **table = &task->limit_refusals[exceeded ? 1 : 0];
  if (!*table)
    *table = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_refusals_free);
  Refusals *refusals = g_hash_table_lookup (*table, organisation);
  if (refusals)
    return refusals;
  refusals = g_new0 (Refusals, 1);
  refusals->organisation = g_strdup (organisation);
  refusals->exceeded = exceeded;
  refusals->ids = json_array ();
  g_hash_table_insert (*table, refusals->organisation, refusals);
  return refusals;
}

void
mr_relay_limits_refused (MrRelayTask *task, const MrLimitRefusal *refusal)
{
  Refusals *refusals = S_get_refusals (task, refusal->organisation, refusal->exceeded);
  if (refusals->count++ == 0 && task->limit_log_at == 0)
    task->limit_log_at = mr_now () + LOG_INTERVAL;
  refusals->retry_after = refusal->retry_after;
  if (json_array_size (refusals->ids) < IDS_PER_LINE && S_may_name (refusal->id) &&
      task->limit_logged_ids++ < IDS_PER_SECOND)
    json_array_append_new (refusals->ids, json_string (refusal->id));
}

static void
S_log_refusals (const Refusals *refusals)
{
  MrLogLine *line = mr_log_begin (MR_LOG_INFO, MR_EVENT_LIMIT_REFUSED);
  if (!line)
    return;
  char *ids = json_dumps (refusals->ids, JSON_COMPACT | JSON_ENSURE_ASCII);
  mr_log_text (line, "organisation", mr_text (refusals->organisation));
  mr_log_text (line, "cause", mr_text (mr_relay_limit_cause (refusals->exceeded)));
  mr_log_number (line, "count", refusals->count);
  mr_log_number (line, "retry_after_us", refusals->retry_after);
  mr_log_json (line, "requests", mr_text (ids));
  mr_log_end (line);
  free (ids);
}

/* Most refusals first. */
static int
S_compare_refusals (gconstpointer a, gconstpointer b)
{
  guint x = ((const Refusals *) a)->count;
  guint y = ((const Refusals *) b)->count;
  return x > y ? -1 : x < y;
}

static void
S_flush_log (MrRelayTask *task)
{
  GList *all = NULL;
  for (guint i = 0; i < G_N_ELEMENTS (task->limit_refusals); i++)
    if (task->limit_refusals[i])
      all = g_list_concat (all, g_hash_table_get_values (task->limit_refusals[i]));
  all = g_list_sort (all, S_compare_refusals);
  for (const GList *link = all; link; link = link->next)
    S_log_refusals (link->data);
  g_list_free (all);
  for (guint i = 0; i < G_N_ELEMENTS (task->limit_refusals); i++)
    g_clear_pointer (&task->limit_refusals[i], g_hash_table_unref);
  task->limit_log_at = 0;
  task->limit_logged_ids = 0;
}

const char *
mr_relay_limit_cause (gboolean exceeded)
{
  return exceeded ? "limit" : "limit-unknown";
}

MrTime
mr_relay_limits_tick (MrRelayTask *task, MrTime now)
{
  MrTime next = mr_limits_tick (task->limits, now);
  if (task->limit_log_at != 0 && now >= task->limit_log_at)
    S_flush_log (task);
  return task->limit_log_at != 0 ? MIN (next, task->limit_log_at) : next;
}

void
mr_relay_limits_clear (MrRelayTask *task)
{
  S_flush_log (task);
  mr_limits_free (task->limits);
}

/* Pages. */

void
mr_relay_limits_answer_page (const MrRelayTask *task, MrCaller *caller)
{
  enum
  {
    STATUS_OK = 200,
  };
  MrOrganisationPage page = { 0 };
  mr_limits_foreach (task->limits, mr_organisation_page_add, &page);
  g_autoptr (GString) body = mr_organisation_page_write (&page);
  mr_caller_answer (caller, STATUS_OK, MR_TEXT ("Content-Type: application/json\r\n"),
                    mr_text_of (body));
}

void
mr_relay_limits_write_metrics (GString *out, const MrRelayTask *task)
{
  const MrLimitCounts *counts = mr_limits_counts (task->limits);
  const struct
  {
    const char *name;
    guint64 value;
  } counters[] = {
    { "admitted", counts->admitted },   { "exceeded", counts->exceeded },
    { "uncounted", counts->uncounted }, { "given_back", counts->given_back },
    { "asks", counts->asks },           { "grants", counts->grants },
    { "takeovers", counts->takeovers }, { "fence_closed", counts->fence_closed },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (counters); i++)
    g_string_append_printf (out,
                            "# TYPE merlinring_limit_%s_total counter\n"
                            "merlinring_limit_%s_total %" G_GUINT64_FORMAT "\n",
                            counters[i].name, counters[i].name, counters[i].value);
  g_string_append (out, "# TYPE merlinring_relay_denied_total counter\n");
  for (int kind = MR_ACCESS_NO_KEY; kind <= MR_ACCESS_UNKNOWN_KEY; kind++)
    g_string_append_printf (out,
                            "merlinring_relay_denied_total{cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            mr_access_name ((MrAccessKind) kind), task->denied_counts[kind]);
}
