/* Whether a relay that is not chosen to watch the platform has to do so for now.
 *
 * While the chosen members of all failure domains say that they do not reach the platform, either
 * it is down, or they are cut off from it and others may not be.  The others then find out, each at
 * a random time, so that all of them together make a limited number of calls a second.  Those that
 * reach it watch until a chosen member does. */
#pragma once

#include "clock.h"
#include "roster.h"

typedef struct
{
  gboolean needed;  /* no chosen member reaches the platform */
  gboolean reaches; /* this daemon does; it watches */
  guint members;    /* of the fleet, when it was last updated */
  MrTime try_at;    /* if needed: when to call the platform next, to find out */
} MrStandIn;

/* Updates the state; @chosen: this daemon is chosen to watch.  @random: 0 to 1. */
void mr_stand_in_update (
    MrStandIn *stand_in, MrTime now, const MrRoster *roster, gboolean chosen, double random);
/* TRUE if this daemon has to find out now whether it reaches the platform. */
gboolean mr_stand_in_is_due (const MrStandIn *stand_in, MrTime now);
/* A call to the platform has ended. */
void mr_stand_in_called (MrStandIn *stand_in, MrTime now, gboolean success, double random);
