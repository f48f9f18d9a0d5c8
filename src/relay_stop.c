#include "relay_task_private.h"

#include "log.h"

/* Steps of a planned stop, as fractions of its grace period, at whose end the process is killed.
 * The listener closes at LAST_REQUESTS.  At LAST_ANSWERS all requests that are still open are
 * answered, so that callers have the answers even if the process is not scheduled for a while.
 * It ends when no connection is open, at EXIT at the latest. */
static const double LAST_REQUESTS = 0.7;
static const double LAST_ANSWERS = 5.0 / 6;
static const double EXIT = 0.9;
static const MrTime POLL_INTERVAL = 50 * MR_MS;

static MrTime
S_time_of (const MrRelayTask *task, double step)
{
  return task->stop.began + (MrTime) (step * (double) (task->settings->grace_ms * MR_MS));
}

gboolean
mr_relay_stop_has_begun (const MrRelayTask *task)
{
  return task->stop.began != 0;
}

/* The daemon is removed from address answers at once.  It keeps serving callers that still use an
 * older answer, and ends when no connection is open. */
void
mr_relay_stop_begin (MrRelayTask *task)
{
  MrRelayStop *stop = &task->stop;
  if (stop->began != 0)
    return;
  stop->began = mr_now ();
  stop->open_requests = mr_caller_server_open_requests (task->caller_server);
  mr_log (MR_LOG_NOTICE, MR_EVENT_STOPPING,
          "planned stop begun: %u open requests, %u connected callers", stop->open_requests,
          mr_caller_server_connections (task->caller_server));
  mr_caller_server_drain (task->caller_server);
  mr_relay_set_stop_time (task->relay, S_time_of (task, LAST_ANSWERS));
  mr_mailbox_post (task->control, &mr_local_state_message_new (MR_MEMBER_LEAVING, TRUE)->base);
}

static void
S_log_summary (const MrRelayTask *task, MrTime now)
{
  const MrRelayStop *stop = &task->stop;
  const MrCallerServer *server = task->caller_server;
  const MrRelayCounts *counts = mr_relay_counts (task->relay);
  MrLogLine *line = mr_log_begin (MR_LOG_NOTICE, MR_EVENT_STOP_SUMMARY);
  mr_log_number (line, "took_us", now - stop->began);
  mr_log_number (line, "open", stop->open_requests);
  mr_log_number (line, "read", (gint64) stop->read_requests);
  mr_log_number (line, "refused", (gint64) counts->stop_refused);
  mr_log_number (line, "failed", (gint64) counts->stop_failed);
  mr_log_number (line, "cut", mr_caller_server_open_requests (server));
  mr_log_number (line, "connections", mr_caller_server_connections (server));
  mr_log_number (line, "unwritten_bytes", (gint64) mr_caller_server_unwritten_bytes (server));
  mr_log_end (line);
}

static void
S_stop_process (MrRelayTask *task, MrTime now)
{
  task->stop.ended = TRUE;
  mr_relay_request_log_unanswered (task);
  S_log_summary (task, now);
  task->on_stopped (task->user);
}

/* TRUE in a later round of the loop than the one that closes the listener: connections that were
 * established by then are accepted in between. */
static gboolean
S_close_listener (MrRelayTask *task, MrTime now)
{
  MrRelayStop *stop = &task->stop;
  if (stop->listener_closed == 0)
    {
      stop->listener_closed = now;
      mr_caller_server_close (task->caller_server);
    }
  return now >= stop->listener_closed + POLL_INTERVAL;
}

void
mr_relay_stop_continue (MrRelayTask *task, MrTime now, MrTime *next)
{
  if (task->stop.began == 0)
    return;
  if (now >= S_time_of (task, LAST_ANSWERS))
    mr_relay_request_refuse_waiting (task);
  if (!task->stop.ended && now >= S_time_of (task, LAST_REQUESTS) && S_close_listener (task, now) &&
      (mr_caller_server_connections (task->caller_server) == 0 || now >= S_time_of (task, EXIT)))
    S_stop_process (task, now);
  *next = MIN (*next, MAX (now + POLL_INTERVAL, S_time_of (task, LAST_REQUESTS)));
}
