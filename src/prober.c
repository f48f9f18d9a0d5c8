#include "prober.h"

#include "log.h"
#include "stream.h"
#include "timers.h"

enum
{
  /* Connections of one probe.  An ending process may accept one more connection that arrives as its
   * listener closes; a target above its connection limit resets any number. */
  CONNECTIONS_MAX = 3,
};

/* A connection after a break that stays open for this long was accepted by a live process.  Twice
 * the longest time that an ending process was seen to keep its listener open. */
static const MrTime STABLE_AFTER = 10 * MR_MS;
/* Delay between a reset and the next connection: longer than a listener outlives the connections
 * that the process has not accepted yet, except on a busy machine. */
static const MrTime RECONNECT_DELAY = 2 * MR_MS;

typedef enum
{
  PROBE_CONNECTING,
  PROBE_CONNECTED, /* connected, but may still be reset */
  PROBE_PAUSING,   /* was reset; waits before it connects again */
  PROBE_FAILED,    /* the connection could not be started */
} ProbeState;

typedef struct
{
  MrStreamHandler handler;
  MrProber *prober;
  GList link;
  char *target;
  char *ip;
  int port;
  gboolean after_break;
  ProbeState state;
  guint connections;
  MrStream *stream; /* NULL while pausing or after a failure */
  MrTimer timer;
} Probe;

struct _MrProber
{
  MrProberHost *host;
  MrLoop *loop;
  MrTimers *timers;
  GQueue probes; /* Probe */
  MrProberCounts counts;
};

MrProber *
mr_prober_new (MrProberHost *host, MrLoop *loop)
{
  MrProber *prober = g_new0 (MrProber, 1);
  prober->host = host;
  prober->loop = loop;
  prober->timers = mr_timers_new ();
  g_queue_init (&prober->probes);
  return prober;
}

static void
S_probe_free (Probe *probe)
{
  mr_timers_set (probe->prober->timers, &probe->timer, MR_NEVER);
  g_queue_unlink (&probe->prober->probes, &probe->link);
  g_free (probe->target);
  g_free (probe->ip);
  g_free (probe);
}

void
mr_prober_free (MrProber *prober)
{
  if (!prober)
    return;
  while (prober->probes.head)
    S_probe_free (prober->probes.head->data);
  mr_timers_free (prober->timers);
  g_free (prober);
}

static void
S_close_stream (Probe *probe)
{
  if (probe->stream)
    mr_stream_close (probe->stream);
  probe->stream = NULL;
}

/* Frees @probe. */
static void
S_report (Probe *probe, gboolean answered)
{
  MrProberHost *host = probe->prober->host;
  g_autofree char *target = g_strdup (probe->target);
  S_close_stream (probe);
  S_probe_free (probe);
  host->probed (host, target, answered);
}

static void
S_set_state (Probe *probe, ProbeState state, MrTime until)
{
  probe->state = state;
  mr_timers_set (probe->prober->timers, &probe->timer, until);
}

static void
S_connect (Probe *probe, MrTime now)
{
  MrProber *prober = probe->prober;
  probe->stream = mr_stream_connect (prober->loop, &probe->handler, probe->ip, probe->port);
  if (!probe->stream)
    {
      mr_log (MR_LOG_WARNING, MR_EVENT_CONNECT_FAILED, "cannot start a probe of target %s: %s",
              probe->target, mr_status_message ());
      S_set_state (probe, PROBE_FAILED, now);
      return;
    }
  probe->connections++;
  prober->counts.connections++;
  S_set_state (probe, PROBE_CONNECTING, now + MR_CONNECT_TIMEOUT);
}

static void
S_on_open (MrStreamHandler *handler, MrStream *stream)
{
  Probe *probe = (Probe *) handler;
  (void) stream;
  if (!probe->after_break)
    S_report (probe, TRUE);
  else
    S_set_state (probe, PROBE_CONNECTED, mr_now () + STABLE_AFTER);
}

/* Unexpected data, but it shows that the process is alive. */
static void
S_on_data (MrStreamHandler *handler, MrStream *stream, MrText bytes)
{
  (void) stream;
  (void) bytes;
  S_report ((Probe *) handler, TRUE);
}

static void
S_pause (Probe *probe)
{
  probe->prober->counts.repeated++;
  mr_log (MR_LOG_NOTICE, MR_EVENT_PROBE_RESET,
          "target %s accepted a connection and reset it; probing it again", probe->target);
  S_set_state (probe, PROBE_PAUSING, mr_now () + RECONNECT_DELAY);
}

static void
S_on_end (MrStreamHandler *handler, MrStream *stream, MrStreamEnd end)
{
  Probe *probe = (Probe *) handler;
  gboolean accepted = mr_stream_was_established (stream);
  (void) end;
  probe->stream = NULL;
  if (accepted && probe->after_break && probe->connections < CONNECTIONS_MAX)
    S_pause (probe);
  else
    S_report (probe, accepted);
}

void
mr_prober_start (MrProber *prober, MrTime now, const MrTargetState *target)
{
  Probe *probe = g_new (Probe, 1);
  *probe = (Probe){
    .handler = { .on_open = S_on_open, .on_data = S_on_data, .on_end = S_on_end },
    .prober = prober,
    .target = g_strdup (target->id),
    .ip = g_strdup (target->ip),
    .port = target->port,
    .after_break = mr_health_suspected_by_connection_error (&target->health),
  };
  probe->link.data = probe;
  probe->timer.owner = probe;
  g_queue_push_tail_link (&prober->probes, &probe->link);
  S_connect (probe, now);
}

void
mr_prober_cancel (MrProber *prober, const char *target)
{
  GList *next = NULL;
  for (GList *link = prober->probes.head; link; link = next)
    {
      Probe *probe = link->data;
      next = link->next;
      if (!g_str_equal (probe->target, target))
        continue;
      S_close_stream (probe);
      S_probe_free (probe);
    }
}

MrTime
mr_prober_tick (MrProber *prober, MrTime now)
{
  for (MrTimer *timer = mr_timers_pop (prober->timers, now); timer;
       timer = mr_timers_pop (prober->timers, now))
    {
      Probe *probe = timer->owner;
      if (probe->state == PROBE_PAUSING)
        S_connect (probe, now);
      else
        S_report (probe, probe->state == PROBE_CONNECTED);
    }
  return mr_timers_next_due (prober->timers);
}

const MrProberCounts *
mr_prober_counts (const MrProber *prober)
{
  return &prober->counts;
}
