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
    return MR_HEALTH_NOTHING;
  health->state = MR_HEALTH_SUSPECT;
  health->silent = silent;
  health->probing = true;
  return MR_HEALTH_PROBE;
}

MrHealthAction
mr_health_on_answer (MrHealth *health, MrTime now)
{
  health->answered_at = now;
  health->failures = 0;
  health->probe_gap = 0;
  return MR_HEALTH_NOTHING;
}

void
mr_health_on_word (MrHealth *health, MrTime now)
{
  health->answered_at = now;
}

static void
S_down (MrHealth *health, MrTime now)
{
  MrTime gap = health->probe_gap * 2;
  health->probe_gap = CLAMP (gap, PROBE_GAP_FIRST, PROBE_GAP_MAX);
  health->probe_at = now + health->probe_gap;
  health->state = MR_HEALTH_DOWN;
}

/* A target that fails fast looks idle and draws calls that others would answer;
 * its health page may still say "up".  Out of use it comes back by a probe, with
 * one call at first, and a single failure then takes it out for twice as long. */
void
mr_health_on_failure (MrHealth *health, MrTime now)
{
  health->answered_at = now;
  health->failures++;
  if (health->state == MR_HEALTH_UP && health->failures >= FAILURES)
    S_down (health, now);
}

MrHealthAction
mr_health_on_silence (MrHealth *health, MrTime started, MrTime now)
{
  (void) now;
  /* Other connections have been answered since: only this one is lost, or the
   * call is slow.  The target keeps its work; the connection is closed. */
  if (health->answered_at > started)
    return MR_HEALTH_NOTHING;
  return S_suspect (health, true);
}

/* What loses one connection mostly loses all that were open then; left to be
 * found one by one, each would cost a call its time. */
MrHealthAction
mr_health_on_lost (MrHealth *health, MrTime started, MrTime now)
{
  if (now - health->lost_at > LOST_WINDOW)
    health->lost = 0;
  health->lost_at = now;
  health->lost++;
  MrHealthAction action = mr_health_on_silence (health, started, now);
  if (action != MR_HEALTH_NOTHING || health->lost < LOST)
    return action;
  health->lost = 0;
  return health->state == MR_HEALTH_UP ? MR_HEALTH_RENEW : MR_HEALTH_NOTHING;
}

MrHealthAction
mr_health_on_break (MrHealth *health, MrTime now)
{
  (void) now;
  return S_suspect (health, false);
}

static MrHealthAction
S_up (MrHealth *health)
{
  MrHealthState before = health->state;
  bool silent = health->silent;
  health->state = MR_HEALTH_UP;
  health->silent = false;
  if (before == MR_HEALTH_SUSPECT)
    return silent ? MR_HEALTH_RENEW : MR_HEALTH_NOTHING;
  return before == MR_HEALTH_DOWN ? MR_HEALTH_COLD : MR_HEALTH_NOTHING;
}

MrHealthAction
mr_health_on_probe (MrHealth *health, bool answered, MrTime now)
{
  health->probing = false;
  health->absent = !answered;
  if (health->state != MR_HEALTH_SUSPECT && health->state != MR_HEALTH_DOWN)
    return MR_HEALTH_NOTHING;
  if (answered)
    {
      health->answered_at = now;
      return S_up (health);
    }
  S_down (health, now);
  return MR_HEALTH_NOTHING;
}

void
mr_health_on_leaving (MrHealth *health, MrTime now)
{
  health->state = MR_HEALTH_LEAVING;
  health->leaving_at = now;
}

MrHealthAction
mr_health_on_live (MrHealth *health, MrTime now)
{
  if (health->state != MR_HEALTH_LEAVING || now - health->leaving_at < LEAVING_HOLD)
    return MR_HEALTH_NOTHING;
  health->state = MR_HEALTH_DOWN;
  health->probing = true;
  return MR_HEALTH_PROBE;
}

MrHealthAction
mr_health_tick (MrHealth *health, MrTime now)
{
  if (health->state != MR_HEALTH_DOWN || health->probing || now < health->probe_at)
    return MR_HEALTH_NOTHING;
  health->probing = true;
  return MR_HEALTH_PROBE;
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
mr_health_after_break (const MrHealth *health)
{
  return health->state == MR_HEALTH_SUSPECT && !health->silent;
}

const char *
mr_health_name (MrHealthState state)
{
  static const char *const names[] = {
    [MR_HEALTH_UP] = "up",
    [MR_HEALTH_SUSPECT] = "suspect",
    [MR_HEALTH_DOWN] = "down",
    [MR_HEALTH_LEAVING] = "leaving",
  };
  return names[state];
}
