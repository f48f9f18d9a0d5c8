#include "entry_stop.h"

#include "log.h"
#include "metrics.h"
#include "safeguard.h"
#include "task_message.h"

/* Added to the keep time of a planned stop: callers may get this daemon's address until the other
 * daemons have been notified that it is leaving. */
static const MrTime LEAVING_MARGIN = 1 * MR_SECOND;
/* After the keep time, a period without requests that shows that callers have switched to other
 * daemons. */
static const MrTime IDLE_BEFORE_STOP = 300 * MR_MS;

/* Steps of the stop, as times before the end of the grace period.  Open requests have ended by
 * LAST_RESULTS_TIME unless the target task is late; those are ended at LAST_ANSWERS_TIME.  After
 * EXIT_TIME the last heartbeat is sent (SHUTDOWN_DELAY in daemon.c). */
static const MrTime LAST_REQUESTS_TIME = 2000 * MR_MS;
static const MrTime LAST_RESULTS_TIME = 1200 * MR_MS;
static const MrTime LAST_ANSWERS_TIME = 1000 * MR_MS;
static const MrTime EXIT_TIME = 500 * MR_MS;
/* The target task ends its calls this long before LAST_RESULTS_TIME, so that their results arrive
 * in time. */
static const MrTime RESULTS_MARGIN = 50 * MR_MS;
/* Time in which callers get the last answers, also if the process was stopped until after the end
 * of its grace period. */
static const MrTime WRITE_TIME_MIN = 300 * MR_MS;
/* How long callers have to close their connections after their answers. */
static const MrTime LINGER_TIME = 1 * MR_SECOND;
static const MrTime POLL_INTERVAL = 20 * MR_MS;

typedef enum
{
  STAGE_RUNNING,
  STAGE_SERVING,   /* addresses are no longer given out; still serves requests */
  STAGE_REFUSING,  /* ends what is open, refuses what is new */
  STAGE_ANSWERING, /* all requests have results; callers get their answers */
  STAGE_ENDED,
} Stage;

struct _MrEntryStop
{
  MrEntryContext *context;
  MrSearches *searches;
  MrOrderHandler *orders;
  Stage stage;
  MrTime began;
  MrTime end;             /* of the grace period */
  MrTime not_before;      /* end of the keep time */
  MrTime last_request_at; /* time of the last request of a caller */
  MrTime answered_at;     /* begin of STAGE_ANSWERING */
  guint open_requests;    /* at the begin */
};

MrEntryStop *
mr_entry_stop_new (MrEntryContext *context, MrSearches *searches, MrOrderHandler *orders)
{
  MrEntryStop *stop = g_new0 (MrEntryStop, 1);
  stop->context = context;
  stop->searches = searches;
  stop->orders = orders;
  context->stop_at = MR_NEVER;
  return stop;
}

void
mr_entry_stop_free (MrEntryStop *stop)
{
  g_free (stop);
}

gboolean
mr_entry_stop_has_begun (const MrEntryStop *stop)
{
  return stop->stage != STAGE_RUNNING;
}

gboolean
mr_entry_stop_refuses (const MrEntryStop *stop)
{
  return stop->stage >= STAGE_REFUSING;
}

void
mr_entry_stop_count_request (MrEntryStop *stop, MrTime now)
{
  stop->last_request_at = now;
  if (stop->stage != STAGE_RUNNING)
    mr_metrics_add (MR_METRIC_STOP_READ, 1);
}

static void
S_notify_targets (const MrEntryStop *stop)
{
  mr_mailbox_post (stop->context->target_mailbox,
                   &mr_stop_time_message_new (stop->context->stop_at - RESULTS_MARGIN,
                                              stop->stage >= STAGE_REFUSING)
                        ->base);
}

void
mr_entry_stop_begin (MrEntryStop *stop, MrTime now)
{
  MrEntryContext *context = stop->context;
  if (stop->stage != STAGE_RUNNING)
    return;
  stop->stage = STAGE_SERVING;
  stop->began = now;
  stop->end = now + context->settings->grace_ms * MR_MS;
  stop->not_before = now + context->settings->keep_ms * MR_MS + LEAVING_MARGIN;
  stop->last_request_at = now;
  stop->open_requests = mr_http_server_pending_count (context->server);
  mr_log (MR_LOG_NOTICE, MR_EVENT_STOPPING,
          "stopping: still serving requests for %d ms, then exiting, within %d ms",
          context->settings->keep_ms, context->settings->grace_ms);
  mr_http_server_drain (context->server);
  context->stop_at = stop->end - LAST_RESULTS_TIME;
  mr_searches_end_by (stop->searches, context->stop_at);
  mr_order_handler_end_by (stop->orders, context->stop_at);
  S_notify_targets (stop);
}

static gboolean
S_has_open_work (const MrEntryStop *stop)
{
  return mr_searches_count (stop->searches) > 0 ||
         mr_order_handler_pending_count (stop->orders) > 0 || mr_metrics_open_batches () > 0;
}

static gboolean
S_is_paused (const MrEntryStop *stop, MrTime now)
{
  return now >= stop->not_before && now - stop->last_request_at > IDLE_BEFORE_STOP &&
         mr_http_server_pending_count (stop->context->server) == 0 && !S_has_open_work (stop);
}

static void
S_begin_refusing (MrEntryStop *stop)
{
  stop->stage = STAGE_REFUSING;
  mr_order_handler_refuse (stop->orders);
  mr_http_server_close (stop->context->server);
  S_notify_targets (stop);
}

/* Pages whose content another task has not sent. */
static void
S_refuse_unanswered (const MrHttpPendingRequest *request, void *user)
{
  if (!request->answered)
    mr_entry_refuse_leaving (user, request->id);
}

static void
S_begin_answering (MrEntryStop *stop, MrTime now)
{
  stop->stage = STAGE_ANSWERING;
  stop->answered_at = now;
  mr_searches_end_by (stop->searches, now);
  mr_searches_tick (stop->searches, now);
  mr_order_handler_end_all (stop->orders);
  mr_http_server_foreach_pending (stop->context->server, S_refuse_unanswered, stop->context);
}

/* Closing a connection earlier would leave its caller without knowing whether its request has run.
 */
static gboolean
S_has_answered (const MrEntryStop *stop, MrTime now)
{
  const MrHttpServer *server = stop->context->server;
  if (now >= MAX (stop->end - EXIT_TIME, stop->answered_at + WRITE_TIME_MIN))
    return TRUE;
  if (mr_http_server_pending_count (server) > 0 || S_has_open_work (stop))
    return FALSE;
  return mr_http_server_open_count (server) == 0 ||
         (mr_http_server_unwritten_bytes (server) == 0 && now >= stop->answered_at + LINGER_TIME);
}

static void
S_log_unanswered (const MrHttpPendingRequest *request, void *user)
{
  const MrEntryStop *stop = user;
  MrLogLine *line = mr_log_begin (MR_LOG_WARNING, MR_EVENT_REQUEST_UNANSWERED);
  mr_log_number (line, "http_request", (gint64) request->id);
  mr_log_number (line, "age_us", mr_now () - request->received_at);
  mr_log_number (line, "read_after_us", request->received_at - stop->began);
  mr_log_number (line, "answered", request->answered);
  mr_log_end (line);
}

static void
S_log_summary (const MrEntryStop *stop, MrTime now)
{
  MrHttpServer *server = stop->context->server;
  MrLogLine *line = mr_log_begin (MR_LOG_NOTICE, MR_EVENT_STOP_SUMMARY);
  mr_log_number (line, "took_us", now - stop->began);
  mr_log_number (line, "open", stop->open_requests);
  mr_log_number (line, "read", (gint64) mr_metrics_get (MR_METRIC_STOP_READ));
  mr_log_number (line, "refused", (gint64) mr_metrics_get (MR_METRIC_STOP_REFUSED));
  mr_log_number (line, "failed", (gint64) mr_metrics_get (MR_METRIC_STOP_FAILED));
  mr_log_number (line, "cut", mr_http_server_pending_count (server));
  mr_log_number (line, "connections", mr_http_server_open_count (server));
  mr_log_number (line, "unwritten_bytes", (gint64) mr_http_server_unwritten_bytes (server));
  mr_log_end (line);
}

static gboolean
S_end (MrEntryStop *stop, MrTime now)
{
  stop->stage = STAGE_ENDED;
  mr_http_server_foreach_pending (stop->context->server, S_log_unanswered, stop);
  S_log_summary (stop, now);
  return TRUE;
}

gboolean
mr_entry_stop_continue (MrEntryStop *stop, MrTime now, MrTime *next)
{
  if (stop->stage == STAGE_RUNNING || stop->stage == STAGE_ENDED)
    return FALSE;
  *next = MIN (*next, now + POLL_INTERVAL);
  *next = MIN (*next, mr_http_server_tick (stop->context->server, now));
  switch (stop->stage)
    {
    case STAGE_SERVING:
      if (!MR_SAFEGUARD (MR_GUARD_DRAIN))
        return S_end (stop, now);
      if (S_is_paused (stop, now) || now >= stop->end - LAST_REQUESTS_TIME)
        S_begin_refusing (stop);
      return FALSE;
    case STAGE_REFUSING:
      if (now >= stop->end - LAST_ANSWERS_TIME ||
          (!S_has_open_work (stop) && mr_http_server_pending_count (stop->context->server) == 0))
        S_begin_answering (stop, now);
      return FALSE;
    case STAGE_ANSWERING:
      return S_has_answered (stop, now) && S_end (stop, now);
    case STAGE_RUNNING:
    case STAGE_ENDED:
      break;
    }
  return FALSE;
}
