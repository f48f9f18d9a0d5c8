#include "health.h"

#include "safeguard.h"

static const MrTime PROBE_INTERVAL_MIN = 100 * MR_MS;
static const MrTime PROBE_INTERVAL_MAX = 2 * MR_SECOND;
/* Consecutive failures after which a target is DOWN. */
static const unsigned MAX_CONSECUTIVE_FAILURES = 3;
/* Lost connections within LOST_CONNECTIONS_WINDOW after which the others are replaced. */
static const unsigned LOST_CONNECTIONS_THRESHOLD = 2;
static const MrTime LOST_CONNECTIONS_WINDOW = 5 * MR_SECOND;
/* A stale list may show a target as live that has just refused a call because it is
 * draining.  The target's own response takes precedence for this long. */
static const MrTime LEAVING_HOLD_TIME = 30 * MR_SECOND;

static MrHealthAction
S_set_suspect (MrHealth *health, bool by_timeout)
{
  if (health->state != MR_HEALTH_UP || health->probing)
    return MR_HEALTH_ACTION_NONE;
  health->state = MR_HEALTH_SUSPECT;
  health->suspected_by_timeout = by_timeout;
  health->probing = true;
  return MR_HEALTH_ACTION_PROBE;
}

MrHealthAction
mr_health_on_success (MrHealth *health, MrTime now)
{
  health->last_response_at = now;
  health->consecutive_failures = 0;
  health->probe_interval = 0;
  return MR_HEALTH_ACTION_NONE;
}

void
mr_health_on_response (MrHealth *health, MrTime now)
{
  health->last_response_at = now;
}

static void
S_set_down (MrHealth *health, MrTime now)
{
  MrTime interval = health->probe_interval * 2;
  health->probe_interval = CLAMP (interval, PROBE_INTERVAL_MIN, PROBE_INTERVAL_MAX);
  health->next_probe_at = now + health->probe_interval;
  health->state = MR_HEALTH_DOWN;
}

/* A target that fails fast looks idle, so load balancing would prefer it, and its health
 * endpoint may still report "up".  It is taken out of use until a probe succeeds and then
 * restarts with one call.  The failure count is kept until a success, so a single further
 * failure takes it out again, for twice as long. */
void
mr_health_on_failure (MrHealth *health, MrTime now)
{
  health->last_response_at = now;
  health->consecutive_failures++;
  if (health->state == MR_HEALTH_UP && health->consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
    S_set_down (health, now);
}

MrHealthAction
mr_health_on_timeout (MrHealth *health, MrTime started, MrTime now)
{
  (void) now;
  /* The target has responded on another connection since, so either this connection is
   * lost or the call is slow.  The target stays in use. */
  if (health->last_response_at > started)
    return MR_HEALTH_ACTION_NONE;
  return S_set_suspect (health, true);
}

/* A fault that loses one connection usually loses all that were open at the time.  They
 * are replaced together, as otherwise each would be detected by the timeout of a call. */
MrHealthAction
mr_health_on_connection_lost (MrHealth *health, MrTime started, MrTime now)
{
  if (now - health->last_lost_at > LOST_CONNECTIONS_WINDOW)
    health->lost_connections = 0;
  health->last_lost_at = now;
  health->lost_connections++;
  MrHealthAction action = mr_health_on_timeout (health, started, now);
  if (action != MR_HEALTH_ACTION_NONE || health->lost_connections < LOST_CONNECTIONS_THRESHOLD)
    return action;
  health->lost_connections = 0;
  return health->state == MR_HEALTH_UP ? MR_HEALTH_ACTION_RECONNECT : MR_HEALTH_ACTION_NONE;
}

MrHealthAction
mr_health_on_connection_error (MrHealth *health, MrTime now)
{
  (void) now;
  return S_set_suspect (health, false);
}

static MrHealthAction
S_set_up (MrHealth *health)
{
  MrHealthState previous = health->state;
  bool by_timeout = health->suspected_by_timeout;
  health->state = MR_HEALTH_UP;
  health->suspected_by_timeout = false;
  if (previous == MR_HEALTH_SUSPECT)
    return by_timeout ? MR_HEALTH_ACTION_RECONNECT : MR_HEALTH_ACTION_NONE;
  return previous == MR_HEALTH_DOWN ? MR_HEALTH_ACTION_SLOW_START : MR_HEALTH_ACTION_NONE;
}

MrHealthAction
mr_health_on_probe_result (MrHealth *health, bool answered, MrTime now)
{
  health->probing = false;
  health->probe_failed = !answered;
  if (health->state != MR_HEALTH_SUSPECT && health->state != MR_HEALTH_DOWN)
    return MR_HEALTH_ACTION_NONE;
  if (answered)
    {
      health->last_response_at = now;
      return S_set_up (health);
    }
  S_set_down (health, now);
  return MR_HEALTH_ACTION_NONE;
}

void
mr_health_on_leaving (MrHealth *health, MrTime now)
{
  health->state = MR_HEALTH_LEAVING;
  health->leaving_since = now;
}

MrHealthAction
mr_health_on_live (MrHealth *health, MrTime now)
{
  if (health->state != MR_HEALTH_LEAVING || now - health->leaving_since < LEAVING_HOLD_TIME)
    return MR_HEALTH_ACTION_NONE;
  health->state = MR_HEALTH_DOWN;
  health->probing = true;
  return MR_HEALTH_ACTION_PROBE;
}

MrHealthAction
mr_health_tick (MrHealth *health, MrTime now)
{
  if (health->state != MR_HEALTH_DOWN || health->probing || now < health->next_probe_at)
    return MR_HEALTH_ACTION_NONE;
  health->probing = true;
  return MR_HEALTH_ACTION_PROBE;
}

bool
mr_health_usable (const MrHealth *health)
{
  /* Calls still running when a draining target exits are lost, so new calls stop with
   * the first sign of leaving, well within the few seconds that are guaranteed. */
  if (health->state == MR_HEALTH_LEAVING)
    return !MR_SAFEGUARD (MR_GUARD_LEAVING);
  return health->state == MR_HEALTH_UP;
}

bool
mr_health_suspected_by_connection_error (const MrHealth *health)
{
  return health->state == MR_HEALTH_SUSPECT && !health->suspected_by_timeout;
}

const char *
mr_health_state_name (MrHealthState state)
{
  static const char *const names[] = {
    [MR_HEALTH_UP] = "up",
    [MR_HEALTH_SUSPECT] = "suspect",
    [MR_HEALTH_DOWN] = "down",
    [MR_HEALTH_LEAVING] = "leaving",
  };
  return names[state];
}
