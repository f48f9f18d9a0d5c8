#include "health.h"

#include "safeguard.h"

static const MrTime PROBE_GAP_FIRST = 100 * MR_MS;
static const MrTime PROBE_GAP_MAX = 2 * MR_SECOND;
/* Failures in a row that take a target out of use. */
static const unsigned FAILURES = 3;
/* Lost connections within LOST_WINDOW that make all others doubtful. */
static const unsigned LOST = 2;
static const MrTime LOST_WINDOW = 5 * MR_SECOND;
/* A list that lags may call a target live that has just told us it drains; its
 * own word stands for this long. */
static const MrTime LEAVING_HOLD = 30 * MR_SECOND;

static MrHealthAction
S_suspect (MrHealth *health, bool silent)
{
  if (health->state != MR_HEALTH_UP || health->probing)
    return MR_HEALTH_ACTION_NONE;
  health->state = MR_HEALTH_SUSPECT;
  health->suspected_by_timeout = silent;
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
S_down (MrHealth *health, MrTime now)
{
  MrTime gap = health->probe_interval * 2;
  health->probe_interval = CLAMP (gap, PROBE_GAP_FIRST, PROBE_GAP_MAX);
  health->next_probe_at = now + health->probe_interval;
  health->state = MR_HEALTH_DOWN;
}

/* A target that fails fast looks idle and draws calls that others would answer;
 * its health page may still say "up".  Out of use it comes back by a probe, with
 * one call at first, and a single failure then takes it out for twice as long. */
void
mr_health_on_failure (MrHealth *health, MrTime now)
{
  health->last_response_at = now;
  health->consecutive_failures++;
  if (health->state == MR_HEALTH_UP && health->consecutive_failures >= FAILURES)
    S_down (health, now);
}

MrHealthAction
mr_health_on_timeout (MrHealth *health, MrTime started, MrTime now)
{
  (void) now;
  /* Other connections have been answered since: only this one is lost, or the
   * call is slow.  The target keeps its work; the connection is closed. */
  if (health->last_response_at > started)
    return MR_HEALTH_ACTION_NONE;
  return S_suspect (health, true);
}

/* What loses one connection mostly loses all that were open then; left to be
 * found one by one, each would cost a call its time. */
MrHealthAction
mr_health_on_connection_lost (MrHealth *health, MrTime started, MrTime now)
{
  if (now - health->last_lost_at > LOST_WINDOW)
    health->lost_connections = 0;
  health->last_lost_at = now;
  health->lost_connections++;
  MrHealthAction action = mr_health_on_timeout (health, started, now);
  if (action != MR_HEALTH_ACTION_NONE || health->lost_connections < LOST)
    return action;
  health->lost_connections = 0;
  return health->state == MR_HEALTH_UP ? MR_HEALTH_ACTION_RECONNECT : MR_HEALTH_ACTION_NONE;
}

MrHealthAction
mr_health_on_connection_error (MrHealth *health, MrTime now)
{
  (void) now;
  return S_suspect (health, false);
}

static MrHealthAction
S_up (MrHealth *health)
{
  MrHealthState before = health->state;
  bool silent = health->suspected_by_timeout;
  health->state = MR_HEALTH_UP;
  health->suspected_by_timeout = false;
  if (before == MR_HEALTH_SUSPECT)
    return silent ? MR_HEALTH_ACTION_RECONNECT : MR_HEALTH_ACTION_NONE;
  return before == MR_HEALTH_DOWN ? MR_HEALTH_ACTION_SLOW_START : MR_HEALTH_ACTION_NONE;
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
      return S_up (health);
    }
  S_down (health, now);
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
  if (health->state != MR_HEALTH_LEAVING || now - health->leaving_since < LEAVING_HOLD)
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
  /* New work on a draining target is cut off when it goes; its first sign of
   * leaving ends new work at once, well under the promised few seconds. */
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
