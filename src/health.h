/* Health of one target, derived from the outcome of this daemon's own calls.
 *
 * Health and load endpoints are not consulted, because what they report can be
 * stale or wrong.  An unanswered call means either that the target is dead or
 * that its connection was lost on the way (for example, a middlebox dropped its
 * state).  A probe on a new connection distinguishes the two. */
#pragma once

#include "clock.h"
#include <stdbool.h>

typedef enum
{
  MR_HEALTH_UP,
  MR_HEALTH_SUSPECT, /* being probed; gets no new calls */
  MR_HEALTH_DOWN,    /* probed at growing intervals; gets no new calls */
  MR_HEALTH_LEAVING, /* draining; gets no new calls, open calls may complete */
} MrHealthState;

/* What the owner of the target must do after an event. */
typedef enum
{
  MR_HEALTH_ACTION_NONE,
  MR_HEALTH_ACTION_PROBE,      /* probe on a new connection now */
  MR_HEALTH_ACTION_RECONNECT,  /* replace the existing connections; they are presumed lost */
  MR_HEALTH_ACTION_SLOW_START, /* recovered from DOWN: raise its load gradually */
} MrHealthAction;

typedef struct
{
  MrHealthState state;
  bool probing;
  bool suspected_by_timeout;     /* SUSPECT because of an unanswered call */
  bool probe_failed;             /* result of the last probe */
  MrTime last_response_at;       /* last response of any kind, errors included */
  MrTime next_probe_at;          /* while DOWN */
  MrTime probe_interval;         /* while DOWN; doubles with each failed probe */
  MrTime leaving_since;          /* last report that it is leaving */
  unsigned consecutive_failures; /* error responses since the last success */
  unsigned lost_connections;     /* recent; see mr_health_on_connection_lost () */
  MrTime last_lost_at;
} MrHealth;

/* A call succeeded. */
MrHealthAction mr_health_on_success (MrHealth *health, MrTime now);
/* The target responded, but not with a result: it refused a call or confirmed a cancellation. */
void mr_health_on_response (MrHealth *health, MrTime now);
/* The target responded with an error or an invalid response. */
void mr_health_on_failure (MrHealth *health, MrTime now);
/* A call sent at @started has timed out without a response. */
MrHealthAction mr_health_on_timeout (MrHealth *health, MrTime started, MrTime now);
/* Neither a call sent at @started nor its cancellation got a response, so its connection was
 * closed. */
MrHealthAction mr_health_on_connection_lost (MrHealth *health, MrTime started, MrTime now);
/* A connection was refused or reset. */
MrHealthAction mr_health_on_connection_error (MrHealth *health, MrTime now);
MrHealthAction mr_health_on_probe_result (MrHealth *health, bool answered, MrTime now);
/* The target refused a call because it is draining, or is listed as leaving or removed. */
void mr_health_on_leaving (MrHealth *health, MrTime now);
/* The list of VMs no longer shows the target as leaving. */
MrHealthAction mr_health_on_live (MrHealth *health, MrTime now);
/* Call periodically; requests a probe when one is due. */
MrHealthAction mr_health_tick (MrHealth *health, MrTime now);

/* TRUE if the target may get new calls. */
bool mr_health_usable (const MrHealth *health);
/* TRUE while the target is probed after a connection error.  Its process may be exiting. */
bool mr_health_suspected_by_connection_error (const MrHealth *health);
const char *mr_health_state_name (MrHealthState state);
