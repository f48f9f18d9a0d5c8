/* What this daemon's own calls say of one target.
 *
 * Health and load endpoints lag or mislead, so they decide nothing.  A call
 * that stays unanswered may mean a dead target or a connection that something
 * between the two ends has lost; a probe on a new connection tells which. */
#pragma once

#include "clock.h"
#include <stdbool.h>

typedef enum
{
  MR_HEALTH_UP,
  MR_HEALTH_SUSPECT, /* being probed; gets no new calls */
  MR_HEALTH_DOWN,    /* probed now and then */
  MR_HEALTH_LEAVING, /* drains; gets no new calls, its calls run out */
} MrHealthState;

/* What the owner of the target has to do after an event. */
typedef enum
{
  MR_HEALTH_ACTION_NONE,
  MR_HEALTH_ACTION_PROBE,      /* probe on a new connection now */
  MR_HEALTH_ACTION_RECONNECT,  /* old connections are lost: replace them */
  MR_HEALTH_ACTION_SLOW_START, /* back after an absence: start slowly */
} MrHealthAction;

typedef struct
{
  MrHealthState state;
  bool probing;
  bool suspected_by_timeout;     /* the suspicion came from an unanswered call */
  bool probe_failed;             /* the last probe found nobody there */
  MrTime last_response_at;       /* last answer of any kind */
  MrTime next_probe_at;          /* next probe while down */
  MrTime probe_interval;         /* between probes; grows while down */
  MrTime leaving_since;          /* when it was first said to leave */
  unsigned consecutive_failures; /* wrong or failed answers in a row */
  unsigned lost_connections;     /* connections given up lately */
  MrTime last_lost_at;
} MrHealth;

/* A right answer to a call. */
MrHealthAction mr_health_on_success (MrHealth *health, MrTime now);
/* Word of it that is no answer: a refusal, a cancellation confirmed. */
void mr_health_on_response (MrHealth *health, MrTime now);
/* It answered with an error, or with something that was not asked for. */
void mr_health_on_failure (MrHealth *health, MrTime now);
/* A call begun at @started stays unanswered. */
MrHealthAction mr_health_on_timeout (MrHealth *health, MrTime started, MrTime now);
/* A call begun at @started got neither an answer nor a word on its cancellation;
 * its connection was closed. */
MrHealthAction mr_health_on_connection_lost (MrHealth *health, MrTime started, MrTime now);
/* A connection was refused or broken. */
MrHealthAction mr_health_on_connection_error (MrHealth *health, MrTime now);
MrHealthAction mr_health_on_probe_result (MrHealth *health, bool answered, MrTime now);
void mr_health_on_leaving (MrHealth *health, MrTime now);
/* The list of VMs says it is live again. */
MrHealthAction mr_health_on_live (MrHealth *health, MrTime now);
MrHealthAction mr_health_tick (MrHealth *health, MrTime now);

bool mr_health_usable (const MrHealth *health);
/* TRUE if it is being probed because a connection broke: its process may just be ending. */
bool mr_health_suspected_by_connection_error (const MrHealth *health);
const char *mr_health_state_name (MrHealthState state);
